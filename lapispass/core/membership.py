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

from lapispass.core.shared_types import NEVER

DRIFT = 0.01  # two steady clocks differ by this part at most


@dataclass(slots=True)
class Session:
    """One lease of the service, as its holder sees it. Times in us of the holder's steady clock."""

    early_us: int  # what is on its way to the network when the lease ends was sent before
    lease: int = 0  # its id; 0: none
    ttl_us: int = 0
    until: int = 0
    lost: int = 0  # how often one has run out

    def granted(self, sent_us: int, lease: int, ttl_us: int) -> None:
        self.lease, self.ttl_us, self.until = lease, ttl_us, 0
        self.kept(sent_us, lease, ttl_us)

    def kept(self, sent_us: int, lease: int, ttl_us: int) -> bool:
        """A renewal has been answered. One of another lease, or without time left, is no renewal."""
        if lease != self.lease or ttl_us <= 0:
            return False
        self.until = max(self.until, sent_us + int(ttl_us * (1 - DRIFT)))
        return True

    def holds(self, now: int) -> bool:
        """Whether anything may be published. Asked right before it is."""
        return bool(self.lease) and now < self.until - self.early_us

    def end(self) -> None:
        """It has run out, or the service does not know it any more: a new one is another life."""
        if self.lease:
            self.lost += 1
        self.lease, self.until = 0, 0

    def renew_at(self, sent_us: int) -> int:
        return sent_us + self.ttl_us // 3 if self.lease else sent_us


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

    def seen(self, alive: Mapping[str, tuple[float, str]], now: int) -> tuple[list[Member], list[Member]]:
        """What the service lists now (name: weight, boot): who has come, and who has gone.

        One that comes back under another boot has gone and come: nothing of its earlier life counts.
        """
        come, gone = [], []
        for name, member in self.known.items():
            standing = alive.get(name)
            if member.gone_at == NEVER and (standing is None or standing[1] != member.boot):
                member.gone_at = now
                gone.append(member)
        for name, (weight, boot) in alive.items():
            old = self.known.get(name)
            if old is None or old.gone_at != NEVER:
                come.append(Member(name, weight, boot))
                self.known[name] = come[-1]
            else:
                old.weight = weight
        return come, gone

    def alive(self) -> dict[str, float]:
        return {name: member.weight for name, member in self.known.items() if member.gone_at == NEVER}

    def forget(self, before_us: int) -> None:
        for name in [name for name, member in self.known.items() if member.gone_at < before_us]:
            del self.known[name]
