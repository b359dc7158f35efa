"""One controller: decides which server owns which slice, and when that may change.

A front end creates one `Controller` for each instance and calls `turn(now_us, events)` for every batch of
events. The orders that it returns take effect together, as one message for each proxy. Events and orders are
defined in `lapispass/interface.py`. Nothing here reads a clock or does I/O. `docs/design.md` describes the
state that is kept.

A turn evaluates the servers and slices that have new events or are due. Each of them says when its next
evaluation is due, and a timer is set for the earliest of these times.
"""

from __future__ import annotations

from collections.abc import Sequence

from lapispass import interface
from lapispass.core.agenda import Agenda
from lapispass.core.fleet_index import FleetIndex
from lapispass.core.handover_state import HandoverState, Progress, handover_state, progress
from lapispass.core.messages import ServerStatus
from lapispass.core.random_source import RandomSource
from lapispass.core.turn import Turn
from lapispass.core.units import NEVER
from lapispass.policy.channel import Channel
from lapispass.policy.handovers import Handovers
from lapispass.policy.health import Backend
from lapispass.policy.registry_retry import RegistryRetry
from lapispass.policy.rules import URGENT_EVENTS, Rules
from lapispass.policy.weighted_tables import WeightedTables


class Controller:
    """One instance: passes events to its parts, evaluates what is due and returns the orders."""

    def __init__(self, deployment: interface.Deployment, seed: int, now: int) -> None:
        self.current, self.rules = Turn(now, RandomSource(seed), now), Rules(deployment)
        self.fleet: FleetIndex[Backend] = FleetIndex()
        self.backends = self.fleet.servers
        self.agenda: Agenda[interface.BackendId] = Agenda()
        self.channel = Channel(self.current, self.rules, deployment.proxies)
        kind = Handovers if deployment.slices else WeightedTables
        self.table: Handovers | WeightedTables = kind(self.current, self.rules, self.fleet, self.channel)
        self.registry = RegistryRetry(self.current, now if deployment.subscribes_to_registry else NEVER)
        self.timer_at, self.evaluated_at = -1, now - self.rules.evaluation_interval_us
        self.registry_in_sync = False  # whether the watch has had no gap since the last update

    def turn(self, now: int, events: Sequence[interface.Event]) -> list[interface.Order]:
        """Processes the events and returns the resulting orders. Times are in microseconds."""
        turn = self.current
        turn.now, turn.orders = now, []
        for event in events:
            self.dispatch(event)
        if self.registry.request_due():
            turn.orders.append(interface.WatchRegistry())
        prompt = any(isinstance(event, URGENT_EVENTS) for event in events)
        if prompt or now >= self.next_evaluation():
            self.evaluate()
        self.set_timer()
        return turn.orders

    def next_evaluation(self) -> int:
        """When the next evaluation is due, in microseconds."""
        # In a large fleet every turn brings reports and acknowledgements that are not urgent. An evaluation
        # for each of them would leave no time to process urgent events, so evaluations are spaced.
        now, table = self.current.now, self.table.next_evaluation(self.current.now, self.channel.joined)
        due = now if self.current.updated_servers else min(self.agenda.next(), table)
        return max(due, self.evaluated_at + self.rules.evaluation_interval_us) if due < NEVER else NEVER

    def evaluate(self) -> None:
        """Evaluates the servers and slices that have new events or are due."""
        turn = self.current
        self.evaluated_at = turn.now
        self.table.read_rates()
        due = {*turn.updated_servers, *self.agenda.due(turn.now)}
        turn.updated_servers.clear()
        for server in self.fleet.in_order(due):
            self.agenda.set(server.number, server.evaluate())
            if server.state == "removed" and self.table.forget_server(server.number):
                self.agenda.forget(server.number)
                self.fleet.forget(server.number)
                continue
            self.fleet.update(server)
            self.table.server_evaluated(server)
        self.table.evaluate(turn.now, self.rules.evaluation_interval_us, self.channel.send_budget)

    def set_timer(self) -> None:
        """Sets a timer, unless the one that is set fires in time."""
        now, at = self.current.now, min(self.next_evaluation(), self.registry.request_at)
        if at < NEVER and (self.timer_at <= now or at < self.timer_at):
            self.timer_at = max(at, now + 1)
            self.current.orders.append(interface.SetTimer(0, self.timer_at))

    def server_statuses(self) -> list[ServerStatus]:
        """The status of each server at its last evaluation, for front ends that hold connections there."""
        return [server.status() for server in self.backends.values()]

    def progress(self) -> Progress:
        """The progress of all handovers, for the log."""
        table = self.table
        if not isinstance(table, Handovers):
            return Progress()
        return progress(table.slice_index, self.channel.proxies, self.current.now, table.turns_without_room)

    def handover(self, number: int) -> HandoverState | None:
        """The state of a slice's handover, for the log; None where this controller does not hold it."""
        slices = self.table.slice_index.slices if isinstance(self.table, Handovers) else {}
        if (slice_ := slices.get(number)) is None:
            return None
        return handover_state(slice_, self.channel.proxies, self.current.now)

    def at_rest(self, number: int) -> bool:
        """Whether no handover of a slice is in progress; it is while an emptied slice has no owner."""
        slices = self.table.slice_index.slices if isinstance(self.table, Handovers) else {}
        slice_ = slices.get(number)
        return slice_ is None or not slice_.moving

    def dispatch(self, event: interface.Event) -> None:
        """Passes an event to the parts that it concerns."""
        match event:
            case interface.RegistryUpdate():
                self.apply_registry_update(event)
            case interface.ServerReport(number) if server := self.backends.get(number):
                self.current.report_received()
                server.apply_report(event)
                self.current.updated_servers.add(number)
            case interface.ProbeResult(number, reason) if server := self.backends.get(number):
                server.apply_probe_result(reason)
                self.current.updated_servers.add(number)
            case interface.HeldConnectionLoad(number, load) if server := self.backends.get(number):
                server.held_load = load
                self.current.updated_servers.add(number)
            case interface.RequestReport():
                self.table.requests_reported(event)
            case interface.SliceGrant(number, ours):
                self.table.slice_granted(number, ours)
            case interface.StoredOwner(number, backend, writes_blocked):
                if backend not in self.backends:  # taken as up until a probe fails
                    self.apply_registry_entry(interface.RegistryEntry(backend, "", "gone", None, None), False)
                    self.backends[backend].apply_probe_result(0)
                self.table.owner_stored(number, backend, writes_blocked)
            case interface.PreferredOwner(number, backend):
                self.table.owner_preferred(number, backend)
            case interface.ProxyJoined():
                self.table.proxy_joined(event, self.channel.join(event))
            case interface.ProxyLeft(proxy):
                self.channel.leave(proxy)
                self.table.proxy_left(proxy)
            case interface.BarrierAck():
                self.channel.acknowledge(event)

    def apply_registry_update(self, update: interface.RegistryUpdate) -> None:
        """Applies an update of the registry; a lost connection is requested again."""
        live = self.registry_in_sync and update.kind == "changes"
        if update.kind == "lost":
            self.registry.lost()
        elif update.kind != "remembered":
            self.registry.answered()
        self.registry_in_sync = update.kind not in ("lost", "remembered")
        for entry in update.entries:
            self.apply_registry_entry(entry, update.kind == "remembered", live)
        if update.kind in ("whole", "remembered"):  # a snapshot: servers that it leaves out are gone
            named = {entry.backend for entry in update.entries}
            missing = [server for number, server in self.backends.items() if number not in named]
            for server in missing:
                entry = interface.RegistryEntry(server.number, server.zone, "gone", server.weight, None)
                self.apply_registry_entry(entry, False)

    def apply_registry_entry(
        self, entry: interface.RegistryEntry, remembered: bool, live: bool = False
    ) -> None:
        """Applies one entry of the registry; an unchanged one costs nothing."""
        if (server := self.backends.get(entry.backend)) is None:
            server = Backend(self.current, entry.backend, self.fleet.next_index(), self.rules)
            self.backends[entry.backend] = server
            if remembered:
                server.delay_first_probe()
        elif entry == server.entry:
            return
        server.apply_registry_entry(entry, live)
        self.current.updated_servers.add(entry.backend)
