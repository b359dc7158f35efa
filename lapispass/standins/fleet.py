"""A fleet in simulated time: proxies, servers, the store with its channels, and the registry.

What the platform's pages say of these parties, with faults that can be injected, on one clock that
`World.run` moves on in steps of 50 ms. The controllers in it are the program's own; whoever judges is told
what passes at proxies and servers, and never asks a controller what it believes. One seed gives all chance.

Left out: bytes, connections, processor time, caches, clients that come again; visits cost a server the same.
A proxy holds one stream to each controller. Time limits of rules 1 and 3 wait while a channel or a stream
stands or is slow, or a call is unsettled.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from typing import NamedTuple, Protocol

from lapispass import interface
from lapispass.rules.five import Bounds, Checker

MS = 1000
SECOND = 1000 * MS
STEP = 50 * MS
SLACK = 300 * MS  # what the protocol's page adds to the limits
HEARD_AT_LAST = 6 * SECOND  # what the registry has to tell counts as told
FALL = 2 * SECOND  # a cold server falls over when it is pushed for so long
LOAD = 0.6  # of what all servers can do
WRITES = 0.4  # of visits
READ, WRITE = 0, 1


# Faults that a checker must find: what the controllers are told wrongly, and what is lost of their orders.
TOLD_WRONGLY: dict[str, dict[str, float]] = {
    "write life forgotten": {"linger_us": 0},
    "cold servers called warm": {"cold_us": 1},
    "queue called endless": {"queue_lines": 1e9, "lines_per_s": 1e9},
}
LOST_ORDERS: dict[str, Callable[[interface.Order], bool]] = {
    "withdrawals lost": lambda order: isinstance(order, interface.Withdraw) and order.out,
    "returns lost": lambda order: isinstance(order, interface.Withdraw) and not order.out,
    "owners lost": lambda order: isinstance(order, interface.Own),
    "levels lost": lambda order: isinstance(order, interface.Admit),
}

Row = tuple[str | None, int, dict[int, float]]  # a slice at a proxy: its owner, the step, its levels


class Deciding(Protocol):
    """A controller, as a front drives it."""

    def turn(self, now: int, events: list[interface.Event]) -> list[interface.Order]: ...


class Size(NamedTuple):
    """How large a fleet is."""

    controllers: int = 3
    proxies: int = 12
    servers: int = 30
    slices_each: int = 3


def deployment(size: Size) -> interface.Deployment:
    """What an operator would tell controllers of such a fleet; its channel is as the platform's would be."""
    slices = size.slices_each * size.servers
    pace = max(4000.0, slices * size.proxies / 6)
    return interface.Deployment(
        classes=(
            interface.VisitClass("look", 1500 * MS, 5 * SECOND, 1.0, False, False),
            interface.VisitClass("pay", 2 * SECOND, 4 * SECOND, 3.0, True, False),
        ),
        zones=("east", "west"),
        proxies=size.proxies,
        slices=slices,
        lease_us=2 * SECOND,
        linger_us=3 * SECOND,
        bare_us=20 * SECOND,
        lines_per_s=pace,
        head_lines=12.0,
        queue_lines=2 * pace,
        messages_most=0,
        messages_over_us=10 * SECOND,
        report_every_us=SECOND,
        usual_retry=1,
        asks_for_list=True,
        may_probe=True,
        gone_binds=True,
        admits="share",
        cold_us=15 * SECOND,
        cold_share=0.12,
        fall_multiple=2.5,
        load_fields=(),
    )


@dataclass
class Server:
    """What it can do now, and what it was sent of late."""

    zone: str
    able: float  # visits a second when warm
    born: int = 0
    up: bool = True
    failing: float = 0.0  # the part of its visits that it fails at once
    sent: deque[int] = field(default_factory=deque)

    def warmth(self, told: interface.Deployment, now: int) -> float:
        age = (now - self.born) / told.cold_us if self.born else 1.0
        return min(1.0, told.cold_share + (1 - told.cold_share) * age)


class Message(NamedTuple):
    """A turn's orders on their way to one proxy."""

    leaves: float  # when so many lines have left the channel
    issued: int
    orders: list[tuple[interface.Order, int]]  # each with the step of the slice's table


