"""Days of a whole fleet in simulated time: drawn from a seed, judged by what passes, with one verdict.

Each seed draws a day from the faults below, so that several fall together. The same seed and size play the
same day.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from functools import partial

from lapispass import interface
from lapispass.controller import Controller
from lapispass.standins.fleet import World
from lapispass.standins.fleet_parties import MS, SECOND, Size

Fault = Callable[[World, Callable[[str], None]], None]
LENGTH_S = 66.0  # over three times as long as rule 1 allows in these days' settings
FAULTS_END_S = 44.0  # what lasts longest has begun by then, and each rule's time can pass after it
BEGIN_S = (2.0, 14.0)  # of a single fault
SHORT_S, LONG_S = (1.0, 8.0), (8.0, 25.0)  # how long it lasts: up to past the longest limit


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
    seen: tuple[int, ...] = ()  # what the parties saw, in figures: a fault that changes none has not happened


def lasts_s(world: World) -> float:
    """How long a fault lasts: short and long ones are as likely."""
    return world.fault_chance.uniform(*world.fault_chance.choice((SHORT_S, LONG_S)))


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
        down_s = world.fault_chance.uniform(0.3, 2.5)
        world.at(
            (2 + 16 * number / len(world.hosts)) * SECOND,
            partial(world.stop, host, down_s),
        )


def together(world: World, tell: Callable[[str], None]) -> None:
    """Seven in ten controllers, and one at least, are killed at once; one stays where there are several."""
    count = min(max(1, round(0.7 * len(world.hosts))), max(1, len(world.hosts) - 1))
    at_s, down_s = world.fault_chance.uniform(*BEGIN_S), lasts_s(world)
    tell(f"at {at_s:.1f} s {count} controllers are killed for {down_s:.1f} s")
    for host in world.fault_chance.sample(world.hosts, count):
        world.at(at_s * SECOND, partial(world.stop, host, down_s))


def zone(world: World, tell: Callable[[str], None]) -> None:
    """A zone is lost with its proxies, and back cold; the list may tell of its loss, too."""
    name, at_s = world.fault_chance.choice(world.deployment.zones), world.fault_chance.uniform(*BEGIN_S)
    told_s = world.fault_chance.choice([None, world.fault_chance.uniform(1.5, 4)])
    seconds, told = lasts_s(world), "the list tells" if told_s else "the list is silent"
    tell(f"at {at_s:.1f} s zone {name} is lost for {seconds:.1f} s, {told}")
    world.at(at_s * SECOND, lambda: world.lose_zone(name, seconds, told_s))


def cut(world: World, tell: Callable[[str], None]) -> None:
    """The proxies of a zone reach no controller for some seconds."""
    name = world.fault_chance.choice(world.deployment.zones)
    at_s, seconds = world.fault_chance.uniform(*BEGIN_S), lasts_s(world)
    tell(f"at {at_s:.1f} s the proxies of {name} reach no controller for {seconds:.1f} s")
    world.at(at_s * SECOND, lambda: world.cut(name, seconds))


def registry(world: World, tell: Callable[[str], None]) -> None:
    """The registry is down, then serves in turn; watches break by themselves."""
    at_s, seconds = world.fault_chance.uniform(*BEGIN_S), lasts_s(world)
    tell(f"at {at_s:.1f} s the registry is down for {seconds:.1f} s")
    world.at(at_s * SECOND, lambda: world.registry_fails(seconds))
    for _ in range(3):
        host = world.fault_chance.choice(world.hosts)
        world.at(world.fault_chance.uniform(0, FAULTS_END_S) * SECOND, partial(world.lose_watch, host))


def answers(world: World, tell: Callable[[str], None]) -> None:
    """Calls to the store stay without an answer."""
    host, at_s = world.fault_chance.choice(world.hosts), world.fault_chance.uniform(*BEGIN_S)
    seconds = lasts_s(world)
    tell(f"from {at_s:.1f} s half of n{host.number}'s calls get no answer for {seconds:.1f} s")
    world.at(at_s * SECOND, lambda: world.lose_answers(host, 0.5, seconds))


def channel(world: World, tell: Callable[[str], None]) -> None:
    """A channel stands still, or slows."""
    host, at_s = world.fault_chance.choice(world.hosts), world.fault_chance.uniform(*BEGIN_S)
    pace, seconds = world.fault_chance.choice([(0.0, 1.5), (0.0, 4.0), (0.3, lasts_s(world))])
    tell(f"at {at_s:.1f} s the channel of n{host.number} runs at {pace} of its pace for {seconds} s")
    world.at(at_s * SECOND, lambda: world.channel(host, pace, seconds))


def failing(world: World, tell: Callable[[str], None]) -> None:
    """One of eight servers quickly fails nine of ten requests for a while."""
    struck = world.fault_chance.sample(sorted(world.servers), max(1, len(world.servers) // 8))
    at_s, seconds = world.fault_chance.uniform(*BEGIN_S), lasts_s(world)
    tell(f"from {at_s:.1f} s {len(struck)} servers fail quickly for {seconds:.1f} s")

    def ails(part: float) -> None:
        for name in struck:
            world.servers[name].failing = part

    world.at(at_s * SECOND, lambda: ails(0.9))
    world.at((at_s + seconds) * SECOND, lambda: ails(0.0))


def slow(world: World, tell: Callable[[str], None]) -> None:
    """What is told to one proxy takes seconds longer, while it goes on by what it holds."""
    number, at_s = world.fault_chance.randrange(len(world.streams)), world.fault_chance.uniform(*BEGIN_S)
    seconds = lasts_s(world)
    tell(f"from {at_s:.1f} s messages to p{number} take seconds longer for {seconds:.1f} s")
    world.at(at_s * SECOND, lambda: world.slow_streams(number, seconds))


def stalls(world: World, tell: Callable[[str], None]) -> None:
    """A part of the proxies stand still for up to 2 s again and again, and one for long."""
    struck = world.fault_chance.sample(range(len(world.streams)), max(1, len(world.streams) // 3))
    at_s, seconds = world.fault_chance.uniform(*BEGIN_S), lasts_s(world)
    tell(f"{len(struck)} proxies stand still often, p{struck[0]} from {at_s:.1f} s for {seconds:.1f} s")
    for number in struck[1:]:
        next_s = world.fault_chance.uniform(1, 4)
        while next_s < FAULTS_END_S:
            world.at(next_s * SECOND, partial(world.stall, number, world.fault_chance.uniform(1.5, 2.0)))
            next_s += world.fault_chance.uniform(3.6, 5.5)
    world.at(at_s * SECOND, partial(world.stall, struck[0], seconds))


def joins(world: World, tell: Callable[[str], None]) -> None:
    """Proxies' streams break and are made anew all day; a part of these proxies have restarted."""
    per_s, restarted = world.fault_chance.uniform(1, 8), world.fault_chance.choice((0.0, 0.3, 1.0))
    tell(f"{per_s:.1f} proxies a second join anew, {restarted:.0%} of them restarted")
    at_s = 0.0
    while at_s < FAULTS_END_S:
        at_s += world.fault_chance.expovariate(per_s)
        number = world.fault_chance.randrange(len(world.streams))
        if world.fault_chance.random() < restarted:
            world.at(at_s * SECOND, partial(world.restart_proxy, number))
            continue
        for host in world.hosts:
            world.at(at_s * SECOND, partial(world.leave, number, host))


