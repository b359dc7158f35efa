"""What a controller tells the part that decides on tables.

Where there are no slices most of it means nothing.
"""

from __future__ import annotations

from collections.abc import Callable

from lapispass import interface
from lapispass.core.messages import MissedOrders, SendBudget
from lapispass.core.server_state import ServerState
from lapispass.core.units import NEVER


class Table:
    """News are noted here and acted on in `evaluate`."""

    def __init__(self) -> None:
        self.changed, self.due_at = False, NEVER

    def given(self, number: int, ours: bool) -> None:
        """The store puts a slice in this controller's charge, or takes it out."""

    def held(self, number: int, backend: interface.BackendId) -> None:
        """The owner that the store has for a slice just given."""

    def came(self, report: interface.RequestReport) -> None:
        """Visits that came for a slice."""

    def joined(self, event: interface.ProxyJoined, missed: MissedOrders) -> None:
        """A proxy's stream stands."""
        self.changed = True

    def left(self, proxy: int) -> None:
        """A proxy's stream has ended."""

    def evaluated(self, server: ServerState) -> None:
        """A server was looked at: its health or its place in the list may have changed."""
        self.changed = True

    def forget(self, number: interface.BackendId) -> bool:
        """A server is gone for good; False while something has still to be said of it."""
        raise NotImplementedError

    def read_rates(self) -> None:
        """Before servers are looked at: tells them what their slices bring."""

    def next_evaluation(self, now: int, joined: int) -> int:
        """When it has to be looked at without news; nothing can be said while no proxy has joined."""
        return now if self.changed and joined else self.due_at

    def evaluate(self, now: int, every_us: int, ask: Callable[[], SendBudget | None]) -> None:
        """Where something has changed or is due, acts as soon as the channel offers a turn."""
        if not (self.changed or now >= self.due_at):
            return
        offer = ask()
        self.changed, self.due_at = offer is None, now + every_us
        if offer is not None:
            self.due_at = max(now + every_us, self.act(offer))

    def act(self, offer: SendBudget) -> int:
        """Orders what follows from the news; returns when something is due next."""
        raise NotImplementedError
