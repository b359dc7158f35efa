"""What a run prints and writes: a line for each phase, one verdict, and the whole as JSON."""

from __future__ import annotations

import subprocess
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import msgspec

from lapispass.lab.scale.budgets import Budgets, Finding, Phase
from lapispass.lab.scale.processes import ROOT
from lapispass.lab.scale.rig import Wanted
from lapispass.lab.scale.size import Bounds, Size
from lapispass.lab.scale.sweep import Fitted
from lapispass.lab.scale.system import Machine, machine


@dataclass(frozen=True, slots=True)
class Run:
    """What was played at one size, and what it took of the machine."""

    size: Size
    processes: int
    memory_mb: float  # the most that all processes of the run had together
    hollow_played: Wanted
    phases: list[Phase]


@dataclass(frozen=True, slots=True)
class Report:
    """All that was measured, and on what."""

    commit: str
    machine: Machine
    seed: int
    budgets: Budgets
    bounds: Bounds
    runs: list[Run]
    fits: list[Fitted]
    findings: list[Finding]
    failures: list[str]  # runs that could not be played to their end


def commit() -> str:
    """The commit that runs, with `+` where files differ from it; empty outside a checkout."""
    try:
        told = subprocess.run(
            ["git", "describe", "--always", "--abbrev=12", "--dirty=+", "--exclude=*"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=10,
            check=True,
        )
    except (OSError, subprocess.SubprocessError):
        return ""
    return told.stdout.strip()


def make(
    seed: int,
    budgets: Budgets,
    bounds: Bounds,
    runs: list[Run],
    fits: list[Fitted],
    findings: list[Finding],
    failures: list[str],
) -> Report:
    return Report(commit(), machine(), seed, budgets, bounds, runs, fits, findings, failures)


def lines(run: Run) -> Iterator[str]:
    """A run as text."""
    for phase in run.phases:
        yield from phase_lines(phase)
    if run.size.hollow:
        yield played(run.hollow_played)
    yield f"{run.processes} processes with at most {run.memory_mb:.0f} MB together"


def phase_lines(phase: Phase) -> Iterator[str]:
    """A phase as text."""
    note = f"; {phase.note}" if phase.note else ""
    yield f"{phase.name}: {phase.seconds:.1f} s, load average {phase.load_average:.1f}{note}"
    for cost in phase.controllers:
        passed = cost.rates
        yield (
            f"  {cost.name}: {cost.cpu_percent:.2f}% of a core, {cost.memory_mb:.1f} MB, "
            f"{cost.bytes_per_s / 1024:.2f} KB/s (reports {passed.report_bytes / 1024:.2f}, "
            f"relay {passed.relay_bytes / 1024:.2f}, registry {passed.registry_bytes / 1024:.2f}, "
            f"probes {passed.probe_bytes / 1024:.2f}); a second: {passed.relay_calls:.2f} calls with "
            f"{passed.orders:.2f} orders, {passed.news:.1f} news, {passed.reports:.1f} reports, "
            f"{passed.probes:.2f} probes, {passed.registry_calls:.3f} calls of the registry"
        )
    hollow = phase.hollow
    if hollow.registry_bytes:
        yield (
            f"  hollow ones together: relay {hollow.relay_bytes / 1024:.0f} KB/s, "
            f"registry {hollow.registry_bytes / 1024:.0f} KB/s; "
            f"a second: {hollow.relay_calls:.1f} calls with {hollow.orders:.1f} orders, "
            f"{hollow.news:.0f} news, {hollow.probes:.1f} probes, "
            f"{hollow.registry_calls:.1f} calls of the registry"
        )
    for what, by_whom in phase.times_s.items():
        worst = max(by_whom, key=lambda whose: by_whom[whose], default="")
        if worst:
            yield f"  {what}: at most {by_whom[worst]:.3f} s ({worst}), {len(by_whom)} timed"


def verdict(told: Report) -> Iterator[str]:
    """One line for each budget that was passed, then the verdict."""
    for finding in told.findings:
        yield f"PASSED OVER: {finding}"
    where = f"commit {told.commit or 'unknown'}, seed {told.seed}"
    if told.failures:
        ended = f"{len(told.failures)} not played to their end"
        yield f"RUN FAILED: {ended}, {len(told.findings)} budgets passed over; {where}"
    elif told.findings:
        yield f"BUDGETS NOT HELD: {len(told.findings)} passed over; {where}"
    else:
        yield f"all budgets held; {where}"


def played(wanted: Wanted) -> str:
    """What of the hollow controllers' work was left out."""
    return (
        f"hollow controllers sent {wanted.probes_played:.0f} of {wanted.probes:.0f} probes and "
        f"{wanted.calls_played:.0f} of {wanted.calls:.0f} calls that real ones would have sent in their place"
    )


def write(path: Path, report: object) -> None:
    """The report as JSON, one object; an OSError where the file cannot be written."""
    path.write_bytes(msgspec.json.encode(report) + b"\n")
