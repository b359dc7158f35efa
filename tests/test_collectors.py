"""The listening server on loopback: collectors, clients that send pings, and clients that misbehave."""

from __future__ import annotations

import asyncio
import socket
import time
from dataclasses import replace

import pytest
from async_tests import cancel_and_wait
from fleet import SECOND
from parties import (
    CODEC,
    JOIN,
    LOAD_LINE,
    LOAD_REPORT,
    MALFORMED_REPORTS,
    QUICK,
    listening,
    read_to_end,
    until,
)

from lapispass.net.collectors import Collectors
from lapispass.net.counters import Counters


async def test_reports_come_in_pieces_or_many_at_once_and_are_never_answered() -> None:
    async with listening() as (_, events, connect):
        reader, writer = await connect(JOIN + LOAD_LINE[:7])
        await asyncio.sleep(2 * QUICK.join_us / 1e6)  # a client that has joined may be silent
        writer.write(LOAD_LINE[7:] + LOAD_LINE * 5000 + b"LATER kind=odd\r\n")
        await until(lambda: len(events) == 5001)
        assert set(events) == {LOAD_REPORT}
        writer.write(b"PING\r\n")
        assert await reader.readexactly(6) == b"PONG\r\n"
        writer.close()


@pytest.mark.parametrize(
    "sent",
    [
        b"",
        b"PI",
        b"\xff\x00 odd\r\n",
        b"x" * 9000,
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        b"\x16\x03\x01",
        LOAD_LINE,
        b"$-1\r\n",
        b"SET,4,s-1,1\r\n",
        b"SOURCE locality=nowhere\r\n",
        b"SUBSCRIBE node=1 locality=a w=1 cold=1\r\n",
    ],
)
async def test_an_unidentified_client_is_rejected_at_once_or_after_its_time_to_join(sent: bytes) -> None:
    # Of many bad clients, one in 16 got neither a rejection nor a close.
    async with listening(replace(QUICK, message_bytes=8000)) as (collectors, events, connect):
        _, good = await connect()
        reader, bad = await connect(sent)
        assert await read_to_end(reader) in (b"NACK why=unreadable\r\n", b"")  # a reset may overtake it
        good.write(LOAD_LINE)
        await until(lambda: events == [LOAD_REPORT])
        assert collectors.counters["collectors.turned_away"] == 1 and len(collectors.connections) == 1
        bad.close()
        good.close()


async def test_a_client_that_sends_pings_may_stay_and_gets_nothing_but_answers() -> None:
    async with listening() as (_, _, connect):
        reader, writer = await connect(b"")
        for wait_s in (*[QUICK.join_us / 4e6] * 8, 3 * QUICK.join_us / 1e6, 5 * QUICK.message_us / 1e6):
            await asyncio.sleep(wait_s)
            writer.write(b"PING\r\n")
            assert await reader.readexactly(6) == b"PONG\r\n"
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), 3 * QUICK.message_us / 1e6)


async def test_a_collector_joins_where_all_places_are_taken_by_clients_that_keep_asking() -> None:
    async with listening(replace(QUICK, connections=6, accept_batch=2)) as (collectors, events, connect):

        async def ask() -> None:
            reader, writer = await connect(b"")
            while True:
                writer.write(b"PING\r\n")
                await reader.readexactly(6)
                await asyncio.sleep(QUICK.eviction_grace_us / 4e6)

        asking = [asyncio.create_task(ask()) for _ in range(6)]
        await until(lambda: collectors.counters["collectors.pings"] > 60)
        assert len(collectors.connections) == 6
        await connect(JOIN + LOAD_LINE)
        await until(lambda: events)
        assert collectors.counters["collectors.crowded_out"] == 1
        await cancel_and_wait(*asking)


async def test_clients_in_the_midst_of_a_message_stay_where_others_are_idle() -> None:
    limits = replace(QUICK, connections=4, accept_batch=2, message_us=20 * SECOND)
    async with listening(limits) as (collectors, _, connect):
        begun = [await connect(b"PI") for _ in range(2)]
        idle = [await connect(b"PING\r\n") for _ in range(2)]
        for reader, _ in idle:
            assert await reader.readexactly(6) == b"PONG\r\n"
        await asyncio.sleep(2 * QUICK.eviction_grace_us / 1e6)
        more = [await connect(b"PING\r\n") for _ in range(2)]
        for reader, _ in more:
            assert await reader.readexactly(6) == b"PONG\r\n"
        for reader, writer in begun:
            writer.write(b"NG\r\n")
            assert await reader.readexactly(6) == b"PONG\r\n"
        assert [await read_to_end(reader) for reader, _ in idle] == [b"", b""]
        assert collectors.counters["collectors.crowded_out"] == 2


async def test_malformed_reports_are_skipped_and_a_stream_that_stays_malformed_is_ended() -> None:
    # A collector was disconnected after 20 malformed reports in all, and valid ones in flight were lost.
    async with listening() as (collectors, events, connect):
        for bad in (MALFORMED_REPORTS * 9, b"\xff" + LOAD_LINE * 3 + b"\x00"):
            reader, writer = await connect()
            writer.write((MALFORMED_REPORTS + LOAD_LINE) * 40 + bad + LOAD_LINE)
            assert await read_to_end(reader) == b"", "a collector is never written to"
            writer.close()
        await until(lambda: not collectors.connections)
        # The first stray byte corrupts one report; after the second, message boundaries are lost.
        assert events == [LOAD_REPORT] * 82 and collectors.counters["collectors.turned_away"] == 2
        assert collectors.counters["collectors.unreadable"] == 40 * 6 + QUICK.unreadable_lines + 1 + 1


