"""The tables of a deployment without slices."""

from __future__ import annotations

from collections.abc import Iterator

from lapispass import interface
from lapispass.core.fleet_index import FleetIndex
from lapispass.core.messages import RUNNING_STATES, SendBudget
from lapispass.core.table_entries import TableEntries
from lapispass.core.turn import Turn
from lapispass.core.units import NEVER
from lapispass.policy.channel import Channel
from lapispass.policy.health import Backend
from lapispass.policy.rules import Rules


class WeightedTables(TableEntries[Backend]):
    """Puts every server into its zone's table and into the table of all zones, by its weight."""

    def __init__(self, turn: Turn, rules: Rules, fleet: FleetIndex[Backend], channel: Channel) -> None:
        super().__init__(turn, fleet, rules.zone_tables)
        self.rules, self.channel = rules, channel

    def act(self, budget: SendBudget) -> int:
        """Sends one message if a server has changed or a proxy has joined; returns when more is due."""
        changes = list(self.changes())
        orders: list[interface.Order] = list(changes[: budget.lines])
        self.record(changes[: budget.lines])
        for proxy, zone in self.unbound_proxies.items():
            zone_table = self.rules.zone_tables.get(zone, 0)
            bindings = ((0, self.rules.any_zone_classes), (zone_table, self.rules.same_zone_classes))
            orders += [interface.BindProxy(proxy, table, classes) for table, classes in bindings if classes]
        self.unbound_proxies.clear()
        if orders:
            self.channel.publish(orders)
        return self.turn.now if len(changes) > budget.lines else NEVER

    def changes(self) -> Iterator[interface.SetTableEntry]:
        """The table entries that must change.

        A server has a weight while it runs; a cold one has a part of it. An unhealthy server has none if
        its zone has a healthy one.
        """
        servers = list(self.fleet.servers.values())
        zones_with_healthy = {s.zone for s in servers if s.state in ("ready", "unproven") and s.warm}
        for server in servers:
            usable = server.state in RUNNING_STATES and not (
                server.state == "unhealthy" and server.zone in zones_with_healthy
            )
            weight = server.weight * (0.25 * int(4 * server.warmth()) or 0.1) if usable else 0.0
            for table, number in self.keys(server):
                if self.entries.get((table, number), 0.0) != weight:
                    yield interface.SetTableEntry(table, number, weight)
