"""How controllers divide the slices: which may act on a slice, and when it is claimed and released.

The record of a slice in the coordination service decides. Its epoch only rises, and each change is a
compare-and-swap on the revision that was last read. A controller acts on a slice only between its own claim
(or a claim that it reads back after the answer was lost) and the end of its session. It claims a slice

- at once if nobody holds it: the last holder has released it, and has published nothing since;
- if a dead controller holds it, `linger_us` after the service reported the end of that controller's lease.
  By then the dead controller has stopped by its own clock (`membership.py`), and what it had handed to the
  network has arrived or is lost.

It releases a slice that another controller should hold, once no handover of its own is under way there. At
most `max_releases` are released at a time, so that a new controller does not stop the whole fleet.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from lapispass.core import ownership
from lapispass.core.shared_types import NEVER


class Record(NamedTuple):
    """The record of a slice in the service.

    `revision` is that of its last change; 0 if it has never been written.
    """

    epoch: int = 0
    holder: str = ""  # `controller/boot`; empty if it was released
    owner: str | None = None
    share: float = 1.0
    shut: bool = False
    revision: int = 0


NEVER_WRITTEN = Record()


class RecordUpdate(NamedTuple):
    """A record to be written if the slice's record is still at this revision."""

    slice: int
    revision: int
    record: Record


@dataclass
class TakeoverActions:
    """What an evaluation found to do."""

    claims: list[RecordUpdate]
    releases: list[RecordUpdate]
    start: list[int]  # newly held slices, to be given to the controller with their owner
    stop: list[int]  # slices that are no longer held, to be taken from the controller
    retry_at: int = NEVER  # when the next slice becomes claimable


class Takeover:
    """One controller's view of the records of all slices."""

    def __init__(self, slices: int, name: str, linger_us: int, max_releases: int = 64) -> None:
        self.slices, self.name, self.linger_us, self.max_releases = slices, name, linger_us, max_releases
        self.records: dict[int, Record] = {}
        self.acting: set[int] = set()

    def received(self, number: int, record: Record) -> None:
        """Stores a record read from the service, unless a newer one is known."""
        if record.revision >= self.records.get(number, NEVER_WRITTEN).revision:
            self.records[number] = record

    def holds(self, number: int) -> bool:
        """Whether the last known record of a slice names this controller as its holder."""
        return self.records.get(number, NEVER_WRITTEN).holder == self.name

    def take_lost(self) -> list[int]:
        """Stops acting on the slices that have another holder by now, or none, and returns them."""
        lost = sorted(number for number in self.acting if not self.holds(number))
        self.acting.difference_update(lost)
        return lost

    def still_applies(self, update: RecordUpdate, is_busy: Callable[[int], bool]) -> bool:
        """Whether a claim or release may still be written: what it was decided on has not changed.

        The record must be the same, and so must this controller's incarnation. No handover may have begun in
        a slice that is to be released.
        """
        if self.records.get(update.slice, NEVER_WRITTEN).revision != update.revision:
            return False
        if update.record.holder:
            return update.record.holder == self.name
        return self.holds(update.slice) and not is_busy(update.slice)

    def evaluate(
        self,
        now: int,
        members: Mapping[str, float],
        gone_at: Mapping[str, int],
        has_session: bool,
        is_busy: Callable[[int], bool],
        is_leaving: bool = False,
    ) -> TakeoverActions:
        """Compares the records with how the slices should be divided.

        `members` are the weights of the live controllers by name. `gone_at` is the time since when each dead
        holder (`name/boot`) is known to be dead. Without a session the controller holds nothing: it stops
        acting on all slices at once, and claims and releases none.
        """
        actions = TakeoverActions([], [], [], [])
        if not has_session:
            actions.stop = sorted(self.acting)
            self.acting.clear()
            return actions
        alive = {
            name: 0.0 if is_leaving and name == self.controller_name(self.name) else weight
            for name, weight in members.items()
        }
        actions.stop = self.take_lost()
        released = 0
        for number in range(self.slices):
            record = self.records.get(number, NEVER_WRITTEN)
            wanted_owner = ownership.preferred_owner(number, alive)
            is_own = record.holder == self.name
            if is_own and number not in self.acting:
                self.acting.add(number)
                actions.start.append(number)
            if is_own:
                if (
                    wanted_owner is not None
                    and wanted_owner != self.controller_name(self.name)
                    and released < self.max_releases
                    and not is_busy(number)
                ):
                    released += 1
                    actions.releases.append(RecordUpdate(number, record.revision, record._replace(holder="")))
            elif wanted_owner == self.controller_name(self.name):
                claimable_at = self.claimable_at(record, gone_at, alive)
                if now >= claimable_at:
                    epoch = record.epoch + 1
                    actions.claims.append(
                        RecordUpdate(number, record.revision, record._replace(epoch=epoch, holder=self.name))
                    )
                else:
                    actions.retry_at = min(actions.retry_at, claimable_at)
        return actions

    def claimable_at(self, record: Record, gone_at: Mapping[str, int], alive: Collection[str]) -> int:
        """When a slice may be claimed; `NEVER` while a live controller holds it."""
        if not record.holder:
            return 0
        if record.holder in gone_at:
            return gone_at[record.holder] + self.linger_us
        return NEVER

    def unseen_dead_holders(self, alive: Collection[str], gone_at: Mapping[str, int]) -> set[str]:
        """Holders (`name/boot`) that are dead and whose end was not seen, as it came before this start.

        An incarnation writes its key before its first claim, and all changes are received in the order of
        revisions. So a holder of a slice that has no key has had one, and its lease has ended.
        """
        holders = {record.holder for record in self.records.values() if record.holder}
        return holders - set(alive) - gone_at.keys()

    @staticmethod
    def controller_name(holder: str) -> str:
        """The name of a holder without its boot."""
        return holder.partition("/")[0]
