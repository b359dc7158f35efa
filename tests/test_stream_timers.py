"""A process that stood still reads what has come before it gives a peer up."""

from __future__ import annotations

import asyncio
import socket
import threading
import time
from pathlib import Path

from support_gate import QUICK, fleet, play, until, world
from websockets.asyncio.client import connect

from lapispass.gate import wire
from lapispass.peers.coordination import Service

MS = 1000


def test_a_gates_stream_outlives_a_process_that_stood_still(tmp_path: Path) -> None:
    # The timer won over the beat that had come: the gate joined anew, and its lease was counted.
    async def test() -> None:
        async with fleet(tmp_path, 2) as stand:
            uplink, counters = stand.gates["g0"].uplink, stand.service.counters
            assert uplink is not None and uplink.writer is not None
            for _ in range(3):
                await asyncio.sleep(0.2)
                uplink.writer.write(wire.line(wire.Beat(-1)))
                stand.desk.gates["g0"].writer.write(wire.line(wire.Beat(-1)))
                time.sleep(stand.desk.limits.quiet_us / 1e6 + 0.1)  # noqa: ASYNC251
            await asyncio.sleep(0.5)
            assert counters["gates.joined"] == 1 and counters["gates.left"] == 0

    play(test())


def answer_slowly(listener: socket.socket, after_s: float) -> None:
    """Answers one call, from another thread: the loop of the test stands still."""
    connection, _ = listener.accept()
    with connection:
        connection.recv(65536)
        time.sleep(after_s)
        connection.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{"ID":"7"}')
        connection.recv(65536)


def test_an_answer_of_the_coordination_service_that_has_come_is_taken() -> None:
    # It counted as unknown: whether the lease was granted.
    async def test() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            thread = threading.Thread(target=answer_slowly, args=(listener, 0.1))
            thread.start()
            service = Service("{}:{}".format(*listener.getsockname()), call_us=300 * MS)
            call = asyncio.create_task(service.grant(5))
            await asyncio.sleep(0.05)
            time.sleep(0.5)  # noqa: ASYNC251
            try:
                assert await call == 7
            finally:
                service.close()
                await asyncio.to_thread(thread.join)

    play(test())


def test_the_answer_of_a_node_that_has_come_is_taken(tmp_path: Path) -> None:
    # The node counted as failing, and the client was told 503, though the node had taken the upgrade.
    async def test() -> None:
        async with world(tmp_path, 1) as stand:
            upgrade_s = QUICK.upgrade_us / 1e6
            opening = asyncio.create_task(connect(stand.url("/board")).__aenter__())
            node = stand.nodes["n0"]
            await until(lambda: node.came)
            time.sleep(upgrade_s + 0.1)  # noqa: ASYNC251
            board = await opening
            await board.close()
            assert stand.gate.counters["nodes.refused"] == 0

    play(test())
