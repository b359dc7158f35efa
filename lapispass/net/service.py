"""The controller on sockets: gathers events, hands them to the module in turns, carries out its orders."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from typing import Protocol

from lapispass import interface
from lapispass.controller import Controller
from lapispass.core import momentary
from lapispass.core.interval_figures import IntervalFigures
from lapispass.net import call_failures, log
from lapispass.net.clock import Clock
from lapispass.net.codec import MARKS, Codec
from lapispass.net.collectors import Collectors
from lapispass.net.counters import Counters
from lapispass.net.http import InboxFull
from lapispass.net.interval_report import IntervalReport
from lapispass.net.launch import BadStart, Launch
from lapispass.net.log import PartLogger, lost
from lapispass.net.loop_lag import LoopLag
from lapispass.net.probes import Probes
from lapispass.net.process import run_to_completion
from lapispass.net.registry import Registry
from lapispass.net.relay import Calls, News
from lapispass.net.slice_report import SliceReport


class Beside(Protocol):
    """A further front that follows the turns, as `Service.beside`."""

    def turned(self, events: Sequence[interface.Event], orders: Sequence[interface.Order]) -> None:
        """A turn was taken on these events; its orders are about to be carried out."""

    async def run(self) -> None:
        """Serves until it is cancelled; what it raises ends the service."""


class Service:
    """One controller. Embed it with `await Service(launch).run()`; `stop()` ends that."""

    def __init__(self, launch: Launch) -> None:
        self.launch, self.limits, self.clock = launch, launch.limits, Clock()
        self.log, self.counters = PartLogger("service", self.limits.log_every_us), Counters()
        self.inbox: list[interface.Event] = []
        self.wakes: dict[int, int] = {}  # token: when
        self.news_came, self.ended = asyncio.Event(), asyncio.Event()
        codec = Codec(launch.told, self.limits.id_bytes, launch.seed % MARKS)
        common = (codec, self.limits, self.counters)
        self.calls = Calls(launch.relay, *common)
        self.news = News(launch.relay, self.calls, self.tell, *common)
        self.probes = Probes(self.tell, *common)
        self.registry = Registry(launch.registry, launch.known, self.tell, *common, self.probes.forget)
        self.figures = IntervalFigures(self.limits.late_us, launch.told.unserved_limit_us // 2)
        self.collectors = Collectors(self.tell, *common, self.figures)
        self.controller = Controller(launch.told, launch.seed, self.clock.now())
        self.slice_report = SliceReport(self.figures.lines, self.controller.handover, self.limits)
        self.beside: list[Beside] = []

    def tell(self, event: interface.Event) -> None:
        """Takes an event for the next turn.

        Guards against an inbox without bound while no turn is taken: first sums are left out, and in the end
        whoever tells more is cut off (`InboxFull`), and asks later for all that stands.
        """
        waiting = len(self.inbox)
        if waiting >= self.limits.events and isinstance(
            event, interface.ServerReport | interface.RequestReport | interface.ProbeResult
        ):
            self.counters["service.events_left_out"] += 1
            self.log.rate_limited("sums left out", waiting=waiting)
            return
        if waiting >= 2 * self.limits.events and event != interface.RegistryUpdate("lost", ()):
            raise InboxFull(f"{waiting} events wait")
        if isinstance(event, interface.StoredOwner | interface.ServerReport):
            self.registry.named(event.backend)
        self.inbox.append(event)
        self.news_came.set()

    def stop(self) -> None:
        self.ended.set()

    def print_counters(self) -> None:
        failed = call_failures.counted()
        self.log.say("counters", **self.counters.fields(), **failed, **{"log.lost": lost()})

    async def run(self) -> None:
        """Serves until `stop()`; a fault in the module is raised."""
        if not await self.listen():
            return
        tasks = [
            asyncio.create_task(life)
            for life in (
                self.news.run(),
                self.registry.run(),
                self.turns(),
                self.ended.wait(),
                LoopLag(self.limits.late_us, self.log, self.counters).run(),
                IntervalReport(
                    self.figures,
                    self.clock,
                    self.limits.report_us,
                    self.log,
                    self.collectors,
                    self.controller.progress,
                ).run(),
                *(front.run() for front in self.beside),
            )
        ]
        self.log.say("listening", name=self.launch.name, address=self.launch.listen)
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()  # raises what ended it
            self.log.say("ended")
        finally:
            self.collectors.stop_listening()
            self.calls.close()
            ending = [*tasks, *self.probes.close()]
            for task in ending:
                task.cancel()
            await self.collectors.drain()
            self.collectors.close()
            await asyncio.wait([*ending, *self.collectors.tasks], timeout=self.limits.stop_us / 1e6)
            self.print_counters()

    async def listen(self) -> bool:
        """Takes the listening address; False where it was stopped before it had that.

        Guards against a restart while the process before still holds the address: its end is waited for. So
        is the end of what fails for a moment (descriptors, memory, an address that is not up yet).
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + self.limits.bind_us / 1e6
        while not self.ended.is_set():
            try:
                await self.collectors.listen(self.launch.listen)
                return True
            except (OSError, ValueError) as error:
                if getattr(error, "errno", None) not in momentary.LOCAL or loop.time() >= until:
                    raise BadStart(f"LB_LISTEN {self.launch.listen!r}: {error}") from None
            try:
                async with asyncio.timeout(self.limits.retry_min_us / 1e6):
                    await self.ended.wait()
            except TimeoutError:
                pass
        return False

    async def follow(self, launch: Launch) -> None:
        """Goes by a configuration that was replaced: to where relay and registry are now, under load.

        The rest is what all state was made from; it is followed after a restart, and named here.
        """
        old, self.launch = self.launch, replace(self.launch, relay=launch.relay, registry=launch.registry)
        rest = [
            part
            for part in ("name", "listen", "told", "limits")
            if getattr(old, part) != getattr(launch, part)
        ]
        self.counters["service.reloads"] += 1
        self.log.say(
            "configuration read again",
            relay=launch.relay,
            registry=launch.registry,
            **({"after_a_restart": ",".join(rest)} if rest else {}),
        )
        if launch.relay != old.relay:
            self.calls.address = launch.relay
            self.news.move(launch.relay)
        if launch.registry != old.registry:
            self.registry.move(launch.registry)

    async def turns(self) -> None:
        """One turn after the other: waits, gathers, asks the module, carries out what it orders."""
        last = 0
        while True:
            await self.due(last + self.launch.told.turn_interval_us)
            last = now = self.clock.now()
            events, self.inbox = self.inbox, []
            self.news_came.clear()
            for token in [token for token, at in self.wakes.items() if at <= now]:
                del self.wakes[token]
                events.append(interface.TimerFired(token))
            orders = self.controller.turn(now, events)
            self.note_time(now)
            self.note_turn(now, events, orders)
            for front in self.beside:
                front.turned(events, orders)
            await self.carry_out(orders)

    def note_turn(
        self, now: int, events: Sequence[interface.Event], orders: Sequence[interface.Order]
    ) -> None:
        """Counts what a turn was told and ordered."""
        self.counters["service.turns"] += 1
        self.counters["service.events"] += len(events)
        self.figures.turn_took(self.clock.now() - now)
        for event in events:
            self.figures.event(now, event)
        for order in orders:
            self.figures.order(now, order)
        self.slice_report.turned(now)

    def note_time(self, began: int) -> None:
        """Logs what a reader of the log must know of time: a turn that took long, a wall clock that was
        stepped. Nothing is decided by it."""
        if (took_us := self.clock.now() - began) > self.limits.late_us:
            self.counters["service.slow_turns"] += 1
            self.log.rate_limited("turn slow", took_us=took_us)
        if abs(step_us := self.clock.wall_step_us()) > self.limits.clock_step_us:
            self.counters["service.clock_steps"] += 1
            self.log.warn("wall clock stepped", by_us=step_us)

    async def due(self, earliest: int) -> None:
        """Until there is news or a wake-up is due, but no sooner than the shortest interval between turns."""
        entered, wake = self.clock.now(), min(self.wakes.values(), default=None)
        if not self.inbox:
            wait = None if wake is None else max(0, wake - self.clock.now()) / 1e6
            try:
                async with asyncio.timeout(wait):
                    await self.news_came.wait()
            except TimeoutError:
                pass
        now = self.clock.now()
        expected = max(entered, earliest, now if wake is None else min(now, wake))
        await asyncio.sleep(max(0, earliest - self.clock.now()) / 1e6)
        # Guards against acting on old news when the process stood still: what waits is read first.
        if self.clock.now() - expected > self.limits.late_us:
            self.counters["service.late_turns"] += 1
            self.log.rate_limited("turn late", late_us=self.clock.now() - expected)
            await asyncio.sleep(self.launch.told.turn_interval_us / 1e6)

    async def carry_out(self, orders: list[interface.Order]) -> None:
        """The turn's orders; those for proxies are one relay call, settled before the next turn."""
        for_proxies: list[interface.Order] = []
        for order in orders:
            match order:
                case interface.LogMessage(text):
                    self.log.say("mode", text=text)
                case interface.SetTimer(token, at_us):
                    self.wakes[token] = at_us
                case interface.Probe(backend):
                    self.probes.start(backend, self.registry.addresses.get(backend))
                case interface.WatchRegistry():
                    self.registry.follow()
                case interface.BindProxy():
                    self.counters["service.orders_unknown"] += 1
                    self.log.rate_limited("order unknown", order=order)
                case _:
                    for_proxies.append(order)
        if for_proxies:
            began = self.clock.now()
            await self.calls.carry_out(for_proxies)
            self.figures.call_took(self.clock.now() - began)


