"""A fleet in simulated time: proxies, servers, the store with its channels, and the registry.

What the platform's pages say of these parties, with faults that can be injected, on one clock that
`World.run` moves on in steps of 50 ms. The controllers in it are the program's own; whoever judges is told
what passes at proxies and servers, and never asks a controller what it believes. One seed gives all chance.

Left out: bytes, connections, processor time, caches, clients that come again; all requests cost the same.
A proxy holds one stream to each controller. Time limits of rules 1 and 3 wait while a channel or a stream
stands or is slow, or a call is unsettled.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from lapispass import interface
from lapispass.rules.checker import Bounds, Checker
from lapispass.standins.fleet_parties import (
    MS,
    READ,
    SECOND,
    WRITE,
    ControllerHost,
    Deciding,
    Message,
    Server,
    Size,
    Stream,
    deployment,
)
from lapispass.standins.fleet_proxies import REQUESTS_PER_S, STEP, Proxies

SLACK = 300 * MS  # what the protocol's page adds to the limits
HEARD_AT_LAST = 6 * SECOND  # what the registry has to tell counts as told
LOAD = 0.6  # of what all servers can do

# Faults that a checker must find: what the controllers are told wrongly, and what is lost of their orders.
TOLD_WRONGLY: dict[str, dict[str, float]] = {
    "write life forgotten": {"linger_us": 0},
    "cold servers called warm": {"cold_us": 1},
    "queue called endless": {"queue_limit_lines": 1e9, "lines_per_s": 1e9},
}
LOST_ORDERS: dict[str, Callable[[interface.Order], bool]] = {
    "withdrawals lost": lambda order: isinstance(order, interface.SetWithdrawn) and order.withdrawn,
    "returns lost": lambda order: isinstance(order, interface.SetWithdrawn) and not order.withdrawn,
    "owners lost": lambda order: isinstance(order, interface.SetTableEntry),
    "levels lost": lambda order: isinstance(order, interface.SetAdmission),
}


class World:
    """`start` makes a controller from deployment, seed and time; `planted` names a fault to be found."""

    def __init__(
        self,
        seed: int,
        size: Size,
        start: Callable[[interface.Deployment, int, int], Deciding],
        planted: str = "",
        settings: interface.Deployment | None = None,
    ) -> None:
        self.chance, self.now, self.planted, self.make = random.Random(seed), 100 * SECOND, planted, start
        self.fault_chance = random.Random(seed)  # of the faults, apart from the day's other chance
        self.deployment = settings or deployment(size)
        zones, slices = self.deployment.zones, self.deployment.slices
        self.list = {
            f"s{n}": interface.RegistryEntry(f"s{n}", zones[n % 2], "ready", 1.0, None)
            for n in range(size.servers)
        }
        self.changes: list[tuple[int, interface.RegistryEntry]] = [(0, entry) for entry in self.list.values()]
        self.owner: dict[int, str | None] = {n: f"s{n % size.servers}" for n in range(slices)}
        self.step = dict.fromkeys(self.owner, 0)  # of a slice's table in the store
        self.levels: dict[int, dict[int, float]] = {n: {} for n in self.owner}
        self.able = REQUESTS_PER_S * size.proxies * slices / size.servers / LOAD
        self.servers = {name: Server(str(entry.zone), self.able) for name, entry in self.list.items()}
        self.home = {n: n % size.controllers for n in self.owner}
        self.charge: dict[int, int | None] = dict.fromkeys(self.owner)
        self.given_at = dict.fromkeys(self.owner, self.now)
        self.proxies = Proxies(self, size.proxies)
        self.streams = [[Stream() for _ in range(size.controllers)] for _ in range(size.proxies)]
        self.away = [0] * size.proxies  # until when a proxy can reach nobody
        self.hosts = [ControllerHost(n) for n in range(size.controllers)]
        self.later: list[tuple[int, Callable[[], object]]] = []
        self.registry_free, self.registry_down = self.now, 0
        bounds = Bounds(
            self.deployment.unserved_limit_us + SLACK,
            1500 * MS + SLACK,
            int(self.deployment.queue_limit_lines),
        )
        self.judge = Checker(bounds, int)
        self.handovers = self.newcomers = 0
        for host in self.hosts:
            host.received = host.known = len(self.changes)
            self.start(host)
        self.run(3)

    # what happens

    def at(self, delay_us: float, act: Callable[[], object]) -> None:
        self.later.append((self.now + int(delay_us), act))

    def some(self, least: float, most: float) -> int:
        return int(self.chance.uniform(least, most) * SECOND)

    def start(self, host: ControllerHost) -> None:
        wrongly = TOLD_WRONGLY.get(self.planted, {})
        settings = replace(self.deployment, **wrongly)  # type: ignore[arg-type]
        host.process = self.make(settings, self.chance.randrange(1 << 32), self.now)
        known: dict[str, interface.RegistryEntry] = {}
        for _, entry in self.changes[: host.known]:
            known[str(entry.backend)] = entry
        standing = tuple(entry for entry in known.values() if entry.state != "gone")
        host.events, host.watch_at, host.received = (
            [interface.RegistryUpdate("remembered", standing)],
            None,
            host.known,
        )
        host.heard = {str(entry.backend): self.now for entry in standing if entry.state == "draining"}
        host.left, host.settles_at, host.held_back = host.written, 0, []
        for number in range(len(self.streams)):
            self.at(self.some(0.05, 2.5), partial(self.join, number, host))
        for number in [n for n, home in self.home.items() if home == host.number]:
            self.at(self.some(0.1, 2.0), partial(self.give, number, host))

    def stop(self, host: ControllerHost, down_s: float) -> None:
        """Kills a controller; others get its slices a few seconds later, until it is back."""
        if not host.process:
            return
        host.known = max(
            0, host.received - self.chance.randrange(6)
        )  # what it wrote down last may be older still
        host.process, host.watch_at = None, None
        for number in range(len(self.streams)):
            self.leave(number, host)
        takeover = self.some(0.9, 3.3)
        for number in [n for n, charge in self.charge.items() if charge == host.number]:
            self.charge[number] = None

            def take(number: int = number) -> None:
                if self.charge[number] is None:
                    self.give(number, self.chance.choice([p for p in self.hosts if p.process] or [host]))

            self.at(takeover, take)
        self.at(down_s * SECOND, lambda: self.start(host))

    def give(self, number: int, host: ControllerHost) -> None:
        if not host.process or self.charge[number] == host.number:
            return
        if (former := self.charge[number]) is not None:
            self.hosts[former].events.append(interface.SliceGrant(number, False))
        self.charge[number], self.given_at[number], self.levels[number] = host.number, self.now, {}
        host.events.append(interface.SliceGrant(number, True))
        if (owner := self.owner[number]) is not None:
            host.events.append(interface.StoredOwner(number, owner))
        self.proxies.read_afresh(number)

    def join(self, number: int, host: ControllerHost) -> None:
        stream = self.streams[number][host.number]
        if not host.process or stream.joined_at >= 0:
            return
        if self.away[number] > self.now:
            self.at(self.away[number] - self.now + self.some(0.1, 1), lambda: self.join(number, host))
            return
        stream.joined_at, stream.reads_at = self.now, self.now + self.some(0.05, 0.4)
        stream.waiting.clear()
        stream.travelling.clear()
        zone = self.deployment.zones[number % 2]
        host.events.append(interface.ProxyJoined(number, not stream.met, zone, 3.0, reads_store=True))
        stream.met = True

    def leave(self, number: int, host: ControllerHost) -> None:
        stream = self.streams[number][host.number]
        if stream.joined_at < 0:
            return
        stream.joined_at, stream.left_at = -1, self.now
        stream.waiting.clear()
        stream.travelling.clear()
        self.judge.party_left(f"p{number}")
        if process := host.process:

            def noticed() -> None:
                if host.process is process and stream.joined_at < 0:
                    host.events.append(interface.ProxyLeft(number))

            self.at(self.some(0, 1), noticed)
            self.at(self.some(1.1, 3), lambda: self.join(number, host))

    def change(self, name: str, state: str) -> None:
        """The list will say so; a server that it calls ready has just started."""
        old = self.list.get(
            name, interface.RegistryEntry(name, self.deployment.zones[self.newcomers % 2], state, 1.0, None)
        )
        self.list[name] = old._replace(
            state=state, started_us=self.now if state == "ready" else old.started_us
        )
        self.changes.append((self.now, self.list[name]))

    def boot(self, name: str) -> None:
        """A server starts, cold; the list tells a little later."""
        entry = self.list.get(name)
        zone = str(entry.zone) if entry else self.deployment.zones[self.newcomers % 2]
        self.servers[name] = Server(zone, self.able, born=self.now)
        born = self.now

        def tell() -> None:
            if self.servers[name].born == born:
                self.change(name, "ready")
                self.list[name] = self.list[name]._replace(started_us=born)
                self.changes[-1] = (self.now, self.list[name])

        self.at(self.some(0.5, 2.0), tell)

    def replace(self, name: str, drain_s: float, back: bool) -> None:
        """A server is announced as leaving, goes, and another comes; or it comes back under its own id."""
        self.change(name, "draining")
        self.newcomers += 1
        new = name if back else f"n{self.newcomers}"

        def go() -> None:
            self.servers[name].up = False
            self.change(name, "gone")

        self.at(drain_s * SECOND, go)
        self.at((drain_s + 1) * SECOND, lambda: self.boot(new))

    def lose_zone(self, zone: str, seconds: float, told_s: float | None) -> None:
        """All servers and proxies of a zone vanish and come back, servers cold; the list may tell of it."""
        struck = [name for name, server in self.servers.items() if server.zone == zone and server.up]
        for name in struck:
            self.servers[name].up = False
            if told_s is not None:
                self.at(self.chance.uniform(told_s, told_s + 1) * SECOND, partial(self.found_gone, name))
            self.at(seconds * SECOND, partial(self.back, name))
        self.cut(zone, seconds)

    def found_gone(self, name: str) -> None:
        if not self.servers[name].up:
            self.change(name, "gone")

    def back(self, name: str) -> None:
        if not self.servers[name].up:
            self.boot(name)

    def cut(self, zone: str, seconds: float) -> None:
        """The zone's proxies reach no controller."""
        for number in range(self.deployment.zones.index(zone), len(self.streams), 2):
            self.away[number] = self.now + int(seconds * SECOND)
            for host in self.hosts:
                self.leave(number, host)

    def lose_watch(self, host: ControllerHost) -> None:
        if host.process and host.watch_at is not None:
            host.watch_at = None
            host.events.append(interface.RegistryUpdate("lost", ()))

    def registry_fails(self, seconds: float) -> None:
        self.registry_down = self.now + int(seconds * SECOND)
        for host in self.hosts:
            self.lose_watch(host)

    def channel(self, host: ControllerHost, pace: float, seconds: float) -> None:
        """A controller's channel slows to a part of its pace, or stands still at 0."""
        host.pace = pace
        host.troubled_until = self.now + int((seconds + 3) * SECOND)
        self.at(seconds * SECOND, lambda: setattr(host, "pace", 1.0))

    def slow_streams(self, number: int, seconds: float) -> None:
        """What controllers tell this proxy takes `SLOWER` longer; it goes on by what it holds."""
        for stream in self.streams[number]:
            stream.slow_until = self.now + int(seconds * SECOND)

    def stall(self, number: int, seconds: float) -> None:
        """A proxy stands still: it sends, applies and answers nothing, and its streams stand."""
        self.proxies.stalled[number] = self.now + int(seconds * SECOND)

    def restart_proxy(self, number: int) -> None:
        """A proxy is started anew; it holds nothing and reads the store when it joins."""
        for host, stream in zip(self.hosts, self.streams[number], strict=True):
            self.leave(number, host)
            stream.met = False
            stream.out.clear()
        self.proxies.forget(number)

    def lose_answers(self, host: ControllerHost, part: float, seconds: float) -> None:
        """So many of its calls to the store get no answer: carried out, or only when sent again."""
        host.unsettled = part
        self.at(seconds * SECOND, lambda: setattr(host, "unsettled", 0.0))

    # the passing of time

    def run(self, seconds: float) -> None:
        until = self.now + int(seconds * SECOND)
        while self.now < until:
            self.now += STEP
            due = sorted((x for x in self.later if x[0] <= self.now), key=lambda x: x[0])
            self.later = [x for x in self.later if x[0] > self.now]
            for _, act in due:
                act()
            for host in self.hosts:
                if host.process:
                    self.watch(host)
                    self.turn(host)
            for host in self.hosts:
                host.left = min(
                    host.written, host.left + host.pace * self.deployment.lines_per_s * STEP / SECOND
                )
            for number in range(len(self.streams)):
                self.proxies.step(number)
            if self.now % SECOND == 0:
                self.proxies.report()

    def watch(self, host: ControllerHost) -> None:
        """The watch gives what it has; where a list stays away, it counts as told after 6 s.

        While the registry is down nothing counts as told: the wire allows four times `ask-within-us` (10 s
        and more) after a failed call, longer than it is ever down here.
        """
        if host.watch_at is not None and self.now >= host.watch_at and host.received < len(self.changes):
            entries = tuple(entry for _, entry in self.changes[host.received :])
            host.received = len(self.changes)
            if self.planted != "stale list":
                host.events.append(interface.RegistryUpdate("changes", entries))
            for entry in entries:
                self.hear(host, entry)
        for moment, entry in self.changes[host.received :]:
            if self.now > max(moment, self.registry_down) + HEARD_AT_LAST:
                self.hear(host, entry)

    def hear(self, host: ControllerHost, entry: interface.RegistryEntry) -> None:
        name = str(entry.backend)
        if entry.state == "ready":
            host.heard.pop(name, None)
            host.fresh.setdefault(f"{name} {entry.started_us}", self.now)
        else:
            host.heard.setdefault(name, self.now)

    def turn(self, host: ControllerHost) -> None:
        """One turn, unless a call is unsettled: then news wait."""
        if self.now < host.settles_at:
            return
        for message in host.held_back:
            self.carry_out(host, message)
        events, host.events, host.held_back = host.events, [], []
        assert host.process
        message = []
        for order in host.process.turn(self.now, events):
            match order:
                case interface.WatchRegistry():
                    self.call(host)
                case interface.Probe(backend):
                    up = str(backend) in self.servers and self.servers[str(backend)].up
                    found = interface.ProbeResult(backend, 0 if up else 4, MS, None)
                    self.at(20 * MS, partial(host.events.append, found))
                case (
                    interface.SetTableEntry()
                    | interface.ClearTable()
                    | interface.SetAdmission()
                    | interface.SetWithdrawn()
                    | interface.Barrier()
                ):
                    message.append(order)
        if gone := LOST_ORDERS.get(self.planted):
            message = [order for order in message if not gone(order)]
        if message and self.chance.random() < host.unsettled:
            host.settles_at = self.now + self.some(0.2, 0.5)
            host.troubled_until = max(host.troubled_until, host.settles_at + 2 * SECOND)
            if self.chance.random() < 0.5:  # not carried out yet: it goes again
                host.held_back.append(message)
                return
        self.carry_out(host, message)

    def call(self, host: ControllerHost) -> None:
        """The registry serves in turn; whoever waits for a second is turned away."""
        host.calls += 1
        begins = max(self.now, self.registry_free)
        if self.now < self.registry_down or begins > self.now + SECOND:
            wait = 100 * MS if self.now < self.registry_down else SECOND
            self.at(wait, lambda: host.events.append(interface.RegistryUpdate("lost", ())))
            return
        self.registry_free = begins + 300 * MS
        host.watch_at = self.registry_free

    def carry_out(self, host: ControllerHost, message: list[interface.Order]) -> None:
        """The store takes the orders, and the channel the messages to all joined proxies."""
        if not message:
            return
        for order in message:
            match order:
                case interface.SetTableEntry(slice_, backend, _) if self.charge[slice_] == host.number:
                    self.owner[slice_] = str(backend)
                    self.step[slice_] += 1
                    self.handovers += 1
                case interface.ClearTable(slice_) if self.charge[slice_] == host.number:
                    self.owner[slice_], self.levels[slice_] = None, {}
                    self.step[slice_] += 1
                case interface.SetAdmission(slice_, classes, _, share) if (
                    slice_ is not None and self.charge[slice_] == host.number
                ):
                    self.levels[slice_].update({kind: share for kind in (READ, WRITE) if classes >> kind & 1})
        steps = [(order, self.step.get(getattr(order, "table", None) or 0, 0)) for order in message]
        lines = len(message) + self.deployment.message_overhead_lines
        early = self.planted == "answers before applying" and host.process
        marks = [order.number for order in message if isinstance(order, interface.Barrier) and early]
        for number, streams in enumerate(self.streams):
            if (stream := streams[host.number]).joined_at >= 0:
                host.written += lines
                stream.waiting.append(Message(host.written, self.now, steps))
                host.events += [interface.BarrierAck(number, mark, 50 * MS) for mark in marks]
        self.judge.queued(self.now, f"channel of n{host.number}", int(host.written - host.left))

    def seen(self) -> tuple[int, ...]:
        """What the parties saw, in figures."""
        proxies = self.proxies
        calls = sum(host.calls for host in self.hosts)
        return proxies.requests, proxies.served, proxies.applied, proxies.applied_us, self.handovers, calls

    def verdict(self) -> list[str]:
        """Each breach in a line: when, which rule, whose, and what shows it."""
        return [
            f"{found.at_us / SECOND:.2f} s: rule {found.rule}: {found.subject}: {found.detail}"
            for found in self.judge.breaches
        ]
