"""What the parts of a controller tell each other, and how a server stands."""

from __future__ import annotations

from typing import NamedTuple

from lapispass.interface import BackendId

LISTED = ("ready", "unproven", "ill")  # states of a server that is listed as running


class Standing(NamedTuple):
    """How a server stands, for fronts that hold connections there."""

    backend: BackendId
    state: str  # ready, unproven, ill, out, gone or past
    zone: str
    weight: float
    pace: float  # visits completed a second
    busy: float
    born: int
    held: float


class Offer(NamedTuple):
    """The channel offers a turn: so many lines."""

    lines: int
    ordinary: int  # of these, for what may wait: it must not fill the way of the next withdrawal
    mark: int  # the turn's own
    settle_us: int
    unmarked: bool  # some proxy has joined since the last mark


class Missed(NamedTuple):
    """A proxy that has joined may not have taken what was said after this mark (-1: any of this life)."""

    first: bool  # it has no earlier stream, and holds nothing
    mark: int
