"""What a turn costs follows what has news or is due, not the number of servers."""

from __future__ import annotations

import random
import time

import pytest
from fleet import MS, SECOND, acknowledgements, deployment, events_to_running

from lapispass import interface
from lapispass.controller import Controller
from lapispass.core.agenda import Agenda
from lapispass.core.decay import DecayingSum
from lapispass.core.proxies import Proxies, Proxy
from lapispass.core.units import NEVER

HELD, PROXIES, COLLECTORS = 3, 320, 16
TARGET = 5700


class Quiet:
    """A controller of which little is asked: three slices here, 16 collectors that report each second."""

    def __init__(self, servers: int) -> None:
        self.now = 100 * SECOND
        told = deployment(
            proxies=PROXIES,
            slices=2200,
            lines_per_s=2200 * PROXIES / 6,
            queue_limit_lines=2200 * PROXIES / 3,
            max_messages=0,
        )
        self.entries = [interface.RegistryEntry(f"s-{n}", "east", "ready", 1.0, None) for n in range(servers)]
        self.controller = Controller(told, 1, self.now)
        orders = self.controller.turn(self.now, events_to_running(self.entries, PROXIES, HELD))
        for _ in range(100):
            self.now += 50 * MS
            orders = self.controller.turn(self.now, acknowledgements(orders, PROXIES, 50 * MS))

    def report(self) -> list[interface.Event]:
        """What one collector reports."""
        met = [interface.ServerReport(f"s-{n}", "east", 0, 9, 200 * MS, SECOND, None) for n in range(HELD)]
        return [*met, *(interface.RequestReport(n, "look", 9, 0, SECOND) for n in range(HELD))]

    def second(self) -> float:
        """Processor time of a second (s)."""
        began = time.process_time()
        for _ in range(COLLECTORS):
            self.now += SECOND // COLLECTORS
            self.controller.turn(self.now, self.report())
        return time.process_time() - began


def test_a_quiet_second_costs_the_same_with_5700_servers_as_with_200() -> None:
    few, many = Quiet(200), Quiet(TARGET)
    costs = [(few.second(), many.second()) for _ in range(40)]
    assert min(cost for _, cost in costs) < 1.3 * min(cost for cost, _ in costs)


def test_one_piece_of_news_among_5700_servers_takes_less_than_a_millisecond() -> None:
    quiet, best = Quiet(TARGET), float("inf")
    for number in range(30):
        quiet.now += 60 * MS
        news = [interface.ProbeResult(f"s-{100 + number}", 0, MS, None)]
        began = time.process_time()
        quiet.controller.turn(quiet.now, news)
        best = min(best, time.process_time() - began)
    assert best < 0.001


def test_a_drain_among_5700_servers_is_ordered_in_its_turn() -> None:
    quiet = Quiet(TARGET)
    quiet.now += MS
    draining = quiet.entries[1]._replace(state="draining")
    orders = quiet.controller.turn(quiet.now, [interface.RegistryUpdate("changes", (draining,))])
    assert interface.SetWithdrawn("s-1", True) in orders and interface.ClearTable(1) in orders


def test_no_wake_up_is_asked_for_while_nothing_is_due() -> None:
    quiet = Quiet(TARGET)
    quiet.second()
    woken: list[int] = []
    while (at := quiet.controller.timer_at) > quiet.now:  # what was reported fades
        quiet.now = at
        woken.append(at)
        quiet.controller.turn(quiet.now, [])
    assert 0 < len(woken) < 150 and woken[-1] - woken[0] < 90 * SECOND


def test_a_whole_list_that_says_what_is_known_touches_nothing() -> None:
    quiet = Quiet(TARGET)
    quiet.second()
    quiet.now += 60 * MS
    quiet.controller.turn(quiet.now, [interface.RegistryUpdate("whole", tuple(quiet.entries))])
    visited: list[object] = []
    update = quiet.controller.fleet.update
    quiet.controller.fleet.update = lambda server: (visited.append(server.number), update(server))  # type: ignore
    quiet.now += 60 * MS
    left_out = tuple(quiet.entries[:-1])
    quiet.controller.turn(quiet.now, [interface.RegistryUpdate("whole", left_out)])
    assert f"s-{TARGET - 1}" in visited and len(visited) < 10


