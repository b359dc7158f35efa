"""Chooses the owners of slices by the health, the load and the capacity of the servers."""

from __future__ import annotations

from collections import Counter

from lapispass.core.messages import RUNNING_STATES
from lapispass.core.slice_policy import SlicePolicy
from lapispass.core.slices import Slice
from lapispass.core.units import NEVER
from lapispass.interface import BackendId
from lapispass.policy.health import Backend
from lapispass.policy.rules import Rules


class Placement(SlicePolicy[Rules, Backend]):
    """Chooses among all servers. It sums over all of them only when an owner has to be chosen."""

    def init_state(self) -> None:
        self.refresh()

    def refresh(self) -> None:
        """Computes this turn's figures: zones that are mostly unhealthy, mean capacity, owners' loads."""
        # A fault that affects all servers, or most of a zone, is not their own. Their slices stay, because
        # the remaining servers could not carry the load. Only servers with enough reports count: a controller
        # receives reports about few requests at most servers.
        unhealthy_by_zone, healthy_by_zone = (
            Counter(self.fleet.unhealthy.values()),
            Counter(self.fleet.succeeding.values()),
        )
        mostly_unhealthy = 3 * unhealthy_by_zone.total() > unhealthy_by_zone.total() + healthy_by_zone.total()
        self.zones_mostly_unhealthy = {
            zone
            for zone in unhealthy_by_zone
            if mostly_unhealthy
            or unhealthy_by_zone[zone] > max(1, (unhealthy_by_zone[zone] + healthy_by_zone[zone]) // 2)
        }
        # Where other controllers have slices too, a server's capacity cannot be measured exactly: this
        # controller's requests are only a part of those that keep it busy. Then the fleet's mean capacity is
        # used, and what the server does for other controllers is added to its load.
        self.slice_share = max(1, len(self.slice_index.slices)) / self.rules.slice_count
        capacities = self.fleet.capacities_per_weight.values() or [self.slice_share]
        self.mean_capacity_per_weight = sum(capacities) / len(capacities) / self.slice_share
        self.loads = {owner: self.slice_index.rate(owner) for owner in self.slice_index.by_owner}
        self.candidates: list[BackendId] | None = None
        self.baselines: dict[BackendId, tuple[float, float]] = {}

    def is_open(self, number: BackendId) -> bool:
        """Whether a server may own slices: it runs, and is healthy or in a zone that mostly is not."""
        server = self.fleet.servers.get(number)
        if server is None or server.state not in RUNNING_STATES:
            return False
        return server.state != "unhealthy" or server.zone in self.zones_mostly_unhealthy

    def is_ready(self, number: BackendId) -> bool:
        """Whether a server runs and is healthy."""
        server = self.fleet.servers.get(number)
        return server is not None and server.state == "ready"

    def misplaced(self) -> list[Slice]:
        """Slices that leave their owner because the operator prefers another one, which is ready."""
        return [
            slice_
            for slice_ in self.slice_index.misplaced.values()
            if slice_.owner is not None
            and slice_.preferred_owner is not None
            and self.is_ready(slice_.preferred_owner)
        ]

    def any_open(self) -> bool:
        """Whether any server may own slices."""
        return self.fleet.states["ready"] + self.fleet.states["unproven"] > 0 or bool(
            self.zones_mostly_unhealthy
        )

    def capacity(self, server: Backend) -> float:
        """The requests a second that a server can complete now."""
        capacity_per_weight = (
            self.slice_share == 1 and server.capacity_per_weight
        ) or self.mean_capacity_per_weight
        return server.weight * max(1e-3, server.warmth()) * capacity_per_weight

    def other_load(self, server: Backend, capacity: float) -> float:
        """The load of a server from outside this controller's slices, in requests a second."""
        # Held connections are such a load. Where the busy share shows all load, it includes them.
        return max(
            server.held_load, (self.slice_share < 1) * (server.busy_share * capacity - server.completed_per_s)
        )

    def baseline(self, number: BackendId) -> tuple[float, float]:
        """A server's load from outside this controller's slices, and the capacity to compare it with."""
        server = self.fleet.servers[number]
        capacity = self.capacity(server)
        # Until reports can show the load of a server that has just started, only the part of its capacity
        # counts that is admitted there.
        just_started = (
            self.turn.now < server.started_at + self.rules.feedback_delay_us and server.warmth() < 1
        )
        return self.other_load(server, capacity), (
            self.rules.cold_capacity_factor if just_started else 1.0
        ) * capacity

    def load_with(self, number: BackendId, slice_: Slice) -> float:
        """A server's load with this slice added, relative to its capacity."""
        if (baselines := self.baselines.get(number)) is None:
            baselines = self.baselines[number] = self.baseline(number)
        return (self.loads.get(number, 0.0) + baselines[0] + slice_.rate) / baselines[1]

    def choose_owner(self, slice_: Slice) -> BackendId | None:
        """The preferred owner, if it is ready; otherwise the server with the least load for its capacity.

        The capacity of a cold server is smaller.
        """
        if slice_.preferred_owner is not None and self.is_ready(slice_.preferred_owner):
            return slice_.preferred_owner
        if self.candidates is None:
            ready = [number for number, server in self.fleet.servers.items() if server.state == "ready"]
            self.candidates = ready or [number for number in self.fleet.servers if self.is_open(number)]
        return min(self.candidates, key=lambda number: self.load_with(number, slice_), default=None)

    def assign(self, slice_: Slice, owner: BackendId) -> None:
        """Assigns a slice to an owner in this turn."""
        self.loads[owner] = self.loads.get(owner, 0.0) + slice_.rate
        self.slice_index.assign(slice_, owner)

    def excess(self, server: Backend) -> float:
        """The requests a second that an owner does not admit, or that exceed nine tenths of its capacity."""
        load, capacity = self.loads.get(server.number, 0.0), self.capacity(server)
        overload = (
            load + self.other_load(server, capacity) - 0.9 * capacity
            if server.capacity_per_weight
            else -NEVER
        )
        return max(load * (1 - server.admitted_share), overload)

    def slices_to_relieve(self) -> list[Slice]:
        """Slices of owners that reject requests or are almost fully busy, if another server has room."""
        now, chosen = self.turn.now, []
        owners = [owner for owner, movable in self.slice_index.by_owner.items() if len(movable) > 1]
        for server in self.fleet.in_order(filter(self.is_open, owners)):
            if (
                now < self.slice_index.next_relief_at.get(server.number, 0)
                or (excess := self.excess(server)) <= 0
            ):
                continue
            movable = [s for s in self.slice_index.by_owner[server.number].values() if s.may_leave(now)]
            if len(movable) < 2:
                continue
            movable.sort(key=lambda slice_: (slice_.rate, slice_.serial))
            slice_ = next((s for s in movable if s.rate >= 0.7 * excess), movable[-1])
            if self.has_room(server, slice_):
                chosen.append(slice_)
            else:  # later reports may show room elsewhere
                self.slice_index.next_relief_at[server.number] = now + self.rules.update_interval_us
        return chosen

    def has_room(self, owner: Backend, slice_: Slice) -> bool:
        """Whether another server would stay clearly below the owner's load with this slice."""
        target = self.choose_owner(slice_)
        if target is None or target == owner.number:
            return False
        capacity = self.capacity(owner)
        load = self.loads.get(owner.number, 0.0) + self.other_load(owner, capacity)
        level = (min(load, capacity) if owner.capacity_per_weight else load) / capacity
        return (
            self.fleet.servers[target].admitted_share >= 1 and self.load_with(target, slice_) < 0.75 * level
        )

    def next_relief(self) -> int:
        """When the next attempt is due for an owner that could not be relieved."""
        times = [
            at
            for owner, at in self.slice_index.next_relief_at.items()
            if len(self.slice_index.by_owner.get(owner, ())) > 1
        ]
        return min((at for at in times if at > self.turn.now), default=NEVER)
