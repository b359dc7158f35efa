"""Every upgrade request that a gate has read gets a final answer, whatever ends it."""

from __future__ import annotations

import asyncio
import errno
import signal
from dataclasses import replace
from pathlib import Path

from faulty_process import SHORT, Call, Faults, errno_name, free_address, process
from parties import LoopbackServer
from support_gate import SHORT_LIMITS, standalone_gate

UPGRADE = (
    b"GET /board HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    b"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: MDEyMzQ1Njc4OWFiY2RlZg==\r\n\r\n"
)
FILE = """
connection_class {{ name: "board" path_prefix: "/board" }}
gate {{ name: "g0" listen: "{listen}" slices: 2 }}
node {{ id: "n0" address: "{node}" zone: "east" }}
"""


async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A node that reads an upgrade request and never answers it."""
    while await reader.read(1000):
        pass


async def read_to_end(reader: asyncio.StreamReader) -> bytes:
    """Reads until the end of the connection; if it breaks, returns the error as text."""
    try:
        return await asyncio.wait_for(reader.read(), 3)
    except OSError as error:
        return repr(error).encode()


async def test_a_gate_that_ends_answers_upgrades_under_way(tmp_path: Path) -> None:
    # Upgrades under way were once cut three seconds after the stop, without an answer.
    faults, address = Faults(tmp_path / "faults"), free_address()
    file = tmp_path / "operator.textproto"
    async with LoopbackServer(silent) as node:
        file.write_text(FILE.format(listen="{}:{}".format(*address), node=node.address))
        async with process(("gate", "-o", str(file)), faults, address, "event=listening", {}) as gate:
            reader, writer = await gate.connect()
            writer.write(UPGRADE)
            await asyncio.sleep(0.3)
            gate.signal(signal.SIGTERM)
            answer = await read_to_end(reader)
            writer.close()
            assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After-Ms:" in answer
            assert await gate.wait_for_exit() == 0


async def test_refusals_are_whole_where_writes_are_short_and_the_client_has_ended_its_side(
    tmp_path: Path,
) -> None:
    # The connection was once aborted as soon as the client's end of input was read, with the answer unsent.
    faults, address, bad = Faults(tmp_path / "faults"), free_address(), {}
    file = tmp_path / "operator.textproto"
    file.write_text(FILE.format(listen="{}:{}".format(*address), node="127.0.0.1:1"))
    async with process(("gate", "-o", str(file)), faults, address, "event=listening", {}) as gate:
        for error in (SHORT, errno.EINTR, errno.EAGAIN):
            for request, status in ((UPGRADE, b"503"), (b"GET /odd HTTP/1.1\r\nHost: x\r\n\r\n", b"426")):
                faults.set(Call.SEND, error, thousandths=900 if error == SHORT else 500)
                reader, writer = await gate.connect()
                writer.write(request)
                writer.write_eof()
                answer = await read_to_end(reader)
                if not answer.startswith(b"HTTP/1.1 " + status) or not answer.endswith(b"\n"):
                    bad[errno_name(error), status] = answer
                faults.clear(Call.SEND)
                writer.close()
    assert not bad


async def test_an_upgrade_beyond_those_that_can_be_under_way_is_refused_with_when_to_come_back(
    tmp_path: Path,
) -> None:
    # Such a connection was once reset without an answer.
    async with standalone_gate(
        tmp_path, 1, replace(SHORT_LIMITS, handshakes_at_once=1, handshake_us=5_000_000)
    ) as env:
        host, _, port = env.gate.address.rpartition(":")
        _, first = await asyncio.open_connection(host, int(port))
        await asyncio.sleep(0.1)
        reader, second = await asyncio.open_connection(host, int(port))
        second.write(UPGRADE)
        answer = await read_to_end(reader)
        first.close()
        second.close()
        assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After-Ms:" in answer
