"""A gate on loopback: `websockets` as an independent client and server, and raw peers that misbehave."""

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
from support_gate import MS, QUICK, World, take_upgrade, until, world
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


async def ask(stand: World, sent: bytes) -> str:
    """Raw bytes to the gate; all that comes back until it ends the connection."""
    reader, writer = await asyncio.open_connection(*stand.gate.address.split(":"))
    writer.write(sent)
    try:
        return (await reader.read()).decode("latin-1")
    finally:
        writer.close()


async def test_a_connection_is_tunnelled_and_closed_in_order_when_its_node_drains(tmp_path: Path) -> None:
    async with world(tmp_path) as stand, connect(stand.url("/till?key=a")) as till:
        await till.send("hello")
        assert await till.recv() == "hello"
        node = next(name for name, node in stand.nodes.items() if node.held)
        stand.set(**{node: "DRAINING"})
        with pytest.raises(ConnectionClosed):
            await till.recv()
        assert till.close_code == 1012 and "come-back-ms=" in (till.close_reason or "")
        await until(lambda: stand.nodes[node].ends)
        assert stand.nodes[node].ends[0].code != 1006


async def test_a_movable_connection_moves_without_its_screens_notice(tmp_path: Path) -> None:
    async with world(tmp_path) as stand, connect(stand.url("/board")) as board:
        await board.send("one")
        assert await board.recv() == "one"
        node = next(name for name, node in stand.nodes.items() if node.held)
        other = next(name for name in stand.nodes if name != node)
        stand.set(**{node: "DRAINING"})
        await until(lambda: stand.nodes[other].held and not stand.nodes[node].held)
        await board.send("two")
        assert await board.recv() == "two"
        assert stand.nodes[other].received == 1 and stand.nodes[node].ends[0].code == 1000
        assert stand.gate.counters["moves.done"] == 1


@pytest.mark.parametrize("size", [0, 1, 125, 126, 65_535, 65_536, 1 << 20])
async def test_messages_of_every_size_pass_both_ways(tmp_path: Path, size: int) -> None:
    async with world(tmp_path, 1) as stand, connect(stand.url("/board"), max_size=None) as board:
        await board.send("x" * size)
        assert await board.recv() == "x" * size
        await board.send(["é" * size, b"".decode(), "end"])  # in fragments
        assert await board.recv() == "é" * size + "end"
        await board.send(bytes(size))
        assert await board.recv() == bytes(size)


async def test_refusals_come_at_once_and_say_when_to_come_back(tmp_path: Path) -> None:
    async with world(tmp_path, 1, bounds="connections: 2 new_per_s: 1000 burst: 100") as stand:
        boards = [await connect(stand.url("/board")) for _ in range(2)]
        answer = await ask(stand, UPGRADE)
        assert answer.startswith("HTTP/1.1 503") and "\r\nRetry-After: 1\r\n" in answer, answer
        for board in boards:
            await board.close()


# peers that misbehave


async def raw(stand: World, target: str = "/board") -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """A screen that stands, byte by byte in the test's hands."""
    reader, writer = await asyncio.open_connection(*stand.gate.address.split(":"), limit=1 << 26)
    writer.write(UPGRADE.replace(b"/board", target.encode()))
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 101"), head
    return reader, writer


def frame(first: int, payload: bytes, masked: bool = True) -> bytes:
    """A frame of RFC 6455 by hand."""
    size = len(payload)
    head = bytes([first]) + (
        bytes([size | masked << 7]) if size < 126 else bytes([126 | masked << 7]) + struct.pack(">H", size)
    )
    mask = os.urandom(4)
    return head + (mask + bytes(b ^ mask[i % 4] for i, b in enumerate(payload)) if masked else payload)


async def closed_with(reader: asyncio.StreamReader) -> int:
    """The code of the close frame that comes, whatever comes before it."""
    data = await asyncio.wait_for(reader.read(), 5)
    place = data.rfind(b"\x88")
    assert place >= 0, data[-50:]
    return int.from_bytes(data[place + 2 : place + 4], "big")


