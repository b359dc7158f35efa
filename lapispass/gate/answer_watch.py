"""Asks a node by pings whether it runs, while the answers that it may owe are waited for."""

from __future__ import annotations

from dataclasses import dataclass

from lapispass.core.outstanding_answers import AnswerWait, WaitState
from lapispass.gate.frames import Side


class AnswerWatch:
    """A wait for a node's answers, and the pings that it needs."""

    __slots__ = ("token", "wait")

    def __init__(self, wait: AnswerWait) -> None:
        self.wait = wait
        self.token = 0  # of the ping under way

    def advance(self, node: Side, now: int) -> WaitState:
        """Takes in the answer of a ping and sends the next one if it is due; returns the state of the
        wait."""
        if self.wait.probe_sent_at and node.acked_token >= self.token:
            self.wait.probe_answered(now)
        state = self.wait.state(now)
        if state is WaitState.WAITING and self.wait.needs_probe(now):
            self.token = node.ping(now)
            self.wait.probe_sent(now)
        return state

    def next_due(self, now: int) -> int:
        """The time at which something has to be done even if nothing is received."""
        return self.wait.next_due(now)


@dataclass(slots=True)
class PendingClose:
    """A close of the client's connection that waits for the node's answers."""

    code: int
    end_reason: str  # for the counters
    watch: AnswerWatch | None = None  # none until the client's message has ended
