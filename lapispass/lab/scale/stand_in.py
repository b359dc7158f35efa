"""A process of stand-ins: `python -m lapispass.lab.scale.stand_in KIND`, led over its standard streams.

It ends when its standard input does, and ends the controllers that it guards, so that none outlives the run.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Protocol

from lapispass.lab.scale import messages as say
from lapispass.standins.collectors import Collectors, Load
from lapispass.standins.nodes import clock_us
from lapispass.standins.placeholder import Endpoints, PlaceholderGroup
from lapispass.standins.platform import Registry, Relay
from lapispass.standins.servers import Servers

LINE_BYTES = 64 << 20  # the longest command: a whole list with its addresses
ORPHAN_LOOKS, ORPHAN_PAUSE_S = 2, 0.5  # one may just be starting when the run goes
SIGN_OF_WATCH_S, SIGN_OF_NEWS_S = 2.0, 1.0


class StandIn(Protocol):
    """Carries out commands."""

    async def carry_out(self, command: say.Command) -> say.Answer: ...


class RegistryStandIn:
    """The registry."""

    def __init__(self) -> None:
        self.registry = Registry(SIGN_OF_WATCH_S)

    async def carry_out(self, command: say.Command) -> say.Answer:
        registry = self.registry
        match command:
            case say.OpenRegistry(clients, members):
                registry.members = {member.id: member for member in members}
                return say.Addresses({client: await registry.listen(client) for client in clients})
            case say.Change(members):
                at_us = clock_us()  # before it is written: the first to hear may act before the last is told
                registry.change(*members)
                return say.Told(registry.revision, at_us)
            case say.Count():
                return say.RegistryCounts(registry.traffic, len(registry.watches))
        return say.Failed(f"the registry knows no {type(command).__name__}")


class CountedRelay(Relay):
    """A relay that counts orders in place of keeping them, and notes when a server left its last slice."""

    def __init__(self, slices: int, proxies: int, zones: tuple[str, ...]) -> None:
        super().__init__(slices, proxies, zones=zones, heartbeat_s=SIGN_OF_NEWS_S)
        self.counts: defaultdict[str, Counter[str]] = defaultdict(Counter)
        self.owned: Counter[tuple[str, str]] = Counter()  # slices, by client and owner
        self.watched: dict[str, str] = {}  # a server by client, and when its last slice first left it
        self.left_us: dict[str, int] = {}
        self.owned_us: dict[str, int] = {}  # and when all of the client's slices first had owners then

    def carry_out(self, order: list[str], client: str = "") -> None:
        number = int(order[1]) if order[0] in ("SET", "DEL") else None
        before = self.owners.get(number) if number is not None else None
        super().carry_out(order, client)
        self.orders.clear()
        self.published.clear()
        self.counts[client][order[0]] += 1
        after = self.owners.get(number) if number is not None else None
        if before != after:
            self.move(client, before, after)

    def move(self, client: str, before: str | None, after: str | None) -> None:
        """A client's slice went from one owner to another, or to none."""
        if after is not None:
            self.owned[client, after] += 1
        if before is not None:
            self.owned[client, before] -= 1
            if not self.owned[client, before] and self.watched.get(client) == before:
                self.left_us.setdefault(client, clock_us())
        if client in self.left_us and all(number in self.owners for number in self.granted[client]):
            self.owned_us.setdefault(client, clock_us())


