"""The controller against the simple model of the rules: generated runs, starts, the registry, and memory."""

from __future__ import annotations

import random

import pytest
from fleet import MS, SECOND, Fleet, acknowledgements, deployment, events_to_running, registry_changes, server

from lapispass import interface
from lapispass.controller import Controller
from lapispass.core.decay import DecayingSum
from lapispass.core.random_source import RandomSource


@pytest.mark.parametrize("seed", range(15))
def test_generated_days_keep_the_rules(seed: int) -> None:
    chance = random.Random(seed)
    size = (
        dict(proxies=30, slices=90, max_messages=1000, unserved_limit_us=24 * SECOND)
        if seed >= 12
        else dict(max_messages=chance.choice((1000, 20, 30)))
    )
    fleet = Fleet(
        deployment(**size, must_leave_gone=seed % 2 == 0), backends=18 if seed >= 12 else 6, seed=seed
    )
    for _ in range(14):
        backend = chance.choice([number for number in fleet.registry if number < 900])
        match chance.randrange(9):
            case 0 if sum(e.state == "ready" for e in fleet.registry.values()) > 3:
                fleet.change(backend, "draining")
                fleet.run(chance.uniform(0.1, 4))
                fleet.change(backend, "gone")
                fleet.change(max(fleet.registry) + 1, "ready", fleet.now)
            case 1 if sum(e.state == "ready" for e in fleet.registry.values()) > 3:
                fleet.change(backend, "gone")
                fleet.run(chance.uniform(0.1, 6))
                fleet.change(backend, "ready", fleet.now)
            case 2:
                for number in chance.sample(range(4), 2):
                    fleet.leave(number)
                    fleet.run(chance.uniform(0, 2))
                    fleet.join(number)
            case 3:
                chance.choice(fleet.proxies).stalled_until = fleet.now + 1200 * MS
            case 4:
                fleet.crash()
                fleet.run(chance.uniform(2 * fleet.deployment.linger_us / SECOND, 8))
                fleet.start()
                for number in chance.sample(range(4), 4):
                    fleet.join(number)
            case 5:
                fleet.events.append(interface.RegistryUpdate("lost", ()))
            case 6:
                fleet.unresponsive ^= {backend}
            case 7:  # the registry lists running servers as gone, also ones that have drained
                true = chance.sample(list(fleet.registry.values()), 3)
                fleet.update_registry([entry._replace(state="gone") for entry in true])
                fleet.run(chance.uniform(1, 9))
                fleet.update_registry(true)
            case 8:  # servers that do not exist are listed
                ghosts = [interface.RegistryEntry(900 + n, "west", "ready", 2.0, None) for n in range(4)]
                fleet.update_registry(ghosts)
                fleet.run(chance.uniform(1, 9))
                fleet.update_registry([ghost._replace(state="gone") for ghost in ghosts])
        fleet.run(chance.uniform(0.2, 5))
    fleet.unresponsive.clear()
    fleet.run(25)
    assert all(fleet.registry[owner].state == "ready" for owner in fleet.owners())


def test_same_news_same_orders() -> None:
    days = [Fleet(deployment(), 5, seed=3) for _ in range(2)]
    for fleet in days:
        fleet.change(101, "gone")
        fleet.run(8)
    assert days[0].store == days[1].store and days[0].sent == days[1].sent


def test_servers_that_are_gone_for_good_are_forgotten() -> None:
    fleet = Fleet(deployment(unserved_limit_us=4 * SECOND, must_leave_gone=True), backends=4, seed=1, ran_s=3)
    for round_ in range(60):  # servers drain, go and are replaced, while proxies reconnect
        first = max(fleet.registry) + 1
        for number in [n for n, e in fleet.registry.items() if e.state == "ready"][:2]:
            fleet.change(number, "draining")
        fleet.update_registry([server(n) for n in range(first, first + 2)])
        fleet.running |= {first, first + 1}
        fleet.run(9)
        for number in [n for n, e in fleet.registry.items() if e.state == "draining"]:
            fleet.change(number, "gone")
        fleet.leave(round_ % 4)
        fleet.join(round_ % 4)
    fleet.run(9)
    controller = fleet.controller
    table = controller.table
    assert len(fleet.registry) == 124 and fleet.owners() <= set(controller.backends)
    withdrawn_servers, placement = table.withdrawn_servers, table.placement
    for held in (
        controller.backends,
        controller.agenda,
        withdrawn_servers.withdrawn,
        withdrawn_servers.to_resend,
        withdrawn_servers.sent_under,
        table.slice_index.next_relief_at,
        placement.loads,
    ):
        assert len(held) <= 8
    fleet.change(100, "ready")  # a forgotten server comes back
    for number in [n for n, e in fleet.registry.items() if e.state == "ready" and n != 100]:
        fleet.change(number, "draining")
    fleet.run(9)
    assert fleet.owners() == {100} and not any(100 in proxy.out for proxy in fleet.proxies)


def test_without_slices_proxies_are_bound_and_a_draining_server_leaves_the_table() -> None:
    controller = Controller(deployment(slices=0), 7, 0)
    entries = tuple(server(n) for n in (5, 6))
    orders = controller.turn(
        SECOND, [interface.RegistryUpdate("remembered", entries), interface.ProxyJoined(0, True, "east", 1.0)]
    )
    assert {
        interface.SetTableEntry(0, 5, 1.0),
        interface.SetTableEntry(0, 6, 1.0),
        interface.BindProxy(0, 0, 3),
    } <= set(orders)
    orders = controller.turn(3 * SECOND, [registry_changes(entries[0]._replace(state="draining"))])
    assert interface.SetTableEntry(0, 5, 0.0) in orders


