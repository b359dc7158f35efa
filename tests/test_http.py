"""Time-outs of connections, in particular results that arrive just as they are no longer awaited."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace

import pytest
from fleet import MS, SECOND
from parties import QUICK, HeldDials, LoopbackServer, silent, until

from lapispass.net.http import Dialer, HttpConnection, within
from lapispass.net.limits import Limits


async def test_what_came_up_in_the_instant_in_which_its_waiter_is_ended_is_handed_back() -> None:
    gate, unwanted = asyncio.Event(), []

    async def work() -> str:
        await gate.wait()
        return "connection"

    waiter = asyncio.create_task(within(10 * SECOND, work(), 0, unwanted.append))
    await asyncio.sleep(0.01)
    gate.set()
    await asyncio.sleep(0)  # the work is done, but its waiter has not resumed yet
    waiter.cancel()
    await asyncio.gather(waiter, return_exceptions=True)
    assert waiter.cancelled() and unwanted == ["connection"]


@pytest.mark.parametrize("ends", ["cancelled", "timed out"])
async def test_a_dial_that_ends_after_any_number_of_steps_leaves_no_connection(ends: str) -> None:
    async with LoopbackServer(silent) as server:
        for steps in range(12):
            limits = replace(QUICK, late_us=0)
            dial = asyncio.create_task(
                HttpConnection.open(server.address, limits, 1 if ends == "timed out" else SECOND)
            )
            for _ in range(steps):
                await asyncio.sleep(0)
            if ends == "cancelled":
                dial.cancel()
            (found,) = await asyncio.gather(dial, return_exceptions=True)
            if isinstance(found, HttpConnection):
                found.close()
        await until(lambda: all(task.done() for task in server.tasks))  # our side has closed each of them


async def test_dials_that_take_just_over_their_limit_come_up_and_quick_ones_set_it_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    held = HeldDials(monkeypatch)
    async with LoopbackServer(silent) as server:
        dialer = Dialer(replace(QUICK, connect_us=40 * MS, connect_max_us=160 * MS, late_us=0))
        dial = HttpConnection._dial

        async def slow_dial(address: str, limits: Limits) -> HttpConnection:
            await asyncio.sleep(0.06)
            return await dial(address, limits)

        HttpConnection._dial = slow_dial  # restored by `monkeypatch`
        with pytest.raises(TimeoutError):
            await dialer.open(server.address)
        (await dialer.open(server.address)).close()
        assert dialer.wait_us == 80 * MS
        HttpConnection._dial = dial
        (await dialer.open(server.address)).close()
        assert dialer.wait_us == 40 * MS
        held.gates[server.address] = asyncio.Event()
        for wait_ms in (80, 160, 40, 80):
            with pytest.raises(TimeoutError):
                await dialer.open(server.address)
            assert dialer.wait_us == wait_ms * MS


async def test_standing_still_is_not_taken_for_the_peers_silence() -> None:
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    task = asyncio.create_task(within(20 * MS, reader.readexactly(6), 50 * MS))
    await asyncio.sleep(0)
    loop.call_later(0.001, time.sleep, 0.1)  # the process is stalled
    loop.call_later(0.1, reader.feed_data, b"answer")
    assert await task == b"answer"
    with pytest.raises(TimeoutError):
        await within(20 * MS, reader.readexactly(6), 50 * MS)
