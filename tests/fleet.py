"""A slow, plain model of the rules, and a small fleet of proxies that does as it is ordered.

It shares no code with the decisions: it only watches orders and plays what proxies would do.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from lapispass import interface
from lapispass.controller import Controller

MS = 1000
SECOND = 1000 * MS
GRACE_US = 2500 * MS
STORE = -1  # in place of a proxy


def deployment(**changes) -> interface.Deployment:
    """A deployment of ordinary size; a test names what it needs otherwise."""
    told = dict(
        classes=(
            interface.RequestClass("look", 1500 * MS, 5 * SECOND, 1.0, False, False),
            interface.RequestClass("pay", 2 * SECOND, 4 * SECOND, 3.0, True, False),
        ),
        zones=("east", "west"),
        proxies=4,
        slices=12,
        lease_us=1200 * MS,
        linger_us=3 * SECOND,
        unserved_limit_us=14 * SECOND,
        lines_per_s=9000.0,
        message_overhead_lines=12.0,
        queue_limit_lines=14000.0,
        max_messages=24,
        message_window_us=10 * SECOND,
        report_interval_us=SECOND,
        default_retry=1,
        subscribes_to_registry=False,
        probes_allowed=True,
        must_leave_gone=True,
        admission_mode="share",
        cold_us=12 * SECOND,
        cold_share=0.2,
        cold_overload_factor=2.5,
        load_fields=(),
    )
    return interface.Deployment(**{**told, **changes})


def server(
    name: int | str, state: str = "ready", zone: str = "east", started_us: int | None = None
) -> interface.RegistryEntry:
    """A server as the list has it."""
    return interface.RegistryEntry(name, zone, state, 1.0, started_us)


def changed(*entries: interface.RegistryEntry) -> interface.RegistryUpdate:
    """The list's news of some servers."""
    return interface.RegistryUpdate("changes", entries)


def standing(
    entries: Sequence[interface.RegistryEntry], proxies: int, slices: int, first: bool = True
) -> list[interface.Event]:
    """The news that put a controller in the middle of its work: servers probed, proxies in, slices dealt."""
    owners = [entry.backend for entry in entries]
    return [
        interface.RegistryUpdate("whole", tuple(entries)),
        *(interface.ProbeResult(owner, 0, MS, None) for owner in owners),
        *(interface.ProxyJoined(number, first, "east", 1.0) for number in range(proxies)),
        *(
            event
            for number in range(slices)
            for event in (
                interface.SliceGrant(number, True),
                interface.StoredOwner(number, owners[number % len(owners)]),
            )
        ),
    ]


def answers(orders: Sequence[interface.Order], proxies: int, took_us: int) -> list[interface.Event]:
    """What all proxies answer to the marks among a turn's orders."""
    return [
        interface.BarrierAck(number, order.number, took_us)
        for order in orders
        if isinstance(order, interface.Barrier)
        for number in range(proxies)
    ]


@dataclass
class Table:
    """A slice's table: its owner, the count of owners so far, and what is let in."""

    owner: int | None = None
    count: int = 0
    writes: bool = True
    share: float = 1.0  # of the class of least benefit


@dataclass
class Proxy:
    joined: bool = False
    broken_at: int = 0
    read: bool = False
    reads_at: int = 0
    stalled_until: int = 0
    tables: dict[int, Table] = field(default_factory=dict)
    out: set[int] = field(default_factory=set)
    coming: list = field(default_factory=list)


