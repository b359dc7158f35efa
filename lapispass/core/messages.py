"""What the parts of a controller pass to each other, and the status of a server."""

from __future__ import annotations

from typing import NamedTuple

from lapispass.interface import BackendId

RUNNING_STATES = ("ready", "unproven", "unhealthy")  # states of a server that the registry lists as running


class ServerStatus(NamedTuple):
    """The status of a server, for front ends that hold connections there."""

    backend: BackendId
    state: str  # ready, unproven, unhealthy, draining, gone or removed
    zone: str
    weight: float
    completed_per_s: float  # requests completed a second
    busy_share: float  # the part of its capacity that is in use
    started_at: int  # by the controller's clock
    held_load: float  # what held connections cost it, in requests a second


class SendBudget(NamedTuple):
    """How much the channel lets a turn send."""

    lines: int
    deferrable_lines: int  # of these, for orders that can wait: they must not delay the next withdrawal
    barrier: int  # the number of this turn's barrier
    settle_us: int
    joined_since_barrier: bool  # some proxy has joined since the last barrier


class MissedOrders(NamedTuple):
    """A proxy that has joined may have missed the orders after this barrier (-1: all since this start)."""

    first_stream: bool  # it has had no earlier stream, and holds no tables
    barrier: int