async def test_hundreds_of_unidentified_clients_do_not_keep_collectors_out() -> None:
    limits = replace(QUICK, connections=6, accept_batch=2, join_us=20 * SECOND)
    async with listening(limits) as (collectors, events, connect):
        _, good = await connect(JOIN + LOAD_LINE)
        await until(lambda: events)
        unidentified = [await connect(b"") for _ in range(200)]
        _, late = await connect(JOIN + LOAD_LINE)
        await until(lambda: len(events) == 2 and collectors.counters["collectors.opened"] == 202)
        good.write(LOAD_LINE)
        await until(lambda: len(events) == 3)
        assert len(collectors.connections) <= 6
        for _, writer in [*unidentified, (None, good), (None, late)]:
            writer.close()


async def test_an_internal_error_costs_one_connection(caplog: pytest.LogCaptureFixture) -> None:
    async with listening() as (collectors, _, connect):
        collectors.deliver = lambda event: 1 // 0
        reader, writer = await connect()
        writer.write(LOAD_LINE)
        assert await read_to_end(reader) == b""
        assert "ZeroDivisionError" in caplog.text
        reader, writer = await connect()
        writer.write(b"PING\r\n")
        assert await reader.readexactly(6) == b"PONG\r\n"


async def test_answers_that_nobody_reads_end_the_connection() -> None:
    async with listening(replace(QUICK, unsent_bytes=1000)) as (collectors, _, connect):
        with socket.socket() as narrow:
            narrow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            narrow.connect(("127.0.0.1", connect.port))
            narrow.setblocking(False)
            while not collectors.counters["collectors.closed"]:
                try:
                    narrow.send(b"PING\r\n" * 1000)
                except OSError:
                    pass
                await asyncio.sleep(0)


async def test_a_client_that_reads_late_gets_every_answer() -> None:
    # It was disconnected as soon as 16 KiB of answers were queued.
    many = 4000
    async with listening(replace(QUICK, unsent_bytes=8000, unread_us=2 * SECOND)) as (listener, _, connect):
        listener.acceptor.listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        narrow = socket.socket()
        narrow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        narrow.connect(("127.0.0.1", connect.port))
        reader, writer = await asyncio.open_connection(sock=narrow, limit=1000)
        writer.transport.pause_reading()
        writer.write(b"PING\r\n" * many)
        await asyncio.sleep(1.2)
        writer.transport.resume_reading()
        answers = await asyncio.wait_for(reader.readexactly(6 * many), 10)
        writer.close()
        assert answers == b"PONG\r\n" * many


async def test_a_connection_evicted_at_the_moment_it_joins_does_not_count() -> None:
    async with listening(replace(QUICK, connections=2, join_us=20 * SECOND)) as (collectors, events, connect):
        _, good = await connect(JOIN + LOAD_LINE)
        await until(lambda: events)
        await connect(b"")
        await until(lambda: len(collectors.connections) == 2)
        client = next(connection for connection in collectors.connections if connection.zone is None)
        collectors.evict(client)
        collectors.handle_line(memoryview(JOIN.strip()), client)  # its line had been read already
        assert client not in collectors.connections and len(collectors.connections) == 1
        good.write(LOAD_LINE)
        await until(lambda: len(events) == 2)


async def test_a_connection_accepted_at_the_moment_of_the_close_is_closed() -> None:
    collectors = Collectors(lambda event: None, CODEC, QUICK, Counters())
    await collectors.listen("127.0.0.1:0")
    port = collectors.acceptor.sockets[0].getsockname()[1]
    collectors.close()
    server = await asyncio.start_server(
        collectors.serve, "127.0.0.1", 0
    )  # like a connection accepted just before
    port = server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    assert await read_to_end(reader) == b"" and not collectors.tasks and not collectors.connections
    writer.transport.abort()
    server.close()


async def test_floods_delay_no_ping_and_no_report() -> None:
    limits = replace(QUICK, connections=32, accept_batch=8, join_us=SECOND)
    async with listening(limits) as (_, events, connect):
        _, good = await connect()
        flooding = True

        async def unidentified() -> None:
            while flooding:
                _, writer = await connect(b"PING\r\n" * 500)
                await asyncio.sleep(0)
                writer.transport.abort()

        async def reports() -> None:
            _, writer = await connect()
            while flooding:
                writer.write(LOAD_LINE * 500)
                await writer.drain()
                await asyncio.sleep(0.002)

        floods = [asyncio.create_task(life()) for life in (unidentified, unidentified, reports)]
        waits = []
        for _ in range(20):
            began = time.monotonic()
            reader, writer = await connect(b"PING\r\n")
            assert await asyncio.wait_for(reader.readexactly(6), 2) == b"PONG\r\n"
            waits.append(time.monotonic() - began)
            writer.transport.abort()
            good.write(LOAD_LINE.replace(b"s-1", b"s-9"))
            seen = len(events)
            await until(lambda seen=seen: any(event.backend == "s-9" for event in events[seen:]))
        flooding = False
        await asyncio.gather(*floods, return_exceptions=True)
        assert sorted(waits)[len(waits) // 2] < 0.5
