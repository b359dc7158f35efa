"""A standalone gate on loopback, with `websockets` as an independent client and server, and with raw peers
that misbehave."""

from __future__ import annotations

import asyncio
import os
import struct
import tracemalloc
from dataclasses import replace
from http import HTTPStatus
from pathlib import Path

import pytest
from parties import LoopbackServer
from support_gate import MS, SHORT_LIMITS, StandaloneGate, standalone_gate, take_upgrade, until
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed, InvalidStatus
from wsproto.events import BytesMessage

from lapispass.core.tables import slice_of
from lapispass.gate.evented_reader import connect as connect_evented
from lapispass.gate.frames import Side
from lapispass.standins.nodes import CounterNode

pytestmark = pytest.mark.time_limit(30)
UPGRADE = (
    b"GET /board HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    b"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
)


async def exchange(env: StandaloneGate, sent: bytes) -> str:
    """Sends raw bytes to the gate; returns all that comes back until it ends the connection."""
    reader, writer = await asyncio.open_connection(*env.gate.address.split(":"))
    writer.write(sent)
    try:
        return (await reader.read()).decode("latin-1")
    finally:
        writer.close()


async def test_a_connection_is_tunnelled_and_closed_in_order_when_its_node_drains(tmp_path: Path) -> None:
    async with standalone_gate(tmp_path) as env, connect(env.url("/till?key=a")) as till:
        await till.send("hello")
        assert await till.recv() == "hello"
        node = next(name for name, node in env.nodes.items() if node.held)
        env.set(**{node: "DRAINING"})
        with pytest.raises(ConnectionClosed):
            await till.recv()
        assert till.close_code == 1012 and "come-back-ms=" in (till.close_reason or "")
        await until(lambda: env.nodes[node].ends)
        assert env.nodes[node].ends[0].code != 1006


async def test_a_movable_connection_moves_without_its_clients_notice(tmp_path: Path) -> None:
    async with standalone_gate(tmp_path) as env, connect(env.url("/board")) as board:
        await board.send("one")
        assert await board.recv() == "one"
        node = next(name for name, node in env.nodes.items() if node.held)
        other = next(name for name in env.nodes if name != node)
        env.set(**{node: "DRAINING"})
        await until(lambda: env.nodes[other].held and not env.nodes[node].held)
        await board.send("two")
        assert await board.recv() == "two"
        assert env.nodes[other].received == 1 and env.nodes[node].ends[0].code == 1000
        assert env.gate.counters["moves.done"] == 1


@pytest.mark.parametrize("size", [0, 1, 125, 126, 65_535, 65_536, 1 << 20])
async def test_messages_of_every_size_pass_both_ways(tmp_path: Path, size: int) -> None:
    async with standalone_gate(tmp_path, 1) as env, connect(env.url("/board"), max_size=None) as board:
        await board.send("x" * size)
        assert await board.recv() == "x" * size
        await board.send(["é" * size, b"".decode(), "end"])  # in fragments
        assert await board.recv() == "é" * size + "end"
        await board.send(bytes(size))
        assert await board.recv() == bytes(size)


async def test_refusals_come_at_once_and_say_when_to_come_back(tmp_path: Path) -> None:
    async with standalone_gate(tmp_path, 1, bounds="connections: 2 new_per_s: 1000 burst: 100") as env:
        boards = [await connect(env.url("/board")) for _ in range(2)]
        answer = await exchange(env, UPGRADE)
        assert answer.startswith("HTTP/1.1 503") and "\r\nRetry-After: 1\r\n" in answer, answer
        for board in boards:
            await board.close()


# peers that misbehave


