"""Which connections go now, where a node leaves: as many as the ceiling asks, the least disturbing first."""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import NamedTuple

from lapispass.core.connections import HeldConnection
from lapispass.core.plans import Ceiling
from lapispass.core.shared_types import SECOND

CATCH_UP_US = 2 * SECOND  # a plan that comes late is caught up within this, where the deadline leaves it


class Release(NamedTuple):
    """Let a connection go: 'move' it to another node, or 'close' it in order."""

    number: int
    how: str


def count_due(ceiling: Ceiling, now: int, tick_us: int, standing: int, going: int) -> int:
    """How many of those that stand must begin to go now, `going` being on their way already.

    Guards against a burst where the plan came late or the process stood still: what is behind is spread
    over the catch-up time, or over half of what is left until the deadline where that is less. From the
    deadline on, all.
    """
    left = standing - going
    if left <= 0:
        return 0
    if now >= ceiling.deadline_us:
        return left
    behind = left - ceiling.at(now)
    if behind <= 0:
        return 0
    within = min(CATCH_UP_US, (ceiling.deadline_us - now) // 2)
    sinking = ceiling.at(now - tick_us) - ceiling.at(now)
    return min(left, max(1, sinking, -(-behind * tick_us // max(tick_us, within))))


def disruption(held: HeldConnection, now: int) -> tuple[int, int, float]:
    """How much it disturbs to let a connection go; least first.

    First those that are cut off as it is (a message waits that may not be written here any more), then
    those that can be moved without their screen's notice, then by how long nothing has passed. In the
    middle of a message last.
    """
    if held.in_message:
        rank = 3
    elif held.write_blocked:
        rank = 0
    elif held.kind.movable and held.failed_moves == 0:
        rank = 1
    else:
        rank = 2
    return rank, int(held.kind.value * 1000) if rank == 2 else 0, -(now - held.last_message_us) / SECOND


def choose(standing: Iterable[HeldConnection], count: int, now: int, last: bool) -> list[Release]:
    """The `count` least disturbing, and how each goes; `last` when no time is left to move any.

    One that is in the middle of a message waits for its end, unless it is the last moment.
    """
    free = (held for held in standing if not held.releasing and (last or not held.in_message))
    chosen = heapq.nsmallest(count, free, key=lambda held: (*disruption(held, now), held.number))
    return [
        Release(held.number, "close" if last or not held.kind.movable or held.failed_moves > 1 else "move")
        for held in chosen
    ]
