"""A gate's tables, fences and arrivals: pure, so each case is told its time, its chance and its news."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as some
from support_core import BOARD, NOW, ROOMY, TILL, falling, key_of, opened, steering

from lapispass.core import release_policy
from lapispass.core.admission import Allotment, Refused
from lapispass.core.plans import Plan, Version
from lapispass.core.shared_types import SECOND
from lapispass.core.steering import Admitted, Unsupported
from lapispass.core.tables import BarrierRequest, SetOwner, SetShare, SetWithdrawn, Tables, slice_of
from lapispass.core.write_barriers import WriteBarriers, WriteLease


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
            tables.apply(SetOwner(number, owner))
            tables.apply(
                SetShare(number, 0.5, number % 2 == 0) if owner == "a" else SetShare(number, 1.0, False)
            )
        for node in out:
            tables.apply(SetWithdrawn(node, True))
    made = list(second.differences(first))
    for change in made + made:
        first.apply(change)
    assert (first.owners, first.shares, first.withdrawn) == (second.owners, second.shares, second.withdrawn)
    assert not list(second.differences(first))


def test_the_slice_of_a_key_never_changes() -> None:
    assert [slice_of(key, 1000) for key in ("", "a", "trade-order", "böard")] == [921, 955, 701, 797]


def test_a_mark_waits_for_the_writer_that_has_not_been_proven() -> None:
    made = steering()
    till = opened(made, TILL, key_of(0))
    made.message_written(NOW, till, 10)
    effects = made.apply_changes([SetOwner(0, None), BarrierRequest(7)])
    assert effects.stopped == [till.number] and effects.acknowledged == []
    assert not made.may_write(NOW, till)
    assert made.read_confirmed(till, till.written) == [7]
    assert made.apply_changes([SetOwner(0, "n1"), BarrierRequest(8)]).acknowledged == [8]
    assert not made.may_write(NOW, till)  # it stands at the former owner


def test_a_writer_that_has_written_nothing_new_holds_up_no_mark() -> None:
    made = steering()
    till = opened(made, TILL, key_of(0))
    made.message_written(NOW, till, 10)
    assert made.read_confirmed(till, 1) == []
    assert made.apply_changes([SetOwner(0, None), BarrierRequest(7)]).acknowledged == [7]


def test_a_message_that_has_begun_holds_up_the_mark_to_its_end() -> None:
    made = steering()
    till = opened(made, TILL, key_of(0))
    till.in_message = True
    assert made.apply_changes([SetOwner(0, None), BarrierRequest(7)]).acknowledged == []
    made.message_written(NOW, till, 10)
    till.in_message = False
    assert made.read_confirmed(till, 1) == [7]


def test_a_proof_older_than_a_later_write_proves_nothing_of_it() -> None:
    """Found by thought: owner, nobody, the same owner again, while the first ping's answer is on its way."""
    made = steering()
    till = opened(made, TILL, key_of(0))
    made.message_written(NOW, till, 10)
    pinged = till.written
    made.apply_changes([SetOwner(0, None), BarrierRequest(1)])
    made.apply_changes([SetOwner(0, "n0"), BarrierRequest(2)])
    assert made.may_write(NOW, till)
    made.message_written(NOW, till, 10)
    made.read_confirmed(till, pinged)  # late
    assert till.unconfirmed
    assert made.apply_changes([SetOwner(0, None), BarrierRequest(3)]).acknowledged == []


def test_marks_are_answered_in_order_and_a_new_stream_forgets_them_but_not_what_is_owed() -> None:
    fences = WriteBarriers()
    fences.await_confirmation(1)
    fences.request(1)
    fences.request(2)
    assert fences.take_completed() == []
    fences.reset()
    fences.request(3)
    assert fences.take_completed() == []
    fences.confirm(1)
    assert fences.take_completed() == [3]


def test_the_lease_counts_from_when_the_answered_beat_was_sent() -> None:
    lease = WriteLease(1000, 200)
    lease.renew(50)
    lease.renew(20)
    assert lease.allows_writes(849) and not lease.allows_writes(850)


