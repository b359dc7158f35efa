"""The phase in which all controllers start at once."""

from __future__ import annotations

import asyncio
import time

from lapispass.lab.scale import messages as say
from lapispass.lab.scale.course import LAST_HOLLOW, LATE_S, POLL_S, SECOND_US, Course
from lapispass.lab.scale.processes import RunFailed

PLACED_S = 60.0  # within which real controllers give every slice an owner
SETTLED_S = 60.0  # the longest wait for probes to become few
CALM_S = 2  # seconds in a row with few
FEW = 0.1  # of the probes of the busiest second


async def start(course: Course) -> None:
    """All start at once; it ends when every slice has an owner and probes have become few."""
    rig = course.rig
    before = await rig.sample()
    began = time.monotonic()
    await rig.begin_hollow()
    await rig.start_controllers()
    ready = await rig.ready(course.budgets.ready_s)
    if rig.size.hollow:
        ready[LAST_HOLLOW] = await all_stand(course, began)
    rig.follow()
    placed = await all_placed(course, began)
    probed = await settled(course)
    note = f"{probed} of {rig.size.servers} servers probed"
    await course.note("start", before, False, {"ready": ready, "all slices placed": placed}, note)


async def all_stand(course: Course, began: float) -> float:
    """Seconds until the last hollow controller held its watch and its news."""
    rig = course.rig
    while (stand := await rig.moments(say.AskStanding())).count < rig.size.hollow:
        if time.monotonic() - began > course.budgets.ready_s + LATE_S:
            raise RunFailed(f"hollow controllers: {stand.count} of {rig.size.hollow} stand")
        course.progress(f"start: {stand.count} of {rig.size.hollow} hollow controllers stand")
        rig.check_bounds()
        await asyncio.sleep(POLL_S)
    return stand.last_us / SECOND_US - began


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


async def settled(course: Course) -> int:
    """Returns when probes by real controllers have become few, or after a while: the servers probed."""
    rig, most, quiet_s, until = course.rig, 1, 0, time.monotonic() + SETTLED_S
    last = await rig.sample()
    while quiet_s < CALM_S and last.servers_probed < rig.size.servers and time.monotonic() < until:
        await rig.wait(1.0, "start: until probes become few", course.progress)
        sample = await rig.sample()
        came = sample.real_probes.probes - last.real_probes.probes
        most, last = max(most, came), sample
        quiet_s = quiet_s + 1 if came <= max(1, FEW * most) else 0
    return last.servers_probed
