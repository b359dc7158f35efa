"""When a server counts as failing or unresponsive, and when its slices leave it for that."""

from __future__ import annotations

import pytest
from fleet import MS, SECOND, Fleet, deployment, registry_changes, server

from lapispass import interface
from lapispass.policy.health import Backend


def test_an_unresponsive_server_loses_its_slices_and_an_overloaded_one_keeps_them() -> None:
    fleet = Fleet(deployment(), 5, seed=5, ran_s=4)
    fleet.unresponsive.add(101)
    fleet.run(12)
    assert 101 not in fleet.owners() and any("unresponsive" in line for line in fleet.logs)
    fleet.unresponsive.clear()
    for _ in range(8):
        fleet.events.append(interface.ServerReport(103, "east", 30, 50, 1900 * MS, SECOND, None))
        fleet.run(1)
    assert not any("failing" in line for line in fleet.logs)


@pytest.mark.parametrize(
    ("lost", "linger", "moves"), [(6, 3, True), (6, 5, False), (8, 5, True), (4, 3, False)]
)
def test_a_failing_server_loses_its_slices_where_a_handover_costs_less(lost, linger, moves) -> None:
    # Half of the tries at overloaded servers failed for some seconds. Their slices were handed over, which
    # left them unserved for seven seconds.
    fleet = Fleet(deployment(linger_us=linger * SECOND), backends=4, seed=1, ran_s=4)
    fleet.failing_tries[101] = lost
    fleet.run(12)
    assert any("failing" in line for line in fleet.logs) == moves
    assert (
        bool(sum(isinstance(t.owner, int) and t.owner != 100 + s % 4 for s, t in fleet.store.items()))
        == moves
    )


@pytest.mark.parametrize(
    ("backends", "failing", "moves"),
    [(12, (101, 103), True), (12, (101, 103, 105, 107), False), (3, (101,), True)],
)  # in the last case 101 is alone in its zone
def test_slices_stay_where_most_servers_of_a_zone_fail_at_once(backends, failing, moves) -> None:
    # A zone was cut off for some seconds. All its slices moved to the other servers, which could not carry
    # the load.
    fleet = Fleet(deployment(slices=24), backends=backends, seed=1, ran_s=4)
    fleet.failing_tries.update(dict.fromkeys(failing, 9))
    fleet.run(4)
    assert sum("failing" in line for line in fleet.logs) == len(failing)
    fleet.change(100, "draining")  # slices that must move go to a healthy server
    fleet.run(8)
    assert fleet.owners().isdisjoint(failing) == moves and 100 not in fleet.owners()
    assert all(fleet.store[s].owner not in failing for s in (0, 12))


@pytest.mark.parametrize(("failing", "moves"), [((101,), True), ((101, 103, 105, 107), False)])
def test_a_zone_is_judged_by_the_servers_that_a_controller_has_reports_about(failing, moves) -> None:
    # Each of five controllers had reports about a part of 120 servers. Of a zone of 61 servers, 24 failed at
    # once: all that had reports, but they counted as a minority. A quarter of the fleet's slices left servers
    # that had recovered, and were unserved for 6.5 s.
    fleet = Fleet(deployment(slices=12), backends=40, seed=1)  # 28 of the servers have no slice here
    fleet.run(4)
    fleet.failing_tries.update(dict.fromkeys(failing, 9))
    fleet.run(8)
    assert sum("failing" in line for line in fleet.logs) >= len(failing)
    moved = {s for s, table in fleet.store.items() if table.owner != 100 + s}
    assert moved == ({number - 100 for number in failing} if moves else set())


def test_a_failing_server_is_probed_until_it_answers_and_healthy_once_its_requests_succeed() -> None:
    # A probe that was lost just as its server became failing was the last one: three servers of a zone were
    # never used again.
    fleet = Fleet(deployment(slices=24), backends=12, seed=1, ran_s=4)
    fleet.failing_tries.update({n: 9 for n in (101, 103, 105, 107)})
    fleet.run(3)
    fleet.events += [interface.ProbeResult(n, 3, 1000, None) for n in (101, 103)]
    fleet.failing_tries.clear()
    fleet.run(5)
    assert sum("failing->healthy" in line for line in fleet.logs) == 4
    fleet.run(12)
    assert all(table.owner == 100 + s % 12 for s, table in fleet.store.items()), "nothing was moved"


def test_late_reports_about_all_servers_make_none_unresponsive() -> None:
    fleet = Fleet(deployment(), 5, seed=5, ran_s=4)
    fleet.unresponsive.update(fleet.registry)
    fleet.run(9)
    assert not any("unresponsive" in line for line in fleet.logs)


def test_a_listed_server_that_answers_nothing_gets_no_slices() -> None:
    fleet = Fleet(deployment(must_leave_gone=False), 4, seed=14)
    fleet.update_registry([interface.RegistryEntry(900, "east", "ready", 4.0, None)])
    fleet.run(3)
    fleet.change(102, "draining")
    fleet.run(10)
    assert not fleet.owners() & {900, 102} and None not in fleet.owners()


def test_a_registry_that_lists_running_servers_as_gone_moves_nothing() -> None:
    fleet = Fleet(deployment(must_leave_gone=False), 4, seed=13, ran_s=4)
    wrong_entries = [entry._replace(state="gone") for entry in list(fleet.registry.values())[:3]]
    fleet.update_registry(wrong_entries)
    fleet.run(8)
    assert {100, 101, 102} <= fleet.owners() and None not in fleet.owners()
    fleet.change(101, "gone")  # this one really is
    fleet.run(9)
    assert 101 not in fleet.owners() and None not in fleet.owners()


def test_reports_wait_for_the_next_evaluation_and_a_registry_update_does_not(monkeypatch) -> None:
    """Guards against evaluating all servers for each report, which took all the time of the process.

    In a large fleet every turn brings some reports and acknowledgements.
    """
    evaluated = []
    monkeypatch.setattr(Backend, "update_health", lambda backend: evaluated.append(backend.number))
    fleet = Fleet(deployment(proxies=40, slices=60), 60, seed=17, ran_s=0.1)
    evaluated.clear()
    turn, now = fleet.controller.turn, fleet.now
    for step in range(40):  # in 40 ms
        turn(
            now + step * MS,
            [
                interface.ServerReport(100, "east", 0, 5, 200 * MS, SECOND, None),
                interface.BarrierAck(step, 1, 90 * MS),
                interface.RequestReport(3, "look", 5, 0, SECOND),
            ],
        )
    assert len(evaluated) <= 60  # each server once
    evaluated.clear()
    orders = turn(now + 41 * MS, [registry_changes(server(107, "draining", "west"))])
    assert interface.SetWithdrawn(107, True) in orders
