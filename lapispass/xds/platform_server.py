"""xDS clients beside the platform's controller: the relay stays the store, clients join the same module."""

from __future__ import annotations

from collections.abc import Sequence

from lapispass import interface
from lapispass.core import tables
from lapispass.net.service import Service
from lapispass.operator.read import Source
from lapispass.xds.xds_server import XdsServer, create_xds_server


class PlatformXdsServer:
    """A front for `Service.beside`."""

    def __init__(self, service: Service, source: Source) -> None:
        deployment = service.launch.told
        self.service = service
        self.xds_server: XdsServer = create_xds_server(
            source, service, service.clock.now, service.counters, deployment, service.launch.seed
        )

    def turned(self, events: Sequence[interface.Event], orders: Sequence[interface.Order]) -> None:
        """Addresses are the registry's; a node that it forgets is no endpoint any more."""
        if any(isinstance(event, interface.Listed) for event in events):
            zones = {str(standing.backend): standing.zone for standing in self.service.controller.standings()}
            self.xds_server.addresses = {
                str(node): tables.Address(address, zones.get(str(node), ""))
                for node, address in self.service.registry.addresses.items()
            }
        self.xds_server.turned(events, orders)

    async def run(self) -> None:
        await self.xds_server.run()
