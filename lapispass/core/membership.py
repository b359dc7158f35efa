"""Which controllers are alive, and until when each may act, by leases of the coordination service.

A controller counts its lease from when it *sent* the last renewal that was answered, on its own monotonic
clock, and shortens it by the possible drift between two clocks. The service counts from when it received
that renewal, which is later. So a controller stops by its own clock before the service ends its lease. This
holds however long the process is paused in between, because it checks the clock right before it sends
anything (`Session.is_valid`).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from lapispass.core.shared_types import NEVER

MAX_CLOCK_DRIFT = 0.01  # the largest relative difference in speed between two monotonic clocks


@dataclass(slots=True)
class Session:
    """A lease of the service as its holder sees it. Times are in us of the holder's monotonic clock."""

    # The session ends this much before the lease, so that what was just sent arrives before the lease ends.
    margin_us: int
    lease_id: int = 0  # 0: no lease
    ttl_us: int = 0
    valid_until: int = 0
    times_lost: int = 0  # how many leases have ended

    def granted(self, sent_us: int, lease_id: int, ttl_us: int) -> None:
        """Starts a new lease, which was requested at `sent_us`."""
        self.lease_id, self.ttl_us, self.valid_until = lease_id, ttl_us, 0
        self.renewed(sent_us, lease_id, ttl_us)

    def renewed(self, sent_us: int, lease_id: int, ttl_us: int) -> bool:
        """Extends the lease by an answered renewal, which was sent at `sent_us`.

        False if the answer is for another lease or the lease has ended.
        """
        if lease_id != self.lease_id or ttl_us <= 0:
            return False
        self.valid_until = max(self.valid_until, sent_us + int(ttl_us * (1 - MAX_CLOCK_DRIFT)))
        return True

    def is_valid(self, now: int) -> bool:
        """Whether anything may be published now; to be called right before publishing."""
        return bool(self.lease_id) and now < self.valid_until - self.margin_us

    def end(self) -> None:
        """Ends the session: the lease has expired or the service no longer knows it.

        A new lease belongs to a new incarnation.
        """
        if self.lease_id:
            self.times_lost += 1
        self.lease_id, self.valid_until = 0, 0

    def renew_at(self, sent_us: int) -> int:
        """When to renew, after a request that was sent at `sent_us`."""
        return sent_us + self.ttl_us // 3 if self.lease_id else sent_us


@dataclass(slots=True)
class Member:
    """A controller as described by its key in the service, and when its lease was seen to have ended."""

    name: str
    weight: float
    boot: str
    gone_at: int = NEVER


@dataclass
class Members:
    """All controllers that have been seen; those that left are forgotten once nothing depends on them."""

    known: dict[str, Member] = field(default_factory=dict)

    def update(self, alive: Mapping[str, tuple[float, str]], now: int) -> tuple[list[Member], list[Member]]:
        """Takes the service's list of (weight, boot) by name; returns the members that joined and that left.

        One that returns under another boot has left and joined: nothing of its earlier incarnation counts.
        """
        joined, left = [], []
        for name, member in self.known.items():
            current = alive.get(name)
            if member.gone_at == NEVER and (current is None or current[1] != member.boot):
                member.gone_at = now
                left.append(member)
        for name, (weight, boot) in alive.items():
            old = self.known.get(name)
            if old is None or old.gone_at != NEVER:
                joined.append(Member(name, weight, boot))
                self.known[name] = joined[-1]
            else:
                old.weight = weight
        return joined, left

    def alive(self) -> dict[str, float]:
        """The weights of the live controllers by name."""
        return {name: member.weight for name, member in self.known.items() if member.gone_at == NEVER}

    def forget(self, before_us: int) -> None:
        """Forgets the members that left before this time."""
        for name in [name for name, member in self.known.items() if member.gone_at < before_us]:
            del self.known[name]
