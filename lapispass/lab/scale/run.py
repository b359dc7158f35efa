"""A whole run or a sweep of runs: what is played, reported and judged."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from pathlib import Path

from lapispass.lab.scale import phases, report, sweep
from lapispass.lab.scale.budgets import Budgets, judge
from lapispass.lab.scale.course import Course
from lapispass.lab.scale.processes import CONTROLLER, RunFailed
from lapispass.lab.scale.rig import Rig
from lapispass.lab.scale.size import BadSize, Bounds, Size

HELD, PASSED, BAD_ARGUMENTS = 0, 1, 2
LINE_WIDTH = 78
SELDOM_S = 30.0  # between lines of progress where nobody watches

Say = Callable[[str], None]


class Progress:
    """One line that is written over where somebody watches, and else a line now and then."""

    def __init__(self) -> None:
        self.watched, self.next_s = sys.stderr.isatty(), time.monotonic() + SELDOM_S

    def __call__(self, text: str) -> None:
        if self.watched:
            print(f"\r{text[:LINE_WIDTH]:<{LINE_WIDTH}}", end="", file=sys.stderr, flush=True)
        elif time.monotonic() >= self.next_s:
            self.next_s = time.monotonic() + SELDOM_S
            print(text, file=sys.stderr, flush=True)

    def clear(self) -> None:
        """Makes room for what is said next."""
        if self.watched:
            print(f"\r{'':<{LINE_WIDTH}}\r", end="", file=sys.stderr, flush=True)


def say_at_once(text: str) -> None:
    print(text, flush=True)


def end_with(task: asyncio.Task[None] | None) -> None:
    """SIGTERM ends the run in order: every process it started is ended first."""
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)


async def play(
    size: Size, budgets: Budgets, bounds: Bounds, command: Sequence[str], which: Sequence[phases.Play]
) -> report.Run:
    """Plays phases; every process has ended when it returns, however it does."""
    with tempfile.TemporaryDirectory(prefix="lapispass-scale-") as folder:
        rig = Rig(size, bounds, Path(folder), command)
        progress = Progress()
        course = Course(rig, budgets, progress)
        try:
            await rig.open()
            for phase in which:
                await phase(course)
            count = len(rig.processes()) + 1
            return report.Run(size, count, rig.memory_most_mb, rig.wanted, course.phases)
        finally:
            progress.clear()
            await rig.close()


class Plan:
    """What is asked of a run."""

    def __init__(
        self, size: Size, budgets: Budgets, bounds: Bounds, command: Sequence[str], say: Say
    ) -> None:
        self.size, self.budgets, self.bounds, self.command, self.say = size, budgets, bounds, command, say
        self.runs: list[report.Run] = []
        self.fits: list[sweep.Fitted] = []
        self.failures: list[str] = []

    async def one(self) -> None:
        """All phases at one size."""
        end_with(asyncio.current_task())
        await self.play(self.size, phases.ALL)

    async def several(self, counts: sweep.Counts) -> None:
        """Start, quiet and a change at each size of a sweep; a size that comes twice is played once."""
        end_with(asyncio.current_task())
        known: dict[Size, report.Run | None] = {}
        played = []
        for step in sweep.steps(self.size, counts):
            if step.size not in known:
                self.say(f"{step.count} {step.varies}:")
                known[step.size] = await self.play(step.size, phases.SWEPT)
            if run := known[step.size]:
                played.append((step, run.phases))
        self.fits = sweep.fits(played)

    async def play(self, size: Size, which: Sequence[phases.Play]) -> report.Run | None:
        """Plays one size and tells what it showed; a failure is told and kept, and the others go on."""
        try:
            run = await play(size, self.budgets, self.bounds, self.command, which)
        except RunFailed as error:
            self.failures.append(f"{error} ({size.servers} servers, {size.proxies} proxies)")
            self.say(f"RUN FAILED: {self.failures[-1]}")
            return None
        for line in report.lines(run):
            self.say(line)
        self.runs.append(run)
        return run

    def report(self) -> report.Report:
        found = [
            replace(
                finding, whose=f"{finding.whose} ({run.size.servers} servers, {run.size.proxies} proxies)"
            )
            for run in self.runs
            for finding in judge(run.phases, self.budgets)
        ]
        return report.make(
            self.size.seed, self.budgets, self.bounds, self.runs, self.fits, found, self.failures
        )


def check(size: Size, json_file: Path | None, counts: sweep.Counts | None) -> None:
    """Raises `BadSize` for what makes no sense, before anything is started."""
    size.check()
    for step in sweep.steps(size, counts) if counts else ():
        step.size.check()
    if json_file is not None and not json_file.absolute().parent.is_dir():
        raise BadSize(f"--json {json_file}: no such folder")


def main(
    size: Size,
    json_file: Path | None = None,
    budgets: Budgets = Budgets(),
    bounds: Bounds = Bounds(),
    command: Sequence[str] = CONTROLLER,
    say: Say = say_at_once,
    counts: sweep.Counts | None = None,
) -> int:
    """Plays a run, or a sweep over `counts`.

    The status: 0 all budgets held, 1 one passed or the run failed, 2 bad arguments.
    """
    try:
        check(size, json_file, counts)
    except BadSize as error:
        say(str(error))
        return BAD_ARGUMENTS
    plan = Plan(size, budgets, bounds, command, say)
    try:
        asyncio.run(plan.several(counts) if counts else plan.one())
    except asyncio.CancelledError:
        say("RUN FAILED: ended by a signal")
        return PASSED
    told = plan.report()
    for fitted in told.fits:
        say(str(fitted))
    if json_file is not None:
        report.write(json_file, told)
    for line in report.verdict(told):
        say(line)
    return PASSED if told.findings or told.failures else HELD
