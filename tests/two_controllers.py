"""Runs ("days") of two real controllers side by side, checked at clients, proxies and the store.

Each controller has a relay of its own, with the proxies' streams. Both follow one registry, where a server is
replaced about every second. Collectors report, and clients send requests until the kill, as in `soak.py`.
The seed determines faults of system calls, clock steps, pauses and a crowd of clients. Besides the answers,
the run checks the rules on what proxies have, and how soon a draining server is withdrawn or has no slices.

By hand: `PYTHONPATH=. python tests/two_controllers.py --seeds 20 --seed 1000 --logs FOLDER`; status 1 where
one is broken.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import signal
import sys
import time
from collections import deque
from concurrent.futures import ProcessPoolExecutor
from contextlib import nullcontext
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory

from faulty_process import Controller, Faults, controller, free_address
from rule_world import changed
from soak import DUE_S, ProcessRun, Verdict, controllers_clients, run_process

from lapispass import deployment
from lapispass.lab.scale import settings
from lapispass.lab.scale.size import Size
from lapispass.rules.checker import Bounds, Checker
from lapispass.standins.collectors import Collectors, Load
from lapispass.standins.nodes import clock_us
from lapispass.standins.platform import Member, Registry, Relay, event
from lapispass.standins.servers import Servers

SIZE = Size(servers=30, services=1, slices=60, held=30, zones=2, proxies=150, real=2, hollow=0)
ZONES = SIZE.zone_names
SETTINGS = json.loads(settings.configuration(SIZE, 1, "127.0.0.1:1"))["settings"]
DEPLOYMENT = deployment.read(SETTINGS)
ENDING = (signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM, signal.SIGTERM)
INCARNATIONS, LIFE_S = 2, 5.0
READY_S = 10.0  # limit for a start
REPLACED_S = 1.0  # between two replacements of a server
DRAINS_S = 3.0  # from the start of a drain until the server is gone
REPORTS = Load(3000.0, tuple(kind.name for kind in DEPLOYMENT.classes), interval_s=2.0)
ANSWER_S = 0.02  # until proxies have applied an order
WITHDRAWN_US = 1_500_000  # limit for the withdrawal of a draining server
SLACK_US = 300_000  # tolerance for proxies, from the protocol's page
GRACE_AT_START_S = 1.0  # after a start, before time limits begin
CHECK_INTERVAL_S = 0.05
REJOINS_S = 0.1  # mean time between proxies that join again


class Proxies(Relay):
    """The proxies and the store of one controller. All proxies of a zone have the same tables."""

    def __init__(self, slices: range) -> None:
        super().__init__(SIZE.slices, SIZE.proxies, ANSWER_S, ZONES)
        self.granted[""] = slices
        self.checker = Checker(Bounds(DEPLOYMENT.unserved_limit_us + SLACK_US, WITHDRAWN_US + SLACK_US), int)
        self.tables: dict[str, dict[int, tuple[str | None, bool]]] = {zone: {} for zone in ZONES}
        self.withdrawn: dict[str, set[str]] = {zone: set() for zone in ZONES}
        self.steps: dict[str, dict[int, int]] = {zone: dict.fromkeys(slices, 0) for zone in ZONES}
        self.under_way: dict[str, deque[list[str]]] = {zone: deque() for zone in ZONES}
        self.ordered_out: set[str] = set()
        self.drained: set[str] = set()  # servers whose late withdrawal has been reported
        self.slowest_withdrawal_us = 0

    def set_owners(self, servers: list[str]) -> None:
        """Sets the owners of all slices before the first controller starts."""
        for number in self.granted[""]:
            self.owners[number] = servers[number % len(servers)]
            for zone in ZONES:
                self.tables[zone][number] = self.owners[number], True

    def carry_out(self, order: list[str], client: str = "") -> None:
        loop = asyncio.get_running_loop()
        for index, zone in enumerate(ZONES):
            self.under_way[zone].append(order)
            loop.call_later(self.ack_delay_s * (1 + index / len(ZONES)), self.apply, zone)
        match order:
            case ["OUT", server]:
                self.ordered_out.add(server)
            case ["IN", server]:
                self.ordered_out.discard(server)
        super().carry_out(order, client)

    def apply(self, zone: str) -> None:
        """Applies the next order at the proxies of a zone."""
        order = self.under_way[zone].popleft()
        changed(self.tables[zone], self.withdrawn[zone], ",".join(order))
        if order[0] in ("SET", "DEL"):
            self.steps[zone][int(order[1])] += 1

    def rejoin(self, chance: random.Random) -> None:
        """Breaks the stream of a random proxy and opens it again."""
        proxy = chance.randrange(self.proxies)
        self.send_events(
            [event("CLOSED", node=proxy), self.subscribe_event(proxy, cold=chance.choice((0, 1)))]
        )

    def check(self, draining_since_us: dict[str, int], since_us: int) -> None:
        """Checks what proxies have now. Time limits start at `since_us` or later."""
        now, checker = clock_us(), self.checker
        for server, at_us in draining_since_us.items():
            if server not in checker.draining_since:
                checker.set_draining(at_us, server, True)
            self.judge_withdrawal(now, server, max(at_us, since_us))
        for zone in ZONES:
            for number, (owner, writes_admitted) in self.tables[zone].items():
                reached = owner if owner not in self.withdrawn[zone] else None
                checker.pick(now, zone, number, reached, since_us)
                if reached is not None and writes_admitted:
                    until_us = now + DEPLOYMENT.linger_us
                    checker.write_sent(now, zone, number, reached, self.steps[zone][number], until_us)

    def judge_withdrawal(self, now: int, server: str, since_us: int) -> None:
        """Checks that a draining server that owns a slice is withdrawn within the limit."""
        if server in self.ordered_out or server not in self.owners.values() or server in self.drained:
            return
        self.slowest_withdrawal_us = max(self.slowest_withdrawal_us, now - since_us)
        if now - since_us > WITHDRAWN_US:
            self.drained.add(server)
            self.checker.breach("drain", server, now, f"not withdrawn {now - since_us} us after it was told")

    def stop_judging(self) -> None:
        """Ends the checks of this controller's proxies, as the controller ends."""
        for zone in ZONES:
            self.checker.party_left(zone)


