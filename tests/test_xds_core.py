"""xDS versions and clients without I/O, and the store when its process is killed or its file is corrupt."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections import deque
from pathlib import Path

import pytest
from envoy.service.load_stats.v3 import lrs_pb2
from hypothesis import given, settings
from hypothesis import strategies as st

from lapispass import interface
from lapispass.core import resources, tables
from lapispass.core.clients import WRITES, Client, ClientLimits, ConnectLimiter, ProxyNumbers
from lapispass.core.shared_types import SECOND
from lapispass.core.versions import ResourceCache, Watch
from lapispass.store.assignments import Assignment, Assignments, CorruptStore
from lapispass.xds.codec import load_events

NOW = 1_000 * SECOND
LIMITS = ClientLimits(lease_us=2 * SECOND)


def make_cache(slices: int = 2) -> ResourceCache:
    cache = ResourceCache()
    resources.put_static_resources(cache, slices, 1, LIMITS.ttl_us)
    return cache


def make_tables(owner: str = "a", slices: int = 2) -> tables.Tables:
    table = tables.Tables(slices)
    table.nodes = {"a": tables.Address("127.0.0.1:1", "east"), "b": tables.Address("127.0.0.1:2", "east")}
    table.owners = dict.fromkeys(range(slices), owner)
    return table


def make_watch(
    cache: ResourceCache, kind: str = "eds", is_sotw: bool = False, held: dict[str, str] | None = None
) -> Watch:
    watch = Watch(kind, is_sotw, cache)
    watch.begin(None, held or {})
    return watch


def answer(watch: Watch, is_nack: bool = False, now: int = NOW) -> str:
    assert watch.in_flight is not None
    return watch.handle_answer(watch.in_flight.nonce, is_nack, now).outcome


def publish(cache: ResourceCache, owner: str | None, turn: int) -> None:
    table = make_tables()
    if owner is None:
        table.owners.clear()
    else:
        table.owners = dict.fromkeys(range(2), owner)
    resources.update_assignments(cache, table, [tables.SetOwner(number, owner) for number in range(2)], turn)


# versions


def test_only_changes_are_sent_and_one_response_at_a_time() -> None:
    cache = make_cache()
    watch = make_watch(cache)
    first = watch.next_update(NOW, 100)
    assert first is not None and len(first.resources) == 4
    publish(cache, "a", 1)
    publish(cache, "b", 2)
    assert watch.next_update(NOW, 100) is None  # the first is unanswered: changes are merged
    assert answer(watch) == "acknowledged"
    second = watch.next_update(NOW, 100)
    assert second is not None and {item.turn for item in second.resources.values()} == {2}
    answer(watch)
    assert watch.next_update(NOW, 100) is None and watch.settled
    publish(cache, "b", 3)
    assert watch.next_update(NOW, 100) is None


def test_a_write_table_counts_from_its_first_change_that_is_not_acknowledged() -> None:
    cache = make_cache()
    publish(cache, "a", 1)
    watch = make_watch(cache)
    watch.next_update(NOW, 100)
    answer(watch)
    assert watch.acked_turn > 10**9
    publish(cache, None, 2)
    publish(cache, "b", 5)
    assert watch.acked_turn == 1
    watch.next_update(NOW, 100)
    publish(cache, None, 7)  # while the update of turn 5 is in flight
    assert answer(watch) == "acknowledged"
    assert watch.acked_turn == 5
    watch.next_update(NOW, 100)
    answer(watch)
    assert watch.acked_turn > 10**9


def test_a_rejected_version_may_have_been_applied_and_is_not_sent_again_until_it_changes() -> None:
    cache = make_cache()
    watch = make_watch(cache)
    watch.next_update(NOW, 100)
    answer(watch)
    publish(cache, "a", 1)
    watch.next_update(NOW, 100)
    assert answer(watch, is_nack=True) == "refused"
    assert watch.acked_turn == 0 and watch.next_update(NOW, 100) is None
    publish(cache, None, 2)
    assert watch.next_update(NOW, 100) is not None
    answer(watch)
    assert watch.acked_turn > 10**9 and not watch.nacked


def test_a_wrong_an_old_and_a_second_nonce_mean_nothing() -> None:
    cache = make_cache()
    watch = make_watch(cache)
    update = watch.next_update(NOW, 100)
    assert update is not None
    assert watch.handle_answer("another", False, NOW).outcome == "stale" and watch.in_flight is update
    assert answer(watch) == "acknowledged"
    assert watch.handle_answer(update.nonce, False, NOW).outcome == "stale"  # repeated
    publish(cache, "a", 1)
    watch.next_update(NOW, 100)
    assert (
        watch.handle_answer(update.nonce, False, NOW).outcome == "stale" and watch.acked_turn == 0
    )  # out of turn


def test_a_client_that_comes_back_is_sent_only_what_changed_since() -> None:
    cache = make_cache()
    publish(cache, "a", 1)
    held = {name: item.version for name, item in cache.by_kind["eds"].items()}
    # After a restart turns are counted from 0 again, while the same content has the same version.
    restarted = make_cache()
    publish(restarted, "a", 0)
    watch = make_watch(restarted, held={**held, "9.w": "of a slice that no longer exists"})
    update = watch.next_update(NOW, 100)
    assert update is not None and not update.resources and update.removed == ("9.w",)
    answer(watch)
    assert watch.settled and watch.acked_turn > 10**9


def test_names_can_be_subscribed_unsubscribed_and_asked_for_again() -> None:
    cache = make_cache()
    watch = Watch("eds", False, cache)
    watch.begin({"0.w", "nowhere"}, {})
    update = watch.next_update(NOW, 100)
    assert update is not None and set(update.resources) == {"0.w"} and update.removed == ("nowhere",)
    answer(watch)
    watch.change_subscription(["0.r"], ["0.w"])
    publish(cache, "a", 1)
    update = watch.next_update(NOW, 100)
    assert update is not None and set(update.resources) == {"0.r"}
    answer(watch)
    watch.change_subscription(["0.r"], [])  # subscribed again: it is sent again
    update = watch.next_update(NOW, 100)
    assert update is not None and set(update.resources) == {"0.r"}


def test_state_of_the_world_always_names_all_listeners_and_clusters() -> None:
    cache = make_cache()
    watch = make_watch(cache, "cds", is_sotw=True)
    watch.next_update(NOW, 100)
    answer(watch)
    cache.put("cds", "new", ("x",), 1)
    update = watch.next_update(NOW, 100)
    assert update is not None and len(update.resources) == 5
    answer(watch)
    cache.remove("cds", "new", 2)
    update = watch.next_update(NOW, 100)
    assert update is not None and "new" not in update.resources and len(update.resources) == 4


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["publish", "send", "ack", "nack", "stale"]),
            st.sampled_from(["a", "b", None]),
        ),
        max_size=60,
    )
)
@settings(derandomize=True, max_examples=200, deadline=None)
def test_the_acknowledged_turn_is_never_later_than_what_a_simple_model_says_is_applied(steps) -> None:
    """The model keeps every state that the client may be in; an acknowledged turn means none is older."""
    cache = make_cache(1)
    watch = make_watch(cache)
    may_hold: list[set[int]] = [{-1}]  # the turns whose version of slice 0's write table the client may hold
    turn, in_flight_turn = 0, None
    contents = {0: cache.by_kind["eds"]["0.w"].version}
    for what, owner in steps:
        match what:
            case "publish":
                turn += 1
                table = make_tables(slices=1)
                table.owners = {0: owner} if owner else {}
                resources.update_assignments(cache, table, [tables.SetOwner(0, owner)], turn)
            case "send":
                update = watch.next_update(NOW, 100)
                if update is not None:
                    in_flight_turn = update.resources["0.w"].turn if "0.w" in update.resources else None
                    if in_flight_turn is not None:
                        may_hold[0] = may_hold[0] | {in_flight_turn}
            case "ack" if watch.in_flight is not None:
                answer(watch)
                if in_flight_turn is not None:
                    may_hold[0] = {in_flight_turn}
                in_flight_turn = None
            case "nack" if watch.in_flight is not None:
                answer(watch, is_nack=True)
                in_flight_turn = None
            case "stale":
                watch.handle_answer("no such", False, NOW)
        item = cache.by_kind["eds"]["0.w"]
        contents[item.turn] = item.version
        # The client may still write by a table other than the current one. The same content of another turn
        # counts as the same table.
        if any(contents.get(held) != item.version for held in may_hold[0]):
            assert watch.acked_turn < item.turn, (watch.acked_turn, may_hold, item.turn)


@given(
    st.lists(
        st.tuples(st.sampled_from(["publish", "send", "ack"]), st.sampled_from(["a", "b", None])),
        max_size=40,
    )
)
@settings(derandomize=True, max_examples=200, deadline=None)
def test_everything_is_acknowledged_in_the_end(steps) -> None:
    """A table that changed and changed back before it was sent stayed unacknowledged for ever."""
    cache = make_cache(1)
    watch = make_watch(cache)
    for turn, (what, owner) in enumerate(steps):
        if what == "publish":
            table = make_tables(slices=1)
            table.owners = {0: owner} if owner else {}
            resources.update_assignments(cache, table, [tables.SetOwner(0, owner)], turn)
        elif what == "send":
            watch.next_update(NOW, 100)
        elif watch.in_flight is not None:
            answer(watch)
    for _ in range(3):
        if watch.in_flight is not None:
            answer(watch)
        watch.next_update(NOW, 100)
    assert watch.settled and watch.acked_turn > 10**9


# clients


def make_client(cache: ResourceCache, **overrides: object) -> tuple[Client, ProxyNumbers]:
    arguments = dict(name="c", zone="east", is_sotw=False, has_ttl=True, cache=cache, limits=LIMITS, now=NOW)
    client = Client(**{**arguments, **overrides})  # type: ignore[arg-type]
    for kind in ("cds", "eds", "lds", "rds"):
        client.watch(kind).begin(None, {})
    return client, ProxyNumbers(5, LIMITS.lease_us)


def settle(
    client: Client, numbers: ProxyNumbers, now: int = NOW, turn: int = 0, barriers: deque | None = None
) -> list:
    """Acknowledges whatever is sent until nothing is left to send; returns all steps."""
    steps = []
    for watch in client.watches.values():
        if watch.in_flight is not None:
            watch.handle_answer(watch.in_flight.nonce, False, now)
    for _ in range(20):
        step = client.advance(now, turn, barriers or deque(), numbers)
        steps.append(step)
        if not step.updates:
            break
        for update in step.updates:
            assert (
                client.watches[update.kind].handle_answer(update.nonce, False, now).outcome == "acknowledged"
            )
    return steps


def test_write_permission_is_granted_last_and_the_client_is_a_proxy_from_then_on() -> None:
    cache = make_cache()
    client, numbers = make_client(cache)
    step = client.advance(NOW, 0, deque(), numbers)
    assert [update.kind for update in step.updates] == ["cds", "eds"] and step.joined is None
    steps = settle(client, numbers)
    assert [step.joined for step in steps if step.joined is not None] == [5]
    assert client.watches["lds"].acked.keys() == {"reads", WRITES}


def test_a_client_without_times_to_live_only_reads() -> None:
    client, numbers = make_client(make_cache(), has_ttl=False)
    assert all(step.joined is None for step in settle(client, numbers))
    assert client.watches["lds"].acked.keys() == {"reads"}


def test_a_client_that_acknowledges_nothing_loses_write_permission_and_delays_no_barrier() -> None:
    cache = make_cache()
    client, numbers = make_client(cache)
    settle(client, numbers)
    publish(cache, "a", 1)
    barriers = deque([(1, 77, NOW)])
    step = client.advance(NOW + 1, 1, barriers, numbers)
    assert step.updates and step.left is None and not step.acked_barriers
    step = client.advance(NOW + LIMITS.ack_timeout_us + 2, 1, barriers, numbers)
    assert step.left == 5 and "does not acknowledge updates" in step.lapse_reason
    assert client.advance(NOW + LIMITS.ack_timeout_us + 3, 1, barriers, numbers).left is None
    steps = settle(client, numbers, NOW + 3 * SECOND, 1, barriers)
    assert all(step.joined is None for step in steps)  # on probation
    steps = settle(client, numbers, NOW + 60 * SECOND, 1, barriers)
    assert [step.joined for step in steps if step.joined is not None] == [5]  # long after its lease


def test_a_barrier_is_acknowledged_when_its_tables_are_and_not_before() -> None:
    cache = make_cache()
    client, numbers = make_client(cache)
    settle(client, numbers)
    publish(cache, "a", 3)
    barriers = deque([(2, 8, NOW), (3, 9, NOW)])
    step = client.advance(NOW + 5, 3, barriers, numbers)
    assert [barrier for _, barrier, _ in step.acked_barriers] == [8]  # turn 2 changed nothing for this client
    client.watches["eds"].handle_answer(client.watches["eds"].in_flight.nonce, False, NOW + 6)  # type: ignore[union-attr]
    step = client.advance(NOW + 7, 3, barriers, numbers)
    assert step.acked_barriers == [(5, 9, 7)]


def test_a_client_that_rejects_several_responses_in_a_row_loses_write_permission() -> None:
    cache = make_cache()
    client, numbers = make_client(cache)
    settle(client, numbers)
    left = None
    for turn in range(1, 9):
        publish(cache, "ab"[turn % 2], turn)
        step = client.advance(NOW + turn, turn, deque(), numbers)
        left = left if step.left is None else step.left
        if client.watches["eds"].in_flight is not None:
            client.watches["eds"].handle_answer(client.watches["eds"].in_flight.nonce, True, NOW + turn)
    assert left == 5


def test_a_client_that_reads_renewals_late_loses_write_permission() -> None:
    cache = make_cache()
    client, numbers = make_client(cache)
    settle(client, numbers)
    now = NOW + LIMITS.renewal_interval_us
    step = client.advance(now, 0, deque(), numbers)
    assert [update.is_renewal for update in step.updates] == [True]
    client.watches["lds"].handle_answer(step.updates[0].nonce, False, now + LIMITS.delivery_margin_us + 1)
    assert client.advance(now + LIMITS.delivery_margin_us + 2, 0, deque(), numbers).left == 5


def test_a_pause_of_the_controller_does_not_count_against_its_clients() -> None:
    """After a pause of the controller all of its clients were put on probation, for up to a minute."""
    cache = make_cache()
    client, numbers = make_client(cache)
    settle(client, numbers)
    publish(cache, "a", 1)
    assert client.advance(NOW + 1, 1, deque(), numbers).updates
    later = NOW + 4 * LIMITS.ack_timeout_us
    client.exclude_pause(later - NOW - 1)
    assert client.advance(later, 1, deque(), numbers).left is None
    assert client.advance(later + LIMITS.ack_timeout_us + 1, 1, deque(), numbers).left == 5


@pytest.mark.parametrize("paused_renewals", [1, 2, 3, 8])
def test_a_write_listener_that_may_have_expired_in_a_pause_is_sent_in_full(paused_renewals: int) -> None:
    """Guards against clients that may not write again, for as long as their stream stands: a renewal does not
    bring back a listener that has expired."""
    cache = make_cache()
    client, numbers = make_client(cache)
    settle(client, numbers)
    pause_us = paused_renewals * LIMITS.renewal_interval_us
    step = client.advance(NOW + pause_us, 0, deque(), numbers)
    arrives_us = pause_us + LIMITS.delivery_margin_us
    assert [update.is_renewal for update in step.updates] == [arrives_us < LIMITS.ttl_us]
    assert WRITES in step.updates[0].resources
    assert step.left is None
    client.watches["lds"].handle_answer(step.updates[0].nonce, False, NOW + pause_us + 1)
    again = client.advance(NOW + pause_us + LIMITS.renewal_interval_us, 0, deque(), numbers)
    assert [update.is_renewal for update in again.updates] == [True]


def test_without_the_controllers_own_session_nobody_writes() -> None:
    """A controller that was paused would have let new clients write by its outdated tables."""
    cache = make_cache()
    client, numbers = make_client(cache)
    for _ in range(6):
        for update in client.advance(NOW, 0, deque(), numbers, False).updates:
            client.watches[update.kind].handle_answer(update.nonce, False, NOW)
    assert client.proxy_number is None and WRITES not in client.watches["lds"].acked
    settle(client, numbers)
    assert client.proxy_number == 5
    step = client.advance(NOW + 1, 0, deque(), numbers, False)
    assert step.left == 5 and [update.removed for update in step.updates] == [(WRITES,)]


def test_a_renewal_waits_for_the_one_before() -> None:
    cache = make_cache()
    client, numbers = make_client(cache)
    settle(client, numbers)
    first = client.advance(NOW + LIMITS.renewal_interval_us, 0, deque(), numbers)
    assert (
        first.updates
        and not client.advance(NOW + 2 * LIMITS.renewal_interval_us, 0, deque(), numbers).updates
    )


def test_a_stream_end_with_a_renewal_in_flight_is_reported_later() -> None:
    """A client may read its last renewal long after the stream ended, and write until that expires."""
    cache = make_cache()
    client, numbers = make_client(cache)
    settle(client, numbers)
    assert client.end(NOW, numbers).left_delay_us == 0
    client, numbers = make_client(cache)
    settle(client, numbers)
    assert client.advance(NOW + LIMITS.renewal_interval_us, 0, deque(), numbers).updates
    step = client.end(NOW + LIMITS.renewal_interval_us, numbers)
    assert (step.left, step.left_delay_us) == (5, LIMITS.ack_timeout_us)
    assert numbers.allocate(NOW + LIMITS.lease_us + SECOND) == 6  # its number is not free sooner either


def test_a_client_that_has_read_listeners_late_is_not_granted_write_permission() -> None:
    cache = make_cache()
    client, numbers = make_client(cache)
    for _ in range(8):
        for update in client.advance(NOW, 0, deque(), numbers).updates:
            assert client.watches[update.kind].handle_answer(
                update.nonce, False, NOW + LIMITS.delivery_margin_us + 1
            )
    assert client.state == "reads" and client.proxy_number is None
    steps = settle(client, numbers, NOW + LIMITS.lease_us + SECOND)  # measured again, and prompt
    assert [step.joined for step in steps if step.joined is not None] == [5]


def test_a_number_is_used_again_only_after_its_lease() -> None:
    numbers = ProxyNumbers(5, 2 * SECOND)
    assert numbers.allocate(NOW) == 5
    numbers.release(NOW, 5)
    assert numbers.allocate(NOW + SECOND) == 6 and numbers.allocate(NOW + 3 * SECOND) == 5


def test_a_write_listener_held_from_an_earlier_stream_is_sent_again_in_full() -> None:
    """A renewal without content would not restore a listener that has expired at the client."""
    cache = make_cache()
    version = cache.by_kind["lds"][WRITES].version
    client = Client("c", "", False, True, cache, LIMITS, NOW)
    for kind in ("cds", "eds", "lds"):
        client.watch(kind).begin(None, {WRITES: version} if kind == "lds" else {})
    steps = settle(client, ProxyNumbers(1, 1))
    sent = [update for step in steps for update in step.updates if WRITES in update.resources]
    assert sent and not sent[0].is_renewal


def test_thousands_of_clients_are_admitted_over_time_and_told_when_to_retry() -> None:
    limiter = ConnectLimiter(10_000, 100.0, 50, 3)
    waits = [limiter.delay_us(NOW, 0) for _ in range(2000)]
    assert waits.count(0) == 50 and min(wait for wait in waits if wait) >= SECOND // 100
    assert len({wait // 50_000 for wait in waits}) > 200  # spread over time
    assert limiter.delay_us(NOW + 60 * SECOND, 10_000) >= SECOND  # full


# resources


def test_assignments_express_withdrawn_owners_blocked_writes_and_shares() -> None:
    table = make_tables()
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


def test_the_store_opens_with_what_was_committed(tmp_path: Path) -> None:
    store = Assignments(tmp_path / "s", 4)
    assert store.commit({0: Assignment("a"), 1: Assignment("b", True)}) and not store.commit({})
    assert not store.commit({0: Assignment("a")})  # nothing new
    store.commit({0: Assignment(None)})
    with pytest.raises(CorruptStore, match="locked"):
        Assignments(tmp_path / "s", 4)  # one controller at a time
    store.snapshot(tmp_path / "copy")
    store.compact()
    store.close()
    for name in ("s", "copy"):
        again = Assignments(tmp_path / name, 4)
        assert again.owners() == {0: None, 1: "b"} and again.turn == 2
        assert again.assignment(1) == Assignment("b", True) and again.assignment(3) == Assignment(None)
        again.close()


def test_a_corrupt_store_is_rejected_with_a_message_of_one_line(tmp_path: Path) -> None:
    def fresh() -> Path:
        path = tmp_path / f"s{len(list(tmp_path.iterdir()))}"
        store = Assignments(path, 64)
        store.commit({number: Assignment(f"node-{number}") for number in range(64)})
        store.compact()
        store.close()
        return path

    path = fresh()
    import apsw

    file = apsw.Connection(str(path))
    file.execute("UPDATE line SET owner = 'another' WHERE slice = 3")
    file.close()
    with pytest.raises(CorruptStore, match="the row of slice 3 is corrupt"):
        Assignments(path, 64)
    with pytest.raises(CorruptStore, match="holds 64 slices, the operator file says 65"):
        Assignments(fresh(), 65)
    path = fresh()
    path.write_bytes(path.read_bytes().replace(b"node-17", b"node-71"))
    with pytest.raises(CorruptStore):
        Assignments(path, 64)
    path = fresh()
    path.write_bytes(b"not a database, by any means" * 200)
    with pytest.raises(CorruptStore) as caught:
        Assignments(path, 64)
    assert "\n" not in str(caught.value)
    path = fresh()
    path.write_bytes(path.read_bytes()[:5000])
    with pytest.raises(CorruptStore):
        Assignments(path, 64)


WRITER = """
import sys
from lapispass.store.assignments import Assignment, Assignments
store = Assignments(sys.argv[1], 8)
turn = store.turn
print("open", turn, flush=True)
while True:
    turn += 1
    store.commit({number: Assignment(f"t{turn}") for number in range(8)})
    print(turn, flush=True)
