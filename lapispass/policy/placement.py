"""Which server gets a slice: who is open to slices, what each carries and what it is able to."""

from __future__ import annotations

from collections import Counter

from lapispass.core.messages import RUNNING_STATES
from lapispass.core.part import SlicePart
from lapispass.core.slices import Slice
from lapispass.core.units import NEVER
from lapispass.interface import BackendId
from lapispass.policy.health import Backend
from lapispass.policy.rules import Rules


class Placement(SlicePart[Rules, Backend]):
    """Choices among all servers. Sums over all of them are made only where an owner is chosen."""

    def begin(self) -> None:
        self.survey()

    def survey(self) -> None:
        """What holds for this turn: zones where most are ill, the usual speed, the owners' loads."""
        # Guards against blaming servers for what strikes all, or most of a zone; the rest could not carry it.
        # Only those count of which enough is heard: each controller hears of few visits at most servers.
        ill, fine = Counter(self.fleet.ill.values()), Counter(self.fleet.fine.values())
        most = 3 * ill.total() > ill.total() + fine.total()
        self.struck = {zone for zone in ill if most or ill[zone] > max(1, (ill[zone] + fine[zone]) // 2)}
        # With other controllers a server's speed is known in part only: own visits against all that keep it
        # busy. Then the fleet's speed counts, and what a server does for others comes on top of its load.
        self.part = max(1, len(self.holdings.slices)) / self.rules.slices
        speeds = self.fleet.speeds.values() or [self.part]
        self.usual = sum(speeds) / len(speeds) / self.part
        self.loads = {owner: self.holdings.rate(owner) for owner in self.holdings.owned}
        self.targets: list[BackendId] | None = None
        self.weighed: dict[BackendId, tuple[float, float]] = {}

    def is_open(self, number: BackendId) -> bool:
        """Whether a server may own slices: listed, and not ill where the others are well."""
        server = self.fleet.servers.get(number)
        if server is None or server.state not in RUNNING_STATES:
            return False
        return server.state != "ill" or server.zone in self.struck

    def any_open(self) -> bool:
        """Whether any server may own slices."""
        return self.fleet.states["ready"] + self.fleet.states["unproven"] > 0 or bool(self.struck)

    def able(self, server: Backend) -> float:
        """The visits a second that a server can do now."""
        speed = (self.part == 1 and server.speed) or self.usual
        return server.weight * max(1e-3, server.warmth()) * speed

    def others(self, server: Backend, able: float) -> float:
        """What a server that is able to so much does beside the slices here, in visits a second."""
        # Held connections are such work; where busy shares tell of all that is not ours, they are part of it.
        return max(server.held, (self.part < 1) * (server.busy * able - server.pace))

    def weigh(self, number: BackendId) -> tuple[float, float]:
        """What a server does beside the slices here, and the work by which its load is measured."""
        server = self.fleet.servers[number]
        able = self.able(server)
        # Guards a server just started: until reports can tell its load, it counts by the part let in there.
        fresh = self.turn.now < server.born + self.rules.echo_us and server.warmth() < 1
        return self.others(server, able), (self.rules.cold_part if fresh else 1.0) * able

    def load_with(self, number: BackendId, slice_: Slice) -> float:
        """A server's load per weight with this slice."""
        if (weighed := self.weighed.get(number)) is None:
            weighed = self.weighed[number] = self.weigh(number)
        return (self.loads.get(number, 0.0) + weighed[0] + slice_.rate) / weighed[1]

    def choose(self, slice_: Slice) -> BackendId | None:
        """The server with least load per listed weight, a cold one counted by what it surely can do."""
        if self.targets is None:
            ready = [number for number, server in self.fleet.servers.items() if server.state == "ready"]
            self.targets = ready or [number for number in self.fleet.servers if self.is_open(number)]
        return min(self.targets, key=lambda number: self.load_with(number, slice_), default=None)

    def give(self, slice_: Slice, owner: BackendId) -> None:
        """A slice gets an owner in this turn."""
        self.loads[owner] = self.loads.get(owner, 0.0) + slice_.rate
        self.holdings.assign(slice_, owner)

    def excess(self, server: Backend) -> float:
        """Visits a second that an owner does not let in, or beyond nine tenths of its work."""
        load, able = self.loads.get(server.number, 0.0), self.able(server)
        over = load + self.others(server, able) - 0.9 * able if server.speed else -NEVER
        return max(load * (1 - server.fit), over)

    def to_relieve(self) -> list[Slice]:
        """Slices whose owner lets in less than comes or is nearly all busy, where another has room."""
        now, chosen = self.turn.now, []
        several = [owner for owner, mine in self.holdings.owned.items() if len(mine) > 1]
        for server in self.fleet.in_order(filter(self.is_open, several)):
            if now < self.holdings.relief_at.get(server.number, 0) or (excess := self.excess(server)) <= 0:
                continue
            mine = [s for s in self.holdings.owned[server.number].values() if s.may_leave(now)]
            if len(mine) < 2:
                continue
            mine.sort(key=lambda slice_: (slice_.rate, slice_.serial))
            slice_ = next((s for s in mine if s.rate >= 0.7 * excess), mine[-1])
            if self.has_room(server, slice_):
                chosen.append(slice_)
            else:  # reports tell of room elsewhere
                self.holdings.relief_at[server.number] = now + self.rules.pause_us
        return chosen

    def has_room(self, owner: Backend, slice_: Slice) -> bool:
        """Whether another server would end up clearly below the owner's load with this slice."""
        target = self.choose(slice_)
        if target is None or target == owner.number:
            return False
        able = self.able(owner)
        load = self.loads.get(owner.number, 0.0) + self.others(owner, able)
        level = (min(load, able) if owner.speed else load) / able
        return self.fleet.servers[target].fit >= 1 and self.load_with(target, slice_) < 0.75 * level

    def next_relief(self) -> int:
        """When relief is looked for again, for an owner that could not be relieved."""
        times = [
            at for owner, at in self.holdings.relief_at.items() if len(self.holdings.owned.get(owner, ())) > 1
        ]
        return min((at for at in times if at > self.turn.now), default=NEVER)
