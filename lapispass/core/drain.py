"""The drain plan: how many connections may still stand at each node that leaves, at each moment of its grace.

All nodes that leave are planned as one, because they lean on the same destinations. The grace is cut into
slots; in each slot the destinations take so many new ones (a cold one its share, rising). Groups of nodes
with the same deadline are filled in, the earliest deadline first, each as evenly as the slots' room allows
(water-filling). What does not fit before its deadline is still closed before it, evenly, since the drain is
kept (rule 3): its screens are then asked to come back later, and admission holds them to what the
destinations take (rule 4).
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from itertools import pairwise
from typing import NamedTuple

import xxhash

from lapispass.core.admission import Intake
from lapispass.core.plans import Ceiling, Curve
from lapispass.core.shared_types import SECOND, NodeId, NodeView

MAX_SLOTS = 120
DRAIN_SHARE = 0.7  # of what destinations take; the rest is for screens that come by themselves


class DrainingNode(NamedTuple):
    """A node that leaves: when its last connection must be closed, and what each gate holds there."""

    node: NodeId
    deadline_us: int
    held: Mapping[str, int]


@dataclass
class DrainForecast:
    """What a plan expects; for logs, reports and tests."""

    connections: int = 0
    peak_per_s: float = 0.0
    intake_per_s: float = 0.0
    overflow: int = 0
    curves: dict[int, Curve] = field(default_factory=dict)  # by deadline


def time_slots(now: int, end_us: int) -> tuple[int, int]:
    """Number and width of slots from now to the end."""
    span = max(1, end_us - now)
    count = min(MAX_SLOTS, max(1, span // (SECOND // 20)))
    return count, -(-span // count)


def room_by_slot(
    now: int,
    width_us: int,
    count: int,
    nodes: Sequence[NodeView],
    held: Mapping[NodeId, int],
    intake: Intake,
    full: Mapping[NodeId, float],
) -> list[float]:
    """How many more the destinations take in each slot: their pace, and what is left of their room by
    then."""
    rooms = [0.0] * count
    for node in nodes:
        if not node.accepts_connections:
            continue
        taken = 0.0
        for place in range(count):
            at = now + place * width_us
            pace = DRAIN_SHARE * intake.new_per_s(at, node) * width_us / SECOND
            most = intake.max_held(at, node) * full.get(node.node, 1.0) - held.get(node.node, 0)
            part = max(0.0, min(pace, most - taken))
            taken += part
            rooms[place] += part
            if node.warmth(at, intake.bounds) >= 1 and part >= pace and most - taken > pace * (count - place):
                for later in range(
                    place + 1, count
                ):  # warm, and more room than its pace can fill: the same to the end
                    rooms[later] += pace
                break
    return rooms


def spread_evenly(
    amount: float, rooms: list[float], going: list[float], until: int
) -> tuple[list[float], float]:
    """Spreads an amount over the first slots so that the sum with what goes already is as even as rooms
    allow.

    What each slot gets, and what does not fit. The level is found by halving, to a thousandth of a
    connection.
    """
    until = max(1, min(until, len(rooms)))
    pairs = list(zip(rooms[:until], going[:until], strict=True))
    if amount >= sum(rooms[:until]):
        return rooms[:until], amount - sum(rooms[:until])
    low, high = 0.0, max(base + room for room, base in pairs)
    while high - low > 0.001:
        level = (low + high) / 2
        if sum(min(room, max(0.0, level - base)) for room, base in pairs) < amount:
            low = level
        else:
            high = level
    return [min(room, max(0.0, high - base)) for room, base in pairs], 0.0


def safety_margin_us(now: int, deadline_us: int) -> int:
    """Left empty at the end: a move that begins last, or has to be tried again, is still done in time."""
    return min(2 * SECOND, (deadline_us - now) // 8)


def curves(now: int, leaving: Sequence[DrainingNode], rooms: list[float], width_us: int) -> DrainForecast:
    """A curve for each deadline, the earliest first; `rooms` is used up on the way."""
    outlook = DrainForecast(connections=sum(sum(node.held.values()) for node in leaving))
    outlook.intake_per_s = max(rooms, default=0.0) * SECOND / width_us
    going = [0.0] * len(rooms)
    for deadline in sorted({node.deadline_us for node in leaving}):
        amount = float(sum(sum(node.held.values()) for node in leaving if node.deadline_us == deadline))
        until = max(1, min(len(rooms), (deadline - safety_margin_us(now, deadline) - now) // width_us))
        parts, unfitting = spread_evenly(amount, rooms, going, until)
        for place, part in enumerate(parts):
            rooms[place] -= part
        if unfitting:
            parts = [part + unfitting / until for part in parts]
        points, gone = [(now, 1.0)], 0.0
        for place, part in enumerate(parts):
            gone += part
            going[place] += part
            share = max(0.0, 1 - gone / amount) if amount and place + 1 < until else 0.0
            points.append((now + (place + 1) * width_us, share))
        outlook.overflow += round(unfitting)
        outlook.curves[deadline] = Curve(simplified(points), deadline)
    outlook.peak_per_s = max(going, default=0.0) * SECOND / width_us
    return outlook


def rounding_offset(gate: str, node: NodeId) -> float:
    """From 0 up to 1, another for each pair: whose last one goes early in its interval and whose late."""
    return (xxhash.xxh32_intdigest(f"{gate} {node}".encode()) >> 8) / (1 << 24)


def simplified(points: list[tuple[int, float]]) -> tuple[tuple[int, float], ...]:
    """Without the points that lie on the line between the last one kept and the next one."""
    kept = [points[0]]
    for point, after in pairwise(points[1:]):
        slope = (after[1] - kept[-1][1]) / (after[0] - kept[-1][0])
        if abs(kept[-1][1] + slope * (point[0] - kept[-1][0]) - point[1]) > 0.0005:
            kept.append(point)
    return (*kept, points[-1]) if len(points) > 1 else tuple(kept)


def plan(
    now: int,
    leaving: Sequence[DrainingNode],
    nodes: Sequence[NodeView],
    held: Mapping[NodeId, int],
    intake: Intake,
    full: Mapping[NodeId, float],
) -> tuple[dict[str, dict[NodeId, Ceiling]], DrainForecast]:
    """Ceilings by gate and node, and what to expect."""
    if not leaving:
        return {}, DrainForecast()
    count, width_us = time_slots(now, max(node.deadline_us for node in leaving))
    rooms = room_by_slot(now, width_us, count, nodes, held, intake, full)
    outlook = curves(now, leaving, rooms, width_us)
    ceilings: dict[str, dict[NodeId, Ceiling]] = {}
    for node in leaving:
        curve = outlook.curves[node.deadline_us]
        for gate, standing in node.held.items():
            ceilings.setdefault(gate, {})[node.node] = Ceiling(
                curve, standing, rounding_offset(gate, node.node)
            )
    return ceilings, outlook