@pytest.mark.parametrize(
    ("sent", "code"),
    [
        (frame(0x83, b"x"), 1002),  # an opcode that does not exist
        (frame(0xC1, b"x"), 1002),  # a bit of an extension that nobody agreed on
        (frame(0x81, b"x", masked=False), 1002),
        (frame(0x80, b"x"), 1002),  # goes on with no message
        (frame(0x81, b"\xff\xfe"), 1007),
        (frame(0x09, b"x"), 1002),  # a ping in fragments
        (frame(0x88, b"\x03"), 1002),
        (frame(0x88, struct.pack(">H", 999)), 1002),
        (frame(0x88, struct.pack(">H", 4000) + b"bye"), 4000),
    ],
)
async def test_junk_frames_are_closed_with_their_code_and_cost_only_themselves(
    tmp_path: Path, sent: bytes, code: int
) -> None:
    async with world(tmp_path, 1) as stand, connect(stand.url("/board")) as other:
        reader, writer = await raw(stand)
        writer.write(sent)
        assert await closed_with(reader) == code
        writer.close()
        await other.send("still")
        assert await other.recv() == "still"
        await until(lambda: len(stand.nodes["n0"].held) == 1)
        assert all(end.code != 1006 for end in stand.nodes["n0"].ends)


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "426"),
        (UPGRADE.replace(b"13", b"8"), "426"),
        (UPGRADE.replace(b"AAAAAAAAAAAAAAAAAAAAAA==", b"short"), "400"),
        (UPGRADE.replace(b"GET", b"POST"), "400"),
        (UPGRADE.replace(b"/board", b"/nowhere"), "404"),
        (UPGRADE.replace(b"/board", b"/till"), "400"),  # a writer without a key
        (UPGRADE.replace(b"/board", b"/till?key=a&key=b"), "400"),
        (b"\x16\x03\x01\x02\x00\x01", "400"),
        (b"SSH-2.0-x\r\n\r\n", "400"),
        (b"GET /board HTTP/1.1\r\nX: " + b"y" * 40_000, "400"),
        (b"GET /board HTTP/1.1\r\nHost: x\r\n", "408"),  # a handshake that never ends
    ],
)
async def test_strangers_are_answered_and_closed_in_time(tmp_path: Path, sent: bytes, status: str) -> None:
    async with world(tmp_path, 1) as stand:
        answer = await asyncio.wait_for(ask(stand, sent), 2)
        assert answer.startswith(f"HTTP/1.1 {status}"), answer
        assert not stand.nodes["n0"].came and not stand.gate.steering.coming


async def test_a_client_that_never_asks_is_closed_in_time_without_a_word(tmp_path: Path) -> None:
    async with world(tmp_path, 1) as stand:
        assert await asyncio.wait_for(ask(stand, b""), 2) == ""
        assert stand.gate.counters["screens.never_asked"] == 1
        assert not stand.nodes["n0"].came and not stand.gate.steering.coming


async def test_a_handshake_that_drips_is_ended_too(tmp_path: Path) -> None:
    async with world(tmp_path, 1) as stand:
        reader, writer = await asyncio.open_connection(*stand.gate.address.split(":"))
        answered = asyncio.create_task(reader.read())
        for byte in UPGRADE:
            writer.write(bytes([byte]))
            await asyncio.sleep(0.01)
            if answered.done():
                break
        assert (await answered).startswith(b"HTTP/1.1 408")
        writer.close()


async def test_a_screen_that_never_reads_is_ended_and_memory_stays_bounded(tmp_path: Path) -> None:
    async with world(tmp_path, 1, replace(QUICK, buffer_bytes=64 << 10, ping_us=60_000 * MS)) as stand:
        _, writer = await raw(stand)
        writer.transport.pause_reading()
        payload = b"x" * 60_000
        for _ in range(400):  # echoes of 24 MB in all
            writer.write(frame(0x82, payload))
            await asyncio.sleep(0)
            if writer.transport.get_write_buffer_size() > 1 << 20:
                break
        await until(lambda: stand.gate.counters["screens.stuck"])
        await until(lambda: not stand.gate.tunnels)
        writer.transport.abort()


async def test_hundreds_of_thousands_of_messages_do_not_grow_memory(tmp_path: Path) -> None:
    async with world(tmp_path, 1) as stand, connect(stand.url("/board"), compression=None) as board:

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


async def test_a_screen_that_is_gone_without_a_close_takes_its_nodes_connection_along(tmp_path: Path) -> None:
    async with world(tmp_path, 1) as stand:
        for way in ("abort", "half"):
            _, writer = await raw(stand)
            await until(lambda: stand.nodes["n0"].held)
            if way == "abort":
                writer.transport.abort()
            else:
                writer.write_eof()
            await until(lambda: not stand.nodes["n0"].held)
            assert stand.nodes["n0"].ends[-1].code == 1001, way
            writer.close()


async def test_a_screen_that_answers_no_ping_is_ended(tmp_path: Path) -> None:
    async with world(tmp_path, 1) as stand:
        _, writer = await raw(stand)
        await until(lambda: stand.gate.counters["screens.silent"])
        await until(lambda: not stand.nodes["n0"].held)
        writer.close()


