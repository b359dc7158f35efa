"""The cost of a turn depends on what has new events or is due, not on the number of servers."""

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

SLICES, PROXIES, COLLECTORS = 3, 320, 16
SERVERS = 5700


class IdleController:
    """A controller with little to do: three slices of its own, and 16 collectors that report each second."""

    def __init__(self, servers: int) -> None:
        self.now = 100 * SECOND
        settings = deployment(
            proxies=PROXIES,
            slices=2200,
            lines_per_s=2200 * PROXIES / 6,
            queue_limit_lines=2200 * PROXIES / 3,
            max_messages=0,
        )
        self.entries = [interface.RegistryEntry(f"s-{n}", "east", "ready", 1.0, None) for n in range(servers)]
        self.controller = Controller(settings, 1, self.now)
        orders = self.controller.turn(self.now, events_to_running(self.entries, PROXIES, SLICES))
        for _ in range(100):
            self.now += 50 * MS
            orders = self.controller.turn(self.now, acknowledgements(orders, PROXIES, 50 * MS))

    def report(self) -> list[interface.Event]:
        """The reports of one collector."""
        server_reports = [
            interface.ServerReport(f"s-{n}", "east", 0, 9, 200 * MS, SECOND, None) for n in range(SLICES)
        ]
        return [*server_reports, *(interface.RequestReport(n, "look", 9, 0, SECOND) for n in range(SLICES))]

    def run_second(self) -> float:
        """Simulates one second; returns the processor time that it took, in seconds."""
        started = time.process_time()
        for _ in range(COLLECTORS):
            self.now += SECOND // COLLECTORS
            self.controller.turn(self.now, self.report())
        return time.process_time() - started


def test_an_idle_second_costs_the_same_with_5700_servers_as_with_200() -> None:
    few, many = IdleController(200), IdleController(SERVERS)
    costs = [(few.run_second(), many.run_second()) for _ in range(40)]
    assert min(cost for _, cost in costs) < 1.3 * min(cost for cost, _ in costs)


def test_one_event_among_5700_servers_takes_less_than_a_millisecond() -> None:
    idle, best = IdleController(SERVERS), float("inf")
    for number in range(30):
        idle.now += 60 * MS
        events = [interface.ProbeResult(f"s-{100 + number}", 0, MS, None)]
        started = time.process_time()
        idle.controller.turn(idle.now, events)
        best = min(best, time.process_time() - started)
    assert best < 0.001


def test_a_drain_among_5700_servers_is_ordered_in_its_turn() -> None:
    idle = IdleController(SERVERS)
    idle.now += MS
    draining = idle.entries[1]._replace(state="draining")
    orders = idle.controller.turn(idle.now, [interface.RegistryUpdate("changes", (draining,))])
    assert interface.SetWithdrawn("s-1", True) in orders and interface.ClearTable(1) in orders


def test_no_timer_is_set_while_nothing_is_due() -> None:
    idle = IdleController(SERVERS)
    idle.run_second()
    timers_fired: list[int] = []
    while (at := idle.controller.timer_at) > idle.now:  # the decaying sums of the reports run down
        idle.now = at
        timers_fired.append(at)
        idle.controller.turn(idle.now, [])
    assert 0 < len(timers_fired) < 150 and timers_fired[-1] - timers_fired[0] < 90 * SECOND


def test_a_snapshot_evaluates_only_servers_that_changed() -> None:
    idle = IdleController(SERVERS)
    idle.run_second()
    idle.now += 60 * MS
    idle.controller.turn(idle.now, [interface.RegistryUpdate("whole", tuple(idle.entries))])
    evaluated: list[object] = []
    update = idle.controller.fleet.update
    idle.controller.fleet.update = lambda server: (evaluated.append(server.number), update(server))  # type: ignore
    idle.now += 60 * MS
    left_out = tuple(idle.entries[:-1])
    idle.controller.turn(idle.now, [interface.RegistryUpdate("whole", left_out)])
    assert f"s-{SERVERS - 1}" in evaluated and len(evaluated) < 10


