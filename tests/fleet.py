"""A slow, simple model of the rules, and a small simulated fleet of proxies that follows the orders.

It shares no code with the controller: it only reads the orders and simulates what proxies would do.
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
STORE = -1  # stands for the store where a proxy's number is expected


def deployment(**changes) -> interface.Deployment:
    """A deployment of ordinary size; a test passes the settings that it needs to differ."""
    settings = dict(
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
    return interface.Deployment(**{**settings, **changes})


def server(
    name: int | str, state: str = "ready", zone: str = "east", started_us: int | None = None
) -> interface.RegistryEntry:
    """A server's entry in the registry."""
    return interface.RegistryEntry(name, zone, state, 1.0, started_us)


def registry_changes(*entries: interface.RegistryEntry) -> interface.RegistryUpdate:
    """A registry update with the changed entries of some servers."""
    return interface.RegistryUpdate("changes", entries)


def events_to_running(
    entries: Sequence[interface.RegistryEntry], proxies: int, slices: int, first: bool = True
) -> list[interface.Event]:
    """The events that bring a controller into normal operation: with servers, proxies and slices."""
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


def acknowledgements(
    orders: Sequence[interface.Order], proxies: int, latency_us: int
) -> list[interface.Event]:
    """The acknowledgements of all proxies for the barriers among a turn's orders."""
    return [
        interface.BarrierAck(number, order.number, latency_us)
        for order in orders
        if isinstance(order, interface.Barrier)
        for number in range(proxies)
    ]


@dataclass
class Table:
    """A slice's table: its owner, how often the owner has changed, and what is admitted."""

    owner: int | None = None
    count: int = 0
    writes: bool = True
    share: float = 1.0  # admitted of the class of least value


@dataclass
class Proxy:
    joined: bool = False
    broken_at: int = 0
    read: bool = False
    reads_at: int = 0
    stalled_until: int = 0
    tables: dict[int, Table] = field(default_factory=dict)
    out: set[int] = field(default_factory=set)
    in_flight: list = field(default_factory=list)