# nodes that misbehave


async def test_a_node_that_dies_without_a_close(tmp_path: Path) -> None:
    """A movable connection with nothing unproven goes on elsewhere; a till is told to come back."""
    async with world(tmp_path, 2) as stand:
        board = await connect(stand.url("/board"))
        node = next(name for name, node in stand.nodes.items() if node.held)
        other = next(name for name in stand.nodes if name != node)
        owners = stand.gate.steering.tables.owners
        key = next(f"k{n}" for n in range(100) if owners[slice_of(f"k{n}", 12)] == node)
        till = await connect(stand.url(f"/till?key={key}"))
        stand.nodes[node].die()
        await until(lambda: stand.nodes[other].held)
        await board.send("on")
        assert await board.recv() == "on"
        with pytest.raises(ConnectionClosed):
            await till.recv()
        assert till.close_code == 1012 and "come-back-ms=" in (till.close_reason or "")
        await board.close()


async def test_what_a_dead_node_may_have_read_is_never_sent_to_another(tmp_path: Path) -> None:
    async with world(tmp_path, 2) as stand:
        board = await connect(stand.url("/board"))
        node = next(name for name, node in stand.nodes.items() if node.held)
        other = next(name for name in stand.nodes if name != node)
        stand.nodes[node].heard = lambda _: stand.nodes[node].die()  # reads it, and dies
        await board.send("once")
        with pytest.raises(ConnectionClosed):
            await board.recv()
        assert board.close_code == 1012
        assert stand.nodes[node].received + stand.nodes[other].received == 1


async def test_a_node_that_says_it_restarts_is_left_by_movable_connections(tmp_path: Path) -> None:
    async with world(tmp_path, 2) as stand:
        board = await connect(stand.url("/board"))
        node = next(name for name, node in stand.nodes.items() if node.held)
        other = next(name for name in stand.nodes if name != node)
        await next(iter(stand.nodes[node].held)).close(1012, "restart")
        await until(lambda: stand.nodes[other].held)
        await board.send("on")
        assert await board.recv() == "on"
        await next(iter(stand.nodes[other].held)).close(4001, "closed for today")
        with pytest.raises(ConnectionClosed):
            await board.recv()
        assert (board.close_code, board.close_reason) == (4001, "closed for today")


async def test_a_node_that_refuses_is_tried_elsewhere_only_by_a_screen_without_a_key(tmp_path: Path) -> None:
    async with world(tmp_path, 2) as stand:
        stand.nodes["n0"].refuses = HTTPStatus.SERVICE_UNAVAILABLE
        boards = [await connect(stand.url("/board")) for _ in range(6)]
        assert len(stand.nodes["n1"].held) == 6
        statuses = set()
        for number in range(12):
            try:
                boards.append(await connect(stand.url(f"/till?key={number}")))
            except InvalidStatus as error:
                statuses.add(error.response.status_code)
                assert int(error.response.headers["Retry-After"]) >= 2  # the node's word counts too
        assert statuses == {503} and not stand.nodes["n0"].held
        stand.nodes["n0"].refuses = HTTPStatus.FORBIDDEN  # final: no other node is asked
        with pytest.raises(InvalidStatus) as caught:
            for _ in range(30):
                boards.append(await connect(stand.url("/board")))
        assert caught.value.response.status_code == 403
        for board in boards:
            await board.close()


