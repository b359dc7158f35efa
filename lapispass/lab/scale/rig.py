"""Starts all processes of a run, reads them from outside, and ends them."""

from __future__ import annotations

import asyncio
import time
from asyncio.subprocess import Process
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from pathlib import Path

from lapispass.lab.scale import messages as say
from lapispass.lab.scale import settings, system
from lapispass.lab.scale.processes import (
    CONTROLLER,
    Controller,
    RunFailed,
    StandInProcess,
    end,
    free_address,
)
from lapispass.lab.scale.samples import HOLLOW, Sample, mean_pace
from lapispass.lab.scale.size import CLASSES, Bounds, Size
from lapispass.standins.placeholder import Pace
from lapispass.standins.platform import Member
from lapispass.standins.servers import Probed

SERVERS_A_PROCESS = 3000
HOLLOW_A_PROCESS = 180
START_SPREAD_S = 0.5  # hollow controllers start within it, real ones take about as long to load
QUIET_SHARE = 0.25  # of the peak's requests, outside the peak
FOLLOW_S = 1.0  # between rates that hollow controllers are told
WATCH_S = 1.0  # between looks at the run's own bounds


@dataclass(frozen=True, slots=True)
class Wanted:
    """What hollow controllers would have sent by the real ones' rates, and what of it was played."""

    probes: float = 0.0
    calls: float = 0.0
    probes_played: float = 0.0
    calls_played: float = 0.0