class Fleet:
    """One controller, its proxies and the registry. The rules are checked after each step of 50 ms."""

    def __init__(
        self, deployment: interface.Deployment, backends: int, seed: int, requests: int = 3, ran_s: float = 0
    ) -> None:
        self.deployment, self.chance, self.now = deployment, random.Random(seed), 100 * SECOND
        self.requests = requests
        self.registry = {100 + n: server(100 + n, zone=deployment.zones[n % 2]) for n in range(backends)}
        self.running = set(self.registry)
        self.store = {s: Table(100 + s % backends) for s in range(deployment.slices)}
        self.proxies = [Proxy() for _ in range(deployment.proxies)]
        self.last_write: dict[int, dict[int, int]] = {s: {} for s in self.store}
        self.newest = dict.fromkeys(self.store, -1)
        self.unserved_since: dict[tuple[int, int], int] = {}  # proxy and slice
        self.unfit_since: dict[int, int] = {}
        self.sent: list[int] = []
        self.logs: list[str] = []
        self.events: list[interface.Event] = []
        self.timer_at, self.queued, self.queued_at = self.now, 0.0, self.now
        self.unresponsive: set[int] = set()
        self.failing_tries: dict[int, int] = {}  # how many of nine tries at a server fail at once
        self.controller: Controller | None = None
        self.start()
        for number in range(deployment.proxies):
            self.join(number)
        self.run(ran_s)

    def owners(self) -> set[int | None]:
        return {table.owner for table in self.store.values()}

    def start(self) -> None:
        """The controller restarts, with only the registry and the store."""
        self.controller = Controller(self.deployment, self.chance.randrange(1 << 32), self.now)
        self.events = [interface.RegistryUpdate("remembered", tuple(self.registry.values()))]
        for number, table in self.store.items():
            table.writes = True
            self.events.append(interface.SliceGrant(number, True))
            if table.owner is not None:
                self.events.append(interface.StoredOwner(number, table.owner))
        self.timer_at, self.sent = self.now, []
        self.unserved_since.clear()

    def crash(self) -> None:
        for number in range(self.deployment.proxies):
            self.leave(number)
        self.controller = None

    def join(self, number: int) -> None:
        proxy = self.proxies[number]
        first, proxy.joined, proxy.read = not proxy.tables, True, False
        proxy.reads_at = self.now + int(self.chance.uniform(0.05, 0.5) * SECOND)
        self.events.append(interface.ProxyJoined(number, first, "east", 5.0, reads_store=True))

    def leave(self, number: int) -> None:
        proxy = self.proxies[number]
        if proxy.joined:
            proxy.joined, proxy.in_flight = False, []
            if proxy.read:  # otherwise its writes end with the lease of an earlier stream
                proxy.broken_at = self.now
            self.events.append(interface.ProxyLeft(number))

    def rejoin_one_by_one(self, numbers: Iterable[int], away_s: float) -> None:
        for number in numbers:
            self.leave(number)
            self.run(away_s)
            self.join(number)

    def change(self, backend: int, state: str, started_us: int | None = None) -> None:
        old = self.registry.get(backend, interface.RegistryEntry(backend, "east", state, 1.0, None))
        self.registry[backend] = old._replace(state=state, started_us=started_us or old.started_us)
        (self.running.discard if state == "gone" else self.running.add)(backend)
        if state == "gone":  # a dead process holds no writes any more
            for writes in self.last_write.values():
                writes.pop(backend, None)
        self.update_registry([self.registry[backend]])

    def update_registry(self, entries: list[interface.RegistryEntry]) -> None:
        """Sends a registry update, which need not be true."""
        for entry in entries:
            self.registry[entry.backend] = entry
            if entry.state == "ready":
                self.unfit_since.pop(entry.backend, None)
            elif entry.state == "draining" or self.deployment.must_leave_gone:
                self.unfit_since.setdefault(entry.backend, self.now)
        self.events.append(registry_changes(*entries))

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
            while proxy.in_flight and proxy.read and proxy.in_flight[0][0] <= self.now >= proxy.stalled_until:
                _, ordered_at, orders = proxy.in_flight.pop(0)
                for order, count in orders:
                    self.apply(proxy, number, order, count, ordered_at)
        if self.now % SECOND == 0 and self.controller:
            self.report()
        if self.controller and (self.events or self.now >= self.timer_at):
            if self.now >= self.timer_at:
                self.events.append(interface.TimerFired(0))
            events, self.events = self.events, []
            self.take_orders(self.controller.turn(self.now, events))
        self.check_rules()

    def take_orders(self, orders: list[interface.Order]) -> None:
        message = []
        for order in orders:
            match order:
                case interface.SetTableEntry(table, backend, _):
                    assert backend in self.registry
                    held = self.store[table]
                    held.count += held.owner != backend
                    held.owner = backend
                    message.append((order, held.count))
                case interface.ClearTable(table):
                    held = self.store[table]
                    held.owner, held.writes, held.share = None, True, 1.0
                    message.append((order, 0))
                case interface.SetAdmission(table, class_mask, _, share):
                    if class_mask >> 1 & 1:
                        self.store[table].writes = share > 0
                    if class_mask & 1:
                        self.store[table].share = share
                    message.append((order, 0))
                case interface.SetWithdrawn() | interface.Barrier():
                    message.append((order, 0))
                case interface.SetTimer(_, at_us):
                    self.timer_at = at_us
                case interface.LogMessage(text):
                    self.logs.append(text)
                case interface.Probe(backend):
                    fails = backend in self.unresponsive or backend not in self.running
                    self.events.append(interface.ProbeResult(backend, 3 if fails else 0, 2000, None))
        if message:
            joined = [proxy for proxy in self.proxies if proxy.joined]
            self.sent.append(self.now)
            self.queued -= min(
                self.queued, self.deployment.lines_per_s * (self.now - self.queued_at) / SECOND
            )
            self.queued_at = self.now
            self.queued += len(joined) * (len(message) + self.deployment.message_overhead_lines)
            assert self.queued <= self.deployment.queue_limit_lines, "rule 5: too many lines queued"
            recent = [at for at in self.sent if at > self.now - self.deployment.message_window_us]
            assert len(recent) <= self.deployment.max_messages, "rule 5: too many messages to a proxy"
            for proxy in joined:
                delay = self.chance.uniform(0.05, 0.6) * SECOND
                at = max([self.now + int(delay)] + [at for at, _, _ in proxy.in_flight[-1:]])
                proxy.in_flight.append((at, self.now, message))

    def apply(self, proxy: Proxy, number: int, order: interface.Order, count: int, ordered_at: int) -> None:
        match order:
            case interface.SetTableEntry(table, backend, _):
                if count >= proxy.tables[table].count:
                    proxy.tables[table].owner, proxy.tables[table].count = backend, count
            case interface.ClearTable(table):
                proxy.tables[table].owner, proxy.tables[table].writes = None, True
            case interface.SetAdmission(table, class_mask, _, share) if class_mask >> 1 & 1:
                proxy.tables[table].writes = share > 0
            case interface.SetWithdrawn(backend, withdrawn):
                (proxy.out.add if withdrawn else proxy.out.discard)(backend)
            case interface.Barrier(barrier, _):
                self.events.append(interface.BarrierAck(number, barrier, self.now - ordered_at))

    def report(self) -> None:
        for backend in self.running:
            if backend not in self.unresponsive and any(t.owner == backend for t in self.store.values()):
                failed = self.failing_tries.get(backend, 0) * self.requests // 3
                self.events.append(
                    interface.ServerReport(backend, "east", failed, 3 * self.requests, 200 * MS, SECOND, None)
                )
        for number in self.store:
            for kind in self.deployment.classes:
                self.events.append(interface.RequestReport(number, kind.name, self.requests, 0, SECOND))

    def check_rules(self) -> None:
        """Checks the rules, written as simply as possible."""
        for proxy in self.proxies:
            if self.now < proxy.stalled_until:
                continue
            for number, table in proxy.tables.items():
                if table.owner is None or table.owner in proxy.out:
                    continue
                if proxy.joined and proxy.read and table.owner in self.unfit_since:
                    unfit_for = self.now - self.unfit_since[table.owner]
                    assert unfit_for <= GRACE_US or self.controller is None, "rule 3: drain"
                follows = proxy.joined and proxy.read
                writing = table.writes and (follows or self.now < proxy.broken_at + self.deployment.lease_us)
                if writing and table.owner in self.running:
                    self.write(number, table)
        ready = [
            e
            for e in self.registry.values()
            if e.state == "ready" and (not e.started_us or self.now - e.started_us > self.deployment.cold_us)
        ]
        for number, table in self.store.items():
            if table.owner is not None or not ready or self.controller is None:
                self.unserved_since.pop((STORE, number), None)
            elif (
                self.now - self.unserved_since.setdefault((STORE, number), self.now)
                > self.deployment.unserved_limit_us
            ):
                raise AssertionError(f"rule 1: slice {number} without an owner for too long")
        for index, proxy in enumerate(self.proxies):
            may_pick = proxy.joined and proxy.read and self.now >= proxy.stalled_until
            counts = may_pick and ready and self.controller is not None
            for number, table in proxy.tables.items():
                if not counts or (table.owner is not None and table.owner not in proxy.out):
                    self.unserved_since.pop((index, number), None)
                elif (
                    self.now - self.unserved_since.setdefault((index, number), self.now)
                    > self.deployment.unserved_limit_us
                ):
                    raise AssertionError(
                        f"rule 1: slice {number} without a backend at proxy {index} for too long"
                    )

    def write(self, number: int, table: Table) -> None:
        assert table.count >= self.newest[number], "rule 2: a write at a former owner"
        self.newest[number] = table.count
        for backend, at in self.last_write[number].items():
            held = (
                backend != table.owner
                and backend in self.running
                and self.now < at + self.deployment.linger_us
            )
            assert not held, "rule 2: two backends hold writes of one slice"
        self.last_write[number][table.owner] = self.now