def release(world: World, tell: Callable[[str], None]) -> None:
    """One server after the other is replaced all day, whichever is ready then."""
    chance = world.fault_chance
    every_s = chance.uniform(1, 4)
    tell(f"a server is replaced each {every_s:.1f} s all day")

    def replace() -> None:
        ready = [name for name, entry in world.list.items() if entry.state == "ready"]
        if len(ready) > len(world.servers) // 3:
            drain_s, back = chance.uniform(3, 6), chance.random() < 0.2
            world.replace(chance.choice(ready), drain_s, back)

    at_s = 1.0
    while at_s < LENGTH_S:
        world.at(at_s * SECOND, replace)
        at_s += every_s * chance.uniform(0.5, 1.5)


def streams(world: World, tell: Callable[[str], None]) -> None:
    """Streams of single proxies break."""
    tell("streams of single proxies break")
    for _ in range(6):
        number = world.fault_chance.randrange(len(world.streams))
        for host in world.hosts:
            world.at(world.fault_chance.uniform(0, FAULTS_END_S) * SECOND, partial(world.leave, number, host))


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
    stalls,
    joins,
    release,
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
    for fault in faults or world.fault_chance.sample(FAULTS, world.fault_chance.randint(2, 4)):
        world.fault_chance = random.Random(f"{fault.__name__} {seed}")  # so that one fault changes no other
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
        judge.worst_unserved_us,
        judge.worst_drain_us,
        max(judge.peak_cold_loads.values(), default=0.0),
        world.seen(),
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
