"""Rule 2 holds on a real controller process with failing system calls, clock steps and pauses."""

from __future__ import annotations

import asyncio
import errno
import random
import signal
from pathlib import Path

import pytest
from faulty_process import SHORT, Call, Controller, controller
from parties import MEMBER, SMALL_DEPLOYMENT
from rule_world import RELAY_FAULTS, Roll, World, comes_right

SLICES, PROXIES = 8, 4
DAY_S = 8.0
SETTINGS = {
    "discovery": "subscribe",
    "period-us": 5000,
    "zones": ["a", "b"],
    "grades": [
        {"name": "look", "target-us": 1_500_000, "hard-limit-us": 5_000_000, "worth": 1.0},
        {"name": "pay", "target-us": 2_000_000, "hard-limit-us": 4_000_000, "worth": 3.0},
    ],
    "extra": {
        "data-plane-size": PROXIES,
        "key-ranges": SLICES,
        "one-owner": True,
        "class-writes": [False, True],
        "admit": "fraction",
        "lease-us": SMALL_DEPLOYMENT.lease_us,
        "lingers-us": SMALL_DEPLOYMENT.linger_us,
        "blackhole-us": 14_000_000,
        "lines-per-s": 9000.0,
        "fixed-cost": 12.0,
        "queue-cap": 14000.0,
        "pushes-allowed": 1000,
        "update-window-us": 10_000_000,
        "report-every-us": 1_000_000,
        "usual-how": 1,
    },
    "limits": {"probes": False},
    "rules": {"cold-us": 1, "start-capacity": 0.2, "fall-multiple": 2.5},
}
CONNECTION_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)
CALL_FAULTS = (
    *((Call.SOCKET, error) for error in (errno.ENFILE, errno.ENOBUFS)),
    *((Call.CONNECT, error) for error in (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EINTR, errno.EAGAIN)),
    *((Call.SEND, error) for error in (SHORT, errno.EINTR, errno.EAGAIN, errno.EPIPE, *CONNECTION_ERRORS)),
    *((Call.RECEIVE, error) for error in (SHORT, errno.EINTR, errno.EAGAIN, *CONNECTION_ERRORS)),
    (Call.WAIT, errno.EINTR),
)


async def inject_trouble(running: Controller, world: World, roll: Roll, chance: random.Random) -> None:
    """Picks one at random: a proxy leaves or joins, a fault is injected, or the registry changes."""
    match chance.randrange(10):
        case 0 | 1:
            world.leave(chance.randrange(PROXIES))
        case 2 | 3:
            world.join(chance.randrange(PROXIES))
        case 4:
            world.faults.append(chance.choice(RELAY_FAULTS))
        case 5:
            running.faults.step_clock(chance.choice((0, 5, -5, 3600, -3600)))
        case 6 if chance.random() < 0.3:
            running.signal(signal.SIGSTOP)
            await asyncio.sleep(chance.uniform(0.05, 0.3))
            running.signal(signal.SIGCONT)
        case 7:
            call, error = chance.choice(CALL_FAULTS)
            running.faults.set(
                call, error, times=chance.randint(1, 30), thousandths=chance.choice((100, 500))
            )
        case _:
            roll.change(chance)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.time_limit(100)
async def test_rule_2_holds_on_a_process_whose_calls_fail(tmp_path: Path, seed: int) -> None:
    world, roll = World(seed, SLICES, PROXIES), Roll()
    members = [{**MEMBER, "id": f"s-{number}"} for number in range(3)]
    arguments = {"settings": SETTINGS, "members": members, "relay": world, "registry": roll}
    async with controller(tmp_path, **arguments) as running:
        start = world.loop.time()
        # A slow machine gets more time, until more than 3 slices have moved, as the assertion below requires.
        while not world.broken and (
            (elapsed := world.loop.time() - start) < DAY_S or (world.moves <= 3 and elapsed < 60)
        ):
            await inject_trouble(running, world, roll, world.chance)
            await asyncio.sleep(world.chance.uniform(0.01, 0.08))
            world.look()
        assert not world.broken, (world.broken, running.lines)
        assert world.moves > 3, running.lines
        world.faults.clear()
        for call in Call:
            running.faults.clear(call)
        await comes_right(world, roll)
        running.signal(signal.SIGTERM)
        assert await running.wait_for_exit() == 0
        assert not [line for line in running.lines if "trace=" in line]
