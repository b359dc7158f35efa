"""The client of the relay on loopback: calls, the event stream, and comparing snapshots."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import h11
import pytest
from fleet import MS, SECOND
from parties import (
    CODEC,
    QUICK,
    SNAPSHOT_EVENTS,
    SNAPSHOT_LINES,
    HeldDials,
    RelayServer,
    calls_to,
    events_of,
    next_request,
    response_bytes,
    running,
    until,
)

from lapispass import interface
from lapispass.net.counters import Counters
from lapispass.net.relay import EventStream

ORDERS = [
    interface.ClearTable(1),
    interface.SetTableEntry(2, "s-1", 1.0),
    interface.SetAdmission(2, 2, 1, 0.0),
    interface.Barrier(7, True),
]
TEXTS = ["DEL,1", "SET,2,s-1,1", "LIMIT,2,pay,0,1", "SYNC,7,1"]


ONCE = ("", "close", "throttled", "reset before", "silent before")
TWICE = ("reset after", "silent after", "unreadable", *(f"miscounted {n}" for n in ("-3", "1", "9", "1e30")))


@pytest.mark.parametrize(
    ("fault", "times"), [*((fault, 1) for fault in ONCE), *((fault, 2) for fault in TWICE)]
)
async def test_a_turn_is_settled_before_the_next_whatever_happens_to_its_call(fault: str, times: int) -> None:
    async with RelayServer() as relay, calls_to(relay) as calls:
        relay.faults += ["", fault, fault, ""] if fault == "throttled" else ["", fault]
        await calls.carry_out([interface.Barrier(6, True)])
        await calls.carry_out(ORDERS)  # over the same connection
        await calls.carry_out([interface.Barrier(8, True)])
        assert relay.orders_done == ["SYNC,6,1", *TEXTS * times, "SYNC,8,1"]


async def test_the_order_that_the_relay_stops_at_is_dropped_and_the_rest_is_applied() -> None:
    async with RelayServer() as relay, calls_to(relay) as calls:
        relay.faults += [
            "short 1",
            "short 1",
            "short 0",
            "short 0",
        ]  # each short count is repeated, and so believed
        await calls.carry_out(ORDERS)
        assert (
            relay.orders_done == ["DEL,1", "DEL,1", "SYNC,7,1"]
            and calls.counters["relay.orders_left_out"] == 2
        )


async def test_an_invalid_order_is_found_by_bisection() -> None:
    async with RelayServer() as relay, calls_to(relay) as calls:
        relay.faults.append("picky")
        await calls.carry_out([*ORDERS[:2], interface.SetWithdrawn("bad", True), *ORDERS[2:]])
        assert relay.orders_done == TEXTS and calls.counters["relay.orders_left_out"] == 1


async def test_a_long_turn_is_split_with_its_barrier_last() -> None:
    async with RelayServer() as relay, calls_to(relay) as calls:
        await calls.carry_out(
            [
                *(interface.SetTableEntry(n % 12, f"s-{n:0200d}", 1.0) for n in range(900)),
                interface.Barrier(7, True),
            ]
        )
        assert len(relay.calls) > 2 and relay.orders_done[-1] == "SYNC,7,1" and len(relay.orders_done) == 901
        assert all(len(";".join(orders)) <= 60_000 for orders in relay.calls)
        assert len(relay.writers) == 1, "one connection serves them all"


async def test_calls_wait_for_an_absent_relay_and_orders_for_regranted_slices_are_void() -> None:
    async with RelayServer() as relay, calls_to(relay) as calls:
        stream = EventStream(relay.address, calls, lambda event: None, CODEC, QUICK, Counters())
        relay.faults += ["reset before"] * 10_000  # the relay is away until the event has arrived
        task = asyncio.create_task(calls.carry_out(ORDERS))
        await until(lambda: len(relay.calls) >= 1)
        stream.pass_on(interface.SliceGrant(2, True))  # the orders were decided before this event
        begun = len(relay.calls)
        await until(lambda: len(relay.calls) >= begun + 2)  # the last one began after the event
        relay.faults.clear()
        await task
        assert relay.calls[0] == TEXTS and relay.orders_done == ["DEL,1", "SYNC,7,1"]


async def test_events_after_the_snapshot_are_passed_on_and_nothing_is_sent_after_the_request() -> None:
    async with RelayServer() as relay, events_of(relay) as (_, heard):
        for kind, data in (
            ("ACK", "node=1&nonce=9&latency=2.5"),
            ("CLOSED", "node=1"),
            ("ODD", "x=1"),
            ("GRANT", "shard=4&set=0"),
        ):
            relay.send_event(kind, data)
        await until(lambda: len(heard) == 3)
        assert heard == [
            interface.BarrierAck(1, 9, 2500),
            interface.ProxyLeft(1),
            interface.SliceGrant(4, False),
        ]
        assert relay.written_after == b""


async def test_a_flood_of_acknowledgements_does_not_delay_a_grant() -> None:
    """One chunk was read per iteration of the event loop, with a turn in each: a grant was read 5 s late."""
    async with RelayServer() as relay, events_of(relay) as (_, heard):
        state, writer = relay.streams[-1]
        flood = [("ACK", f"node=1&nonce={n}&latency=2.5") for n in range(500)] + [("GRANT", "shard=4&set=0")]
        writer.write(
            b"".join(
                state.send(h11.Data(data=f"event: {kind}\r\ndata: {data}\r\n\r\n".encode()))
                for kind, data in flood
            )
        )
        rounds = 0
        while interface.SliceGrant(4, False) not in heard:
            await asyncio.sleep(0)  # a turn would be taken in each iteration
            rounds += bool(heard)
        assert rounds < 50 and len(heard) == 501


async def test_after_a_gap_the_snapshot_is_compared_with_the_known_state() -> None:
    async with RelayServer() as relay, events_of(relay) as (_, heard):
        relay.snapshot = [SNAPSHOT_LINES[0], *SNAPSHOT_LINES[2:4], ("GRANT", "shard=5&set=1")]
        relay.reset()
        await until(lambda: len(heard) >= 5)
        # Both count as having left: a proxy that rejoined in the gap must acknowledge again.
        assert heard == [
            interface.ProxyLeft(0),
            interface.ProxyLeft(1),
            interface.SliceGrant(4, False),
            SNAPSHOT_EVENTS[0],
            interface.SliceGrant(5, True),
        ]


async def test_a_slice_whose_owner_changed_in_the_gap_was_granted_again() -> None:
    async with RelayServer() as relay, events_of(relay) as (stream, heard):
        await stream.calls.carry_out([interface.SetTableEntry(4, "s-2", 1.0)])
        relay.snapshot[3:] = [
            ("ROW", "shard=3&endpoint=s-9&w=1"),
            SNAPSHOT_LINES[4],
            ("ROW", "shard=4&endpoint=s-2&w=1"),
        ]
        relay.reset()
        await until(lambda: interface.StoredOwner(3, "s-9") in heard)
        assert (
            heard[-2:] == [interface.SliceGrant(3, True), interface.StoredOwner(3, "s-9")]
            and interface.SliceGrant(4, True) not in heard
        )


async def test_no_snapshot_is_compared_while_a_call_is_under_way() -> None:
    # A snapshot once showed a slice without the owner that the call under way was about to set. The slice
    # counted as granted again, got another owner, and both owners received its writes.
    async with RelayServer() as relay, events_of(relay) as (stream, heard):
        stream.calls.limits = replace(QUICK, answer_us=10 * SECOND)
        relay.faults.append("held")
        under_way = asyncio.create_task(
            stream.calls.carry_out([interface.SetTableEntry(4, "s-2", 1.0), interface.Barrier(1, True)])
        )
        await until(lambda: relay.calls)
        relay.streams[0][1].transport.abort()
        await until(lambda: stream.counters["news.lost"] == 1)
        await asyncio.sleep(0.05)
        assert len(relay.streams) == 1 and not heard
        relay.snapshot.append(("ROW", "shard=4&endpoint=s-2&w=1"))
        relay.held.set()
        await under_way
        await until(lambda: len(heard) >= 4)
        assert heard == [interface.ProxyLeft(0), interface.ProxyLeft(1), *SNAPSHOT_EVENTS[:2]], (
            "the handover must continue where it was"
        )


async def test_orders_that_waited_for_the_snapshot_are_void_for_slices_that_it_grants_again() -> None:
    async with RelayServer() as relay, events_of(relay) as (stream, heard):
        relay.snapshot[3] = ("ROW", "shard=3&endpoint=s-9&w=1")
        stream.limits = replace(QUICK, snapshot_us=10 * SECOND, snapshot_gap_us=300 * MS)
        relay.sends_heartbeats = False
        relay.reset()
        await until(lambda: len(relay.streams) == 2 and stream.snapshot)
        await stream.calls.carry_out([*ORDERS, interface.SetTableEntry(3, "s-2", 1.0)])
        assert interface.StoredOwner(3, "s-9") in heard and relay.orders_done == TEXTS


@pytest.mark.parametrize("doubt", ["left out", "given anew"])
async def test_a_snapshot_is_requested_if_the_store_may_differ_from_the_orders(doubt: str) -> None:
    async with RelayServer() as relay, events_of(relay) as (stream, heard):
        stream.calls.limits = replace(QUICK, answer_us=10 * SECOND)
        relay.faults += ["held"] if doubt == "given anew" else ["short 0"] * 2
        under_way = asyncio.create_task(
            stream.calls.carry_out([interface.SetTableEntry(4, "s-2", 1.0), interface.Barrier(1, True)])
        )
        await until(lambda: relay.calls)
        if doubt == "given anew":
            relay.send_event("GRANT", "shard=4&set=1")
            await until(lambda: heard)
            relay.snapshot.append(("ROW", "shard=4&endpoint=s-2&w=1"))  # the call was applied after the grant
            relay.held.set()
        await under_way
        await until(lambda: len(relay.streams) == 2 and interface.SliceGrant(4, True) in heard[1:])
        assert heard.count(interface.StoredOwner(4, "s-2")) == (doubt == "given anew")


@pytest.mark.parametrize("fault", ["silent", "unreadable event", "unreadable chunk", "cut off", "too long"])
async def test_a_failed_event_stream_is_reopened(fault: str) -> None:
    async with RelayServer() as relay, events_of(relay) as (stream, heard):
        relay.sends_heartbeats = fault != "silent"
        if fault == "unreadable event":  # a change was missed
            relay.send_event("CLOSED", "node=x")
        elif fault == "unreadable chunk":
            relay.streams[-1][1].write(b"zzz\r\n")
        elif fault == "too long":
            stream.limits = replace(QUICK, message_bytes=100)
            relay.send_event("ODD", "x" * (2 << 20))
        elif fault == "cut off":  # an incomplete event is dropped
            relay.streams[-1][1].write(b"24\r\nevent: CLOSED\ndata: node=0\n")
            await asyncio.sleep(0.02)
            relay.reset()
        await until(lambda: len(relay.streams) == 2 and len(heard) >= 4)
        assert heard[:4] == [interface.ProxyLeft(0), interface.ProxyLeft(1), *SNAPSHOT_EVENTS[:2]]


async def test_a_malformed_snapshot_is_requested_again_and_finally_accepted() -> None:
    """A joined proxy with a malformed event counted as one that has left, and after a lease as harmless."""
    odd = ("SUBSCRIBE", "node=x&locality=a&w=1&cold=1")
    async with RelayServer() as relay, events_of(relay) as (_, heard):
        relay.snapshot.insert(1, odd)
        relay.reset()
        await until(lambda: len(relay.streams) == 3)
        assert not heard, "no decision may use an incomplete snapshot"
        relay.snapshot.remove(odd)
        await until(lambda: len(heard) == 4)
        assert heard == [interface.ProxyLeft(0), interface.ProxyLeft(1), *SNAPSHOT_EVENTS[:2]]
        heard.clear()
        relay.snapshot.insert(1, odd)
        relay.reset()
        await until(lambda: len(heard) == 4)  # the snapshot stays malformed: the rest of it is accepted


async def test_a_relay_that_is_slow_to_send_its_snapshot_gets_longer() -> None:
    """Each attempt had the same time-out, and none completed the snapshot."""

    class Slow(RelayServer):
        def send_event(self, kind: str, data: str, stream: int = -1) -> None:
            self.later.append((kind, data, stream))

        def send_heartbeat(self, state: h11.Connection, writer: asyncio.StreamWriter) -> None:
            for kind, data, stream in self.later[:1]:
                super().send_event(kind, data, stream)
            del self.later[:1]

    heard: list[interface.Event] = []
    limits = replace(QUICK, snapshot_us=200 * MS, snapshot_gap_us=180 * MS)  # ten events, 100 ms apart
    async with Slow() as relay, calls_to(relay) as calls:
        relay.later, relay.snapshot = [], SNAPSHOT_LINES * 2
        stream = EventStream(relay.address, calls, heard.append, CODEC, limits, Counters())
        async with running(stream.run()):
            await until(lambda: len(heard) >= 2 * len(SNAPSHOT_EVENTS) - 3)
        assert stream.counters["news.opened"] > 1


async def test_bytes_without_a_complete_line_do_not_keep_the_stream_open() -> None:
    async with RelayServer() as relay, events_of(relay) as (stream, _):
        relay.sends_heartbeats = False
        state, writer = relay.streams[-1]
        while stream.counters["news.lost"] == 0:
            if not writer.is_closing():
                writer.write(state.send(h11.Data(data=b"x")))
            await asyncio.sleep(0.03)
        await until(lambda: len(relay.streams) == 2)


async def test_a_move_of_the_relay_while_the_old_address_is_being_dialed_is_followed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    held, heard, limits = HeldDials(monkeypatch), [], replace(QUICK, connect_us=60 * SECOND)
    async with RelayServer() as old, RelayServer() as new, calls_to(old) as calls:
        new.snapshot = list(SNAPSHOT_LINES)
        held.gates[old.address] = asyncio.Event()
        stream = EventStream(old.address, calls, heard.append, CODEC, limits, Counters())
        async with running(stream.run()):
            await until(lambda: held.dialed)
            stream.move(new.address)
            await until(lambda: heard == SNAPSHOT_EVENTS)
            held.gates[old.address].set()
            await asyncio.sleep(0.05)
            assert not old.streams and not calls.lock.locked()


async def test_a_repeated_answer_is_not_taken_for_that_of_the_next_call() -> None:
    class Twice(RelayServer):
        """Repeats the first call's answer to the second call, which it does not apply."""

        async def relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> str | None:
            state = h11.Connection(h11.SERVER)
            first = True
            while (request := await next_request(reader, state)) is not None:
                self.calls.append(request[2].decode())
                answer = response_bytes(
                    state, 200, b"<Response><entries><item><ok_count>1</ok_count></item></entries></Response>"
                )
                writer.write(answer)
                if first and len(self.calls) == 2:
                    await writer.drain()
                    writer.write(answer)  # the previous answer for the second time
                first = len(self.calls) < 2
                state.start_next_cycle()
            return None

    async with Twice() as relay, calls_to(relay) as calls:
        doubts: list[bool] = []
        calls.on_uncertainty = lambda: doubts.append(True)
        await calls.carry_out([interface.Barrier(1, True)])
        await calls.carry_out([interface.Barrier(2, True)])
        await asyncio.sleep(0.02)
        await calls.carry_out([interface.Barrier(3, True)])
        assert doubts in ([], [True])
        if calls.counters["relay.answers_unasked"]:
            assert doubts and len(relay.writers) == 2, (
                "a snapshot must be compared, and a new connection used"
            )


