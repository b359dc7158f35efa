"""A transient error of a local system call says nothing about the server that is probed."""

from __future__ import annotations

import asyncio
import errno
import socket
import struct
import threading
import time
from typing import Any

import h11
import pytest
from parties import CODEC, QUICK, LoopbackServer, read_request, response_bytes, until

from lapispass import interface
from lapispass.net.counters import Counters
from lapispass.net.probes import ANSWERED, CONNECTION_FAILED, TIMED_OUT, UNREACHABLE, Probes

LOCAL = [errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENFILE, errno.EMFILE, errno.ENOMEM, errno.EAGAIN]
ROUTE = [errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ENETDOWN]


class Dials:
    """Makes the next calls of connect fail."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.left, self.error, self.failed = 0, 0, 0
        self.connect = socket.socket.connect
        monkeypatch.setattr(socket.socket, "connect", lambda *words: self.dial(*words))

    def dial(self, connection: socket.socket, address: Any) -> None:
        if self.left:
            self.left -= 1
            self.failed += 1
            raise OSError(self.error, "injected")
        self.connect(connection, address)


async def healthy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    state = h11.Connection(h11.SERVER)
    await read_request(reader, state)
    writer.write(response_bytes(state, 200, b""))


async def probe(address: str) -> list[interface.ProbeResult]:
    events: list[interface.ProbeResult] = []
    probes = Probes(events.append, CODEC, QUICK, Counters())
    probes.start("s-1", address)
    await until(lambda: not probes.under_way)
    return events


async def test_a_dial_that_fails_for_a_moment_is_no_refusal_of_the_server(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A probe that found no free local port was taken for a refused connection, and a refused connection means
    # that a draining server has ended.
    dials, found = Dials(monkeypatch), {}
    async with LoopbackServer(healthy) as server:
        for error in (*LOCAL, *ROUTE):
            dials.left, dials.error = 2, error
            found[errno.errorcode[error], "for a moment"] = [
                probed.reason for probed in await probe(server.address)
            ]
            dials.left = 1_000_000
            found[errno.errorcode[error], "for good"] = [
                probed.reason for probed in await probe(server.address)
            ]
            dials.left = 0
    expected = {}
    for error in (*LOCAL, *ROUTE):
        expected[errno.errorcode[error], "for a moment"] = [ANSWERED]
        expected[errno.errorcode[error], "for good"] = [] if error in LOCAL else [TIMED_OUT]
    assert found == expected and dials.failed > 2 * len(expected)


async def test_a_server_that_resets_each_connection_is_told_as_such(monkeypatch: pytest.MonkeyPatch) -> None:
    # A reset that came before the peer's address was read was taken for a connect that never began.
    def reset_all(listener: socket.socket) -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return  # the test has ended
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            connection.close()

    connect = socket.socket.connect

    def connect_and_be_reset(connection: socket.socket, address: Any) -> None:
        connection.setblocking(True)
        connect(connection, address)
        time.sleep(0.01)  # until the reset has arrived
        connection.setblocking(False)

    with socket.create_server(("127.0.0.1", 0)) as listener:
        serving = threading.Thread(target=reset_all, args=(listener,))
        serving.start()
        address = "{}:{}".format(*listener.getsockname())
        found = [probed.reason for _ in range(50) for probed in await probe(address)]
        monkeypatch.setattr(socket.socket, "connect", connect_and_be_reset)
        found += [probed.reason for _ in range(10) for probed in await probe(address)]
        listener.shutdown(socket.SHUT_RDWR)
        serving.join()
    assert len(found) == 60 and set(found) <= {CONNECTION_FAILED, UNREACHABLE}
