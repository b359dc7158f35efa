"""Runs ("days") of one real controller and proxies with a stream each, checked at each proxy.

Servers are replaced during the whole run. Meanwhile streams break and are opened again; proxies restart or
stall. The time limits are those of the settings, scaled by one factor to keep runs in CI short. A run lasts
three times the longest limit.

By hand: `PYTHONPATH=. python tests/proxy_days.py --seeds 10 --seed 1000 --factor 1`; status 1 where one is
broken.
"""

from __future__ import annotations

import argparse
import asyncio
import copy
import random
import sys
from concurrent.futures import ProcessPoolExecutor
from contextlib import nullcontext
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from faulty_process import Controller, controller
from two_controllers import SETTINGS, Fleet

from lapispass.lab.scale.size import CLASSES
from lapispass.rules.checker import Bounds, Checker
from lapispass.standins.nodes import clock_us
from lapispass.standins.proxy_streams import Pace, ProxyStreams

PROXIES, SLICES = 60, 30
UNSERVED_LIMIT_S, LEASE_S, LINGER_S = 20.0, 1.5, 5.0
REPLACED_S = 2.0  # between two replacements of a server
DRAINS_S = 4.0  # from the start of a drain until the server is gone
TRAVELS_S = (0.05, 1.0)
AWAY_S = (0.1, 2.0)  # time of a proxy between two streams
GRACE_S = 3.0  # limit for a drain
SLACK_S = 0.3
CHECK_INTERVAL_S = 0.1
SHORT = 0.4  # time factor of runs in CI


@dataclass(frozen=True)
class Trouble:
    """The faults of proxies during a run."""

    rejoins_per_s: float = 0.0  # broken streams per second, of all proxies together
    restarts: float = 0.0  # share of these in which the proxy has restarted and lost its state
    stalled: int = 0  # number of proxies that stall at a time
    stall_s: float = 0.0  # duration of a stall; the next follows after `AWAY_S`
    replaced_s: float = REPLACED_S


@dataclass
class Verdict:
    """The result of a run."""

    seed: int
    breaches: list[str] = field(default_factory=list)
    moves: int = 0
    longest_gap_s: float = 0.0
    log: list[str] = field(default_factory=list)

    def __str__(self) -> str:
        figures = f"{self.moves} moves, longest without a line {self.longest_gap_s:.1f} s"
        return f"seed {self.seed}: {figures}, {len(self.breaches)} breaches {self.breaches[:3]}"


def settings(factor: float) -> dict[str, Any]:
    """The controller's settings, with all time limits multiplied by a factor."""
    scaled = copy.deepcopy(SETTINGS)
    extra = scaled["extra"]
    extra["data-plane-size"], extra["key-ranges"] = PROXIES, SLICES
    spans = {
        "blackhole-us": UNSERVED_LIMIT_S,
        "lease-us": LEASE_S,
        "lingers-us": LINGER_S,
        "report-every-us": 2.0,
    }
    extra |= {name: int(span * factor * 1e6) for name, span in spans.items()}
    scaled["rules"] |= {"cold-us": int(1e6 * factor), "start-capacity": 0.85}
    return scaled


