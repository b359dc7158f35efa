"""Figures of an interval: counted from events and orders, and measured and logged by a real process."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from faulty_process import controller

from lapispass import interface
from lapispass.core.interval_figures import Figures, IntervalFigures
from lapispass.core.units import SECOND_US


def test_a_slice_counts_as_without_owner_until_one_is_ordered_or_told() -> None:
    figures = IntervalFigures(100_000)
    for slice_ in (1, 2, 3, 4):
        figures.event(0, interface.SliceGrant(slice_, True))
    figures.event(0, interface.StoredOwner(1, "s"))
    figures.event(0, interface.StoredOwner(2, "s"))
    figures.event(0, interface.SliceGrant(4, False))
    figures.order(SECOND_US, interface.ClearTable(1))
    figures.order(2 * SECOND_US, interface.ClearTable(1))  # again: it has been empty since the first
    figures.order(7 * SECOND_US, interface.SetTableEntry(1, "t", 1.0))
    figures.order(7 * SECOND_US, interface.SetTableEntry(2, "t", 1.0))  # it had an owner
    assert figures.take(8 * SECOND_US) == Figures(
        handovers=1,
        without_owner=1,
        longest_without_owner_us=8 * SECOND_US,
        without_line=1,
        longest_without_line_us=8 * SECOND_US,
        given=4,
        taken=1,
    )
    figures.order(9 * SECOND_US, interface.SetTableEntry(3, "t", 1.0))
    taken = figures.take(10 * SECOND_US)
    assert (taken.handovers, taken.without_owner, taken.longest_without_owner_us) == (1, 0, 9 * SECOND_US)
    assert figures.take(11 * SECOND_US).shown() == {}


def test_figures_name_the_slowest_server_answer_turn_call_and_mark() -> None:
    figures = IntervalFigures(100_000)
    for backend, lost, took_us in (("a", 0, 40_000), ("b", 5, 70_000), ("c", 10, 900_000)):
        figures.event(0, interface.ServerReport(backend, "z", lost, 10, took_us, SECOND_US, None))
    figures.event(0, interface.BarrierAck(1, 7, 310_000))
    assert [figures.count_answer(took_us) for took_us in (100_000, 100_001, 3)] == [False, True, False]
    figures.turn_took(12)
    figures.call_took(13)
    assert figures.take(SECOND_US) == Figures(
        answers=3,
        late_answers=1,
        slowest_answer_us=100_001,
        slowest_turn_us=12,
        slowest_call_us=13,
        slowest_mark_us=310_000,
        tries=30,
        lost_tries=15,
        slowest_server="b",  # all tries at c failed
        slowest_server_us=70_000,
    )


async def test_a_request_that_waited_in_the_system_is_logged_with_its_time(tmp_path: Path) -> None:
    """A late answer must be logged even if the connection does not end and the event loop runs on."""
    async with controller(tmp_path) as running:
        reader, writer = await running.connect()
        writer.write(b"PING\r\n")
        await reader.readexactly(6)
        running.signal(signal.SIGSTOP)
        writer.write(b"PING\r\n")
        await asyncio.sleep(0.5)
        running.signal(signal.SIGCONT)
        await reader.readexactly(6)
        line = await running.wait_for_log('event="answer late"')
        took_us = int(line.partition("took_us=")[2].split()[0])
        assert 400_000 < took_us < 2_000_000 and "pings=2" in line
        writer.close()
        running.signal(signal.SIGTERM)
        await running.wait_for_exit()
    report = next(line for line in running.lines if "event=interval" in line)
    assert "answers=2 " in report and "late_answers=1 " in report and f"slowest_answer_us={took_us}" in report
