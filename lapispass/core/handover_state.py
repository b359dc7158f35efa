"""The progress of handovers, for the log only: no decision depends on it."""

from __future__ import annotations

from typing import NamedTuple

from lapispass.core.proxies import Proxies
from lapispass.core.slices import Slice, SliceIndex

MAX_PROXIES_LISTED = 5  # in one log line


class HandoverState(NamedTuple):
    """The handover of one slice."""

    step: str  # emptied, closing or steady
    for_us: int  # time spent in this step
    waiting_for: int  # number of proxies that the step waits for
    proxies: tuple[int, ...]  # a few of these


class Progress(NamedTuple):
    """The handovers of a controller, and its proxies that have not acknowledged the last message."""

    emptied: int = 0
    closing: int = 0
    longest_closing_us: int = 0
    unanswered: int = 0  # number of these proxies
    longest_unanswered_us: int = 0
    longest_unanswered: int | None = None  # the proxy that has not acknowledged for longest
    turns_without_room: int = 0  # since the start: turns that left slices for a later turn


def handover_state(slice_: Slice, proxies: Proxies, now: int) -> HandoverState:
    """The state of a slice's handover."""
    waiting = [] if slice_.step == "steady" else proxies.not_passed_by(slice_.barrier, now)
    for_us = now - slice_.step_started_at
    return HandoverState(slice_.step, for_us, len(waiting), tuple(waiting[:MAX_PROXIES_LISTED]))


def progress(slice_index: SliceIndex, proxies: Proxies, now: int, turns_without_room: int) -> Progress:
    """Sums up all handovers, and finds the proxy that has not acknowledged a message for longest."""
    moving = slice_index.moving()
    closing = [now - slice_.step_started_at for slice_ in moving if slice_.step == "closing"]
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
