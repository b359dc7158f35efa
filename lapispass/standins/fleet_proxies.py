"""The proxies of a simulated fleet: the orders that they apply and the requests that they send."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lapispass import interface
from lapispass.standins.fleet_parties import (
    MS,
    READ,
    SECOND,
    SLOW_STREAM_DELAY,
    WRITE,
    ControllerHost,
    Message,
    Server,
    Stream,
)

if TYPE_CHECKING:
    from lapispass.standins.fleet import World

STEP = 50 * MS  # of the simulated clock
COLD_WINDOW = 2 * SECOND  # period over which the load of a cold server is measured
WRITE_SHARE = 0.4  # share of requests that write
REQUESTS_PER_S = 0.6  # from one proxy for one slice
STALL_LIMIT = (
    2 * SECOND
)  # the longest stall in the operators' documentation; time limits continue during such a stall

Row = tuple[str | None, int, dict[int, float]]  # a slice at a proxy: owner, step, admission levels by class


class Proxies:
    """All proxies, addressed by number."""

    def __init__(self, world: World, count: int) -> None:
        self.world = world
        self.tables: list[dict[int, Row]] = [
            {slice_: (None, -1, {}) for slice_ in world.owner} for _ in range(count)
        ]
        self.pending_reads: list[dict[int, int]] = [
            {} for _ in range(count)
        ]  # slices to be read from the store, and when
        self.controller_lost_since: dict[
            tuple[int, int], int
        ] = {}  # by proxy and slice: since when the proxy has no contact with the controller
        self.try_counts: dict[tuple[int, str], list[int]] = {}  # by host and server: tries and failures
        self.request_counts: dict[tuple[int, int, int], int] = {}  # requests by host, slice and class
        self.stalled: dict[int, int] = {}  # stalled proxies, with the end of the stall
        self.requests = self.served = 0
        self.applied, self.applied_us = 0, 0  # number of applied messages, and the sum of their delays

    def reset_proxy(self, number: int) -> None:
        """Clears the state of a proxy that restarts."""
        self.tables[number] = {slice_: (None, -1, {}) for slice_ in self.world.owner}
        self.pending_reads[number].clear()
        for key in [key for key in self.controller_lost_since if key[0] == number]:
            del self.controller_lost_since[key]

    def is_stalled(self, number: int) -> bool:
        """Whether a proxy is stalled now. During a long stall its time limits are suspended."""
        until = self.stalled.get(number, 0)
        if self.world.now >= until:
            self.stalled.pop(number, None)
            return False
        if until - self.world.now > STALL_LIMIT:
            self.world.judge.party_left(f"p{number}")
        return True

    def schedule_reads(self, slice_: int) -> None:
        """Makes each proxy read the slice's table from the store after a random delay."""
        for reads in self.pending_reads:
            reads[slice_] = self.world.now + self.world.random_us(0.05, 0.4)

    def stored_row(self, slice_: int) -> Row:
        """The slice's table in the store."""
        return self.world.owner[slice_], self.world.step[slice_], dict(self.world.levels[slice_])

    def step(self, number: int) -> None:
        """One step of a proxy: reads the store where due, applies messages, sends requests."""
        for host, stream in zip(self.world.hosts, self.world.streams[number], strict=True):
            self.forward_sent(host, stream)
        if self.is_stalled(number):
            return
        table = self.tables[number]
        for slice_, at in list(self.pending_reads[number].items()):
            if self.world.now >= at and self.world.away[number] <= self.world.now:
                table[slice_] = self.stored_row(slice_)
                del self.pending_reads[number][slice_]
        for host, stream in zip(self.world.hosts, self.world.streams[number], strict=True):
            self.receive(number, host, stream)
        for slice_, row in table.items():
            self.send_request(number, slice_, row)

    def forward_sent(self, host: ControllerHost, stream: Stream) -> None:
        """Moves messages that the channel has sent into transit to a proxy."""
        while stream.joined_at >= 0 and stream.waiting and stream.waiting[0].sent_at_line <= host.lines_sent:
            last = stream.in_transit[-1][0] if stream.in_transit else 0
            travels = self.world.random_us(0.05, 0.5) + SLOW_STREAM_DELAY * (
                self.world.now < stream.slow_until
            )
            stream.in_transit.append((max(last, self.world.now + travels), stream.waiting.popleft()))

    def receive(self, number: int, host: ControllerHost, stream: Stream) -> None:
        """On a new stream, reads the store; then applies the messages that have arrived."""
        if stream.joined_at < 0 or self.world.now < stream.reads_at:
            return
        if stream.reads_at:
            stream.reads_at = 0
            for slice_ in [
                s for s, controller in self.world.controller_of.items() if controller == host.number
            ]:
                self.tables[number][slice_] = self.stored_row(slice_)
        while stream.in_transit and stream.in_transit[0][0] <= self.world.now:
            self.apply(number, host, stream, stream.in_transit.popleft()[1])

    def apply(self, number: int, host: ControllerHost, stream: Stream, message: Message) -> None:
        """Applies the orders of one message."""
        table, stream.applied = self.tables[number], message.issued
        self.applied += 1
        self.applied_us += self.world.now - message.issued
        for order, step in message.orders:
            match order:
                case interface.SetTableEntry(slice_, backend, _) if (
                    step > table[slice_][1] and self.world.controller_of[slice_] == host.number
                ):
                    table[slice_] = (str(backend), step, {})
                case interface.ClearTable(slice_) if (
                    step > table[slice_][1] and self.world.controller_of[slice_] == host.number
                ):
                    table[slice_] = (None, step, {})
                case interface.SetAdmission(slice_, classes, _, share) if (
                    slice_ is not None and self.world.controller_of[slice_] == host.number
                ):
                    table[slice_][2].update({kind: share for kind in (READ, WRITE) if classes >> kind & 1})
                case interface.SetWithdrawn(backend, out):
                    (stream.withdrawn.add if out else stream.withdrawn.discard)(str(backend))
                case interface.Barrier(mark) if host.process:
                    host.events.append(interface.BarrierAck(number, mark, self.world.now - message.issued))

    def send_request(self, number: int, slice_: int, row: Row) -> None:
        """Checks whether the proxy can pick a server now and, at random, sends a request."""
        world, (owner, step, levels) = self.world, row
        controller, party = world.controller_of[slice_], f"p{number}"
        stream = world.streams[number][controller] if controller is not None else None
        joined = stream is not None and stream.joined_at >= 0
        since = self.followed_since(number, slice_, stream)
        if owner is None or (stream is not None and owner in stream.withdrawn):
            follows = joined and controller is not None and stream is not None
            late_us = stream.late_us(world.now) if follows and stream is not None else 0
            host = world.hosts[controller] if follows and controller is not None else None
            self.check_unassigned(party, slice_, host, late_us)
            owner = None
        else:
            world.judge.unserved_since.pop((party, slice_), None)
        coming = world.chance.random() < REQUESTS_PER_S * STEP / SECOND
        if owner is None or not coming:
            if coming and controller is not None:
                self.count(controller, slice_, READ if world.chance.random() > WRITE_SHARE else WRITE)
            if owner is not None and controller is not None and joined and stream is not None:
                self.check_drain(party, slice_, owner, world.hosts[controller], stream)
            return
        kind = WRITE if world.chance.random() < WRITE_SHARE else READ
        if controller is not None:
            self.count(controller, slice_, kind)
        if world.chance.random() >= levels.get(kind, 1.0):
            return
        self.requests += 1
        if joined and controller is not None and stream is not None:
            self.check_drain(party, slice_, owner, world.hosts[controller], stream)
        lost = self.is_lost(world.servers[owner])
        if controller is not None:
            sums = self.try_counts.setdefault((controller, owner), [0, 0])
            sums[0] += 1
            sums[1] += lost
        # Writes continue for a lease after contact was lost, then stop until the store is read.
        if kind == WRITE and world.now - since >= world.deployment.lease_us:
            return
        if world.servers[owner].up:
            self.served += not lost
            self.check_cold_load(owner, world.servers[owner], controller, stream)
            if kind == WRITE:
                until = world.now + int(world.chance.random() * world.deployment.linger_us)
                world.judge.write_sent(world.now, party, slice_, owner, step, until)

    def followed_since(self, number: int, slice_: int, stream: Stream | None) -> int:
        """The current time, or the time since which the proxy has no contact with the slice's controller."""
        joined = stream is not None and stream.joined_at >= 0 and not stream.reads_at
        if joined and slice_ not in self.pending_reads[number]:
            self.controller_lost_since.pop((number, slice_), None)
            return self.world.now
        broken_at = self.world.now if joined or stream is None else stream.left_at
        return self.controller_lost_since.setdefault((number, slice_), broken_at)

    def check_unassigned(self, party: str, slice_: int, host: ControllerHost | None, late_us: int) -> None:
        """Checks rule 1, which applies only while the proxy has joined the slice's controller.

        `late_us` is the extra delay of messages to this proxy.
        """
        world = self.world
        if host is None or host.limits_paused_until + late_us > world.now:
            world.judge.unserved_since.pop((party, slice_), None)
        elif any(
            entry.state == "ready" and world.now - (entry.started_us or 0) > world.deployment.cold_us
            for entry in world.registry_entries.values()
        ):
            world.judge.unserved_since.setdefault((party, slice_), max(world.now, world.granted_at[slice_]))
            world.judge.pick(world.now - late_us, party, slice_, None)

    def is_lost(self, server: Server) -> bool:
        """Whether a request to the server fails."""
        return not server.up or self.world.chance.random() < server.failing

    def check_drain(self, party: str, slice_: int, owner: str, host: ControllerHost, stream: Stream) -> None:
        """Checks rule 3 for the slice's controller."""
        draining_at = host.draining_since.get(owner)
        late_us = stream.late_us(
            self.world.now
        )  # messages sent while the host was disturbed arrive this much later
        if draining_at is None or host.limits_paused_until + late_us > self.world.now:
            return
        informed_at = max(draining_at, stream.joined_at, self.world.granted_at[slice_])
        late = self.world.now - informed_at - late_us
        self.world.judge.worst_drain_us = max(self.world.judge.worst_drain_us, late)
        if late > self.world.judge.bounds.drain_grace_us:
            what = f"slice {slice_} goes to {owner} {late / SECOND:.2f} s after n{host.number} was informed"
            self.world.judge.breach("3", party, self.world.now, what)

    def check_cold_load(
        self, name: str, server: Server, controller: int | None, stream: Stream | None
    ) -> None:
        """Checks rule 4: the load of a cold server over 2 s, once the sender can know of its start."""
        warmth = server.warmth(self.world.deployment, self.world.now)
        if warmth >= 1:
            return
        seen_at = (
            None
            if controller is None
            else self.world.hosts[controller].start_seen_at.get(f"{name} {server.started_at}")
        )
        knows = stream is not None and seen_at is not None and stream.applied >= seen_at
        if seen_at is None or not (
            knows or self.world.now - seen_at > self.world.judge.bounds.drain_grace_us
        ):
            return
        server.recent_requests.append(self.world.now)
        while server.recent_requests[0] <= self.world.now - COLD_WINDOW:
            server.recent_requests.popleft()
        can = warmth * server.capacity * COLD_WINDOW / SECOND
        over = max(0.0, len(server.recent_requests) - 6) / can  # some slack for random bursts
        self.world.judge.cold_load(self.world.now, name, over)

    def count(self, controller: int, slice_: int, kind: int) -> None:
        """Counts a request for the report to its controller."""
        key = controller, slice_, kind
        self.request_counts[key] = self.request_counts.get(key, 0) + 1

    def report(self) -> None:
        """Reports the sums of the last second, with a delay. Reports to a dead controller are lost."""
        try_counts, request_counts, self.try_counts, self.request_counts = (
            self.try_counts,
            self.request_counts,
            {},
            {},
        )
        names = [kind.name for kind in self.world.deployment.classes]
        for host in self.world.hosts:
            process = host.process
            sums: list[interface.Event] = [
                interface.ServerReport(
                    name, self.world.servers[name].zone, lost, tries, 300 * MS, SECOND, None
                )
                for (number, name), (tries, lost) in try_counts.items()
                if number == host.number
            ]
            sums += [
                interface.RequestReport(slice_, names[kind], requests, 0, SECOND)
                for (number, slice_, kind), requests in request_counts.items()
                if number == host.number
            ]

            def hand_over(
                host: ControllerHost = host, process: object = process, sums: list[interface.Event] = sums
            ) -> None:
                if host.process is process and process:
                    host.events += sums

            self.world.at(self.world.random_us(0.4, 1.6), hand_over)
