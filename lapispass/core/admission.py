"""Admission of held connections: by the limits of the gate, and by the gate's allotment at each node.

A refusal is immediate and says when to come back. An allotment is this gate's part of the connections and of
the connection rate that a node takes from all gates together. The controller divides each node among the
gates (`Intake.allot`), so gates do not have to communicate with each other.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import log
from typing import NamedTuple

import xxhash

from lapispass.core.limits import RateLimiter, ReturnSlots
from lapispass.core.shared_types import NEVER, SECOND, Bounds, NodeId, NodeView

ROTATION_US = 10 * SECOND  # how long the same gates are eligible, where not all can be at once


class Allotment(NamedTuple):
    """This gate's part of a node: how many connections it may hold there, and how fast it may add to them."""

    held: int
    new_per_s: float
    burst: int


class Refused(NamedTuple):
    """A refused connection: the reason, and how long the client has to wait before it retries."""

    why: str
    retry_after_us: int


class Admission:
    """The limits of one gate and its allotments at all nodes."""

    def __init__(self, connections: int, new_per_s: float, burst: int, returns: ReturnSlots) -> None:
        self.connections = connections
        self.rate = RateLimiter(new_per_s, max(1, burst))
        self.returns = returns
        self.allotted: dict[NodeId, Allotment] = {}
        self.rates: dict[NodeId, RateLimiter] = {}

    def allot(self, now: int, allotted: Mapping[NodeId, Allotment]) -> None:
        """Replaces all allotments. A node that is not named any more loses its allotment and its rate."""
        for node in self.rates.keys() - allotted.keys():
            del self.rates[node]
        for node, allotment in allotted.items():
            if node in self.rates:
                self.rates[node].set(now, allotment.new_per_s, allotment.burst)
            else:
                self.rates[node] = RateLimiter(allotment.new_per_s, max(1, allotment.burst))
        self.allotted = dict(allotted)

    def gate_full(self, now: int, held: int) -> Refused | None:
        """The refusal if the gate itself is full or over its rate. Checked before any node is chosen."""
        if held >= self.connections:
            return Refused("gate full", self.returns.delay_us(now))
        if wait := self.rate.wait_us(now):
            return Refused("gate's pace", max(wait, self.returns.delay_us(now)))
        self.rate.take(now)
        return None

    def room(self, node: NodeId, held: int) -> float:
        """The free share of the allotment at a node; 0 without an allotment."""
        allotment = self.allotted.get(node)
        return max(0.0, 1 - held / allotment.held) if allotment and allotment.held > 0 else 0.0

    def wait_us(self, now: int, node: NodeId, held: int) -> int:
        """How long until the node takes another connection from this gate; `NEVER` while it is full."""
        allotment = self.allotted.get(node)
        if allotment is None or held >= allotment.held:
            return NEVER
        return self.rates[node].wait_us(now)

    def take(self, now: int, node: NodeId, held: int) -> bool:
        return not self.wait_us(now, node, held) and self.rates[node].take(now)

    def give_back(self, node: NodeId) -> None:
        if node in self.rates:
            self.rates[node].give_back()

    def refuse(self, now: int, why: str, wait_us: int = 0) -> Refused:
        """A refusal with a return slot that is not earlier than the wait."""
        slot = self.returns.delay_us(now)
        return Refused(why, max(slot, wait_us) if wait_us < self.returns.max_us else slot)


@dataclass(slots=True)
class Demand:
    """What one gate holds at a node and the recent rate of new connections: the basis for allotments."""

    held: int = 0
    arrival_rate: float = 0.0


class Intake:
    """What each node takes from all gates together, and how that is divided among the gates.

    Rule 4: a cold node takes only the share that it can certainly handle.
    """

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds

    def max_held(self, now: int, node: NodeView) -> int:
        """How many connections a node may hold now. A node that accepts no new ones keeps those it has."""
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
        """Divides a node among the gates: each gets what it holds, and a part of the remaining room.

        `kept` is the number of connections that gates without a stream still hold there. A `full` below 1
        reduces the room of a node that also has requests to serve. Half of the room is divided by the rate of
        new connections, half evenly, so that a gate whose clients all return at once is not left without any.
        The parts are whole numbers, and their sum never exceeds what the node takes.
        """
        if not demands:
            return {}
        limit = int(self.max_held(now, node) * full)
        held = kept + sum(demand.held for demand in demands.values())
        room = max(0, limit - held) if node.accepts_connections else 0
        rate = self.new_per_s(now, node)
        total_burst = max(1, int(self.bounds.burst * node.weight * node.warmth(now, self.bounds)))
        eligible = self.eligible_gates(now, node.node, demands, total_burst)
        arriving = sum(demands[gate].arrival_rate for gate in eligible)
        even = 1 / len(eligible)
        shares = {
            gate: 0.5 * even + 0.5 * (demands[gate].arrival_rate / arriving if arriving > 0 else even)
            for gate in eligible
        }
        rooms = whole_parts(room, shares)
        burst = max(1, total_burst // len(eligible))
        return {
            gate: Allotment(demand.held + rooms.get(gate, 0), rate * shares.get(gate, 0.0), burst)
            for gate, demand in demands.items()
        }

    def eligible_gates(self, now: int, node: NodeId, demands: Mapping[str, Demand], limit: int) -> list[str]:
        """The gates that may send new connections to a node for now; all, if its burst suffices for all.

        This keeps rule 4 when there are many gates. Each gate may open one connection at any moment, so
        twenty gates could open twenty at once at a node that takes two. The eligible gates are selected by
        weighted rendezvous hashing, and the selection changes every `ROTATION_US`.
        """
        if len(demands) <= limit:
            return sorted(demands)
        rotation = now // ROTATION_US

        def score(gate: str) -> float:
            uniform = (xxhash.xxh64_intdigest(f"{gate} {node} {rotation}".encode()) + 1) / (1 << 64)
            return (0.1 + demands[gate].arrival_rate) / -log(min(uniform, 1 - 1e-12))

        return sorted(sorted(demands, key=score, reverse=True)[:limit])


def whole_parts(total: int, shares: Mapping[str, float]) -> dict[str, int]:
    """Whole numbers in proportion to the shares that add up to the total (largest remainder method).

    Ties are broken by name.
    """
    sums = sum(shares.values()) or 1.0
    exact = {name: total * share / sums for name, share in shares.items()}
    parts = {name: int(part) for name, part in exact.items()}
    left = total - sum(parts.values())
    for name in sorted(exact, key=lambda name: (parts[name] - exact[name], name))[:left]:
        parts[name] += 1
    return parts
