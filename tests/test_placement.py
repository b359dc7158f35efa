"""Which slices a cold or loaded server gets, and how many of their requests are admitted."""

from __future__ import annotations

import pytest
from fleet import MS, SECOND, Fleet, deployment, events_to_running, registry_changes, server

from lapispass import interface
from lapispass.controller import Controller


def test_a_restarted_owner_is_admitted_by_its_assured_capacity() -> None:
    fleet = Fleet(deployment(slices=3), 3, seed=9, requests=20, ran_s=5)
    fleet.change(101, "ready", fleet.now)
    fleet.run(0.2)
    assert {table.owner: table.share for table in fleet.store.values()}[101] < 0.2
    fleet.run(14)
    assert {table.owner: table.share for table in fleet.store.values()}[101] == 1


@pytest.mark.parametrize("queued", [False, True])
def test_a_cold_server_gets_more_by_what_it_has_completed_since_its_start(queued) -> None:
    # A lost zone was back. Its servers rejected most requests until they were warm, although nothing was
    # queued there: the margin for late reports was kept long after these had arrived.
    fleet = Fleet(deployment(slices=3), 3, seed=9, requests=20, ran_s=5)
    fleet.change(101, "ready", fleet.now)
    shares = []
    for _ in range(14):
        if queued:  # what it completes takes nearly the whole deadline
            fleet.events += [interface.ServerReport(101, "east", 0, 200, 1700 * MS, SECOND, None)]
        fleet.run(0.25)
        shares.append({table.owner: table.share for table in fleet.store.values()}[101])
    assert max(shares[:7]) < 0.1, "what it completed before its start does not count"
    assert (shares[-1] < 0.2) == queued


def test_what_a_server_does_for_other_controllers_counts_as_its_load() -> None:
    fleet = Fleet(deployment(slices=24, load_fields=("busy",)), 4, seed=17)
    for number in range(12, 24):  # these are another controller's
        fleet.events.append(interface.SliceGrant(number, False))
        del fleet.store[number]
    for _ in range(6):
        for backend in (100, 101, 102, 103):
            fleet.events.append(
                interface.ServerReport(
                    backend, "east", 0, 6, 200 * MS, SECOND, (0.2 if backend == 103 else 0.8,)
                )
            )
        fleet.run(1)
    fleet.change(102, "draining")
    fleet.run(9)
    assert {fleet.store[number].owner for number in (2, 6, 10)} == {103}


def test_a_server_just_started_counts_with_the_part_that_is_admitted_there() -> None:
    # Guards against overloading a server that has just started. Such a server was once given a slice 1.7 s
    # after its start, to relieve the slice's owner. The requests for that slice had tripled since the last
    # report.
    now = 100 * SECOND
    controller = Controller(deployment(), 1, now)
    controller.turn(now, events_to_running([server(n) for n in range(3)], 4, 6))
    controller.turn(now, [registry_changes(server(9, started_us=now)), interface.ProbeResult(9, 0, MS, None)])
    slice_, loads = controller.table.slice_index.slices[0], []
    for age in (1, 4):
        controller.turn(now + age * SECOND, [])
        placement = controller.table.placement
        placement.refresh()
        loads.append(
            placement.load_with(9, slice_) * placement.capacity(controller.backends[9]) / slice_.rate
        )
    assert loads == [pytest.approx(2), pytest.approx(1)]


def test_cold_owners_get_their_shares_with_their_slices_however_many_move() -> None:
    fleet = Fleet(
        deployment(proxies=40, slices=90, queue_limit_lines=9000.0, max_messages=1000),
        12,
        seed=18,
        requests=20,
        ran_s=5,
    )
    for backend in range(200, 206):
        fleet.change(backend, "ready", fleet.now)
    for backend in range(100, 109):
        fleet.change(backend, "draining")
    for _ in range(90):
        fleet.run(0.05)
        assert all(t.share < 1 for t in fleet.store.values() if (t.owner or 0) >= 200)