def test_an_agenda_gives_each_key_once_at_its_last_due_time() -> None:
    random_source, agenda, due = random.Random(3), Agenda[int](), dict[int, int]()
    now = 0
    for _ in range(4000):
        key, at = random_source.randrange(50), now + random_source.randrange(100)
        if random_source.random() < 0.1:
            at = NEVER
        agenda.set(key, at)
        due[key] = at
        if random_source.random() < 0.1:
            agenda.forget(key)
            due[key] = NEVER
        now += random_source.randrange(5)
        assert agenda.next() == min(due.values())
        due_keys = agenda.due(now)
        assert sorted(due_keys) == sorted(key for key, at in due.items() if at <= now)
        assert [due[key] for key in due_keys] == sorted(due[key] for key in due_keys)
        due.update(dict.fromkeys(due_keys, NEVER))
        assert len(agenda) == sum(at < NEVER for at in due.values())


def test_an_agenda_stays_small_however_often_a_due_time_is_moved() -> None:
    agenda = Agenda[str]()
    for at in range(100_000):
        agenda.set("a", at)
    assert len(agenda._heap) < 200 and agenda.due(100_000) == ["a"]


def test_reading_a_decaying_sum_changes_nothing() -> None:
    random_source, now = random.Random(5), 0
    read, unread = DecayingSum(2 * SECOND), DecayingSum(2 * SECOND)
    for _ in range(200):
        now += random_source.randrange(SECOND)
        read.read(now), read.per_second(now + 5)
        if random_source.random() < 0.2:
            read.add(now, 3.0)
            unread.add(now, 3.0)
        assert read == unread
    assert read.read(now + 2 * SECOND) == pytest.approx(unread.read(now) / 2)


def test_proxies_are_kept_while_they_are_joined_and_for_a_while_after() -> None:
    lease, keep = SECOND, 10 * SECOND
    proxies, now = Proxies(range(4), 0, keep, lease), 0

    def join(number: int, first: bool, answered: int) -> Proxy:
        proxy = proxies.join(interface.ProxyJoined(number, first, "east", None), 0.0, now)
        proxies.acknowledge(proxy, answered, answered, now)
        return proxy

    for number in range(2000):  # proxies that join once and leave
        now += SECOND
        join(10 + number, True, number)
        proxies.leave(10 + number, now + 1)
    assert len(proxies) < 20
    join(5, False, 7)
    assert proxies.passed_by_all(now + SECOND // 2) == 7
    assert proxies.passed_by_all(now + 1) == 7
    proxies.leave(5, now + SECOND)
    assert proxies.passed_by_all(now + SECOND + lease - 1) == 7  # it may write until its lease ends
    assert proxies.passed_by_all(now + SECOND + lease) == NEVER
    assert join(5, False, 8).acknowledged_before == 7


def test_without_slices_a_server_that_left_is_forgotten_once_its_entries_are_removed() -> None:
    """Guards against keeping a server for ever whose entries were removed long after it was gone."""
    settings = deployment(slices=0, proxies=2)
    now, controller = 100 * SECOND, Controller(settings, 1, 100 * SECOND)
    entries = tuple(interface.RegistryEntry(name, "east", "ready", 1.0, None) for name in ("a", "b"))
    events: list[interface.Event] = [
        interface.RegistryUpdate("whole", entries),
        interface.ProxyJoined(0, True, "east", 1.0),
    ]
    events += [interface.ProbeResult(name, 0, MS, None) for name in ("a", "b")]
    controller.turn(now, events)
    now += SECOND
    controller.turn(now, [interface.ProxyLeft(0)])  # no proxy is there to receive orders
    controller.turn(now, [interface.RegistryUpdate("changes", (entries[0]._replace(state="gone"),))])
    now += controller.rules.retention_us + SECOND
    controller.turn(now, [])
    assert "a" in controller.backends and controller.backends["a"].state == "removed"
    orders = controller.turn(now + SECOND, [interface.ProxyJoined(0, False, "east", 1.0)])
    for _ in range(20):
        now += SECOND
        orders += controller.turn(now, [])
    assert interface.SetTableEntry(0, "a", 0.0) in orders and list(controller.backends) == ["b"]
