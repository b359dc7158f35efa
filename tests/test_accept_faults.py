"""Gates and xDS controllers accept clients although accept fails temporarily."""

from __future__ import annotations

import asyncio
import errno
from pathlib import Path

from faulty_process import Call, Faults, errno_name, free_address, process
from parties import play

UPGRADE = (
    b"GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    b"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: MDEyMzQ1Njc4OWFiY2RlZg==\r\n\r\n"
)
DUE_S = 0.5
ACCEPT_ERRORS = (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ECONNABORTED, errno.EPROTO)


FILE = """
connection_class {{ name: "all" path_prefix: "/" }}
gate {{ name: "g0" listen: "{listen}" slices: 2 }}
node {{ id: "n0" address: "127.0.0.1:1" zone: "east" }}
"""


async def answer(address: tuple[str, int]) -> bytes:
    """The head of the gate's response, or the error text if there is none."""
    try:
        async with asyncio.timeout(DUE_S):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(UPGRADE)
            head = await reader.readuntil(b"\r\n\r\n")
    except (OSError, EOFError, asyncio.IncompleteReadError) as error:
        return repr(error).encode()
    writer.close()
    return head


def test_a_gate_accepts_soon_after_accept_has_failed(tmp_path: Path) -> None:
    async def test() -> None:
        faults, address, late = Faults(tmp_path / "faults"), free_address(), {}
        file = tmp_path / "operator.textproto"
        file.write_text(FILE.format(listen="{}:{}".format(*address)))
        async with process(("gate", "-o", str(file)), faults, address, "event=listening", {}) as running:
            for error in ACCEPT_ERRORS:
                faults.set(Call.ACCEPT, error, times=3)
                got = await answer(running.address)
                if not got.startswith(b"HTTP/1.1 503"):  # its node refuses
                    late[errno_name(error)] = got
                faults.clear(Call.ACCEPT)
        assert not late

    play(test())


XDS_FILE = """
xds {{ listen: "{listen}" }}
alone {{ store_file: "store" slices: 6
  visit_class {{ name: "look" agreed_ms: 500 patience_ms: 1000 benefit: 1 }} }}
node {{ id: "n0" address: "127.0.0.1:1" zone: "east" }}
"""
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"
SETTINGS = 4  # the type of the frame that a server sends first (RFC 9113 3.4)


async def first_frame(address: tuple[str, int]) -> int:
    """The type of an HTTP/2 server's first frame, or -1 if none arrives in time."""
    try:
        async with asyncio.timeout(DUE_S):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(PREFACE)
            head = await reader.readexactly(9)
    except (OSError, EOFError):
        return -1
    writer.close()
    return head[3]


def test_an_xds_controller_accepts_soon_after_accept_has_failed(tmp_path: Path) -> None:
    async def test() -> None:
        faults, address, late = Faults(tmp_path / "faults"), free_address(), {}
        file = tmp_path / "operator.textproto"
        file.write_text(XDS_FILE.format(listen="{}:{}".format(*address)))
        async with process(("run", "-o", str(file)), faults, address, "listening", {}) as running:
            for error in ACCEPT_ERRORS:
                faults.set(Call.ACCEPT, error, times=3)
                if (got := await first_frame(running.address)) != SETTINGS:
                    late[errno_name(error)] = got
                faults.clear(Call.ACCEPT)
        assert not late

    play(test())
