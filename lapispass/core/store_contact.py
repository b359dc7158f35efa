"""Whether a controller may still let its clients write, by its contact with the store of assignments.

The store gives the slices of a controller that is cut off to another controller. The other one starts no
handover for a lease, so clients of the former one have to stop within a lease of the change of hands. The
former one cannot learn of that change. So it lets clients write only for a bounded time after the contact was
last shown, and gives them a lease that makes up for that time:

- A contact at time `t` shows that the slices change hands no sooner than `t + TAKEOVER_MIN_US`.
- The right to write is renewed until `t + silence_limit_us` at the latest, for `client_lease_us`.
- `silence_limit_us + client_lease_us == TAKEOVER_MIN_US + lease_us`, so all writes have stopped a lease after
  the earliest change of hands. `docs/design/write-rights.md` has the sum.

Contact takes both directions: a call that the relay has answered, which counts from when it was sent, and a
line of the event stream, which brings the changes of the slices. What was received counts once a turn has
taken it in and its tables are published. A change of hands that waits for its turn, and a stream that has
broken off, stop renewals sooner: such a change may already be a fact, so it is not `TAKEOVER_MIN_US` ahead.
"""

from __future__ import annotations

from lapispass.core.shared_types import NEVER

# The store gives the slices of a controller that is cut off to another one no sooner than this.
TAKEOVER_MIN_US = 910_000
# The event stream has a heartbeat each second; the rest is for one that arrives late.
SILENCE_US = 1_300_000


class StoreContact:
    """The contact of one controller with the store. Times are in microseconds of the controller's clock."""

    def __init__(self, lease_us: int) -> None:
        self.lease_us = lease_us
        self.silence_limit_us = min(SILENCE_US, TAKEOVER_MIN_US + lease_us // 2)
        self.answered_call_at = -NEVER  # when the last call that was answered had been sent
        self.stream_heard_at = -NEVER  # when the complete event stream last brought a line
        self.shown_at = -NEVER  # the last contact whose events have been taken in
        self.change_received_at = NEVER  # the oldest change of hands that no turn has taken in
        self.stream_lost_at = NEVER  # when the event stream broke off, until it is complete again

    @property
    def client_lease_us(self) -> int:
        """The lease for clients: the settings' lease less the time by which a renewal may come too late."""
        return self.lease_us + TAKEOVER_MIN_US - self.silence_limit_us

    @property
    def slack_us(self) -> int:
        """How late after a change of hands a right may still be renewed for `client_lease_us`."""
        return self.silence_limit_us - TAKEOVER_MIN_US

    def call_answered(self, sent_at: int) -> None:
        """The relay has answered a call that was sent at this time."""
        self.answered_call_at = max(self.answered_call_at, sent_at)

    def stream_heard(self, now: int) -> None:
        """The event stream has brought a line; its snapshot has been compared before."""
        self.stream_heard_at, self.stream_lost_at = now, NEVER

    def stream_lost(self, now: int) -> None:
        """The event stream has broken off; what it had not brought by then is known with the next one."""
        self.stream_lost_at = min(self.stream_lost_at, now)

    def change_received(self, now: int) -> None:
        """The store has given a slice to this controller, or has taken one away."""
        self.change_received_at = min(self.change_received_at, now)

    def events_taken(self) -> None:
        """A turn has taken in all events received so far, and its tables are published."""
        self.shown_at = max(self.shown_at, min(self.answered_call_at, self.stream_heard_at))
        self.change_received_at = NEVER

    def may_grant_writes(self, now: int) -> bool:
        """Whether clients may be given the right to write, or may keep it; to be asked before each renewal.

        Without a lease no slice has a single owner, and nothing has to be kept back.
        """
        if not self.lease_us:
            return True
        # A part of the slack is left for the clients, which have to apply the change.
        return now <= min(
            self.shown_at + self.silence_limit_us,
            self.change_received_at + self.slack_us // 4,
            self.stream_lost_at + self.slack_us,
        )
