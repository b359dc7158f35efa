"""Starts all processes of a run, reads them from outside, and ends them."""

from __future__ import annotations

import asyncio
import time
from asyncio.subprocess import Process
from collections.abc import Callable, Sequence
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
from lapispass.lab.scale.samples import HOLLOW, Sample
from lapispass.lab.scale.size import CLASSES, Bounds, Size
from lapispass.standins.platform import Member
from lapispass.standins.servers import Probed

SERVERS_A_PROCESS = 3000
WATCH_S = 1.0  # between looks at the run's own bounds


class Rig:
    """The processes of one run."""

    def __init__(self, size: Size, bounds: Bounds, folder: Path, command: Sequence[str] = CONTROLLER) -> None:
        self.size, self.bounds, self.folder, self.command = size, bounds, folder, command
        self.stand_ins: list[StandInProcess] = []
        self.servers: list[StandInProcess] = []
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
            size.slices,
            size.proxies,
            list(size.zone_names),
            charges,
            list(CLASSES),
            size.requests,
            size.seed,
        )

    async def start_controllers(self) -> None:
        """Starts all real controllers at once, and has the collectors report to each once it is ready."""
        for number, name in enumerate(self.size.real_names):
            config = self.folder / f"{name}.json"
            config.write_text(settings.configuration(self.size, self.size.seed + number, self.relay_at[name]))
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
        real, hollow = Probed(), Probed()
        for process in self.servers:
            counts = await process.ask(say.Count(), say.ServerCounts)
            for whole, part in ((real, counts.real), (hollow, counts.hollow)):
                whole.add(part)
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
        )

    async def owners(self) -> dict[int, str]:
        """The owners of slices, as the store holds them."""
        return (await self.relay.ask(say.Count(), say.RelayCounts)).owners

    def check_bounds(self) -> None:
        """Raises `RunFailed` where the run takes more of the machine than it may."""
        pids = [process.pid for process in self.processes()]
        if len(pids) > self.bounds.processes:
            raise RunFailed(f"processes of the run: {len(pids)}, limit {self.bounds.processes}")
        taken_mb = 0.0
        for pid in pids:
            try:
                taken_mb += system.usage(pid).memory_mb
            except (ProcessLookupError, FileNotFoundError):
                continue  # told by whoever asks for it
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
        await asyncio.gather(*(end(process) for process in self.processes()))

    def processes(self) -> list[Process]:
        """All that run, but for this one."""
        return [each.process for each in self.controllers] + [each.process for each in self.stand_ins]
