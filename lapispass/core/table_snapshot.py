"""The table as the controller has ordered it and the store holds it, for gates: events and orders in,
changes out."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from lapispass import interface
from lapispass.core import tables
from lapispass.core.shared_types import NodeId


class TableSnapshot:
    """Follows one controller turn by turn."""

    def __init__(self, slices: int, classes: Sequence[interface.VisitClass], by_share: bool) -> None:
        self.tables = tables.Tables(slices)
        self.writing_classes = [place for place, kind in enumerate(classes) if kind.writes]
        self.class_indices = range(len(classes))
        self.by_share = by_share  # else levels are rates, which only shut or open
        self.levels: dict[int, dict[int, float]] = {}
        self.own_slices: set[int] = set()

    def apply_turn(
        self,
        events: Iterable[interface.Event],
        orders: Iterable[interface.Order],
        addresses: Mapping[NodeId, tables.Address],
    ) -> tuple[list[tables.TableChange], int | None]:
        """What a turn has changed, and its mark. Intermediate states of one turn are not told: a gate
        applies it whole.

        The empty step is never such a state: it and the new owner are turns apart, with a mark each.
        """
        before = self.copy()
        mark: int | None = None
        for event in events:
            match event:
                case interface.Given(number, ours):
                    (self.own_slices.add if ours else self.own_slices.discard)(number)
                    self.clear(number)
                case interface.Held(number, backend) if number in self.own_slices:
                    self.tables.apply(tables.SetOwner(number, str(backend)))
        for order in orders:
            match order:
                case interface.Own(number, backend, _):
                    self.tables.apply(tables.SetOwner(number, str(backend)))
                case interface.Empty(number):
                    self.clear(number)
                case interface.Withdraw(backend, out):
                    self.tables.apply(tables.SetWithdrawn(str(backend), out))
                case interface.Admit(table, classes, _, share):
                    for number in self.own_slices if table is None else (table,):
                        self.admit(number, classes, share)
                case interface.Mark(number):
                    mark = number
        self.tables.nodes = dict(addresses)
        return list(self.tables.differences(before)), mark

    def clear(self, number: int) -> None:
        """An empty table has no levels either."""
        self.tables.apply(tables.SetOwner(number, None))
        self.levels.pop(number, None)

    def admit(self, number: int, classes: int, share: float) -> None:
        """A level of some classes. Held connections are let in by the mean; writes are shut where any write
        is."""
        levels = self.levels.setdefault(number, {})
        for place in self.class_indices:
            if classes >> place & 1:
                levels[place] = min(1.0, share) if self.by_share else float(share > 0)
        each = [levels.get(place, 1.0) for place in self.class_indices] or [1.0]
        shut = any(levels.get(place, 1.0) == 0 for place in self.writing_classes)
        self.tables.apply(tables.SetShare(number, round(sum(each) / len(each), 3), shut))

    def copy(self) -> tables.Tables:
        """What stands, apart from later changes."""
        copied = tables.Tables(self.tables.slices)
        copied.owners = dict(self.tables.owners)
        copied.shares = dict(self.tables.shares)
        copied.withdrawn = set(self.tables.withdrawn)
        copied.nodes = dict(self.tables.nodes)
        return copied
