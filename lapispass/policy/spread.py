"""The tables where there are no slices."""

from __future__ import annotations

from collections.abc import Iterator

from lapispass import interface
from lapispass.core.fleet_index import FleetIndex
from lapispass.core.line_table import LineTable
from lapispass.core.messages import RUNNING_STATES, SendBudget
from lapispass.core.turn import Turn
from lapispass.core.units import NEVER
from lapispass.policy.channel import Channel
from lapispass.policy.health import Backend
from lapispass.policy.rules import Rules


class Spread(LineTable[Backend]):
    """Every server in one table a zone and one for all, by listed weight."""

    def __init__(self, turn: Turn, rules: Rules, fleet: FleetIndex[Backend], channel: Channel) -> None:
        super().__init__(turn, fleet, rules.zone_tables)
        self.rules, self.channel = rules, channel

    def act(self, offer: SendBudget) -> int:
        """One message, where a server has changed or a proxy has joined; returns when more is due."""
        changes = list(self.changes())
        orders: list[interface.Order] = list(changes[: offer.lines])
        self.order(changes[: offer.lines])
        for proxy, zone in self.joiners.items():
            near = self.rules.zone_tables.get(zone, 0)
            binds = ((0, self.rules.any_zone), (near, self.rules.own_zone))
            orders += [interface.BindProxy(proxy, table, classes) for table, classes in binds if classes]
        self.joiners.clear()
        if orders:
            self.channel.publish(orders)
        return self.turn.now if len(changes) > offer.lines else NEVER

    def changes(self) -> Iterator[interface.SetTableEntry]:
        """Lines that differ from what stands: a server is in while ready and well, a cold one in part."""
        servers = list(self.fleet.servers.values())
        well = {s.zone for s in servers if s.state in ("ready", "unproven") and s.warm}
        for server in servers:
            fit = server.state in RUNNING_STATES and not (server.state == "ill" and server.zone in well)
            weight = server.weight * (0.25 * int(4 * server.warmth()) or 0.1) if fit else 0.0
            for table, number in self.keys(server):
                if self.lines.get((table, number), 0.0) != weight:
                    yield interface.SetTableEntry(table, number, weight)
