"""Which answers a node may still owe the client of a held connection, and when a release may go on.

A gate cannot match answers with questions: nodes send messages unasked, answer in parts, take several
questions at once, and may stand still. So two signs are used, each of which errs on the side of waiting:

- time: until the node has run for the answer time of the connection's class since the client's last message.
  A node that stands still does not run. Pings show that it runs: the time between two answers to them counts
  up to the interval of the pings, and no more.
- count: while fewer messages have come from the node than have been sent to it. Such a connection is never
  moved; its client is closed once the answers have come or nobody can wait for them any more.

The module does no I/O: callers pass the time and report what they send and receive.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from lapispass.core.shared_types import NEVER

MIN_PROBE_INTERVAL_US = 10_000
OVERDUE_FACTOR = 2  # an answer that takes this many times its answer time is overdue


class WaitState(Enum):
    """What a release has to do now."""

    WAITING = auto()
    SETTLED = auto()  # the node owes nothing
    LATE = auto()  # the answer time is over, and fewer messages have come than were sent


@dataclass(slots=True)
class OutstandingAnswers:
    """What one client has sent to its node, and what has come back."""

    asked_us: int = -NEVER  # when the client's last message, or a part of it, was sent to the node
    unanswered: int = 0  # messages sent for which no message has come back; never below 0

    def message_sent(self, now: int, is_complete: bool) -> None:
        """A message of the client, or a part of it, has been sent to the node."""
        self.asked_us = now
        self.unanswered += is_complete

    def message_received(self) -> None:
        """A whole message of the node has come."""
        self.unanswered = max(0, self.unanswered - 1)

    def may_be_owed(self, now: int, answer_us: int) -> bool:
        """Whether an answer may be owed, for callers that cannot ask the node any more."""
        return answer_us > 0 and (self.unanswered > 0 or now - self.asked_us < answer_us)


class AnswerWait:
    """One wait for the answers that a node may owe. No new message of the client is sent meanwhile.

    The caller sends a ping when `needs_probe` says so, and reports its answer.
    """

    __slots__ = (
        "answer_us",
        "answers",
        "is_probed",
        "last_sent_at",
        "needs_proof",
        "overdue_at",
        "patience_us",
        "probe_interval_us",
        "probe_sent_at",
        "probed_at",
        "started_at",
        "worked_us",
    )

    def __init__(
        self,
        answers: OutstandingAnswers,
        answer_us: int,
        patience_us: int,
        probe_interval_us: int,
        now: int,
        needs_proof: bool,
    ) -> None:
        """`answer_us`: the longest that the node works on a message; 0 where messages get no answer.
        `needs_proof`: the node must show in any case that it has read everything."""
        self.answers, self.needs_proof = answers, needs_proof
        self.probe_interval_us = max(MIN_PROBE_INTERVAL_US, min(probe_interval_us, answer_us))
        # A stand-still may begin right after an answer to a ping, so one interval may be counted in excess.
        self.answer_us = answer_us + self.probe_interval_us if answer_us else 0
        self.patience_us = max(patience_us, self.answer_us)
        self.started_at, self.overdue_at = now, now + OVERDUE_FACTOR * self.answer_us
        self.worked_us = max(0, now - answers.asked_us)
        self.is_probed = False  # whether a ping of this wait has been answered
        self.probe_sent_at = 0  # when the ping under way was sent; 0 if there is none
        self.last_sent_at = now
        self.probed_at = now  # when the last one was answered

    def needs_probe(self, now: int) -> bool:
        """Whether a ping is to be sent now."""
        return not self.probe_sent_at and now >= self.next_probe_at()

    def next_probe_at(self) -> int:
        """When the next ping is due; `NEVER` while one is under way."""
        if self.probe_sent_at:
            return NEVER
        if not self.is_probed:
            return self.started_at
        return self.last_sent_at + max(1, min(self.probe_interval_us, self.answer_us - self.worked_us))

    def probe_sent(self, now: int) -> None:
        """A ping has been sent to the node."""
        self.probe_sent_at = self.last_sent_at = now

    def probe_answered(self, now: int) -> None:
        """The node has answered the ping: it runs, and has read all that was sent before."""
        stood_still = now - self.probe_sent_at > self.probe_interval_us
        if self.is_probed:
            self.worked_us += min(now - self.probed_at, self.probe_interval_us)
        elif stood_still:
            self.worked_us = 0  # it may have done so since the client's last message
        self.is_probed, self.probe_sent_at, self.probed_at = True, 0, now

    def message_received(self) -> None:
        """A message of the node has come. One that comes late may have further parts."""
        if self.worked_us >= self.answer_us:
            self.worked_us = 0

    def state(self, now: int) -> WaitState:
        """Whether the release may go on."""
        if self.needs_proof and not self.is_probed:
            return WaitState.WAITING
        if not self.answer_us:
            return WaitState.SETTLED
        has_worked = self.is_probed and self.worked_us >= self.answer_us
        if not has_worked and not self.is_given_up(now):
            return WaitState.WAITING
        return WaitState.LATE if self.answers.unanswered else WaitState.SETTLED

    def is_given_up(self, now: int) -> bool:
        """Whether the client's last message is so old that no answer to it is waited for any more."""
        return now - self.answers.asked_us >= self.patience_us

    def next_due(self, now: int) -> int:
        """The time at which the state may change even if nothing is received."""
        patience_ends = self.answers.asked_us + self.patience_us
        due = self.next_probe_at() if self.state(now) is WaitState.WAITING else NEVER
        return min(due, *(at for at in (patience_ends, self.overdue_at) if at > now), NEVER)

    def is_overdue(self, now: int) -> bool:
        """Whether the wait has lasted much longer than an answer takes, for whatever reason."""
        return now >= self.overdue_at
