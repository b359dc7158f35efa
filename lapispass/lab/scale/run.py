"""A whole run: its phases, its report and its verdict."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
from collections.abc import Callable, Sequence
from pathlib import Path

from lapispass.lab.scale import phases, report
from lapispass.lab.scale.budgets import Budgets, judge
from lapispass.lab.scale.processes import CONTROLLER, RunFailed
from lapispass.lab.scale.rig import Rig
from lapispass.lab.scale.size import BadSize, Bounds, Size

HELD, PASSED, BAD_ARGUMENTS = 0, 1, 2
LINE_WIDTH = 78


def progress(text: str) -> None:
    """One line that is written over, where somebody watches."""
    if sys.stderr.isatty():
        print(f"\r{text[:LINE_WIDTH]:<{LINE_WIDTH}}", end="", file=sys.stderr, flush=True)


async def play(
    size: Size, budgets: Budgets, bounds: Bounds, command: Sequence[str], folder: Path
) -> report.Report:
    """Plays all phases; every process has ended when it returns, however it does."""
    rig = Rig(size, bounds, folder, command)
    course = phases.Course(rig, budgets, progress)
    this = asyncio.current_task()
    assert this is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this.cancel)
    try:
        await rig.open()
        for phase in phases.ALL:
            await phase(course)
        found = judge(course.phases, budgets)
        count = len(rig.processes()) + 1
        return report.make(size, budgets, bounds, count, rig.memory_most_mb, rig.wanted, course.phases, found)
    finally:
        await rig.close()


def main(
    size: Size,
    json_file: Path | None = None,
    budgets: Budgets = Budgets(),
    bounds: Bounds = Bounds(),
    command: Sequence[str] = CONTROLLER,
    say: Callable[[str], None] = print,
) -> int:
    """Plays a run; the status: 0 all budgets held, 1 one passed or the run failed, 2 bad arguments."""
    try:
        size.check()
    except BadSize as error:
        say(str(error))
        return BAD_ARGUMENTS
    if json_file is not None and not json_file.absolute().parent.is_dir():
        say(f"--json {json_file}: no such folder")
        return BAD_ARGUMENTS
    try:
        with tempfile.TemporaryDirectory(prefix="lapispass-scale-") as folder:
            told = asyncio.run(play(size, budgets, bounds, command, Path(folder)))
    except RunFailed as error:
        say(f"RUN FAILED: {error}")
        return PASSED
    except asyncio.CancelledError:
        say("RUN FAILED: ended by a signal")
        return PASSED
    for phase in told.phases:
        for line in report.lines(phase):
            say(line)
    if size.hollow:
        say(report.played(told))
    say(f"{told.processes} processes with {told.memory_mb:.0f} MB; commit {told.commit}, seed {size.seed}")
    if json_file is not None:
        report.write(json_file, told)
    for line in report.verdict(told.findings):
        say(line)
    return PASSED if told.findings else HELD
