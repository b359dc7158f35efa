"""The move of a held connection to another node: its steps and the time limit of each.

The connection to the new node is made before the one to the old node is closed.
"""

from __future__ import annotations

import asyncio

from lapispass.core.connections import HeldConnection
from lapispass.core.shared_types import NEVER
from lapispass.core.steering import Admitted
from lapispass.gate.answer_watch import AnswerWatch
from lapispass.gate.frames import Side
from lapispass.gate.limits import Limits
from lapispass.gate.node_connection import UpgradeFailed


class MoveFailed(Exception):
    """The new node did not take over the connection."""


class Move:
    """One move. Its steps are:

    opening: the connection to the new node is made while the old node serves on;
    stopping: no new message of the client begins; one that has begun is finished;
    answering: the old node has read everything, and sends the answers that it owes;
    quieting: the gate waits until the old node sends nothing;
    parting: the old node has been sent a close frame, and its answer is awaited.
    """

    __slots__ = ("go", "new", "opening", "step", "until", "watch")

    def __init__(self, go: Admitted, opening: asyncio.Task[tuple[Side, str | None]]) -> None:
        self.go, self.opening = go, opening
        self.step = "opening"
        self.new: Side | None = None
        self.watch: AnswerWatch | None = None  # in step 'answering'
        self.until = NEVER

    def take_opened(self, protocol: str | None, until: int) -> bool:
        """Whether the new node has accepted the upgrade. Raises `MoveFailed` if it refused it or chose
        another subprotocol."""
        if not self.opening.done():
            return False
        try:
            self.new, chosen = self.opening.result()
        except (UpgradeFailed, asyncio.CancelledError) as error:
            raise MoveFailed(f"{error}") from None
        if chosen != protocol:  # the client was promised `protocol` in its handshake
            raise MoveFailed(f"the new node chose subprotocol {chosen!r}, expected {protocol!r}")
        self.step, self.until = "stopping", until
        return True

    def start_answering(self, watch: AnswerWatch) -> None:
        """The client's last message for the old node has been sent."""
        self.step, self.until, self.watch = "answering", NEVER, watch

    def start_quieting(self, until: int) -> None:
        """The old node owes nothing."""
        self.step, self.until = "quieting", until

    def close_when_quiet(self, old: Side, held: HeldConnection, now: int, limits: Limits) -> None:
        """Closes the connection to the old node between two of its messages, once it is quiet or the time
        limit for that is over."""
        is_quiet = now - held.last_message_us >= limits.quiet_us or now >= self.until
        if self.step == "quieting" and not old.mid_message and is_quiet:
            old.close(1000, "moved")
            self.step, self.until = "parting", now + limits.close_us

    def next_due(self, now: int, held: HeldConnection, limits: Limits) -> int:
        """The time at which something has to be done even if nothing is received."""
        due = self.until
        if self.step == "quieting":
            due = min(due, held.last_message_us + limits.quiet_us)
        if self.step == "answering" and self.watch is not None:
            due = min(due, self.watch.next_due(now))
        return due

    def abandon(self) -> None:
        """Ends the connection to the new node, now or as soon as it is open."""
        self.opening.cancel()
        if self.opening.done():
            reset_opened(self.opening)
        else:
            self.opening.add_done_callback(reset_opened)


def reset_opened(opening: asyncio.Task[tuple[Side, str | None]]) -> None:
    """Resets a connection that no move needs any more. This also retrieves the task's exception, if it has
    one."""
    if not opening.cancelled() and opening.exception() is None:
        opening.result()[0].reset()
