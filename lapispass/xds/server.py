"""grpclib's server, whose end closes its connections.

`grpclib.server.Server.close` stops listening and cancels the calls under way, but leaves every connection
open: a client would find out by a ping that is not answered. Here they are closed, those that come meanwhile
too.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from typing import TYPE_CHECKING

from grpclib.config import Configuration
from grpclib.protocol import H2Protocol
from grpclib.server import Server

if TYPE_CHECKING:
    from grpclib._typing import IServable


class ClosingServer(Server):
    """A server that closes its connections in `close`."""

    def __init__(self, handlers: Collection[IServable], *, config: Configuration) -> None:
        super().__init__(handlers, config=config)
        self.connections: set[asyncio.Transport] = set()
        self.is_closing = False

    def _protocol_factory(self) -> H2Protocol:
        return TrackedProtocol(super()._protocol_factory(), self)

    def opened(self, transport: asyncio.Transport) -> None:
        """A connection stands; one that came while the server ended is closed at once."""
        self.connections.add(transport)
        if self.is_closing:
            transport.abort()

    async def end(self) -> None:
        """Ends as `close` does, once each connection that was accepted stands.

        Guards against Python 3.11, where a connection that is accepted in the round in which its server
        closes is lost: it is neither served nor closed.
        """
        assert isinstance(self._server, asyncio.Server)
        loop = asyncio.get_running_loop()
        for listening in self._server.sockets:
            loop.remove_reader(listening.fileno())
        try:
            await asyncio.sleep(0)
        finally:
            self.close()

    def close(self) -> None:
        """Stops listening, cancels calls and closes connections; what is still unsent is dropped."""
        super().close()
        self.is_closing = True
        for transport in self.connections:
            transport.abort()


class TrackedProtocol(H2Protocol):
    """One connection, which its server knows of for as long as it stands."""

    def __init__(self, plain: H2Protocol, server: ClosingServer) -> None:
        super().__init__(plain.handler, plain.config, plain.h2_config)
        self.server = server

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        super().connection_made(transport)
        self.transport = transport
        self.server.opened(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        self.server.connections.discard(self.transport)
        super().connection_lost(exc)
