"""Rule 2 on sockets, checked by a simple model, while connections fail or controllers end."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace

import pytest
from parties import SMALL_DEPLOYMENT, launch, running, until
from rule_world import RELAY_FAULTS, Roll, World, comes_right, is_right

from lapispass.net.service import Service

SLICES, PROXIES = 8, 4
DEPLOYMENT = replace(
    SMALL_DEPLOYMENT,
    slices=SLICES,
    proxies=PROXIES,
    probes_allowed=False,
    subscribes_to_registry=True,
    cold_us=1,
)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.time_limit(90)
async def test_rule_2_holds_and_all_comes_right_while_everything_fails(seed: int) -> None:
    async with World(seed, SLICES, PROXIES) as world, Roll() as roll:
        chance = world.chance
        service = Service(launch(world.address, roll.address, deployment=DEPLOYMENT))
        async with running(service.run()) as task:
            started_at = world.loop.time()
            # For 4 s; on a slow machine longer, until enough slices have moved for the assertion below.
            while not world.broken and (
                (elapsed := world.loop.time() - started_at) < 4 or (world.moves <= 3 and elapsed < 60)
            ):
                match chance.randrange(8):
                    case 0 | 1:
                        world.leave(chance.randrange(PROXIES))
                    case 2 | 3:
                        world.join(chance.randrange(PROXIES))
                    case 4:
                        world.faults.append(chance.choice(RELAY_FAULTS))
                    case 5 if chance.random() < 0.4:
                        (world if chance.random() < 0.7 else roll).reset()
                    case 5 if chance.random() < 0.2:
                        # This simulates a process that is paused, so the event loop must block here.
                        time.sleep(chance.uniform(0.05, 0.3))  # noqa: ASYNC251
                    case 6 | 7:
                        roll.change(chance)
                await asyncio.sleep(chance.uniform(0.01, 0.08))
                world.look()
            assert not world.broken, world.broken
            assert not task.done() and world.moves > 3
            world.faults.clear()
            await comes_right(world, roll)


@pytest.mark.parametrize("seed", [11, 12, 13])
@pytest.mark.time_limit(90)
async def test_rule_2_holds_while_controllers_end_at_any_instant_and_others_take_over(seed: int) -> None:
    async with World(seed, SLICES, PROXIES) as world, Roll() as roll:
        chance = world.chance
        started_at, incarnation = world.loop.time(), 0
        # For 4 s; on a slow machine longer, until enough controllers have run for the assertion below.
        while not world.broken and (
            (elapsed := world.loop.time() - started_at) < 4 or (incarnation <= 3 and elapsed < 60)
        ):
            incarnation += 1
            service = Service(
                launch(
                    world.address, roll.address, deployment=DEPLOYMENT, seed=seed * 1000 + incarnation * 7919
                )
            )
            task = asyncio.create_task(service.run())
            ends_at = world.loop.time() + chance.uniform(0.05, 0.9)
            while world.loop.time() < ends_at and not world.broken:
                if chance.random() < 0.3:
                    roll.change(chance)
                if chance.random() < 0.2:
                    world.faults.append(chance.choice(("reset after", "silent after", "unreadable")))
                await asyncio.sleep(chance.uniform(0.005, 0.05))
                world.look()
            service.stop()
            await asyncio.wait_for(task, 2)
            world.out_of_touch()
            assert not world.broken, world.broken
        world.faults.clear()
        async with running(
            Service(launch(world.address, roll.address, deployment=DEPLOYMENT, seed=seed)).run()
        ):
            await until(lambda: is_right(world, roll))
        assert not world.broken and incarnation > 3
