"""The checkers themselves: each rule's breach is seen, and what is right is not."""

from __future__ import annotations

import pytest

from lapispass.rules.checker import Bounds, Checker
from lapispass.rules.checks import Breach, ConnectionEnd, check_bursts, check_cold_load, check_drains


def checker() -> Checker:
    made = Checker(
        Bounds(unserved_us=100, drain_grace_us=50, max_queued=10, max_cold_load=2.0), lambda key: 0
    )
    made.step_published(0, 0, "a")
    return made


def rules(found: list[Breach]) -> list[str]:
    return [breach.rule for breach in found]


def test_a_party_without_a_pick_for_too_long_and_not_sooner() -> None:
    made = checker()
    made.pick(0, "p", 0, None)
    made.pick(100, "p", 0, None)
    assert made.verdict() == []
    made.pick(101, "p", 0, None)
    assert rules(made.verdict()) == ["1"]
    made = checker()
    made.pick(0, "p", 0, None)
    made.party_left("p")  # it left and came back: its time begins anew
    made.pick(101, "p", 0, None)
    assert made.verdict() == []


def test_a_pick_of_a_node_that_drains_after_the_grace() -> None:
    made = checker()
    made.set_draining(0, "a", True)
    made.pick(50, "p", 0, "a")
    assert made.verdict() == []
    made.pick(60, "p", 0, "a", 20)  # it has joined later
    assert made.verdict() == []
    made.pick(60, "p", 0, "a")
    assert rules(made.verdict()) == ["3"]
    made = checker()
    made.set_draining(0, "a", True)
    made.set_draining(40, "a", False)
    made.pick(500, "p", 0, "a")
    assert made.verdict() == []


def test_writes_at_a_former_owner_and_twice() -> None:
    made = checker()
    made.write_executed(1, "a", "k", "1")
    made.step_published(2, 0, None)
    made.write_executed(3, "a", "k", "2")  # while it is bare, the last owner's are still in their life
    made.step_published(4, 0, "b")
    made.write_executed(5, "b", "k", "3")
    assert made.verdict() == []
    made.write_executed(6, "a", "k", "4")
    made.write_executed(7, "b", "k", "3")
    assert rules(made.verdict()) == ["2", "2"] and "owner b" in made.verdict()[0].detail


@pytest.mark.parametrize(("share", "found"), [(2.0, []), (2.1, ["4"])])
def test_a_cold_node_that_is_pushed(share: float, found: list[str]) -> None:
    made = checker()
    made.cold_load(1, "c", share)
    assert rules(made.verdict()) == found
    assert rules(check_cold_load({"c": share}, [], 2.0)) == found and rules(
        check_cold_load({}, ["c"], 2.0)
    ) == ["4"]


def test_a_queue_that_grows() -> None:
    made = checker()
    made.queued(1, "p", 10)
    assert made.verdict() == []
    made.queued(2, "p", 11)
    assert rules(made.verdict()) == ["5"]


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
