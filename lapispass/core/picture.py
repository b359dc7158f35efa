"""The table as the controller has ordered it and the store holds it, for gates: events and orders in,
changes out."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from lapispass import interface
from lapispass.core import tables
from lapispass.core.facts import NodeId


class Picture:
    """Follows one controller turn by turn."""

    def __init__(self, slices: int, classes: Sequence[interface.RequestClass], by_share: bool) -> None:
        self.stands = tables.Tables(slices)
        self.writes = [place for place, kind in enumerate(classes) if kind.writes]
        self.places = range(len(classes))
        self.by_share = by_share  # else levels are rates, which only shut or open
        self.levels: dict[int, dict[int, float]] = {}
        self.ours: set[int] = set()

    def turn(
        self,
        events: Iterable[interface.Event],
        orders: Iterable[interface.Order],
        addresses: Mapping[NodeId, tables.Address],
    ) -> tuple[list[tables.Change], int | None]:
        """What a turn has changed, and its mark. Intermediate states of one turn are not told: a gate
        applies it whole.

        The empty step is never such a state: it and the new owner are turns apart, with a mark each.
        """
        before = self.copy()
        mark: int | None = None
        for event in events:
            match event:
                case interface.SliceGrant(number, ours):
                    (self.ours.add if ours else self.ours.discard)(number)
                    self.clear(number)
                case interface.StoredOwner(number, backend) if number in self.ours:
                    self.stands.apply(tables.SetLine(number, str(backend)))
        for order in orders:
            match order:
                case interface.SetTableEntry(number, backend, _):
                    self.stands.apply(tables.SetLine(number, str(backend)))
                case interface.ClearTable(number):
                    self.clear(number)
                case interface.SetWithdrawn(backend, out):
                    self.stands.apply(tables.SetOut(str(backend), out))
                case interface.SetAdmission(table, classes, _, share):
                    for number in self.ours if table is None else (table,):
                        self.admit(number, classes, share)
                case interface.Barrier(number):
                    mark = number
        self.stands.nodes = dict(addresses)
        return list(self.stands.differences(before)), mark

    def clear(self, number: int) -> None:
        """An empty table has no levels either."""
        self.stands.apply(tables.SetLine(number, None))
        self.levels.pop(number, None)

    def admit(self, number: int, classes: int, share: float) -> None:
        """A level of some classes. Held connections are let in by the mean; writes are shut where any write
        is."""
        levels = self.levels.setdefault(number, {})
        for place in self.places:
            if classes >> place & 1:
                levels[place] = min(1.0, share) if self.by_share else float(share > 0)
        each = [levels.get(place, 1.0) for place in self.places] or [1.0]
        shut = any(levels.get(place, 1.0) == 0 for place in self.writes)
        self.stands.apply(tables.SetShare(number, round(sum(each) / len(each), 3), shut))

    def copy(self) -> tables.Tables:
        """What stands, apart from later changes."""
        copied = tables.Tables(self.stands.slices)
        copied.owners = dict(self.stands.owners)
        copied.shares = dict(self.stands.shares)
        copied.out = set(self.stands.out)
        copied.nodes = dict(self.stands.nodes)
        return copied
