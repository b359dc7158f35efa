"""Which barriers proxies that join and leave have passed: a handover waits for each proxy once."""

from __future__ import annotations

import pytest

from lapispass import interface
from lapispass.core.proxies import STORE_READ_US, Proxies
from lapispass.core.units import NEVER, SECOND_US

LEASE = 2 * SECOND_US
BARRIER = 5


class JoinedProxies:
    """Two proxies that have joined and acknowledged the barrier before `BARRIER`, which was written at 0."""

    def __init__(self) -> None:
        self.proxies = Proxies(range(3), -60 * SECOND_US, 30 * SECOND_US, LEASE)
        for number in (0, 1):
            self.join(-10 * SECOND_US, number)
            self.acknowledge(-9 * SECOND_US, number, BARRIER - 1)

    def join(self, now: int, number: int, first: bool = False, reads_store: bool = True) -> None:
        self.proxies.join(interface.ProxyJoined(number, first, "east", None, reads_store), 0.0, now)

    def acknowledge(self, now: int, number: int, barrier: int = BARRIER) -> None:
        self.proxies.acknowledge(self.proxies.joined[number], barrier, barrier, now)

    def waits_for(self, now: int) -> list[int]:
        waiting = self.proxies.not_passed_by(BARRIER, now)
        assert (self.proxies.passed_by_all(now) >= BARRIER) == (not waiting)
        return waiting


def test_a_proxy_that_has_answered_is_not_waited_for_on_its_next_stream() -> None:
    known = JoinedProxies()
    known.acknowledge(SECOND_US, 0)
    known.acknowledge(SECOND_US, 1)
    known.proxies.leave(0, 1 * SECOND_US)
    known.join(1 * SECOND_US, 0)
    assert known.waits_for(1 * SECOND_US) == []


def test_one_whose_stream_ended_before_its_answer_is_waited_for_until_its_lease_is_out() -> None:
    known = JoinedProxies()
    known.acknowledge(SECOND_US, 0)
    known.proxies.leave(1, 1 * SECOND_US)
    assert known.waits_for(1 * SECOND_US + LEASE - 1) == [1]
    assert known.waits_for(1 * SECOND_US + LEASE) == []


@pytest.mark.parametrize("first", [False, True])
def test_one_that_joins_soon_after_the_first_answer_has_to_answer(first: bool) -> None:
    known = JoinedProxies()
    known.acknowledge(SECOND_US, 0)
    known.proxies.leave(1, 1 * SECOND_US)
    known.join(SECOND_US + LEASE - 1, 1, first)
    assert known.waits_for(60 * SECOND_US) == [1]
    known.acknowledge(60 * SECOND_US, 1)
    assert known.waits_for(60 * SECOND_US) == []


def test_nobody_waits_for_proxies_that_join_without_end() -> None:
    known = JoinedProxies()
    known.acknowledge(SECOND_US, 0)
    known.acknowledge(SECOND_US, 1)
    for turn in range(40):  # none of them acknowledges
        at = SECOND_US + LEASE + turn * SECOND_US // 10
        known.proxies.leave(turn % 4, at)
        known.join(at, turn % 4, first=turn % 4 > 1)
        assert known.waits_for(at) == []


def test_one_that_joins_later_is_waited_for_until_it_has_read_the_step_from_the_store() -> None:
    known = JoinedProxies()
    known.acknowledge(SECOND_US, 0)
    known.acknowledge(SECOND_US, 1)
    known.join(8 * SECOND_US, 7)
    assert known.waits_for(8 * SECOND_US + STORE_READ_US - 1) == [7]
    assert known.waits_for(8 * SECOND_US + STORE_READ_US) == []
    known.proxies.leave(7, 8 * SECOND_US + STORE_READ_US)  # it holds what it has read
    assert known.waits_for(8 * SECOND_US + STORE_READ_US) == []


def test_one_that_leaves_before_it_has_read_the_store_is_waited_for_again() -> None:
    known = JoinedProxies()
    known.acknowledge(SECOND_US, 0)
    known.acknowledge(SECOND_US, 1)
    known.join(8 * SECOND_US, 7)
    known.proxies.leave(7, 8 * SECOND_US + STORE_READ_US - 1)
    assert known.waits_for(8 * SECOND_US + STORE_READ_US + LEASE - 2) == [7]
    assert known.waits_for(8 * SECOND_US + STORE_READ_US + LEASE - 1) == []


def test_one_that_joins_later_and_was_gone_for_less_than_a_lease_may_write_by_what_it_held() -> None:
    known = JoinedProxies()
    known.acknowledge(SECOND_US, 0)
    known.proxies.leave(1, 3 * SECOND_US)
    known.join(3 * SECOND_US + LEASE // 2, 1)
    assert known.waits_for(3 * SECOND_US + LEASE - 1) == [1]
    assert known.waits_for(3 * SECOND_US + LEASE) == []
    known.proxies.leave(1, 6 * SECOND_US)  # it has read the step; otherwise it could not write
    assert known.waits_for(6 * SECOND_US) == []


def test_one_that_has_just_been_started_holds_nothing_to_write_by() -> None:
    known = JoinedProxies()
    known.acknowledge(SECOND_US, 0)
    known.proxies.leave(1, 3 * SECOND_US)
    known.join(3 * SECOND_US + 1, 1, first=True)
    assert known.waits_for(3 * SECOND_US + 1) == []


def test_a_stream_that_may_have_stood_all_the_time_has_to_answer() -> None:
    known = JoinedProxies()
    known.acknowledge(SECOND_US, 0)
    known.acknowledge(SECOND_US, 1)
    known.proxies.leave(1, 9 * SECOND_US)
    known.join(9 * SECOND_US, 1, reads_store=False)
    assert known.waits_for(60 * SECOND_US) == [1]
    known.proxies.leave(1, 60 * SECOND_US)
    assert known.waits_for(60 * SECOND_US) == [1]


def test_a_join_that_was_told_without_the_end_of_the_stream_before_counts_from_now() -> None:
    known = JoinedProxies()
    known.acknowledge(SECOND_US, 0)
    known.join(9 * SECOND_US, 1)
    assert known.waits_for(9 * SECOND_US) == [1]
    assert known.waits_for(9 * SECOND_US + LEASE) == []


def test_without_proxies_every_mark_is_clear() -> None:
    known = JoinedProxies()
    for number in (0, 1):
        known.proxies.leave(number, 0)
    assert known.proxies.passed_by_all(LEASE) == NEVER


def test_answers_are_remembered_for_a_lease_only() -> None:
    known = JoinedProxies()
    for barrier in range(BARRIER, 2000):
        known.acknowledge(barrier * SECOND_US, 0, barrier)
    assert len(known.proxies._first_acks) <= LEASE // SECOND_US
