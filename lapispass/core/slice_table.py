"""News about slices and what concerns them, noted for the part that decides on their handovers."""

from __future__ import annotations

from typing import Generic, NamedTuple

from lapispass import interface
from lapispass.core.fleet_index import AnyServer, FleetIndex
from lapispass.core.messages import MissedOrders
from lapispass.core.server_state import ServerState
from lapispass.core.shut_out import ShutOut
from lapispass.core.slices import SliceIndex
from lapispass.core.table import Table
from lapispass.core.turn import Turn


class Times(NamedTuple):
    """Spans in microseconds."""

    lease_us: int  # in which nothing starts for a slice just given
    assumed_unserved_us: int  # for which a slice given with an empty table may have had none
    reading_interval_us: int  # between two readings of a slice's rates
    demand_half_life_us: int  # half-life of what comes for a slice


class SliceTable(Table, Generic[AnyServer]):
    """Keeps the slices and tells servers what their slices bring. Times in microseconds."""

    def __init__(self, turn: Turn, fleet: FleetIndex[AnyServer], times: Times, negligible: float) -> None:
        super().__init__()
        self.turn, self.fleet, self.negligible, self.times = turn, fleet, negligible, times
        self.slice_index, self.shut_out = SliceIndex(), ShutOut()

    def slice_granted(self, number: int, ours: bool) -> None:
        """The store's table is kept, and nothing starts here for one lease."""
        now = self.turn.now
        self.changed = True
        self.slice_index.remove(number)
        if ours:
            self.slice_index.add(number, now + self.times.lease_us, now - self.times.assumed_unserved_us, now)

    def owner_stored(self, number: int, backend: interface.BackendId) -> None:
        """The owner that the store has for a slice just given."""
        self.slice_index.set_stored_owner(number, backend)

    def requests_reported(self, report: interface.RequestReport) -> None:
        """Visits that came for a slice."""
        if report.interval_us:
            self.slice_index.add_report(report, self.times.demand_half_life_us, self.turn.now)

    def proxy_joined(self, event: interface.ProxyJoined, missed: MissedOrders) -> None:
        """A proxy's stream stands."""
        super().proxy_joined(event, missed)
        self.shut_out.missed(missed)

    def server_evaluated(self, server: ServerState) -> None:
        """A server was looked at: its shares may have to change."""
        super().server_evaluated(server)
        if server.number in self.slice_index.by_owner:
            self.slice_index.admission_pending.add(server.number)

    def forget_server(self, number: interface.BackendId) -> bool:
        """A server is gone for good; False while proxies have still to let it in again."""
        if number in self.shut_out.out:
            return False
        self.shut_out.forget(number, self.fleet.last_index)
        self.slice_index.forget_server(number)
        return True

    def read_rates(self) -> None:
        """Reads the visits a second of slices with news or whose time has come, and tells their owners."""
        self.changed |= self.slice_index.read_rates(
            self.turn.now, self.times.reading_interval_us, self.negligible
        )
        for owner in self.slice_index.take_changed():
            self.slice_index.admission_pending.add(owner)
            if server := self.fleet.servers.get(owner):
                server.set_rate(self.slice_index.rate(owner))
                self.turn.updated_servers.add(owner)

    def next_evaluation(self, now: int, joined: int) -> int:
        """When it has to be looked at without news."""
        return min(super().next_evaluation(now, joined), self.slice_index.next_due(now))
