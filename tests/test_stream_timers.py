"""A process that was stalled reads the input that has arrived before a time-out counts."""

from __future__ import annotations

import asyncio
import socket
import threading
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from support_gate import SHORT_LIMITS, fleet, standalone_file, until

from lapispass.gate import wire
from lapispass.gate.service import Gate
from lapispass.operator import read as operator
from lapispass.peers.coordination import CoordinationClient

pytestmark = pytest.mark.time_limit(30)
MS = 1000
UPGRADE = (
    b"GET /board HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    b"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: MDEyMzQ1Njc4OWFiY2RlZg==\r\n\r\n"
)


async def test_a_gates_stream_outlives_a_process_that_stood_still(tmp_path: Path) -> None:
    # The time-out once won over a heartbeat that had arrived: the gate had to join anew, and the controller
    # waited for its lease to end.
    async with fleet(tmp_path, 2) as env:
        uplink, counters = env.gates["g0"].uplink, env.service.counters
        assert uplink is not None and uplink.writer is not None
        for _ in range(3):
            await asyncio.sleep(0.2)
            uplink.writer.write(wire.encode_line(wire.Heartbeat(-1)))
            env.gate_server.gates["g0"].writer.write(wire.encode_line(wire.Heartbeat(-1)))
            time.sleep(env.gate_server.limits.idle_us / 1e6 + 0.1)  # noqa: ASYNC251
        await asyncio.sleep(0.5)
        assert counters["gates.joined"] == 1 and counters["gates.left"] == 0


@asynccontextmanager
async def standalone_gate(folder: Path, nodes: dict[str, str]) -> AsyncIterator[Gate]:
    """A standalone gate with nodes at these addresses."""
    file = folder / "operator.textproto"
    file.write_text(standalone_file({name: (address, "READY") for name, address in nodes.items()}))
    gate = Gate(operator.read(file), 1, SHORT_LIMITS)
    running = asyncio.create_task(gate.run())
    await until(lambda: gate.address and gate.steering.tables.nodes)
    await asyncio.sleep(2 * SHORT_LIMITS.tick_us / 1e6)
    try:
        yield gate
    finally:
        gate.stop()
        await running


def answer_slowly(listener: socket.socket, after_s: float, answer: bytes) -> None:
    """Answers one connection from another thread, since the test stalls its event loop."""
    connection, _ = listener.accept()
    with connection:
        connection.recv(65536)
        time.sleep(after_s)
        connection.sendall(answer)
        connection.recv(65536)


async def test_an_answer_of_the_coordination_service_that_has_come_is_taken() -> None:
    # Such a call once timed out, and it was unknown whether the lease had been granted.
    with socket.create_server(("127.0.0.1", 0)) as listener:
        granted = b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{"ID":"7"}'
        thread = threading.Thread(target=answer_slowly, args=(listener, 0.1, granted))
        thread.start()
        service = CoordinationClient("{}:{}".format(*listener.getsockname()), call_timeout_us=300 * MS)
        call = asyncio.create_task(service.grant_lease(5))
        await asyncio.sleep(0.05)
        time.sleep(0.5)  # noqa: ASYNC251
        try:
            assert await call == 7
        finally:
            service.close()
            await asyncio.to_thread(thread.join)


async def test_the_answer_of_a_node_that_has_come_is_taken(tmp_path: Path) -> None:
    # The node once counted as failing, and its refusal was reported as a lack of nodes.
    with socket.create_server(("127.0.0.1", 0)) as listener:
        refusal = b"HTTP/1.1 403 Forbidden\r\nContent-Length: 0\r\n\r\n"
        thread = threading.Thread(target=answer_slowly, args=(listener, 0.1, refusal))
        thread.start()
        async with standalone_gate(tmp_path, {"n0": "{}:{}".format(*listener.getsockname())}) as gate:
            reader, writer = await asyncio.open_connection(*gate.address.split(":"))
            writer.write(UPGRADE)
            await asyncio.sleep(0.05)
            time.sleep(SHORT_LIMITS.upgrade_us / 1e6 + 0.2)  # noqa: ASYNC251
            answer = await asyncio.wait_for(reader.read(), 3)
            writer.transport.abort()
            await asyncio.to_thread(thread.join)
            assert answer.startswith(b"HTTP/1.1 403"), answer


async def test_a_head_that_has_come_is_read_though_its_time_is_over(tmp_path: Path) -> None:
    # The client once got 408 although its whole request had arrived.
    async with standalone_gate(tmp_path, {"n0": "127.0.0.1:1"}) as gate:
        reader, writer = await asyncio.open_connection(*gate.address.split(":"))
        writer.write(UPGRADE[:40])
        await asyncio.sleep(SHORT_LIMITS.handshake_us / 2e6)
        writer.write(UPGRADE[40:])
        time.sleep(SHORT_LIMITS.handshake_us / 1e6)  # noqa: ASYNC251
        answer = await asyncio.wait_for(reader.read(), 3)
        writer.transport.abort()
        assert answer.startswith(b"HTTP/1.1 503"), answer  # 503, since its node refuses connections


async def test_an_upgrade_that_waits_to_be_accepted_is_refused_before_the_end(tmp_path: Path) -> None:
    # Such a connection was once reset when the listening socket was closed.
    async with standalone_gate(tmp_path, {"n0": "127.0.0.1:1"}) as gate:
        address = gate.address.split(":")
        clients = [socket.create_connection((address[0], int(address[1]))) for _ in range(900)]
        for client in clients[:-1]:
            client.sendall(UPGRADE)
        gate.stop()
        streams = [await asyncio.open_connection(sock=client) for client in clients]
        answers = await asyncio.gather(*(asyncio.wait_for(reader.read(), 3) for reader, _ in streams))
        for _, writer in streams:
            writer.transport.abort()
        assert {answer[:12] for answer in answers[:-1]} == {b"HTTP/1.1 503"}
        assert answers[-1] == b""
