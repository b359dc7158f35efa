"""The budgets of the target, and the verdict on what a run measured. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from lapispass.lab.scale.samples import Cost, Rates


@dataclass(frozen=True, slots=True)
class Budgets:
    """What a controller may cost for control, and how late it may be."""

    cpu_percent: float = 1.6  # of one core, in phases that last
    memory_mb: float = 64.0
    bytes_per_s: float = 4096.0  # both ways together, in phases that last
    ready_s: float = 30.0  # from a start to the first answer
    withdrawal_s: float = 0.1  # from a drain that is told to the order that takes the server out
    change_s: float = 17.0  # from a change of the list until the last controller has it in force


@dataclass(frozen=True, slots=True)
class Phase:
    """What one phase of a run showed."""

    name: str
    seconds: float
    load_average: float  # of the machine, over the last minute, at the phase's end
    lasts: bool  # the budgets of what goes on all day apply
    controllers: list[Cost]
    hollow: Rates  # all hollow controllers together
    times_s: dict[str, dict[str, float]] = field(default_factory=dict)  # by what was timed, then by whom
    note: str = ""


@dataclass(frozen=True, slots=True)
class Finding:
    """A budget that was passed."""

    phase: str
    whose: str
    what: str
    figure: float
    limit: float
    unit: str

    def __str__(self) -> str:
        return (
            f"{self.phase}: {self.whose}: {self.what} {self.figure:.4g} {self.unit}, "
            f"limit {self.limit:.4g} {self.unit}"
        )


def limits(budgets: Budgets) -> dict[str, float]:
    """The limits on times, by what is timed."""
    return {
        "ready": budgets.ready_s,
        "withdrawal after a drain was told": budgets.withdrawal_s,
        "change in force": budgets.change_s,
    }


def findings(phase: Phase, budgets: Budgets) -> Iterator[Finding]:
    """The budgets that a phase passed."""
    for cost in phase.controllers:
        figures = [("memory", cost.memory_mb, budgets.memory_mb, "MB")]
        if phase.lasts:
            figures += [
                ("processor", cost.cpu_percent, budgets.cpu_percent, "% of a core"),
                ("for control", cost.bytes_per_s, budgets.bytes_per_s, "bytes/s"),
            ]
        for what, figure, limit, unit in figures:
            if figure > limit:
                yield Finding(phase.name, cost.name, what, figure, limit, unit)
    for what, limit in limits(budgets).items():
        for whose, figure in phase.times_s.get(what, {}).items():
            if figure > limit:
                yield Finding(phase.name, whose, what, figure, limit, "s")


def judge(phases: Iterable[Phase], budgets: Budgets) -> list[Finding]:
    """All budgets that were passed; none says that the run has held them."""
    return [finding for phase in phases for finding in findings(phase, budgets)]
