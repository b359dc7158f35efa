"""xDS clients beside the platform's controller: the relay stays the store, clients join the same module."""

from __future__ import annotations

from collections.abc import Sequence

from lapispass import interface
from lapispass.core import tables
from lapispass.net.service import Service
from lapispass.operator.read import Source
from lapispass.xds.desk import Desk, desk_for


class Beside:
    """A front for `Service.beside`."""

    def __init__(self, service: Service, source: Source) -> None:
        told = service.launch.told
        self.service = service
        self.desk: Desk = desk_for(
            source, service, service.clock.now, service.counters, told, service.launch.seed
        )

    def turned(self, events: Sequence[interface.Event], orders: Sequence[interface.Order]) -> None:
        """Addresses are the registry's; a node that it forgets is no endpoint any more."""
        if any(isinstance(event, interface.RegistryUpdate) for event in events):
            zones = {
                str(standing.backend): standing.zone for standing in self.service.controller.server_statuses()
            }
            self.desk.addresses = {
                str(node): tables.Address(address, zones.get(str(node), ""))
                for node, address in self.service.registry.addresses.items()
            }
        self.desk.turned(events, orders)

    async def run(self) -> None:
        await self.desk.run()
