"""The proxies of a fleet in simulated time: what they apply, and the requests that they send."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lapispass import interface
from lapispass.standins.fleet_parties import (
    MS,
    READ,
    SECOND,
    SLOWER,
    WRITE,
    ControllerHost,
    Message,
    Server,
    Stream,
)

if TYPE_CHECKING:
    from lapispass.standins.fleet import World

STEP = 50 * MS  # of the clock
FALL = 2 * SECOND  # a cold server falls over when it is pushed for so long
WRITES = 0.4  # of requests
REQUESTS_PER_S = 0.6  # of a proxy, for a slice
STALL_MOST = (
    2 * SECOND
)  # that the operators' pages name; limits run on while a proxy stands still for so long

Row = tuple[str | None, int, dict[int, float]]  # a slice at a proxy: its owner, the step, its levels


class Proxies:
    """All proxies, by number."""

    def __init__(self, world: World, count: int) -> None:
        self.world = world
        self.tables: list[dict[int, Row]] = [
            {slice_: (None, -1, {}) for slice_ in world.owner} for _ in range(count)
        ]
        self.reads: list[dict[int, int]] = [{} for _ in range(count)]  # slices to be read afresh, and when
        self.lost: dict[tuple[int, int], int] = {}  # proxies without the slice's controller, since
        self.met: dict[tuple[int, str], list[int]] = {}  # host and server: tries, lost
        self.came: dict[tuple[int, int, int], int] = {}  # host, slice and class
        self.stalled: dict[int, int] = {}  # proxies that stand still, until when
        self.requests = self.served = 0
        self.applied, self.applied_us = 0, 0  # messages, and the sum of their times on the way

    def forget(self, number: int) -> None:
        """A proxy has been started anew."""
        self.tables[number] = {slice_: (None, -1, {}) for slice_ in self.world.owner}
        self.reads[number].clear()
        for key in [key for key in self.lost if key[0] == number]:
            del self.lost[key]

    def stands_still(self, number: int) -> bool:
        """Whether a proxy does nothing now."""
        until = self.stalled.get(number, 0)
        if self.world.now >= until:
            self.stalled.pop(number, None)
            return False
        if until - self.world.now > STALL_MOST:
            self.world.judge.party_left(f"p{number}")
        return True

    def read_afresh(self, slice_: int) -> None:
        """Each reads the slice's table from the store a little later."""
        for reads in self.reads:
            reads[slice_] = self.world.now + self.world.some(0.05, 0.4)

    def stored(self, slice_: int) -> Row:
        """The slice's table as the store has it now."""
        return self.world.owner[slice_], self.world.step[slice_], dict(self.world.levels[slice_])

    def step(self, number: int) -> None:
        """Reads the store where it is due, applies what has come, then sends its requests."""
        for host, stream in zip(self.world.hosts, self.world.streams[number], strict=True):
            self.send_off(host, stream)
        if self.stands_still(number):
            return
        table = self.tables[number]
        for slice_, at in list(self.reads[number].items()):
            if self.world.now >= at and self.world.away[number] <= self.world.now:
                table[slice_] = self.stored(slice_)
                del self.reads[number][slice_]
        for host, stream in zip(self.world.hosts, self.world.streams[number], strict=True):
            self.take_in(number, host, stream)
        for slice_, row in table.items():
            self.send_request(number, slice_, row)

    def send_off(self, host: ControllerHost, stream: Stream) -> None:
        """Messages that have left the channel are on their way to a proxy."""
        while stream.joined_at >= 0 and stream.waiting and stream.waiting[0].leaves <= host.left:
            last = stream.travelling[-1][0] if stream.travelling else 0
            travels = self.world.some(0.05, 0.5) + SLOWER * (self.world.now < stream.slow_until)
            stream.travelling.append((max(last, self.world.now + travels), stream.waiting.popleft()))

    def take_in(self, number: int, host: ControllerHost, stream: Stream) -> None:
        """A proxy reads the store on a new stream, then applies what has come."""
        if stream.joined_at < 0 or self.world.now < stream.reads_at:
            return
        if stream.reads_at:
            stream.reads_at = 0
            for slice_ in [s for s, charge in self.world.charge.items() if charge == host.number]:
                self.tables[number][slice_] = self.stored(slice_)
        while stream.travelling and stream.travelling[0][0] <= self.world.now:
            self.apply(number, host, stream, stream.travelling.popleft()[1])

    def apply(self, number: int, host: ControllerHost, stream: Stream, message: Message) -> None:
        """Takes over the orders of one message."""
        table, stream.applied = self.tables[number], message.issued
        self.applied += 1
        self.applied_us += self.world.now - message.issued
        for order, step in message.orders:
            match order:
                case interface.SetTableEntry(slice_, backend, _) if (
                    step > table[slice_][1] and self.world.charge[slice_] == host.number
                ):
                    table[slice_] = (str(backend), step, {})
                case interface.ClearTable(slice_) if (
                    step > table[slice_][1] and self.world.charge[slice_] == host.number
                ):
                    table[slice_] = (None, step, {})
                case interface.SetAdmission(slice_, classes, _, share) if (
                    slice_ is not None and self.world.charge[slice_] == host.number
                ):
                    table[slice_][2].update({kind: share for kind in (READ, WRITE) if classes >> kind & 1})
                case interface.SetWithdrawn(backend, out):
                    (stream.out.add if out else stream.out.discard)(str(backend))
                case interface.Barrier(mark) if host.process:
                    host.events.append(interface.BarrierAck(number, mark, self.world.now - message.issued))

    def send_request(self, number: int, slice_: int, row: Row) -> None:
        """Whether the proxy has a pick now, and, by chance, a request."""
        world, (owner, step, levels) = self.world, row
        charge, party = world.charge[slice_], f"p{number}"
        stream = world.streams[number][charge] if charge is not None else None
        joined = stream is not None and stream.joined_at >= 0
        since = self.followed_since(number, slice_, stream)
        if owner is None or (stream is not None and owner in stream.out):
            follows = joined and charge is not None and stream is not None
            late_us = stream.late_us(world.now) if follows and stream is not None else 0
            host = world.hosts[charge] if follows and charge is not None else None
            self.check_unassigned(party, slice_, host, late_us)
            owner = None
        else:
            world.judge.unserved_since.pop((party, slice_), None)
        coming = world.chance.random() < REQUESTS_PER_S * STEP / SECOND
        if owner is None or not coming:
            if coming and charge is not None:
                self.count(charge, slice_, READ if world.chance.random() > WRITES else WRITE)
            if owner is not None and charge is not None and joined and stream is not None:
                self.drained(party, slice_, owner, world.hosts[charge], stream)
            return
        kind = WRITE if world.chance.random() < WRITES else READ
        if charge is not None:
            self.count(charge, slice_, kind)
        if world.chance.random() >= levels.get(kind, 1.0):
            return
        self.requests += 1
        if joined and charge is not None and stream is not None:
            self.drained(party, slice_, owner, world.hosts[charge], stream)
        lost = self.is_lost(world.servers[owner])
        if charge is not None:
            sums = self.met.setdefault((charge, owner), [0, 0])
            sums[0] += 1
            sums[1] += lost
        # Writes go on for a lease after the stream or the charge was lost, then none until the store is read.
        if kind == WRITE and world.now - since >= world.deployment.lease_us:
            return
        if world.servers[owner].up:
            self.served += not lost
            self.push(owner, world.servers[owner], charge, stream)
            if kind == WRITE:
                until = world.now + int(world.chance.random() * world.deployment.linger_us)
                world.judge.write_sent(world.now, party, slice_, owner, step, until)

    def followed_since(self, number: int, slice_: int, stream: Stream | None) -> int:
        """Now, or since when the proxy is without the slice's controller."""
        joined = stream is not None and stream.joined_at >= 0 and not stream.reads_at
        if joined and slice_ not in self.reads[number]:
            self.lost.pop((number, slice_), None)
            return self.world.now
        broken_at = self.world.now if joined or stream is None else stream.left_at
        return self.lost.setdefault((number, slice_), broken_at)

    def check_unassigned(self, party: str, slice_: int, host: ControllerHost | None, late_us: int) -> None:
        """Rule 1, of the controller in charge that the proxy has joined; it waits where there is none.

        The platform is slow to tell this proxy by `late_us`.
        """
        world = self.world
        if host is None or host.troubled_until + late_us > world.now:
            world.judge.unserved_since.pop((party, slice_), None)
        elif any(
            entry.state == "ready" and world.now - (entry.started_us or 0) > world.deployment.cold_us
            for entry in world.list.values()
        ):
            world.judge.unserved_since.setdefault((party, slice_), max(world.now, world.given_at[slice_]))
            world.judge.pick(world.now - late_us, party, slice_, None)

    def is_lost(self, server: Server) -> bool:
        """Whether a request to it fails."""
        return not server.up or self.world.chance.random() < server.failing

    def drained(self, party: str, slice_: int, owner: str, host: ControllerHost, stream: Stream) -> None:
        """Rule 3, of the controller in charge."""
        heard_at = host.heard.get(owner)
        late_us = stream.late_us(self.world.now)  # what left in a trouble of the host comes so much later
        if heard_at is None or host.troubled_until + late_us > self.world.now:
            return
        told_at = max(heard_at, stream.joined_at, self.world.given_at[slice_])
        late = self.world.now - told_at - late_us
        self.world.judge.worst_drain_us = max(self.world.judge.worst_drain_us, late)
        if late > self.world.judge.bounds.drain_grace_us:
            what = f"slice {slice_} goes to {owner} {late / SECOND:.2f} s after n{host.number} was told"
            self.world.judge.breach("3", party, self.world.now, what)

    def push(self, name: str, server: Server, charge: int | None, stream: Stream | None) -> None:
        """Rule 4: what a cold server is sent within 2 s, once whoever sends can know of its start."""
        warmth = server.warmth(self.world.deployment, self.world.now)
        if warmth >= 1:
            return
        fresh = None if charge is None else self.world.hosts[charge].fresh.get(f"{name} {server.born}")
        knows = stream is not None and fresh is not None and stream.applied >= fresh
        if fresh is None or not (knows or self.world.now - fresh > self.world.judge.bounds.drain_grace_us):
            return
        server.sent.append(self.world.now)
        while server.sent[0] <= self.world.now - FALL:
            server.sent.popleft()
        can = warmth * server.able * FALL / SECOND
        over = max(0.0, len(server.sent) - 6) / can  # a little slack for chance
        self.world.judge.cold_load(self.world.now, name, over)

    def count(self, charge: int, slice_: int, kind: int) -> None:
        """A request that came, as its controller is told in sums."""
        key = charge, slice_, kind
        self.came[key] = self.came.get(key, 0) + 1

    def report(self) -> None:
        """Sums of the last second, late; those of a controller that has died reach nobody."""
        met, came, self.met, self.came = self.met, self.came, {}, {}
        names = [kind.name for kind in self.world.deployment.classes]
        for host in self.world.hosts:
            process = host.process
            sums: list[interface.Event] = [
                interface.ServerReport(
                    name, self.world.servers[name].zone, lost, tries, 300 * MS, SECOND, None
                )
                for (number, name), (tries, lost) in met.items()
                if number == host.number
            ]
            sums += [
                interface.RequestReport(slice_, names[kind], requests, 0, SECOND)
                for (number, slice_, kind), requests in came.items()
                if number == host.number
            ]

            def hand_over(
                host: ControllerHost = host, process: object = process, sums: list[interface.Event] = sums
            ) -> None:
                if host.process is process and process:
                    host.events += sums

            self.world.at(self.world.some(0.4, 1.6), hand_over)