def test_a_lease_that_the_controller_shortens_still_lets_writes_through() -> None:
    """Found in a benchmark: stopped 1.5 s early, a lease of 1.5 s never held."""
    lease = WriteLease(3 * SECOND, 3 * SECOND)
    lease.length_us = SECOND
    lease.renew(NOW)
    assert lease.allows_writes(NOW + SECOND // 4) and not lease.allows_writes(NOW + SECOND // 2)


def test_without_word_of_the_controller_writers_are_stopped_once() -> None:
    made = steering(lease_us=SECOND, early_us=SECOND // 10)
    assert made.lease is not None
    made.lease.renew(NOW)
    made.expire_lease(NOW)
    till = opened(made, TILL, key_of(0))
    made.message_written(NOW, till, 1)
    late = NOW + SECOND
    assert not made.may_write(late, till)
    assert made.expire_lease(late) == [till.number] and made.expire_lease(late) == []
    made.lease.renew(late)
    made.expire_lease(late)
    assert made.may_write(late, till)


def test_writes_that_are_shut_or_at_a_node_shut_out_do_not_pass() -> None:
    made = steering()
    till = opened(made, TILL, key_of(0))
    made.apply_changes([SetShare(0, 1.0, True)])
    assert not made.may_write(NOW, till)
    made.apply_changes([SetShare(0, 1.0, False)])
    assert made.may_write(NOW, till)
    made.apply_changes([SetWithdrawn("n0", True)])
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
                one = made.connections.by_number[number]
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
                    made.message_written(now, one, 5)
                    unread.setdefault(one.number, []).append(mark)
            case 2:
                mark += 1
                number = chance.randrange(8)
                effects = made.apply_changes(
                    [SetOwner(number, chance.choice([None, "n0", "n1", "n2"])), BarrierRequest(mark)]
                )
                changed[number] = mark
                asked.append(mark)
                pings += [(number, made.connections.by_number[number].written) for number in effects.stopped]
                heard(effects.acknowledged)
            case 3 if pings:  # answers come in order at each connection, late against others
                number, written = pings.pop(chance.randrange(len(pings)))
                one = made.connections.by_number[number]
                gone = written - (one.written - len(unread.get(number, ())))
                unread[number] = unread.get(number, [])[max(0, gone) :]
                heard(made.read_confirmed(one, written))
            case 4:
                one = chance.choice(held)
                unread.pop(one.number, None)
                heard(made.node_disconnected(one))
    assert answered == sorted(answered) and set(answered) <= set(asked)


def test_a_key_goes_to_its_owner_and_nowhere_else() -> None:
    made = steering()
    for number in range(8):
        go = made.admit(NOW, TILL, key_of(number))
        assert go == Admitted(f"n{number % 2}", number)
    made.apply_changes([SetOwner(0, None)])
    refused = made.admit(NOW, TILL, key_of(0))
    assert isinstance(refused, Refused) and refused.retry_after_us >= SECOND // 2


def test_a_writer_without_a_key_is_unfit() -> None:
    assert isinstance(steering().admit(NOW, TILL, None), Unsupported)


def test_quiet_screens_go_where_room_is_and_not_to_a_node_that_leaves() -> None:
    made = steering(3)
    made.apply_plan(
        NOW,
        Plan(
            Version(0, 2),
            {"n0": falling(0, NOW + SECOND)},
            {"n1": Allotment(100, 1e4, 1000), "n2": Allotment(100, 1e4, 1000)},
        ),
    )
    for _ in range(150):
        opened(made, BOARD, None)
    assert made.connections.count("n0") == 0
    assert abs(made.connections.count("n1") - made.connections.count("n2")) < 25


def test_a_full_node_is_refused_and_says_when_to_come_back() -> None:
    made = steering()
    made.apply_plan(
        NOW, Plan(Version(0, 2), {}, {"n0": Allotment(1, 1000.0, 10), "n1": Allotment(0, 1000.0, 10)})
    )
    opened(made, BOARD, None)
    answer = made.admit(NOW, BOARD, None)
    assert isinstance(answer, Refused) and answer.why == "nodes full"
    made.closed(next(iter(made.connections)))
    assert isinstance(made.admit(NOW, BOARD, None), Admitted)


def test_what_fails_on_the_way_gives_its_place_back() -> None:
    made = steering(1)
    made.apply_plan(NOW, Plan(Version(0, 2), {}, {"n0": Allotment(1, 1.0, 1)}))
    for _ in range(5):
        go = made.admit(NOW, BOARD, None)
        assert isinstance(go, Admitted)
        made.admission_failed(go.node)
    assert made.held_at("n0") == 0 and not made.opening


def test_a_plan_that_is_not_newer_changes_nothing() -> None:
    made = steering()
    new = Plan(Version(5, 2), {"n0": falling(0, NOW)}, {})
    assert made.apply_plan(NOW, new)
    assert not made.apply_plan(NOW, Plan(Version(5, 2), {}, {}))  # twice
    assert not made.apply_plan(NOW, Plan(Version(5, 1), {}, {}))  # out of order
    assert not made.apply_plan(NOW, Plan(Version(4, 9), {}, {}))  # of an earlier life
    assert made.plan is new


def test_a_late_plan_is_caught_up_with_in_steps_and_kept_at_the_deadline() -> None:
    made = steering(2)
    for _ in range(300):
        opened(made, BOARD, None)
    at_n0 = made.connections.count("n0")
    line = falling(at_n0, NOW + 2 * SECOND, NOW - 8 * SECOND)
    made.apply_plan(NOW, Plan(Version(0, 2), {"n0": line}, {"n1": ROOMY}))
    now, most = NOW, 0
    while now <= NOW + 2 * SECOND:
        releases = made.tick(now, SECOND // 10)
        most = max(most, len(releases))
        for release in releases:
            made.closed(made.connections.by_number[release.number])
        now += SECOND // 10
    assert most <= at_n0 // 4 and made.connections.count("n0") == 0


def test_the_least_disturbing_go_first() -> None:
    made = steering(1)
    quiet, busy, blocked, inside = (
        opened(made, kind, key)
        for kind, key in ((BOARD, None), (BOARD, None), (TILL, key_of(1)), (BOARD, None))
    )
    quiet.last_message_us, busy.last_message_us, inside.last_message_us = NOW - 60 * SECOND, NOW, 0
    blocked.write_blocked, inside.in_message = True, True
    chosen = release_policy.choose(made.connections.at_node("n0"), 4, NOW, False)
    assert [(r.number, r.how) for r in chosen] == [
        (blocked.number, "close"),
        (quiet.number, "move"),
        (busy.number, "move"),
    ]
    assert (inside.number, "close") in release_policy.choose(made.connections.at_node("n0"), 4, NOW, True)
