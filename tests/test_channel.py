"""The pace of the channel: what goes out together, what waits, and what never waits."""

from __future__ import annotations

import random

import pytest
from fleet import MS, SECOND, Fleet, acknowledgements, deployment, events_to_running, registry_changes, server

from lapispass import interface
from lapispass.controller import Controller


def test_a_large_fleet_moves_many_slices_within_the_queue() -> None:
    fleet = Fleet(
        deployment(proxies=60, slices=160, max_messages=1000, unserved_limit_us=30 * SECOND),
        24,
        seed=16,
        ran_s=3,
    )
    for backend in range(100, 110):
        fleet.change(backend, "gone")
    fleet.run(0.5)
    fleet.change(110, "draining")
    fleet.rejoin_one_by_one(range(0, 60, 3), 0.1)
    fleet.run(30)  # the model counts the lines that wait
    assert None not in fleet.owners() and not fleet.owners() & set(range(100, 111))


def test_a_channel_is_used_at_the_pace_that_it_has() -> None:
    # Half of the pace was counted on: beside heads for 640 proxies six lines were left for a turn, and of 240
    # slices whose servers had been replaced one a second got a new owner.
    fleet = Fleet(
        deployment(
            proxies=40,
            slices=120,
            lines_per_s=2000.0,
            queue_limit_lines=4000.0,
            max_messages=1000,
            unserved_limit_us=40 * SECOND,
        ),
        24,
        seed=3,
        requests=0,
        ran_s=4,
    )
    for backend in range(100, 112):
        fleet.change(backend, "draining")
    fleet.run(
        8
    )  # the model counts the lines that wait; 60 slices need 3 s of the channel, and 4 s of waiting
    assert None not in fleet.owners() and not fleet.owners() & set(range(100, 112))


def test_levels_of_servers_whose_sums_come_one_after_the_other_go_out_together() -> None:
    fleet = Fleet(
        deployment(slices=24, max_messages=1000, report_interval_us=2 * SECOND),
        12,
        seed=4,
        requests=0,
        ran_s=4,
    )
    before = len(fleet.sent)
    for turn in range(80):
        fleet.events += [
            interface.ServerReport(100 + turn % 12, "east", 0, 40, 2500 * MS, SECOND, None),
            *(interface.RequestReport(turn % 12 + more, "look", 20, 0, SECOND) for more in (0, 12)),
        ]
        fleet.run(0.1)
    levels = sum(table.share < 1 for table in fleet.store.values())
    assert (
        levels and len(fleet.sent) - before < 30
    )  # 42 where each went out alone; slices that move add to it


def test_where_messages_are_limited_a_withdrawal_never_waits_for_the_span_to_end() -> None:
    """On ebene 19 messages went out in 5.5 s, who is in a few at a time; nothing was withdrawn for 4.5 s."""
    told = deployment(
        proxies=160, slices=260, lines_per_s=60_000.0, queue_limit_lines=120_000.0, max_messages=20
    )
    now, controller, chance = 100 * SECOND, Controller(told, 1, 100 * SECOND), random.Random(5)
    entries = [server(n) for n in range(130)]
    controller.turn(now, events_to_running(entries, 160, 260, first=False))
    draining, told_at, slowest, sent = iter(range(120)), {}, 0, []
    for step in range(1200):
        now += 50 * MS
        news: list[interface.Event] = [
            interface.ServerReport(n, "east", n % 3, 20, 900 * MS, SECOND, None)
            for n in range(step % 20, 130, 20)
        ]
        if step % 5 == 0:
            news += [interface.ProxyLeft(step % 160), interface.ProxyJoined(step % 160, False, "east", 1.0)]
        if step % 10 == chance.randrange(10):
            told_at[number := next(draining)] = now
            news.append(registry_changes(server(number, "draining")))
        orders = controller.turn(now, news)
        sent += [now] * any(isinstance(order, interface.Barrier) for order in orders)
        for order in orders:
            if isinstance(order, interface.SetWithdrawn) and order.withdrawn and order.backend in told_at:
                slowest = max(slowest, now - told_at.pop(order.backend))
        if news := acknowledgements(orders, 160, 90 * MS):
            controller.turn(now, news)
    assert slowest <= 1200 * MS and all(now - since <= 1200 * MS for since in told_at.values())
    assert max(sum(at < one <= at + 10 * SECOND for one in sent) for at in sent) <= 20


