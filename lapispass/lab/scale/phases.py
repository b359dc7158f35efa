"""The phases of a run, one after the other on the same processes."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from lapispass.lab.scale.budgets import Budgets, Phase
from lapispass.lab.scale.processes import RunFailed
from lapispass.lab.scale.rig import Rig
from lapispass.lab.scale.samples import HOLLOW, Sample, costs, rates

PLACED_S = 60.0  # within which real controllers give every slice an owner
SETTLED_S = 30.0  # the longest wait for probes to become few after a start
FEW = 0.1  # of the probes of the busiest second
POLL_S = 0.1
QUIET_SHARE = 0.25  # of the peak's requests


@dataclass
class Course:
    """A run on its way."""

    rig: Rig
    budgets: Budgets
    progress: Callable[[str], None]
    phases: list[Phase] = field(default_factory=list)

    async def note(
        self,
        name: str,
        before: Sample,
        lasts: bool,
        times_s: dict[str, dict[str, float]] | None = None,
        note: str = "",
    ) -> Phase:
        """Ends a phase: what it cost since the sample at its beginning."""
        after = await self.rig.sample()
        phase = Phase(
            name,
            after.at_s - before.at_s,
            os.getloadavg()[0],
            lasts,
            costs(before, after),
            rates(before, after, HOLLOW, 1),
            times_s or {},
            note,
        )
        self.phases.append(phase)
        return phase


async def start(course: Course) -> None:
    """All start at once; it ends when every slice has an owner and probes have become few."""
    rig = course.rig
    before = await rig.sample()
    began = time.monotonic()
    await rig.start_controllers()
    ready = await rig.ready(course.budgets.ready_s)
    placed = await all_placed(course, began)
    await settled(course)
    await course.note("start", before, False, {"ready": ready, "placed": placed})


async def all_placed(course: Course, began: float) -> dict[str, float]:
    """Seconds until the store holds an owner for every slice of each real controller."""
    rig, placed = course.rig, dict[str, float]()
    while len(placed) < rig.size.real:
        owners = await rig.owners()
        since_s = time.monotonic() - began
        for number, name in enumerate(rig.size.real_names):
            missing = [each for each in rig.size.charge(number) if each not in owners]
            if not missing:
                placed.setdefault(name, since_s)
            elif since_s > PLACED_S:
                what = f"{len(missing)} of {rig.size.held} slices have no owner"
                raise RunFailed(f"controller {name}: {what} after {PLACED_S:g} s")
        course.progress(f"start: {len(placed)} of {rig.size.real} controllers have placed their slices")
        rig.check_bounds()
        await asyncio.sleep(POLL_S)
    return placed


async def settled(course: Course) -> None:
    """Returns when probes by real controllers have become few, or after a while."""
    rig, most, until = course.rig, 1, time.monotonic() + SETTLED_S
    last = (await rig.sample()).real_probes.probes
    while time.monotonic() < until:
        await rig.wait(1.0, "start: until probes become few", course.progress)
        probes = (await rig.sample()).real_probes.probes
        most = max(most, probes - last)
        if probes - last <= max(1, FEW * most):
            return
        last = probes


async def quiet(course: Course) -> None:
    """Little happens: requests, reports, signs of life."""
    rig = course.rig
    before = await rig.sample()
    await rig.wait(rig.size.seconds, "quiet", course.progress)
    await course.note(
        "quiet", before, True, note=f"{QUIET_SHARE:g} of the peak's requests, no change of anything"
    )
