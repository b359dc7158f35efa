"""A grpclib server that closes its connections when it ends, and accepts them as the other listeners do.

`grpclib.server.Server.close` stops listening and cancels the calls in progress, but leaves every connection
open, so that a client finds out only by an unanswered ping. This server closes them all, including those
that are accepted meanwhile. grpclib listens with asyncio's server, which accepts nothing for a second when
file descriptors run out for a moment; here `Acceptor` accepts in its place.
"""

from __future__ import annotations

import asyncio
import socket
import ssl
from collections.abc import Collection
from typing import TYPE_CHECKING

from grpclib.config import Configuration
from grpclib.protocol import H2Protocol
from grpclib.server import Server

from lapispass.core import transient_errors
from lapispass.net.acceptor import Acceptor, bound_address, listen_with_retries
from lapispass.net.counters import Counters
from lapispass.net.log import PartLogger
from lapispass.retry import START
from lapispass.xds.bounded_protocol import READ_BYTES, BoundedProtocol

if TYPE_CHECKING:
    from grpclib._typing import IServable

BACKLOG = 1024
MAX_ACCEPTS_AT_ONCE = 128
MAX_CONNECTIONS = 5_064  # by default: the clients, and a few that change
SETTLE_S = 1.0  # time allowed for connections that were accepted just before the end to be set up


class ClosingServer(Server):
    """A server that closes its connections in `close`."""

    def __init__(
        self,
        handlers: Collection[IServable],
        *,
        config: Configuration,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        super().__init__(handlers, config=config)
        self.max_connections = max_connections
        self.connections: set[asyncio.Transport] = set()
        self.is_closing = False
        self.acceptor: Acceptor | None = None

    def _protocol_factory(self) -> H2Protocol:
        return TrackedProtocol(super()._protocol_factory(), self)

    def connection_opened(self, connection: TrackedProtocol) -> None:
        """Registers a connection.

        One that is set up while the server ends is closed at once, and so is one for which there is no room.
        """
        self.connections.add(connection.transport)
        if self.is_closing:
            connection.transport.abort()
        elif len(self.connections) > self.max_connections:
            connection.refuse("too many connections")

    async def listen(
        self, address: str, tls: ssl.SSLContext | None, log: PartLogger, counters: Counters
    ) -> str:
        """Listens at `host:port` and returns the address that was bound.

        An address that is not available, for instance while a previous process ends, is retried for a while.
        """
        listener = await listen_with_retries(address, BACKLOG)
        await self.start_with_retry(listener, tls)
        asyncio.get_running_loop().remove_reader(listener.fileno())
        self.acceptor = Acceptor(
            listener,
            self._protocol_factory,
            name="xds",
            accept_batch=MAX_ACCEPTS_AT_ONCE,
            log=log,
            counters=counters,
            max_read_bytes=READ_BYTES,
            tls=tls,
        )
        return await bound_address(listener)

    async def start_with_retry(self, listener: socket.socket, tls: ssl.SSLContext | None) -> None:
        """Starts on a listening socket. asyncio calls `listen` on it again, which is retried if it fails."""
        loop = asyncio.get_running_loop()
        until = loop.time() + START.wait_s
        while True:
            try:
                return await self.start(sock=listener, ssl=tls)
            except OSError as error:
                if error.errno not in transient_errors.LOCAL or loop.time() >= until:
                    raise
            await asyncio.sleep(START.pause_s)

    async def end(self) -> None:
        """Closes the server once each accepted connection is set up, so that none is left open."""
        try:
            if self.acceptor is not None:
                self.acceptor.stop()
                if self.acceptor.tasks:
                    await asyncio.wait(self.acceptor.tasks, timeout=SETTLE_S)
        finally:
            self.close()

    def close(self) -> None:
        """Stops listening, cancels calls and closes connections; data that is not sent yet is dropped."""
        super().close()
        self.is_closing = True
        for transport in self.connections:
            transport.abort()


class TrackedProtocol(BoundedProtocol):
    """A connection that is registered with its server while it is open."""

    def __init__(self, plain: H2Protocol, server: ClosingServer) -> None:
        super().__init__(plain)
        self.server = server

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.server.connection_opened(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        self.server.connections.discard(self.transport)
        super().connection_lost(exc)
