"""The connection controller: drains, their deadlines, and the plans for gates."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

import pytest
from fleet import deployment, server
from hypothesis import given, settings
from hypothesis import strategies as st
from support_core import (
    BOARD,
    NOW,
    connection_controller,
    join_gate,
    open_connection,
    ready_nodes,
    report_rows,
    steering,
)

from lapispass import interface
from lapispass.controller import Controller
from lapispass.core import drain
from lapispass.core.admission import Intake
from lapispass.core.plans import NO_VERSION, Version
from lapispass.core.shared_types import SECOND, Bounds
from lapispass.core.table_snapshot import TableSnapshot
from lapispass.core.tables import Address, SetNode, SetOwner, SetShare, SetWithdrawn


def test_a_drain_does_not_slow_down_where_reports_are_late() -> None:
    """Regression, found in a benchmark: each plan started at an outdated count.

    Most connections of a drain were therefore released in its last quarter.
    """
    controller, gate = connection_controller(), steering(2)
    controller.gate_joined(NOW, "g0", "east", NO_VERSION, {})
    for _ in range(400):
        open_connection(gate, BOARD, None)
    delayed = [gate.connections.count("n0")] * 8  # reports are 0.8 s old
    views = [*ready_nodes("n1"), *ready_nodes("n0", state="draining")]
    ends: dict[int, int] = {}
    for step in range(200):
        now = NOW + step * SECOND // 10
        delayed.append(gate.connections.count("n0"))
        controller.report_received(now, "g0", step, report_rows(n0=delayed.pop(0), n1=0))
        controller.update_nodes(now, views)
        for plan in controller.evaluate(now).plans.values():
            gate.apply_plan(now, plan)
        for release in gate.tick(now, SECOND // 10):
            gate.closed(gate.connections.by_number[release.number])
            ends[step // 40] = ends.get(step // 40, 0) + 1
    assert gate.connections.count("n0") == 0 and all(30 < ends[quarter] < 65 for quarter in range(4)), ends


@given(
    st.lists(
        st.tuples(
            st.integers(2, 60),
            st.dictionaries(st.sampled_from(["g0", "g1", "g2"]), st.integers(0, 400), min_size=1),
        ),
        min_size=1,
        max_size=6,
    ),
    st.integers(1, 12),
    st.integers(0, 6),
)
@settings(derandomize=True, max_examples=120, deadline=None)
def test_ceilings_sink_evenly_to_nothing_by_their_deadline(drains, warm: int, cold: int) -> None:
    nodes = ready_nodes(*(f"w{n}" for n in range(warm))) + ready_nodes(
        *(f"c{n}" for n in range(cold)), started_us=NOW
    )
    intake = Intake(Bounds(connections=500, new_per_s=20, cold_us=20 * SECOND))
    draining = [
        drain.DrainingNode(f"d{n}", NOW + seconds * SECOND, held) for n, (seconds, held) in enumerate(drains)
    ]
    ceilings, forecast = drain.plan(NOW, draining, nodes, {}, intake, {})
    for node in draining:
        for gate, held in node.held.items():
            ceiling = ceilings[gate][node.node]
            assert ceiling.at(NOW) <= held and ceiling.at(node.deadline_us) == 0
            values = [ceiling.at(NOW + step * SECOND // 4) for step in range(260)]
            assert values == sorted(values, reverse=True)
    total = sum(sum(node.held.values()) for node in draining)
    assert forecast.connections == total and 0 <= forecast.overflow <= total
    if forecast.overflow == 0 and total:
        rate = drain.DRAIN_SHARE * sum(intake.new_per_s(NOW + 60 * SECOND, node) for node in nodes)
        assert forecast.peak_per_s <= rate * 1.01 + 1


def test_nodes_that_leave_together_are_planned_as_one_and_as_evenly_as_deadlines_let() -> None:
    nodes = ready_nodes(*(f"w{n}" for n in range(10)))
    draining = [
        drain.DrainingNode("a", NOW + 60 * SECOND, {"g": 5000}),
        drain.DrainingNode("b", NOW + 30 * SECOND, {"g": 2000}),
    ]
    _, forecast = drain.plan(NOW, draining, nodes, {}, Intake(Bounds()), {})
    assert forecast.peak_per_s == pytest.approx(7000 / 58, rel=0.02) and forecast.overflow == 0


def test_cold_destinations_are_given_no_more_than_their_share() -> None:
    nodes = ready_nodes("c0", "c1", started_us=NOW)
    bounds = Bounds(connections=10_000, new_per_s=100, cold_us=30 * SECOND, cold_share=0.1)
    _, forecast = drain.plan(
        NOW, [drain.DrainingNode("a", NOW + 30 * SECOND, {"g": 1500})], nodes, {}, Intake(bounds), {}
    )
    curve = next(iter(forecast.curves.values()))
    first = 1500 * (1 - curve.at(NOW + 3 * SECOND))
    assert first <= 3 * 2 * 100 * 0.2 * drain.DRAIN_SHARE + 1 and forecast.overflow == 0


def test_many_gates_with_one_connection_each_do_not_all_wait_for_the_last_moment() -> None:
    held = {f"g{n}": 1 for n in range(200)}
    ceilings, _ = drain.plan(
        NOW, [drain.DrainingNode("a", NOW + 60 * SECOND, held)], ready_nodes("w"), {}, Intake(Bounds()), {}
    )
    totals = [sum(by_node["a"].at(NOW + s * SECOND) for by_node in ceilings.values()) for s in range(61)]
    assert max(a - b for a, b in pairwise(totals)) < 15
    assert 70 < totals[30] < 130


def test_a_drain_is_planned_for_every_gate_and_called_off_when_the_list_takes_it_back() -> None:
    controller = connection_controller()
    for gate in ("g0", "g1"):
        join_gate(controller, gate, n0=100, n1=100, n2=100)
    views = ready_nodes("n0", "n1", "n2")
    controller.update_nodes(NOW, views)
    first = controller.evaluate(NOW).plans
    assert not first["g0"].ceilings and set(first["g0"].allotted) == {"n0", "n1", "n2"}
    controller.update_nodes(NOW + SECOND, [replace(views[0], state="draining"), *views[1:]])
    second = controller.evaluate(NOW + SECOND).plans
    for gate in ("g0", "g1"):
        ceiling = second[gate].ceilings["n0"]
        assert ceiling.deadline_us == NOW + SECOND + 18 * SECOND and "n0" not in second[gate].allotted
        assert 30 < ceiling.at(NOW + 10 * SECOND) < 70
        assert second[gate].version > first[gate].version
    controller.update_nodes(NOW + 2 * SECOND, views)
    third = controller.evaluate(NOW + 2 * SECOND).plans
    assert not third["g0"].ceilings and "n0" in third["g0"].allotted


@pytest.mark.parametrize("state", ["unlisted", "gone", "removed"])
def test_a_drain_goes_on_where_its_node_leaves_the_list(state: str) -> None:
    """Guards against connections that stayed beyond the grace once their draining node was not listed."""
    controller, ready = connection_controller(), ready_nodes("n1")
    join_gate(controller, "g0", n0=10, n1=10)
    controller.update_nodes(NOW, [*ready, *ready_nodes("n0", state="draining")])
    deadline = controller.evaluate(NOW).plans["g0"].ceilings["n0"].deadline_us
    left = [] if state == "unlisted" else ready_nodes("n0", state=state)
    for at in (NOW + SECOND, NOW + 5 * SECOND):
        controller.update_nodes(at, [*ready, *left])
        controller.evaluate(at)
        assert controller.gates["g0"].last_plan.ceilings["n0"].deadline_us == deadline
    controller.update_nodes(NOW + 6 * SECOND, [*ready, *ready_nodes("n0")])
    controller.evaluate(NOW + 6 * SECOND)
    assert not controller.gates["g0"].last_plan.ceilings


def test_a_node_that_leaves_the_list_is_drained_until_nothing_is_held_there() -> None:
    """Guards against connections that stay for good at a node that the file does not name any more."""
    controller = connection_controller()
    join_gate(controller, "g0", n0=10, n1=10)
    controller.update_nodes(NOW, ready_nodes("n0", "n1"))
    controller.evaluate(NOW)
    controller.update_nodes(NOW + SECOND, ready_nodes("n1"))
    ceiling = controller.evaluate(NOW + SECOND).plans["g0"].ceilings["n0"]
    assert ceiling.deadline_us == NOW + SECOND + controller.terms.usable_us
    controller.report_received(ceiling.deadline_us, "g0", 9, report_rows(n1=20))
    controller.update_nodes(ceiling.deadline_us, ready_nodes("n1"))
    assert not controller.drains


def test_a_controller_that_starts_anew_goes_on_with_the_drain() -> None:
    controller = connection_controller(NOW + 10 * SECOND)
    controller.update_nodes(NOW + 10 * SECOND, ready_nodes("n1"))
    controller.gate_joined(NOW + 10 * SECOND, "g0", "east", Version(NOW, 7), {"n0": 5 * SECOND})
    controller.report_received(NOW + 10 * SECOND, "g0", 1, report_rows(n0=50, n1=10))
    controller.update_nodes(NOW + 11 * SECOND, [*ready_nodes("n1"), *ready_nodes("n0", state="draining")])
    plan = controller.evaluate(NOW + 11 * SECOND).plans["g0"]
    assert plan.ceilings["n0"].deadline_us == NOW + 15 * SECOND  # and not 18 s from now
    assert plan.version > Version(NOW, 7)


def test_a_gate_that_knows_less_time_left_shortens_a_drain_that_was_begun_over() -> None:
    controller = connection_controller()
    controller.update_nodes(NOW, [*ready_nodes("n1"), *ready_nodes("n0", state="draining")])
    controller.gate_joined(NOW, "g0", "east", Version(3, 1), {"n0": 4 * SECOND})
    controller.report_received(NOW, "g0", 1, report_rows(n0=5))
    controller.update_nodes(NOW, [*ready_nodes("n1"), *ready_nodes("n0", state="draining")])
    assert controller.evaluate(NOW).plans["g0"].ceilings["n0"].deadline_us == NOW + 4 * SECOND


def test_a_clock_that_went_back_between_two_incarnations_makes_no_plan_look_old() -> None:
    controller = connection_controller(NOW)
    controller.update_nodes(NOW, ready_nodes("n0"))
    controller.gate_joined(NOW, "g0", "east", Version(NOW + 999, 40), {})
    assert controller.evaluate(NOW).plans["g0"].version > Version(NOW + 999, 40)


def test_nothing_is_planned_before_the_nodes_are_known() -> None:
    controller = connection_controller()
    controller.gate_joined(NOW, "g0", "east", NO_VERSION, {})
    assert not controller.evaluate(NOW).plans
    controller.update_nodes(NOW, ready_nodes("n0", state="unproven"))
    assert not controller.evaluate(NOW).plans
    controller.update_nodes(NOW, [*ready_nodes("n0"), *ready_nodes("n1", state="unproven")])
    assert not controller.evaluate(NOW + SECOND).plans
    assert controller.evaluate(NOW + 4 * SECOND).plans


def test_where_all_nodes_leave_the_drains_are_kept_all_the_same() -> None:
    controller = connection_controller()
    join_gate(controller, "g0", n0=100, n1=100)
    controller.update_nodes(NOW, ready_nodes("n0", "n1", state="draining"))
    plan = controller.evaluate(NOW).plans["g0"]
    assert 80 < sum(ceiling.at(NOW + 9 * SECOND) for ceiling in plan.ceilings.values()) < 120
    assert controller.forecast.overflow == 200 and not plan.allotted


def test_an_older_report_than_the_last_is_left_out() -> None:
    controller = connection_controller()
    controller.gate_joined(NOW, "g0", "east", NO_VERSION, {})
    controller.report_received(NOW, "g0", 2, report_rows(n0=5))
    controller.report_received(NOW, "g0", 1, report_rows(n0=99))
    assert controller.held() == {"n0": 5}


def test_a_gate_that_died_counts_until_its_clients_are_back_and_is_forgotten() -> None:
    controller = connection_controller(connections=100)
    for gate in ("g0", "g1"):
        join_gate(controller, gate, n0=40)
    controller.update_nodes(NOW, ready_nodes("n0"))
    controller.gate_left(NOW, "g1")
    controller.evaluate(NOW)
    plan = controller.gates["g0"].last_plan
    assert plan.allotted["n0"].held <= 60
    controller.evaluate(NOW + 6 * SECOND)
    assert "g1" not in controller.gates and controller.gates["g0"].last_plan.allotted["n0"].held == 100


def test_a_node_full_of_idle_clients_is_not_least_loaded() -> None:
    controller = connection_controller(connections=1000)
    join_gate(controller, "g0", n0=900, n1=0)
    controller.update_nodes(NOW, ready_nodes("n0", "n1", requests_per_s=20.0))
    loads = controller.evaluate(NOW).loads
    assert loads["n0"] >= 18 and loads.get("n1", 0) == 0


def test_plans_that_say_the_same_are_not_sent_again() -> None:
    controller = connection_controller()
    join_gate(controller, "g0", n0=100, n1=100)
    controller.update_nodes(NOW, [*ready_nodes("n0"), *ready_nodes("n1", state="draining")])
    assert controller.evaluate(NOW).plans
    sent = 0
    for step in range(1, 100):
        now = NOW + step * SECOND // 10
        left = controller.gates["g0"].last_plan.ceilings["n1"].at(now)
        controller.report_received(now, "g0", 1 + step, report_rows(n0=100, n1=left))
        controller.update_nodes(now, [*ready_nodes("n0"), *ready_nodes("n1", state="draining")])
        sent += len(controller.evaluate(now).plans)
    assert sent <= 4


def test_the_module_weighs_held_connections_beside_requests() -> None:
    deployed = deployment(proxies=1, slices=4, probes_allowed=False, must_leave_gone=True, lease_us=0)
    controller = Controller(deployed, 1, NOW)
    entries = tuple(server(name) for name in ("a", "b", "c"))
    events: list[interface.Event] = [
        interface.RegistryUpdate("whole", entries),
        interface.ProxyJoined(0, True, "east", 1.0),
    ]
    events += [interface.SliceGrant(number, True) for number in range(4)]
    events += [interface.StoredOwner(number, "c") for number in range(4)]
    controller.turn(NOW, events)
    controller.turn(NOW + 1, [interface.HeldConnectionLoad("a", 50.0)])
    owners = set()
    listed = (server("c", "draining"),)
    now = NOW + 2
    answers: list[interface.Event] = [interface.RegistryUpdate("changes", listed)]
    for _ in range(400):
        now += SECOND // 20
        orders = controller.turn(now, answers)
        answers = [
            interface.BarrierAck(0, order.number, 1000)
            for order in orders
            if isinstance(order, interface.Barrier)
        ]
        owners |= {order.backend for order in orders if isinstance(order, interface.SetTableEntry)}
    assert owners == {"b"}


def test_the_snapshot_follows_events_and_orders_and_returns_the_changes_of_a_whole_turn() -> None:
    kinds = (
        interface.RequestClass("look", 1, 1, 1.0, False, False),
        interface.RequestClass("pay", 1, 1, 1.0, True, False),
    )
    snapshot = TableSnapshot(4, kinds, True)
    changes, barrier = snapshot.apply_turn(
        [interface.SliceGrant(1, True), interface.StoredOwner(1, "a")], [], {"a": Address("x:1", "")}
    )
    assert changes == [SetNode("a", Address("x:1", "")), SetOwner(1, "a")] and barrier is None
    changes, barrier = snapshot.apply_turn(
        [], [interface.ClearTable(1), interface.Barrier(9, True)], {"a": Address("x:1", "")}
    )
    assert changes == [SetOwner(1, None)] and barrier == 9
    changes, _ = snapshot.apply_turn(
        [],
        [interface.SetTableEntry(1, "b", 1.0), interface.SetAdmission(1, 2, 1, 0.0)],
        {"a": Address("x:1", "")},
    )
    assert changes == [SetOwner(1, "b"), SetShare(1, 0.5, True)]
    changes, _ = snapshot.apply_turn(
        [], [interface.SetAdmission(None, 3, 1, 1.0), interface.SetWithdrawn("b", True)], {}
    )
    assert SetShare(1, 1.0, False) in changes and SetWithdrawn("b", True) in changes
    assert (
        snapshot.apply_turn([interface.SliceGrant(1, True), interface.StoredOwner(1, "b")], [], {})[0] == []
    )
