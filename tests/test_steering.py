"""A gate's tables, barriers and admissions.

The code under test does no I/O: each case passes in the time, the randomness and the events.
"""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support_core import BOARD, NOW, ROOMY, TILL, falling_ceiling, key_of, open_connection, steering

from lapispass.core import release_policy
from lapispass.core.admission import Allotment, Refused
from lapispass.core.plans import Plan, Version
from lapispass.core.shared_types import SECOND
from lapispass.core.steering import Admitted, Unsupported
from lapispass.core.tables import BarrierRequest, SetOwner, SetShare, SetWithdrawn, Tables, slice_of
from lapispass.core.write_barriers import WriteBarriers, WriteLease


@given(
    st.lists(st.tuples(st.integers(0, 5), st.sampled_from(["a", "b", None])), max_size=30),
    st.lists(st.tuples(st.integers(0, 5), st.sampled_from(["a", "b", None])), max_size=30),
    st.sets(st.sampled_from("ab")),
    st.sets(st.sampled_from("ab")),
)
@settings(derandomize=True, max_examples=200, deadline=None)
def test_differences_make_the_tables_equal_and_are_idempotent(there, here, out_there, out_here) -> None:
    first, second = Tables(6), Tables(6)
    for tables, lines, out in ((first, there, out_there), (second, here, out_here)):
        for number, owner in lines:
            tables.apply(SetOwner(number, owner))
            tables.apply(
                SetShare(number, 0.5, number % 2 == 0) if owner == "a" else SetShare(number, 1.0, False)
            )
        for node in out:
            tables.apply(SetWithdrawn(node, True))
    changes = list(second.differences(first))
    for change in changes + changes:
        first.apply(change)
    assert (first.owners, first.shares, first.withdrawn) == (second.owners, second.shares, second.withdrawn)
    assert not list(second.differences(first))


def test_the_slice_of_a_key_never_changes() -> None:
    assert [slice_of(key, 1000) for key in ("", "a", "trade-order", "böard")] == [921, 955, 701, 797]


def test_a_barrier_waits_for_the_writer_that_has_not_been_confirmed() -> None:
    gate = steering()
    till = open_connection(gate, TILL, key_of(0))
    gate.message_written(NOW, till, 10)
    effects = gate.apply_changes([SetOwner(0, None), BarrierRequest(7)])
    assert effects.stopped == [till.number] and effects.acknowledged == []
    assert not gate.may_write(NOW, till)
    assert gate.read_confirmed(till, till.written) == [7]
    assert gate.apply_changes([SetOwner(0, "n1"), BarrierRequest(8)]).acknowledged == [8]
    assert not gate.may_write(NOW, till)  # it is connected to the former owner


