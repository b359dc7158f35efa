"""Who is alive among controllers, and until when one may act: by leases of the coordination service.

A controller's lease counts, for itself, from when it *sent* the last renewal that was answered, and runs by
its own steady clock, shortened by how far two clocks may drift apart. The service counts from when it
received that renewal, which is later. So a controller has stopped by its own clock before the service calls
its lease ended, however long it was paused in between: it looks at the clock right before each byte
(`Session.holds`).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from lapispass.core.facts import NEVER

MAX_CLOCK_DRIFT = 0.01  # two steady clocks differ by this part at most


@dataclass(slots=True)
class Session:
    """One lease of the service, as its holder sees it. Times in us of the holder's steady clock."""

    margin_us: int  # what is on its way to the network when the lease ends was sent before
    lease_id: int = 0  # its id; 0: none
    ttl_us: int = 0
    valid_until: int = 0
    times_lost: int = 0  # how often one has run out

    def granted(self, sent_us: int, lease_id: int, ttl_us: int) -> None:
        self.lease_id, self.ttl_us, self.valid_until = lease_id, ttl_us, 0
        self.renewed(sent_us, lease_id, ttl_us)

    def renewed(self, sent_us: int, lease_id: int, ttl_us: int) -> bool:
        """A renewal has been answered. One of another lease, or without time left, is no renewal."""
        if lease_id != self.lease_id or ttl_us <= 0:
            return False
        self.valid_until = max(self.valid_until, sent_us + int(ttl_us * (1 - MAX_CLOCK_DRIFT)))
        return True

    def is_valid(self, now: int) -> bool:
        """Whether anything may be published. Asked right before it is."""
        return bool(self.lease_id) and now < self.valid_until - self.margin_us

    def end(self) -> None:
        """It has run out, or the service does not know it any more: a new one is another life."""
        if self.lease_id:
            self.times_lost += 1
        self.lease_id, self.valid_until = 0, 0

    def renew_at(self, sent_us: int) -> int:
        return sent_us + self.ttl_us // 3 if self.lease_id else sent_us


@dataclass(slots=True)
class Member:
    """A controller as its key in the service says, and since when its lease is known to have ended."""

    name: str
    weight: float
    boot: str
    gone_at: int = NEVER


@dataclass
class Members:
    """All that have been seen; one that is gone is forgotten when nothing can hang on it any more."""

    known: dict[str, Member] = field(default_factory=dict)

    def update(self, alive: Mapping[str, tuple[float, str]], now: int) -> tuple[list[Member], list[Member]]:
        """What the service lists now (name: weight, boot): who has come, and who has gone.

        One that comes back under another boot has gone and come: nothing of its earlier life counts.
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
        return {name: member.weight for name, member in self.known.items() if member.gone_at == NEVER}

    def forget(self, before_us: int) -> None:
        for name in [name for name, member in self.known.items() if member.gone_at < before_us]:
            del self.known[name]
