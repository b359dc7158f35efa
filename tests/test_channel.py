"""Use of the channel: which orders are sent together, which may wait, and which never wait."""

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
    fleet.run(30)  # the model counts the queued lines
    assert None not in fleet.owners() and not fleet.owners() & set(range(100, 111))


def test_a_channel_is_used_at_its_full_rate() -> None:
    # Only half of the channel's rate was used. Beside the message overhead for 640 proxies that left six
    # lines a turn, and of 240 slices whose servers had been replaced one a second got a new owner.
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
    # The model counts the queued lines. 60 slices need 3 s of the channel, and 4 s of waiting.
    fleet.run(8)
    assert None not in fleet.owners() and not fleet.owners() & set(range(100, 112))


def test_admission_updates_for_reports_that_arrive_one_by_one_are_sent_together() -> None:
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
    # 42 messages if each update was sent alone; slices that move add to that.
    assert levels and len(fleet.sent) - before < 30


def test_where_messages_are_limited_a_withdrawal_never_waits_for_the_window_to_end() -> None:
    """Guards against withdrawals that wait because too many small messages have been sent before.

    Once 19 messages were sent in 5.5 s, and each admitted only a few servers. This used up the limit on
    messages, and nothing was withdrawn for the following 4.5 s.
    """
    settings = deployment(
        proxies=160, slices=260, lines_per_s=60_000.0, queue_limit_lines=120_000.0, max_messages=20
    )
    now, controller, random_source = 100 * SECOND, Controller(settings, 1, 100 * SECOND), random.Random(5)
    entries = [server(n) for n in range(130)]
    controller.turn(now, events_to_running(entries, 160, 260, first=False))
    draining, draining_since, longest_wait, sent = iter(range(120)), {}, 0, []
    for step in range(1200):
        now += 50 * MS
        events: list[interface.Event] = [
            interface.ServerReport(n, "east", n % 3, 20, 900 * MS, SECOND, None)
            for n in range(step % 20, 130, 20)
        ]
        if step % 5 == 0:
            events += [interface.ProxyLeft(step % 160), interface.ProxyJoined(step % 160, False, "east", 1.0)]
        if step % 10 == random_source.randrange(10):
            draining_since[number := next(draining)] = now
            events.append(registry_changes(server(number, "draining")))
        orders = controller.turn(now, events)
        sent += [now] * any(isinstance(order, interface.Barrier) for order in orders)
        for order in orders:
            if (
                isinstance(order, interface.SetWithdrawn)
                and order.withdrawn
                and order.backend in draining_since
            ):
                longest_wait = max(longest_wait, now - draining_since.pop(order.backend))
        if events := acknowledgements(orders, 160, 90 * MS):
            controller.turn(now, events)
    assert longest_wait <= 1200 * MS and all(now - since <= 1200 * MS for since in draining_since.values())
    assert max(sum(at < other <= at + 10 * SECOND for other in sent) for at in sent) <= 20


def test_with_a_small_queue_joining_proxies_still_get_barriers_and_handovers_end() -> None:
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


@pytest.mark.parametrize("rate_share", [0.0, 0.1])
def test_a_channel_that_is_stalled_or_very_slow_is_not_filled_beyond_its_limit(rate_share: float) -> None:
    """Guards against a queue that grows beyond its limit while the channel is slower than configured.

    Once, while the channel was stalled for 4 s, the queue was half full by the controller's model. In fact
    794,024 lines were queued, and the limit was 754,600.
    """
    settings = deployment(
        proxies=400, slices=300, lines_per_s=20_000.0, queue_limit_lines=40_000.0, max_messages=0
    )
    now, controller = 100 * SECOND, Controller(settings, 1, 100 * SECOND)
    entries = [server(n) for n in range(100)]
    controller.turn(now, events_to_running(entries, 400, 300))
    waiting: list[list[float]] = []  # the barrier and remaining lines of each queued message
    longest_queue = 0.0
    for step in range(600):
        now += 50 * MS
        events: list[interface.Event] = []
        if step % 20 == 0 and step // 20 < 60:
            events.append(registry_changes(entries[step // 20]._replace(state="draining")))
        leaving = rate_share * settings.lines_per_s / 20
        while waiting and leaving > 0:
            sent = min(leaving, waiting[0][1])
            leaving, waiting[0][1] = leaving - sent, waiting[0][1] - sent
            if waiting[0][1] <= 0:
                barrier = int(waiting.pop(0)[0])
                events += [interface.BarrierAck(n, barrier, 200 * MS) for n in range(400)]
        orders = controller.turn(now, events)
        for order in orders:
            if isinstance(order, interface.Barrier):
                count = sum(
                    isinstance(
                        other,
                        interface.SetTableEntry
                        | interface.ClearTable
                        | interface.SetAdmission
                        | interface.SetWithdrawn
                        | interface.Barrier,
                    )
                    for other in orders
                )
                waiting.append([order.number, 400 * (count + settings.message_overhead_lines)])
        longest_queue = max(longest_queue, sum(lines for _, lines in waiting))
    assert settings.queue_limit_lines / 2 < longest_queue <= settings.queue_limit_lines


@pytest.mark.parametrize("acknowledged", [False, True])
def test_servers_are_let_in_again_only_where_needed_and_without_delaying_withdrawals(
    acknowledged: bool,
) -> None:
    """Guards against withdrawals that are delayed by orders for proxies that have rejoined.

    One message let in 137 servers again at 1,584 proxies that had rejoined; withdrawals waited behind it.
    """
    settings = deployment(
        proxies=400, slices=300, lines_per_s=20_000.0, queue_limit_lines=40_000.0, max_messages=0
    )
    now, controller = 100 * SECOND, Controller(settings, 1, 100 * SECOND)
    servers = [server(100 + n) for n in range(100)]
    granted = [
        event
        for n in range(300)
        for event in (interface.SliceGrant(n, True), interface.StoredOwner(n, 100 + n % 100))
    ]
    joined = [interface.ProxyJoined(proxy, False, "east", 1.0) for proxy in range(400)]
    controller.turn(
        now,
        [
            interface.RegistryUpdate("whole", tuple(servers)),
            *granted,
            *(interface.ProxyJoined(proxy, True, "east", 1.0) for proxy in range(400 if acknowledged else 0)),
        ],
    )
    if acknowledged:  # the proxies acknowledge the barrier after the withdrawal: they miss nothing
        controller.turn(now, [registry_changes(servers[99]._replace(state="draining"))])
        controller.turn(now, [interface.BarrierAck(proxy, 1, 90 * MS) for proxy in range(400)])
    readmitted: list[int] = []
    controller.turn(now, [interface.ProxyLeft(proxy) for proxy in range(400 if acknowledged else 0)] + joined)
    for _ in range(400):
        now += 50 * MS
        orders = controller.turn(now, [])
        readmitted += [order.backend for order in orders if isinstance(order, interface.SetWithdrawn)]
        controller.turn(now, acknowledgements(orders, 400, 90 * MS))
        assert controller.channel.queued_lines <= settings.queue_limit_lines / 4 + 400 * 2
    assert sorted(readmitted) == ([] if acknowledged else [server.backend for server in servers])
    controller.turn(now, joined[:1] if acknowledged else [interface.ProxyJoined(7, False, "east", 1.0)])
    orders = controller.turn(now + SECOND, [registry_changes(servers[4]._replace(state="draining"))])
    assert interface.SetWithdrawn(104, True) in orders
