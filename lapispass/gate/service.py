"""The gate's process: accepts connections, holds them, and moves or closes them as its steering decides."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable
from pathlib import Path

from lapispass.core import tables
from lapispass.core.memory_budget import MemoryBudget
from lapispass.core.plans import Plan
from lapispass.core.shared_types import DrainTerms
from lapispass.core.steering import Steering
from lapispass.gate import close_codes
from lapispass.gate.evented_reader import EventedProtocol, EventedReader
from lapispass.gate.handshake import Handshake
from lapispass.gate.limits import Limits
from lapispass.gate.paced_work import PacedWork
from lapispass.gate.standalone import Standalone
from lapispass.gate.tunnel import Tunnel
from lapispass.gate.uplink import Uplink
from lapispass.net import call_failures, log, process
from lapispass.net.acceptor import Acceptor, bound_address, listen_with_retries
from lapispass.net.clock import Clock
from lapispass.net.counters import Counters
from lapispass.net.log import PartLogger
from lapispass.operator import read as operator
from lapispass.operator.memory import gate_memory
from lapispass.operator.read import BadFile, Source


class Gate:
    """One gate. To embed it, `await Gate(source, seed).run()`; `stop()` ends that in an orderly way."""

    def __init__(self, source: Source, seed: int, limits: Limits | None = None) -> None:
        settings = source.settings
        if not settings.HasField("gate"):
            raise BadFile([source.at("gate", "missing: the file has no settings for a gate")])
        self.source, self.settings = source, settings.gate
        self.limits = limits or Limits.from_settings(settings)
        self.memory = MemoryBudget(self.limits.client_bytes)
        self.paced_work = PacedWork()
        self.clock, self.counters = Clock(), Counters()
        self.log = PartLogger("gate", self.limits.log_every_us)
        self.terms: DrainTerms = operator.drain_terms(settings)
        self.key_parameter = settings.gate.key_parameter
        self.classes = operator.classes(settings)
        is_standalone = not settings.gate.controller
        lease = 0 if is_standalone else self.limits.lease_us
        write_life_us = operator.standalone_gate(settings).linger_us
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
            self.clock.now() + write_life_us if is_standalone else 0,
            self.terms.usable_us,
        )
        self.tunnels: dict[int, Tunnel] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.upgrading: set[asyncio.Task[None]] = set()  # those of them whose upgrade has no final answer yet
        self.server: Acceptor | None = None
        self.ended = asyncio.Event()
        self.address = ""
        secret = operator.secret(settings.gate.secret_file, source, "gate.secret_file")
        self.uplink = Uplink(self, settings.gate.controller, secret) if settings.gate.controller else None
        self.standalone = Standalone(self, source, seed) if is_standalone else None
        if self.standalone is not None:
            self.standalone.follow(source)

    # called by handshakes and tunnels

    def upgrade_finished(self) -> None:
        if (task := asyncio.current_task()) is not None:
            self.upgrading.discard(task)

    def opened(self, tunnel: Tunnel) -> None:
        self.upgrade_finished()
        self.tunnels[tunnel.held.number] = tunnel
        self.counters["screens.standing"] += 1

    def closed(self, tunnel: Tunnel, marks: list[int]) -> None:
        self.tunnels.pop(tunnel.held.number, None)
        self.acknowledge(marks)

    def acknowledge(self, marks: list[int]) -> None:
        """Acknowledges the barriers with these marks."""
        if marks and self.uplink is not None:
            self.uplink.acknowledge(marks)
        if marks and self.standalone is not None:
            self.standalone.acknowledge(marks)

    # orders

    def apply_changes(self, changes: Iterable[tables.TableChange]) -> None:
        """Applies table changes and barriers at once. From here on no message begins under the older
        tables."""
        now = self.clock.now()
        effects = self.steering.apply_changes(changes)
        for number in effects.stopped:
            if tunnel := self.tunnels.get(number):
                tunnel.start_fence(now)
        for number in effects.to_recheck:
            if tunnel := self.tunnels.get(number):
                tunnel.wake.set()
        self.acknowledge(effects.acknowledged)

    def follow_plan(self, plan: Plan) -> bool:
        """Follows a plan of the controller; False if a newer one is in force. Nodes that the plan lists as
        dead must answer a ping."""
        now, known = self.clock.now(), self.steering.plan.dead
        if not self.steering.apply_plan(now, plan):
            return False
        for node in plan.dead - known:
            for held in list(self.steering.connections.at_node(node)):
                if tunnel := self.tunnels.get(held.number):
                    tunnel.start_fence(now)
        return True

    # run and stop

    async def run(self) -> None:
        """Serves until `stop()`, then closes all connections in order."""
        loop = asyncio.get_running_loop()
        listener = await listen_with_retries(self.settings.listen, self.limits.backlog)
        self.server = Acceptor(
            listener,
            self.make_protocol,
            name="screens",
            accept_batch=self.limits.at_once,
            max_read_bytes=self.limits.read_bytes,
            log=self.log,
            counters=self.counters,
        )
        self.address = await bound_address(listener)
        background_tasks = [
            loop.create_task(work)
            for work in (
                self.ticks(),
                self.ended.wait(),
                *([self.uplink.run()] if self.uplink else []),
            )
        ]
        self.log.info("listening", name=self.settings.name, address=self.address, zone=self.settings.zone)
        self.log.info(
            "memory divided",
            memory_mb=gate_memory(self.source.settings).memory_mb,
            connections=self.limits.connections,
            client_bytes=self.limits.client_bytes,
        )
        try:
            done, _ = await asyncio.wait(background_tasks, return_when=asyncio.FIRST_COMPLETED)
            for background_task in done:
                background_task.result()
        finally:
            self.server.close(self.limits.handshakes_at_once)
            await asyncio.gather(*self.server.tasks, return_exceptions=True)
            await self.close_all()  # meanwhile the tables are followed and the lease is checked
            for background_task in background_tasks:
                background_task.cancel()
            await asyncio.gather(*background_tasks, return_exceptions=True)
            self.print_counters()

    def stop(self) -> None:
        self.ended.set()

    async def close_all(self) -> None:
        """Ends all connections when the gate stops. Each client gets the answers that its node owes, as far
        as the time of the stop allows, and a close frame with a time to come back; each node gets a close
        frame. Upgrades under way are refused."""
        now = self.clock.now()
        leave_by = now + self.limits.stop_us - self.limits.flush_us
        for task in self.upgrading:
            task.cancel()
        for tunnel in list(self.tunnels.values()):
            tunnel.close_when_answered(close_codes.LEAVING_GATE, "gate ended", now, leave_by=leave_by)
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=(leave_by - now) / 1e6)
        # All at once, as many of them may be waiting for their turn until the time is over.
        for tunnel in list(self.tunnels.values()):
            tunnel.close_now(self.clock.now())
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=(now + self.limits.stop_us - leave_by) / 1e6)
        for task in self.tasks:
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=1)

    def make_protocol(self) -> asyncio.Protocol:
        """The protocol for a new connection, before its first byte."""
        return EventedProtocol(EventedReader(self.limits.reader_bytes, asyncio.Event()), self.serve)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection; runs as a task of its own."""
        task = asyncio.current_task()
        assert task is not None and isinstance(reader, EventedReader)
        self.counters["screens.came"] += 1
        self.tasks.add(task)
        account = self.memory.open_account()
        handshake = Handshake(self, reader, writer, account)
        try:
            if self.ended.is_set():  # accepted just as the gate stops
                await handshake.refuse_unread("the gate ends")
                return
            # A bound on upgrades under way, since a client may never finish its handshake.
            if len(self.upgrading) >= self.limits.handshakes_at_once:
                self.counters["screens.crowded_out"] += 1
                if len(self.tasks) - len(self.tunnels) <= 2 * self.limits.handshakes_at_once:
                    await handshake.refuse_unread("too many upgrades at once")
                else:  # bounds descriptors: this many are being refused already
                    writer.transport.abort()
                return
            self.upgrading.add(task)
            if accepted := await handshake.run():
                await Tunnel(self, reader, writer, accepted, account).run()
        except asyncio.CancelledError:
            writer.transport.abort()  # the gate stops, and a client that sent a request has been answered
        except Exception:  # an internal error ends this connection, not the gate
            self.counters["screens.faults"] += 1
            self.log.failed("connection failed")
            writer.transport.abort()
        finally:
            account.close()
            self.upgrading.discard(task)
            self.tasks.discard(task)

    async def ticks(self) -> None:
        """Moves or closes connections that are due, and checks the lease."""
        tick_us = self.limits.tick_us
        while True:
            await asyncio.sleep(tick_us / 1e6)
            log.flush_pending()
            now = self.clock.now()
            was = self.steering.writable
            for number in self.steering.expire_lease(now):
                # The node must have read everything, or be cut off, before the lease ends.
                if tunnel := self.tunnels.get(number):
                    tunnel.start_fence(now, max(now + 1, self.steering.lease_end()))
            if was != self.steering.writable:
                self.log_writable()
                for tunnel in self.tunnels.values():
                    if tunnel.held.write_blocked:
                        tunnel.wake.set()
            if self.standalone is not None:
                self.standalone.tick(now)
            for release in self.steering.tick(now, tick_us):
                if tunnel := self.tunnels.get(release.number):
                    self.steering.begin_release(now, tunnel.held)
                    tunnel.release = release.how
                    tunnel.wake.set()

    def log_writable(self) -> None:
        """Logs that writes have been allowed, or stopped."""
        if self.standalone is not None:
            self.log.info("writes of an earlier process have ended: writes begin")
        elif self.steering.writable:
            self.log.warn("lease renewed: writes resume")
        else:
            self.log.warn("no answer from the controller within the lease: writes stop")

    def print_counters(self) -> None:
        counted = {**self.counters.fields(), **call_failures.counted(), "log.lost": log.lost()}
        self.log.info("counters", held=len(self.tunnels), **counted)

    def reload(self) -> bool:
        """On SIGHUP, a standalone gate reads its nodes and table entries again. An invalid file changes
        nothing."""
        self.counters["gate.reloads"] += 1
        try:
            source = operator.read(self.source.path)
            if self.standalone is not None:
                self.standalone.follow(source)
        except BadFile as error:
            if error.is_transient:
                return False
            self.counters["gate.reloads_refused"] += 1
            for finding in error.findings:
                self.log.warn("operator file refused", why=finding)
        return True


async def serve(path: str | Path, seed: int) -> None:
    """Runs the whole process: signals, the operator file and the gate."""
    gate = Gate(operator.read_at_start(path), seed)
    process.install_signal_handlers(gate.stop, gate.print_counters, gate.reload)
    await gate.run()


def main(path: str | Path, seed: int, lines: logging.Formatter | None = None) -> int:
    """Runs the process and returns its exit status: 0 for an orderly end, 1 for an internal error, 2 for bad
    input."""
    return process.exit_status(serve(path, seed), BadFile, f"{path}: gate.listen", lines)
