"""What the parts that decide on slices have in common."""

from __future__ import annotations

from typing import Generic, TypeVar

from lapispass.core.fleet_index import AnyServer, FleetIndex
from lapispass.core.slices import Holdings
from lapispass.core.turn import Turn
from lapispass.core.withdrawn import WithdrawnServers

Figures = TypeVar("Figures")


class SlicePart(Generic[Figures, AnyServer]):
    """A part that sees the turn, the figures derived at the start, all servers and all slices."""

    def __init__(
        self,
        turn: Turn,
        rules: Figures,
        fleet: FleetIndex[AnyServer],
        holdings: Holdings,
        shut_out: WithdrawnServers,
    ) -> None:
        self.turn, self.rules, self.fleet, self.holdings = turn, rules, fleet, holdings
        self.shut_out = shut_out
        self.begin()

    def begin(self) -> None:
        """Sets what the part keeps."""