@dataclass
class Stream:
    """A proxy's stream to one controller."""

    joined_at: int = -1  # -1: broken
    reads_at: int = 0
    out: set[str] = field(default_factory=set)
    waiting: deque[Message] = field(default_factory=deque)
    travelling: deque[tuple[int, Message]] = field(default_factory=deque)
    met: bool = False
    applied: int = 0  # when the last message that it has applied was ordered
    slow_until: int = 0  # messages take seconds longer


@dataclass
class Place:
    """Where a controller runs: its process, its channel, its watch, and what it was told."""

    number: int
    process: Deciding | None = None
    news: list[interface.Event] = field(default_factory=list)
    watch_at: int | None = None  # the watch opens, or has opened, then
    told: int = 0  # changes of the list that it was given
    known: int = 0  # a restart knows the list as it was then
    heard: dict[str, int] = field(default_factory=dict)  # unfit servers, since when this place was told
    fresh: dict[str, int] = field(default_factory=dict)  # cold servers, since when it was told of their start
    written: float = 0.0  # lines into the channel
    left: float = 0.0  # lines out of it
    pace: float = 1.0  # of the stated one
    troubled_until: int = 0  # rule 1's and 3's limits wait while the channel or a call is not as it should be
    unsettled: float = 0.0  # the part of its calls whose answer does not come
    settles_at: int = 0
    held_back: list[list[interface.Order]] = field(default_factory=list)
    calls: int = 0


