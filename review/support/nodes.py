"""A stand-in of a node that holds WebSocket connections, on the `websockets` library.

It answers each text message with `ok ` and the message, and notes when a message came. `hang` has it take
connections and messages and answer none of them until `resume`. `die` resets its connections and has new ones
refused, as the protocol's page says of a process that dies.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
import time
from collections.abc import Callable
from typing import NamedTuple

from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed
from websockets.http11 import Request, Response

LINGER_NONE = struct.pack("ii", 1, 0)
QUIET = logging.getLogger("stand-in")
QUIET.addHandler(logging.NullHandler())
QUIET.propagate = False


class Received(NamedTuple):
    """A message that has come to a node."""

    at: float  # seconds of the monotonic clock
    node: str
    text: str


class Node:
    """One node on a free loopback port."""

    def __init__(self, name: str) -> None:
        self.name, self.address = name, ""
        self.received: list[Received] = []
        self.held: set[ServerConnection] = set()
        self.upgrades = 0  # upgrade requests that have come
        self.work_s = 0.0  # how long it works on a message
        self.answering = asyncio.Event()
        self.answering.set()
        self.server: Server | None = None
        self.on_open: Callable[[ServerConnection], None] = lambda connection: None

    async def start(self) -> Node:
        """Starts to listen."""
        self.server = await serve(
            self.hold,
            "127.0.0.1",
            0,
            compression=None,
            ping_interval=None,
            process_request=self.take_upgrade,
            max_size=None,
            open_timeout=None,
            close_timeout=2,
            logger=QUIET,
        )
        host, port = next(iter(self.server.sockets)).getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    def hang(self) -> None:
        """From now on the node takes what comes and answers nothing."""
        self.answering.clear()

    def resume(self) -> None:
        """The node answers again, also what has come meanwhile."""
        self.answering.set()

    def die(self) -> None:
        """Resets all connections; new ones are refused."""
        if self.server is not None:
            self.server.close(close_connections=False)
        for connection in list(self.held):
            raw = connection.transport.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
            connection.transport.abort()

    async def take_upgrade(self, _: ServerConnection, request: Request) -> Response | None:
        """Answers an upgrade request, once the node answers."""
        self.upgrades += 1
        await self.answering.wait()
        return None

    async def hold(self, connection: ServerConnection) -> None:
        """Serves one connection."""
        self.held.add(connection)
        self.on_open(connection)
        try:
            while True:
                message = await connection.recv()
                text = message if isinstance(message, str) else f"{len(message)} bytes"
                self.received.append(Received(time.monotonic(), self.name, text))
                await asyncio.sleep(self.work_s)
                await self.answering.wait()
                await connection.send(f"ok {text}")
        except ConnectionClosed:
            pass
        finally:
            self.held.discard(connection)
