"""Short runs of two controllers; `two_controllers.py` says how to start the long run by hand."""

from __future__ import annotations

import asyncio
import os
import time
from pathlib import Path

import pytest
from parties import play
from process_times import ProcessTimes
from two_controllers import ANSWER_S, SIZE, WITHDRAWN_US, ZONES, Proxies, play_day

from lapispass.standins.nodes import clock_us


@pytest.mark.parametrize("seed", [1, 4])
def test_two_controllers_keep_rules_and_answers_until_the_kill(tmp_path: Path, seed: int) -> None:
    # No request may be lost or late while servers are replaced all the time.
    async def test() -> None:
        verdict = await play_day(seed, tmp_path, life_s=4.0)
        assert not verdict.breaches, str(verdict)
        assert verdict.answered > 1000 and verdict.figures["moves"] > 5, str(verdict)

    play(test(), 90)


def proxies() -> Proxies:
    made = Proxies(range(0, SIZE.slices, 2))
    made.set_owners(["s-0", "s-1", "s-2", "s-3"])
    return made


def broken(judged: Proxies) -> list[str]:
    return [breach.rule for breach in judged.checker.verdict()]


def test_the_judge_sees_a_server_that_is_not_withdrawn_in_time() -> None:
    async def test() -> None:
        judged, now = proxies(), clock_us()
        judged.check({"s-0": now - WITHDRAWN_US + 100_000}, 0)
        assert not broken(judged)
        late = {"s-0": now - WITHDRAWN_US - 100_000, "s-1": now - WITHDRAWN_US - 100_000}
        judged.check(late, 0)
        assert broken(judged) == [
            "drain"
        ]  # s-1 owns no slice here: only slices with an even number are granted
        judged.check(late, 0)
        assert broken(judged) == ["drain"]

    play(test())


def test_no_time_limit_runs_before_the_start_and_none_for_a_server_that_is_withdrawn() -> None:
    async def test() -> None:
        judged, now = proxies(), clock_us()
        judged.check({"s-0": now - 10 * WITHDRAWN_US}, now)
        assert not broken(judged)
        judged = proxies()
        judged.carry_out(["OUT", "s-2"])
        await asyncio.sleep(3 * ANSWER_S)
        judged.check({"s-2": now - 10 * WITHDRAWN_US}, 0)
        assert not broken(judged)

    play(test())


@pytest.mark.parametrize(
    ("orders", "rules"),
    [
        ([["SET", "4", "s-1", "1.0"]], {"2"}),  # its writes may still be in progress at the previous owner
        ([["LIMIT", "4", "pay", "0.0", "1"]], set()),
        ([["OUT", "s-0"]], set()),
    ],
)
def test_the_judge_sees_writes_at_two_owners(orders: list[list[str]], rules: set[str]) -> None:
    async def test() -> None:
        judged = proxies()
        judged.check({}, 0)
        for order in orders:
            judged.carry_out(order)
            for zone in ZONES:
                judged.apply(zone)
        judged.check({}, 0)
        assert set(broken(judged)) == rules
        for zone in ZONES:  # orders for the timers that are still set
            judged.under_way[zone].extend([["SYNC", "0", "1"]] * len(orders))

    play(test())


def test_time_that_the_judge_was_late_is_told_apart() -> None:
    async def test() -> None:
        times = ProcessTimes(os.getpid())
        running = asyncio.create_task(times.run())
        await asyncio.sleep(0.1)
        begun = asyncio.get_running_loop().time()
        time.sleep(0.2)  # noqa: ASYNC251
        spent = times.since(begun)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        assert 0.1 < spent.observer_late_s < 1.0, spent
        assert spent.ran_s < 0.15, spent

    play(test())
