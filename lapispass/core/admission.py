"""Who lets a connection in: the gate as a whole, and each node by its allotment of room and pace.

What is refused is told at once, with when to come back. An allotment is this gate's part of what a node
takes from all gates together; the controller shares it out (`Intake.allot`), so gates need not talk to each
other.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import log
from typing import NamedTuple

import xxhash

from lapispass.core.limits import RateLimiter, ReturnSlots
from lapispass.core.shared_types import NEVER, SECOND, Bounds, NodeId, NodeView

ROTATION_US = 10 * SECOND  # for so long the same gates are served, where not all can be


class Allotment(NamedTuple):
    """This gate's part of a node: how many it may hold there, and how fast new ones may come."""

    held: int
    new_per_s: float
    burst: int


class Refused(NamedTuple):
    """No, for this reason; not before that long."""

    why: str
    retry_after_us: int


class Admission:
    """The gate's own bounds and its allotments."""

    def __init__(self, connections: int, new_per_s: float, burst: int, returns: ReturnSlots) -> None:
        self.connections = connections
        self.rate = RateLimiter(new_per_s, max(1, burst))
        self.returns = returns
        self.allotted: dict[NodeId, Allotment] = {}
        self.rates: dict[NodeId, RateLimiter] = {}

    def allot(self, now: int, allotted: Mapping[NodeId, Allotment]) -> None:
        """New allotments; of a node that is not named any more nothing is left."""
        for node in self.rates.keys() - allotted.keys():
            del self.rates[node]
        for node, part in allotted.items():
            if node in self.rates:
                self.rates[node].set(now, part.new_per_s, part.burst)
            else:
                self.rates[node] = RateLimiter(part.new_per_s, max(1, part.burst))
        self.allotted = dict(allotted)

    def gate_full(self, now: int, held: int) -> Refused | None:
        """Whether the gate itself has no room; counted before any node is asked."""
        if held >= self.connections:
            return Refused("gate full", self.returns.delay_us(now))
        if wait := self.rate.wait_us(now):
            return Refused("gate's pace", max(wait, self.returns.delay_us(now)))
        self.rate.take(now)
        return None

    def room(self, node: NodeId, held: int) -> float:
        """The share of its allotment that is free; a node without one has none."""
        part = self.allotted.get(node)
        return max(0.0, 1 - held / part.held) if part and part.held > 0 else 0.0

    def wait_us(self, now: int, node: NodeId, held: int) -> int:
        """How long until the node takes one more of this gate; `NEVER` while it is full."""
        part = self.allotted.get(node)
        if part is None or held >= part.held:
            return NEVER
        return self.rates[node].wait_us(now)

    def take(self, now: int, node: NodeId, held: int) -> bool:
        return not self.wait_us(now, node, held) and self.rates[node].take(now)

    def give_back(self, node: NodeId) -> None:
        if node in self.rates:
            self.rates[node].give_back()

    def refuse(self, now: int, why: str, wait_us: int = 0) -> Refused:
        """A refusal with a slot to come back in, no sooner than the wait."""
        slot = self.returns.delay_us(now)
        return Refused(why, max(slot, wait_us) if wait_us < self.returns.max_us else slot)


@dataclass(slots=True)
class Demand:
    """What a gate has had at a node, and what came to it of late: the basis on which allotments are
    shared."""

    held: int = 0
    arrival_rate: float = 0.0


class Intake:
    """What each node takes from all gates together, and its parts. Rule 4: a cold one takes its sure
    share."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds

    def max_held(self, now: int, node: NodeView) -> int:
        """How many connections a node may hold now; one that takes nothing new keeps what it has."""
        return int(self.bounds.connections * node.weight * node.warmth(now, self.bounds))

    def new_per_s(self, now: int, node: NodeView) -> float:
        return (
            self.bounds.new_per_s * node.weight * node.warmth(now, self.bounds)
            if node.accepts_connections
            else 0.0
        )

    def allot(
        self, now: int, node: NodeView, demands: Mapping[str, Demand], full: float = 1.0, kept: int = 0
    ) -> dict[str, Allotment]:
        """Shares a node out among the gates: what each holds, and of the room left a part by what comes to
        it.

        `kept` stand there besides, of gates that have gone. `full` below 1 narrows the room of a node that
        has other work (its visits). Half of the room follows what arrives, half is shared evenly, so that a
        gate whose screens all return at once is not without any. Parts are whole, and together never more
        than the node takes.
        """
        if not demands:
            return {}
        most = int(self.max_held(now, node) * full)
        held = kept + sum(demand.held for demand in demands.values())
        room = max(0, most - held) if node.accepts_connections else 0
        rate = self.new_per_s(now, node)
        together = max(1, int(self.bounds.burst * node.weight * node.warmth(now, self.bounds)))
        served = self.eligible_gates(now, node.node, demands, together)
        arriving = sum(demands[gate].arrival_rate for gate in served)
        even = 1 / len(served)
        shares = {
            gate: 0.5 * even + 0.5 * (demands[gate].arrival_rate / arriving if arriving > 0 else even)
            for gate in served
        }
        rooms = whole_parts(room, shares)
        burst = max(1, together // len(served))
        return {
            gate: Allotment(demand.held + rooms.get(gate, 0), rate * shares.get(gate, 0.0), burst)
            for gate, demand in demands.items()
        }

    def eligible_gates(self, now: int, node: NodeId, demands: Mapping[str, Demand], most: int) -> list[str]:
        """The gates that may send new ones to a node for now; all of them where its burst reaches for all.

        Guards rule 4 where gates are many: each may send one at any moment, so twenty could send twenty at
        once to a node that takes two. Those served are drawn by weighted rendezvous hashing, anew every
        while.
        """
        if len(demands) <= most:
            return sorted(demands)
        epoch = now // ROTATION_US

        def score(gate: str) -> float:
            drawn = (xxhash.xxh64_intdigest(f"{gate} {node} {epoch}".encode()) + 1) / (1 << 64)
            return (0.1 + demands[gate].arrival_rate) / -log(min(drawn, 1 - 1e-12))

        return sorted(sorted(demands, key=score, reverse=True)[:most])


def whole_parts(total: int, shares: Mapping[str, float]) -> dict[str, int]:
    """Whole numbers that add up to the total, by largest remainder; ties go by name."""
    sums = sum(shares.values()) or 1.0
    exact = {name: total * share / sums for name, share in shares.items()}
    parts = {name: int(part) for name, part in exact.items()}
    left = total - sum(parts.values())
    for name in sorted(exact, key=lambda name: (parts[name] - exact[name], name))[:left]:
        parts[name] += 1
    return parts