class Rig:
    """The processes of one run."""

    def __init__(self, size: Size, bounds: Bounds, folder: Path, command: Sequence[str] = CONTROLLER) -> None:
        self.size, self.bounds, self.folder, self.command = size, bounds, folder, command
        self.stand_ins: list[StandInProcess] = []
        self.servers: list[StandInProcess] = []
        self.herds: list[StandInProcess] = []
        self.following: asyncio.Task[None] | None = None
        self.wanted = Wanted()
        self.controllers: list[Controller] = []
        self.members: dict[str, Member] = {}
        self.memory_most_mb = 0.0
        self.registry_at: dict[str, str] = {}
        self.relay_at: dict[str, str] = {}

    async def open(self) -> None:
        """Starts the stand-ins; no controller yet."""
        kinds = -(-self.size.servers // SERVERS_A_PROCESS)
        self.servers = [await self.stand_in(f"servers-{number}", "servers") for number in range(kinds)]
        self.registry = await self.stand_in("registry", "registry")
        self.relay = await self.stand_in("relay", "relay")
        await self.open_servers()
        clients = [*self.size.real_names, HOLLOW]
        told = say.OpenRegistry(clients, list(self.members.values()))
        self.registry_at = (await self.registry.ask(told, say.Addresses)).by_name
        self.relay_at = (await self.relay.ask(self.relay_command(clients), say.Addresses)).by_name

        await self.open_hollow()

    async def open_hollow(self) -> None:
        """Starts the processes of hollow controllers, evenly filled."""
        size = self.size
        processes = -(-size.hollow // HOLLOW_A_PROCESS)
        addresses = [member.host_port for member in self.members.values()]
        for number in range(processes):
            herd = await self.stand_in(f"hollow-{number}", "hollow")
            self.herds.append(herd)
            count = size.hollow * (number + 1) // processes - size.hollow * number // processes
            told = say.OpenHollow(
                count, self.registry_at[HOLLOW], self.relay_at[HOLLOW], addresses, size.seed + number
            )
            await herd.ask(told, say.Done)

    async def begin_hollow(self) -> None:
        """Hollow controllers start."""
        for herd in self.herds:
            await herd.ask(say.Begin(START_SPREAD_S), say.Done)

    def follow(self) -> None:
        """Hollow controllers, which all stand, do as the real ones from now on."""
        if self.herds:
            self.following = asyncio.create_task(self.follow_real())

    async def follow_real(self) -> None:
        """Each second, hollow controllers are told to do what the real ones did in the second before."""
        before = await self.sample()
        while True:
            await asyncio.sleep(FOLLOW_S)
            after = await self.sample()
            pace = self.bounded(mean_pace(before, after), after.at_s - before.at_s)
            for herd in self.herds:
                await herd.ask(say.Keep(pace), say.Done)
            before = after

    def bounded(self, pace: Pace, seconds: float) -> Pace:
        """A pace that the stand-ins can carry; what is left out is counted."""
        count, bounds = self.size.hollow, self.bounds
        probes = min(pace.probes, bounds.probes_per_s / count)
        calls = min(pace.calls, bounds.calls_per_s / count)
        self.wanted = Wanted(
            self.wanted.probes + pace.probes * count * seconds,
            self.wanted.calls + pace.calls * count * seconds,
            self.wanted.probes_played + probes * count * seconds,
            self.wanted.calls_played + calls * count * seconds,
        )
        return replace(pace, probes=probes, calls=calls)

    async def moments(self, command: say.AskHeard | say.AskStanding) -> say.Moments:
        """Of all hollow controllers together."""
        found = [await herd.ask(command, say.Moments) for herd in self.herds]
        return say.Moments(
            sum(each.count for each in found), max((each.last_us for each in found), default=0)
        )

    async def stand_in(self, name: str, kind: str) -> StandInProcess:
        started = await StandInProcess.start(name, kind, self.folder)
        self.stand_ins.append(started)
        return started

    async def open_servers(self) -> None:
        """Every server listens; the list names their addresses."""
        size, names = self.size, self.size.server_names
        for place, process in enumerate(self.servers):
            first = place * SERVERS_A_PROCESS
            some = names[first : first + SERVERS_A_PROCESS]
            found = await process.ask(say.OpenServers(first, list(some)), say.Addresses)
            for number, name in enumerate(some, first):
                flavor, cell = size.service_of(number), number // size.zones
                self.members[name] = Member(
                    name, found.by_name[name], size.zone_of(number), flavor=flavor, cell=cell
                )

    def relay_command(self, clients: list[str]) -> say.OpenRelay:
        size = self.size
        charges = {name: list(size.charge(number)) for number, name in enumerate(size.real_names)}
        rest = size.real * size.held  # no real controller holds these
        charges[HOLLOW] = list(range(rest, min(size.slices, rest + size.held)))
        return say.OpenRelay(
            clients,
            [HOLLOW],
            size.slices,
            size.proxies,
            list(size.zone_names),
            charges,
            list(CLASSES),
            size.requests * QUIET_SHARE,
            size.seed,
        )

    async def start_controllers(self) -> None:
        """Starts all real controllers at once, and has the collectors report to each once it is ready."""
        for number, name in enumerate(self.size.real_names):
            config = self.folder / f"{name}.json"
            config.write_text(settings.configuration(self.size, self.size.seed + number, self.relay_at[name]))
            await self.registry.ask(say.Guard(str(config)), say.Done)
            started = await Controller.start(
                name, free_address(number), self.registry_at[name], config, self.folder, self.command
            )
            self.controllers.append(started)

    async def ready(self, within_s: float) -> dict[str, float]:
        """Seconds until each real controller answered, by name."""
        times = await asyncio.gather(*(each.ready(within_s) for each in self.controllers))
        for controller in self.controllers:
            await self.relay.ask(say.Report(controller.name, controller.address), say.Done)
        return {each.name: took_s for each, took_s in zip(self.controllers, times, strict=True)}

    async def sample(self) -> Sample:
        """What system and stand-ins tell at this moment."""
        registry = await self.registry.ask(say.Count(), say.RegistryCounts)
        relay = await self.relay.ask(say.Count(), say.RelayCounts)
        real, hollow, probed = Probed(), Probed(), 0
        for process in self.servers:
            counts = await process.ask(say.Count(), say.ServerCounts)
            for whole, part in ((real, counts.real), (hollow, counts.hollow)):
                whole.add(part)
            probed += counts.probed
        usages = {each.name: each.usage() for each in self.controllers}
        return Sample(
            time.monotonic(),
            usages,
            registry.traffic,
            relay.traffic,
            relay.orders,
            relay.reports,
            real,
            hollow,
            probed,
        )

    async def change(self, members: list[Member]) -> say.Told:
        """The registry tells a change of these members."""
        return await self.registry.ask(say.Change(members), say.Told)

    async def lose_zone(self, zone: str, names: list[str], lost: bool) -> None:
        """A zone is cut off with its servers, proxies and collector, or is back."""
        for process in (*self.servers, self.relay):
            await process.ask(say.LoseZone(zone, names, lost), say.Done)

    async def watch_left(self, servers: dict[str, str]) -> None:
        """From now on it is noted when each controller has taken all its slices from this server."""
        await self.relay.ask(say.WatchLeft(servers), say.Done)

    async def left(self) -> say.Left:
        """When each controller first had."""
        return await self.relay.ask(say.AskLeft(), say.Left)

    async def owners(self) -> dict[int, str]:
        """The owners of slices, as the store holds them."""
        return (await self.relay.ask(say.Count(), say.RelayCounts)).owners

    def check_bounds(self) -> None:
        """Raises `RunFailed` where the run takes more of the machine than it may, or cannot go on."""
        if self.following is not None and self.following.done():
            self.following.result()
        pids = [process.pid for process in self.processes()]
        if len(pids) > self.bounds.processes:
            raise RunFailed(f"processes of the run: {len(pids)}, limit {self.bounds.processes}")
        taken_mb = 0.0
        for pid in pids:
            try:
                taken_mb += system.usage(pid).memory_mb
                open_ones = system.descriptors(pid)
            except (ProcessLookupError, FileNotFoundError):
                continue  # told by whoever asks for it
            if open_ones > self.bounds.descriptors:
                raise RunFailed(f"descriptors of one process: {open_ones}, limit {self.bounds.descriptors}")
        self.memory_most_mb = max(self.memory_most_mb, taken_mb)
        limit_mb = self.bounds.memory_share * system.machine_memory_mb()
        if taken_mb > limit_mb:
            raise RunFailed(f"memory of the run: {taken_mb:.0f} MB, limit {limit_mb:.0f} MB")

    async def wait(self, seconds: float, what: str, progress: Callable[[str], None]) -> None:
        """Lets time pass, and looks after the run's own bounds meanwhile."""
        until = time.monotonic() + seconds
        while (left_s := until - time.monotonic()) > 0:
            self.check_bounds()
            progress(f"{what}: {left_s:.0f} s left")
            await asyncio.sleep(min(WATCH_S, left_s))

    async def close(self) -> None:
        """Ends all processes, each by its id."""
        if self.following is not None:
            self.following.cancel()
            await asyncio.gather(self.following, return_exceptions=True)
        await asyncio.gather(*(end(process) for process in self.processes()))

    def processes(self) -> list[Process]:
        """All that run, but for this one."""
        return [each.process for each in self.controllers] + [each.process for each in self.stand_ins]
