"""The slices in a controller's charge: how far the handover of each is, and which of them a server owns."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from lapispass import interface
from lapispass.core.agenda import Agenda
from lapispass.core.decay import DecayingSum
from lapispass.core.units import NEVER
from lapispass.interface import BackendId

LEAST_RATE = 0.2  # visits a second: a little above nothing for a slice of which nothing was heard


@dataclass(slots=True)
class Slice:
    """A slice in this controller's charge and how far its handover is. Times in microseconds."""

    number: int
    serial: int  # in the order in which slices were given
    kept_until: int
    since: int  # proxies have, or last had, no line to pick
    owner: BackendId | None = None
    step: str = "emptied"  # emptied, closing, steady
    stepped_at: int = 0
    mark: int = NEVER  # of the step's message
    gate_at: int | None = None  # when every proxy had taken the step that ended an earlier owner's writes
    shut: bool = False  # its writes are not let in
    reported: bool = False  # since its rates were read
    read_at: int = NEVER  # when its rates are read again without a report
    demand: dict[str, DecayingSum] = field(default_factory=dict)
    rates: dict[str, float] = field(default_factory=dict)  # visits a second by class, as last read
    rate: float = LEAST_RATE
    levels: dict[int, float] = field(default_factory=dict)

    @property
    def moving(self) -> bool:
        """Whether a step of its handover is still to come."""
        return self.step != "steady" or self.shut

    def may_leave(self, now: int) -> bool:
        """Whether its last handover, or its taking over, is over."""
        return self.step == "steady" and now >= self.kept_until

    def read_rates(self, now: int) -> None:
        """Reads the visits a second by class as they are now."""
        self.rates = {name: demand.per_second(now) for name, demand in self.demand.items()}
        self.rate = LEAST_RATE + sum(self.rates.values())
        self.reported = False


class Level(NamedTuple):
    """A share of a class that should be let in."""

    gain: float  # visits a second
    urgent: bool
    slice_: Slice
    place: int  # of the class
    share: float


class Holdings:
    """The slices by number, by owner, and those whose handover is under way."""

    def __init__(self) -> None:
        self.slices: dict[int, Slice] = {}
        self.owned: dict[BackendId, dict[int, Slice]] = {}
        self.changed: dict[BackendId, None] = {}  # owners whose slices or rates have changed
        self.relief_at: dict[BackendId, int] = {}  # owners whose relief is not looked for before
        self.unsettled: set[BackendId] = set()  # owners whose shares may have to change
        self.agenda: Agenda[int] = Agenda()  # when slices are looked at without news
        self.touched: set[int] = set()  # slices with news
        self._moving: dict[int, Slice] = {}
        self._serial = 0

    def add(self, number: int, kept_until: int, since: int, now: int) -> Slice:
        """A slice without an owner, since when that may be; one of that number is replaced."""
        self.remove(number)
        self._serial += 1
        self.slices[number] = slice_ = Slice(number, self._serial, kept_until, since, stepped_at=now)
        self._moving[number] = slice_
        self.touched.add(number)
        return slice_

    def remove(self, number: int) -> None:
        if slice_ := self.slices.pop(number, None):
            self.assign(slice_, None)
            self._moving.pop(number, None)
            self.agenda.forget(number)

    def assign(self, slice_: Slice, owner: BackendId | None) -> None:
        """Gives a slice to another owner, or to none."""
        if slice_.owner is not None:
            mine = self.owned[slice_.owner]
            del mine[slice_.number]
            if not mine:
                del self.owned[slice_.owner]
            self.changed[slice_.owner] = None
        slice_.owner = owner
        if owner is not None:
            self.owned.setdefault(owner, {})[slice_.number] = slice_
            self.changed[owner] = None

    def hold(self, number: int, owner: BackendId) -> None:
        """The store has an owner for a slice just given."""
        if slice_ := self.slices.get(number):
            self.assign(slice_, owner)
            slice_.step = "steady"
            self.stepped(slice_)
            self.touched.add(number)

    def report(self, report: interface.RequestReport, half_us: int, now: int) -> None:
        """Visits came for a slice."""
        if slice_ := self.slices.get(report.target):
            demand = slice_.demand.setdefault(report.request_class, DecayingSum(half_us))
            demand.add(now, report.requests)
            slice_.reported = True
            self.touched.add(report.target)

    def read_rates(self, now: int, every_us: int, negligible: float) -> bool:
        """Reads the rates of slices with reports, and of others each `every_us` until nothing is left.

        Returns whether any slice had news or was due.
        """
        self.touched.update(self.agenda.due(now))
        touched = [self.slices[number] for number in self.touched if number in self.slices]
        self.touched.clear()
        for slice_ in sorted(touched, key=lambda one: one.serial):
            if slice_.reported or now >= slice_.read_at:
                slice_.read_rates(now)
                slice_.read_at = now + every_us
                if max(slice_.rates.values(), default=0.0) < negligible:
                    slice_.demand, slice_.read_at = {}, NEVER
                if slice_.owner is not None:
                    self.changed[slice_.owner] = None
            kept_until = slice_.kept_until if slice_.kept_until > now else NEVER
            self.agenda.set(slice_.number, min(slice_.read_at, kept_until))
        return bool(touched)

    def next_due(self, now: int) -> int:
        """When a slice has to be looked at."""
        return now if self.touched or self.changed else self.agenda.next()

    def stepped(self, slice_: Slice) -> None:
        """A slice's step, or whether its writes are shut, has changed."""
        if slice_.moving:
            self._moving[slice_.number] = slice_
        else:
            self._moving.pop(slice_.number, None)

    def forget_server(self, number: BackendId) -> None:
        """A server that owns no slice is no longer known."""
        self.relief_at.pop(number, None)
        self.unsettled.discard(number)

    def moving(self) -> list[Slice]:
        """Those whose handover is under way, in the order in which they were given."""
        return sorted(self._moving.values(), key=lambda slice_: slice_.serial)

    def rate(self, owner: BackendId) -> float:
        """Visits a second that an owner's slices bring."""
        return sum(slice_.rate for slice_ in self.owned.get(owner, {}).values())

    def take_changed(self) -> list[BackendId]:
        """Owners whose slices or rates have changed since the last call."""
        changed, self.changed = list(self.changed), {}
        return changed
