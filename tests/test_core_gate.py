"""The decisions about held connections: pure, so each case is told its time, its chance and its news."""

from __future__ import annotations

import random
from dataclasses import replace
from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as some

from lapispass import interface
from lapispass.core import drain, leaving
from lapispass.core.admission import Admission, Allotment, Demand, Intake, Refused, whole_parts
from lapispass.core.costs import Costs
from lapispass.core.facts import NEVER, SECOND, Bounds, ConnectionClass, DrainTerms, NodeView
from lapispass.core.fence import Fences, Lease
from lapispass.core.keeper import Counted, Keeper
from lapispass.core.limits import Rate, Returns
from lapispass.core.picture import Picture
from lapispass.core.plans import NONE, Ceiling, Curve, Plan, Version
from lapispass.core.steering import Go, Steering, Unfit
from lapispass.core.tables import Address, Asked, SetLine, SetNode, SetOut, SetShare, Tables, slice_of

BOARD = ConnectionClass("board", "/board", False, True, 1.0, 0.05)
TILL = ConnectionClass("till", "/till", True, False, 3.0, 0.05)
NOW = 1_000 * SECOND
ROOMY = Allotment(1000, 1000.0, 1000)


def ready(*names: str, **more: object) -> list[NodeView]:
    return [replace(NodeView(name, "east", "ready"), **more) for name in names]


