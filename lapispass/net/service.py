"""Runs a controller on sockets: collects events, passes them to it in turns and carries out its orders."""

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
from lapispass.core import transient_errors
from lapispass.core.interval_figures import IntervalFigures
from lapispass.core.memory_budget import MemoryBudget
from lapispass.core.store_contact import StoreContact
from lapispass.net import call_failures, log
from lapispass.net.clock import Clock
from lapispass.net.codec import BARRIER_NUMBERS, Codec
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
from lapispass.net.relay import Calls, EventStream
from lapispass.net.relay_heartbeat import RelayHeartbeat
from lapispass.net.slice_report import SliceReport


class AdditionalFront(Protocol):
    """A front end that serves another protocol for the same controller; see `Service.additional_fronts`."""

    def turn_taken(self, events: Sequence[interface.Event], orders: Sequence[interface.Order]) -> None:
        """The controller has taken a turn on these events; its orders are about to be carried out."""

    async def run(self) -> None:
        """Serves until it is cancelled. An exception ends the service."""


class Service:
    """One controller on sockets. Embed it with `await Service(launch).run()`; `stop()` ends it."""

    def __init__(self, launch: Launch) -> None:
        self.launch, self.limits, self.clock = launch, launch.limits, Clock()
        self.log, self.counters = PartLogger("service", self.limits.log_every_us), Counters()
        self.inbox: list[interface.Event] = []
        self.timers: dict[int, int] = {}  # token: when it fires
        self.event_arrived, self.stop_requested = asyncio.Event(), asyncio.Event()
        codec = Codec(launch.deployment, self.limits.id_bytes, launch.seed % BARRIER_NUMBERS)
        common = (codec, self.limits, self.counters)
        self.calls = Calls(launch.relay, *common)
        self.event_stream = EventStream(launch.relay, self.calls, self.deliver, *common)
        self.store_contact = contact = StoreContact(launch.deployment.lease_us)
        self.event_stream.on_line = lambda: contact.stream_heard(self.clock.now())
        self.event_stream.on_lost = lambda: contact.stream_lost(self.clock.now())
        self.heartbeat = RelayHeartbeat(
            Calls(launch.relay, *common),
            contact,
            self.limits.heartbeat_us,
            self.clock.now,
            lambda: bool(self.inbox),
        )
        self.probes = Probes(self.deliver, *common)
        self.registry = Registry(launch.registry, launch.known, self.deliver, *common, self.probes.forget)
        self.figures = IntervalFigures(self.limits.late_us, launch.deployment.unserved_limit_us // 2)
        self.memory = MemoryBudget(self.limits.client_bytes)  # of the clients of all fronts
        self.collectors = Collectors(self.deliver, *common, self.figures, self.memory)
        self.controller = Controller(launch.deployment, launch.seed, self.clock.now())
        self.slice_report = SliceReport(self.figures.unserved, self.controller.handover, self.limits)
        self.additional_fronts: list[AdditionalFront] = []

    def deliver(self, event: interface.Event) -> None:
        """Queues an event for the next turn.

        The inbox is bounded, since no turn may be taken for a while. When it is full, summed reports are
        dropped. At twice that size `InboxFull` is raised: the source of the event closes its connection, and
        reads a full snapshot later.
        """
        waiting = len(self.inbox)
        if waiting >= self.limits.events and isinstance(
            event, interface.ServerReport | interface.RequestReport | interface.ProbeResult
        ):
            self.counters["service.events_left_out"] += 1
            self.log.rate_limited("reports dropped: inbox full", waiting=waiting)
            return
        if waiting >= 2 * self.limits.events and event != interface.RegistryUpdate("lost", ()):
            raise InboxFull(f"{waiting} events are queued")
        if isinstance(event, interface.StoredOwner | interface.ServerReport):
            self.registry.note_mention(event.backend)
        if isinstance(event, interface.SliceGrant):
            self.store_contact.change_received(self.clock.now())
        self.inbox.append(event)
        self.event_arrived.set()

    def stop(self) -> None:
        self.stop_requested.set()

    def print_counters(self) -> None:
        failed = call_failures.counted()
        self.log.info("counters", **self.counters.fields(), **failed, **{"log.lost": lost()})

    async def run(self) -> None:
        """Serves until `stop()`; an exception in the controller is raised."""
        if not await self.listen():
            return
        tasks = [
            asyncio.create_task(work)
            for work in (
                self.event_stream.run(),
                self.registry.run(),
                self.run_turns(),
                self.stop_requested.wait(),
                LoopLag(self.limits.late_us, self.log, self.counters).run(),
                IntervalReport(
                    self.figures,
                    self.clock,
                    self.limits.report_us,
                    self.log,
                    self.collectors,
                    self.controller.progress,
                ).run(),
                *([self.heartbeat.run()] if self.additional_fronts else []),
                *(front.run() for front in self.additional_fronts),
            )
        ]
        self.log.info("listening", name=self.launch.name, address=self.launch.listen)
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()  # raises its exception, if any
            self.log.info("ended")
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
        """Binds the listening address; False if the service was stopped before that succeeded.

        After a restart, the previous process may still hold the address. This and other transient errors are
        retried for up to `Limits.bind_us`: no descriptors, no memory, an address that is not up yet.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + self.limits.bind_us / 1e6
        while not self.stop_requested.is_set():
            try:
                await self.collectors.listen(self.launch.listen)
                return True
            except (OSError, ValueError) as error:
                if getattr(error, "errno", None) not in transient_errors.LOCAL or loop.time() >= until:
                    raise BadStart(f"LB_LISTEN {self.launch.listen!r}: {error}") from None
            try:
                async with asyncio.timeout(self.limits.retry_min_us / 1e6):
                    await self.stop_requested.wait()
            except TimeoutError:
                pass
        return False

    async def follow(self, launch: Launch) -> None:
        """Applies a changed configuration while serving: connects to new addresses of relay and registry.

        All other settings shaped the present state and take effect after a restart; the log line names those
        that have changed.
        """
        old, self.launch = self.launch, replace(self.launch, relay=launch.relay, registry=launch.registry)
        rest = [
            part
            for part, field in (
                ("name", "name"),
                ("listen", "listen"),
                ("told", "deployment"),
                ("limits", "limits"),
            )
            if getattr(old, field) != getattr(launch, field)
        ]
        self.counters["service.reloads"] += 1
        self.log.info(
            "configuration reloaded",
            relay=launch.relay,
            registry=launch.registry,
            **({"after_a_restart": ",".join(rest)} if rest else {}),
        )
        if launch.relay != old.relay:
            self.calls.address = self.heartbeat.calls.address = launch.relay
            self.event_stream.move(launch.relay)
        if launch.registry != old.registry:
            self.registry.move(launch.registry)

    async def run_turns(self) -> None:
        """Takes turns: waits, collects events, runs the controller and carries out its orders."""
        last = 0
        while True:
            await self.wait_for_turn(last + self.launch.deployment.turn_interval_us)
            last = now = self.clock.now()
            events, self.inbox = self.inbox, []
            self.event_arrived.clear()
            for token in [token for token, at in self.timers.items() if at <= now]:
                del self.timers[token]
                events.append(interface.TimerFired(token))
            orders = self.controller.turn(now, events)
            self.log_delays(now)
            self.count_turn(now, events, orders)
            for front in self.additional_fronts:
                front.turn_taken(events, orders)
            self.store_contact.events_taken()
            await self.carry_out(orders)

    def count_turn(
        self, now: int, events: Sequence[interface.Event], orders: Sequence[interface.Order]
    ) -> None:
        """Counts the events and orders of a turn."""
        self.counters["service.turns"] += 1
        self.counters["service.events"] += len(events)
        self.figures.turn_took(self.clock.now() - now)
        for event in events:
            self.figures.event(now, event)
        for order in orders:
            self.figures.order(now, order)
        self.slice_report.turn_ended(now)

    def log_delays(self, began: int) -> None:
        """Logs slow turns and steps of the wall clock, which a reader of the log needs to know.

        They affect no decision.
        """
        if (took_us := self.clock.now() - began) > self.limits.late_us:
            self.counters["service.slow_turns"] += 1
            self.log.rate_limited("slow turn", took_us=took_us)
        if abs(step_us := self.clock.wall_step_us()) > self.limits.clock_step_us:
            self.counters["service.clock_steps"] += 1
            self.log.warn("wall clock was stepped", by_us=step_us)

    async def wait_for_turn(self, earliest: int) -> None:
        """Waits until an event is queued or a timer is due; keeps the shortest interval between turns."""
        entered, timer_at = self.clock.now(), min(self.timers.values(), default=None)
        if not self.inbox:
            wait = None if timer_at is None else max(0, timer_at - self.clock.now()) / 1e6
            try:
                async with asyncio.timeout(wait):
                    await self.event_arrived.wait()
            except TimeoutError:
                pass
        now = self.clock.now()
        expected = max(entered, earliest, now if timer_at is None else min(now, timer_at))
        await asyncio.sleep(max(0, earliest - self.clock.now()) / 1e6)
        # After a stall of the process, what arrived meanwhile is read first: queued events are outdated.
        if self.clock.now() - expected > self.limits.late_us:
            self.counters["service.late_turns"] += 1
            self.log.rate_limited("late turn", late_us=self.clock.now() - expected)
            await asyncio.sleep(self.launch.deployment.turn_interval_us / 1e6)

    async def carry_out(self, orders: list[interface.Order]) -> None:
        """Carries out a turn's orders. Those for proxies go in one relay call, settled before it returns."""
        for_proxies: list[interface.Order] = []
        for order in orders:
            match order:
                case interface.LogMessage(text):
                    self.log.info("mode", text=text)
                case interface.SetTimer(token, at_us):
                    self.timers[token] = at_us
                case interface.Probe(backend):
                    self.probes.start(backend, self.registry.addresses.get(backend))
                case interface.WatchRegistry():
                    self.registry.follow()
                case interface.BindProxy():
                    self.counters["service.orders_unknown"] += 1
                    self.log.rate_limited("unknown order", order=order)
                case _:
                    for_proxies.append(order)
        if for_proxies:
            began = self.clock.now()
            await self.calls.carry_out(for_proxies)
            self.figures.call_took(self.clock.now() - began)


async def serve(
    environment: Mapping[str, str],
    complete: Callable[[Launch], Launch] = lambda launch: launch,
    attach: Callable[[Service], None] = lambda service: None,
) -> None:
    """Runs a whole process: signals, the configuration and the service.

    `complete` finishes a configuration after each read. `attach` adds further front ends to the service.
    """
    loop, replaced = asyncio.get_running_loop(), asyncio.Event()
    # Set first, so that a file replaced while it is being read is read again.
    loop.add_signal_handler(signal.SIGHUP, replaced.set)
    service = Service(complete(await Launch.read_with_retries(environment)))
    attach(service)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, service.stop)
    loop.add_signal_handler(signal.SIGUSR1, service.print_counters)
    reloads = asyncio.create_task(reload_on_request(service, environment, replaced, complete))
    try:
        await service.run()
    finally:
        reloads.cancel()


async def reload_on_request(
    service: Service,
    environment: Mapping[str, str],
    replaced: asyncio.Event,
    complete: Callable[[Launch], Launch] = lambda launch: launch,
) -> None:
    """Reloads the configuration whenever `replaced` is set; an invalid one changes nothing."""
    while await replaced.wait():
        replaced.clear()
        try:
            await service.follow(complete(await Launch.read_with_retries(environment)))
        except BadStart as error:
            service.counters["service.reloads_refused"] += 1
            service.log.warn("configuration rejected", why=error)
        except Exception:  # a bug must only fail this reload, not the controller
            service.log.failed("reload failed")


def main(
    complete: Callable[[Launch], Launch] = lambda launch: launch,
    attach: Callable[[Service], None] = lambda service: None,
) -> int:
    """Runs the process; returns its exit status."""
    log.start()
    try:
        run_to_completion(serve(os.environ, complete, attach))
    except BadStart as error:
        print(f"lapispass: {error}", file=sys.stderr)
        return 2
    except Exception:
        PartLogger("main").failed("ended by a fault")
        return 1
    return 0