"""


def test_a_store_killed_at_any_point_opens_with_the_last_turn_that_was_acknowledged(tmp_path: Path) -> None:
    """`benchmarks/xds_streams.py kills --times 500` does the same 500 times."""
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
        assert set(store.owners().values()) <= {f"t{store.turn}"}  # complete, and of a single turn
        acknowledged = store.turn
        store.close()


@pytest.mark.parametrize(
    ("total_ms", "interval_s", "mean_us"),
    [
        (20.0, 1, 10_000),
        (-1.0, 1, 0),
        (1e305, 1, None),
        (float("inf"), 1, None),
        (float("nan"), 1, None),
        (20.0, 1 << 50, None),
    ],
)
def test_a_load_report_with_impossible_times_is_left_out(
    total_ms: float, interval_s: int, mean_us: int | None
) -> None:
    """Guards against a stream that ends with OverflowError or ValueError, and a sum of times that is infinite
    for good."""
    report = lrs_pb2.LoadStatsRequest()
    stats = report.cluster_stats.add(cluster_name="0.r")
    stats.load_report_interval.seconds = interval_s
    endpoint = stats.upstream_locality_stats.add().upstream_endpoint_stats.add(total_successful_requests=2)
    endpoint.address.socket_address.address, endpoint.address.socket_address.port_value = "h", 1
    endpoint.load_metric_stats.add(metric_name="ms", total_metric_value=total_ms)
    events = load_events(report, "east", {"h:1": "n0"}, 4, ("look", "order"))
    means = [event.mean_latency_us for event in events if isinstance(event, interface.ServerReport)]
    assert means == ([] if mean_us is None else [mean_us])