async def test_an_unrequested_answer_causes_a_new_snapshot() -> None:
    async with RelayServer() as relay, calls_to(relay) as calls:
        doubts: list[bool] = []
        calls.on_uncertainty = lambda: doubts.append(True)
        await calls.carry_out([interface.Barrier(1, True)])
        relay.writers[0].write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        await until(lambda: calls.connection.has_unrequested_data)
        await calls.carry_out([interface.Barrier(2, True)])
        assert doubts == [True] and relay.orders_done == ["SYNC,1,1", "SYNC,2,1"] and len(relay.writers) == 2


async def test_a_connection_closed_as_idle_in_the_instant_of_its_use_costs_one_attempt() -> None:
    async with RelayServer() as relay, calls_to(relay) as calls:
        await calls.carry_out([interface.Barrier(1, True)])
        link = calls.connection
        link.writer.transport.pause_reading()  # its end has been sent and is not seen yet
        relay.reset()
        link.writer.transport.resume_reading()
        await calls.carry_out([interface.Barrier(2, True)])
        assert relay.orders_done == ["SYNC,1,1", "SYNC,2,1"]


async def test_a_call_with_changing_counts_is_not_repeated_without_a_pause() -> None:
    limits = replace(QUICK, retry_min_us=40 * MS, retry_max_us=80 * MS)
    async with RelayServer() as relay, calls_to(relay, limits) as calls:
        relay.faults += [f"short {n % 2}" for n in range(10_000)]
        async with running(calls.carry_out([interface.Barrier(n, True) for n in range(4)])):
            await asyncio.sleep(0.4)
            assert 3 < len(relay.calls) < 25
