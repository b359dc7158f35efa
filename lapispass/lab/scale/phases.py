"""The phases of a run, one after the other on the same processes."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

from lapispass.lab.scale import messages as say
from lapispass.lab.scale.budgets import Budgets, Phase
from lapispass.lab.scale.processes import RunFailed
from lapispass.lab.scale.rig import QUIET_SHARE, Rig
from lapispass.lab.scale.samples import HOLLOW, Sample, costs, rates

PLACED_S = 60.0  # within which real controllers give every slice an owner
SETTLED_S = 60.0  # the longest wait for probes to become few after a start
CALM_S = 2  # seconds in a row with few
FEW = 0.1  # of the probes of the busiest second
POLL_S = 0.1
SECOND_US = 1_000_000
LAST_HOLLOW = "the last hollow controller"
PEAK_S = 10.0  # at most, for requests to stand at their peak before it is measured
GONE_S = 2.0  # from the loss of a zone until the list tells
AWAY_S = 10.0  # the longest that a zone is away
HOUR_S = 3600.0  # that it would be away on a day
BACK_S = 15.0  # the longest that the phase goes on once it is back
AFTER_S = 5.0  # for which a change's cost is measured once all have it, at most
LATE_S = 3.0  # beyond its budget, for which a change is waited for


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


async def unmoved(course: Course) -> None:
    """Returns when real controllers have moved no slice for a while, so that what follows is told apart."""
    rig, calm_s, until = course.rig, 0, time.monotonic() + SETTLED_S
    last = moves(await rig.sample())
    while calm_s < CALM_S and time.monotonic() < until:
        await rig.wait(1.0, "until slices stay where they are", course.progress)
        now = moves(await rig.sample())
        calm_s, last = calm_s + 1 if now == last else 0, now


def moves(sample: Sample) -> int:
    """Steps of slices that real controllers published since the start."""
    of_real = [sample.orders.get(name, {}) for name in sample.controllers]
    return sum(orders.get("SET", 0) + orders.get("DEL", 0) for orders in of_real)


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


async def zone(course: Course) -> None:
    """A zone is lost, with servers that real controllers use, and comes back cold."""
    rig, size = course.rig, course.rig.size
    owned = await owned_by_real(rig)
    lost = rig.members[owned[size.real_names[0]][0]].locality
    names = [name for name, member in rig.members.items() if member.locality == lost]
    struck = {
        client: here[0] for client, servers in owned.items() if (here := [s for s in servers if s in names])
    }
    away_s, back_s = min(AWAY_S, size.seconds), min(BACK_S, 2 * size.seconds)
    before = await rig.sample()
    began = time.monotonic()
    await rig.watch_left(struck)
    await rig.lose_zone(lost, names, True)
    await rig.wait(min(GONE_S, away_s / 2), f"{lost} is lost", course.progress)
    await rig.change([replace(rig.members[name], phase="Gone") for name in names])
    await rig.wait(away_s - (time.monotonic() - began), f"{lost} is lost", course.progress)
    await rig.lose_zone(lost, names, False)
    started_ms = int(time.time() * 1000)
    await rig.change([replace(rig.members[name], up_since_ms=started_ms) for name in names])
    await rig.wait(back_s, f"{lost} is back cold", course.progress)
    left, until = await rig.left(), time.monotonic()
    times_s = {client: left.get(client, until) - began for client in struck}
    unheard = f"; {len(struck) - len(left)} have not withdrawn by its end" if len(left) < len(struck) else ""
    await course.note(
        "zone",
        before,
        False,
        {"withdrawal after a zone was lost": times_s},
        f"{len(names)} servers away for {away_s:g} s: an hour, {HOUR_S / away_s:.0f} times faster{unheard}",
    )


async def change(course: Course) -> None:
    """One change of the list: a server of each real controller drains."""
    rig, limit_s = course.rig, course.budgets.change_s + LATE_S
    await unmoved(course)
    before = await rig.sample()
    drains = {client: servers[0] for client, servers in (await owned_by_real(rig)).items()}
    await rig.watch_left(drains)
    told = await rig.change(
        [replace(rig.members[name], phase="Terminating") for name in sorted(set(drains.values()))]
    )
    began = told.at_us / SECOND_US
    left: dict[str, float] = {}
    heard = say.Moments(0, 0)
    while time.monotonic() - began < limit_s:
        left = await rig.left()
        heard = await rig.moments(say.AskHeard(told.revision))
        if len(left) == len(drains) and heard.count == rig.size.hollow:
            break
        course.progress(
            f"change: {len(left)} of {len(drains)} real, {heard.count} hollow controllers have it"
        )
        rig.check_bounds()
        await asyncio.sleep(POLL_S)
    until = time.monotonic()
    await rig.wait(min(AFTER_S, rig.size.seconds), "change: what follows", course.progress)
    drained = {client: left.get(client, until) - began for client in drains}
    in_force = dict(drained)
    if rig.size.hollow:
        last = heard.last_us / SECOND_US if heard.count == rig.size.hollow else until
        in_force[LAST_HOLLOW] = last - began
    await course.note(
        "change",
        before,
        False,
        {"withdrawal after a drain was told": drained, "change in force": in_force},
        f"{len(set(drains.values()))} servers drain; a hollow controller has it once it has heard it",
    )


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


Play = Callable[[Course], Awaitable[None]]
ALL: tuple[Play, ...] = (start, quiet, peak, zone, change)
SWEPT: tuple[Play, ...] = (start, quiet, change)