@pytest.mark.parametrize("between", [["n1"], [None, "n1"], [None]])
def test_a_connection_that_was_opened_across_a_handover_goes_to_the_new_owner(
    between: list[str | None],
) -> None:
    """Guards against a message that waits for good: its node is not the owner, and nobody releases it."""
    gate = steering()
    admitted = gate.admit(NOW, TILL, key_of(0))
    assert isinstance(admitted, Admitted) and admitted.node == "n0"
    for owner in between:
        gate.apply_changes([SetOwner(0, owner)])
    till = gate.established(NOW, TILL, admitted, key_of(0))
    assert not gate.may_write(NOW, till)
    gate.apply_changes([SetOwner(0, "n1")])
    assert gate.tick(NOW, SECOND // 10) == [release_policy.Release(till.number, "close")]


def test_a_writer_that_has_written_nothing_new_holds_up_no_barrier() -> None:
    gate = steering()
    till = open_connection(gate, TILL, key_of(0))
    gate.message_written(NOW, till, 10)
    assert gate.read_confirmed(till, 1) == []
    assert gate.apply_changes([SetOwner(0, None), BarrierRequest(7)]).acknowledged == [7]


def test_a_message_that_has_begun_holds_up_the_barrier_to_its_end() -> None:
    gate = steering()
    till = open_connection(gate, TILL, key_of(0))
    till.in_message = True
    assert gate.apply_changes([SetOwner(0, None), BarrierRequest(7)]).acknowledged == []
    gate.message_written(NOW, till, 10)
    till.in_message = False
    assert gate.read_confirmed(till, 1) == [7]


def test_a_proof_older_than_a_later_write_proves_nothing_of_it() -> None:
    """A slice loses its owner and gets the same one back while the pong to the first ping is under way."""
    gate = steering()
    till = open_connection(gate, TILL, key_of(0))
    gate.message_written(NOW, till, 10)
    pinged = till.written
    gate.apply_changes([SetOwner(0, None), BarrierRequest(1)])
    gate.apply_changes([SetOwner(0, "n0"), BarrierRequest(2)])
    assert gate.may_write(NOW, till)
    gate.message_written(NOW, till, 10)
    gate.read_confirmed(till, pinged)  # late
    assert till.unconfirmed
    assert gate.apply_changes([SetOwner(0, None), BarrierRequest(3)]).acknowledged == []


def test_barriers_are_acknowledged_in_order_and_a_new_stream_drops_them_but_not_what_is_unconfirmed() -> None:
    barriers = WriteBarriers()
    barriers.await_confirmation(1)
    barriers.request(1)
    barriers.request(2)
    assert barriers.take_completed() == []
    barriers.reset()
    barriers.request(3)
    assert barriers.take_completed() == []
    barriers.confirm(1)
    assert barriers.take_completed() == [3]


def test_the_lease_counts_from_when_the_answered_beat_was_sent() -> None:
    lease = WriteLease(1000, 200)
    lease.renew(50)
    lease.renew(20)
    assert lease.allows_writes(849) and not lease.allows_writes(850)


def test_a_lease_that_the_controller_shortens_still_lets_writes_through() -> None:
    """Regression, found in a benchmark: with writes stopped 1.5 s early, a lease of 1.5 s allowed none."""
    lease = WriteLease(3 * SECOND, 3 * SECOND)
    lease.length_us = SECOND
    lease.renew(NOW)
    assert lease.allows_writes(NOW + SECOND // 4) and not lease.allows_writes(NOW + SECOND // 2)


def test_without_heartbeats_of_the_controller_writers_are_stopped_once() -> None:
    gate = steering(lease_us=SECOND, early_us=SECOND // 10)
    assert gate.lease is not None
    gate.lease.renew(NOW)
    gate.expire_lease(NOW)
    till = open_connection(gate, TILL, key_of(0))
    gate.message_written(NOW, till, 1)
    late = NOW + SECOND
    assert not gate.may_write(late, till)
    assert gate.expire_lease(late) == [till.number] and gate.expire_lease(late) == []
    gate.lease.renew(late)
    gate.expire_lease(late)
    assert gate.may_write(late, till)


def test_writes_that_are_shut_or_at_a_node_shut_out_do_not_pass() -> None:
    gate = steering()
    till = open_connection(gate, TILL, key_of(0))
    gate.apply_changes([SetShare(0, 1.0, True)])
    assert not gate.may_write(NOW, till)
    gate.apply_changes([SetShare(0, 1.0, False)])
    assert gate.may_write(NOW, till)
    gate.apply_changes([SetWithdrawn("n0", True)])
    assert not gate.may_write(NOW, till)


@given(st.integers(0, 10_000))
@settings(derandomize=True, max_examples=120, deadline=None)
def test_random_days_of_one_gate_never_answer_a_mark_while_an_older_table_can_write(seed: int) -> None:
    """Compares the steering with a simple model: the bytes that nodes have not read yet.

    When a barrier is acknowledged, none of these bytes may be older than it.
    """
    rng, gate, now = random.Random(seed), steering(3), NOW
    unread: dict[int, list[int]] = {}  # connection: barrier in force when each unread piece was written
    requested, acknowledged, barrier = [], [], 0
    held = [open_connection(gate, TILL, key_of(number % 8)) for number in range(12)]
    pings: list[tuple] = []

    def acknowledge(barriers: list[int]) -> None:
        for answer in barriers:
            acknowledged.append(answer)
            stale = {n: w for n, writes in unread.items() for w in writes if w < answer and w >= 0}
            for number, written_at in stale.items():
                connection = gate.connections.by_number[number]
                assert (
                    gate.tables.may_write(connection.slice, connection.node)
                    or changed.get(connection.slice, 0) > answer
                ), f"barrier {answer} acknowledged, but connection {number} has unread bytes of {written_at}"

    changed: dict[int, int] = {}
    for _ in range(150):
        now += 1000
        match rng.randrange(6):
            case 0 | 1:
                connection = rng.choice(held)
                if gate.may_write(now, connection):
                    gate.message_written(now, connection, 5)
                    unread.setdefault(connection.number, []).append(barrier)
            case 2:
                barrier += 1
                number = rng.randrange(8)
                effects = gate.apply_changes(
                    [SetOwner(number, rng.choice([None, "n0", "n1", "n2"])), BarrierRequest(barrier)]
                )
                changed[number] = barrier
                requested.append(barrier)
                pings += [(number, gate.connections.by_number[number].written) for number in effects.stopped]
                acknowledge(effects.acknowledged)
            case 3 if pings:  # pongs come in order at each connection, late against others
                number, written = pings.pop(rng.randrange(len(pings)))
                connection = gate.connections.by_number[number]
                read = written - (connection.written - len(unread.get(number, ())))
                unread[number] = unread.get(number, [])[max(0, read) :]
                acknowledge(gate.read_confirmed(connection, written))
            case 4:
                connection = rng.choice(held)
                unread.pop(connection.number, None)
                acknowledge(gate.node_disconnected(connection))
    assert acknowledged == sorted(acknowledged) and set(acknowledged) <= set(requested)


def test_a_key_goes_to_its_owner_and_nowhere_else() -> None:
    gate = steering()
    for number in range(8):
        admitted = gate.admit(NOW, TILL, key_of(number))
        assert admitted == Admitted(f"n{number % 2}", number)
    gate.apply_changes([SetOwner(0, None)])
    refused = gate.admit(NOW, TILL, key_of(0))
    assert isinstance(refused, Refused) and refused.retry_after_us >= SECOND // 2


def test_a_writer_without_a_key_is_unsupported() -> None:
    assert isinstance(steering().admit(NOW, TILL, None), Unsupported)


def test_idle_clients_go_where_room_is_and_not_to_a_draining_node() -> None:
    gate = steering(3)
    gate.apply_plan(
        NOW,
        Plan(
            Version(0, 2),
            {"n0": falling_ceiling(0, NOW + SECOND)},
            {"n1": Allotment(100, 1e4, 1000), "n2": Allotment(100, 1e4, 1000)},
        ),
    )
    for _ in range(150):
        open_connection(gate, BOARD, None)
    assert gate.connections.count("n0") == 0
    assert abs(gate.connections.count("n1") - gate.connections.count("n2")) < 25


def test_a_full_node_is_refused_and_says_when_to_come_back() -> None:
    gate = steering()
    gate.apply_plan(
        NOW, Plan(Version(0, 2), {}, {"n0": Allotment(1, 1000.0, 10), "n1": Allotment(0, 1000.0, 10)})
    )
    open_connection(gate, BOARD, None)
    answer = gate.admit(NOW, BOARD, None)
    assert isinstance(answer, Refused) and answer.why == "nodes full"
    gate.closed(next(iter(gate.connections)))
    assert isinstance(gate.admit(NOW, BOARD, None), Admitted)


def test_a_connection_that_fails_to_open_frees_its_allotment() -> None:
    gate = steering(1)
    gate.apply_plan(NOW, Plan(Version(0, 2), {}, {"n0": Allotment(1, 1.0, 1)}))
    for _ in range(5):
        admitted = gate.admit(NOW, BOARD, None)
        assert isinstance(admitted, Admitted)
        gate.admission_failed(admitted.node)
    assert gate.held_at("n0") == 0 and not gate.opening


def test_a_plan_that_is_not_newer_changes_nothing() -> None:
    gate = steering()
    new = Plan(Version(5, 2), {"n0": falling_ceiling(0, NOW)}, {})
    assert gate.apply_plan(NOW, new)
    assert not gate.apply_plan(NOW, Plan(Version(5, 2), {}, {}))  # twice
    assert not gate.apply_plan(NOW, Plan(Version(5, 1), {}, {}))  # out of order
    assert not gate.apply_plan(NOW, Plan(Version(4, 9), {}, {}))  # of an earlier incarnation
    assert gate.plan is new


def test_a_late_plan_is_caught_up_with_in_steps_and_kept_at_the_deadline() -> None:
    gate = steering(2)
    for _ in range(300):
        open_connection(gate, BOARD, None)
    at_n0 = gate.connections.count("n0")
    ceiling = falling_ceiling(at_n0, NOW + 2 * SECOND, NOW - 8 * SECOND)
    gate.apply_plan(NOW, Plan(Version(0, 2), {"n0": ceiling}, {"n1": ROOMY}))
    now, most = NOW, 0
    while now <= NOW + 2 * SECOND:
        releases = gate.tick(now, SECOND // 10)
        most = max(most, len(releases))
        for release in releases:
            gate.closed(gate.connections.by_number[release.number])
        now += SECOND // 10
    assert most <= at_n0 // 4 and gate.connections.count("n0") == 0


def test_the_least_disturbing_go_first() -> None:
    gate = steering(1)
    idle, busy, blocked, sending = (
        open_connection(gate, kind, key)
        for kind, key in ((BOARD, None), (BOARD, None), (TILL, key_of(1)), (BOARD, None))
    )
    idle.last_message_us, busy.last_message_us, sending.last_message_us = NOW - 60 * SECOND, NOW, 0
    blocked.write_blocked, sending.in_message = True, True
    chosen = release_policy.choose(gate.connections.at_node("n0"), 4, NOW, False)
    assert [(r.number, r.how) for r in chosen] == [
        (blocked.number, "close"),
        (idle.number, "move"),
        (busy.number, "move"),
    ]
    assert (sending.number, "close") in release_policy.choose(gate.connections.at_node("n0"), 4, NOW, True)
