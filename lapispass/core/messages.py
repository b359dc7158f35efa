"""What the parts of a controller tell each other, and how a server stands."""

from __future__ import annotations

from typing import NamedTuple

from lapispass.interface import BackendId

RUNNING_STATES = ("ready", "unproven", "ill")  # states of a server that is listed as running


class ServerStatus(NamedTuple):
    """How a server stands, for fronts that hold connections there."""

    backend: BackendId
    state: str  # ready, unproven, ill, out, gone or past
    zone: str
    weight: float
    completed_per_s: float  # visits completed a second
    busy_share: float
    started_at: int
    held_load: float


class SendBudget(NamedTuple):
    """The channel offers a turn: so many lines."""

    lines: int
    deferrable_lines: int  # of these, for what may wait: it must not fill the way of the next withdrawal
    barrier: int  # the turn's own
    settle_us: int
    joined_since_barrier: bool  # some proxy has joined since the last mark


class MissedOrders(NamedTuple):
    """A proxy that has joined may not have taken what was said after this mark (-1: any of this life)."""

    first_stream: bool  # it has no earlier stream, and holds nothing
    barrier: int
