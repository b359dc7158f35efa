"""A gate and an xDS controller start although their address is not available for a moment."""

from __future__ import annotations

import asyncio
import errno
import socket
from pathlib import Path

import pytest
from faulty_process import Call, Faults, errno_name, free_address, process
from grpclib.config import Configuration
from parties import play
from xds_process import xds_controller

from lapispass.net.counters import Counters
from lapispass.net.http import split_address
from lapispass.net.log import PartLogger
from lapispass.xds.closing_server import ClosingServer

TRANSIENT_FAILURES = [
    (Call.SOCKET, errno.ENFILE),
    (Call.SOCKET, errno.ENOBUFS),
    (Call.BIND, errno.EADDRINUSE),
    (Call.BIND, errno.EADDRNOTAVAIL),
    (Call.GETSOCKNAME, errno.ENOBUFS),
]
TEST_IDS = [f"{call.name}-{errno_name(error)}" for call, error in TRANSIENT_FAILURES]
GATE_FILE = """
connection_class {{ name: "board" path_prefix: "/board" }}
gate {{ name: "g0" listen: "{}:{}" slices: 2 }}
node {{ id: "n0" address: "127.0.0.1:1" zone: "east" }}
"""


@pytest.mark.parametrize(("call", "error"), TRANSIENT_FAILURES, ids=TEST_IDS)
def test_an_xds_controller_waits_for_its_address(tmp_path: Path, call: Call, error: int) -> None:
    """Guards against a start that exits with status 2 although the address is free a moment later."""

    async def test() -> None:
        faults = Faults(tmp_path / "faults")
        faults.set(call, error, times=5)
        async with xds_controller(tmp_path, faults):
            assert faults.injected(call) == 5

    play(test())


def test_a_gate_waits_for_its_address(tmp_path: Path) -> None:
    """Guards against a start that exits with status 2 although the address is free a moment later."""

    async def test() -> None:
        for call, error in TRANSIENT_FAILURES:
            faults, address = Faults(tmp_path / "faults"), free_address()
            faults.set(call, error, times=5)
            file = tmp_path / "operator.textproto"
            file.write_text(GATE_FILE.format(*address))
            async with process(("gate", "-o", str(file)), faults, address, "event=listening", {}):
                assert faults.injected(call) == 5, errno_name(error)

    play(test())


async def test_an_xds_server_starts_though_its_socket_listens_again_with_an_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a start that exits with status 2 because the second listen(2), by asyncio, fails."""
    original_listen, failures = socket.socket.listen, [None, errno.ENOBUFS, errno.EADDRINUSE]

    def listen(self: socket.socket, *backlog: int) -> None:
        if failures and (error := failures.pop(0)):
            raise OSError(error, errno_name(error))
        original_listen(self, *backlog)

    monkeypatch.setattr(socket.socket, "listen", listen)
    server = ClosingServer([], config=Configuration().__for_server__())
    address = await server.listen("127.0.0.1:0", None, PartLogger("test"), Counters())
    assert not failures
    _, writer = await asyncio.open_connection(*split_address(address))
    writer.close()
    await server.end()
