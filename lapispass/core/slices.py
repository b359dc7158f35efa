"""The slices that are granted to a controller: their owners, their handovers and their request rates."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from lapispass import interface
from lapispass.core.agenda import Agenda
from lapispass.core.decay import DecayingSum
from lapispass.core.units import NEVER
from lapispass.interface import BackendId

LEAST_RATE = 0.2  # requests a second: a slice without reports counts a little more than nothing


@dataclass(slots=True)
class Slice:
    """A slice of this controller, and the state of its handover. Times are in microseconds."""

    number: int
    serial: int  # its position in the order in which slices were granted
    frozen_until: int  # no handover starts before
    unserved_since: int  # since when, or when last, proxies had no backend to pick
    owner: BackendId | None = None
    preferred_owner: BackendId | None = None  # by the operator
    step: str = "emptied"  # emptied, closing or steady; see `policy/handovers.py`
    step_started_at: int = 0
    barrier: int = NEVER  # the barrier of the step's message
    # When every proxy had applied the step that ended the writes to an earlier owner.
    writes_stopped_at: int | None = None
    writes_blocked: bool = False  # its writes are not admitted
    has_new_reports: bool = False  # since its rates were last read
    next_reading_at: int = NEVER  # when its rates are next read if no report arrives
    demand: dict[str, DecayingSum] = field(default_factory=dict)
    rates: dict[str, float] = field(default_factory=dict)  # requests a second by class, as last read
    rate: float = LEAST_RATE  # over all classes
    levels: dict[int, float] = field(default_factory=dict)  # the admitted share by class index, if ordered

    @property
    def moving(self) -> bool:
        """Whether a handover is in progress."""
        return self.step != "steady" or self.writes_blocked

    def may_leave(self, now: int) -> bool:
        """Whether a handover may start: none is in progress, and the slice was not granted too recently."""
        return self.step == "steady" and now >= self.frozen_until

    def read_rates(self, now: int) -> None:
        """Reads the current requests a second by class."""
        self.rates = {name: demand.per_second(now) for name, demand in self.demand.items()}
        self.rate = LEAST_RATE + sum(self.rates.values())
        self.has_new_reports = False


class Level(NamedTuple):
    """A change of the share of a class that is admitted."""

    gain: float  # the effect of the change, in requests a second
    urgent: bool
    slice_: Slice
    class_index: int
    share: float


class SliceIndex:
    """The slices by number and by owner, and those whose handover is in progress."""

    def __init__(self) -> None:
        self.slices: dict[int, Slice] = {}
        self.by_owner: dict[BackendId, dict[int, Slice]] = {}
        self.changed_owners: dict[BackendId, None] = {}  # owners whose slices or rates have changed
        self.next_relief_at: dict[BackendId, int] = {}  # when owners may be relieved again
        self.admission_pending: set[BackendId] = set()  # owners whose admission levels may have to change
        self.agenda: Agenda[int] = Agenda()  # when slices are due without an event
        self.updated: set[int] = set()  # slices with new events
        self.misplaced: dict[int, Slice] = {}  # whose owner is not the preferred one
        self._moving: dict[int, Slice] = {}
        self._serial = 0

    def add(self, number: int, frozen_until: int, unserved_since: int, now: int) -> Slice:
        """Adds a slice without an owner; replaces the one with this number.

        `unserved_since`: since when it may have had no owner.
        """
        self.remove(number)
        self._serial += 1
        self.slices[number] = slice_ = Slice(
            number, self._serial, frozen_until, unserved_since, step_started_at=now
        )
        self._moving[number] = slice_
        self.updated.add(number)
        return slice_

    def remove(self, number: int) -> None:
        if slice_ := self.slices.pop(number, None):
            self.assign(slice_, None)
            self._moving.pop(number, None)
            self.misplaced.pop(number, None)
            self.agenda.forget(number)

    def assign(self, slice_: Slice, owner: BackendId | None) -> None:
        """Assigns a slice to another owner, or to none."""
        if slice_.owner is not None:
            siblings = self.by_owner[slice_.owner]
            del siblings[slice_.number]
            if not siblings:
                del self.by_owner[slice_.owner]
            self.changed_owners[slice_.owner] = None
        slice_.owner = owner
        if owner is not None:
            self.by_owner.setdefault(owner, {})[slice_.number] = slice_
            self.changed_owners[owner] = None
        self._update_misplaced(slice_)

    def set_preferred_owner(self, number: int, owner: BackendId) -> None:
        """Sets the owner that the operator prefers for a slice."""
        if slice_ := self.slices.get(number):
            slice_.preferred_owner = owner
            self._update_misplaced(slice_)

    def _update_misplaced(self, slice_: Slice) -> None:
        if slice_.preferred_owner in (None, slice_.owner):
            self.misplaced.pop(slice_.number, None)
        else:
            self.misplaced[slice_.number] = slice_

    def set_stored_owner(self, number: int, owner: BackendId, writes_blocked: bool = False) -> None:
        """Sets the owner that the store holds for a slice that was just granted.

        If its writes are blocked, the last step of its handover goes on from the start: nobody knows since
        when no proxy sends writes to the owner before it.
        """
        if slice_ := self.slices.get(number):
            self.assign(slice_, owner)
            slice_.step = "closing" if writes_blocked else "steady"
            slice_.writes_blocked = writes_blocked
            self.step_changed(slice_)
            self.updated.add(number)

    def add_report(self, report: interface.RequestReport, half_life_us: int, now: int) -> None:
        """Adds a report of requests for a slice."""
        if slice_ := self.slices.get(report.target):
            demand = slice_.demand.setdefault(report.request_class, DecayingSum(half_life_us))
            demand.add(now, report.requests)
            slice_.has_new_reports = True
            self.updated.add(report.target)

    def read_rates(self, now: int, interval_us: int, negligible: float) -> bool:
        """Reads the rates of slices with new reports, and of others every `interval_us` until negligible.

        Returns whether any slice had new events or was due.
        """
        self.updated.update(self.agenda.due(now))
        updated = [self.slices[number] for number in self.updated if number in self.slices]
        self.updated.clear()
        for slice_ in sorted(updated, key=lambda slice_: slice_.serial):
            if slice_.has_new_reports or now >= slice_.next_reading_at:
                slice_.read_rates(now)
                slice_.next_reading_at = now + interval_us
                if max(slice_.rates.values(), default=0.0) < negligible:
                    slice_.demand, slice_.next_reading_at = {}, NEVER
                if slice_.owner is not None:
                    self.changed_owners[slice_.owner] = None
            frozen_until = slice_.frozen_until if slice_.frozen_until > now else NEVER
            self.agenda.set(slice_.number, min(slice_.next_reading_at, frozen_until))
        return bool(updated)

    def next_due(self, now: int) -> int:
        """When the next slice is due."""
        return now if self.updated or self.changed_owners else self.agenda.next()

    def step_changed(self, slice_: Slice) -> None:
        """Notes that a slice's step, or whether its writes are blocked, has changed."""
        if slice_.moving:
            self._moving[slice_.number] = slice_
        else:
            self._moving.pop(slice_.number, None)

    def forget_server(self, number: BackendId) -> None:
        """Forgets a server that owns no slice."""
        self.next_relief_at.pop(number, None)
        self.admission_pending.discard(number)

    def moving(self) -> list[Slice]:
        """Slices whose handover is in progress, in the order in which they were granted."""
        return sorted(self._moving.values(), key=lambda slice_: slice_.serial)

    def rate(self, owner: BackendId) -> float:
        """The requests a second that an owner's slices bring."""
        return sum(slice_.rate for slice_ in self.by_owner.get(owner, {}).values())

    def take_changed(self) -> list[BackendId]:
        """Owners whose slices or rates have changed since the last call."""
        changed, self.changed_owners = list(self.changed_owners), {}
        return changed
