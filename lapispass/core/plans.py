"""The plan that a controller sends to a gate: falling ceilings, allotments and the rate of returning clients.

A plan states how many connections may be *held* at a given time, never how many to close now. It may
therefore arrive late, twice or out of order. A gate compares the connections that it holds with the ceiling,
and a plan that is not newer than the one in force changes nothing.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from lapispass.core.admission import Allotment
from lapispass.core.shared_types import NodeId


class Version(NamedTuple):
    """The incarnation of the controller that made a plan, and the number of the plan within it.

    A later incarnation is a greater number.
    """

    incarnation: int
    number: int


NO_VERSION = Version(-1, -1)


class Curve(NamedTuple):
    """The falling share of connections that may still be held until one deadline, linear between points.

    Before the first point the share is that of the first point; from the deadline on it is 0. Times are on
    the clock of the process that holds the curve.
    """

    points: tuple[tuple[int, float], ...]  # (time in us, share): times ascend, shares fall from 1 to 0
    deadline_us: int

    def at(self, now: int) -> float:
        if now >= self.deadline_us or not self.points:
            return 0.0
        index = bisect_right(self.points, (now, 2.0))
        if index == 0:
            return self.points[0][1]
        begin, high = self.points[index - 1]
        if index == len(self.points):
            return high
        end, low = self.points[index]
        return low + (high - low) * (end - now) / (end - begin)


class Ceiling(NamedTuple):
    """How many connections a gate may still hold at a draining node.

    The number is rounded with an offset between 0 and 1 that differs for each pair of gate and node. With
    plain rounding up, many gates with one connection each would all keep it until the last moment.
    """

    curve: Curve
    held: int  # connections at the start of the curve
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
    """Everything that a controller asks of one gate about held connections."""

    version: Version
    ceilings: Mapping[NodeId, Ceiling] = field(default_factory=dict)
    allotted: Mapping[NodeId, Allotment] = field(default_factory=dict)
    returns_per_s: float = 10.0
    come_back_least_us: int = 500_000
    come_back_most_us: int = 120_000_000
    # Nodes that are reported as gone: connections there must prove that they are alive.
    dead: frozenset[NodeId] = frozenset()
