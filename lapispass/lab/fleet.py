"""Days of a whole fleet in simulated time: drawn from a seed, judged by what passes, with one verdict.

Each seed draws a day from the faults below, so that several fall together. The same seed and size play the
same day.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from functools import partial

from lapispass import interface
from lapispass.controller import Controller
from lapispass.standins.fleet import World
from lapispass.standins.fleet_parties import MS, SECOND, Size

Fault = Callable[[World, Callable[[str], None]], None]
LENGTH_S = 36.0
FAULTS_END_S = 22.0


@dataclass
class Verdict:
    """What a day showed."""

    seed: int
    breaches: list[str]
    happened: list[str]
    requests: int
    served: int
    handovers: int
    worst_bare_us: int
    worst_drain_us: int
    peak_cold: float


def roll(world: World, tell: Callable[[str], None]) -> None:
    """A part of the servers is replaced in steps; some come back under their ids."""
    chance = world.chance
    leaving = chance.sample(sorted(world.list), len(world.list) // 2)
    tell(f"{len(leaving)} servers are replaced in steps")
    for position, name in enumerate(leaving):
        back, drain_s = chance.random() < 0.2, chance.uniform(3, 6)
        world.at(
            (1 + position // 3 * 14 / max(1, len(leaving) // 3)) * SECOND,
            partial(world.replace, name, drain_s, back),
        )


def restarts(world: World, tell: Callable[[str], None]) -> None:
    """Controllers are restarted one after the other."""
    tell("controllers restart one by one")
    for number, host in enumerate(world.hosts):
        down_s = world.chance.uniform(0.3, 2.5)
        world.at(
            (2 + 16 * number / len(world.hosts)) * SECOND,
            partial(world.stop, host, down_s),
        )


def together(world: World, tell: Callable[[str], None]) -> None:
    """Seven in ten controllers, and one at least, are killed at once; one stays where there are several."""
    count = min(max(1, round(0.7 * len(world.hosts))), max(1, len(world.hosts) - 1))
    at_s, down_s = world.chance.uniform(2, 12), world.chance.uniform(1, 6)
    tell(f"at {at_s:.1f} s {count} controllers are killed for {down_s:.1f} s")
    for host in world.chance.sample(world.hosts, count):
        world.at(at_s * SECOND, partial(world.stop, host, down_s))


def zone(world: World, tell: Callable[[str], None]) -> None:
    """A zone is lost for 5 s with its proxies, and back cold; the list may tell of its loss, too."""
    name, at_s = world.chance.choice(world.deployment.zones), world.chance.uniform(3, 10)
    told_s = world.chance.choice([None, world.chance.uniform(1.5, 4)])
    tell(
        f"at {at_s:.1f} s zone {name} is lost for 5 s, {'the list tells' if told_s else 'the list is silent'}"
    )
    world.at(at_s * SECOND, lambda: world.lose_zone(name, 5, told_s))


def cut(world: World, tell: Callable[[str], None]) -> None:
    """The proxies of a zone reach no controller for some seconds."""
    name, at_s, seconds = (
        world.chance.choice(world.deployment.zones),
        world.chance.uniform(2, 14),
        world.chance.uniform(1, 7),
    )
    tell(f"at {at_s:.1f} s the proxies of {name} reach no controller for {seconds:.1f} s")
    world.at(at_s * SECOND, lambda: world.cut(name, seconds))


def registry(world: World, tell: Callable[[str], None]) -> None:
    """The registry is down, then serves in turn; watches break by themselves."""
    at_s, seconds = world.chance.uniform(1, 12), world.chance.uniform(1, 6)
    tell(f"at {at_s:.1f} s the registry is down for {seconds:.1f} s")
    world.at(at_s * SECOND, lambda: world.registry_fails(seconds))
    for _ in range(3):
        host = world.chance.choice(world.hosts)
        world.at(world.chance.uniform(0, FAULTS_END_S) * SECOND, partial(world.lose_watch, host))


def answers(world: World, tell: Callable[[str], None]) -> None:
    """Calls to the store stay without an answer."""
    host, at_s = world.chance.choice(world.hosts), world.chance.uniform(2, 10)
    tell(f"from {at_s:.1f} s half of n{host.number}'s calls get no answer for 6 s")
    world.at(at_s * SECOND, lambda: world.lose_answers(host, 0.5, 6))


def channel(world: World, tell: Callable[[str], None]) -> None:
    """A channel stands still, or slows."""
    host, at_s = world.chance.choice(world.hosts), world.chance.uniform(2, 14)
    pace, seconds = world.chance.choice([(0.0, 1.5), (0.0, 4.0), (0.3, 5.0)])
    tell(f"at {at_s:.1f} s the channel of n{host.number} runs at {pace} of its pace for {seconds} s")
    world.at(at_s * SECOND, lambda: world.channel(host, pace, seconds))


def failing(world: World, tell: Callable[[str], None]) -> None:
    """One of eight servers quickly fails nine of ten requests for a while."""
    struck = world.chance.sample(sorted(world.servers), max(1, len(world.servers) // 8))
    at_s = world.chance.uniform(2, 8)
    tell(f"from {at_s:.1f} s {len(struck)} servers fail quickly for 8 s")

    def ails(part: float) -> None:
        for name in struck:
            world.servers[name].failing = part

    world.at(at_s * SECOND, lambda: ails(0.9))
    world.at((at_s + 8) * SECOND, lambda: ails(0.0))


def slow(world: World, tell: Callable[[str], None]) -> None:
    """What is told to one proxy takes seconds longer, while it goes on by what it holds."""
    number, at_s = world.chance.randrange(len(world.streams)), world.chance.uniform(2, 10)
    tell(f"from {at_s:.1f} s messages to p{number} take 5 s longer for 5 s")
    world.at(at_s * SECOND, lambda: world.slow_streams(number, 5))


def streams(world: World, tell: Callable[[str], None]) -> None:
    """Streams of single proxies break."""
    tell("streams of single proxies break")
    for _ in range(6):
        number = world.chance.randrange(len(world.streams))
        for host in world.hosts:
            world.at(world.chance.uniform(0, FAULTS_END_S) * SECOND, partial(world.leave, number, host))


FAULTS: tuple[Fault, ...] = (
    roll,
    restarts,
    together,
    zone,
    cut,
    registry,
    answers,
    channel,
    failing,
    streams,
    slow,
)


def play(
    seed: int,
    size: Size = Size(),
    planted: str = "",
    seconds: float = LENGTH_S,
    start: Callable[[interface.Deployment, int, int], Controller] = Controller,
    settings: interface.Deployment | None = None,
    faults: Sequence[Fault] = (),
) -> Verdict:
    """One day: two to four faults drawn from the seed, or those given."""
    world = World(seed, size, start, planted, settings)
    happened: list[str] = []
    for fault in faults or world.chance.sample(FAULTS, world.chance.randint(2, 4)):
        fault(world, happened.append)
    world.run(seconds)
    judge = world.judge
    return Verdict(
        seed,
        world.verdict(),
        happened,
        world.proxies.requests,
        world.proxies.served,
        world.handovers,
        judge.worst_bare_us,
        judge.worst_drain_us,
        max(judge.peaks.values(), default=0.0),
    )


def days(seeds: range, size: Size) -> Iterator[Verdict]:
    for seed in seeds:
        yield play(seed, size)


def main(seed: int, seeds: int, size: Size, say: Callable[[str], None] = print) -> int:
    """Plays the seeds; prints a line for each and one verdict. The status: 0, or 1 where a rule is broken."""
    began, broken = time.monotonic(), 0
    worst_bare = worst_drain = 0
    peak = 0.0
    for verdict in days(range(seed, seed + seeds), size):
        worst_bare = max(worst_bare, verdict.worst_bare_us)
        worst_drain, peak = max(worst_drain, verdict.worst_drain_us), max(peak, verdict.peak_cold)
        kept = "BROKEN" if verdict.breaches else "kept"
        happened = "; ".join(verdict.happened)
        counts = f"{verdict.requests} visits, {verdict.handovers} handovers"
        say(f"seed {verdict.seed}: {kept}; {counts}; {happened}")
        if verdict.breaches:
            broken += 1
            for line in verdict.breaches[:5]:
                say(f"    {line}")
            of = f"--controllers {size.controllers} --servers {size.servers} --proxies {size.proxies}"
            say(f"    replay: lapispass lab fleet --seeds 1 --seed {verdict.seed} {of}")
    say(
        f"{'RULES BROKEN' if broken else 'rules kept'}: {broken} of {seeds} seeds broken; longest without "
        f"a pick {worst_bare / SECOND:.1f} s, longest after a drain was told {worst_drain // MS} ms, most "
        f"sent to a cold server {peak:.2f} times what it can do; {time.monotonic() - began:.0f} s"
    )
    return 1 if broken else 0
