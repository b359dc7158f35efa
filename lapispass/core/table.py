"""The interface between a controller and the component that decides on tables.

Most of its methods do nothing in a deployment without slices.
"""

from __future__ import annotations

from collections.abc import Callable

from lapispass import interface
from lapispass.core.messages import MissedOrders, SendBudget
from lapispass.core.server_state import ServerState
from lapispass.core.units import NEVER


class Table:
    """Takes in events; `evaluate` acts on them."""

    def __init__(self) -> None:
        self.changed, self.due_at = False, NEVER

    def slice_granted(self, number: int, granted: bool) -> None:
        """The store has granted a slice to this controller, or has taken it away."""

    def owner_stored(self, number: int, backend: interface.BackendId, writes_blocked: bool) -> None:
        """The store has reported the owner of a slice that was just granted."""

    def owner_preferred(self, number: int, backend: interface.BackendId) -> None:
        """The operator prefers this owner for a slice."""

    def requests_reported(self, report: interface.RequestReport) -> None:
        """Requests for a slice were reported."""

    def proxy_joined(self, event: interface.ProxyJoined, missed: MissedOrders) -> None:
        """A proxy's stream is established."""
        self.changed = True

    def proxy_left(self, proxy: int) -> None:
        """A proxy's stream has ended."""

    def server_evaluated(self, server: ServerState) -> None:
        """A server was evaluated: its health or its registry entry may have changed."""
        self.changed = True

    def forget_server(self, number: interface.BackendId) -> bool:
        """Forgets a server that is gone for good; False while orders about it are still due."""
        raise NotImplementedError

    def read_rates(self) -> None:
        """Updates the request rates of servers, before these are evaluated."""

    def next_evaluation(self, now: int, joined: int) -> int:
        """When the next evaluation is due without an event. Changes have to wait until a proxy has joined."""
        return now if self.changed and joined else self.due_at

    def evaluate(self, now: int, interval_us: int, get_budget: Callable[[], SendBudget | None]) -> None:
        """Acts on changes and on what is due, as soon as the channel has room.

        `get_budget` returns None while the channel has none.
        """
        if not (self.changed or now >= self.due_at):
            return
        budget = get_budget()
        self.changed, self.due_at = budget is None, now + interval_us
        if budget is not None:
            self.due_at = max(now + interval_us, self.act(budget))

    def act(self, budget: SendBudget) -> int:
        """Issues the orders that are due; returns when the next ones are."""
        raise NotImplementedError
