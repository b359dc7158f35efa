"""What a gate holds and works for clients that stop half way or send very many short fields."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from faulty_process import Controller, Faults, free_address, process
from half_requests import MAX_ANSWER_S, HalfRequest, peak_memory_mb, stop_half_way
from parties import LoopbackServer
from support_gate import CLASSES, take_upgrade

from lapispass.gate.upgrade import BadUpgrade, HeadCounter

pytestmark = pytest.mark.time_limit(90)
MEMORY_MB = 96
CLIENTS = 400
UPGRADE = (
    b"GET /board HTTP/1.1\r\nHost: gate\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    b"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n"
)
MASK = bytes(4)
ECHO = b"\x81\x82" + MASK + b"hi"  # a masked text frame
HELD_PATH = b"/board?held"
SENDING_PATH = b"/board?sending"


def fields(count: int) -> bytes:
    return b"".join(b"%x:\r\n" % number for number in range(count))


@pytest.mark.parametrize("cut", [1, 7, 1000])
def test_a_head_is_counted_before_its_fields_are_parsed(cut: int) -> None:
    """Guards against 11 ms of work for each head with 3,900 fields, however its bytes come."""

    def count(head: bytes) -> HeadCounter:
        counter = HeadCounter(100)
        for begin in range(0, len(head), cut):
            counter.count(head[begin : begin + cut])
        return counter

    count(b"GET / HTTP/1.1\r\n" + fields(100) + b"\r\n")
    count(b"GET / HTTP/1.1\r\n" + fields(100) + b"\r\n" + 500 * b"\n")  # what comes behind is no head
    with pytest.raises(BadUpgrade) as caught:
        count(b"GET / HTTP/1.1\r\n" + fields(101) + b"\r\n")
    assert caught.value.status == 431


async def echo_node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Accepts an upgrade and echoes small messages; it reads nothing of connections that are not `held`."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        again = asyncio.StreamReader()
        again.feed_data(head)
        await take_upgrade(again, writer)
        if SENDING_PATH in head:
            for _ in range(10):
                writer.write(b"\x82\x7f" + (1 << 20).to_bytes(8, "big") + bytes(1 << 20))
            await asyncio.Event().wait()
        if HELD_PATH not in head:
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await asyncio.Event().wait()
        while frame := await reader.readexactly(len(ECHO)):
            payload = bytes(byte ^ mask for byte, mask in zip(frame[6:], frame[2:6], strict=False))
            writer.write(bytes([frame[0], len(payload)]) + payload)
    except (OSError, EOFError):
        pass


@asynccontextmanager
async def running_gate(
    folder: Path, connections: int = 1000, memory_mb: int = MEMORY_MB
) -> AsyncIterator[Controller]:
    """A gate that stands alone, as a process, before one node."""
    address = free_address()
    file = folder / "gate.textproto"
    async with LoopbackServer(echo_node) as node:
        file.write_text(
            f'{CLASSES} limits {{ memory_mb: {memory_mb} }} gate {{ name: "g" slices: 4 '
            "new_per_s: 100000 burst: 5000 "
            f'connections: {connections} listen: "{address[0]}:{address[1]}" }} '
            "nodes { connections: 5000 new_per_s: 100000 burst: 5000 } "
            f'node {{ id: "n" address: "{node.address}" }}\n'
        )
        arguments = ("gate", "-o", str(file))
        async with process(arguments, Faults(folder / "faults"), address, "listening", {}) as running:
            yield running


@asynccontextmanager
async def hold(running: Controller) -> AsyncIterator[Callable[[], Awaitable[float]]]:
    """Opens a connection that is held; gives a function that measures its next echo."""
    reader, writer = await running.connect()
    writer.write(UPGRADE.replace(b"/board", HELD_PATH) + b"\r\n")
    assert b" 101 " in await reader.readuntil(b"\r\n\r\n")
    loop = asyncio.get_running_loop()

    async def ask() -> float:
        begun = loop.time()
        writer.write(ECHO)
        assert (await reader.readexactly(4))[2:] == b"hi"
        return loop.time() - begun

    try:
        yield ask
    finally:
        writer.transport.abort()


async def end(running: Controller) -> float:
    """Ends the process with SIGTERM; returns how long that took."""
    loop = asyncio.get_running_loop()
    begun = loop.time()
    running.signal(signal.SIGTERM)
    assert await running.wait_for_exit() == 0
    return loop.time() - begun


@pytest.mark.parametrize(("count", "status"), [(2400, 431), (90, 101)])
async def test_heads_of_many_fields_delay_nobody(tmp_path: Path, count: int, status: int) -> None:
    """Guards against held connections and SIGTERM that wait for the heads of many clients."""
    async with running_gate(tmp_path) as running, hold(running) as ask:
        request = UPGRADE + fields(count) + b"\r\n"
        clients, slowest = await stop_half_way(running.address, CLIENTS, request, 2.0, ask)
        assert all(client.answer.startswith(b"HTTP/1.1 %d " % status) for client in clients)
        assert slowest < MAX_ANSWER_S
        assert peak_memory_mb(running.process.pid) < MEMORY_MB
        assert await end(running) < 3.5


async def test_half_heads_are_refused_where_there_is_no_memory(tmp_path: Path) -> None:
    """Guards against the sum of heads that are not complete."""
    async with running_gate(tmp_path) as running, hold(running) as ask:
        request = UPGRADE + b"x: " + bytes(15_000).replace(b"\0", b"y")
        clients, slowest = await stop_half_way(running.address, CLIENTS, request, 2.0, ask)
        assert slowest < MAX_ANSWER_S
        assert peak_memory_mb(running.process.pid) < MEMORY_MB
        assert not any(client.answer.startswith(b"HTTP/1.1 101 ") for client in clients)


async def test_half_messages_to_a_node_that_does_not_read_pass_no_memory_limit(tmp_path: Path) -> None:
    """Guards against the sum of the buffers of held connections."""
    async with running_gate(tmp_path, connections=80, memory_mb=52) as running, hold(running) as ask:
        before = peak_memory_mb(running.process.pid)
        head = b"\x82\xff" + (4 << 20).to_bytes(8, "big") + MASK
        # The system's own buffers take the first messages.
        request = UPGRADE + b"\r\n" + head + bytes(4 << 20) + head + bytes(3 << 20)
        clients, slowest = await stop_half_way(running.address, 60, request, 6.0, ask)
        assert slowest < MAX_ANSWER_S
        assert peak_memory_mb(running.process.pid) < before + 8
        counters = await running.counters()
        assert counters["screens.over_memory"] > 0
        assert all(client.answer.startswith((b"HTTP/1.1 101 ", b"HTTP/1.1 503 ")) for client in clients)
        # Those that are closed for it are told when to come back.
        assert sum(b"come-back-ms=" in client.answer for client in clients) >= counters["screens.over_memory"]


async def test_a_client_that_has_not_read_for_a_while_gets_the_rest_once_it_reads(tmp_path: Path) -> None:
    """Guards against a connection that stood still for 18 s behind a reader that was slow for 1 s."""
    async with running_gate(tmp_path) as running:
        reader, writer = await running.connect()
        writer.write(UPGRADE.replace(b"/board", SENDING_PATH) + b"\r\n")
        await asyncio.sleep(1.0)
        async with asyncio.timeout(5):
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(10 * (10 + (1 << 20)))
        writer.transport.abort()


async def test_refused_upgrades_over_and_over_delay_nobody(tmp_path: Path) -> None:
    """Guards against one client that asks at full speed, with ever new connections and unsound heads."""
    async with running_gate(tmp_path) as running, hold(running) as ask:
        stopped = asyncio.Event()

        async def refused_again_and_again(request: bytes) -> None:
            while not stopped.is_set():
                client = HalfRequest(*await running.connect())
                await client.send(request)

        requests = (
            UPGRADE + fields(2400) + b"\r\n",
            UPGRADE.replace(b"/board", b"/board?" + b"a&" * 7000) + b"\r\n",
            UPGRADE + b"Sec-WebSocket-Protocol: " + b"a," * 7000 + b"\r\n\r\n",
            b"\0" * 100,
        )
        tasks = [asyncio.create_task(refused_again_and_again(request)) for request in requests]
        slowest = 0.0
        try:
            for _ in range(100):
                slowest = max(slowest, await ask())
                await asyncio.sleep(0.02)
        finally:
            stopped.set()
            await asyncio.gather(*tasks)
        assert slowest < MAX_ANSWER_S
        assert peak_memory_mb(running.process.pid) < MEMORY_MB


async def test_a_gate_says_at_its_start_how_its_memory_is_divided(tmp_path: Path) -> None:
    """Guards against connections that a file allows and its memory does not."""
    async with running_gate(tmp_path) as running:
        line = await running.wait_for_log("memory divided")
        assert f"memory_mb={MEMORY_MB} " in line and "connections=1000 " in line
