"""Hosts a controller without the platform: nodes from the operator file, an embedded store, xDS clients.

A turn gathers events, lets the controller decide, writes the assignments to the store, and only then
publishes them. Probes are plain connections. SIGHUP reads nodes and TLS keys again; open streams continue.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any

from lapispass import interface
from lapispass.controller import Controller
from lapispass.core import tables
from lapispass.core.memory_budget import MemoryBudget
from lapispass.core.slice_grants import grant_events
from lapispass.net import log, process
from lapispass.net.clock import Clock
from lapispass.net.codec import Codec
from lapispass.net.counters import Counters
from lapispass.net.http import Backoff
from lapispass.net.limits import Limits
from lapispass.net.log import PartLogger
from lapispass.net.probes import Probes
from lapispass.operator import read as operator
from lapispass.operator.memory import xds_memory
from lapispass.operator.operator_pb2 import Node
from lapispass.operator.read import BadFile, Source
from lapispass.retry import RetryWindow, retry_blocking
from lapispass.store.assignments import Assignment, Assignments, CorruptStore, StoreUnavailable
from lapispass.xds.xds_server import create_xds_server, load_tls_keys, tls_context

STATES = {Node.READY: "ready", Node.DRAINING: "draining", Node.GONE: "gone"}
STORE_PROXY = 0  # the number under which the store counts as a proxy
COMPACT_EVERY = 1000  # turns
STORE_OPEN_RETRY = RetryWindow(wait_s=5.0)  # for a store on a disk that fails for a moment


class Host:
    """Hosts one controller: `await Host(source, seed).run()` serves until `stop()` is called."""

    def __init__(self, source: Source, seed: int) -> None:
        if not source.settings.HasField("alone"):
            raise BadFile(
                [source.at("alone", "missing: the file does not describe a controller without the platform")]
            )
        self.source, self.clock, self.counters = source, Clock(), Counters()
        self.log = PartLogger("host", 1_000_000)
        self.deployment = operator.alone(source.settings)
        self.limits = limits = Limits()
        self.inbox: list[interface.Event] = []
        self.timers: dict[int, int] = {}
        self.has_events, self.stopped = asyncio.Event(), asyncio.Event()
        self.probes = Probes(self.deliver, Codec(self.deployment, limits.id_bytes), limits, self.counters)
        self.controller = Controller(self.deployment, seed, self.clock.now())
        memory = xds_memory(source.settings)
        self.xds_server = create_xds_server(
            source,
            self,
            self.clock.now,
            self.counters,
            self.deployment,
            seed,
            memory=MemoryBudget(memory.client_bytes),
            max_connections=memory.connections,
        )
        self.log.info("memory divided", **memory._asdict())
        self.nodes: dict[str, Node] = {}
        self.load_nodes(source)
        self.open_store(source)
        # The store counts as a proxy that acknowledges at once. Without any proxy the controller would
        # publish nothing while no client may write.
        self.inbox.append(interface.ProxyJoined(STORE_PROXY, True, "", None))

    def open_store(self, source: Source) -> None:
        """Opens the store and takes over its assignments; no handover starts there for one lease.

        If the disk fails for a moment, opening is retried for a while.
        """
        path = Path(source.path).parent / source.settings.alone.store_file
        try:
            self.store = retry_blocking(
                lambda: Assignments(path, self.deployment.slices), self.may_retry_open, STORE_OPEN_RETRY
            )
        except (CorruptStore, StoreUnavailable) as error:
            raise BadFile([source.at("alone.store_file", str(error))]) from None
        for number in range(self.deployment.slices):
            stored = self.store.assignment(number)
            self.inbox += grant_events(number, stored.owner, stored.writes_blocked)

    def may_retry_open(self, error: Exception) -> bool:
        """Whether opening the store may succeed at a further attempt."""
        if not isinstance(error, StoreUnavailable):
            return False
        self.log.rate_limited("opening the store failed", why=error)
        return True

    def load_nodes(self, source: Source) -> None:
        """Reports the nodes of the file to the controller, as a complete list."""
        self.nodes = {node.id: node for node in source.settings.node}
        entries = []
        for node in source.settings.node:
            weight = node.weight if node.HasField("weight") else None
            born_us = node.started_unix_ms * 1000 or None
            entries.append(interface.RegistryEntry(node.id, node.zone, STATES[node.state], weight, born_us))
        self.inbox.append(interface.RegistryUpdate("whole", tuple(entries)))
        self.xds_server.addresses = {
            node.id: tables.Address(node.address, node.zone) for node in source.settings.node
        }
        self.has_events.set()

    def deliver(self, event: interface.Event) -> None:
        """Adds an event to the next turn. Load events are dropped while too many events wait."""
        if len(self.inbox) > 20_000 and isinstance(event, interface.ServerReport | interface.RequestReport):
            self.counters["host.events_left_out"] += 1
            return
        self.inbox.append(event)
        self.has_events.set()

    def stop(self) -> None:
        self.stopped.set()

    def print_counters(self) -> None:
        self.log.info(
            "counters",
            clients=len(self.xds_server.clients),
            **self.counters.fields(),
            **{"log.lost": log.lost()},
        )

    def read_again(self) -> bool:
        """Handles SIGHUP: reads nodes and TLS keys again; open streams continue.

        An invalid file changes nothing. False if the file could not be read for the moment.
        """
        self.counters["host.reloads"] += 1
        try:
            source = operator.read(self.source.path)
            if (
                not source.settings.HasField("alone")
                or operator.alone(source.settings).slices != self.deployment.slices
            ):
                raise BadFile([source.at("alone.slices", "a change needs a restart")])
            if self.xds_server.tls is not None:
                # A new context validates the files before the context in use is changed.
                load_tls_keys(tls_context(source) or self.xds_server.tls, source)
                load_tls_keys(self.xds_server.tls, source)
            self.load_nodes(source)
            self.log.info("operator file read again", nodes=len(self.nodes))
        except BadFile as error:
            if error.is_transient:
                return False
            self.counters["host.reloads_refused"] += 1
            for finding in error.findings:
                self.log.warn("operator file refused", why=finding)
        return True

    async def run(self) -> None:
        """Serves until `stop` is called or a task fails."""
        loop = asyncio.get_running_loop()
        tasks = [
            loop.create_task(task)
            for task in (self.xds_server.run(), self.stopped.wait(), *self.background_tasks())
        ]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            for task in [*tasks, *self.probes.under_way.values()]:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self.close_store()
            self.print_counters()

    def background_tasks(self) -> list[Coroutine[Any, Any, None]]:
        """The tasks that run beside the xDS server."""
        return [self.run_turns()]

    def close_store(self) -> None:
        self.store.close()

    async def run_turns(self) -> None:
        """Takes turns, one after the other."""
        while True:
            await self.wait_until_due()
            await self.turn()

    async def wait_until_due(self) -> None:
        """Waits until there are events or a timer has fired, and for the pause between turns."""
        now = self.clock.now()
        wake_at = min(self.timers.values(), default=now + 1_000_000)
        try:
            async with asyncio.timeout(max(0, wake_at - now) / 1e6):
                await self.has_events.wait()
        except TimeoutError:
            pass
        await asyncio.sleep(self.deployment.turn_interval_us / 1e6)

    def decide(self) -> tuple[list[interface.Event], list[interface.Order]]:
        """Takes a turn of the controller; returns its events and its orders."""
        now = self.clock.now()
        self.has_events.clear()
        events, self.inbox = self.inbox, []
        for token in [token for token, at in self.timers.items() if at <= now]:
            del self.timers[token]
            events.append(interface.TimerFired(token))
        self.counters["host.turns"] += 1
        return events, self.controller.turn(now, events)

    async def turn(self) -> None:
        """Takes a turn. Its assignments are written to the disk before they are published."""
        events, orders = self.decide()
        snapshot = self.xds_server.snapshot
        changes, barrier = snapshot.apply_turn(events, orders, self.xds_server.addresses)
        await self.commit(changed_assignments(snapshot.tables, changes))
        self.execute_orders(orders)
        self.publish_turn(orders, changes, barrier)

    def publish_turn(
        self, orders: Sequence[interface.Order], changes: list[tables.TableChange], barrier: int | None
    ) -> None:
        """Publishes the changes that a turn's orders have made, once they are on the disk."""
        self.xds_server.publish(self.xds_server.snapshot.tables, changes, barrier)

    async def commit(self, assignments: Mapping[int, Assignment]) -> None:
        """Writes a turn's assignments, and retries until the disk takes them.

        The controller counts its decisions as made, so no later turn may be published before them.
        """
        backoff = Backoff(self.limits)
        while True:
            try:
                if not self.store.commit(assignments):
                    return
                self.counters["host.commits"] += 1
                break
            except StoreUnavailable as error:
                self.counters["host.commits_failed"] += 1
                self.log.rate_limited("writing to the store failed", why=error)
            await backoff.wait()
        if self.store.turn % COMPACT_EVERY == 0:
            try:
                self.store.compact()
            except StoreUnavailable as error:
                self.counters["host.compactions_failed"] += 1
                self.log.rate_limited("compacting the store failed", why=error)

    def execute_orders(self, orders: Sequence[interface.Order]) -> None:
        """Carries out the orders that are not for clients."""
        for order in orders:
            match order:
                case interface.LogMessage(text):
                    self.log.info("mode", text=text)
                case interface.SetTimer(token, at_us):
                    self.timers[token] = at_us
                case interface.Barrier(number):
                    self.deliver(interface.BarrierAck(STORE_PROXY, number, 0))
                case interface.Probe(backend):
                    node = self.nodes.get(str(backend))
                    self.probes.start(backend, node.address if node is not None else None)
                case _:
                    pass


def changed_assignments(
    current: tables.Tables, changes: Iterable[tables.TableChange]
) -> dict[int, Assignment]:
    """What the store has to keep of the slices that a turn has changed."""
    numbers = {change.slice for change in changes if isinstance(change, tables.SetOwner | tables.SetShare)}
    return {
        number: Assignment(current.owners.get(number), current.shares.get(number, tables.DEFAULT_SHARE).shut)
        for number in sorted(numbers)
    }


async def serve(path: Path, seed: int, host_type: type[Host]) -> None:
    """Runs a controller process until a signal stops it."""
    host = host_type(operator.read_at_start(path), seed)
    process.install_signal_handlers(host.stop, host.print_counters, host.read_again)
    await host.run()


def main(path: Path, seed: int, host_type: type[Host] = Host) -> int:
    """The exit code of the process: 0 stopped, 1 failed, 2 invalid input."""
    return process.exit_status(serve(path, seed, host_type), BadFile, f"{path}: xds.listen")
