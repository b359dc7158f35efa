"""A controller without the platform: nodes from the operator file, assignments in the embedded store, xDS
clients.

A turn here: gather events, ask the module, write the lines to the store, and only then publish. Probes are
plain connections. SIGHUP reads nodes and TLS keys again; streams stay.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Sequence
from pathlib import Path
from typing import Any

from lapispass import interface
from lapispass.controller import Controller
from lapispass.core import tables
from lapispass.net import log, process
from lapispass.net.clock import Clock
from lapispass.net.codec import Codec
from lapispass.net.counters import Counters
from lapispass.net.http import Backoff
from lapispass.net.limits import Limits
from lapispass.net.log import Part
from lapispass.net.probes import Probes
from lapispass.operator import read as operator
from lapispass.operator.operator_pb2 import Node
from lapispass.operator.read import BadFile, Source
from lapispass.retry import RetryWindow, retry_blocking
from lapispass.store.assignments import Assignments, NotWritten, Spoilt
from lapispass.xds.desk import desk_for, load_keys, tls_of

STATES = {Node.READY: "ready", Node.DRAINING: "draining", Node.GONE: "gone"}
STORE = 0  # the number of the store as a proxy
COMPACT_EVERY = 1000  # turns
OPENING = RetryWindow(wait_s=5.0)  # of a store on a disk that fails


class Host:
    """One controller. `await Host(source, seed).run()`; `stop()` ends that."""

    def __init__(self, source: Source, seed: int) -> None:
        if not source.told.HasField("alone"):
            raise BadFile(
                [source.at("alone", "missing: the file describes no controller without the platform")]
            )
        self.source, self.clock, self.counters = source, Clock(), Counters()
        self.log = Part("host", 1_000_000)
        self.told = operator.alone(source.told)
        self.limits = limits = Limits()
        self.inbox: list[interface.Event] = []
        self.wakes: dict[int, int] = {}
        self.news, self.ended = asyncio.Event(), asyncio.Event()
        self.probes = Probes(self.tell, Codec(self.told, limits.id_bytes), limits, self.counters)
        self.controller = Controller(self.told, seed, self.clock.now())
        self.desk = desk_for(source, self, self.clock.now, self.counters, self.told, seed)
        self.nodes: dict[str, Node] = {}
        self.list_nodes(source)
        self.open_store(source)
        # The store is a proxy that answers at once: without it nothing would be published while nobody may
        # write.
        self.inbox.append(interface.ProxyJoined(STORE, True, "", None))

    def open_store(self, source: Source) -> None:
        """The store's table is kept; the module starts no handover there for one lease.

        A disk that fails for a moment is tried again for a while.
        """
        path = Path(source.path).parent / source.told.alone.store_file
        try:
            self.store = retry_blocking(lambda: Assignments(path, self.told.slices), self.may_open, OPENING)
        except (Spoilt, NotWritten) as error:
            raise BadFile([source.at("alone.store_file", str(error))]) from None
        owners = self.store.owners()
        for number in range(self.told.slices):
            self.inbox.append(interface.SliceGrant(number, True))
            if owner := owners.get(number):
                self.inbox.append(interface.StoredOwner(number, owner))

    def may_open(self, error: Exception) -> bool:
        """Whether the store may open at a further attempt."""
        if not isinstance(error, NotWritten):
            return False
        self.log.rate_limited("store not opened", why=error)
        return True

    def list_nodes(self, source: Source) -> None:
        """The nodes of the file, as a list that is whole."""
        self.nodes = {node.id: node for node in source.told.node}
        entries = []
        for node in source.told.node:
            weight = node.weight if node.HasField("weight") else None
            born_us = node.started_unix_ms * 1000 or None
            entries.append(interface.RegistryEntry(node.id, node.zone, STATES[node.state], weight, born_us))
        self.inbox.append(interface.RegistryUpdate("whole", tuple(entries)))
        self.desk.addresses = {node.id: tables.Address(node.address, node.zone) for node in source.told.node}
        self.news.set()

    def tell(self, event: interface.Event) -> None:
        """For the next turn. Sums are left out where too many wait."""
        if len(self.inbox) > 20_000 and isinstance(event, interface.ServerReport | interface.RequestReport):
            self.counters["host.events_left_out"] += 1
            return
        self.inbox.append(event)
        self.news.set()

    def stop(self) -> None:
        self.ended.set()

    def print_counters(self) -> None:
        self.log.say(
            "counters", clients=len(self.desk.clients), **self.counters.fields(), **{"log.lost": log.lost()}
        )

    def read_again(self) -> bool:
        """SIGHUP: nodes and keys anew, streams stay; a bad file changes nothing."""
        self.counters["host.reloads"] += 1
        try:
            source = operator.read(self.source.path)
            if not source.told.HasField("alone") or operator.alone(source.told).slices != self.told.slices:
                raise BadFile([source.at("alone.slices", "followed after a restart only")])
            if self.desk.tls is not None:
                load_keys(tls_of(source) or self.desk.tls, source)  # tried on a context of its own first
                load_keys(self.desk.tls, source)
            self.list_nodes(source)
            self.log.say("operator file read again", nodes=len(self.nodes))
        except BadFile as error:
            if error.may_pass:
                return False
            self.counters["host.reloads_refused"] += 1
            for finding in error.findings:
                self.log.warn("operator file refused", why=finding)
        return True

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        lives = [loop.create_task(life) for life in (self.desk.run(), self.ended.wait(), *self.lives())]
        try:
            done, _ = await asyncio.wait(lives, return_when=asyncio.FIRST_COMPLETED)
            for life in done:
                life.result()
        finally:
            for task in [*lives, *self.probes.under_way.values()]:
                task.cancel()
            await asyncio.gather(*lives, return_exceptions=True)
            self.close_store()
            self.print_counters()

    def lives(self) -> list[Coroutine[Any, Any, None]]:
        """What runs beside the desk."""
        return [self.turns()]

    def close_store(self) -> None:
        self.store.close()

    async def turns(self) -> None:
        """One turn after the other."""
        while True:
            await self.due()
            await self.turn()

    async def due(self) -> None:
        """Until there is news, or a wake-up has come."""
        now = self.clock.now()
        wake = min(self.wakes.values(), default=now + 1_000_000)
        try:
            async with asyncio.timeout(max(0, wake - now) / 1e6):
                await self.news.wait()
        except TimeoutError:
            pass
        await asyncio.sleep(self.told.turn_interval_us / 1e6)

    def decide(self) -> tuple[list[interface.Event], list[interface.Order]]:
        """What waits goes to the module; its orders."""
        now = self.clock.now()
        self.news.clear()
        events, self.inbox = self.inbox, []
        for token in [token for token, at in self.wakes.items() if at <= now]:
            del self.wakes[token]
            events.append(interface.TimerFired(token))
        self.counters["host.turns"] += 1
        return events, self.controller.turn(now, events)

    async def turn(self) -> None:
        """The module's lines are on the disk before anyone is told."""
        events, orders = self.decide()
        await self.commit(orders)
        self.carry_out(orders)
        self.desk.turned(events, orders)

    async def commit(self, orders: Sequence[interface.Order]) -> None:
        """Writes until the disk takes it: what the module has decided is owed, and no turn goes before it."""
        again = Backoff(self.limits)
        while True:
            try:
                if not self.store.commit(orders):
                    return
                self.counters["host.commits"] += 1
                break
            except NotWritten as error:
                self.counters["host.commits_failed"] += 1
                self.log.rate_limited("store not written", why=error)
            await again.wait()
        if self.store.turn % COMPACT_EVERY == 0:
            try:
                self.store.compact()
            except NotWritten as error:
                self.counters["host.compactions_failed"] += 1
                self.log.rate_limited("store not compacted", why=error)

    def carry_out(self, orders: Sequence[interface.Order]) -> None:
        """What is not for clients."""
        for order in orders:
            match order:
                case interface.LogMessage(text):
                    self.log.say("mode", text=text)
                case interface.SetTimer(token, at_us):
                    self.wakes[token] = at_us
                case interface.Barrier(number):
                    self.tell(interface.BarrierAck(STORE, number, 0))
                case interface.Probe(backend):
                    node = self.nodes.get(str(backend))
                    self.probes.start(backend, node.address if node is not None else None)
                case _:
                    pass


async def serve(path: Path, seed: int, kind: type[Host]) -> None:
    """A whole process."""
    host = kind(operator.read_at_start(path), seed)
    process.on_signals(host.stop, host.print_counters, host.read_again)
    await host.run()


def main(path: Path, seed: int, kind: type[Host] = Host) -> int:
    """The process's status: 0 ended in order, 1 a fault, 2 bad input."""
    return process.status(serve(path, seed, kind), BadFile, f"{path}: xds.listen")