class Fleet:
    """The servers of a run, and the registry that lists them."""

    def __init__(
        self, chance: random.Random, replaced_s: float = REPLACED_S, drains_s: float = DRAINS_S
    ) -> None:
        self.chance, self.replaced_s, self.drains_s = chance, replaced_s, drains_s
        self.registry, self.servers = Registry(), Servers()
        self.draining_since_us: dict[
            str, int
        ] = {}  # draining servers, with the time since which the list says so
        self.started = 0

    async def open(self) -> None:
        await self.registry.start()
        for _ in range(SIZE.servers):
            member = await self.server()
            self.registry.members[member.id] = member

    async def server(self, up_since_ms: int = 0) -> Member:
        """Starts one more server and returns its member entry."""
        name, zone = f"s-{self.started}", ZONES[self.started % len(ZONES)]
        self.started += 1
        return Member(name, await self.servers.listen(name), zone, up_since_ms=up_since_ms)

    def names(self) -> list[str]:
        return list(self.registry.members)

    async def replace(self) -> None:
        """Keeps draining servers; each is followed by a new one."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self.chance.uniform(0.3, 1.6) * self.replaced_s)
            ready = [one for one in self.registry.members.values() if one.phase == "Ready"]
            leaving = self.chance.choice(ready[: SIZE.servers // 2])
            new = await self.server(up_since_ms=time.time_ns() // 1_000_000)
            leaving.phase = "Terminating"
            self.draining_since_us[leaving.id] = clock_us()
            self.registry.change(leaving, new)
            loop.call_later(self.drains_s, self.gone, leaving)

    def gone(self, member: Member) -> None:
        """Marks a drained server as gone."""
        member.phase = "Gone"
        self.registry.change(member)

    def close(self) -> None:
        self.registry.stop()
        self.servers.stop()


class Side:
    """One of the two controllers, through all its incarnations."""

    def __init__(self, fleet: Fleet, index: int, seed: int, verdict: Verdict, folder: Path) -> None:
        self.fleet, self.chance, self.verdict, self.folder = fleet, random.Random(seed), verdict, folder
        self.is_crowded = self.chance.random() < 0.3
        self.is_faulty = self.chance.random() < 0.6
        self.proxies = Proxies(range(index, SIZE.slices, SIZE.real))
        self.address = free_address()
        folder.mkdir(parents=True, exist_ok=True)
        self.faults = Faults(folder / "faults")
        self.collectors = Collectors(self.proxies, REPORTS, seed)

    async def run_incarnations(self, after_s: float, life_s: float) -> None:
        """Runs the incarnations one after another at the same address."""
        await self.proxies.start()
        self.proxies.set_owners(self.fleet.names())
        known = [member.as_json() for member in self.fleet.registry.members.values()]
        self.collectors.report_to("", "{}:{}".format(*self.address))
        loop = asyncio.get_running_loop()
        try:
            await asyncio.sleep(after_s)
            for number in range(INCARNATIONS):
                begun = loop.time()
                async with controller(
                    self.folder,
                    faults=self.faults,
                    settings=SETTINGS,
                    members=known,
                    relay=nullcontext(self.proxies),  # type: ignore[arg-type]
                    registry=nullcontext(self.fleet.registry),  # type: ignore[arg-type]
                    address=self.address,
                    ready=None,
                ) as running:
                    if loop.time() - begun > READY_S:
                        self.verdict.breaches.append(f"ready after {loop.time() - begun:.1f} s")
                    await self.run_incarnation(running, life_s)
                    self.keep_log(running, number)
        except (TimeoutError, AssertionError) as error:  # it did not become ready
            self.verdict.breaches.append(f"{self.folder.name}: no start: {error}")
        finally:
            self.collectors.stop()
            await asyncio.gather(*self.collectors.tasks, return_exceptions=True)
            self.proxies.stop()

    async def run_incarnation(self, running: Controller, life_s: float) -> None:
        """Runs one process from its start to its end."""
        day = ProcessRun(
            running, self.chance, self.verdict, self.is_crowded, due_s=DUE_S, is_faulty=self.is_faulty
        )
        judging = [asyncio.create_task(one) for one in (self.judge(day), self.churn())]
        try:
            await run_process(day, controllers_clients(day), life_s, ENDING)
        finally:
            for task in judging:
                task.cancel()
            await asyncio.gather(*judging, return_exceptions=True)
            self.proxies.stop_judging()

    async def judge(self, day: ProcessRun) -> None:
        """Checks the proxies until the process gets SIGTERM."""
        ready_us = clock_us() + int(GRACE_AT_START_S * 1e6)
        while not day.is_stopping:
            paused = [int(end * 1e6) for _, end in day.pauses]
            self.proxies.check(self.fleet.draining_since_us, max([ready_us, *paused]))
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def churn(self) -> None:
        """Makes proxies leave and join again all the time."""
        while True:
            await asyncio.sleep(self.chance.uniform(0, 2 * REJOINS_S))
            self.proxies.rejoin(self.chance)

    def keep_log(self, running: Controller, number: int) -> None:
        """Writes the log to a file, for the analysis of a breach."""
        (self.folder / f"life-{number}.log").write_text("\n".join(running.lines) + "\n")

    def judge_all(self) -> None:
        """Adds the breaches of the rules to the verdict."""
        name = self.folder.name
        for breach in self.proxies.checker.verdict():
            self.verdict.breaches.append(f"{name}: rule {breach.rule}: {breach.subject}: {breach.detail}")


async def play_day(seed: int, folder: Path, life_s: float = LIFE_S) -> Verdict:
    """One run of both controllers. The second starts half an incarnation after the first."""
    chance, verdict = random.Random(seed), Verdict(seed)
    fleet = Fleet(chance)
    await fleet.open()
    sides = [Side(fleet, index, chance.randrange(1 << 30), verdict, folder / f"n{index}") for index in (0, 1)]
    replacing = asyncio.create_task(fleet.replace())
    try:
        await asyncio.gather(
            *(side.run_incarnations(life_s / 2 * index, life_s) for index, side in enumerate(sides))
        )
    finally:
        replacing.cancel()
        await asyncio.gather(replacing, return_exceptions=True)
        fleet.close()
        await asyncio.sleep(0)
    for side in sides:
        side.judge_all()
    verdict.figures["moves"] = sum(len(side.proxies.published) for side in sides)
    verdict.figures["slowest withdrawal ms"] = max(s.proxies.slowest_withdrawal_us for s in sides) // 1000
    verdict.figures["crowds"] = sum(side.is_crowded for side in sides)
    verdict.figures["faulty"] = sum(side.is_faulty for side in sides)
    return verdict


def play_seed(seed: int, logs: Path | None, life_s: float) -> Verdict:
    """One run on an event loop of its own. Keeps the logs if a folder is given."""
    with TemporaryDirectory(prefix="lapispass-two-") as temporary:
        folder = logs / str(seed) if logs else Path(temporary)
        return asyncio.run(play_day(seed, folder, life_s))


def main() -> int:
    """The long run, started by hand."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1000)
    parser.add_argument("--at-once", type=int, default=1)
    parser.add_argument("--life", type=float, default=LIFE_S, help="seconds of each process")
    parser.add_argument("--logs", type=Path, help="folder for the logs of the controllers")
    given = parser.parse_args()
    broken = 0
    play = partial(play_seed, logs=given.logs, life_s=given.life)
    with ProcessPoolExecutor(given.at_once) as pool:
        for verdict in pool.map(play, range(given.seed, given.seed + given.seeds)):
            print(verdict, flush=True)
            broken += bool(verdict.breaches)
    print(f"{given.seeds} days, {broken} broken")
    return min(1, broken)


if __name__ == "__main__":
    sys.exit(main())
