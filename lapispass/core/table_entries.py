"""The entries of weighted tables in a deployment without slices, and the proxies to bind to these tables."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Generic

from lapispass import interface
from lapispass.core.fleet_index import AnyServer, FleetIndex, Server
from lapispass.core.messages import MissedOrders
from lapispass.core.table import Table
from lapispass.core.turn import Turn

TableKey = tuple[int, interface.BackendId]  # table 0 contains all servers, another one those of a zone


class TableEntries(Table, Generic[AnyServer]):
    """The weights of servers by table and server, as ordered."""

    def __init__(self, turn: Turn, fleet: FleetIndex[AnyServer], zone_tables: Mapping[str, int]) -> None:
        super().__init__()
        self.turn, self.fleet, self.zone_tables = turn, fleet, zone_tables
        self.entries: dict[TableKey, float] = {}
        self.unbound_proxies: dict[int, str] = {}  # their zones

    def proxy_joined(self, event: interface.ProxyJoined, missed: MissedOrders) -> None:
        """Notes that a proxy has joined and must be bound to tables."""
        super().proxy_joined(event, missed)
        self.unbound_proxies[event.proxy] = event.zone

    def proxy_left(self, proxy: int) -> None:
        """Forgets a proxy that has left before it was bound."""
        self.unbound_proxies.pop(proxy, None)

    def record(self, entries: Iterable[interface.SetTableEntry]) -> None:
        """Records entries that are ordered; a server whose entry was removed may be forgotten from now on."""
        for entry in entries:
            self.entries[entry.table, entry.backend] = entry.weight
            if not entry.weight:
                self.turn.updated_servers.add(entry.backend)

    def forget_server(self, number: interface.BackendId) -> bool:
        """Forgets a server; False while a table contains it."""
        keys = self.keys(self.fleet.servers[number])
        if any(self.entries.get(key) for key in keys):
            return False
        for key in keys:
            self.entries.pop(key, None)
        return True

    def keys(self, server: Server) -> list[TableKey]:
        """The keys of a server's entries: in the table of all servers and in its zone's."""
        tables = sorted({0, self.zone_tables.get(server.zone, 0)})
        return [(table, server.number) for table in tables]
