"""Versions, clients and the store: pure cases, and a store that is killed and spoilt."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections import deque
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as some

from lapispass import interface
from lapispass.core import resources, tables
from lapispass.core.clients import WRITES, Client, Doorway, Numbers, Terms
from lapispass.core.shared_types import SECOND
from lapispass.core.versions import Shelf, Watch
from lapispass.store.assignments import Assignments, Spoilt

NOW = 1_000 * SECOND
TERMS = Terms(lease_us=2 * SECOND)


def shelf(slices: int = 2) -> Shelf:
    made = Shelf()
    resources.fixed(made, slices, 1, TERMS.ttl_us)
    return made


def stands(owner: str = "a", slices: int = 2) -> tables.Tables:
    made = tables.Tables(slices)
    made.nodes = {"a": tables.Address("127.0.0.1:1", "east"), "b": tables.Address("127.0.0.1:2", "east")}
    made.owners = dict.fromkeys(range(slices), owner)
    return made


def watch(made: Shelf, kind: str = "eds", whole: bool = False, held: dict[str, str] | None = None) -> Watch:
    one = Watch(kind, whole, made)
    one.begin(None, held or {})
    return one


def answer(one: Watch, refused: bool = False, now: int = NOW) -> str:
    assert one.out is not None
    return one.answered(one.out.nonce, refused, now).what


def publish(made: Shelf, owner: str | None, turn: int) -> None:
    table = stands()
    if owner is None:
        table.owners.clear()
    else:
        table.owners = dict.fromkeys(range(2), owner)
    resources.follow(made, table, [tables.SetOwner(number, owner) for number in range(2)], turn)


# versions


def test_only_changes_are_sent_and_one_response_at_a_time() -> None:
    made = shelf()
    one = watch(made)
    first = one.due(NOW, 100)
    assert first is not None and len(first.items) == 4
    publish(made, "a", 1)
    publish(made, "b", 2)
    assert one.due(NOW, 100) is None  # the first is not answered yet: what changes is put together
    assert answer(one) == "acknowledged"
    second = one.due(NOW, 100)
    assert second is not None and {item.turn for item in second.items.values()} == {2}
    answer(one)
    assert one.due(NOW, 100) is None and one.settled
    publish(made, "b", 3)
    assert one.due(NOW, 100) is None


def test_a_write_table_counts_from_its_first_change_that_is_not_acknowledged() -> None:
    made = shelf()
    publish(made, "a", 1)
    one = watch(made)
    one.due(NOW, 100)
    answer(one)
    assert one.proven_turn > 10**9
    publish(made, None, 2)
    publish(made, "b", 5)
    assert one.proven_turn == 1
    one.due(NOW, 100)
    publish(made, None, 7)  # while the update of turn 5 is on its way
    assert answer(one) == "acknowledged"
    assert one.proven_turn == 5
    one.due(NOW, 100)
    answer(one)
    assert one.proven_turn > 10**9


def test_what_is_turned_down_may_have_been_applied_and_is_not_sent_again_until_it_changes() -> None:
    made = shelf()
    one = watch(made)
    one.due(NOW, 100)
    answer(one)
    publish(made, "a", 1)
    one.due(NOW, 100)
    assert answer(one, refused=True) == "refused"
    assert one.proven_turn == 0 and one.due(NOW, 100) is None
    publish(made, None, 2)
    assert one.due(NOW, 100) is not None
    answer(one)
    assert one.proven_turn > 10**9 and not one.refused


def test_a_wrong_an_old_and_a_second_nonce_mean_nothing() -> None:
    made = shelf()
    one = watch(made)
    update = one.due(NOW, 100)
    assert update is not None
    assert one.answered("another", False, NOW).what == "stale" and one.out is update
    assert answer(one) == "acknowledged"
    assert one.answered(update.nonce, False, NOW).what == "stale"  # twice
    publish(made, "a", 1)
    one.due(NOW, 100)
    assert one.answered(update.nonce, False, NOW).what == "stale" and one.proven_turn == 0  # out of turn


def test_a_client_that_comes_back_is_sent_only_what_changed_since() -> None:
    made = shelf()
    publish(made, "a", 1)
    held = {name: item.version for name, item in made.items["eds"].items()}
    anew = shelf()  # a restarted controller: its turns begin anew, its versions say what they hold
    publish(anew, "a", 0)
    one = watch(anew, held={**held, "9.w": "of a slice that is no more"})
    update = one.due(NOW, 100)
    assert update is not None and not update.items and update.removed == ("9.w",)
    answer(one)
    assert one.settled and one.proven_turn > 10**9


def test_names_can_be_subscribed_unsubscribed_and_asked_for_again() -> None:
    made = shelf()
    one = Watch("eds", False, made)
    one.begin({"0.w", "nowhere"}, {})
    update = one.due(NOW, 100)
    assert update is not None and set(update.items) == {"0.w"} and update.removed == ("nowhere",)
    answer(one)
    one.want(["0.r"], ["0.w"])
    publish(made, "a", 1)
    update = one.due(NOW, 100)
    assert update is not None and set(update.items) == {"0.r"}
    answer(one)
    one.want(["0.r"], [])  # again: it is sent again
    update = one.due(NOW, 100)
    assert update is not None and set(update.items) == {"0.r"}


def test_state_of_the_world_always_names_all_listeners_and_clusters() -> None:
    made = shelf()
    one = watch(made, "cds", whole=True)
    one.due(NOW, 100)
    answer(one)
    made.put("cds", "new", ("x",), 1)
    update = one.due(NOW, 100)
    assert update is not None and len(update.items) == 5
    answer(one)
    made.remove("cds", "new", 2)
    update = one.due(NOW, 100)
    assert update is not None and "new" not in update.items and len(update.items) == 4


@given(
    some.lists(
        some.tuples(
            some.sampled_from(["publish", "send", "ack", "nack", "stale"]),
            some.sampled_from(["a", "b", None]),
        ),
        max_size=60,
    )
)
@settings(derandomize=True, max_examples=200, deadline=None)
def test_the_proven_turn_is_never_later_than_what_a_plain_model_says_is_applied(steps) -> None:
    """The model keeps every state that the client may be in; proven means that none of them is older."""
    made = shelf(1)
    one = watch(made)
    may_hold: list[set[int]] = [{-1}]  # of slice 0's write table: the turns whose table the client may have
    turn, flying = 0, None
    contents = {0: made.items["eds"]["0.w"].version}
    for what, owner in steps:
        match what:
            case "publish":
                turn += 1
                table = stands(slices=1)
                table.owners = {0: owner} if owner else {}
                resources.follow(made, table, [tables.SetOwner(0, owner)], turn)
            case "send":
                update = one.due(NOW, 100)
                if update is not None:
                    flying = update.items["0.w"].turn if "0.w" in update.items else None
                    if flying is not None:
                        may_hold[0] = may_hold[0] | {flying}
            case "ack" if one.out is not None:
                answer(one)
                if flying is not None:
                    may_hold[0] = {flying}
                flying = None
            case "nack" if one.out is not None:
                answer(one, refused=True)
                flying = None
            case "stale":
                one.answered("no such", False, NOW)
        item = made.items["eds"]["0.w"]
        contents[item.turn] = item.version
        # It may still write by something else than what stands; the same content of another turn is the
        # same table.
        if any(contents.get(held) != item.version for held in may_hold[0]):
            assert one.proven_turn < item.turn, (one.proven_turn, may_hold, item.turn)


@given(
    some.lists(
        some.tuples(some.sampled_from(["publish", "send", "ack"]), some.sampled_from(["a", "b", None])),
        max_size=40,
    )
)
@settings(derandomize=True, max_examples=200, deadline=None)
def test_in_the_end_all_is_proven(steps) -> None:
    """Found by killing controllers: a table that changed there and back stayed unproven for good."""
    made = shelf(1)
    one = watch(made)
    for turn, (what, owner) in enumerate(steps):
        if what == "publish":
            table = stands(slices=1)
            table.owners = {0: owner} if owner else {}
            resources.follow(made, table, [tables.SetOwner(0, owner)], turn)
        elif what == "send":
            one.due(NOW, 100)
        elif one.out is not None:
            answer(one)
    for _ in range(3):
        if one.out is not None:
            answer(one)
        one.due(NOW, 100)
    assert one.settled and one.proven_turn > 10**9


# clients


def client(made: Shelf, **more: object) -> tuple[Client, Numbers]:
    told = dict(name="c", zone="east", whole=False, has_ttl=True, shelf=made, terms=TERMS, now=NOW)
    one = Client(**{**told, **more})  # type: ignore[arg-type]
    for kind in ("cds", "eds", "lds", "rds"):
        one.watch(kind).begin(None, {})
    return one, Numbers(5, TERMS.lease_us)


def settle(one: Client, numbers: Numbers, now: int = NOW, turn: int = 0, marks: deque | None = None) -> list:
    """Answers whatever is sent until nothing is; what was told to the module on the way."""
    told = []
    for watch in one.watches.values():
        if watch.out is not None:
            watch.answered(watch.out.nonce, False, now)
    for _ in range(20):
        step = one.look(now, turn, marks or deque(), numbers)
        told.append(step)
        if not step.updates:
            break
        for update in step.updates:
            assert one.watches[update.kind].answered(update.nonce, False, now).what == "acknowledged"
    return told


def test_the_right_to_write_comes_last_and_the_client_is_a_proxy_from_then_on() -> None:
    made = shelf()
    one, numbers = client(made)
    step = one.look(NOW, 0, deque(), numbers)
    assert [update.kind for update in step.updates] == ["cds", "eds"] and step.joined is None
    told = settle(one, numbers)
    assert [step.joined for step in told if step.joined is not None] == [5]
    assert one.watches["lds"].holds.keys() == {"reads", WRITES}


def test_a_client_without_times_to_live_only_reads() -> None:
    one, numbers = client(shelf(), has_ttl=False)
    assert all(step.joined is None for step in settle(one, numbers))
    assert one.watches["lds"].holds.keys() == {"reads"}


def test_one_that_acknowledges_nothing_loses_the_right_and_holds_up_marks_no_longer() -> None:
    made = shelf()
    one, numbers = client(made)
    settle(one, numbers)
    publish(made, "a", 1)
    marks = deque([(1, 77, NOW)])
    step = one.look(NOW + 1, 1, marks, numbers)
    assert step.updates and step.left is None and not step.answered
    step = one.look(NOW + TERMS.late_us + 2, 1, marks, numbers)
    assert step.left == 5 and "acknowledges nothing" in step.note
    assert one.look(NOW + TERMS.late_us + 3, 1, marks, numbers).left is None
    told = settle(one, numbers, NOW + 3 * SECOND, 1, marks)
    assert all(step.joined is None for step in told)  # on probation
    told = settle(one, numbers, NOW + 60 * SECOND, 1, marks)
    assert [step.joined for step in told if step.joined is not None] == [5]  # long after its lease


def test_a_mark_is_answered_when_its_tables_are_acknowledged_and_not_before() -> None:
    made = shelf()
    one, numbers = client(made)
    settle(one, numbers)
    publish(made, "a", 3)
    marks = deque([(2, 8, NOW), (3, 9, NOW)])
    step = one.look(NOW + 5, 3, marks, numbers)
    assert [mark for _, mark, _ in step.answered] == [8]  # turn 2 changed nothing here
    one.watches["eds"].answered(one.watches["eds"].out.nonce, False, NOW + 6)  # type: ignore[union-attr]
    step = one.look(NOW + 7, 3, marks, numbers)
    assert step.answered == [(5, 9, 7)]


def test_one_that_turns_the_same_down_again_and_again_loses_the_right() -> None:
    made = shelf()
    one, numbers = client(made)
    settle(one, numbers)
    left = None
    for turn in range(1, 9):
        publish(made, "ab"[turn % 2], turn)
        step = one.look(NOW + turn, turn, deque(), numbers)
        left = left if step.left is None else step.left
        if one.watches["eds"].out is not None:
            one.watches["eds"].answered(one.watches["eds"].out.nonce, True, NOW + turn)
    assert left == 5


def test_one_that_reads_renewals_late_loses_the_right() -> None:
    made = shelf()
    one, numbers = client(made)
    settle(one, numbers)
    now = NOW + TERMS.beat_us
    step = one.look(now, 0, deque(), numbers)
    assert [update.beat for update in step.updates] == [True]
    one.watches["lds"].answered(step.updates[0].nonce, False, now + TERMS.slack_us + 1)
    assert one.look(now + TERMS.slack_us + 2, 0, deque(), numbers).left == 5


def test_a_controller_that_stood_still_does_not_blame_its_clients() -> None:
    """Found by pausing controllers: all of their clients were put on probation, for up to a minute."""
    made = shelf()
    one, numbers = client(made)
    settle(one, numbers)
    publish(made, "a", 1)
    assert one.look(NOW + 1, 1, deque(), numbers).updates
    later = NOW + 4 * TERMS.late_us
    one.stood_still(later - NOW - 1)
    assert one.look(later, 1, deque(), numbers).left is None
    assert one.look(later + TERMS.late_us + 1, 1, deque(), numbers).left == 5


def test_without_the_controllers_own_session_nobody_writes() -> None:
    """Found by thought: a controller that was paused would have let newcomers write by its old tables."""
    made = shelf()
    one, numbers = client(made)
    for _ in range(6):
        for update in one.look(NOW, 0, deque(), numbers, False).updates:
            one.watches[update.kind].answered(update.nonce, False, NOW)
    assert one.number is None and WRITES not in one.watches["lds"].holds
    settle(one, numbers)
    assert one.number == 5
    step = one.look(NOW + 1, 0, deque(), numbers, False)
    assert step.left == 5 and [update.removed for update in step.updates] == [(WRITES,)]


def test_a_renewal_waits_for_the_one_before() -> None:
    made = shelf()
    one, numbers = client(made)
    settle(one, numbers)
    first = one.look(NOW + TERMS.beat_us, 0, deque(), numbers)
    assert first.updates and not one.look(NOW + 2 * TERMS.beat_us, 0, deque(), numbers).updates


def test_an_end_with_a_renewal_on_its_way_is_told_later() -> None:
    """Found by thought after a breach in the drop test: a client may read its last renewal long after the
    end."""
    made = shelf()
    one, numbers = client(made)
    settle(one, numbers)
    assert one.end(NOW, numbers).left_after_us == 0
    one, numbers = client(made)
    settle(one, numbers)
    assert one.look(NOW + TERMS.beat_us, 0, deque(), numbers).updates
    step = one.end(NOW + TERMS.beat_us, numbers)
    assert (step.left, step.left_after_us) == (5, TERMS.late_us)
    assert numbers.take(NOW + TERMS.lease_us + SECOND) == 6  # nor is its number free sooner


def test_one_that_has_read_listeners_late_before_is_not_granted_writing() -> None:
    made = shelf()
    one, numbers = client(made)
    for _ in range(8):
        for update in one.look(NOW, 0, deque(), numbers).updates:
            assert one.watches[update.kind].answered(update.nonce, False, NOW + TERMS.slack_us + 1)
    assert one.state == "reads" and one.number is None
    told = settle(one, numbers, NOW + TERMS.lease_us + SECOND)  # it is looked at again, and is prompt by now
    assert [step.joined for step in told if step.joined is not None] == [5]


def test_a_number_is_used_again_only_after_its_lease() -> None:
    numbers = Numbers(5, 2 * SECOND)
    assert numbers.take(NOW) == 5
    numbers.give(NOW, 5)
    assert numbers.take(NOW + SECOND) == 6 and numbers.take(NOW + 3 * SECOND) == 5


def test_a_write_listener_held_from_an_earlier_stream_is_granted_anew_and_whole() -> None:
    """Found by thought: renewed without content it would not revive what has run out at the client."""
    made = shelf()
    version = made.items["lds"][WRITES].version
    one = Client("c", "", False, True, made, TERMS, NOW)
    for kind in ("cds", "eds", "lds"):
        one.watch(kind).begin(None, {WRITES: version} if kind == "lds" else {})
    told = settle(one, Numbers(1, 1))
    sent = [update for step in told for update in step.updates if WRITES in update.items]
    assert sent and not sent[0].beat


def test_the_doorway_lets_thousands_in_one_after_the_other_and_says_when_to_come() -> None:
    door = Doorway(10_000, 100.0, 50, 3)
    waits = [door.ask(NOW, 0) for _ in range(2000)]
    assert waits.count(0) == 50 and min(wait for wait in waits if wait) >= SECOND // 100
    assert len({wait // 50_000 for wait in waits}) > 200  # spread
    assert door.ask(NOW + 60 * SECOND, 10_000) >= SECOND  # full


# resources


def test_the_empty_step_shut_writes_and_shares_are_assignments() -> None:
    table = stands()
    assert resources.assignment(table, 0, True).endpoints[0].node == "a"
    table.apply(tables.SetShare(0, 0.25, True))
    assert resources.assignment(table, 0, True).endpoints == ()
    assert resources.assignment(table, 0, False).drop_per_million == 750_000
    table.apply(tables.SetWithdrawn("a", True))
    assert resources.assignment(table, 0, False).endpoints == ()
    table.apply(tables.SetOwner(1, None))
    assert resources.assignment(table, 1, False).endpoints == ()


def test_a_route_of_writes_never_has_a_retry_policy() -> None:
    from lapispass.xds import codec

    reads = codec.routes(resources.Routes("reads", 3, "r", 3))
    writes = codec.routes(resources.Routes("writes", 3, "w", 3))
    assert all(route.route.retry_policy.num_retries.value == 2 for route in reads.virtual_hosts[0].routes)
    assert not any(route.route.HasField("retry_policy") for route in writes.virtual_hosts[0].routes)
    assert [route.route.cluster for route in writes.virtual_hosts[0].routes] == ["0.w", "1.w", "2.w"]


# the store


def own(number: int, node: str) -> interface.SetTableEntry:
    return interface.SetTableEntry(number, node, 1.0)


def test_the_store_opens_with_what_was_committed(tmp_path: Path) -> None:
    store = Assignments(tmp_path / "s", 4)
    assert store.commit([own(0, "a"), own(1, "b"), interface.Barrier(1, True)]) and not store.commit(
        [interface.Barrier(2, True)]
    )
    store.commit([interface.ClearTable(0)])
    with pytest.raises(Spoilt, match="locked"):
        Assignments(tmp_path / "s", 4)  # one controller at a time
    store.snapshot(tmp_path / "copy")
    store.compact()
    store.close()
    for name in ("s", "copy"):
        again = Assignments(tmp_path / name, 4)
        assert again.owners() == {0: None, 1: "b"} and again.turn == 2
        again.close()


def test_a_spoilt_store_is_refused_in_one_line(tmp_path: Path) -> None:
    def fresh() -> Path:
        path = tmp_path / f"s{len(list(tmp_path.iterdir()))}"
        store = Assignments(path, 64)
        store.commit([own(number, f"node-{number}") for number in range(64)])
        store.compact()
        store.close()
        return path

    path = fresh()
    import apsw

    file = apsw.Connection(str(path))
    file.execute("UPDATE line SET owner = 'another' WHERE slice = 3")
    file.close()
    with pytest.raises(Spoilt, match="slice 3 is not as it was written"):
        Assignments(path, 64)
    with pytest.raises(Spoilt, match="holds 64 slices, the operator file says 65"):
        Assignments(fresh(), 65)
    path = fresh()
    path.write_bytes(path.read_bytes().replace(b"node-17", b"node-71"))
    with pytest.raises(Spoilt):
        Assignments(path, 64)
    path = fresh()
    path.write_bytes(b"not a database, by any means" * 200)
    with pytest.raises(Spoilt) as caught:
        Assignments(path, 64)
    assert "\n" not in str(caught.value)
    path = fresh()
    path.write_bytes(path.read_bytes()[:5000])
    with pytest.raises(Spoilt):
        Assignments(path, 64)


WRITER = """
import sys
from lapispass import interface
from lapispass.store.assignments import Assignments
store = Assignments(sys.argv[1], 8)
turn = store.turn
print("open", turn, flush=True)
while True:
    turn += 1
    store.commit([interface.SetTableEntry(number, f"t{turn}", 1.0) for number in range(8)])
    print(turn, flush=True)
"""


def test_a_store_killed_at_any_point_opens_with_the_last_turn_that_was_acknowledged(tmp_path: Path) -> None:
    """`benchmarks/xds_streams.py --kills 500` does the same five hundred times."""
    acknowledged = 0
    for kill in range(12):
        process = subprocess.Popen(
            [sys.executable, "-c", WRITER, str(tmp_path / "s")], stdout=subprocess.PIPE, text=True,
            env={**os.environ, "PYTHONPATH": str(Path(__file__).parent.parent)},
        )  # fmt: skip
        assert process.stdout is not None
        assert process.stdout.readline().split()[0] == "open"
        time.sleep(0.01 + 0.007 * kill)
        process.send_signal(signal.SIGKILL)
        last = [line for line in process.stdout.read().split("\n") if line.strip().isdigit()]
        process.stdout.close()
        process.wait()
        acknowledged = int(last[-1]) if last else acknowledged
        store = Assignments(tmp_path / "s", 8)
        assert store.turn in (acknowledged, acknowledged + 1)
        assert set(store.owners().values()) <= {f"t{store.turn}"}  # whole, of one turn
        acknowledged = store.turn
        store.close()
