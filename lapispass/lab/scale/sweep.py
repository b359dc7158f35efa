"""A sweep: one count varies at a time, and each cost is fitted as a base and a slope.

Servers and proxies vary without hollow controllers, which change nothing for a real one; controllers vary at
the size that is given. The lines of a fit that is not straight are said to be so, and not used.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, replace
from typing import NamedTuple

from lapispass.lab.scale import fit
from lapispass.lab.scale.budgets import Phase
from lapispass.lab.scale.samples import Cost
from lapispass.lab.scale.size import Size


@dataclass(frozen=True, slots=True)
class Counts:
    """What a sweep goes through; `controllers` are real and hollow ones together."""

    servers: tuple[int, ...] = (200, 1000, 2850, 5700)
    controllers: tuple[int, ...] = (5, 240, 720)
    proxies: tuple[int, ...] = (20, 320, 1600)


@dataclass(frozen=True, slots=True)
class Step:
    """A run of a sweep: what varies, its count, and the whole size."""

    varies: str
    count: int
    size: Size


@dataclass(frozen=True, slots=True)
class Fitted:
    """A cost over one count: the raw points and their line."""

    varies: str
    cost: str
    unit: str
    points: list[tuple[int, float]]
    fit: fit.Fit

    def __str__(self) -> str:
        if not self.fit.straight:
            raw = ", ".join(f"{cost:.4g} at {count}" for count, cost in self.points)
            return f"{self.cost} by {self.varies}: not straight ({raw} {self.unit}), not used"
        return (
            f"{self.cost} by {self.varies}: {self.fit.base:.4g} + {self.fit.slope:.4g} x {self.varies} "
            f"{self.unit}, residual {100 * self.fit.residual:.1f}%"
        )


def steps(size: Size, counts: Counts) -> Iterator[Step]:
    """All runs of a sweep."""
    alone = replace(size, hollow=0)
    for count in counts.servers:
        services = min(size.services, count)
        yield Step("servers", count, replace(alone, servers=count, services=services))
    for count in counts.controllers:
        yield Step("controllers", count, replace(size, hollow=max(0, count - size.real)))
    for count in counts.proxies:
        yield Step("proxies", count, replace(alone, proxies=count))


class Measure(NamedTuple):
    """One cost of a run."""

    cost: str
    unit: str
    value: float


Figure = Callable[[Cost], float]
OF_START: tuple[tuple[str, str, Figure], ...] = (  # each second; told for the whole start
    ("processor of a controller's start", "s", lambda cost: cost.cpu_percent / 100),
    ("list to a controller at its start", "bytes", lambda cost: cost.rates.registry_bytes),
    ("relay to a controller at its start", "bytes", lambda cost: cost.rates.relay_bytes),
    ("probes of a controller's start", "probes", lambda cost: cost.rates.probes),
)
OF_QUIET: tuple[tuple[str, str, Figure], ...] = (
    ("processor of a controller in quiet", "% of a core", lambda cost: cost.cpu_percent),
    ("memory of a controller", "MB", lambda cost: cost.memory_mb),
    ("control of a controller in quiet", "bytes/s", lambda cost: cost.bytes_per_s),
    ("reports to a controller in quiet", "bytes/s", lambda cost: cost.rates.report_bytes),
)
PARTIES = (("registry", "calls"), ("registry", "bytes"), ("relay", "calls"), ("relay", "bytes"))
TIMES = (("start", "ready"), ("change", "withdrawal after a drain was told"), ("change", "change in force"))


def mean(phase: Phase, figure: Figure) -> float:
    """Of the real controllers."""
    return sum(map(figure, phase.controllers)) / len(phase.controllers)


def measures(phases: Sequence[Phase]) -> Iterator[Measure]:
    """The costs of a run: of a controller, in the mean of the real ones, and of registry and relay."""
    by_name = {phase.name: phase for phase in phases}
    start, quiet, change = by_name["start"], by_name["quiet"], by_name["change"]
    for cost, unit, figure in OF_START:
        yield Measure(cost, unit, start.seconds * mean(start, figure))
    for cost, unit, figure in OF_QUIET:
        yield Measure(cost, unit, mean(quiet, figure))
    for name, what in TIMES:
        yield Measure(f"{what}, the last controller", "s", max(by_name[name].times_s[what].values()))
    for phase in (start, quiet, change):
        yield from of_parties(phase)


def of_parties(phase: Phase) -> Iterator[Measure]:
    """What registry and relay carry for all controllers: each second, or over a phase that does not last."""
    rates = [phase.hollow, *(cost.rates for cost in phase.controllers)]
    for party, unit in PARTIES:
        whole = sum(getattr(each, f"{party}_{unit}") for each in rates)
        if phase.lasts:
            yield Measure(f"{party} in {phase.name}", f"{unit}/s", whole)
        else:
            yield Measure(f"{party} in {phase.name}", unit, whole * phase.seconds)


def fits(played: Sequence[tuple[Step, Sequence[Phase]]]) -> list[Fitted]:
    """Each cost over each count that varies at least once."""
    points: dict[tuple[str, str, str], list[tuple[int, float]]] = {}
    for step, phases in played:
        for cost, unit, value in measures(phases):
            points.setdefault((step.varies, cost, unit), []).append((step.count, value))
    return [
        Fitted(varies, cost, unit, some, fit.line(*zip(*some, strict=True)))
        for (varies, cost, unit), some in points.items()
        if len({count for count, _ in some}) > 1
    ]
