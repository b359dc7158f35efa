"""How far handovers are and what they wait for, for the log. Nothing is decided by it."""

from __future__ import annotations

from typing import NamedTuple

from lapispass.core.proxies import Proxies
from lapispass.core.slices import Holdings, Slice

PROXIES_NAMED = 5  # in a line of the log


class HandoverState(NamedTuple):
    """One slice's handover."""

    step: str  # emptied, closing or steady
    for_us: int  # in this step
    waiting_for: int  # proxies, to end the step
    proxies: tuple[int, ...]  # some of these


class Progress(NamedTuple):
    """All handovers of a controller, and its proxies."""

    emptied: int = 0
    closing: int = 0
    longest_closing_us: int = 0
    unanswered: int = 0  # proxies that have not answered the last message
    longest_unanswered_us: int = 0
    longest_unanswered: int | None = None  # the proxy
    turns_without_room: int = 0  # since the start: slices were left for a later turn


def handover_state(slice_: Slice, proxies: Proxies, now: int) -> HandoverState:
    """How far the handover of a slice is."""
    waiting = [] if slice_.step == "steady" else proxies.not_passed_by(slice_.mark, now)
    for_us = now - slice_.stepped_at
    return HandoverState(slice_.step, for_us, len(waiting), tuple(waiting[:PROXIES_NAMED]))


def progress(holdings: Holdings, proxies: Proxies, now: int, turns_without_room: int) -> Progress:
    """How far all handovers are, and which proxy has not answered for longest."""
    moving = holdings.moving()
    closing = [now - slice_.stepped_at for slice_ in moving if slice_.step == "closing"]
    emptied = sum(slice_.step == "emptied" for slice_ in moving)
    proxy, since = proxies.longest_unacknowledged()
    behind_us = 0 if proxy is None else now - since
    return Progress(
        emptied,
        len(closing),
        max(closing, default=0),
        proxies.unacknowledged,
        behind_us,
        proxy,
        turns_without_room,
    )
