"""The tables as the controller has ordered them and the store holds them.

Events and orders of a controller go in; the table changes for gates and xDS come out.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from lapispass import interface
from lapispass.core import tables
from lapispass.core.shared_types import NodeId


class TableSnapshot:
    """The current tables of one controller, updated turn by turn."""

    def __init__(self, slices: int, classes: Sequence[interface.RequestClass], by_share: bool) -> None:
        self.tables = tables.Tables(slices)
        self.writing_classes = [index for index, kind in enumerate(classes) if kind.writes]
        self.class_indices = range(len(classes))
        self.by_share = by_share  # otherwise admission levels are rates, which only close or open
        self.levels: dict[int, dict[int, float]] = {}
        self.own_slices: set[int] = set()

    def apply_turn(
        self,
        events: Iterable[interface.Event],
        orders: Iterable[interface.Order],
        addresses: Mapping[NodeId, tables.Address],
    ) -> tuple[list[tables.TableChange], int | None]:
        """Applies a turn. Returns the changes that result, and the number of the turn's barrier, if any.

        Intermediate states within a turn are left out, because a gate applies a turn as a whole. A handover
        loses nothing by this: it clears a slice and sets the new owner in different turns, each with a
        barrier of its own.
        """
        before = self.copy()
        barrier: int | None = None
        for event in events:
            match event:
                case interface.SliceGrant(number, ours):
                    (self.own_slices.add if ours else self.own_slices.discard)(number)
                    self.clear(number)
                case interface.StoredOwner(number, backend, writes_blocked) if number in self.own_slices:
                    self.tables.apply(tables.SetOwner(number, str(backend)))
                    if writes_blocked:
                        self.admit(number, sum(1 << index for index in self.writing_classes), 0.0)
        for order in orders:
            match order:
                case interface.SetTableEntry(number, backend, _):
                    self.tables.apply(tables.SetOwner(number, str(backend)))
                case interface.ClearTable(number):
                    self.clear(number)
                case interface.SetWithdrawn(backend, out):
                    self.tables.apply(tables.SetWithdrawn(str(backend), out))
                case interface.SetAdmission(table, classes, _, share):
                    for number in self.own_slices if table is None else (table,):
                        self.admit(number, classes, share)
                case interface.Barrier(number):
                    barrier = number
        self.tables.nodes = dict(addresses)
        return list(self.tables.differences(before)), barrier

    def clear(self, number: int) -> None:
        """Removes the owner of a slice. Its admission levels go with it."""
        self.tables.apply(tables.SetOwner(number, None))
        self.levels.pop(number, None)

    def admit(self, number: int, classes: int, share: float) -> None:
        """Sets the admission level of some classes, given as a bit set.

        New held connections are admitted by the mean over all classes. Writes are shut if any class that
        writes is at level 0.
        """
        levels = self.levels.setdefault(number, {})
        for index in self.class_indices:
            if classes >> index & 1:
                levels[index] = min(1.0, share) if self.by_share else float(share > 0)
        by_class = [levels.get(index, 1.0) for index in self.class_indices] or [1.0]
        shut = any(levels.get(index, 1.0) == 0 for index in self.writing_classes)
        self.tables.apply(tables.SetShare(number, round(sum(by_class) / len(by_class), 3), shut))

    def copy(self) -> tables.Tables:
        """A copy of the current tables that later changes do not affect."""
        copied = tables.Tables(self.tables.slices)
        copied.owners = dict(self.tables.owners)
        copied.shares = dict(self.tables.shares)
        copied.withdrawn = set(self.tables.withdrawn)
        copied.nodes = dict(self.tables.nodes)
        return copied
