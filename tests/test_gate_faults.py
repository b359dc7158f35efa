"""A gate answers each upgrade that was asked for, also where it cannot be served."""

from __future__ import annotations

import asyncio
import errno
from pathlib import Path

from faulty_process import Call, Faults, free_address, names, process
from parties import play

UPGRADE = (
    b"GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    b"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: MDEyMzQ1Njc4OWFiY2RlZg==\r\n\r\n"
)
DUE_S = 0.5


FILE = """
connection_class {{ name: "all" path_prefix: "/" }}
gate {{ name: "g0" listen: "{listen}" slices: 2 }}
node {{ id: "n0" address: "127.0.0.1:1" zone: "east" }}
"""


async def answer(address: tuple[str, int]) -> bytes:
    """The head of what the gate answers, or why there is none."""
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
            for error in (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ECONNABORTED, errno.EPROTO):
                faults.set(Call.ACCEPT, error, times=3)
                got = await answer(running.address)
                if not got.startswith(b"HTTP/1.1 503"):  # its node refuses
                    late[names(error)] = got
                faults.clear(Call.ACCEPT)
        assert not late

    play(test())
