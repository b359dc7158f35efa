"""Simulated runs ("days") of a whole fleet, checked against the rules, with one verdict at the end.

Each seed draws two to four of the faults below, which overlap in time. The same seed and size give the same
day. The name of a fault function seeds its random draws.
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
LENGTH_S = 66.0  # over three times the limit of rule 1 in this deployment
FAULTS_END_S = 44.0  # repeated faults stop here, which leaves time for every rule's limit to pass
BEGIN_S = (2.0, 14.0)  # start time of a single fault
SHORT_S, LONG_S = (1.0, 8.0), (8.0, 25.0)  # duration of a fault; the longest exceeds the longest limit


@dataclass
class Verdict:
    """The result of a day."""

    seed: int
    breaches: list[str]
    happened: list[str]
    requests: int
    served: int
    handovers: int
    worst_bare_us: int
    worst_drain_us: int
    peak_cold: float
    seen: tuple[int, ...] = ()  # counts from `World.seen`; a fault that changes none had no effect


def lasts_s(world: World) -> float:
    """Draws the duration of a fault; short and long ones are equally likely."""
    return world.fault_chance.uniform(*world.fault_chance.choice((SHORT_S, LONG_S)))


def roll(world: World, tell: Callable[[str], None]) -> None:
    """Replaces half of the servers in steps; some come back under the same id."""
    chance = world.chance
    leaving = chance.sample(sorted(world.registry_entries), len(world.registry_entries) // 2)
    tell(f"{len(leaving)} servers are replaced in steps")
    for position, name in enumerate(leaving):
        back, drain_s = chance.random() < 0.2, chance.uniform(3, 6)
        world.at(
            (1 + position // 3 * 14 / max(1, len(leaving) // 3)) * SECOND,
            partial(world.replace, name, drain_s, back),
        )


def restarts(world: World, tell: Callable[[str], None]) -> None:
    """Restarts the controllers one after another."""
    tell("controllers restart one by one")
    for number, host in enumerate(world.hosts):
        down_s = world.fault_chance.uniform(0.3, 2.5)
        world.at(
            (2 + 16 * number / len(world.hosts)) * SECOND,
            partial(world.stop, host, down_s),
        )


def together(world: World, tell: Callable[[str], None]) -> None:
    """Kills 70 % of the controllers at once: at least one, but not all if there are several."""
    count = min(max(1, round(0.7 * len(world.hosts))), max(1, len(world.hosts) - 1))
    at_s, down_s = world.fault_chance.uniform(*BEGIN_S), lasts_s(world)
    tell(f"at {at_s:.1f} s {count} controllers are killed for {down_s:.1f} s")
    for host in world.fault_chance.sample(world.hosts, count):
        world.at(at_s * SECOND, partial(world.stop, host, down_s))


def zone(world: World, tell: Callable[[str], None]) -> None:
    """Stops a zone with its proxies; its servers come back cold. The list may report the loss."""
    name, at_s = world.fault_chance.choice(world.deployment.zones), world.fault_chance.uniform(*BEGIN_S)
    reported_after_s = world.fault_chance.choice([None, world.fault_chance.uniform(1.5, 4)])
    seconds, how_reported = lasts_s(world), "the list tells" if reported_after_s else "the list is silent"
    tell(f"at {at_s:.1f} s zone {name} is lost for {seconds:.1f} s, {how_reported}")
    world.at(at_s * SECOND, lambda: world.lose_zone(name, seconds, reported_after_s))


def cut(world: World, tell: Callable[[str], None]) -> None:
    """Cuts the proxies of a zone off from all controllers for some seconds."""
    name = world.fault_chance.choice(world.deployment.zones)
    at_s, seconds = world.fault_chance.uniform(*BEGIN_S), lasts_s(world)
    tell(f"at {at_s:.1f} s the proxies of {name} reach no controller for {seconds:.1f} s")
    world.at(at_s * SECOND, lambda: world.cut(name, seconds))


def registry(world: World, tell: Callable[[str], None]) -> None:
    """Stops the registry for a time; after that it serves calls in order. Some watches also break."""
    at_s, seconds = world.fault_chance.uniform(*BEGIN_S), lasts_s(world)
    tell(f"at {at_s:.1f} s the registry is down for {seconds:.1f} s")
    world.at(at_s * SECOND, lambda: world.registry_fails(seconds))
    for _ in range(3):
        host = world.fault_chance.choice(world.hosts)
        world.at(world.fault_chance.uniform(0, FAULTS_END_S) * SECOND, partial(world.lose_watch, host))


def answers(world: World, tell: Callable[[str], None]) -> None:
    """Loses the answers of calls to the store."""
    host, at_s = world.fault_chance.choice(world.hosts), world.fault_chance.uniform(*BEGIN_S)
    seconds = lasts_s(world)
    tell(f"from {at_s:.1f} s half of n{host.number}'s calls get no answer for {seconds:.1f} s")
    world.at(at_s * SECOND, lambda: world.lose_answers(host, 0.5, seconds))


def channel(world: World, tell: Callable[[str], None]) -> None:
    """Stops or slows a channel."""
    host, at_s = world.fault_chance.choice(world.hosts), world.fault_chance.uniform(*BEGIN_S)
    pace, seconds = world.fault_chance.choice([(0.0, 1.5), (0.0, 4.0), (0.3, lasts_s(world))])
    tell(f"at {at_s:.1f} s the channel of n{host.number} runs at {pace} of its pace for {seconds} s")
    world.at(at_s * SECOND, lambda: world.channel(host, pace, seconds))


def failing(world: World, tell: Callable[[str], None]) -> None:
    """Makes one server in eight fail 90 % of its requests for a while."""
    affected = world.fault_chance.sample(sorted(world.servers), max(1, len(world.servers) // 8))
    at_s, seconds = world.fault_chance.uniform(*BEGIN_S), lasts_s(world)
    tell(f"from {at_s:.1f} s {len(affected)} servers fail quickly for {seconds:.1f} s")

    def set_failing(part: float) -> None:
        for name in affected:
            world.servers[name].failing = part

    world.at(at_s * SECOND, lambda: set_failing(0.9))
    world.at((at_s + seconds) * SECOND, lambda: set_failing(0.0))


def slow(world: World, tell: Callable[[str], None]) -> None:
    """Delays messages to one proxy by seconds; it goes on with the tables that it has."""
    number, at_s = world.fault_chance.randrange(len(world.streams)), world.fault_chance.uniform(*BEGIN_S)
    seconds = lasts_s(world)
    tell(f"from {at_s:.1f} s messages to p{number} take seconds longer for {seconds:.1f} s")
    world.at(at_s * SECOND, lambda: world.slow_streams(number, seconds))


def stalls(world: World, tell: Callable[[str], None]) -> None:
    """Stalls a third of the proxies repeatedly for up to 2 s, except one, which stalls once for longer."""
    affected = world.fault_chance.sample(range(len(world.streams)), max(1, len(world.streams) // 3))
    at_s, seconds = world.fault_chance.uniform(*BEGIN_S), lasts_s(world)
    tell(f"{len(affected)} proxies stand still often, p{affected[0]} from {at_s:.1f} s for {seconds:.1f} s")
    for number in affected[1:]:
        next_s = world.fault_chance.uniform(1, 4)
        while next_s < FAULTS_END_S:
            world.at(next_s * SECOND, partial(world.stall, number, world.fault_chance.uniform(1.5, 2.0)))
            next_s += world.fault_chance.uniform(3.6, 5.5)
    world.at(at_s * SECOND, partial(world.stall, affected[0], seconds))


def joins(world: World, tell: Callable[[str], None]) -> None:
    """Breaks streams of proxies all day; they are opened again. Some of these proxies also restart."""
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
    """Replaces randomly drawn ready servers one after another, all day."""
    chance = world.fault_chance
    every_s = chance.uniform(1, 4)
    tell(f"a server is replaced each {every_s:.1f} s all day")

    def replace_one() -> None:
        ready = [name for name, entry in world.registry_entries.items() if entry.state == "ready"]
        if len(ready) > len(world.servers) // 3:
            drain_s, back = chance.uniform(3, 6), chance.random() < 0.2
            world.replace(chance.choice(ready), drain_s, back)

    at_s = 1.0
    while at_s < LENGTH_S:
        world.at(at_s * SECOND, replace_one)
        at_s += every_s * chance.uniform(0.5, 1.5)


def streams(world: World, tell: Callable[[str], None]) -> None:
    """Breaks streams of single proxies."""
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
    """Simulates one day, with the given faults or two to four drawn ones."""
    world = World(seed, size, start, planted, settings)
    happened: list[str] = []
    for fault in faults or world.fault_chance.sample(FAULTS, world.fault_chance.randint(2, 4)):
        world.fault_chance = random.Random(
            f"{fault.__name__} {seed}"
        )  # a generator for each fault, so that faults do not change each other's draws
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
    """Simulates all seeds and prints a line for each and one verdict.

    Returns the exit status: 1 if a rule was broken, else 0.
    """
    began, broken = time.monotonic(), 0
    worst_bare = worst_drain = 0
    peak = 0.0
    for verdict in days(range(seed, seed + seeds), size):
        worst_bare = max(worst_bare, verdict.worst_bare_us)
        worst_drain, peak = max(worst_drain, verdict.worst_drain_us), max(peak, verdict.peak_cold)
        result = "BROKEN" if verdict.breaches else "kept"
        happened = "; ".join(verdict.happened)
        counts = f"{verdict.requests} visits, {verdict.handovers} handovers"
        say(f"seed {verdict.seed}: {result}; {counts}; {happened}")
        if verdict.breaches:
            broken += 1
            for line in verdict.breaches[:5]:
                say(f"    {line}")
            options = f"--controllers {size.controllers} --servers {size.servers} --proxies {size.proxies}"
            say(f"    replay: lapispass lab fleet --seeds 1 --seed {verdict.seed} {options}")
    say(
        f"{'RULES BROKEN' if broken else 'rules kept'}: {broken} of {seeds} seeds broken; longest without "
        f"a pick {worst_bare / SECOND:.1f} s, longest after a drain was told {worst_drain // MS} ms, most "
        f"sent to a cold server {peak:.2f} times what it can do; {time.monotonic() - began:.0f} s"
    )
    return 1 if broken else 0
