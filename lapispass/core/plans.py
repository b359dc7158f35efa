"""A plan for a gate, as values: ceilings that sink, allotments, and the pace of returns.

A plan says how much may *stand* at a time, never "close so many now". So it may come late, twice or out of
order: what stands is compared with the ceiling, and a plan that is not newer than the one in force changes
nothing.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from lapispass.core.admission import Allotment
from lapispass.core.shared_types import NodeId


class Version(NamedTuple):
    """The life of the controller that made a plan, and the plan's number in it; later lives are greater."""

    incarnation: int
    number: int


NO_VERSION = Version(-1, -1)


class Curve(NamedTuple):
    """How those that leave by one deadline sink: the share that may still stand, straight lines between
    points.

    Before the first point the first share holds, from the deadline on nothing. Times are those of whoever
    holds it.
    """

    points: tuple[tuple[int, float], ...]  # (time in us, share), times in order, shares from 1 down to 0
    deadline_us: int

    def at(self, now: int) -> float:
        if now >= self.deadline_us or not self.points:
            return 0.0
        place = bisect_right(self.points, (now, 2.0))
        if place == 0:
            return self.points[0][1]
        begin, high = self.points[place - 1]
        if place == len(self.points):
            return high
        end, low = self.points[place]
        return low + (high - low) * (end - now) / (end - begin)


class Ceiling(NamedTuple):
    """How many connections a gate may still hold at a node that leaves.

    Rounded by the pair's own offset, from 0 up to 1, and not up: where many gates hold one connection each,
    rounding up would keep all of them to the last moment.
    """

    curve: Curve
    held: int  # when the curve began
    offset: float

    @property
    def deadline_us(self) -> int:
        return self.curve.deadline_us

    def at(self, now: int) -> int:
        return (
            0
            if now >= self.curve.deadline_us
            else min(self.held, int(self.curve.at(now) * self.held + self.offset))
        )


@dataclass(frozen=True, slots=True)
class Plan:
    """All that a controller asks of one gate about held connections."""

    version: Version
    ceilings: Mapping[NodeId, Ceiling] = field(default_factory=dict)
    allotted: Mapping[NodeId, Allotment] = field(default_factory=dict)
    returns_per_s: float = 10.0
    come_back_least_us: int = 500_000
    come_back_most_us: int = 120_000_000
    dead: frozenset[NodeId] = frozenset()  # called gone: what is held there must show a sign of life
