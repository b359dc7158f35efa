"""The checkers of the rules: each breach is found, and correct behaviour is not reported."""

from __future__ import annotations

import pytest

from lapispass.rules.checker import Bounds, Checker
from lapispass.rules.checks import Breach, ConnectionEnd, check_bursts, check_cold_load, check_drains


def new_checker() -> Checker:
    checked = Checker(
        Bounds(unserved_us=100, drain_grace_us=50, max_queued=10, max_cold_load=2.0), lambda key: 0
    )
    checked.step_published(0, 0, "a")
    return checked


def rules(found: list[Breach]) -> list[str]:
    return [breach.rule for breach in found]


def test_a_party_without_a_pick_for_too_long_and_not_sooner() -> None:
    checked = new_checker()
    checked.pick(0, "p", 0, None)
    checked.pick(100, "p", 0, None)
    assert checked.verdict() == []
    checked.pick(101, "p", 0, None)
    assert rules(checked.verdict()) == ["1"]
    checked = new_checker()
    checked.pick(0, "p", 0, None)
    checked.party_left("p")  # it left and came back, so its time starts again
    checked.pick(101, "p", 0, None)
    assert checked.verdict() == []


def test_a_pick_of_a_node_that_drains_after_the_grace() -> None:
    checked = new_checker()
    checked.set_draining(0, "a", True)
    checked.pick(50, "p", 0, "a")
    assert checked.verdict() == []
    checked.pick(60, "p", 0, "a", 20)  # the party joined after the drain was reported
    assert checked.verdict() == []
    checked.pick(60, "p", 0, "a")
    assert rules(checked.verdict()) == ["3"]
    checked = new_checker()
    checked.set_draining(0, "a", True)
    checked.set_draining(40, "a", False)
    checked.pick(500, "p", 0, "a")
    assert checked.verdict() == []


def test_writes_at_a_former_owner_and_twice() -> None:
    checked = new_checker()
    checked.write_executed(1, "a", "k", "1")
    checked.step_published(2, 0, None)
    checked.write_executed(3, "a", "k", "2")  # no owner: writes at the last one are still allowed
    checked.step_published(4, 0, "b")
    checked.write_executed(5, "b", "k", "3")
    assert checked.verdict() == []
    checked.write_executed(6, "a", "k", "4")
    checked.write_executed(7, "b", "k", "3")
    assert rules(checked.verdict()) == ["2", "2"] and "owner b" in checked.verdict()[0].detail


@pytest.mark.parametrize(("share", "found"), [(2.0, []), (2.1, ["4"])])
def test_a_cold_node_that_is_pushed(share: float, found: list[str]) -> None:
    checked = new_checker()
    checked.cold_load(1, "c", share)
    assert rules(checked.verdict()) == found
    assert rules(check_cold_load({"c": share}, [], 2.0)) == found and rules(
        check_cold_load({}, ["c"], 2.0)
    ) == ["4"]


def test_a_queue_that_grows() -> None:
    checked = new_checker()
    checked.queued(1, "p", 10)
    assert checked.verdict() == []
    checked.queued(2, "p", 11)
    assert rules(checked.verdict()) == ["5"]


def test_ends_of_a_drain() -> None:
    ends = [ConnectionEnd(5, "a", 1012), ConnectionEnd(8, "a", 1000), ConnectionEnd(9, "b", 1006)]
    assert check_drains(ends, {"a": 0}, {"a": 10}, 0) == []
    assert rules(
        check_drains([ConnectionEnd(5, "a", 1006), ConnectionEnd(11, "a", 1012)], {"a": 1}, {"a": 10}, 0)
    ) == [
        "3",
        "3",
        "3",
    ]
    assert check_bursts(ends, 10, 3) == [] and rules(check_bursts(ends, 10, 2)) == ["bursts"]
