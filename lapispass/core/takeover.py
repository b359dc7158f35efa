"""Slices under epochs: who may act on one, when it is taken, and when it is let go.

The truth is the service's record of a slice: its epoch only rises, and each change is a compare-and-swap on
what was last read. A controller acts on a slice only between its own claim (or the claim it reads back
after an answer was lost) and the end of its session. It claims one that

- nobody holds: at once (its last holder has let it go, and published nothing since); - a dead one holds,
`linger_us` after the service said that its lease had ended: by then the dead one has stopped by its own
  clock (`membership.py`), and what it had handed to the network has arrived or is gone;

and lets one go that another should hold, when no handover of its own is under way there. At most `most` are
let go at a time, so that a newcomer does not stop the fleet.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from lapispass.core import ownership
from lapispass.core.shared_types import NEVER


class Record(NamedTuple):
    """A slice in the service. `revision` is that of its last change; 0 where it has never been written."""

    epoch: int = 0
    holder: str = ""  # controller and boot; nobody: it was let go
    owner: str | None = None
    share: float = 1.0
    shut: bool = False
    revision: int = 0


FRESH = Record()


class Claim(NamedTuple):
    """Write this record, if the slice is still at the revision."""

    slice: int
    revision: int
    record: Record


@dataclass
class Work:
    """What follows from a look."""

    claims: list[Claim]
    releases: list[Claim]
    start: list[int]  # ours now: hand them to the module, with their owner
    stop: list[int]  # not ours any more: take them from the module
    again_at: int = NEVER


class Takeover:
    """One controller's view of all slices."""

    def __init__(self, slices: int, name: str, linger_us: int, most: int = 64) -> None:
        self.slices, self.name, self.linger_us, self.most = slices, name, linger_us, most
        self.records: dict[int, Record] = {}
        self.acting: set[int] = set()

    def received(self, number: int, record: Record) -> None:
        """A record as the service has it now; an older one than known is passed over."""
        if record.revision >= self.records.get(number, FRESH).revision:
            self.records[number] = record

    def look(
        self,
        now: int,
        members: Mapping[str, float],
        gone_at: Mapping[str, int],
        session: bool,
        busy: Callable[[int], bool],
        leaving: bool = False,
    ) -> Work:
        """`members` are alive by name; `gone_at` tells since when holders (name/boot) are known to be dead.

        Without a session nothing is ours: all stops at once, and nothing is claimed or let go.
        """
        work = Work([], [], [], [])
        if not session:
            work.stop = sorted(self.acting)
            self.acting.clear()
            return work
        alive = {
            name: 0.0 if leaving and name == self.plain(self.name) else weight
            for name, weight in members.items()
        }
        released = 0
        for number in range(self.slices):
            record = self.records.get(number, FRESH)
            should = ownership.preferred_owner(number, alive)
            ours = record.holder == self.name
            if ours and number not in self.acting:
                self.acting.add(number)
                work.start.append(number)
            elif not ours and number in self.acting:
                self.acting.discard(number)
                work.stop.append(number)
            if ours:
                if (
                    should is not None
                    and should != self.plain(self.name)
                    and released < self.most
                    and not busy(number)
                ):
                    released += 1
                    work.releases.append(Claim(number, record.revision, record._replace(holder="")))
            elif should == self.plain(self.name):
                free_at = self.free_at(record, gone_at, alive)
                if now >= free_at:
                    epoch = record.epoch + 1
                    work.claims.append(
                        Claim(number, record.revision, record._replace(epoch=epoch, holder=self.name))
                    )
                else:
                    work.again_at = min(work.again_at, free_at)
        return work

    def free_at(self, record: Record, gone_at: Mapping[str, int], alive: Collection[str]) -> int:
        """From when on a slice may be claimed; `NEVER` while its holder is alive and has not let it go."""
        if not record.holder:
            return 0
        if record.holder in gone_at:
            return gone_at[record.holder] + self.linger_us
        return NEVER

    def orphans(self, alive: Collection[str], gone_at: Mapping[str, int]) -> set[str]:
        """Holders (name/boot) of which nothing is alive, and whose end was never seen: it came before we did.

        A life's key is made before its first claim, and all is told in the order of revisions: so who holds
        a slice and has no key has had one, and its lease has ended.
        """
        holders = {record.holder for record in self.records.values() if record.holder}
        return holders - set(alive) - gone_at.keys()

    @staticmethod
    def plain(holder: str) -> str:
        """A holder's name without its boot."""
        return holder.partition("/")[0]