@pytest.mark.parametrize("default_retry", [0, 1, 2, 3])
@pytest.mark.parametrize("admission_mode", ["share", "rate", "none"])
def test_no_order_has_a_class_tried_again_that_may_not_simply_be_repeated(
    default_retry: int, admission_mode: str
) -> None:
    """A class that deduplicates by key does so within a window. A retry after an arbitrary failure could come
    after that window has ended, and the request would run twice.
    """
    classes = (
        interface.RequestClass("look", SECOND, 3 * SECOND, 1.0, False, False),
        interface.RequestClass("hold", SECOND, 3 * SECOND, 2.0, True, False, False),
        interface.RequestClass("print", SECOND, 3 * SECOND, 1.0, False, False, False),
    )
    for slices in (12, 0):
        settings = deployment(
            classes=classes, default_retry=default_retry, admission_mode=admission_mode, slices=slices
        )
        ordered: list[interface.Order] = []
        entries = [server(100 + n) for n in range(3)]
        for start in range(2):  # a restart orders it again
            controller, now = Controller(settings, 7 + start, 100 * SECOND), 100 * SECOND
            orders = controller.turn(now, events_to_running(entries, 4, slices, first=False))
            first = [
                order
                for order in orders
                if not isinstance(
                    order,
                    interface.LogMessage | interface.Probe | interface.WatchRegistry | interface.SetTimer,
                )
            ]
            if default_retry > 1:
                assert first[0] == interface.SetAdmission(
                    None, 0b110, 1, 1.0 if admission_mode == "share" else 1e6
                )
            for step in range(600):
                now += 50 * MS
                events = acknowledgements(orders, 4, MS) + [interface.TimerFired(0)]
                if step == 100:
                    events.append(registry_changes(entries[0]._replace(state="draining")))
                if step % 20 == 0:
                    events += [
                        interface.ServerReport(101, "east", 6, 9, 3 * SECOND, SECOND, None),
                        *(
                            interface.RequestReport(n, kind.name, 9, 0, SECOND)
                            for n in range(slices)
                            for kind in classes
                        ),
                    ]
                orders = controller.turn(now, events)
                ordered += orders
        admitted = [order for order in ordered if isinstance(order, interface.SetAdmission)]
        assert all(order.retry <= 1 for order in admitted if order.class_mask & 0b110)
        assert all(order.retry == default_retry for order in admitted if order.class_mask == 0b001)
        if slices and admission_mode == "share":
            assert any(order.class_mask == 0b001 for order in admitted) and any(
                order.class_mask & 0b110 for order in admitted
            )


def test_the_list_is_asked_for_again_after_it_was_lost() -> None:
    controller = Controller(deployment(subscribes_to_registry=True), 7, 0)
    watched_at = []
    for now in range(0, 5 * SECOND, 100 * MS):
        orders = controller.turn(now, [interface.RegistryUpdate("lost", ())] if now == 100 * MS else [])
        watched_at += [now for order in orders if isinstance(order, interface.WatchRegistry)]
    assert len(watched_at) == 2 and watched_at[0] == 0 and watched_at[1] >= 600 * MS


def test_chance_and_fading_sums() -> None:
    one, two = RandomSource(9), RandomSource(9)
    draws = [one.draw() for _ in range(100)]
    assert draws == [two.draw() for _ in range(100)] and 0 <= min(draws) < 0.2 < 0.8 < max(draws) < 1
    fading = DecayingSum(SECOND)
    fading.add(0, 8.0)
    assert fading.read(2 * SECOND) == pytest.approx(2.0)


def test_waits_for_a_registry_that_fails_grow_differ_and_end_with_its_answer() -> None:
    """After a cut all controllers reconnect at once. An update counts as delivered after 6 s in any case, so
    several attempts must fit into that time.
    """

    def waits(seed: int) -> list[int]:
        now, found = 100 * SECOND, []
        controller = Controller(deployment(subscribes_to_registry=True), seed, now)
        assert interface.WatchRegistry() in controller.turn(now, [])
        for _ in range(12):
            orders, lost = controller.turn(now, [interface.RegistryUpdate("lost", ())]), now
            while interface.WatchRegistry() not in orders:
                orders = controller.turn(now := now + 50 * MS, [])
            found.append(now - lost)
        controller.turn(now, [registry_changes()])
        controller.turn(now, [interface.RegistryUpdate("lost", ())])
        controller.turn(
            now + 400 * MS, [interface.RegistryUpdate("lost", ())]
        )  # a loss that is reported twice delays the request no further
        assert interface.WatchRegistry() in controller.turn(now + 1550 * MS, [])
        return found

    several = [waits(seed) for seed in range(20)]
    assert max(max(found) for found in several) <= 2.4 * SECOND
    firsts, lasts = [found[0] for found in several], [sum(found[-4:]) / 4 for found in several]
    assert max(firsts) <= 1.6 * SECOND and max(firsts) - min(firsts) > 0.5 * SECOND
    assert sum(lasts) / 20 > 1.4 * SECOND


def test_controllers_that_start_at_once_probe_no_server_all_at_once() -> None:
    servers = tuple(server(n) for n in range(100))
    at: list[int] = []
    for seed in range(30):
        now = 100 * SECOND
        controller = Controller(deployment(), seed, now)
        orders = controller.turn(now, [interface.RegistryUpdate("remembered", servers)])
        while interface.Probe(0) not in orders:
            orders = controller.turn(now := now + 50 * MS, [])
        at.append(now - 100 * SECOND)
    assert max(at) <= 1.3 * SECOND  # within a lease, during which no slice is moved yet
    assert max(at.count(time) for time in at) < 6