def test_in_a_tight_queue_joiners_are_still_asked_and_handovers_end() -> None:
    fleet = Fleet(
        deployment(
            proxies=60,
            slices=20,
            queue_limit_lines=3200.0,
            lines_per_s=1600.0,
            max_messages=1000,
            unserved_limit_us=30 * SECOND,
        ),
        6,
        seed=22,
        ran_s=2,
    )
    fleet.change(101, "draining")
    fleet.rejoin_one_by_one(range(0, 60, 5), 0.4)
    fleet.run(20)
    assert 101 not in fleet.owners() and None not in fleet.owners()


@pytest.mark.parametrize("pace", [0.0, 0.1])
def test_a_channel_that_stands_still_or_crawls_is_not_filled_beyond_its_limit(pace: float) -> None:
    """herd+mass: it stood still for 4 s; by the model half of the limit waited, in truth 794,024 of 754,600
    lines.
    """
    told = deployment(
        proxies=400, slices=300, lines_per_s=20_000.0, queue_limit_lines=40_000.0, max_messages=0
    )
    now, controller = 100 * SECOND, Controller(told, 1, 100 * SECOND)
    entries = [server(n) for n in range(100)]
    controller.turn(now, events_to_running(entries, 400, 300))
    waiting: list[list[float]] = []  # of each message that has not left whole: its mark, its lines
    most = 0.0
    for step in range(600):
        now += 50 * MS
        news: list[interface.Event] = []
        if step % 20 == 0 and step // 20 < 60:
            news.append(registry_changes(entries[step // 20]._replace(state="draining")))
        leaving = pace * told.lines_per_s / 20
        while waiting and leaving > 0:
            part = min(leaving, waiting[0][1])
            leaving, waiting[0][1] = leaving - part, waiting[0][1] - part
            if waiting[0][1] <= 0:
                mark = int(waiting.pop(0)[0])
                news += [interface.BarrierAck(n, mark, 200 * MS) for n in range(400)]
        orders = controller.turn(now, news)
        for order in orders:
            if isinstance(order, interface.Barrier):
                count = sum(
                    isinstance(
                        one,
                        interface.SetTableEntry
                        | interface.ClearTable
                        | interface.SetAdmission
                        | interface.SetWithdrawn
                        | interface.Barrier,
                    )
                    for one in orders
                )
                waiting.append([order.number, 400 * (count + told.message_overhead_lines)])
        most = max(most, sum(lines for _, lines in waiting))
    assert told.queue_limit_lines / 2 < most <= told.queue_limit_lines


@pytest.mark.parametrize("met", [False, True])
def test_who_is_in_is_said_again_behind_no_withdrawal_and_only_to_whom_it_may_matter(met: bool) -> None:
    """137 servers were let in again in one message to 1,584 proxies that rejoined; withdrawals waited behind
    it.
    """
    told = deployment(
        proxies=400, slices=300, lines_per_s=20_000.0, queue_limit_lines=40_000.0, max_messages=0
    )
    now, controller = 100 * SECOND, Controller(told, 1, 100 * SECOND)
    servers = [server(100 + n) for n in range(100)]
    held = [
        event
        for n in range(300)
        for event in (interface.SliceGrant(n, True), interface.StoredOwner(n, 100 + n % 100))
    ]
    joined = [interface.ProxyJoined(proxy, False, "east", 1.0) for proxy in range(400)]
    controller.turn(
        now,
        [
            interface.RegistryUpdate("whole", tuple(servers)),
            *held,
            *(interface.ProxyJoined(proxy, True, "east", 1.0) for proxy in range(400 if met else 0)),
        ],
    )
    if met:  # they have answered a mark: of the withdrawal that brought it nothing is left
        controller.turn(now, [registry_changes(servers[99]._replace(state="draining"))])
        controller.turn(now, [interface.BarrierAck(proxy, 1, 90 * MS) for proxy in range(400)])
    lifted: list[int] = []
    controller.turn(now, [interface.ProxyLeft(proxy) for proxy in range(400 if met else 0)] + joined)
    for _ in range(400):
        now += 50 * MS
        orders = controller.turn(now, [])
        lifted += [order.backend for order in orders if isinstance(order, interface.SetWithdrawn)]
        controller.turn(now, acknowledgements(orders, 400, 90 * MS))
        assert controller.channel.queued_lines <= told.queue_limit_lines / 4 + 400 * 2
    assert sorted(lifted) == ([] if met else [server.backend for server in servers])
    controller.turn(now, joined[:1] if met else [interface.ProxyJoined(7, False, "east", 1.0)])
    orders = controller.turn(now + SECOND, [registry_changes(servers[4]._replace(state="draining"))])
    assert interface.SetWithdrawn(104, True) in orders
