"""A held connection's move to another node, make before break: its steps, and the bound in time of each."""

from __future__ import annotations

import asyncio

from lapispass.core.connections import Held
from lapispass.core.facts import NEVER
from lapispass.core.steering import Go
from lapispass.gate.frames import Side
from lapispass.gate.limits import Limits
from lapispass.gate.node_connection import UpgradeFailed


class MoveFailed(Exception):
    """The new node did not take the connection over."""


class Move:
    """One move. Steps: opening, stopping, proving, quieting, parting."""

    __slots__ = ("go", "new", "opening", "step", "token", "until")

    def __init__(self, go: Go, opening: asyncio.Task[tuple[Side, str | None]]) -> None:
        self.go, self.opening = go, opening
        self.step = "opening"
        self.new: Side | None = None
        self.token = 0  # of the ping whose answer proves that the old node has read all
        self.until = NEVER

    def take_opened(self, protocol: str | None, until: int) -> bool:
        """Whether the new node has taken the upgrade; raises `MoveFailed` where it did not, or otherwise."""
        if not self.opening.done():
            return False
        try:
            self.new, chosen = self.opening.result()
        except (UpgradeFailed, asyncio.CancelledError) as error:
            raise MoveFailed(f"{error}") from None
        if chosen != protocol:  # the client has been promised another one
            raise MoveFailed(f"subprotocol {chosen!r} in place of {protocol!r}")
        self.step, self.until = "stopping", until
        return True

    def prove(self, old: Side, held: Held, now: int, limits: Limits) -> bool:
        """Has the old node show that it has read all; True in the turn in which it has."""
        if self.step == "stopping" and not held.inside:
            self.step, self.token = "proving", old.ping(now)
        if self.step == "proving" and old.acked_token >= self.token:
            self.step, self.until = "quieting", now + limits.fence_us
            return True
        return False

    def close_when_quiet(self, old: Side, held: Held, now: int, limits: Limits) -> None:
        """Closes the old node between two of its messages, once it is quiet or has had its time for that."""
        is_quiet = now - held.last_us >= limits.quiet_us or now >= self.until
        if self.step == "quieting" and not old.mid_message and is_quiet:
            old.close(1000, "moved")
            self.step, self.until = "parting", now + limits.close_us

    def next_due(self, held: Held, limits: Limits) -> int:
        """When something has to be done without anything coming."""
        quiet_at = held.last_us + limits.quiet_us if self.step == "quieting" else NEVER
        return min(self.until, quiet_at)

    def abandon(self) -> None:
        """Ends the connection to the new node, now or as soon as it is up."""
        self.opening.cancel()
        if self.opening.done():
            reset_opened(self.opening)
        else:
            self.opening.add_done_callback(reset_opened)


def reset_opened(opening: asyncio.Task[tuple[Side, str | None]]) -> None:
    """Cuts a connection that no move wants; whatever became of it has been heard."""
    if not opening.cancelled() and opening.exception() is None:
        opening.result()[0].reset()
