"""News about slices and what concerns them, noted for the part that decides on their handovers."""

from __future__ import annotations

from typing import Generic, NamedTuple

from lapispass import interface
from lapispass.core.fleet_index import AnyServer, FleetIndex
from lapispass.core.messages import MissedOrders
from lapispass.core.server_state import ServerState
from lapispass.core.slices import Holdings
from lapispass.core.table import Table
from lapispass.core.turn import Turn
from lapispass.core.withdrawn import WithdrawnServers


class Times(NamedTuple):
    """Spans in microseconds."""

    lease_us: int  # in which nothing starts for a slice just given
    unserved_us: int  # for which a slice given with an empty table may have had none
    read_us: int  # between two readings of a slice's rates
    demand_us: int  # half-life of what comes for a slice


class SliceTable(Table, Generic[AnyServer]):
    """Keeps the slices and tells servers what their slices bring. Times in microseconds."""

    def __init__(self, turn: Turn, fleet: FleetIndex[AnyServer], times: Times, negligible: float) -> None:
        super().__init__()
        self.turn, self.fleet, self.negligible, self.times = turn, fleet, negligible, times
        self.holdings, self.shut_out = Holdings(), WithdrawnServers()

    def given(self, number: int, ours: bool) -> None:
        """The store's table is kept, and nothing starts here for one lease."""
        now = self.turn.now
        self.changed = True
        self.holdings.remove(number)
        if ours:
            self.holdings.add(number, now + self.times.lease_us, now - self.times.unserved_us, now)

    def held(self, number: int, backend: interface.BackendId) -> None:
        """The owner that the store has for a slice just given."""
        self.holdings.hold(number, backend)

    def came(self, report: interface.RequestReport) -> None:
        """Visits that came for a slice."""
        if report.interval_us:
            self.holdings.report(report, self.times.demand_us, self.turn.now)

    def joined(self, event: interface.ProxyJoined, missed: MissedOrders) -> None:
        """A proxy's stream stands."""
        super().joined(event, missed)
        self.shut_out.proxy_joined(missed)

    def evaluated(self, server: ServerState) -> None:
        """A server was looked at: its shares may have to change."""
        super().evaluated(server)
        if server.number in self.holdings.owned:
            self.holdings.unsettled.add(server.number)

    def forget(self, number: interface.BackendId) -> bool:
        """A server is gone for good; False while proxies have still to let it in again."""
        if number in self.shut_out.withdrawn:
            return False
        self.shut_out.forget(number, self.fleet.last_place)
        self.holdings.forget_server(number)
        return True

    def read_rates(self) -> None:
        """Reads the visits a second of slices with news or whose time has come, and tells their owners."""
        self.changed |= self.holdings.read_rates(self.turn.now, self.times.read_us, self.negligible)
        for owner in self.holdings.take_changed():
            self.holdings.unsettled.add(owner)
            if server := self.fleet.servers.get(owner):
                server.carry(self.holdings.rate(owner))
                self.turn.updated_servers.add(owner)

    def next_evaluation(self, now: int, joined: int) -> int:
        """When it has to be looked at without news."""
        return min(super().next_evaluation(now, joined), self.holdings.next_due(now))