class RelayStandIn:
    """The relay, its proxies and the collectors."""

    def __init__(self) -> None:
        self.relay = CountedRelay(0, 0, ())
        self.collectors = Collectors(self.relay, Load(0.0, ()), 0)

    async def carry_out(self, command: say.Command) -> say.Answer:
        relay, collectors = self.relay, self.collectors
        match command:
            case say.OpenRelay():
                return await self.open(command)
            case say.Report(client, address):
                collectors.report_to(client, address)
            case say.Requests(per_s):
                collectors.load = replace(collectors.load, requests=per_s)
            case say.LoseZone(zone, servers, lost):
                self.lose(zone, servers, lost)
            case say.WatchLeft(servers):
                relay.watched, relay.left_us, relay.owned_us = servers, {}, {}
            case say.AskLeft():
                return say.Left(relay.left_us, relay.owned_us)
            case say.Count():
                orders = {client: dict(counts) for client, counts in relay.counts.items()}
                return say.RelayCounts(relay.traffic, orders, collectors.traffic, relay.owners)
            case _:
                return say.Failed(f"the relay knows no {type(command).__name__}")
        return say.Done()

    async def open(self, told: say.OpenRelay) -> say.Answer:
        self.relay = relay = CountedRelay(told.slices, told.proxies, tuple(told.zones))
        relay.granted.update(told.charges)
        relay.shared.update(told.shared)
        self.collectors = Collectors(relay, Load(told.requests, tuple(told.classes)), told.seed)
        return say.Addresses({client: await relay.listen(client) for client in told.clients})

    def lose(self, zone: str, servers: list[str], lost: bool) -> None:
        relay = self.relay
        if lost:
            relay.disconnect_zone(zone)
            self.collectors.lost_servers.update(servers)
        else:
            relay.rejoin_cold(zone)
            self.collectors.lost_servers.difference_update(servers)


class ServersStandIn:
    """Servers."""

    def __init__(self) -> None:
        self.servers = Servers()

    async def carry_out(self, command: say.Command) -> say.Answer:
        servers = self.servers
        match command:
            case say.OpenServers(first, names):
                return say.Addresses(await servers.listen_all(first, names))
            case say.LoseZone(_, names, lost):
                servers.silent = servers.silent | set(names) if lost else servers.silent - set(names)
                return say.Done()
            case say.Count():
                return say.ServerCounts(len(servers.probed), servers.real, servers.placeholder)
        return say.Failed(f"servers know no {type(command).__name__}")


class HollowStandIn:
    """Hollow controllers."""

    def __init__(self) -> None:
        self.herd = PlaceholderGroup(0, Endpoints("", "", ()), 0)

    async def carry_out(self, command: say.Command) -> say.Answer:
        match command:
            case say.OpenHollow(count, registry, relay, servers, seed):
                self.herd = PlaceholderGroup(count, Endpoints(registry, relay, tuple(servers)), seed)
            case say.Begin(spread_s):
                self.herd.begin(spread_s)
            case say.Keep(pace):
                self.herd.pace = pace
            case say.AskHeard(revision):
                return moments(self.herd.update_times(revision))
            case say.AskStanding():
                return moments(self.herd.connected_times())
            case _:
                return say.Failed(f"hollow controllers know no {type(command).__name__}")
        return say.Done()


def moments(at_us: list[int]) -> say.Moments:
    return say.Moments(len(at_us), max(at_us, default=0))


KINDS: dict[str, Callable[[], StandIn]] = {
    "registry": RegistryStandIn,
    "relay": RelayStandIn,
    "servers": ServersStandIn,
    "hollow": HollowStandIn,
}


async def lead(stand_in: StandIn) -> None:
    """Carries out commands until there are no more."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    guarded: list[say.Guard] = []
    while line := await reader.readline():
        command = say.commands.decode(line)
        try:
            if isinstance(command, say.Guard):
                guarded.append(command)
                answer: say.Answer = say.Done()
            else:
                answer = await stand_in.carry_out(command)
        except OSError as error:
            answer = say.Failed(f"{type(error).__name__} {error}")
        sys.stdout.buffer.write(say.encode(answer) + b"\n")
        sys.stdout.buffer.flush()
    for _ in range(ORPHAN_LOOKS if guarded else 0):
        end_orphans(guarded)
        await asyncio.sleep(ORPHAN_PAUSE_S)


def end_orphans(guarded: list[say.Guard]) -> None:
    """Ends controllers whose run is gone; no other process has their configuration file."""
    wanted = {f"LB_CONFIG={controller.config}".encode() for controller in guarded}
    for process in Path("/proc").iterdir():
        try:
            if process.name.isdigit() and wanted & set((process / "environ").read_bytes().split(b"\0")):
                os.kill(int(process.name), signal.SIGTERM)
        except OSError:
            continue  # it has ended, or is another user's


def main() -> None:
    asyncio.run(lead(KINDS[sys.argv[1]]()))


if __name__ == "__main__":
    main()
