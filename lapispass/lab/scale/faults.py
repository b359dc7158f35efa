"""The phases in which something happens: a zone that is lost, and a change of the list."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field, replace

from lapispass.lab.scale import messages as say
from lapispass.lab.scale.course import LAST_HOLLOW, LATE_S, POLL_S, SECOND_US, Course
from lapispass.lab.scale.processes import RunFailed
from lapispass.lab.scale.rig import Rig
from lapispass.lab.scale.samples import Sample

CALM_S = 2  # seconds in a row without a step of a slice, before a change
CALM_MOST_S = 60.0  # the longest wait for them
GONE_S = 2.0  # from the loss of a zone until the list tells
AWAY_S = 10.0  # the longest that a zone is away
HOUR_S = 3600.0  # that it would be away on a day
BACK_S = 15.0  # the longest that the phase goes on once it is back
AFTER_S = 5.0  # for which a change's cost is measured once all have it, at most


async def owned_by_real(rig: Rig) -> dict[str, list[str]]:
    """The servers that own slices of each real controller, in the order of the slices."""
    owners = await rig.owners()
    found = {
        name: [owners[each] for each in rig.size.charge(number) if each in owners]
        for number, name in enumerate(rig.size.real_names)
    }
    if missing := [name for name, servers in found.items() if not servers]:
        raise RunFailed(f"controller {missing[0]}: none of its slices has an owner")
    return found


def first_in(servers: list[str], some: set[str]) -> str | None:
    return next((server for server in servers if server in some), None)


async def zone(course: Course) -> None:
    """A zone is lost, with servers that real controllers use, and comes back cold."""
    rig, size = course.rig, course.rig.size
    owned = await owned_by_real(rig)
    lost = rig.members[owned[size.real_names[0]][0]].locality
    names = [name for name, member in rig.members.items() if member.locality == lost]
    struck = {
        client: server for client, servers in owned.items() if (server := first_in(servers, set(names)))
    }
    before = await rig.sample()
    began = time.monotonic_ns() // 1000
    await rig.watch_left(struck)
    await away(course, lost, names)
    await rig.wait(min(BACK_S, 2 * size.seconds), f"{lost} is back cold", course.progress)
    left, until = (await rig.left()).left_us, time.monotonic_ns() // 1000
    times_s = {client: (left.get(client, until) - began) / SECOND_US for client in struck}
    await course.note(
        "zone",
        before,
        False,
        {"withdrawal after a zone was lost": times_s},
        zone_note(len(names), away_s(course), len(struck) - len(left)),
    )


def away_s(course: Course) -> float:
    """For how long a zone is away, in seconds."""
    return min(AWAY_S, course.rig.size.seconds)


async def away(course: Course, zone: str, names: list[str]) -> None:
    """A zone is cut off; the list tells a little later that its servers are gone, then that they are back."""
    rig, gone_s = course.rig, min(GONE_S, away_s(course) / 2)
    await rig.lose_zone(zone, names, True)
    await rig.wait(gone_s, f"{zone} is lost", course.progress)
    await rig.change([replace(rig.members[name], phase="Gone") for name in names])
    await rig.wait(away_s(course) - gone_s, f"{zone} is lost", course.progress)
    await rig.lose_zone(zone, names, False)
    started_ms = int(time.time() * 1000)
    await rig.change([replace(rig.members[name], up_since_ms=started_ms) for name in names])


def zone_note(servers: int, seconds: float, still: int) -> str:
    """What was played of a zone's loss, and how many controllers were not done with it by the phase's end."""
    note = f"{servers} servers away for {seconds:g} s: an hour, {HOUR_S / seconds:.0f} times faster"
    return f"{note}; {still} controllers had not withdrawn by its end" if still else note


async def unmoved(course: Course) -> None:
    """Returns when real controllers have moved no slice for a while, so that what follows is told apart."""
    rig, calm_s, until = course.rig, 0, time.monotonic() + CALM_MOST_S
    last = moves(await rig.sample())
    while calm_s < CALM_S and time.monotonic() < until:
        await rig.wait(1.0, "until slices stay where they are", course.progress)
        now = moves(await rig.sample())
        calm_s, last = calm_s + 1 if now == last else 0, now


def moves(sample: Sample) -> int:
    """Steps of slices that real controllers published since the start."""
    of_real = [sample.orders.get(name, {}) for name in sample.controllers]
    return sum(orders.get("SET", 0) + orders.get("DEL", 0) for orders in of_real)


@dataclass
class Reached:
    """How far a change of the list has come."""

    left: say.Left = field(default_factory=lambda: say.Left({}, {}))
    heard: say.Moments = field(default_factory=lambda: say.Moments(0, 0))

    def all(self, real: int, hollow: int) -> bool:
        return len(self.left.owned_us) == real and self.heard.count == hollow


async def change(course: Course) -> None:
    """One change of the list: a server of each real controller drains."""
    rig = course.rig
    await unmoved(course)
    before = await rig.sample()
    drains = {client: servers[0] for client, servers in (await owned_by_real(rig)).items()}
    await rig.watch_left(drains)
    some = sorted(set(drains.values()))
    told = await rig.change([replace(rig.members[name], phase="Terminating") for name in some])
    reached = await spread(course, told, len(drains))
    until_us = time.monotonic_ns() // 1000
    await rig.wait(min(AFTER_S, rig.size.seconds), "change: what follows", course.progress)

    def since_s(at_us: int) -> float:
        return (at_us - told.at_us) / SECOND_US

    drained = {client: since_s(reached.left.left_us.get(client, until_us)) for client in drains}
    in_force = {client: since_s(reached.left.owned_us.get(client, until_us)) for client in drains}
    if rig.size.hollow:
        everyone = reached.heard.count == rig.size.hollow
        in_force[LAST_HOLLOW] = since_s(reached.heard.last_us if everyone else until_us)
    await course.note(
        "change",
        before,
        False,
        {"withdrawal after a drain was told": drained, "change in force": in_force},
        f"{len(some)} servers drain; in force once new owners stand, at a hollow controller once it is heard",
    )


async def spread(course: Course, told: say.Told, drains: int) -> Reached:
    """Waits until a change is in force everywhere, or a little longer than it may take."""
    rig, reached = course.rig, Reached()
    limit_us = told.at_us + int((course.budgets.change_s + LATE_S) * SECOND_US)
    while time.monotonic_ns() // 1000 < limit_us:
        reached = Reached(await rig.left(), await rig.moments(say.AskHeard(told.revision)))
        if reached.all(drains, rig.size.hollow):
            break
        done = f"{len(reached.left.owned_us)} real and {reached.heard.count} hollow controllers"
        course.progress(f"change: {done} have it")
        rig.check_bounds()
        await asyncio.sleep(POLL_S)
    return reached
