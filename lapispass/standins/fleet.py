"""A simulated fleet: proxies, servers, the store with its channels, and the registry.

It follows the platform's documentation and can inject faults. `World.run` advances one clock in steps of
50 ms. The controllers are the real ones. The checker sees what happens at proxies and servers and never asks
a controller for its view. One seed determines all random draws.

Not simulated: bytes, connections, processor time, caches, retries of clients. All requests cost the same.
A proxy has one stream to each controller. Time limits of rules 1 and 3 are suspended while a channel or a
stream is stopped or slow, or while a call has no answer.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from lapispass import interface
from lapispass.rules.checker import Bounds, Checker
from lapispass.standins.fleet_parties import (
    MS,
    READ,
    SECOND,
    WRITE,
    ControllerCore,
    ControllerHost,
    Message,
    Server,
    Size,
    Stream,
    deployment,
)
from lapispass.standins.fleet_proxies import REQUESTS_PER_S, STEP, Proxies

SLACK = 300 * MS  # tolerance that the protocol's page adds to the limits
LIST_DELAY_LIMIT = 6 * SECOND  # after this time a change of the list counts as delivered
LOAD = 0.6  # requests, as a share of the capacity of all servers

# Planted faults that a checker must find: wrong settings of the controllers, and orders that are lost.
WRONG_SETTINGS: dict[str, dict[str, float]] = {
    "write life forgotten": {"linger_us": 0},
    "cold servers called warm": {"cold_us": 1},
    "queue called endless": {"queue_limit_lines": 1e9, "lines_per_s": 1e9},
}
LOST_ORDERS: dict[str, Callable[[interface.Order], bool]] = {
    "withdrawals lost": lambda order: isinstance(order, interface.SetWithdrawn) and order.withdrawn,
    "returns lost": lambda order: isinstance(order, interface.SetWithdrawn) and not order.withdrawn,
    "owners lost": lambda order: isinstance(order, interface.SetTableEntry),
    "levels lost": lambda order: isinstance(order, interface.SetAdmission),
}


class World:
    """`start` makes a controller from deployment, seed and time; `planted` names a planted fault."""

    def __init__(
        self,
        seed: int,
        size: Size,
        start: Callable[[interface.Deployment, int, int], ControllerCore],
        planted: str = "",
        settings: interface.Deployment | None = None,
    ) -> None:
        self.chance, self.now, self.planted, self.make_controller = (
            random.Random(seed),
            100 * SECOND,
            planted,
            start,
        )
        self.fault_chance = random.Random(seed)  # for faults only, independent of other draws
        self.deployment = settings or deployment(size)
        zones, slices = self.deployment.zones, self.deployment.slices
        self.registry_entries = {
            f"s{n}": interface.RegistryEntry(f"s{n}", zones[n % 2], "ready", 1.0, None)
            for n in range(size.servers)
        }
        self.changes: list[tuple[int, interface.RegistryEntry]] = [
            (0, entry) for entry in self.registry_entries.values()
        ]
        self.owner: dict[int, str | None] = {n: f"s{n % size.servers}" for n in range(slices)}
        self.step = dict.fromkeys(self.owner, 0)  # number of changes of each slice's table in the store
        self.levels: dict[int, dict[int, float]] = {n: {} for n in self.owner}
        self.server_capacity = REQUESTS_PER_S * size.proxies * slices / size.servers / LOAD
        self.servers = {
            name: Server(str(entry.zone), self.server_capacity)
            for name, entry in self.registry_entries.items()
        }
        self.home = {n: n % size.controllers for n in self.owner}
        self.controller_of: dict[int, int | None] = dict.fromkeys(self.owner)
        self.granted_at = dict.fromkeys(self.owner, self.now)
        self.proxies = Proxies(self, size.proxies)
        self.streams = [[Stream() for _ in range(size.controllers)] for _ in range(size.proxies)]
        self.away = [0] * size.proxies  # until when a proxy can reach no controller
        self.hosts = [ControllerHost(n) for n in range(size.controllers)]
        self.scheduled: list[tuple[int, Callable[[], object]]] = []
        self.registry_free, self.registry_down = self.now, 0
        bounds = Bounds(
            self.deployment.unserved_limit_us + SLACK,
            1500 * MS + SLACK,
            int(self.deployment.queue_limit_lines),
        )
        self.judge = Checker(bounds, int)
        self.handovers = self.newcomers = 0
        for host in self.hosts:
            host.received = host.known = len(self.changes)
            self.start(host)
        self.run(3)

    # Events and faults

    def at(self, delay_us: float, act: Callable[[], object]) -> None:
        self.scheduled.append((self.now + int(delay_us), act))

    def random_us(self, least: float, most: float) -> int:
        return int(self.chance.uniform(least, most) * SECOND)

    def start(self, host: ControllerHost) -> None:
        wrongly = WRONG_SETTINGS.get(self.planted, {})
        settings = replace(self.deployment, **wrongly)  # type: ignore[arg-type]
        host.process = self.make_controller(settings, self.chance.randrange(1 << 32), self.now)
        known: dict[str, interface.RegistryEntry] = {}
        for _, entry in self.changes[: host.known]:
            known[str(entry.backend)] = entry
        entries = tuple(entry for entry in known.values() if entry.state != "gone")
        host.events, host.watch_at, host.received = (
            [interface.RegistryUpdate("remembered", entries)],
            None,
            host.known,
        )
        host.draining_since = {str(entry.backend): self.now for entry in entries if entry.state == "draining"}
        host.lines_sent, host.call_settles_at, host.held_back = host.lines_written, 0, []
        for number in range(len(self.streams)):
            self.at(self.random_us(0.05, 2.5), partial(self.join, number, host))
        for number in [n for n, home in self.home.items() if home == host.number]:
            self.at(self.random_us(0.1, 2.0), partial(self.grant_slice, number, host))

    def stop(self, host: ControllerHost, down_s: float) -> None:
        """Kills a controller. Others get its slices a few seconds later; it restarts after `down_s`."""
        if not host.process:
            return
        host.known = max(0, host.received - self.chance.randrange(6))  # the last stored state may be older
        host.process, host.watch_at = None, None
        for number in range(len(self.streams)):
            self.leave(number, host)
        takeover = self.random_us(0.9, 3.3)
        for number in [n for n, controller in self.controller_of.items() if controller == host.number]:
            self.controller_of[number] = None

            def take(number: int = number) -> None:
                if self.controller_of[number] is None:
                    self.grant_slice(
                        number, self.chance.choice([p for p in self.hosts if p.process] or [host])
                    )

            self.at(takeover, take)
        self.at(down_s * SECOND, lambda: self.start(host))

    def grant_slice(self, number: int, host: ControllerHost) -> None:
        if not host.process or self.controller_of[number] == host.number:
            return
        if (former := self.controller_of[number]) is not None:
            self.hosts[former].events.append(interface.SliceGrant(number, False))
        self.controller_of[number], self.granted_at[number], self.levels[number] = host.number, self.now, {}
        host.events.append(interface.SliceGrant(number, True))
        if (owner := self.owner[number]) is not None:
            host.events.append(interface.StoredOwner(number, owner))
        self.proxies.schedule_reads(number)

    def join(self, number: int, host: ControllerHost) -> None:
        stream = self.streams[number][host.number]
        if not host.process or stream.joined_at >= 0:
            return
        if self.away[number] > self.now:
            self.at(self.away[number] - self.now + self.random_us(0.1, 1), lambda: self.join(number, host))
            return
        stream.joined_at, stream.reads_at = self.now, self.now + self.random_us(0.05, 0.4)
        stream.waiting.clear()
        stream.in_transit.clear()
        zone = self.deployment.zones[number % 2]
        host.events.append(
            interface.ProxyJoined(number, not stream.has_joined_before, zone, 3.0, reads_store=True)
        )
        stream.has_joined_before = True

    def leave(self, number: int, host: ControllerHost) -> None:
        stream = self.streams[number][host.number]
        if stream.joined_at < 0:
            return
        stream.joined_at, stream.left_at = -1, self.now
        stream.waiting.clear()
        stream.in_transit.clear()
        self.judge.party_left(f"p{number}")
        if process := host.process:

            def noticed() -> None:
                if host.process is process and stream.joined_at < 0:
                    host.events.append(interface.ProxyLeft(number))

            self.at(self.random_us(0, 1), noticed)
            self.at(self.random_us(1.1, 3), lambda: self.join(number, host))

    def change(self, name: str, state: str) -> None:
        """Changes the state of a server in the list. A server that becomes ready has just started."""
        old = self.registry_entries.get(
            name, interface.RegistryEntry(name, self.deployment.zones[self.newcomers % 2], state, 1.0, None)
        )
        self.registry_entries[name] = old._replace(
            state=state, started_us=self.now if state == "ready" else old.started_us
        )
        self.changes.append((self.now, self.registry_entries[name]))

    def start_server(self, name: str) -> None:
        """Starts a server, cold. The list has it a little later."""
        entry = self.registry_entries.get(name)
        zone = str(entry.zone) if entry else self.deployment.zones[self.newcomers % 2]
        self.servers[name] = Server(zone, self.server_capacity, started_at=self.now)
        born = self.now

        def list_as_ready() -> None:
            if self.servers[name].started_at == born:
                self.change(name, "ready")
                self.registry_entries[name] = self.registry_entries[name]._replace(started_us=born)
                self.changes[-1] = (self.now, self.registry_entries[name])

        self.at(self.random_us(0.5, 2.0), list_as_ready)

    def replace(self, name: str, drain_s: float, back: bool) -> None:
        """Drains and stops a server, then starts a new one, or the same again if `back`."""
        self.change(name, "draining")
        self.newcomers += 1
        new = name if back else f"n{self.newcomers}"

        def stop_server() -> None:
            self.servers[name].up = False
            self.change(name, "gone")

        self.at(drain_s * SECOND, stop_server)
        self.at((drain_s + 1) * SECOND, lambda: self.start_server(new))

    def lose_zone(self, zone: str, seconds: float, reported_after_s: float | None) -> None:
        """Stops a zone for a time; its servers come back cold.

        The list reports the servers as gone after about `reported_after_s`, or not at all if that is None.
        """
        affected = [name for name, server in self.servers.items() if server.zone == zone and server.up]
        for name in affected:
            self.servers[name].up = False
            if reported_after_s is not None:
                self.at(
                    self.chance.uniform(reported_after_s, reported_after_s + 1) * SECOND,
                    partial(self.report_gone, name),
                )
            self.at(seconds * SECOND, partial(self.restart_server, name))
        self.cut(zone, seconds)

    def report_gone(self, name: str) -> None:
        if not self.servers[name].up:
            self.change(name, "gone")

    def restart_server(self, name: str) -> None:
        if not self.servers[name].up:
            self.start_server(name)

    def cut(self, zone: str, seconds: float) -> None:
        """Cuts the proxies of a zone off from all controllers for a time."""
        for number in range(self.deployment.zones.index(zone), len(self.streams), 2):
            self.away[number] = self.now + int(seconds * SECOND)
            for host in self.hosts:
                self.leave(number, host)

    def lose_watch(self, host: ControllerHost) -> None:
        if host.process and host.watch_at is not None:
            host.watch_at = None
            host.events.append(interface.RegistryUpdate("lost", ()))

    def registry_fails(self, seconds: float) -> None:
        self.registry_down = self.now + int(seconds * SECOND)
        for host in self.hosts:
            self.lose_watch(host)

    def channel(self, host: ControllerHost, pace: float, seconds: float) -> None:
        """Slows a controller's channel to a share of its speed for a time; 0 stops it."""
        host.pace = pace
        host.limits_paused_until = self.now + int((seconds + 3) * SECOND)
        self.at(seconds * SECOND, lambda: setattr(host, "pace", 1.0))

    def slow_streams(self, number: int, seconds: float) -> None:
        """Delays all messages to a proxy by `SLOW_STREAM_DELAY`; the proxy goes on with what it has."""
        for stream in self.streams[number]:
            stream.slow_until = self.now + int(seconds * SECOND)

    def stall(self, number: int, seconds: float) -> None:
        """Stalls a proxy: it sends, applies and acknowledges nothing, but keeps its streams."""
        self.proxies.stalled[number] = self.now + int(seconds * SECOND)

    def restart_proxy(self, number: int) -> None:
        """Restarts a proxy: it loses its state and reads the store when it joins again."""
        for host, stream in zip(self.hosts, self.streams[number], strict=True):
            self.leave(number, host)
            stream.has_joined_before = False
            stream.withdrawn.clear()
        self.proxies.reset_proxy(number)

    def lose_answers(self, host: ControllerHost, part: float, seconds: float) -> None:
        """Loses the answers of a share of a host's calls to the store for a time.

        Half of these calls are carried out at once, the others only when sent again.
        """
        host.lost_answer_share = part
        self.at(seconds * SECOND, lambda: setattr(host, "lost_answer_share", 0.0))

    # Simulated time

    def run(self, seconds: float) -> None:
        until = self.now + int(seconds * SECOND)
        while self.now < until:
            self.now += STEP
            due = sorted((x for x in self.scheduled if x[0] <= self.now), key=lambda x: x[0])
            self.scheduled = [x for x in self.scheduled if x[0] > self.now]
            for _, act in due:
                act()
            for host in self.hosts:
                if host.process:
                    self.watch(host)
                    self.turn(host)
            for host in self.hosts:
                host.lines_sent = min(
                    host.lines_written,
                    host.lines_sent + host.pace * self.deployment.lines_per_s * STEP / SECOND,
                )
            for number in range(len(self.streams)):
                self.proxies.step(number)
            if self.now % SECOND == 0:
                self.proxies.report()

    def watch(self, host: ControllerHost) -> None:
        """Delivers changes on an open watch. Without a watch, a change counts as delivered after 6 s.

        While the registry is down, nothing counts as delivered: the protocol allows four times
        `ask-within-us` (10 s and more) after a failed call, longer than any simulated outage.
        """
        if host.watch_at is not None and self.now >= host.watch_at and host.received < len(self.changes):
            entries = tuple(entry for _, entry in self.changes[host.received :])
            host.received = len(self.changes)
            if self.planted != "stale list":
                host.events.append(interface.RegistryUpdate("changes", entries))
            for entry in entries:
                self.note_entry(host, entry)
        for moment, entry in self.changes[host.received :]:
            if self.now > max(moment, self.registry_down) + LIST_DELAY_LIMIT:
                self.note_entry(host, entry)

    def note_entry(self, host: ControllerHost, entry: interface.RegistryEntry) -> None:
        name = str(entry.backend)
        if entry.state == "ready":
            host.draining_since.pop(name, None)
            host.start_seen_at.setdefault(f"{name} {entry.started_us}", self.now)
        else:
            host.draining_since.setdefault(name, self.now)

    def turn(self, host: ControllerHost) -> None:
        """Runs one turn of a controller, unless a call has no answer yet; then events wait."""
        if self.now < host.call_settles_at:
            return
        for message in host.held_back:
            self.carry_out(host, message)
        events, host.events, host.held_back = host.events, [], []
        assert host.process
        message = []
        for order in host.process.turn(self.now, events):
            match order:
                case interface.WatchRegistry():
                    self.request_watch(host)
                case interface.Probe(backend):
                    up = str(backend) in self.servers and self.servers[str(backend)].up
                    found = interface.ProbeResult(backend, 0 if up else 4, MS, None)
                    self.at(20 * MS, partial(host.events.append, found))
                case (
                    interface.SetTableEntry()
                    | interface.ClearTable()
                    | interface.SetAdmission()
                    | interface.SetWithdrawn()
                    | interface.Barrier()
                ):
                    message.append(order)
        if is_lost := LOST_ORDERS.get(self.planted):
            message = [order for order in message if not is_lost(order)]
        if message and self.chance.random() < host.lost_answer_share:
            host.call_settles_at = self.now + self.random_us(0.2, 0.5)
            host.limits_paused_until = max(host.limits_paused_until, host.call_settles_at + 2 * SECOND)
            if self.chance.random() < 0.5:  # the call was not carried out: it is sent again
                host.held_back.append(message)
                return
        self.carry_out(host, message)

    def request_watch(self, host: ControllerHost) -> None:
        """Opens a watch. The registry serves one call at a time and rejects calls with over 1 s to wait."""
        host.calls += 1
        begins = max(self.now, self.registry_free)
        if self.now < self.registry_down or begins > self.now + SECOND:
            wait = 100 * MS if self.now < self.registry_down else SECOND
            self.at(wait, lambda: host.events.append(interface.RegistryUpdate("lost", ())))
            return
        self.registry_free = begins + 300 * MS
        host.watch_at = self.registry_free

    def carry_out(self, host: ControllerHost, message: list[interface.Order]) -> None:
        """Applies orders to the store and puts messages for all joined proxies into the channel."""
        if not message:
            return
        for order in message:
            match order:
                case interface.SetTableEntry(slice_, backend, _) if self.controller_of[slice_] == host.number:
                    self.owner[slice_] = str(backend)
                    self.step[slice_] += 1
                    self.handovers += 1
                case interface.ClearTable(slice_) if self.controller_of[slice_] == host.number:
                    self.owner[slice_], self.levels[slice_] = None, {}
                    self.step[slice_] += 1
                case interface.SetAdmission(slice_, classes, _, share) if (
                    slice_ is not None and self.controller_of[slice_] == host.number
                ):
                    self.levels[slice_].update({kind: share for kind in (READ, WRITE) if classes >> kind & 1})
        steps = [(order, self.step.get(getattr(order, "table", None) or 0, 0)) for order in message]
        lines = len(message) + self.deployment.message_overhead_lines
        early = self.planted == "answers before applying" and host.process
        marks = [order.number for order in message if isinstance(order, interface.Barrier) and early]
        for number, streams in enumerate(self.streams):
            if (stream := streams[host.number]).joined_at >= 0:
                host.lines_written += lines
                stream.waiting.append(Message(host.lines_written, self.now, steps))
                host.events += [interface.BarrierAck(number, mark, 50 * MS) for mark in marks]
        self.judge.queued(self.now, f"channel of n{host.number}", int(host.lines_written - host.lines_sent))

    def seen(self) -> tuple[int, ...]:
        """Counts of what proxies, controllers and the registry have done; equal for equal runs."""
        proxies = self.proxies
        calls = sum(host.calls for host in self.hosts)
        return proxies.requests, proxies.served, proxies.applied, proxies.applied_us, self.handovers, calls

    def verdict(self) -> list[str]:
        """One line for each breach: time, rule, party and evidence."""
        return [
            f"{found.at_us / SECOND:.2f} s: rule {found.rule}: {found.subject}: {found.detail}"
            for found in self.judge.breaches
        ]