async def raw_client(
    env: StandaloneGate, target: str = "/board"
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """A client whose upgrade is complete. The test reads and writes its bytes itself."""
    reader, writer = await asyncio.open_connection(*env.gate.address.split(":"), limit=1 << 26)
    writer.write(UPGRADE.replace(b"/board", target.encode()))
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 101"), head
    return reader, writer


def frame(first: int, payload: bytes, masked: bool = True) -> bytes:
    """Builds a frame (RFC 6455 5.2)."""
    size = len(payload)
    head = bytes([first]) + (
        bytes([size | masked << 7]) if size < 126 else bytes([126 | masked << 7]) + struct.pack(">H", size)
    )
    mask = os.urandom(4)
    return head + (mask + bytes(b ^ mask[i % 4] for i, b in enumerate(payload)) if masked else payload)


async def closed_with(reader: asyncio.StreamReader) -> int:
    """The code of the close frame that is received, whatever is received before it."""
    data = await asyncio.wait_for(reader.read(), 5)
    index = data.rfind(b"\x88")
    assert index >= 0, data[-50:]
    return int.from_bytes(data[index + 2 : index + 4], "big")


@pytest.mark.parametrize(
    ("sent", "code"),
    [
        (frame(0x83, b"x"), 1002),  # an undefined opcode
        (frame(0xC1, b"x"), 1002),  # a reserved bit, for an extension that was not negotiated
        (frame(0x81, b"x", masked=False), 1002),
        (frame(0x80, b"x"), 1002),  # a continuation frame without a message
        (frame(0x81, b"\xff\xfe"), 1007),
        (frame(0x09, b"x"), 1002),  # a fragmented ping
        (frame(0x88, b"\x03"), 1002),
        (frame(0x88, struct.pack(">H", 999)), 1002),
        (frame(0x88, struct.pack(">H", 4000) + b"bye"), 4000),
    ],
)
async def test_junk_frames_are_closed_with_their_code_and_cost_only_themselves(
    tmp_path: Path, sent: bytes, code: int
) -> None:
    async with standalone_gate(tmp_path, 1) as env, connect(env.url("/board")) as other:
        reader, writer = await raw_client(env)
        writer.write(sent)
        assert await closed_with(reader) == code
        writer.close()
        await other.send("still")
        assert await other.recv() == "still"
        await until(lambda: len(env.nodes["n0"].held) == 1)
        assert all(end.code != 1006 for end in env.nodes["n0"].ends)


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "426"),
        (UPGRADE.replace(b"13", b"8"), "426"),
        (UPGRADE.replace(b"AAAAAAAAAAAAAAAAAAAAAA==", b"short"), "400"),
        (UPGRADE.replace(b"GET", b"POST"), "400"),
        (UPGRADE.replace(b"/board", b"/nowhere"), "404"),
        (UPGRADE.replace(b"/board", b"/till"), "400"),  # a class that writes needs a key
        (UPGRADE.replace(b"/board", b"/till?key=a&key=b"), "400"),
        (b"\x16\x03\x01\x02\x00\x01", "400"),
        (b"SSH-2.0-x\r\n\r\n", "400"),
        (b"GET /board HTTP/1.1\r\nX: " + b"y" * 40_000, "400"),
        (b"GET /board HTTP/1.1\r\nHost: x\r\n", "408"),  # a head that never ends
    ],
)
async def test_invalid_upgrade_requests_are_answered_and_closed_in_time(
    tmp_path: Path, sent: bytes, status: str
) -> None:
    async with standalone_gate(tmp_path, 1) as env:
        answer = await asyncio.wait_for(exchange(env, sent), 2)
        assert answer.startswith(f"HTTP/1.1 {status}"), answer
        assert not env.nodes["n0"].accepted and not env.gate.steering.opening


async def test_a_client_that_never_asks_is_closed_in_time_without_a_word(tmp_path: Path) -> None:
    async with standalone_gate(tmp_path, 1) as env:
        assert await asyncio.wait_for(exchange(env, b""), 2) == ""
        assert env.gate.counters["screens.never_asked"] == 1
        assert not env.nodes["n0"].accepted and not env.gate.steering.opening


async def test_a_handshake_that_drips_is_ended_too(tmp_path: Path) -> None:
    async with standalone_gate(tmp_path, 1) as env:
        reader, writer = await asyncio.open_connection(*env.gate.address.split(":"))
        answered = asyncio.create_task(reader.read())
        for byte in UPGRADE:
            writer.write(bytes([byte]))
            await asyncio.sleep(0.01)
            if answered.done():
                break
        assert (await answered).startswith(b"HTTP/1.1 408")
        writer.close()


