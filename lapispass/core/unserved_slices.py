"""Since when slices have been unserved, as far as events and orders show.

A slice is served while its table names an owner that is not withdrawn; proxies then have a backend to pick.
Rule 1 of the platform's protocol limits how long a slice may be unserved. No decision depends on this module:
its figures are for the log. Times are whole microseconds of the controller's clock.
"""

from __future__ import annotations

from typing import NamedTuple

from lapispass import interface
from lapispass.interface import BackendId


class UnservedSpan(NamedTuple):
    """A time in which a slice has been unserved; it may have ended."""

    slice: int
    owner: BackendId | None  # the withdrawn owner, None for an empty table; once served again, the new owner
    duration_us: int


class UnservedSlices:
    """Follows the slices of one controller. The cost grows with the changes, not with the slices."""

    def __init__(self, overdue_us: int) -> None:
        """`overdue_us`: a slice that is unserved for longer is reported."""
        self.overdue_us = overdue_us
        self.owners: dict[int, BackendId | None] = {}
        self.since: dict[int, int] = {}  # unserved slices, the one unserved for longest first
        self.longest_us = 0  # of the spans that ended since the last `take_longest`
        self._owned: dict[BackendId, set[int]] = {}
        self._withdrawn: set[BackendId] = set()
        self._reported: set[int] = set()
        self._ended: list[UnservedSpan] = []

    def event(self, now: int, event: interface.Event) -> None:
        """Follows an event that was received."""
        match event:
            case interface.SliceGrant(slice_, ours):
                self._forget(slice_)
                if ours:
                    self._assign(now, slice_, None)
            case interface.StoredOwner(slice_, owner) if slice_ in self.owners:
                self._assign(now, slice_, owner)

    def order(self, now: int, order: interface.Order) -> None:
        """Follows an order of the controller."""
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
        """The slices that have been unserved for too long by now; each span is returned once."""
        found = []
        for slice_, since in self.since.items():
            if now - since <= self.overdue_us:
                break  # the others became unserved later
            if slice_ not in self._reported:
                self._reported.add(slice_)
                found.append(UnservedSpan(slice_, self.owners[slice_], now - since))
        return found

    def take_ended(self) -> list[UnservedSpan]:
        """The spans that `overdue` had returned and that ended since the last call."""
        ended, self._ended = self._ended, []
        return ended

    def take_longest(self, now: int) -> int:
        """How long the longest span lasted, of those that ended since the last call and those that go on."""
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
        """Notes that the slice becomes unserved, or is served again."""
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
        """Drops what is known of a slice that was taken from this controller, or assigned to it anew."""
        self._unlink(slice_)
        self.owners.pop(slice_, None)
        self.since.pop(slice_, None)
        self._reported.discard(slice_)