class World:
    """`start` makes a controller from deployment, seed and time; `planted` names a fault to be found."""

    def __init__(
        self,
        seed: int,
        size: Size,
        start: Callable[[interface.Deployment, int, int], Deciding],
        planted: str = "",
        told: interface.Deployment | None = None,
    ) -> None:
        self.chance, self.now, self.planted, self.make = random.Random(seed), 100 * SECOND, planted, start
        self.told = told or deployment(size)
        zones, slices = self.told.zones, self.told.slices
        self.list = {
            f"s{n}": interface.Entry(f"s{n}", zones[n % 2], "ready", 1.0, None) for n in range(size.servers)
        }
        self.rate = 0.6  # visits a second of a proxy for a slice
        able = self.rate * size.proxies * slices / size.servers / LOAD
        self.able = able
        self.servers = {name: Server(str(entry.zone), able) for name, entry in self.list.items()}
        self.changes: list[tuple[int, interface.Entry]] = [(0, entry) for entry in self.list.values()]
        self.owner: dict[int, str | None] = {n: f"s{n % size.servers}" for n in range(slices)}
        self.step = dict.fromkeys(self.owner, 0)  # of a slice's table in the store
        self.levels: dict[int, dict[int, float]] = {n: {} for n in self.owner}
        self.home = {n: n % size.controllers for n in self.owner}
        self.charge: dict[int, int | None] = dict.fromkeys(self.owner)
        self.given_at = dict.fromkeys(self.owner, self.now)
        self.tables: list[dict[int, Row]] = [
            {slice_: (None, -1, {}) for slice_ in self.owner} for _ in range(size.proxies)
        ]
        self.reads: list[dict[int, int]] = [
            {} for _ in range(size.proxies)
        ]  # slices to be read afresh, and when
        self.streams = [[Stream() for _ in range(size.controllers)] for _ in range(size.proxies)]
        self.away = [0] * size.proxies  # until when a proxy can reach nobody
        self.places = [Place(n) for n in range(size.controllers)]
        self.later: list[tuple[int, Callable[[], object]]] = []
        self.lost: dict[tuple[int, int], int] = {}  # proxies without the slice's controller, since
        self.registry_free, self.registry_down = self.now, 0
        self.met: dict[tuple[int, str], list[int]] = {}  # place and server: tries, lost
        self.came: dict[tuple[int, int, int], int] = {}  # place, slice and class
        bounds = Bounds(self.told.bare_us + SLACK, 1500 * MS + SLACK, int(self.told.queue_lines))
        self.judge = Checker(bounds, int)
        self.visits = self.served = self.handovers = self.newcomers = 0
        for place in self.places:
            place.told = place.known = len(self.changes)
            self.start(place)
        self.run(3)

    # what happens

    def at(self, delay_us: float, act: Callable[[], object]) -> None:
        self.later.append((self.now + int(delay_us), act))

    def some(self, least: float, most: float) -> int:
        return int(self.chance.uniform(least, most) * SECOND)

    def start(self, place: Place) -> None:
        wrongly = TOLD_WRONGLY.get(self.planted, {})
        told = replace(self.told, **wrongly)  # type: ignore[arg-type]
        place.process = self.make(told, self.chance.randrange(1 << 32), self.now)
        known: dict[str, interface.Entry] = {}
        for _, entry in self.changes[: place.known]:
            known[str(entry.backend)] = entry
        standing = tuple(entry for entry in known.values() if entry.state != "gone")
        place.news, place.watch_at, place.told = [interface.Listed("remembered", standing)], None, place.known
        place.heard = {str(entry.backend): self.now for entry in standing if entry.state == "draining"}
        place.left, place.settles_at, place.held_back = place.written, 0, []
        for number in range(len(self.streams)):
            self.at(self.some(0.05, 2.5), partial(self.join, number, place))
        for number in [n for n, home in self.home.items() if home == place.number]:
            self.at(self.some(0.1, 2.0), partial(self.give, number, place))

    def stop(self, place: Place, down_s: float) -> None:
        """Kills a controller; others get its slices a few seconds later, until it is back."""
        if not place.process:
            return
        place.known = max(
            0, place.told - self.chance.randrange(6)
        )  # what it wrote down last may be older still
        place.process, place.watch_at = None, None
        for number in range(len(self.streams)):
            self.leave(number, place)
        takeover = self.some(0.9, 3.3)
        for number in [n for n, charge in self.charge.items() if charge == place.number]:
            self.charge[number] = None

            def take(number: int = number) -> None:
                if self.charge[number] is None:
                    self.give(number, self.chance.choice([p for p in self.places if p.process] or [place]))

            self.at(takeover, take)
        self.at(down_s * SECOND, lambda: self.start(place))

    def give(self, number: int, place: Place) -> None:
        if not place.process or self.charge[number] == place.number:
            return
        if (former := self.charge[number]) is not None:
            self.places[former].news.append(interface.Given(number, False))
        self.charge[number], self.given_at[number], self.levels[number] = place.number, self.now, {}
        place.news.append(interface.Given(number, True))
        if (owner := self.owner[number]) is not None:
            place.news.append(interface.Held(number, owner))
        for reads in self.reads:
            reads[number] = self.now + self.some(0.05, 0.4)

    def join(self, number: int, place: Place) -> None:
        stream = self.streams[number][place.number]
        if not place.process or stream.joined_at >= 0:
            return
        if self.away[number] > self.now:
            self.at(self.away[number] - self.now + self.some(0.1, 1), lambda: self.join(number, place))
            return
        stream.joined_at, stream.reads_at = self.now, self.now + self.some(0.05, 0.4)
        stream.waiting.clear()
        stream.travelling.clear()
        place.news.append(interface.Joined(number, not stream.met, self.told.zones[number % 2], 3.0))
        stream.met = True

    def leave(self, number: int, place: Place) -> None:
        stream = self.streams[number][place.number]
        if stream.joined_at < 0:
            return
        stream.joined_at = -1
        stream.waiting.clear()
        stream.travelling.clear()
        self.judge.parted(f"p{number}")
        if process := place.process:

            def noticed() -> None:
                if place.process is process and stream.joined_at < 0:
                    place.news.append(interface.Left(number))

            self.at(self.some(0, 1), noticed)
            self.at(self.some(1.1, 3), lambda: self.join(number, place))

    def change(self, name: str, state: str) -> None:
        """The list will say so; a server that it calls ready has just started."""
        old = self.list.get(
            name, interface.Entry(name, self.told.zones[self.newcomers % 2], state, 1.0, None)
        )
        self.list[name] = old._replace(state=state, born_us=self.now if state == "ready" else old.born_us)
        self.changes.append((self.now, self.list[name]))

    def boot(self, name: str) -> None:
        """A server starts, cold; the list tells a little later."""
        entry = self.list.get(name)
        zone = str(entry.zone) if entry else self.told.zones[self.newcomers % 2]
        self.servers[name] = Server(zone, self.able, born=self.now)
        born = self.now

        def tell() -> None:
            if self.servers[name].born == born:
                self.change(name, "ready")
                self.list[name] = self.list[name]._replace(born_us=born)
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
        for number in range(self.told.zones.index(zone), len(self.streams), 2):
            self.away[number] = self.now + int(seconds * SECOND)
            for place in self.places:
                self.leave(number, place)

    def lose_watch(self, place: Place) -> None:
        if place.process and place.watch_at is not None:
            place.watch_at = None
            place.news.append(interface.Listed("lost", ()))

    def registry_fails(self, seconds: float) -> None:
        self.registry_down = self.now + int(seconds * SECOND)
        for place in self.places:
            self.lose_watch(place)

    def channel(self, place: Place, pace: float, seconds: float) -> None:
        """A controller's channel slows to a part of its pace, or stands still at 0."""
        place.pace = pace
        place.troubled_until = self.now + int((seconds + 3) * SECOND)
        self.at(seconds * SECOND, lambda: setattr(place, "pace", 1.0))

    def slow_streams(self, number: int, seconds: float) -> None:
        """What controllers tell this proxy takes 5 s longer; it goes on by what it holds."""
        for stream in self.streams[number]:
            stream.slow_until = self.now + int(seconds * SECOND)

    def lose_answers(self, place: Place, part: float, seconds: float) -> None:
        """So many of its calls to the store get no answer: carried out, or only when sent again."""
        place.unsettled = part
        self.at(seconds * SECOND, lambda: setattr(place, "unsettled", 0.0))

    # the passing of time

    def run(self, seconds: float) -> None:
        until = self.now + int(seconds * SECOND)
        while self.now < until:
            self.now += STEP
            due = sorted((x for x in self.later if x[0] <= self.now), key=lambda x: x[0])
            self.later = [x for x in self.later if x[0] > self.now]
            for _, act in due:
                act()
            for place in self.places:
                if place.process:
                    self.watch(place)
                    self.turn(place)
            for number in range(len(self.streams)):
                self.proxy(number)
            if self.now % SECOND == 0:
                self.report()

    def watch(self, place: Place) -> None:
        """The watch gives what it has; where a list stays away, it counts as told after 6 s."""
        if place.watch_at is not None and self.now >= place.watch_at and place.told < len(self.changes):
            entries = tuple(entry for _, entry in self.changes[place.told :])
            place.told = len(self.changes)
            if self.planted != "stale list":
                place.news.append(interface.Listed("changes", entries))
            for entry in entries:
                self.hear(place, entry)
        for moment, entry in self.changes[place.told :]:
            if self.now > moment + HEARD_AT_LAST:
                self.hear(place, entry)

    def hear(self, place: Place, entry: interface.Entry) -> None:
        name = str(entry.backend)
        if entry.state == "ready":
            place.heard.pop(name, None)
            place.fresh.setdefault(f"{name} {entry.born_us}", self.now)
        else:
            place.heard.setdefault(name, self.now)

    def turn(self, place: Place) -> None:
        """One turn, unless a call is unsettled: then news wait."""
        if self.now < place.settles_at:
            return
        for message in place.held_back:
            self.carry_out(place, message)
        news, place.news, place.held_back = place.news, [], []
        assert place.process
        message = []
        for order in place.process.turn(self.now, news):
            match order:
                case interface.Follow():
                    self.call(place)
                case interface.Probe(backend):
                    up = str(backend) in self.servers and self.servers[str(backend)].up
                    found = interface.Probed(backend, 0 if up else 4, MS, None)
                    self.at(20 * MS, partial(place.news.append, found))
                case (
                    interface.Own()
                    | interface.Empty()
                    | interface.Admit()
                    | interface.Withdraw()
                    | interface.Mark()
                ):
                    message.append(order)
        if gone := LOST_ORDERS.get(self.planted):
            message = [order for order in message if not gone(order)]
        if message and self.chance.random() < place.unsettled:
            place.settles_at = self.now + self.some(0.2, 0.5)
            place.troubled_until = max(place.troubled_until, place.settles_at + 2 * SECOND)
            if self.chance.random() < 0.5:  # not carried out yet: it goes again
                place.held_back.append(message)
                return
        self.carry_out(place, message)

    def call(self, place: Place) -> None:
        """The registry serves in turn; whoever waits for a second is turned away."""
        place.calls += 1
        begins = max(self.now, self.registry_free)
        if self.now < self.registry_down or begins > self.now + SECOND:
            wait = 100 * MS if self.now < self.registry_down else SECOND
            self.at(wait, lambda: place.news.append(interface.Listed("lost", ())))
            return
        self.registry_free = begins + 300 * MS
        place.watch_at = self.registry_free

    def carry_out(self, place: Place, message: list[interface.Order]) -> None:
        """The store takes the orders, and the channel the messages to all joined proxies."""
        if not message:
            return
        for order in message:
            match order:
                case interface.Own(slice_, backend, _) if self.charge[slice_] == place.number:
                    self.owner[slice_] = str(backend)
                    self.step[slice_] += 1
                    self.handovers += 1
                case interface.Empty(slice_) if self.charge[slice_] == place.number:
                    self.owner[slice_], self.levels[slice_] = None, {}
                    self.step[slice_] += 1
                case interface.Admit(slice_, classes, _, share) if (
                    slice_ is not None and self.charge[slice_] == place.number
                ):
                    self.levels[slice_].update(
                        {place_: share for place_ in (READ, WRITE) if classes >> place_ & 1}
                    )
        steps = [(order, self.step.get(getattr(order, "table", None) or 0, 0)) for order in message]
        lines = len(message) + self.told.head_lines
        early = self.planted == "answers before applying" and place.process
        marks = [order.number for order in message if isinstance(order, interface.Mark) and early]
        for number, streams in enumerate(self.streams):
            if (stream := streams[place.number]).joined_at >= 0:
                place.written += lines
                stream.waiting.append(Message(place.written, self.now, steps))
                place.news += [interface.Answered(number, mark, 50 * MS) for mark in marks]
        self.judge.waiting(self.now, f"channel of n{place.number}", int(place.written - place.left))

    def proxy(self, number: int) -> None:
        """Reads the store where it is due, applies what has come, then sends its visits."""
        table = self.tables[number]
        for slice_, at in list(self.reads[number].items()):
            if self.now >= at and self.away[number] <= self.now:
                table[slice_] = (self.owner[slice_], self.step[slice_], dict(self.levels[slice_]))
                del self.reads[number][slice_]
        for place, stream in zip(self.places, self.streams[number], strict=True):
            if number == 0:
                place.left = min(
                    place.written, place.left + place.pace * self.told.lines_per_s * STEP / SECOND
                )
            if stream.joined_at < 0 or self.now < stream.reads_at:
                continue
            if stream.reads_at:
                stream.reads_at = 0
                for slice_ in [s for s, charge in self.charge.items() if charge == place.number]:
                    table[slice_] = (self.owner[slice_], self.step[slice_], dict(self.levels[slice_]))
            while stream.waiting and stream.waiting[0].leaves <= place.left:
                last = stream.travelling[-1][0] if stream.travelling else 0
                stream.travelling.append(
                    (max(last, self.now + self.some(0.05, 0.5)), stream.waiting.popleft())
                )
            while stream.travelling and stream.travelling[0][0] <= self.now:
                self.apply(number, place, stream, stream.travelling.popleft()[1])
        for slice_, (owner, step, levels) in table.items():
            self.visit(number, slice_, owner, step, levels)

    def apply(self, number: int, place: Place, stream: Stream, message: Message) -> None:
        table, stream.applied = self.tables[number], message.issued
        for order, step in message.orders:
            match order:
                case interface.Own(slice_, backend, _) if (
                    step > table[slice_][1] and self.charge[slice_] == place.number
                ):
                    table[slice_] = (str(backend), step, {})
                case interface.Empty(slice_) if (
                    step > table[slice_][1] and self.charge[slice_] == place.number
                ):
                    table[slice_] = (None, step, {})
                case interface.Admit(slice_, classes, _, share) if (
                    slice_ is not None and self.charge[slice_] == place.number
                ):
                    table[slice_][2].update({kind: share for kind in (READ, WRITE) if classes >> kind & 1})
                case interface.Withdraw(backend, out):
                    (stream.out.add if out else stream.out.discard)(str(backend))
                case interface.Mark(mark) if place.process:
                    place.news.append(interface.Answered(number, mark, self.now - message.issued))

    def visit(self, number: int, slice_: int, owner: str | None, step: int, levels: dict[int, float]) -> None:
        """Whether the proxy has a pick now, and, by chance, a visit."""
        charge, party = self.charge[slice_], f"p{number}"
        stream = self.streams[number][charge] if charge is not None else None
        joined = stream is not None and stream.joined_at >= 0
        current = stream is not None and joined and not stream.reads_at and slice_ not in self.reads[number]
        if current:
            self.lost.pop((number, slice_), None)
        since = self.now if current else self.lost.setdefault((number, slice_), self.now)
        if owner is None or (stream is not None and owner in stream.out):
            if charge is None or not joined or self.places[charge].troubled_until > self.now:
                self.judge.bare.pop((party, slice_), None)
            elif any(
                e.state == "ready" and self.now - (e.born_us or 0) > self.told.cold_us
                for e in self.list.values()
            ):
                self.judge.bare.setdefault((party, slice_), max(self.now, self.given_at[slice_]))
                self.judge.pick(self.now, party, slice_, None)
            owner = None
        else:
            self.judge.bare.pop((party, slice_), None)
        coming = self.chance.random() < self.rate * STEP / SECOND
        if owner is None or not coming:
            if coming and charge is not None:
                self.count(charge, slice_, READ if self.chance.random() > WRITES else WRITE)
            if owner is not None and charge is not None and joined and stream is not None:
                self.drained(party, slice_, owner, self.places[charge], stream)
            return
        kind = WRITE if self.chance.random() < WRITES else READ
        if charge is not None:
            self.count(charge, slice_, kind)
        if self.chance.random() >= levels.get(kind, 1.0):
            return
        self.visits += 1
        if joined and charge is not None and stream is not None:
            self.drained(party, slice_, owner, self.places[charge], stream)
        server = self.servers[owner]
        lost = not server.up or self.chance.random() < server.failing
        if charge is not None:
            sums = self.met.setdefault((charge, owner), [0, 0])
            sums[0] += 1
            sums[1] += lost
        # Writes go on for a lease after the stream or the charge was lost, then none until the store is read.
        if kind == WRITE and self.now - since >= self.told.lease_us:
            return
        if server.up:
            self.served += not lost
            self.push(owner, server, charge, stream)
            if kind == WRITE:
                until = self.now + int(self.chance.random() * self.told.linger_us)
                self.judge.write(self.now, party, slice_, owner, step, until)

    def drained(self, party: str, slice_: int, owner: str, place: Place, stream: Stream) -> None:
        """Rule 3, of the controller in charge."""
        told = place.heard.get(owner)
        if told is None or max(place.troubled_until, stream.slow_until + 7 * SECOND) > self.now:
            return
        late = self.now - max(told, stream.joined_at, self.given_at[slice_])
        self.judge.worst_drain_us = max(self.judge.worst_drain_us, late)
        if late > self.judge.bounds.grace_us:
            what = f"slice {slice_} goes to {owner} {late / SECOND:.2f} s after n{place.number} was told"
            self.judge.breach("3", party, self.now, what)

    def push(self, name: str, server: Server, charge: int | None, stream: Stream | None) -> None:
        """Rule 4: what a cold server is sent within 2 s, once whoever sends can know of its start."""
        warmth = server.warmth(self.told, self.now)
        if warmth >= 1:
            return
        fresh = None if charge is None else self.places[charge].fresh.get(f"{name} {server.born}")
        knows = stream is not None and fresh is not None and stream.applied >= fresh
        if fresh is None or not (knows or self.now - fresh > self.judge.bounds.grace_us):
            return
        server.sent.append(self.now)
        while server.sent[0] <= self.now - FALL:
            server.sent.popleft()
        can = warmth * server.able * FALL / SECOND
        self.judge.cold(self.now, name, max(0.0, len(server.sent) - 6) / can)  # a little slack for chance

    def count(self, charge: int, slice_: int, kind: int) -> None:
        key = charge, slice_, kind
        self.came[key] = self.came.get(key, 0) + 1

    def report(self) -> None:
        """Sums of the last second, late; those of a controller that has died reach nobody."""
        met, came, self.met, self.came = self.met, self.came, {}, {}
        names = [kind.name for kind in self.told.classes]
        for place in self.places:
            process = place.process
            sums: list[interface.Event] = [
                interface.Met(name, self.servers[name].zone, lost, tries, 300 * MS, SECOND, None)
                for (number, name), (tries, lost) in met.items()
                if number == place.number
            ]
            sums += [
                interface.Came(slice_, names[kind], visits, 0, SECOND)
                for (number, slice_, kind), visits in came.items()
                if number == place.number
            ]

            def hand_over(
                place: Place = place, process: object = process, sums: list[interface.Event] = sums
            ) -> None:
                if place.process is process and process:
                    place.news += sums

            self.at(self.some(0.4, 1.6), hand_over)

    def verdict(self) -> list[str]:
        """Each breach in a line: when, which rule, whose, and what shows it."""
        return [
            f"{found.at_us / SECOND:.2f} s: rule {found.rule}: {found.whose}: {found.what}"
            for found in self.judge.breaches
        ]