async def test_a_client_that_never_reads_is_ended_and_memory_stays_bounded(tmp_path: Path) -> None:
    async with standalone_gate(
        tmp_path, 1, replace(SHORT_LIMITS, buffer_bytes=64 << 10, ping_us=60_000 * MS)
    ) as env:
        _, writer = await raw_client(env)
        writer.transport.pause_reading()
        payload = b"x" * 60_000
        for _ in range(400):  # echoes of 24 MB in all
            writer.write(frame(0x82, payload))
            await asyncio.sleep(0)
            if writer.transport.get_write_buffer_size() > 1 << 20:
                break
        await until(lambda: env.gate.counters["screens.stuck"])
        await until(lambda: not env.gate.tunnels)
        writer.transport.abort()


async def test_hundreds_of_thousands_of_messages_do_not_grow_memory(tmp_path: Path) -> None:
    async with standalone_gate(tmp_path, 1) as env, connect(env.url("/board"), compression=None) as board:

        async def pass_on(count: int) -> None:
            for _ in range(count // 100):
                for number in range(100):
                    await board.send(f"message {number}")
                for _ in range(100):
                    await board.recv()

        await pass_on(500)
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        await pass_on(5_000)  # `benchmarks/held.py` passes 300,000
        grown = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        assert grown < 300_000, grown


async def test_a_client_that_is_gone_without_a_close_ends_its_nodes_connection(tmp_path: Path) -> None:
    async with standalone_gate(tmp_path, 1) as env:
        for end in ("abort", "half"):
            _, writer = await raw_client(env)
            await until(lambda: env.nodes["n0"].held)
            if end == "abort":
                writer.transport.abort()
            else:
                writer.write_eof()
            await until(lambda: not env.nodes["n0"].held)
            assert env.nodes["n0"].ends[-1].code == 1001, end
            writer.close()


async def test_a_client_that_answers_no_ping_is_ended(tmp_path: Path) -> None:
    async with standalone_gate(tmp_path, 1) as env:
        _, writer = await raw_client(env)
        await until(lambda: env.gate.counters["screens.silent"])
        await until(lambda: not env.nodes["n0"].held)
        writer.close()


# nodes that misbehave


async def test_a_node_that_dies_without_a_close(tmp_path: Path) -> None:
    """A movable connection whose node had read everything goes on at another node. A connection of the class
    "till" is closed with a time to come back."""
    async with standalone_gate(tmp_path, 2) as env:
        board = await connect(env.url("/board"))
        node = next(name for name, node in env.nodes.items() if node.held)
        other = next(name for name in env.nodes if name != node)
        owners = env.gate.steering.tables.owners
        key = next(f"k{n}" for n in range(100) if owners[slice_of(f"k{n}", 12)] == node)
        till = await connect(env.url(f"/till?key={key}"))
        env.nodes[node].kill()
        await until(lambda: env.nodes[other].held)
        await board.send("on")
        assert await board.recv() == "on"
        with pytest.raises(ConnectionClosed):
            await till.recv()
        assert till.close_code == 1012 and "come-back-ms=" in (till.close_reason or "")
        await board.close()


async def test_what_a_dead_node_may_have_read_is_never_sent_to_another(tmp_path: Path) -> None:
    async with standalone_gate(tmp_path, 2) as env:
        board = await connect(env.url("/board"))
        node = next(name for name, node in env.nodes.items() if node.held)
        other = next(name for name in env.nodes if name != node)
        env.nodes[node].on_message = lambda _: env.nodes[node].kill()  # reads the message, and dies
        await board.send("once")
        with pytest.raises(ConnectionClosed):
            await board.recv()
        assert board.close_code == 1012
        assert env.nodes[node].received + env.nodes[other].received == 1


async def test_a_node_that_says_it_restarts_is_left_by_movable_connections(tmp_path: Path) -> None:
    async with standalone_gate(tmp_path, 2) as env:
        board = await connect(env.url("/board"))
        node = next(name for name, node in env.nodes.items() if node.held)
        other = next(name for name in env.nodes if name != node)
        await next(iter(env.nodes[node].held)).close(1012, "restart")
        await until(lambda: env.nodes[other].held)
        await board.send("on")
        assert await board.recv() == "on"
        await next(iter(env.nodes[other].held)).close(4001, "closed for today")
        with pytest.raises(ConnectionClosed):
            await board.recv()
        assert (board.close_code, board.close_reason) == (4001, "closed for today")


async def test_a_node_that_refuses_is_tried_elsewhere_only_by_a_client_without_a_key(tmp_path: Path) -> None:
    async with standalone_gate(tmp_path, 2) as env:
        env.nodes["n0"].refuse_with = HTTPStatus.SERVICE_UNAVAILABLE
        boards = [await connect(env.url("/board")) for _ in range(6)]
        assert len(env.nodes["n1"].held) == 6
        statuses = set()
        for number in range(12):
            try:
                boards.append(await connect(env.url(f"/till?key={number}")))
            except InvalidStatus as error:
                statuses.add(error.response.status_code)
                # The node's Retry-After header counts too.
                assert int(error.response.headers["Retry-After"]) >= 2
        assert statuses == {503} and not env.nodes["n0"].held
        env.nodes["n0"].refuse_with = HTTPStatus.FORBIDDEN  # final: no other node is asked
        with pytest.raises(InvalidStatus) as caught:
            for _ in range(30):
                boards.append(await connect(env.url("/board")))
        assert caught.value.response.status_code == 403
        for board in boards:
            await board.close()


def node_at(party: LoopbackServer) -> CounterNode:
    """A node entry with the address of a scripted peer."""
    node = CounterNode("n0")
    node.address = party.address
    return node


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 101 x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: wrong\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        b"\x00\x01\x02\r\n\r\n",
        b"",
        b"HTTP/1.1 500 x\r\n\r\n",
        None,
    ],
)
async def test_a_node_whose_answer_is_no_upgrade(tmp_path: Path, answer: bytes | None) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        if answer is None:
            await asyncio.sleep(5)  # never answers
        writer.write(answer or b"")

    async with LoopbackServer(serve) as node, standalone_gate(tmp_path, nodes={"n0": node_at(node)}) as env:
        response = await asyncio.wait_for(exchange(env, UPGRADE), 2)
        assert response.startswith("HTTP/1.1 503") and "Retry-After" in response
        assert not env.gate.steering.opening


