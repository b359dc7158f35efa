"""The drain plan: how many connections each draining node may still hold at each moment of its grace period.

All draining nodes are planned together, because their connections move to the same destinations. The grace
period is divided into slots. In each slot the destinations take a limited number of new connections (a cold
destination only its rising share). Groups of nodes with the same deadline are placed into the slots, the
earliest deadline first, each group as evenly as the room in the slots allows (water-filling). Connections
that do not fit before their deadline are still closed before it, evenly, because the deadline of a drain is
kept (rule 3). Their clients are then asked to come back later, and admission limits them to what the
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
DRAIN_SHARE = 0.7  # of what destinations take; the rest is for clients that connect on their own


class DrainingNode(NamedTuple):
    """A draining node: when its last connection must be closed, and what each gate holds there."""

    node: NodeId
    deadline_us: int
    held: Mapping[str, int]


@dataclass
class DrainForecast:
    """The expected course of a drain plan, for logs, reports and tests."""

    connections: int = 0
    peak_per_s: float = 0.0
    intake_per_s: float = 0.0
    overflow: int = 0
    curves: dict[int, Curve] = field(default_factory=dict)  # by deadline


def time_slots(now: int, end_us: int) -> tuple[int, int]:
    """The number and the width of the slots from now to the end."""
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
    """How many connections the destinations can take in each slot.

    This is limited by their connection rates and by the room that is left at that time.
    """
    rooms = [0.0] * count
    for node in nodes:
        if not node.accepts_connections:
            continue
        taken = 0.0
        for slot in range(count):
            at = now + slot * width_us
            per_slot = DRAIN_SHARE * intake.new_per_s(at, node) * width_us / SECOND
            room = intake.max_held(at, node) * full.get(node.node, 1.0) - held.get(node.node, 0)
            part = max(0.0, min(per_slot, room - taken))
            taken += part
            rooms[slot] += part
            if (
                node.warmth(at, intake.bounds) >= 1
                and part >= per_slot
                and room - taken > per_slot * (count - slot)
            ):
                # The node is warm and its rate cannot fill the room: all later slots are the same.
                for later in range(slot + 1, count):
                    rooms[later] += per_slot
                break
    return rooms


def spread_evenly(
    amount: float, rooms: list[float], planned: list[float], until: int
) -> tuple[list[float], float]:
    """Spreads an amount over the first `until` slots.

    Together with what is already planned (`planned`), the slots become as even as their room allows. Returns
    the part of each slot, and the amount that does not fit. The level is found by bisection, to a thousandth
    of a connection.
    """
    until = max(1, min(until, len(rooms)))
    pairs = list(zip(rooms[:until], planned[:until], strict=True))
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


def safety_margin_us(now: int, deadline_us: int, answer_us: int) -> int:
    """Time left unplanned before a deadline, so that late and repeated moves still finish in time, and those
    that wait for an answer."""
    left_us = deadline_us - now
    return max(min(2 * SECOND, left_us // 8), min(answer_us, left_us // 2))


def curves(
    now: int, draining: Sequence[DrainingNode], rooms: list[float], width_us: int, answer_us: int
) -> DrainForecast:
    """A curve for each deadline, the earliest first. Subtracts the planned connections from `rooms`."""
    forecast = DrainForecast(connections=sum(sum(node.held.values()) for node in draining))
    forecast.intake_per_s = max(rooms, default=0.0) * SECOND / width_us
    planned = [0.0] * len(rooms)
    for deadline in sorted({node.deadline_us for node in draining}):
        amount = float(sum(sum(node.held.values()) for node in draining if node.deadline_us == deadline))
        usable_us = deadline - safety_margin_us(now, deadline, answer_us) - now
        until = max(1, min(len(rooms), usable_us // width_us))
        parts, overflow = spread_evenly(amount, rooms, planned, until)
        for slot, part in enumerate(parts):
            rooms[slot] -= part
        if overflow:
            parts = [part + overflow / until for part in parts]
        points, closed = [(now, 1.0)], 0.0
        for slot, part in enumerate(parts):
            closed += part
            planned[slot] += part
            share = max(0.0, 1 - closed / amount) if amount and slot + 1 < until else 0.0
            points.append((now + (slot + 1) * width_us, share))
        forecast.overflow += round(overflow)
        forecast.curves[deadline] = Curve(simplified(points), deadline)
    forecast.peak_per_s = max(planned, default=0.0) * SECOND / width_us
    return forecast


def rounding_offset(gate: str, node: NodeId) -> float:
    """A rounding offset from 0 up to 1 for a pair of gate and node, by hash.

    It spreads the pairs over an interval: some close their last connection early in it, some late.
    """
    return (xxhash.xxh32_intdigest(f"{gate} {node}".encode()) >> 8) / (1 << 24)


def simplified(points: list[tuple[int, float]]) -> tuple[tuple[int, float], ...]:
    """Leaves out points that lie on the line between the last point kept and the next point."""
    kept = [points[0]]
    for point, after in pairwise(points[1:]):
        slope = (after[1] - kept[-1][1]) / (after[0] - kept[-1][0])
        if abs(kept[-1][1] + slope * (point[0] - kept[-1][0]) - point[1]) > 0.0005:
            kept.append(point)
    return (*kept, points[-1]) if len(points) > 1 else tuple(kept)


def plan(
    now: int,
    draining: Sequence[DrainingNode],
    nodes: Sequence[NodeView],
    held: Mapping[NodeId, int],
    intake: Intake,
    full: Mapping[NodeId, float],
    answer_us: int = 0,
) -> tuple[dict[str, dict[NodeId, Ceiling]], DrainForecast]:
    """The ceilings by gate and node, and the forecast. A release may have to wait for an answer for
    `answer_us`."""
    if not draining:
        return {}, DrainForecast()
    count, width_us = time_slots(now, max(node.deadline_us for node in draining))
    rooms = room_by_slot(now, width_us, count, nodes, held, intake, full)
    forecast = curves(now, draining, rooms, width_us, answer_us)
    ceilings: dict[str, dict[NodeId, Ceiling]] = {}
    for node in draining:
        curve = forecast.curves[node.deadline_us]
        for gate, connections in node.held.items():
            ceilings.setdefault(gate, {})[node.node] = Ceiling(
                curve, connections, rounding_offset(gate, node.node)
            )
    return ceilings, forecast