def test_an_agenda_gives_each_key_once_at_its_last_due_time() -> None:
    chance, agenda, due = random.Random(3), Agenda[int](), dict[int, int]()
    now = 0
    for _ in range(4000):
        key, at = chance.randrange(50), now + chance.randrange(100)
        if chance.random() < 0.1:
            at = NEVER
        agenda.set(key, at)
        due[key] = at
        if chance.random() < 0.1:
            agenda.forget(key)
            due[key] = NEVER
        now += chance.randrange(5)
        assert agenda.next() == min(due.values())
        came = agenda.due(now)
        assert sorted(came) == sorted(key for key, at in due.items() if at <= now)
        assert [due[key] for key in came] == sorted(due[key] for key in came)
        due.update(dict.fromkeys(came, NEVER))
        assert len(agenda) == sum(at < NEVER for at in due.values())


def test_an_agenda_stays_small_however_often_a_due_time_is_moved() -> None:
    agenda = Agenda[str]()
    for at in range(100_000):
        agenda.set("a", at)
    assert len(agenda._heap) < 200 and agenda.due(100_000) == ["a"]


def test_reading_a_decaying_sum_changes_nothing() -> None:
    chance, now = random.Random(5), 0
    read, unread = DecayingSum(2 * SECOND), DecayingSum(2 * SECOND)
    for _ in range(200):
        now += chance.randrange(SECOND)
        read.read(now), read.per_second(now + 5)
        if chance.random() < 0.2:
            read.add(now, 3.0)
            unread.add(now, 3.0)
        assert read == unread
    assert read.read(now + 2 * SECOND) == pytest.approx(unread.read(now) / 2)


def test_proxies_are_remembered_while_they_are_there_and_a_while_after() -> None:
    lease, keep = SECOND, 10 * SECOND
    proxies, now = Proxies(range(4), 0, keep, lease), 0

    def join(number: int, first: bool, answered: int) -> Proxy:
        proxy = proxies.join(interface.ProxyJoined(number, first, "east", None), 0.0, now)
        proxies.acknowledge(proxy, answered, answered, now)
        return proxy

    for number in range(2000):  # numbers that come once and go
        now += SECOND
        join(10 + number, True, number)
        proxies.leave(10 + number, now + 1)
    assert len(proxies) < 20
    join(5, False, 7)
    assert proxies.passed_by_all(now + SECOND // 2) == 7
    assert proxies.passed_by_all(now + 1) == 7
    proxies.leave(5, now + SECOND)
    assert proxies.passed_by_all(now + SECOND + lease - 1) == 7  # it may write until its lease is out
    assert proxies.passed_by_all(now + SECOND + lease) == NEVER
    assert join(5, False, 8).acknowledged_before == 7


def test_without_slices_a_server_that_left_is_forgotten_once_its_lines_are_out() -> None:
    """The lines of one that was gone for long were taken out late, and it was kept for good."""
    told = deployment(slices=0, proxies=2)
    now, controller = 100 * SECOND, Controller(told, 1, 100 * SECOND)
    entries = tuple(interface.RegistryEntry(name, "east", "ready", 1.0, None) for name in ("a", "b"))
    news: list[interface.Event] = [
        interface.RegistryUpdate("whole", entries),
        interface.ProxyJoined(0, True, "east", 1.0),
    ]
    news += [interface.ProbeResult(name, 0, MS, None) for name in ("a", "b")]
    controller.turn(now, news)
    now += SECOND
    controller.turn(now, [interface.ProxyLeft(0)])  # nobody is there to be told
    controller.turn(now, [interface.RegistryUpdate("changes", (entries[0]._replace(state="gone"),))])
    now += controller.rules.keep_us + SECOND
    controller.turn(now, [])
    assert "a" in controller.backends and controller.backends["a"].state == "past"
    orders = controller.turn(now + SECOND, [interface.ProxyJoined(0, False, "east", 1.0)])
    for _ in range(20):
        now += SECOND
        orders += controller.turn(now, [])
    assert interface.SetTableEntry(0, "a", 0.0) in orders and list(controller.backends) == ["b"]