class Fleet:
    """One controller, its proxies and the list; each step of 50 ms the rules are looked at."""

    def __init__(
        self, told: interface.Deployment, backends: int, seed: int, visits: int = 3, ran_s: float = 0
    ) -> None:
        self.told, self.chance, self.now = told, random.Random(seed), 100 * SECOND
        self.visits = visits
        self.list = {100 + n: server(100 + n, zone=told.zones[n % 2]) for n in range(backends)}
        self.up = set(self.list)
        self.store = {s: Table(100 + s % backends) for s in range(told.slices)}
        self.proxies = [Proxy() for _ in range(told.proxies)]
        self.last_write: dict[int, dict[int, int]] = {s: {} for s in self.store}
        self.newest = dict.fromkeys(self.store, -1)
        self.bare_since: dict[tuple[int, int], int] = {}  # proxy and slice
        self.unfit_since: dict[int, int] = {}
        self.sent: list[int] = []
        self.logs: list[str] = []
        self.news: list[interface.Event] = []
        self.wake, self.queued, self.queued_at = self.now, 0.0, self.now
        self.mute: set[int] = set()
        self.losing: dict[int, int] = {}  # of nine tries at a server, so many fail at once
        self.controller: Controller | None = None
        self.start()
        for number in range(told.proxies):
            self.join(number)
        self.run(ran_s)

    def owners(self) -> set[int | None]:
        return {table.owner for table in self.store.values()}

    def start(self) -> None:
        """The controller starts over, with the list and the store only."""
        self.controller = Controller(self.told, self.chance.randrange(1 << 32), self.now)
        self.news = [interface.RegistryUpdate("remembered", tuple(self.list.values()))]
        for number, table in self.store.items():
            table.writes = True
            self.news.append(interface.SliceGrant(number, True))
            if table.owner is not None:
                self.news.append(interface.StoredOwner(number, table.owner))
        self.wake, self.sent = self.now, []
        self.bare_since.clear()

    def crash(self) -> None:
        for number in range(self.told.proxies):
            self.leave(number)
        self.controller = None

    def join(self, number: int) -> None:
        proxy = self.proxies[number]
        first, proxy.joined, proxy.read = not proxy.tables, True, False
        proxy.reads_at = self.now + int(self.chance.uniform(0.05, 0.5) * SECOND)
        self.news.append(interface.ProxyJoined(number, first, "east", 5.0, reads_store=True))

    def leave(self, number: int) -> None:
        proxy = self.proxies[number]
        if proxy.joined:
            proxy.joined, proxy.coming = False, []
            if proxy.read:  # else its writes end by the lease of an earlier stream
                proxy.broken_at = self.now
            self.news.append(interface.ProxyLeft(number))

    def rejoin_one_by_one(self, numbers: Iterable[int], away_s: float) -> None:
        for number in numbers:
            self.leave(number)
            self.run(away_s)
            self.join(number)

    def change(self, backend: int, state: str, born: int | None = None) -> None:
        old = self.list.get(backend, interface.RegistryEntry(backend, "east", state, 1.0, None))
        self.list[backend] = old._replace(state=state, started_us=born or old.started_us)
        (self.up.discard if state == "gone" else self.up.add)(backend)
        if state == "gone":  # what a dead process held is over
            for writes in self.last_write.values():
                writes.pop(backend, None)
        self.tell([self.list[backend]])

    def tell(self, entries: list[interface.RegistryEntry]) -> None:
        """The list says something, true or not."""
        for entry in entries:
            self.list[entry.backend] = entry
            if entry.state == "ready":
                self.unfit_since.pop(entry.backend, None)
            elif entry.state == "draining" or self.told.must_leave_gone:
                self.unfit_since.setdefault(entry.backend, self.now)
        self.news.append(changed(*entries))

    def run(self, seconds: float) -> None:
        until = self.now + int(seconds * SECOND)
        while self.now < until:
            self.now += 50 * MS
            self.step()

    def step(self) -> None:
        for number, proxy in enumerate(self.proxies):
            if proxy.joined and not proxy.read and self.now >= max(proxy.reads_at, proxy.stalled_until):
                proxy.read = True
                proxy.tables = {s: Table(t.owner, t.count, t.writes) for s, t in self.store.items()}
            while proxy.coming and proxy.read and proxy.coming[0][0] <= self.now >= proxy.stalled_until:
                _, issued, orders = proxy.coming.pop(0)
                for order, count in orders:
                    self.apply(proxy, number, order, count, issued)
        if self.now % SECOND == 0 and self.controller:
            self.report()
        if self.controller and (self.news or self.now >= self.wake):
            if self.now >= self.wake:
                self.news.append(interface.TimerFired(0))
            news, self.news = self.news, []
            self.ordered(self.controller.turn(self.now, news))
        self.look()

    def ordered(self, orders: list[interface.Order]) -> None:
        message = []
        for order in orders:
            match order:
                case interface.SetTableEntry(table, backend, _):
                    assert backend in self.list
                    held = self.store[table]
                    held.count += held.owner != backend
                    held.owner = backend
                    message.append((order, held.count))
                case interface.ClearTable(table):
                    held = self.store[table]
                    held.owner, held.writes, held.share = None, True, 1.0
                    message.append((order, 0))
                case interface.SetAdmission(table, classes, _, share):
                    if classes >> 1 & 1:
                        self.store[table].writes = share > 0
                    if classes & 1:
                        self.store[table].share = share
                    message.append((order, 0))
                case interface.SetWithdrawn() | interface.Barrier():
                    message.append((order, 0))
                case interface.SetTimer(_, at_us):
                    self.wake = at_us
                case interface.LogMessage(text):
                    self.logs.append(text)
                case interface.Probe(backend):
                    fails = backend in self.mute or backend not in self.up
                    self.news.append(interface.ProbeResult(backend, 3 if fails else 0, 2000, None))
        if message:
            joined = [proxy for proxy in self.proxies if proxy.joined]
            self.sent.append(self.now)
            self.queued -= min(self.queued, self.told.lines_per_s * (self.now - self.queued_at) / SECOND)
            self.queued_at = self.now
            self.queued += len(joined) * (len(message) + self.told.message_overhead_lines)
            assert self.queued <= self.told.queue_limit_lines, "rule 5: too many lines wait"
            recent = [at for at in self.sent if at > self.now - self.told.message_window_us]
            assert len(recent) <= self.told.max_messages, "rule 5: too many messages to a proxy"
            for proxy in joined:
                way = self.chance.uniform(0.05, 0.6) * SECOND
                at = max([self.now + int(way)] + [at for at, _, _ in proxy.coming[-1:]])
                proxy.coming.append((at, self.now, message))

    def apply(self, proxy: Proxy, number: int, order: interface.Order, count: int, issued: int) -> None:
        match order:
            case interface.SetTableEntry(table, backend, _):
                if count >= proxy.tables[table].count:
                    proxy.tables[table].owner, proxy.tables[table].count = backend, count
            case interface.ClearTable(table):
                proxy.tables[table].owner, proxy.tables[table].writes = None, True
            case interface.SetAdmission(table, classes, _, share) if classes >> 1 & 1:
                proxy.tables[table].writes = share > 0
            case interface.SetWithdrawn(backend, out):
                (proxy.out.add if out else proxy.out.discard)(backend)
            case interface.Barrier(mark, _):
                self.news.append(interface.BarrierAck(number, mark, self.now - issued))

    def report(self) -> None:
        for backend in self.up:
            if backend not in self.mute and any(t.owner == backend for t in self.store.values()):
                lost = self.losing.get(backend, 0) * self.visits // 3
                self.news.append(
                    interface.ServerReport(backend, "east", lost, 3 * self.visits, 200 * MS, SECOND, None)
                )
        for number in self.store:
            for kind in self.told.classes:
                self.news.append(interface.RequestReport(number, kind.name, self.visits, 0, SECOND))

    def look(self) -> None:
        """The rules, as plainly as they can be said."""
        for proxy in self.proxies:
            if self.now < proxy.stalled_until:
                continue
            for number, table in proxy.tables.items():
                if table.owner is None or table.owner in proxy.out:
                    continue
                if proxy.joined and proxy.read and table.owner in self.unfit_since:
                    told_for = self.now - self.unfit_since[table.owner]
                    assert told_for <= GRACE_US or self.controller is None, "rule 3: drain"
                follows = proxy.joined and proxy.read
                writing = table.writes and (follows or self.now < proxy.broken_at + self.told.lease_us)
                if writing and table.owner in self.up:
                    self.write(number, table)
        ready = [
            e
            for e in self.list.values()
            if e.state == "ready" and (not e.started_us or self.now - e.started_us > self.told.cold_us)
        ]
        for number, table in self.store.items():
            if table.owner is not None or not ready or self.controller is None:
                self.bare_since.pop((STORE, number), None)
            elif (
                self.now - self.bare_since.setdefault((STORE, number), self.now) > self.told.unserved_limit_us
            ):
                raise AssertionError(f"rule 1: slice {number} without an owner for too long")
        for place, proxy in enumerate(self.proxies):
            picks = proxy.joined and proxy.read and self.now >= proxy.stalled_until
            counts = picks and ready and self.controller is not None
            for number, table in proxy.tables.items():
                if not counts or (table.owner is not None and table.owner not in proxy.out):
                    self.bare_since.pop((place, number), None)
                elif (
                    self.now - self.bare_since.setdefault((place, number), self.now)
                    > self.told.unserved_limit_us
                ):
                    raise AssertionError(
                        f"rule 1: slice {number} without a line at proxy {place} for too long"
                    )

    def write(self, number: int, table: Table) -> None:
        assert table.count >= self.newest[number], "rule 2: a write at a former owner"
        self.newest[number] = table.count
        for backend, at in self.last_write[number].items():
            held = backend != table.owner and backend in self.up and self.now < at + self.told.linger_us
            assert not held, "rule 2: two backends hold writes of one slice"
        self.last_write[number][table.owner] = self.now
