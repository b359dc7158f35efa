"""A gate: takes connections, holds them, and lets them go as its steering says."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable
from pathlib import Path

from lapispass.core import tables
from lapispass.core.facts import DrainTerms
from lapispass.core.plans import Plan
from lapispass.core.steering import Steering
from lapispass.gate.evented_reader import EventedProtocol, EventedReader
from lapispass.gate.handshake import Handshake
from lapispass.gate.limits import Limits
from lapispass.gate.lone import Lone
from lapispass.gate.tunnel import Tunnel
from lapispass.gate.uplink import Uplink
from lapispass.net import call_failures, log, process
from lapispass.net.acceptor import Acceptor, bound_address, listen_with_retries
from lapispass.net.clock import Clock
from lapispass.net.counters import Counters
from lapispass.net.log import PartLogger
from lapispass.operator import read as operator
from lapispass.operator.read import BadFile, Source


class Gate:
    """One gate. Embed it with `await Gate(source, seed).run()`; `stop()` ends that in order."""

    def __init__(self, source: Source, seed: int, limits: Limits | None = None) -> None:
        settings = source.told
        if not settings.HasField("gate"):
            raise BadFile([source.at("gate", "missing: the file describes no gate")])
        self.source, self.settings = source, settings.gate
        self.limits = limits or Limits.from_settings(settings.gate)
        self.clock, self.counters = Clock(), Counters()
        self.log = PartLogger("gate", self.limits.log_every_us)
        self.terms: DrainTerms = operator.drain_terms(settings)
        self.key_parameter = settings.gate.key_parameter
        self.classes = operator.classes(settings)
        lease = self.limits.lease_us if settings.gate.controller else 0
        self.steering = Steering(
            self.classes,
            settings.gate.slices,
            self.limits.connections,
            self.limits.new_per_s,
            self.limits.burst,
            seed,
            lease,
            2 * self.limits.fence_us,
            (self.terms.come_back_least_us, self.terms.come_back_most_us),
        )
        self.tunnels: dict[int, Tunnel] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.upgrading: set[asyncio.Task[None]] = set()  # of these, until their tunnel stands
        self.server: Acceptor | None = None
        self.ended = asyncio.Event()
        self.address = ""
        secret = operator.secret(settings.gate.secret_file, source, "gate.secret_file")
        self.uplink = Uplink(self, settings.gate.controller, secret) if settings.gate.controller else None
        self.lone = None if settings.gate.controller else Lone(self, source)

    # what tunnels call

    def answered(self) -> None:
        if (task := asyncio.current_task()) is not None:
            self.upgrading.discard(task)

    def opened(self, tunnel: Tunnel) -> None:
        self.answered()
        self.tunnels[tunnel.held.number] = tunnel
        self.counters["screens.standing"] += 1

    def closed(self, tunnel: Tunnel, answers: list[int]) -> None:
        self.tunnels.pop(tunnel.held.number, None)
        self.tell(answers)

    def tell(self, answers: list[int]) -> None:
        """Marks that can be answered."""
        if answers and self.uplink is not None:
            self.uplink.answer(answers)

    # orders

    def carry_out(self, changes: Iterable[tables.Change]) -> None:
        """Table changes and marks, at once: from here on nothing begins by the older table."""
        now = self.clock.now()
        effects = self.steering.apply(changes)
        for number in effects.stopped:
            if tunnel := self.tunnels.get(number):
                tunnel.stop_and_prove(now)
        for number in effects.freed:
            if tunnel := self.tunnels.get(number):
                tunnel.wake.set()
        self.tell(effects.answers)

    def follow(self, plan: Plan) -> bool:
        """A plan of the controller; False where a newer one is in force. Nodes called gone must show a sign
        of life."""
        now, known = self.clock.now(), self.steering.plan.dead
        if not self.steering.follow(now, plan):
            return False
        for node in plan.dead - known:
            for held in list(self.steering.book.at(node)):
                if tunnel := self.tunnels.get(held.number):
                    tunnel.stop_and_prove(now)
        return True

    # its life

    async def run(self) -> None:
        """Serves until `stop()`, then closes what it holds in order."""
        loop = asyncio.get_running_loop()
        listener = await listen_with_retries(self.settings.listen, self.limits.backlog)
        self.server = Acceptor(
            listener,
            self.take,
            name="screens",
            accept_batch=self.limits.at_once,
            log=self.log,
            counters=self.counters,
        )
        self.address = await bound_address(listener)
        lives = [
            loop.create_task(life)
            for life in (self.ticks(), self.ended.wait(), *([self.uplink.run()] if self.uplink else []))
        ]
        self.log.say("listening", name=self.settings.name, address=self.address, zone=self.settings.zone)
        try:
            done, _ = await asyncio.wait(lives, return_when=asyncio.FIRST_COMPLETED)
            for life in done:
                life.result()
        finally:
            for life in lives:
                life.cancel()
            self.server.close(self.limits.shaking)
            await asyncio.gather(*self.server.tasks, return_exceptions=True)
            await self.leave()
            await asyncio.gather(*lives, return_exceptions=True)
            self.print_counters()

    def stop(self) -> None:
        self.ended.set()

    async def leave(self) -> None:
        """Its own end: each client gets a close frame with when to come back, and so does its node. Upgrades
        under way are refused."""
        now = self.clock.now()
        for task in self.upgrading:
            task.cancel()
        for tunnel in list(self.tunnels.values()):
            tunnel.how = "gate ended"
            tunnel.close_for_later(1001, now)
            tunnel.wake.set()
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=self.limits.stop_us / 1e6)
        for task in self.tasks:
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=1)

    def take(self) -> asyncio.Protocol:
        """A connection that has come, before its first byte."""
        return EventedProtocol(EventedReader(self.limits.read_bytes, asyncio.Event()), self.serve)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """The task of one connection."""
        task = asyncio.current_task()
        assert task is not None and isinstance(reader, EventedReader)
        self.counters["screens.came"] += 1
        self.tasks.add(task)
        handshake = Handshake(self, reader, writer)
        try:
            if self.ended.is_set():  # accepted in the instant of the end
                await handshake.refuse_unread("the gate ends")
                return
            if len(self.upgrading) >= self.limits.shaking:  # Guards against never-ending handshakes.
                self.counters["screens.crowded_out"] += 1
                if len(self.tasks) - len(self.tunnels) <= 2 * self.limits.shaking:
                    await handshake.refuse_unread("too many upgrades at once")
                else:  # Guards descriptors: so many are being refused already.
                    writer.transport.abort()
                return
            self.upgrading.add(task)
            if accepted := await handshake.run():
                await Tunnel(self, reader, writer, accepted).run()
        except asyncio.CancelledError:
            writer.transport.abort()  # in order: the gate ends, and whoever has asked is answered
        except Exception:  # a fault of our own costs this connection, not the gate
            self.counters["screens.faults"] += 1
            self.log.failed("connection failed")
            writer.transport.abort()
        finally:
            self.upgrading.discard(task)
            self.tasks.discard(task)

    async def ticks(self) -> None:
        """Lets go whoever is due, and looks after the lease."""
        tick_us = self.limits.tick_us
        while True:
            await asyncio.sleep(tick_us / 1e6)
            log.flush_pending()
            now = self.clock.now()
            was = self.steering.writable
            for number in self.steering.expired(now):
                if tunnel := self.tunnels.get(number):  # proven or cut before the lease ends
                    tunnel.stop_and_prove(now, max(now + 1, self.steering.lease_ends()))
            if was != self.steering.writable:
                self.log.warn(
                    "writes go on" if self.steering.writable else "no word of the controller: writes stop"
                )
                for tunnel in self.tunnels.values():
                    if tunnel.held.waiting:
                        tunnel.wake.set()
            if self.lone is not None:
                self.lone.tick(now)
            for release in self.steering.tick(now, tick_us):
                if tunnel := self.tunnels.get(release.number):
                    self.steering.leave(tunnel.held)
                    tunnel.release = release.how
                    tunnel.wake.set()

    def print_counters(self) -> None:
        counted = {**self.counters.fields(), **call_failures.counted(), "log.lost": log.lost()}
        self.log.say("counters", held=len(self.tunnels), **counted)

    def read_again(self) -> bool:
        """SIGHUP: a gate that stands alone takes its nodes and lines anew; a bad file changes nothing."""
        self.counters["gate.reloads"] += 1
        try:
            source = operator.read(self.source.path)
            if self.lone is not None:
                self.lone.follow(source)
        except BadFile as error:
            if error.may_pass:
                return False
            self.counters["gate.reloads_refused"] += 1
            for finding in error.findings:
                self.log.warn("operator file refused", why=finding)
        return True


async def serve(path: str | Path, seed: int) -> None:
    """A whole process: signals, the operator file and the gate."""
    gate = Gate(operator.read_at_start(path), seed)
    process.install_signal_handlers(gate.stop, gate.print_counters, gate.read_again)
    await gate.run()


def main(path: str | Path, seed: int, lines: logging.Formatter | None = None) -> int:
    """The process's status: 0 ended in order, 1 a fault, 2 bad input."""
    return process.exit_status(serve(path, seed), BadFile, f"{path}: gate.listen", lines)