async def serve(
    environment: Mapping[str, str],
    joined: Callable[[Launch], Launch] = lambda launch: launch,
    attach: Callable[[Service], None] = lambda service: None,
) -> None:
    """A whole process: signals, the configuration and the service.

    `joined` completes what was read, `attach` sets further fronts beside the service.
    """
    loop, replaced = asyncio.get_running_loop(), asyncio.Event()
    loop.add_signal_handler(
        signal.SIGHUP, replaced.set
    )  # first: a file replaced while it is read is read again
    service = Service(joined(await Launch.read_with_retries(environment)))
    attach(service)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, service.stop)
    loop.add_signal_handler(signal.SIGUSR1, service.print_counters)
    reloads = asyncio.create_task(follow(service, environment, replaced, joined))
    try:
        await service.run()
    finally:
        reloads.cancel()


async def follow(
    service: Service,
    environment: Mapping[str, str],
    replaced: asyncio.Event,
    joined: Callable[[Launch], Launch] = lambda launch: launch,
) -> None:
    """Reads the configuration again when told so, one reading after the other; a bad one changes nothing."""
    while await replaced.wait():
        replaced.clear()
        try:
            await service.follow(joined(await Launch.read_with_retries(environment)))
        except BadStart as error:
            service.counters["service.reloads_refused"] += 1
            service.log.warn("configuration refused", why=error)
        except Exception:  # a fault of our own costs this reading, not the controller
            service.log.failed("configuration not followed")


def main(
    joined: Callable[[Launch], Launch] = lambda launch: launch,
    attach: Callable[[Service], None] = lambda service: None,
) -> int:
    """The process's status."""
    log.start()
    try:
        run_to_completion(serve(os.environ, joined, attach))
    except BadStart as error:
        print(f"lapispass: {error}", file=sys.stderr)
        return 2
    except Exception:
        PartLogger("main").failed("ended by a fault")
        return 1
    return 0