class ProxyDay:
    """One run of one controller."""

    def __init__(self, seed: int, factor: float, trouble: Trouble) -> None:
        self.chance, self.factor, self.trouble = random.Random(seed), factor, trouble
        self.verdict, self.settings = Verdict(seed), settings(factor)
        bounds = Bounds(
            int((UNSERVED_LIMIT_S * factor + SLACK_S) * 1e6), int((GRACE_S * factor + SLACK_S) * 1e6)
        )
        pace = Pace(
            self.settings["extra"]["lines-per-s"],
            *(factor * travels_s for travels_s in TRAVELS_S),
            LEASE_S * factor,
            LINGER_S * factor,
            CLASSES[1],
        )
        self.checker = Checker(bounds, int)
        self.proxies = ProxyStreams(range(SLICES), PROXIES, pace, self.checker, self.chance)
        self.fleet = Fleet(self.chance, trouble.replaced_s * factor, DRAINS_S * factor)

    async def play(self, folder: Path) -> Verdict:
        """Runs for three times the limit of rule 1 and returns the result."""
        await self.fleet.open()
        await self.proxies.start()
        self.proxies.set_owners(self.fleet.names())
        members = [member.as_json() for member in self.fleet.registry.members.values()]
        try:
            async with controller(
                folder,
                settings=self.settings,
                members=members,
                relay=nullcontext(self.proxies),  # type: ignore[arg-type]
                registry=nullcontext(self.fleet.registry),  # type: ignore[arg-type]
                ready=None,
            ) as running:
                activities = (
                    self.read_log(running),
                    self.judge(),
                    self.fleet.replace(),
                    self.break_streams(),
                )
                tasks = [asyncio.create_task(life) for life in (*activities, self.stall())]
                ended, _ = await asyncio.wait(
                    tasks, timeout=3 * UNSERVED_LIMIT_S * self.factor, return_when=asyncio.FIRST_EXCEPTION
                )
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
                for task in ended:
                    task.result()
        finally:
            self.fleet.close()
            self.proxies.stop()
        self.verdict.breaches += [
            f"rule {one.rule}: {one.subject}: {one.detail}" for one in self.checker.verdict()
        ]
        self.verdict.moves = len(self.proxies.published)
        self.verdict.longest_gap_s = self.checker.worst_unserved_us / 1e6
        return self.verdict

    async def judge(self) -> None:
        """Checks what the proxies could pick. No time limit starts in the first second."""
        since_us = clock_us() + 1_000_000
        while True:
            self.proxies.check(self.fleet.draining_since_us, since_us)
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def break_streams(self) -> None:
        """Keeps breaking streams of proxies, which are opened again."""
        while rate := self.trouble.rejoins_per_s:
            await asyncio.sleep(self.chance.expovariate(rate / self.factor))
            number, restarted = self.chance.randrange(PROXIES), self.chance.random() < self.trouble.restarts
            self.proxies.rejoin(number, restarted, self.factor * self.chance.uniform(*AWAY_S))

    async def stall(self) -> None:
        """Stalls some proxies repeatedly."""
        while self.trouble.stalled:
            until = asyncio.get_running_loop().time() + self.trouble.stall_s * self.factor
            for number in self.chance.sample(range(PROXIES), self.trouble.stalled):
                self.proxies.proxy_states[number].stalled_until = until
            away_s = self.chance.uniform(*AWAY_S)
            await asyncio.sleep((self.trouble.stall_s + away_s) * self.factor)

    async def read_log(self, running: Controller) -> None:
        """Reads the controller's log, so that its pipe does not fill up."""
        assert running.process.stderr
        while line := await running.process.stderr.readline():
            self.verdict.log.append(line.decode().rstrip("\n"))


async def play_day(seed: int, folder: Path, trouble: Trouble, factor: float = SHORT) -> Verdict:
    """One run."""
    return await ProxyDay(seed, factor, trouble).play(folder)


TROUBLES = (
    Trouble(rejoins_per_s=4.5),
    Trouble(rejoins_per_s=4.5, restarts=1.0),
    Trouble(stalled=1, stall_s=25.0),
    Trouble(rejoins_per_s=4.5, restarts=0.3, stalled=1, stall_s=25.0),
    Trouble(rejoins_per_s=2.0, stalled=20, stall_s=1.9),
    Trouble(rejoins_per_s=9.0, restarts=0.5, replaced_s=0.7),
)


def play_seed(seed: int, factor: float) -> Verdict:
    """One run on an event loop of its own. The seed selects the faults."""
    with TemporaryDirectory(prefix="lapispass-proxies-") as folder:
        return asyncio.run(play_day(seed, Path(folder), TROUBLES[seed % len(TROUBLES)], factor))


def main() -> int:
    """The long run, started by hand."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--seed", type=int, default=1000)
    parser.add_argument("--factor", type=float, default=1.0)
    parser.add_argument("--at-once", type=int, default=3)
    given = parser.parse_args()
    broken = 0
    with ProcessPoolExecutor(given.at_once) as pool:
        for verdict in pool.map(
            partial(play_seed, factor=given.factor), range(given.seed, given.seed + given.seeds)
        ):
            print(verdict, flush=True)
            broken += bool(verdict.breaches)
    print(f"{given.seeds} days, {broken} broken")
    return min(1, broken)


if __name__ == "__main__":
    sys.exit(main())