def steering(nodes: int = 2, slices: int = 8, **more: object) -> Steering:
    told = dict(
        classes=(BOARD, TILL),
        slices=slices,
        connections=10_000,
        new_per_s=1e5,
        burst=10_000,
        seed=3,
        lease_us=0,
        early_us=0,
        come_back_us=(SECOND // 2, 60 * SECOND),
    )
    made = Steering(**{**told, **more})  # type: ignore[arg-type]
    names = [f"n{number}" for number in range(nodes)]
    made.apply([SetNode(name, Address("127.0.0.1:1", "east")) for name in names])
    made.apply([SetLine(number, names[number % nodes]) for number in range(slices)])
    made.follow(NOW, Plan(Version(0, 1), {}, dict.fromkeys(names, ROOMY)))
    return made


def key_of(number: int, slices: int = 8) -> str:
    return next(f"k{n}" for n in range(1000) if slice_of(f"k{n}", slices) == number)


def falling(held: int, end_us: int, begin_us: int = NOW) -> Ceiling:
    """Evenly down to nothing."""
    return Ceiling(Curve(((min(begin_us, end_us - 1), 1.0), (end_us, 0.0)), end_us), held, 0.5)


def opened(made: Steering, kind: ConnectionClass, key: str | None, now: int = NOW):
    go = made.arrive(now, kind, key)
    assert isinstance(go, Go), go
    return made.stand(now, kind, go, key)


# limits


@given(some.floats(0.5, 500), some.integers(1, 30), some.lists(some.integers(0, 3 * SECOND), max_size=80))
@settings(derandomize=True, max_examples=150, deadline=None)
def test_a_rate_lets_no_span_have_more_than_its_burst_and_its_pace(
    per_s: float, burst: int, gaps: list[int]
) -> None:
    rate, now, let = Rate(per_s, burst), NOW, []
    for gap in gaps:
        now += gap
        wait = rate.wait_us(now)
        assert rate.take(now) == (wait == 0)
        if not wait:
            let.append(now)
        else:
            assert rate.wait_us(now + wait + 1) == 0  # what it says holds
    for first in range(len(let)):
        for last in range(first, len(let)):
            assert last - first + 1 <= burst + (let[last] - let[first]) * per_s / SECOND + 1e-6 + 1


def test_a_slower_rate_owes_what_the_faster_one_took() -> None:
    rate = Rate(100.0, 10)
    for _ in range(10):
        assert rate.take(NOW)
    rate.set(NOW, 1.0, 10)
    assert not rate.take(NOW) and rate.wait_us(NOW) > SECOND // 2


def test_returns_are_spread_and_never_beyond_the_most() -> None:
    returns = Returns(20.0, SECOND // 2, 10 * SECOND, 9)
    delays = [returns.delay_us(NOW) for _ in range(1000)]
    assert min(delays) >= SECOND // 2 and max(delays) <= 10 * SECOND
    in_time = sorted(delays[:190])
    assert all(sum(at <= d < at + SECOND for d in in_time) <= 22 for at in in_time)
    late = sorted(delays[200:])  # folded back over the last half, not all at its end
    assert late[0] < 6 * SECOND and sum(d > 9 * SECOND for d in late) < 250
    assert [Returns(20.0, 1, 10**7, 1).delay_us(NOW) for _ in range(3)] != [
        Returns(20.0, 1, 10**7, 2).delay_us(NOW) for _ in range(3)
    ]


# tables


@given(
    some.lists(some.tuples(some.integers(0, 5), some.sampled_from(["a", "b", None])), max_size=30),
    some.lists(some.tuples(some.integers(0, 5), some.sampled_from(["a", "b", None])), max_size=30),
    some.sets(some.sampled_from("ab")),
    some.sets(some.sampled_from("ab")),
)
@settings(derandomize=True, max_examples=200, deadline=None)
def test_differences_make_what_stands_equal_and_twice_is_as_good_as_once(
    there, here, out_there, out_here
) -> None:
    first, second = Tables(6), Tables(6)
    for tables, lines, out in ((first, there, out_there), (second, here, out_here)):
        for number, owner in lines:
            tables.apply(SetLine(number, owner))
            tables.apply(
                SetShare(number, 0.5, number % 2 == 0) if owner == "a" else SetShare(number, 1.0, False)
            )
        for node in out:
            tables.apply(SetOut(node, True))
    made = list(second.differences(first))
    for change in made + made:
        first.apply(change)
    assert (first.owners, first.shares, first.out) == (second.owners, second.shares, second.out)
    assert not list(second.differences(first))


def test_the_slice_of_a_key_never_changes() -> None:
    assert [slice_of(key, 1000) for key in ("", "a", "trade-order", "böard")] == [921, 955, 701, 797]


# rule 2


def test_a_mark_waits_for_the_writer_that_has_not_been_proven() -> None:
    made = steering()
    till = opened(made, TILL, key_of(0))
    made.wrote(NOW, till, 10)
    effects = made.apply([SetLine(0, None), Asked(7)])
    assert effects.stopped == [till.number] and effects.answers == []
    assert not made.may_write(NOW, till)
    assert made.proven(till, till.written) == [7]
    assert made.apply([SetLine(0, "n1"), Asked(8)]).answers == [8]
    assert not made.may_write(NOW, till)  # it stands at the former owner


def test_a_writer_that_has_written_nothing_new_holds_up_no_mark() -> None:
    made = steering()
    till = opened(made, TILL, key_of(0))
    made.wrote(NOW, till, 10)
    assert made.proven(till, 1) == []
    assert made.apply([SetLine(0, None), Asked(7)]).answers == [7]


def test_a_message_that_has_begun_holds_up_the_mark_to_its_end() -> None:
    made = steering()
    till = opened(made, TILL, key_of(0))
    till.inside = True
    assert made.apply([SetLine(0, None), Asked(7)]).answers == []
    made.wrote(NOW, till, 10)
    till.inside = False
    assert made.proven(till, 1) == [7]


def test_a_proof_older_than_a_later_write_proves_nothing_of_it() -> None:
    """Found by thought: owner, nobody, the same owner again, while the first ping's answer is on its way."""
    made = steering()
    till = opened(made, TILL, key_of(0))
    made.wrote(NOW, till, 10)
    pinged = till.written
    made.apply([SetLine(0, None), Asked(1)])
    made.apply([SetLine(0, "n0"), Asked(2)])
    assert made.may_write(NOW, till)
    made.wrote(NOW, till, 10)
    made.proven(till, pinged)  # late
    assert till.unproven
    assert made.apply([SetLine(0, None), Asked(3)]).answers == []


def test_marks_are_answered_in_order_and_a_new_stream_forgets_them_but_not_what_is_owed() -> None:
    fences = Fences()
    fences.stop(1)
    fences.ask(1)
    fences.ask(2)
    assert fences.answers() == []
    fences.restart()
    fences.ask(3)
    assert fences.answers() == []
    fences.prove(1)
    assert fences.answers() == [3]


def test_the_lease_counts_from_when_the_answered_beat_was_sent() -> None:
    lease = Lease(1000, 200)
    lease.renew(50)
    lease.renew(20)
    assert lease.holds(849) and not lease.holds(850)


def test_a_lease_that_the_controller_shortens_still_lets_writes_through() -> None:
    """Found in a benchmark: stopped 1.5 s early, a lease of 1.5 s never held."""
    lease = Lease(3 * SECOND, 3 * SECOND)
    lease.length_us = SECOND
    lease.renew(NOW)
    assert lease.holds(NOW + SECOND // 4) and not lease.holds(NOW + SECOND // 2)


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


def test_without_word_of_the_controller_writers_are_stopped_once() -> None:
    made = steering(lease_us=SECOND, early_us=SECOND // 10)
    assert made.lease is not None
    made.lease.renew(NOW)
    made.expired(NOW)
    till = opened(made, TILL, key_of(0))
    made.wrote(NOW, till, 1)
    late = NOW + SECOND
    assert not made.may_write(late, till)
    assert made.expired(late) == [till.number] and made.expired(late) == []
    made.lease.renew(late)
    made.expired(late)
    assert made.may_write(late, till)


def test_writes_that_are_shut_or_at_a_node_shut_out_do_not_pass() -> None:
    made = steering()
    till = opened(made, TILL, key_of(0))
    made.apply([SetShare(0, 1.0, True)])
    assert not made.may_write(NOW, till)
    made.apply([SetShare(0, 1.0, False)])
    assert made.may_write(NOW, till)
    made.apply([SetOut("n0", True)])
    assert not made.may_write(NOW, till)


@given(some.integers(0, 10_000))
@settings(derandomize=True, max_examples=120, deadline=None)
def test_random_days_of_one_gate_never_answer_a_mark_while_an_older_table_can_write(seed: int) -> None:
    """A plain model beside the steering: the nodes' unread bytes. When a mark is answered none of them is
    older."""
    chance, made, now = random.Random(seed), steering(3), NOW
    unread: dict[int, list[int]] = {}  # connection: marks in force when its unread pieces were written
    asked, answered, mark = [], [], 0
    held = [opened(made, TILL, key_of(number % 8)) for number in range(12)]
    pings: list[tuple] = []

    def heard(marks: list[int]) -> None:
        for answer in marks:
            answered.append(answer)
            stale = {n: w for n, writes in unread.items() for w in writes if w < answer and w >= 0}
            for number, written_at in stale.items():
                one = made.book.by_number[number]
                assert made.tables.may_write(one.slice, one.node) or changed.get(one.slice, 0) > answer, (
                    f"mark {answer} answered, connection {number} has unread bytes of {written_at}"
                )

    changed: dict[int, int] = {}
    for _ in range(150):
        now += 1000
        match chance.randrange(6):
            case 0 | 1:
                one = chance.choice(held)
                if made.may_write(now, one):
                    made.wrote(now, one, 5)
                    unread.setdefault(one.number, []).append(mark)
            case 2:
                mark += 1
                number = chance.randrange(8)
                effects = made.apply([SetLine(number, chance.choice([None, "n0", "n1", "n2"])), Asked(mark)])
                changed[number] = mark
                asked.append(mark)
                pings += [(number, made.book.by_number[number].written) for number in effects.stopped]
                heard(effects.answers)
            case 3 if pings:  # answers come in order at each connection, late against others
                number, written = pings.pop(chance.randrange(len(pings)))
                one = made.book.by_number[number]
                gone = written - (one.written - len(unread.get(number, ())))
                unread[number] = unread.get(number, [])[max(0, gone) :]
                heard(made.proven(one, written))
            case 4:
                one = chance.choice(held)
                unread.pop(one.number, None)
                heard(made.cut(one))
    assert answered == sorted(answered) and set(answered) <= set(asked)


# arrivals


def test_a_key_goes_to_its_owner_and_nowhere_else() -> None:
    made = steering()
    for number in range(8):
        go = made.arrive(NOW, TILL, key_of(number))
        assert go == Go(f"n{number % 2}", number)
    made.apply([SetLine(0, None)])
    refused = made.arrive(NOW, TILL, key_of(0))
    assert isinstance(refused, Refused) and refused.retry_after_us >= SECOND // 2


def test_a_writer_without_a_key_is_unfit() -> None:
    assert isinstance(steering().arrive(NOW, TILL, None), Unfit)


def test_quiet_screens_go_where_room_is_and_not_to_a_node_that_leaves() -> None:
    made = steering(3)
    made.follow(
        NOW,
        Plan(
            Version(0, 2),
            {"n0": falling(0, NOW + SECOND)},
            {"n1": Allotment(100, 1e4, 1000), "n2": Allotment(100, 1e4, 1000)},
        ),
    )
    for _ in range(150):
        opened(made, BOARD, None)
    assert made.book.count("n0") == 0
    assert abs(made.book.count("n1") - made.book.count("n2")) < 25


def test_a_full_node_is_refused_and_says_when_to_come_back() -> None:
    made = steering()
    made.follow(
        NOW, Plan(Version(0, 2), {}, {"n0": Allotment(1, 1000.0, 10), "n1": Allotment(0, 1000.0, 10)})
    )
    opened(made, BOARD, None)
    answer = made.arrive(NOW, BOARD, None)
    assert isinstance(answer, Refused) and answer.why == "nodes full"
    made.gone(next(iter(made.book)))
    assert isinstance(made.arrive(NOW, BOARD, None), Go)


def test_what_fails_on_the_way_gives_its_place_back() -> None:
    made = steering(1)
    made.follow(NOW, Plan(Version(0, 2), {}, {"n0": Allotment(1, 1.0, 1)}))
    for _ in range(5):
        go = made.arrive(NOW, BOARD, None)
        assert isinstance(go, Go)
        made.fail(go.node)
    assert made.held_at("n0") == 0 and not made.coming


def test_the_gates_own_bounds_come_first() -> None:
    returns = Returns(10.0, SECOND, 60 * SECOND, 1)
    admission = Admission(2, 1e6, 100, returns)
    assert admission.gate_full(NOW, 1) is None
    full = admission.gate_full(NOW, 2)
    assert full is not None and full.why == "gate full"
    slow = Admission(100, 1.0, 1, returns)
    assert slow.gate_full(NOW, 0) is None
    again = slow.gate_full(NOW, 0)
    assert again is not None and again.why == "gate's pace" and again.retry_after_us >= SECOND


# plans


def test_a_plan_that_is_not_newer_changes_nothing() -> None:
    made = steering()
    new = Plan(Version(5, 2), {"n0": falling(0, NOW)}, {})
    assert made.follow(NOW, new)
    assert not made.follow(NOW, Plan(Version(5, 2), {}, {}))  # twice
    assert not made.follow(NOW, Plan(Version(5, 1), {}, {}))  # out of order
    assert not made.follow(NOW, Plan(Version(4, 9), {}, {}))  # of an earlier life
    assert made.plan is new


def test_a_late_plan_is_caught_up_with_in_steps_and_kept_at_the_deadline() -> None:
    made = steering(2)
    for _ in range(300):
        opened(made, BOARD, None)
    at_n0 = made.book.count("n0")
    line = falling(at_n0, NOW + 2 * SECOND, NOW - 8 * SECOND)
    made.follow(NOW, Plan(Version(0, 2), {"n0": line}, {"n1": ROOMY}))
    now, most = NOW, 0
    while now <= NOW + 2 * SECOND:
        releases = made.tick(now, SECOND // 10)
        most = max(most, len(releases))
        for release in releases:
            made.gone(made.book.by_number[release.number])
        now += SECOND // 10
    assert most <= at_n0 // 4 and made.book.count("n0") == 0


def test_the_least_disturbing_go_first() -> None:
    made = steering(1)
    quiet, busy, blocked, inside = (
        opened(made, kind, key)
        for kind, key in ((BOARD, None), (BOARD, None), (TILL, key_of(1)), (BOARD, None))
    )
    quiet.last_us, busy.last_us, inside.last_us = NOW - 60 * SECOND, NOW, 0
    blocked.waiting, inside.inside = True, True
    chosen = leaving.choose(made.book.at("n0"), 4, NOW, False)
    assert [(r.number, r.how) for r in chosen] == [
        (blocked.number, "close"),
        (quiet.number, "move"),
        (busy.number, "move"),
    ]
    assert (inside.number, "close") in leaving.choose(made.book.at("n0"), 4, NOW, True)


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


@given(
    some.integers(0, 5000),
    some.dictionaries(some.text(max_size=3), some.floats(0, 10), min_size=1, max_size=8),
)
@settings(derandomize=True, max_examples=100, deadline=None)
def test_whole_parts_add_up(total: int, shares: dict[str, float]) -> None:
    parts = whole_parts(total, shares)
    assert min(parts.values()) >= 0
    assert sum(parts.values()) == (total if sum(shares.values()) > 0 else min(total, len(parts)))


def test_allotments_never_add_up_to_more_than_a_node_takes() -> None:
    intake = Intake(Bounds(connections=100, new_per_s=10, cold_us=10 * SECOND, cold_share=0.2))
    cold = ready("c", born_us=NOW)[0]
    demands = {"a": Demand(5, 1.0), "b": Demand(0, 30.0), "c": Demand(3, 0.0)}
    parts = intake.allot(NOW, cold, demands, 1.0, 4)
    assert sum(part.held for part in parts.values()) + 4 == 20
    assert sum(part.new_per_s for part in parts.values()) == pytest.approx(2.0)
    ill = replace(cold, state="ill")
    assert all(
        part.new_per_s == 0 and part.held == demands[gate].held
        for gate, part in intake.allot(NOW, ill, demands).items()
    )


def test_many_gates_together_have_no_more_than_a_nodes_burst() -> None:
    """Found at full size: twenty gates with one each sent a cold node twice what it takes within a second."""
    intake = Intake(Bounds(connections=400, new_per_s=10, burst=5, cold_us=30 * SECOND, cold_share=0.2))
    cold = ready("c", born_us=NOW)[0]
    demands = {f"g{n}": Demand(0, 1.0) for n in range(20)}
    served: set[str] = set()
    for step in range(60):
        parts = intake.allot(NOW + step * 10 * SECOND, cold, demands)
        rates = {gate: part for gate, part in parts.items() if part.new_per_s > 0}
        burst = max(1, int(5 * cold.warmth(NOW + step * 10 * SECOND, intake.bounds)))
        assert sum(part.burst for part in rates.values()) <= burst
        assert sum(part.new_per_s for part in parts.values()) == pytest.approx(
            intake.new_per_s(NOW + step * 10 * SECOND, cold)
        )
        served |= rates.keys()
    assert served == demands.keys()  # each has its turn


# costs


def test_costs_are_learned_from_busy_shares_and_not_from_the_start_values() -> None:
    chance, costs = random.Random(4), Costs(["board", "till"], {"board": 0.05, "till": 0.05})
    real = {"board": 0.02, "till": 0.5}
    for _ in range(300):
        held = {"board": chance.randint(0, 1500), "till": chance.randint(0, 60)}
        visits = chance.uniform(5, 40)
        work = visits + sum(real[name] * count for name, count in held.items())
        costs.observe(work / 100 * chance.uniform(0.9, 1.1), visits, held, 1.0, True)
    assert costs.of("board") == pytest.approx(0.02, rel=0.15) and costs.of("till") == pytest.approx(
        0.5, rel=0.15
    )
    assert costs.speed() == pytest.approx(100, rel=0.1)


def test_a_class_never_seen_keeps_its_start_value_and_noise_makes_no_cost_negative() -> None:
    chance, costs = random.Random(5), Costs(["board", "never"], {"board": 0.05, "never": 0.3})
    for _ in range(3000):
        costs.observe(
            chance.uniform(0.1, 0.9), chance.uniform(1, 90), {"board": chance.randint(0, 9)}, 1.0, True
        )
    assert costs.of("board") >= 0 and costs.speed() > 0
    assert all(0 <= value < 1e6 for value in costs.theta)


# the keeper


def keeper(now: int = NOW, **bounds: object) -> Keeper:
    return Keeper(
        (BOARD, TILL), Bounds(**bounds), DrainTerms(20 * SECOND, 2 * SECOND, SECOND // 2, 60 * SECOND), now
    )


def rows(**held: int) -> dict[str, dict[str, Counted]]:
    return {node: {"board": Counted(count)} for node, count in held.items()}


def test_a_drain_is_planned_for_every_gate_and_called_off_when_the_list_takes_it_back() -> None:
    made = keeper()
    for gate in ("g0", "g1"):
        made.joined(NOW, gate, "east", NONE, {})
        made.told(NOW, gate, 1, rows(n0=100, n1=100, n2=100))
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
    made.joined(NOW, "g0", "east", NONE, {})
    made.told(NOW, "g0", 1, rows(n0=100, n1=100))
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
        made.joined(NOW, gate, "east", NONE, {})
        made.told(NOW, gate, 1, rows(n0=40))
    made.see(NOW, ready("n0"))
    made.left(NOW, "g1")
    made.look(NOW)
    plan = made.gates["g0"].sent
    assert plan.allotted["n0"].held <= 60
    made.look(NOW + 6 * SECOND)
    assert "g1" not in made.gates and made.gates["g0"].sent.allotted["n0"].held == 100


def test_a_node_full_of_quiet_screens_is_not_least_loaded() -> None:
    made = keeper(connections=1000)
    made.joined(NOW, "g0", "east", NONE, {})
    made.told(NOW, "g0", 1, rows(n0=900, n1=0))
    made.see(NOW, ready("n0", "n1", pace=20.0))
    loads = made.look(NOW).loads
    assert loads["n0"] >= 18 and loads.get("n1", 0) == 0


def test_plans_that_say_the_same_are_not_sent_again() -> None:
    made = keeper()
    made.joined(NOW, "g0", "east", NONE, {})
    made.told(NOW, "g0", 1, rows(n0=100, n1=100))
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


# the module


def test_the_module_weighs_held_connections_beside_visits() -> None:
    from fleet import deployment

    from lapispass.controller import Controller

    told = deployment(proxies=1, slices=4, may_probe=False, gone_binds=True, lease_us=0)
    made = Controller(told, 1, NOW)
    entries = tuple(interface.Entry(name, "east", "ready", 1.0, None) for name in ("a", "b", "c"))
    events: list[interface.Event] = [
        interface.Listed("whole", entries),
        interface.Joined(0, True, "east", 1.0),
    ]
    events += [interface.Given(number, True) for number in range(4)]
    events += [interface.Held(number, "c") for number in range(4)]
    made.turn(NOW, events)
    made.turn(NOW + 1, [interface.Holding("a", 50.0)])
    owners = set()
    listed = (interface.Entry("c", "east", "draining", 1.0, None),)
    now = NOW + 2
    answers: list[interface.Event] = [interface.Listed("changes", listed)]
    for _ in range(400):
        now += SECOND // 20
        orders = made.turn(now, answers)
        answers = [
            interface.Answered(0, order.number, 1000) for order in orders if isinstance(order, interface.Mark)
        ]
        owners |= {order.backend for order in orders if isinstance(order, interface.Own)}
    assert owners == {"b"}


def test_the_picture_follows_events_and_orders_and_tells_a_turn_whole() -> None:
    kinds = (
        interface.VisitClass("look", 1, 1, 1.0, False, False),
        interface.VisitClass("pay", 1, 1, 1.0, True, False),
    )
    picture = Picture(4, kinds, True)
    changes, mark = picture.turn(
        [interface.Given(1, True), interface.Held(1, "a")], [], {"a": Address("x:1", "")}
    )
    assert changes == [SetNode("a", Address("x:1", "")), SetLine(1, "a")] and mark is None
    changes, mark = picture.turn([], [interface.Empty(1), interface.Mark(9, True)], {"a": Address("x:1", "")})
    assert changes == [SetLine(1, None)] and mark == 9
    changes, _ = picture.turn(
        [], [interface.Own(1, "b", 1.0), interface.Admit(1, 2, 1, 0.0)], {"a": Address("x:1", "")}
    )
    assert changes == [SetLine(1, "b"), SetShare(1, 0.5, True)]
    changes, _ = picture.turn([], [interface.Admit(None, 3, 1, 1.0), interface.Withdraw("b", True)], {})
    assert SetShare(1, 1.0, False) in changes and SetOut("b", True) in changes
    assert picture.turn([interface.Given(1, True), interface.Held(1, "b")], [], {})[0] == []


def test_never_is_a_bound_and_no_time() -> None:
    assert Rate(0.0).wait_us(NOW) == NEVER and not Rate(0.0).take(NOW)
