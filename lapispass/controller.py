"""One controller: which server owns which slice, and when that may change.

A front makes one `Controller` for each instance and calls `turn(now_us, events)` for every batch of news; the
orders it returns take effect together, as one message for each proxy. The events and orders stand in
`lapispass/interface.py`. Nothing here reads a clock or does I/O. `docs/design.md` tells what is kept.

A turn looks at the servers and slices that have news or whose time has come. Each says when it must be looked
at next; a wake-up is asked for at the earliest of these times.
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
from lapispass.policy.handovers import Ledger
from lapispass.policy.health import Backend
from lapispass.policy.registry_retry import RegistryRetry
from lapispass.policy.rules import PROMPT, Rules
from lapispass.policy.spread import Spread


class Controller:
    """One instance: tells its parts the events, looks at what is due, hands back the orders."""

    def __init__(self, told: interface.Deployment, seed: int, now: int) -> None:
        self.current, self.rules = Turn(now, RandomSource(seed), now), Rules(told)
        self.fleet: FleetIndex[Backend] = FleetIndex()
        self.backends = self.fleet.servers
        self.agenda: Agenda[interface.BackendId] = Agenda()
        self.channel = Channel(self.current, self.rules, told.proxies)
        kind = Ledger if told.slices else Spread
        self.table: Ledger | Spread = kind(self.current, self.rules, self.fleet, self.channel)
        self.registry = RegistryRetry(self.current, now if told.subscribes_to_registry else NEVER)
        self.woken_at, self.looked_at = -1, now - self.rules.look_us
        self.follows_list = False  # without a gap since it last told something

    def turn(self, now: int, events: Sequence[interface.Event]) -> list[interface.Order]:
        """Takes in the events; the orders that follow. Times in microseconds."""
        turn = self.current
        turn.now, turn.orders = now, []
        for event in events:
            self.route(event)
        if self.registry.asks():
            turn.orders.append(interface.WatchRegistry())
        prompt = any(isinstance(event, PROMPT) for event in events)
        if prompt or now >= self.look_at():
            self.look()
        self.ask_to_be_woken()
        return turn.orders

    def look_at(self) -> int:
        """When something must be looked at, in microseconds."""
        # Guards the process of a large fleet: late reports and answers come in every turn, and a look for
        # each would leave no time to read what is urgent.
        now, table = self.current.now, self.table.next_look(self.current.now, self.channel.joined)
        due = now if self.current.updated_servers else min(self.agenda.next(), table)
        return max(due, self.looked_at + self.rules.look_us) if due < NEVER else NEVER

    def look(self) -> None:
        """Looks at the servers and slices that have news or whose time has come."""
        turn = self.current
        self.looked_at = turn.now
        self.table.read_rates()
        due = {*turn.updated_servers, *self.agenda.due(turn.now)}
        turn.updated_servers.clear()
        for server in self.fleet.in_order(due):
            self.agenda.set(server.number, server.visit())
            if server.state == "past" and self.table.forget(server.number):
                self.agenda.forget(server.number)
                self.fleet.forget(server.number)
                continue
            self.fleet.update(server)
            self.table.visited(server)
        self.table.look(turn.now, self.rules.look_us, self.channel.offer)

    def ask_to_be_woken(self) -> None:
        """Asks for a wake-up where none that was asked for comes in time."""
        now, at = self.current.now, min(self.look_at(), self.registry.ask_at)
        if at < NEVER and (self.woken_at <= now or at < self.woken_at):
            self.woken_at = max(at, now + 1)
            self.current.orders.append(interface.SetTimer(0, self.woken_at))

    def standings(self) -> list[ServerStatus]:
        """How each server stood when it was last looked at, for fronts that hold connections there."""
        return [server.standing() for server in self.backends.values()]

    def progress(self) -> Progress:
        """How far all handovers are, for the log."""
        table = self.table
        if not isinstance(table, Ledger):
            return Progress()
        return progress(table.holdings, self.channel.proxies, self.current.now, table.turns_without_room)

    def handover(self, number: int) -> HandoverState | None:
        """How far the handover of a slice is, for the log; None for a slice that is not ours."""
        slices = self.table.holdings.slices if isinstance(self.table, Ledger) else {}
        if (slice_ := slices.get(number)) is None:
            return None
        return handover_state(slice_, self.channel.proxies, self.current.now)

    def at_rest(self, number: int) -> bool:
        """Whether no handover of a slice is under way; one that was emptied and has no owner is under way."""
        slices = self.table.holdings.slices if isinstance(self.table, Ledger) else {}
        slice_ = slices.get(number)
        return slice_ is None or not slice_.moving

    def route(self, event: interface.Event) -> None:
        """Tells the parts that an event concerns."""
        match event:
            case interface.RegistryUpdate():
                self.take_list(event)
            case interface.ServerReport(number) if server := self.backends.get(number):
                self.current.report_received()
                server.met(event)
                self.current.updated_servers.add(number)
            case interface.ProbeResult(number, reason) if server := self.backends.get(number):
                server.probed(reason)
                self.current.updated_servers.add(number)
            case interface.HeldConnectionLoad(number, load) if server := self.backends.get(number):
                server.held = load
                self.current.updated_servers.add(number)
            case interface.RequestReport():
                self.table.came(event)
            case interface.SliceGrant(number, ours):
                self.table.given(number, ours)
            case interface.StoredOwner(number, backend):
                if backend not in self.backends:  # up until a probe fails
                    self.list_entry(interface.RegistryEntry(backend, "", "gone", None, None), False)
                    self.backends[backend].probed(0)
                self.table.held(number, backend)
            case interface.ProxyJoined():
                self.table.joined(event, self.channel.join(event))
            case interface.ProxyLeft(proxy):
                self.channel.leave(proxy)
                self.table.left(proxy)
            case interface.BarrierAck():
                self.channel.answer(event)

    def take_list(self, news: interface.RegistryUpdate) -> None:
        """What the registry tells; where it was lost, it is asked again."""
        live = self.follows_list and news.kind == "changes"
        if news.kind == "lost":
            self.registry.lost()
        elif news.kind != "remembered":
            self.registry.answered()
        self.follows_list = news.kind not in ("lost", "remembered")
        for entry in news.entries:
            self.list_entry(entry, news.kind == "remembered", live)
        if news.kind in ("whole", "remembered"):  # what is left out is gone
            named = {entry.backend for entry in news.entries}
            missing = [server for number, server in self.backends.items() if number not in named]
            for server in missing:
                entry = interface.RegistryEntry(server.number, server.zone, "gone", server.weight, None)
                self.list_entry(entry, False)

    def list_entry(self, entry: interface.RegistryEntry, remembered: bool, live: bool = False) -> None:
        """One server of the list; one told as before costs nothing."""
        if (server := self.backends.get(entry.backend)) is None:
            server = Backend(self.current, entry.backend, self.fleet.next_place(), self.rules)
            self.backends[entry.backend] = server
            if remembered:
                server.spread_first_probe()
        elif entry == server.entry:
            return
        server.list_entry(entry, live)
        self.current.updated_servers.add(entry.backend)
