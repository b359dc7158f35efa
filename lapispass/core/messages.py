"""What the parts of a controller tell each other."""

from __future__ import annotations

from typing import NamedTuple


class Standing(NamedTuple):
    """A backend tells how it stands."""

    backend: int
    state: str
    warmth: float
    weight: float
    zone: str
    fit: float
    pace: float
    speed: float
    busy: float
    born: int
    held: float
    fine: bool  # enough visits did well there of late to tell that it is not failing


class Offer(NamedTuple):
    """The channel offers a turn: so many lines, and how far the proxies' answers have come."""

    lines: int
    ordinary: int  # of these, for what may wait: it must not fill the way of the next withdrawal
    mark: int  # the turn's own
    cleared: int  # no proxy can write by a table older than this mark
    settle_us: int
    unmarked: bool  # some proxy has joined since the last mark


class Missed(NamedTuple):
    """A proxy that has joined may not have taken what was said after this mark (-1: any of this life)."""

    first: bool  # it has no earlier stream, and holds nothing
    mark: int
