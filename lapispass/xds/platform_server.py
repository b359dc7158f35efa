"""Serves xDS clients from the platform's controller.

The relay stays the store of assignments. xDS clients count as further proxies of the same controller.
"""

from __future__ import annotations

from collections.abc import Sequence

from lapispass import interface
from lapispass.core import tables
from lapispass.net.service import Service
from lapispass.operator.memory import xds_connections_beside
from lapispass.operator.read import Source
from lapispass.xds.xds_server import XdsServer, create_xds_server


class PlatformXdsServer:
    """The xDS server as an additional front of the platform service, for `Service.additional_fronts`."""

    def __init__(self, service: Service, source: Source) -> None:
        deployment = service.launch.deployment
        self.service = service
        self.xds_server: XdsServer = create_xds_server(
            source,
            service,
            service.clock.now,
            service.counters,
            deployment,
            service.launch.seed,
            service.store_contact.client_lease_us,
            service.memory,
            xds_connections_beside(service.launch.limits.memory_mb, deployment.slices),
        )
        self.xds_server.may_grant_writes = service.store_contact.may_grant_writes

    def turn_taken(self, events: Sequence[interface.Event], orders: Sequence[interface.Order]) -> None:
        """Publishes a turn.

        Addresses come from the registry; a node that is no longer listed there is no endpoint any more.
        """
        if any(isinstance(event, interface.RegistryUpdate) for event in events):
            zones = {str(status.backend): status.zone for status in self.service.controller.server_statuses()}
            self.xds_server.addresses = {
                str(node): tables.Address(address, zones.get(str(node), ""))
                for node, address in self.service.registry.addresses.items()
            }
        self.xds_server.turn_taken(events, orders)

    async def run(self) -> None:
        await self.xds_server.run()
