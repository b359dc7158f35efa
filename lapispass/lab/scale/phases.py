"""The phases of a run, one after the other on the same processes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from lapispass.lab.scale import messages as say
from lapispass.lab.scale.course import Course
from lapispass.lab.scale.faults import change, zone
from lapispass.lab.scale.rig import QUIET_SHARE
from lapispass.lab.scale.starting import start

PEAK_S = 10.0  # at most, for requests to stand at their peak before it is measured


async def quiet(course: Course) -> None:
    """Little happens: requests, reports, signs of life."""
    rig = course.rig
    before = await rig.sample()
    await rig.wait(rig.size.seconds, "quiet", course.progress)
    note = f"{QUIET_SHARE * rig.size.requests:g} requests/s, no change of anything"
    await course.note("quiet", before, True, note=note)


async def peak(course: Course) -> None:
    """The most requests, as collectors report them."""
    rig, size = course.rig, course.rig.size
    await rig.relay.ask(say.Requests(size.requests), say.Done)
    await rig.wait(min(PEAK_S, size.seconds), "peak begins", course.progress)
    before = await rig.sample()
    await rig.wait(size.seconds, "peak", course.progress)
    await course.note("peak", before, True, note=f"{size.requests:g} requests/s")
    await rig.relay.ask(say.Requests(size.requests * QUIET_SHARE), say.Done)


Play = Callable[[Course], Awaitable[None]]
ALL: tuple[Play, ...] = (start, quiet, peak, zone, change)
SWEPT: tuple[Play, ...] = (start, quiet, change)