def at(party: LoopbackServer) -> CounterNode:
    """The node that a gate finds at a party's address."""
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
    async def meet(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        if answer is None:
            await asyncio.sleep(5)  # never answers
        writer.write(answer or b"")

    async with LoopbackServer(meet) as node, world(tmp_path, nodes={"n0": at(node)}) as stand:
        told = await asyncio.wait_for(ask(stand, UPGRADE), 2)
        assert told.startswith("HTTP/1.1 503") and "Retry-After" in told
        assert not stand.gate.steering.coming


async def test_a_node_that_sends_junk_or_falls_silent_is_left(tmp_path: Path) -> None:
    async def junk(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"\x83\x01x")
        await asyncio.sleep(1)

    async def silent(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(10)

    for life, code in ((junk, 1002), (silent, 1012)):

        async def meet(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, life=life) -> None:
            assert await take_upgrade(reader, writer)
            await life(reader, writer)

        async with (
            LoopbackServer(meet) as node,
            world(tmp_path, nodes={"n0": at(node)}) as stand,
            connect(stand.url("/till?key=a")) as till,
        ):
            with pytest.raises(ConnectionClosed):
                await asyncio.wait_for(till.recv(), 5)
            assert till.close_code == code


async def test_what_is_cut_reaches_nobody_by_the_kernels_hand(tmp_path: Path) -> None:
    """Rule 2: a node that stood still reads on after the cut; it gets what it had, not what we still held."""
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
    while writer.transport.get_write_buffer_size() == 0:  # until the kernel takes no more
        side.send(BytesMessage(data=bytes(100_000)))
        sent += 100_000
    side.cut()
    await asyncio.sleep(0.05)
    go_on.set()
    await until(lambda: got.endswith(b"end"))
    assert len(got) < sent - 500_000, (len(got), sent)
    server.close()


# moves


@pytest.mark.time_limit(180)
async def test_nothing_is_lost_or_doubled_in_moves_under_a_stream_of_messages(tmp_path: Path) -> None:
    """Both ways at once: echoes of numbered messages come back in order, through four moves."""
    async with world(tmp_path, 2, grace_ms=1000) as stand, connect(stand.url("/board")) as board:
        got: list[str] = []

        async def hear() -> None:
            async for message in board:
                got.append(str(message))

        hearing = asyncio.create_task(hear())
        sent = moves = 0
        # Four moves; on a slow machine, where few messages are sent during each, as many as are needed.
        while moves < 4 or (sent <= 20 and moves < 40):
            moves += 1
            await until(lambda: sum(bool(node.held) for node in stand.nodes.values()) == 1)
            node = next(name for name, node in stand.nodes.items() if node.held)
            moved = stand.gate.counters["moves.done"]
            stand.set(**{node: "DRAINING"})
            while stand.gate.counters["moves.done"] == moved:
                await board.send(f"{sent}" + "." * (sent % 3000))
                sent += 1
                await asyncio.sleep(0.002)
            stand.set(**{node: "READY"})
        await until(lambda: len(got) == sent)
        assert [int(message.rstrip(".")) for message in got] == list(range(sent)) and sent > 20
        hearing.cancel()


async def test_a_message_in_fragments_ends_where_it_began(tmp_path: Path) -> None:
    async with world(tmp_path, 2, grace_ms=2000) as stand:
        _, writer = await raw(stand)
        writer.write(frame(0x01, b"one "))  # a fragment; the drain begins before its end
        node = next(name for name, node in stand.nodes.items() if node.held)
        await until(lambda: any(held.inside for held in stand.gate.steering.book))
        stand.set(**{node: "DRAINING"})
        await asyncio.sleep(0.3)
        writer.write(frame(0x80, b"message"))
        await until(lambda: stand.nodes[node].received == 1)
        await until(lambda: not stand.nodes[node].held)
        assert stand.gate.counters["moves.done"] == 1
        writer.close()


async def test_compression_is_negotiated_away_on_both_sides(tmp_path: Path) -> None:
    async with world(tmp_path, 1) as stand, connect(stand.url("/board"), compression="deflate") as board:
        assert board.protocol.extensions == []
        await board.send("x" * 10_000)
        assert await board.recv() == "x" * 10_000


async def test_a_message_over_the_bound_is_closed_with_1009_and_a_large_one_streams_through(
    tmp_path: Path,
) -> None:
    limits = replace(QUICK, message_bytes=300_000)
    async with world(tmp_path, 1, limits) as stand, connect(stand.url("/board"), max_size=None) as board:
        await board.send("x" * 300_000)
        assert len(await board.recv()) == 300_000
        await board.send("x" * 300_001)
        with pytest.raises(ConnectionClosed):
            await board.recv()
        assert board.close_code == 1009


async def test_a_gate_that_ends_closes_everyone_in_order(tmp_path: Path) -> None:
    async with world(tmp_path, 2) as stand:
        boards = [await connect(stand.url("/board")) for _ in range(20)]
        stand.gate.stop()
        for board in boards:
            with pytest.raises(ConnectionClosed):
                await board.recv()
            assert board.close_code == 1001 and "come-back-ms=" in (board.close_reason or "")
        await until(lambda: not any(node.held for node in stand.nodes.values()))
        assert all(end.code != 1006 for node in stand.nodes.values() for end in node.ends)


async def test_a_bad_operator_file_changes_nothing(tmp_path: Path) -> None:
    async with world(tmp_path, 2) as stand, connect(stand.url("/board")) as board:
        before = dict(stand.gate.steering.tables.owners)
        stand.file.write_text(
            stand.file.read_text().replace("state: READY", "state: DRAINING", 1) + "\nnode {"
        )
        stand.gate.read_again()
        assert stand.gate.counters["gate.reloads_refused"] == 1
        assert stand.gate.steering.tables.owners == before and not stand.gate.steering.plan.ceilings
        await board.send("on")
        assert await board.recv() == "on"
