"""The lines of weighted tables, where there are no slices, and the proxies that are to be bound to them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Generic

from lapispass import interface
from lapispass.core.fleet_index import AnyServer, FleetIndex, Server
from lapispass.core.messages import MissedOrders
from lapispass.core.table import Table
from lapispass.core.turn import Turn

Line = tuple[int, interface.BackendId]  # table 0 holds all servers, others one zone's


class LineTable(Table, Generic[AnyServer]):
    """Lines by table and server, with their weights."""

    def __init__(self, turn: Turn, fleet: FleetIndex[AnyServer], zone_tables: Mapping[str, int]) -> None:
        super().__init__()
        self.turn, self.fleet, self.zone_tables = turn, fleet, zone_tables
        self.lines: dict[Line, float] = {}
        self.joiners: dict[int, str] = {}  # with their zones

    def joined(self, event: interface.ProxyJoined, missed: MissedOrders) -> None:
        """A proxy's stream stands; it has to be bound."""
        super().joined(event, missed)
        self.joiners[event.proxy] = event.zone

    def left(self, proxy: int) -> None:
        """A proxy's stream has ended."""
        self.joiners.pop(proxy, None)

    def order(self, lines: Iterable[interface.SetTableEntry]) -> None:
        """These lines are ordered; a server whose line was taken out may be forgotten now."""
        for line in lines:
            self.lines[line.table, line.backend] = line.weight
            if not line.weight:
                self.turn.updated_servers.add(line.backend)

    def forget(self, number: interface.BackendId) -> bool:
        """A server is gone for good; False while it stands in a table."""
        keys = self.keys(self.fleet.servers[number])
        if any(self.lines.get(key) for key in keys):
            return False
        for key in keys:
            self.lines.pop(key, None)
        return True

    def keys(self, server: Server) -> list[Line]:
        """The lines of a server: one in the table of all, one in its zone's."""
        tables = sorted({0, self.zone_tables.get(server.zone, 0)})
        return [(table, server.number) for table in tables]
