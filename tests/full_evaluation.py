"""A controller that evaluates everything in every turn: the reference for evaluating only what is due."""

from __future__ import annotations

from collections.abc import Sequence

from lapispass import interface
from lapispass.controller import Controller
from lapispass.policy.handovers import Handovers


class FullEvaluation(Controller):
    """Evaluates every server and every slice in every turn, whether they are due or not."""

    def turn(self, now: int, events: Sequence[interface.Event]) -> list[interface.Order]:
        self.current.updated_servers.update(self.backends)
        self.table.changed = True
        if isinstance(self.table, Handovers):
            slice_index = self.table.slice_index
            slice_index.updated.update(slice_index.slices)
            slice_index.changed_owners.update(dict.fromkeys(slice_index.by_owner))
            slice_index.admission_pending.update(slice_index.by_owner)
        return super().turn(now, events)
