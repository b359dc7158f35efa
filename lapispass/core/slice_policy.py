"""The base of the components that decide on slices."""

from __future__ import annotations

from typing import Generic, TypeVar

from lapispass.core.fleet_index import AnyServer, FleetIndex
from lapispass.core.slices import SliceIndex
from lapispass.core.turn import Turn
from lapispass.core.withdrawn import WithdrawnServers

RulesType = TypeVar("RulesType")


class SlicePolicy(Generic[RulesType, AnyServer]):
    """A component with access to the turn, the rules, all servers and all slices."""

    def __init__(
        self,
        turn: Turn,
        rules: RulesType,
        fleet: FleetIndex[AnyServer],
        slice_index: SliceIndex,
        withdrawn_servers: WithdrawnServers,
    ) -> None:
        self.turn, self.rules, self.fleet, self.slice_index = turn, rules, fleet, slice_index
        self.withdrawn_servers = withdrawn_servers
        self.init_state()

    def init_state(self) -> None:
        """Initializes the component's own state."""
