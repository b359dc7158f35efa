"""Since when slices are unserved, by events and orders, and what the log shows of their handovers."""

from __future__ import annotations

from fleet import Fleet, deployment

from lapispass import interface
from lapispass.core.handover_state import Progress
from lapispass.core.interval_figures import Figures, IntervalFigures
from lapispass.core.units import SECOND_US
from lapispass.core.unserved_slices import UnservedSlices, UnservedSpan


def served_by(*owners: str) -> UnservedSlices:
    followed = UnservedSlices(10 * SECOND_US)
    for slice_, owner in enumerate(owners):
        followed.event(0, interface.SliceGrant(slice_, True))
        followed.event(0, interface.StoredOwner(slice_, owner))
    return followed


def test_a_gap_begins_when_the_owner_is_shut_out_not_when_the_table_is_emptied() -> None:
    followed = served_by("a", "b")
    followed.order(1 * SECOND_US, interface.SetWithdrawn("a", True))
    followed.order(9 * SECOND_US, interface.ClearTable(0))
    assert followed.overdue(11 * SECOND_US) == []
    assert followed.overdue(12 * SECOND_US) == [UnservedSpan(0, None, 11 * SECOND_US)]
    assert followed.overdue(13 * SECOND_US) == []  # returned once
    followed.order(14 * SECOND_US, interface.SetTableEntry(0, "b", 1.0))
    assert followed.take_ended() == [UnservedSpan(0, "b", 13 * SECOND_US)]
    assert followed.take_ended() == [] and followed.take_longest(20 * SECOND_US) == 13 * SECOND_US
    assert followed.take_longest(20 * SECOND_US) == 0


def test_an_owner_that_is_shut_out_serves_none_of_its_slices_until_it_is_let_in() -> None:
    followed = served_by("a", "a", "b")
    followed.order(1 * SECOND_US, interface.SetWithdrawn("a", True))
    assert set(followed.since) == {0, 1}
    followed.order(2 * SECOND_US, interface.SetTableEntry(2, "a", 1.0))
    assert set(followed.since) == {0, 1, 2} and followed.take_longest(3 * SECOND_US) == 2 * SECOND_US
    followed.order(4 * SECOND_US, interface.SetWithdrawn("a", False))
    assert not followed.since and followed.take_longest(5 * SECOND_US) == 3 * SECOND_US


def test_a_slice_that_is_taken_away_has_no_gap_here() -> None:
    followed = served_by("a")
    followed.order(1 * SECOND_US, interface.ClearTable(0))
    followed.event(2 * SECOND_US, interface.SliceGrant(0, False))
    assert not followed.since and not followed.owners and followed.overdue(60 * SECOND_US) == []
    followed.order(3 * SECOND_US, interface.SetTableEntry(0, "a", 1.0))  # too late: no longer assigned here
    assert not followed.owners


def test_an_interval_tells_what_handovers_wait_for() -> None:
    figures = IntervalFigures(100_000)
    figures.event(0, interface.SliceGrant(1, True))
    figures.event(0, interface.StoredOwner(1, "a"))
    figures.order(SECOND_US, interface.SetWithdrawn("a", True))
    progress = Progress(2, 3, 4, 5, 6, 7, turns_without_room=8)
    expected = Figures(given=1, without_line=1, longest_without_line_us=2 * SECOND_US)
    expected.emptied, expected.closing, expected.longest_closing_us = 2, 3, 4
    expected.unanswered, expected.longest_unanswered_us, expected.longest_unanswered = 5, 6, 7
    expected.turns_without_room = 8
    assert figures.take(3 * SECOND_US, progress) == expected
    assert figures.take(3 * SECOND_US, progress).turns_without_room == 0


def test_a_controller_names_the_proxy_that_a_handover_waits_for() -> None:
    fleet = Fleet(deployment(), 4, seed=2, ran_s=3)
    fleet.proxies[1].stalled_until = fleet.now + 60 * SECOND_US
    fleet.change(102, "draining")
    fleet.run(4)
    assert fleet.controller is not None
    moving_slice = next(number for number, table in fleet.store.items() if table.owner is None)
    state = fleet.controller.handover(moving_slice)
    assert state is not None and (state.step, state.waiting_for, state.proxies) == ("emptied", 1, (1,))
    assert 3 * SECOND_US < state.for_us <= 4 * SECOND_US
    progress = fleet.controller.progress()
    assert progress.emptied == 3 and progress.longest_unanswered == 1
    assert progress.longest_unanswered_us > 3 * SECOND_US and progress.closing == 0
    assert fleet.controller.handover(99) is None
