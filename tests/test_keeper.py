"""The keeper of held connections: drains, their deadlines, and the plans for gates."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

import pytest
from fleet import deployment, server
from hypothesis import given, settings
from hypothesis import strategies as some
from support_core import BOARD, NOW, joined, keeper, opened, ready, rows, steering

from lapispass import interface
from lapispass.controller import Controller
from lapispass.core import drain
from lapispass.core.admission import Intake
from lapispass.core.facts import SECOND, Bounds
from lapispass.core.picture import Picture
from lapispass.core.plans import NONE, Version
from lapispass.core.tables import Address, SetLine, SetNode, SetOut, SetShare


def test_a_drain_does_not_slow_down_where_reports_are_late() -> None:
    """Found in a benchmark: most of a drain fell on its last quarter, since each plan began at an old
    count."""
    made, gate = keeper(), steering(2)
    made.joined(NOW, "g0", "east", NONE, {})
    for _ in range(400):
        opened(gate, BOARD, None)
    late = [gate.book.count("n0")] * 8  # reports are 0.8 s old
    views = [*ready("n1"), *ready("n0", state="out")]
    ends: dict[int, int] = {}
    for step in range(200):
        now = NOW + step * SECOND // 10
        late.append(gate.book.count("n0"))
        made.told(now, "g0", step, rows(n0=late.pop(0), n1=0))
        made.see(now, views)
        for plan in made.look(now).plans.values():
            gate.follow(now, plan)
        for release in gate.tick(now, SECOND // 10):
            gate.gone(gate.book.by_number[release.number])
            ends[step // 40] = ends.get(step // 40, 0) + 1
    assert gate.book.count("n0") == 0 and all(30 < ends[quarter] < 65 for quarter in range(4)), ends


@given(
    some.lists(
        some.tuples(
            some.integers(2, 60),
            some.dictionaries(some.sampled_from(["g0", "g1", "g2"]), some.integers(0, 400), min_size=1),
        ),
        min_size=1,
        max_size=6,
    ),
    some.integers(1, 12),
    some.integers(0, 6),
)
@settings(derandomize=True, max_examples=120, deadline=None)
def test_ceilings_sink_evenly_to_nothing_by_their_deadline(drains, warm: int, cold: int) -> None:
    nodes = ready(*(f"w{n}" for n in range(warm))) + ready(*(f"c{n}" for n in range(cold)), born_us=NOW)
    intake = Intake(Bounds(connections=500, new_per_s=20, cold_us=20 * SECOND))
    going = [drain.Leaving(f"d{n}", NOW + seconds * SECOND, held) for n, (seconds, held) in enumerate(drains)]
    ceilings, outlook = drain.plan(NOW, going, nodes, {}, intake, {})
    for node in going:
        for gate, held in node.held.items():
            line = ceilings[gate][node.node]
            assert line.at(NOW) <= held and line.at(node.deadline_us) == 0
            values = [line.at(NOW + step * SECOND // 4) for step in range(260)]
            assert values == sorted(values, reverse=True)
    total = sum(sum(node.held.values()) for node in going)
    assert outlook.leaving == total and 0 <= outlook.unfitting <= total
    if outlook.unfitting == 0 and total:
        rate = drain.DRAIN_PART * sum(intake.new_per_s(NOW + 60 * SECOND, node) for node in nodes)
        assert outlook.peak_per_s <= rate * 1.01 + 1


def test_nodes_that_leave_together_are_planned_as_one_and_as_evenly_as_deadlines_let() -> None:
    nodes = ready(*(f"w{n}" for n in range(10)))
    going = [
        drain.Leaving("a", NOW + 60 * SECOND, {"g": 5000}),
        drain.Leaving("b", NOW + 30 * SECOND, {"g": 2000}),
    ]
    _, outlook = drain.plan(NOW, going, nodes, {}, Intake(Bounds()), {})
    assert outlook.peak_per_s == pytest.approx(7000 / 58, rel=0.02) and outlook.unfitting == 0


def test_cold_destinations_are_given_no_more_than_their_share() -> None:
    nodes = ready("c0", "c1", born_us=NOW)
    bounds = Bounds(connections=10_000, new_per_s=100, cold_us=30 * SECOND, cold_share=0.1)
    _, outlook = drain.plan(
        NOW, [drain.Leaving("a", NOW + 30 * SECOND, {"g": 1500})], nodes, {}, Intake(bounds), {}
    )
    curve = next(iter(outlook.curves.values()))
    first = 1500 * (1 - curve.at(NOW + 3 * SECOND))
    assert first <= 3 * 2 * 100 * 0.2 * drain.DRAIN_PART + 1 and outlook.unfitting == 0


def test_many_gates_with_one_connection_each_do_not_all_wait_for_the_last_moment() -> None:
    held = {f"g{n}": 1 for n in range(200)}
    ceilings, _ = drain.plan(
        NOW, [drain.Leaving("a", NOW + 60 * SECOND, held)], ready("w"), {}, Intake(Bounds()), {}
    )
    stands = [sum(lines["a"].at(NOW + s * SECOND) for lines in ceilings.values()) for s in range(61)]
    assert max(a - b for a, b in pairwise(stands)) < 15
    assert 70 < stands[30] < 130


def test_a_drain_is_planned_for_every_gate_and_called_off_when_the_list_takes_it_back() -> None:
    made = keeper()
    for gate in ("g0", "g1"):
        joined(made, gate, n0=100, n1=100, n2=100)
    views = ready("n0", "n1", "n2")
    made.see(NOW, views)
    first = made.look(NOW).plans
    assert not first["g0"].ceilings and set(first["g0"].allotted) == {"n0", "n1", "n2"}
    made.see(NOW + SECOND, [replace(views[0], state="out"), *views[1:]])
    second = made.look(NOW + SECOND).plans
    for gate in ("g0", "g1"):
        line = second[gate].ceilings["n0"]
        assert line.deadline_us == NOW + SECOND + 18 * SECOND and "n0" not in second[gate].allotted
        assert 30 < line.at(NOW + 10 * SECOND) < 70
        assert second[gate].version > first[gate].version
    made.see(NOW + 2 * SECOND, views)
    third = made.look(NOW + 2 * SECOND).plans
    assert not third["g0"].ceilings and "n0" in third["g0"].allotted


def test_a_controller_that_starts_anew_goes_on_with_the_drain() -> None:
    made = keeper(NOW + 10 * SECOND)
    made.see(NOW + 10 * SECOND, ready("n1"))
    made.joined(NOW + 10 * SECOND, "g0", "east", Version(NOW, 7), {"n0": 5 * SECOND})
    made.told(NOW + 10 * SECOND, "g0", 1, rows(n0=50, n1=10))
    made.see(NOW + 11 * SECOND, [*ready("n1"), *ready("n0", state="out")])
    plan = made.look(NOW + 11 * SECOND).plans["g0"]
    assert plan.ceilings["n0"].deadline_us == NOW + 15 * SECOND  # and not 18 s from now
    assert plan.version > Version(NOW, 7)


def test_a_gate_that_knows_less_time_left_shortens_a_drain_that_was_begun_over() -> None:
    made = keeper()
    made.see(NOW, [*ready("n1"), *ready("n0", state="out")])
    made.joined(NOW, "g0", "east", Version(3, 1), {"n0": 4 * SECOND})
    made.told(NOW, "g0", 1, rows(n0=5))
    made.see(NOW, [*ready("n1"), *ready("n0", state="out")])
    assert made.look(NOW).plans["g0"].ceilings["n0"].deadline_us == NOW + 4 * SECOND


def test_a_clock_that_went_back_between_two_lives_makes_no_plan_look_old() -> None:
    made = keeper(NOW)
    made.see(NOW, ready("n0"))
    made.joined(NOW, "g0", "east", Version(NOW + 999, 40), {})
    assert made.look(NOW).plans["g0"].version > Version(NOW + 999, 40)


def test_nothing_is_planned_before_the_nodes_are_known() -> None:
    made = keeper()
    made.joined(NOW, "g0", "east", NONE, {})
    assert not made.look(NOW).plans
    made.see(NOW, ready("n0", state="unproven"))
    assert not made.look(NOW).plans
    made.see(NOW, [*ready("n0"), *ready("n1", state="unproven")])
    assert not made.look(NOW + SECOND).plans
    assert made.look(NOW + 4 * SECOND).plans


def test_where_all_nodes_leave_the_drains_are_kept_all_the_same() -> None:
    made = keeper()
    joined(made, "g0", n0=100, n1=100)
    made.see(NOW, ready("n0", "n1", state="out"))
    plan = made.look(NOW).plans["g0"]
    assert 80 < sum(line.at(NOW + 9 * SECOND) for line in plan.ceilings.values()) < 120
    assert made.outlook.unfitting == 200 and not plan.allotted


def test_an_older_report_than_the_last_is_left_out() -> None:
    made = keeper()
    made.joined(NOW, "g0", "east", NONE, {})
    made.told(NOW, "g0", 2, rows(n0=5))
    made.told(NOW, "g0", 1, rows(n0=99))
    assert made.held() == {"n0": 5}


def test_a_gate_that_died_counts_until_its_screens_are_back_and_is_forgotten() -> None:
    made = keeper(connections=100)
    for gate in ("g0", "g1"):
        joined(made, gate, n0=40)
    made.see(NOW, ready("n0"))
    made.left(NOW, "g1")
    made.look(NOW)
    plan = made.gates["g0"].sent
    assert plan.allotted["n0"].held <= 60
    made.look(NOW + 6 * SECOND)
    assert "g1" not in made.gates and made.gates["g0"].sent.allotted["n0"].held == 100


def test_a_node_full_of_quiet_screens_is_not_least_loaded() -> None:
    made = keeper(connections=1000)
    joined(made, "g0", n0=900, n1=0)
    made.see(NOW, ready("n0", "n1", pace=20.0))
    loads = made.look(NOW).loads
    assert loads["n0"] >= 18 and loads.get("n1", 0) == 0


def test_plans_that_say_the_same_are_not_sent_again() -> None:
    made = keeper()
    joined(made, "g0", n0=100, n1=100)
    made.see(NOW, [*ready("n0"), *ready("n1", state="out")])
    assert made.look(NOW).plans
    sent = 0
    for step in range(1, 100):
        now = NOW + step * SECOND // 10
        left = made.gates["g0"].sent.ceilings["n1"].at(now)
        made.told(now, "g0", 1 + step, rows(n0=100, n1=left))
        made.see(now, [*ready("n0"), *ready("n1", state="out")])
        sent += len(made.look(now).plans)
    assert sent <= 4


def test_the_module_weighs_held_connections_beside_visits() -> None:
    told = deployment(proxies=1, slices=4, probes_allowed=False, must_leave_gone=True, lease_us=0)
    made = Controller(told, 1, NOW)
    entries = tuple(server(name) for name in ("a", "b", "c"))
    events: list[interface.Event] = [
        interface.RegistryUpdate("whole", entries),
        interface.ProxyJoined(0, True, "east", 1.0),
    ]
    events += [interface.SliceGrant(number, True) for number in range(4)]
    events += [interface.StoredOwner(number, "c") for number in range(4)]
    made.turn(NOW, events)
    made.turn(NOW + 1, [interface.HeldConnectionLoad("a", 50.0)])
    owners = set()
    listed = (server("c", "draining"),)
    now = NOW + 2
    answers: list[interface.Event] = [interface.RegistryUpdate("changes", listed)]
    for _ in range(400):
        now += SECOND // 20
        orders = made.turn(now, answers)
        answers = [
            interface.BarrierAck(0, order.number, 1000)
            for order in orders
            if isinstance(order, interface.Barrier)
        ]
        owners |= {order.backend for order in orders if isinstance(order, interface.SetTableEntry)}
    assert owners == {"b"}


def test_the_picture_follows_events_and_orders_and_tells_a_turn_whole() -> None:
    kinds = (
        interface.RequestClass("look", 1, 1, 1.0, False, False),
        interface.RequestClass("pay", 1, 1, 1.0, True, False),
    )
    picture = Picture(4, kinds, True)
    changes, mark = picture.turn(
        [interface.SliceGrant(1, True), interface.StoredOwner(1, "a")], [], {"a": Address("x:1", "")}
    )
    assert changes == [SetNode("a", Address("x:1", "")), SetLine(1, "a")] and mark is None
    changes, mark = picture.turn(
        [], [interface.ClearTable(1), interface.Barrier(9, True)], {"a": Address("x:1", "")}
    )
    assert changes == [SetLine(1, None)] and mark == 9
    changes, _ = picture.turn(
        [],
        [interface.SetTableEntry(1, "b", 1.0), interface.SetAdmission(1, 2, 1, 0.0)],
        {"a": Address("x:1", "")},
    )
    assert changes == [SetLine(1, "b"), SetShare(1, 0.5, True)]
    changes, _ = picture.turn(
        [], [interface.SetAdmission(None, 3, 1, 1.0), interface.SetWithdrawn("b", True)], {}
    )
    assert SetShare(1, 1.0, False) in changes and SetOut("b", True) in changes
    assert picture.turn([interface.SliceGrant(1, True), interface.StoredOwner(1, "b")], [], {})[0] == []
