"""Since when proxies have had no line to pick for a slice, as far as news and orders tell.

A proxy has a line for a slice while the slice's table names an owner that is not shut out. Rule 1 of the
platform's protocol limits how long it may be without one. Nothing is decided here: the figures are for the
log. Times are whole microseconds of the controller's clock.
"""

from __future__ import annotations

from typing import NamedTuple

from lapispass import interface
from lapispass.interface import BackendId


class UnservedSpan(NamedTuple):
    """A slice without a line to pick, or one that has a line again."""

    slice: int
    owner: BackendId | None  # the owner that is shut out; None for an empty table
    duration_us: int


class UnservedSlices:
    """Follows the slices of one controller. The work follows what changes, not how many slices there are."""

    def __init__(self, overdue_us: int) -> None:
        """`overdue_us`: a gap that lasts longer is reported."""
        self.overdue_us = overdue_us
        self.owners: dict[int, BackendId | None] = {}
        self.since: dict[int, int] = {}  # slices without a line, those without one for longest first
        self.longest_us = 0  # of the gaps that ended since `take_longest`
        self._owned: dict[BackendId, set[int]] = {}
        self._withdrawn: set[BackendId] = set()
        self._reported: set[int] = set()
        self._ended: list[UnservedSpan] = []

    def event(self, now: int, event: interface.Event) -> None:
        """Something was received."""
        match event:
            case interface.SliceGrant(slice_, ours):
                self._forget(slice_)
                if ours:
                    self._assign(now, slice_, None)
            case interface.StoredOwner(slice_, owner) if slice_ in self.owners:
                self._assign(now, slice_, owner)

    def order(self, now: int, order: interface.Order) -> None:
        """Something was ordered."""
        match order:
            case interface.ClearTable(slice_) if slice_ in self.owners:
                self._assign(now, slice_, None)
            case interface.SetTableEntry(slice_, owner) if slice_ in self.owners:
                self._assign(now, slice_, owner)
            case interface.SetWithdrawn(backend, out):
                (self._withdrawn.add if out else self._withdrawn.discard)(backend)
                for slice_ in sorted(self._owned.get(backend, ())):
                    self._update(now, slice_)

    def overdue(self, now: int) -> list[UnservedSpan]:
        """Gaps that have lasted too long by now; each is told once."""
        found = []
        for slice_, since in self.since.items():
            if now - since <= self.overdue_us:
                break  # the others are younger
            if slice_ not in self._reported:
                self._reported.add(slice_)
                found.append(UnservedSpan(slice_, self.owners[slice_], now - since))
        return found

    def take_ended(self) -> list[UnservedSpan]:
        """Gaps that were told as overdue and have ended since the last call."""
        ended, self._ended = self._ended, []
        return ended

    def take_longest(self, now: int) -> int:
        """The longest gap, of those that ended since the last call and those that go on."""
        longest, self.longest_us = self.longest_us, 0
        oldest = next(iter(self.since.values()), now)
        return max(longest, now - oldest)

    def _assign(self, now: int, slice_: int, owner: BackendId | None) -> None:
        self._unlink(slice_)
        self.owners[slice_] = owner
        if owner is not None:
            self._owned.setdefault(owner, set()).add(slice_)
        self._update(now, slice_)

    def _update(self, now: int, slice_: int) -> None:
        """Begins or ends the slice's gap."""
        owner = self.owners[slice_]
        if owner is None or owner in self._withdrawn:
            self.since.setdefault(slice_, now)
            return
        since = self.since.pop(slice_, None)
        if since is None:
            return
        self.longest_us = max(self.longest_us, now - since)
        if slice_ in self._reported:
            self._reported.discard(slice_)
            self._ended.append(UnservedSpan(slice_, owner, now - since))

    def _unlink(self, slice_: int) -> None:
        owner = self.owners.get(slice_)
        if owner is None:
            return
        owned = self._owned[owner]
        owned.discard(slice_)
        if not owned:
            del self._owned[owner]

    def _forget(self, slice_: int) -> None:
        """The slice is no longer in this controller's charge."""
        self._unlink(slice_)
        self.owners.pop(slice_, None)
        self.since.pop(slice_, None)
        self._reported.discard(slice_)
