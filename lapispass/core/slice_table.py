"""Applies events to the slices; `policy/handovers.py` decides on their handovers."""

from __future__ import annotations

from typing import Generic, NamedTuple

from lapispass import interface
from lapispass.core.fleet_index import AnyServer, FleetIndex
from lapispass.core.messages import MissedOrders
from lapispass.core.server_state import ServerState
from lapispass.core.slices import SliceIndex
from lapispass.core.table import Table
from lapispass.core.turn import Turn
from lapispass.core.withdrawn import WithdrawnServers


class Times(NamedTuple):
    """Durations in microseconds."""

    lease_us: int  # no handover starts for this time after a slice was granted
    assumed_unserved_us: int  # assumed for a slice that is granted with an empty table
    reading_interval_us: int  # between two readings of a slice's rates
    demand_half_life_us: int  # of the sums of a slice's requests


class SliceTable(Table, Generic[AnyServer]):
    """Keeps the slices and sets the request rates of their owners. Times are in microseconds."""

    def __init__(self, turn: Turn, fleet: FleetIndex[AnyServer], times: Times, negligible: float) -> None:
        super().__init__()
        self.turn, self.fleet, self.negligible, self.times = turn, fleet, negligible, times
        self.slice_index, self.withdrawn_servers = SliceIndex(), WithdrawnServers()

    def slice_granted(self, number: int, granted: bool) -> None:
        """Adds or removes a slice. Its stored table stays as it is, and no handover starts for one lease."""
        now = self.turn.now
        self.changed = True
        self.slice_index.remove(number)
        if granted:
            self.slice_index.add(number, now + self.times.lease_us, now - self.times.assumed_unserved_us, now)

    def owner_stored(self, number: int, backend: interface.BackendId, writes_blocked: bool) -> None:
        """Sets the owner that the store holds for a slice that was just granted."""
        self.slice_index.set_stored_owner(number, backend, writes_blocked)

    def owner_preferred(self, number: int, backend: interface.BackendId) -> None:
        """Notes the owner that the operator prefers for a slice of this controller."""
        self.changed = True
        self.slice_index.set_preferred_owner(number, backend)

    def requests_reported(self, report: interface.RequestReport) -> None:
        """Adds a report of requests for a slice."""
        if report.interval_us:
            self.slice_index.add_report(report, self.times.demand_half_life_us, self.turn.now)

    def proxy_joined(self, event: interface.ProxyJoined, missed: MissedOrders) -> None:
        """Notes that a proxy has joined, and which withdrawals it may have missed."""
        super().proxy_joined(event, missed)
        self.withdrawn_servers.proxy_joined(missed)

    def server_evaluated(self, server: ServerState) -> None:
        """Notes that a server was evaluated: the admission levels of its slices may have to change."""
        super().server_evaluated(server)
        if server.number in self.slice_index.by_owner:
            self.slice_index.admission_pending.add(server.number)

    def forget_server(self, number: interface.BackendId) -> bool:
        """Forgets a server; False while it is still withdrawn and proxies must let it in again."""
        if number in self.withdrawn_servers.withdrawn:
            return False
        self.withdrawn_servers.forget(number, self.fleet.last_index)
        self.slice_index.forget_server(number)
        return True

    def read_rates(self) -> None:
        """Reads the request rates of slices with new events or that are due, and updates their owners."""
        self.changed |= self.slice_index.read_rates(
            self.turn.now, self.times.reading_interval_us, self.negligible
        )
        for owner in self.slice_index.take_changed():
            self.slice_index.admission_pending.add(owner)
            if server := self.fleet.servers.get(owner):
                server.set_rate(self.slice_index.rate(owner))
                self.turn.updated_servers.add(owner)

    def next_evaluation(self, now: int, joined: int) -> int:
        """When the next evaluation is due without an event."""
        return min(super().next_evaluation(now, joined), self.slice_index.next_due(now))
