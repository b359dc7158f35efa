"""Which connections a gate releases now at a draining node: as many as the ceiling demands.

Those whose release causes the least disruption go first.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import NamedTuple

from lapispass.core.connections import HeldConnection
from lapispass.core.plans import Ceiling
from lapispass.core.shared_types import SECOND

CATCH_UP_US = 2 * SECOND  # time to catch up with a plan that arrived late, if the deadline allows it


class Release(NamedTuple):
    """The release of a connection: 'move' it to another node, or 'close' it with a close handshake."""

    number: int
    how: str


def count_due(ceiling: Ceiling, now: int, tick_us: int, held: int, releasing: int) -> int:
    """How many of the connections held must be released now; `releasing` are already under way.

    When the plan came late or the process was stalled, many connections are above the ceiling. To avoid a
    burst, these are spread over the catch-up time, or over half of the time to the deadline if that is less.
    From the deadline on, all connections are due.
    """
    remaining = held - releasing
    if remaining <= 0:
        return 0
    if now >= ceiling.deadline_us:
        return remaining
    excess = remaining - ceiling.at(now)
    if excess <= 0:
        return 0
    catch_up_us = min(CATCH_UP_US, (ceiling.deadline_us - now) // 2)
    falling = ceiling.at(now - tick_us) - ceiling.at(now)
    return min(remaining, max(1, falling, -(-excess * tick_us // max(tick_us, catch_up_us))))


def disruption(held: HeldConnection, now: int) -> tuple[int, int, float]:
    """A sort key for the disruption that the release of a connection causes, the least first.

    First come connections that are blocked anyway, because a message waits that may not be written here any
    more. Then come those that can be moved without the client noticing, then those that can only be closed,
    by the value of their class. Among equals, the connection that has been idle longest comes first.
    Connections in the middle of a message come last.
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


def choose(held_connections: Iterable[HeldConnection], count: int, now: int, last: bool) -> list[Release]:
    """Selects `count` connections with the least disruption, and how each is released.

    `last` says that no time is left to move any. A connection in the middle of a message waits for the end of
    the message, unless `last` is set.
    """
    candidates = (held for held in held_connections if not held.releasing and (last or not held.in_message))
    chosen = heapq.nsmallest(count, candidates, key=lambda held: (*disruption(held, now), held.number))
    return [
        Release(held.number, "close" if last or not held.kind.movable or held.failed_moves > 1 else "move")
        for held in chosen
    ]