async def test_a_node_that_sends_junk_or_falls_silent_is_left(tmp_path: Path) -> None:
    async def junk(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"\x83\x01x")
        await asyncio.sleep(1)

    async def silent(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(10)

    for behave, code in ((junk, 1002), (silent, 1012)):

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, behave=behave) -> None:
            assert await take_upgrade(reader, writer)
            await behave(reader, writer)

        async with (
            LoopbackServer(serve) as node,
            standalone_gate(tmp_path, nodes={"n0": node_at(node)}) as env,
            connect(env.url("/till?key=a")) as till,
        ):
            with pytest.raises(ConnectionClosed):
                await asyncio.wait_for(till.recv(), 5)
            assert till.close_code == code


async def test_unsent_bytes_are_dropped_in_the_kernel_after_a_reset(tmp_path: Path) -> None:
    """Rule 2: a node that was stalled and reads on after the reset gets the bytes that it had received, not
    those that were still unsent."""
    got, go_on = bytearray(), asyncio.Event()

    async def stalled(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await go_on.wait()
        try:
            while piece := await reader.read(1 << 16):
                got.extend(piece)
        except OSError:
            pass
        got.extend(b"end")
        writer.close()

    server = await asyncio.start_server(stalled, "127.0.0.1", 0, limit=1024)
    address = "{}:{}".format(*server.sockets[0].getsockname()[:2])
    reader, writer = await connect_evented(address, 1024, asyncio.Event())
    side = Side("node", reader, writer, b"", 0, 1 << 16)
    sent = 0
    while writer.transport.get_write_buffer_size() == 0:  # until the kernel's buffers are full
        side.send(BytesMessage(data=bytes(100_000)))
        sent += 100_000
    side.reset()
    await asyncio.sleep(0.05)
    go_on.set()
    await until(lambda: got.endswith(b"end"))
    assert len(got) < sent - 500_000, (len(got), sent)
    server.close()


# moves


@pytest.mark.time_limit(180)
async def test_nothing_is_lost_or_doubled_in_moves_under_a_stream_of_messages(tmp_path: Path) -> None:
    """Numbered messages flow in both directions through at least four moves; all echoes come back in
    order."""
    async with standalone_gate(tmp_path, 2, grace_ms=1000) as env, connect(env.url("/board")) as board:
        got: list[str] = []

        async def hear() -> None:
            async for message in board:
                got.append(str(message))

        hearing = asyncio.create_task(hear())
        sent = moves = 0
        # Four moves; on a slow machine, where few messages are sent during each, as many as are needed.
        while moves < 4 or (sent <= 20 and moves < 40):
            moves += 1
            await until(lambda: sum(bool(node.held) for node in env.nodes.values()) == 1)
            node = next(name for name, node in env.nodes.items() if node.held)
            moved = env.gate.counters["moves.done"]
            env.set(**{node: "DRAINING"})
            while env.gate.counters["moves.done"] == moved:
                await board.send(f"{sent}" + "." * (sent % 3000))
                sent += 1
                await asyncio.sleep(0.002)
            env.set(**{node: "READY"})
        await until(lambda: len(got) == sent)
        assert [int(message.rstrip(".")) for message in got] == list(range(sent)) and sent > 20
        hearing.cancel()


async def test_a_message_in_fragments_ends_where_it_began(tmp_path: Path) -> None:
    async with standalone_gate(tmp_path, 2, grace_ms=2000) as env:
        _, writer = await raw_client(env)
        writer.write(frame(0x01, b"one "))  # a fragment; the drain begins before its end
        node = next(name for name, node in env.nodes.items() if node.held)
        await until(lambda: any(held.in_message for held in env.gate.steering.connections))
        env.set(**{node: "DRAINING"})
        await asyncio.sleep(0.3)
        writer.write(frame(0x80, b"message"))
        await until(lambda: env.nodes[node].received == 1)
        await until(lambda: not env.nodes[node].held)
        assert env.gate.counters["moves.done"] == 1
        writer.close()


async def test_compression_is_negotiated_away_on_both_sides(tmp_path: Path) -> None:
    async with (
        standalone_gate(tmp_path, 1) as env,
        connect(env.url("/board"), compression="deflate") as board,
    ):
        assert board.protocol.extensions == []
        await board.send("x" * 10_000)
        assert await board.recv() == "x" * 10_000


async def test_a_message_over_the_bound_is_closed_with_1009_and_a_large_one_streams_through(
    tmp_path: Path,
) -> None:
    limits = replace(SHORT_LIMITS, message_bytes=300_000)
    async with (
        standalone_gate(tmp_path, 1, limits) as env,
        connect(env.url("/board"), max_size=None) as board,
    ):
        await board.send("x" * 300_000)
        assert len(await board.recv()) == 300_000
        await board.send("x" * 300_001)
        with pytest.raises(ConnectionClosed):
            await board.recv()
        assert board.close_code == 1009


async def test_a_gate_that_ends_closes_everyone_in_order(tmp_path: Path) -> None:
    async with standalone_gate(tmp_path, 2) as env:
        boards = [await connect(env.url("/board")) for _ in range(20)]
        env.gate.stop()
        for board in boards:
            with pytest.raises(ConnectionClosed):
                await board.recv()
            assert board.close_code == 1001 and "come-back-ms=" in (board.close_reason or "")
        await until(lambda: not any(node.held for node in env.nodes.values()))
        assert all(end.code != 1006 for node in env.nodes.values() for end in node.ends)


async def test_a_bad_operator_file_changes_nothing(tmp_path: Path) -> None:
    async with standalone_gate(tmp_path, 2) as env, connect(env.url("/board")) as board:
        before = dict(env.gate.steering.tables.owners)
        env.file.write_text(env.file.read_text().replace("state: READY", "state: DRAINING", 1) + "\nnode {")
        env.gate.reload()
        assert env.gate.counters["gate.reloads_refused"] == 1
        assert env.gate.steering.tables.owners == before and not env.gate.steering.plan.ceilings
        await board.send("on")
        assert await board.recv() == "on"
