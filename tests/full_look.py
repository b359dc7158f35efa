"""A controller that looks at everything in every turn: what a look at what is due is compared with."""

from __future__ import annotations

from collections.abc import Sequence

from lapispass import interface
from lapispass.controller import Controller
from lapispass.policy.handovers import Ledger


class FullLook(Controller):
    """Looks at every server and every slice in every turn, whether anything is due or not."""

    def turn(self, now: int, events: Sequence[interface.Event]) -> list[interface.Order]:
        self.current.updated_servers.update(self.backends)
        self.table.changed = True
        if isinstance(self.table, Ledger):
            holdings = self.table.holdings
            holdings.touched.update(holdings.slices)
            holdings.changed.update(dict.fromkeys(holdings.owned))
            holdings.unsettled.update(holdings.owned)
        return super().turn(now, events)
