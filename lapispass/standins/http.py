"""An HTTP/1.1 server for stand-ins with thousands of connections: asyncio protocols, no task per connection.

It parses only what controllers send: a request line, headers, and a body whose length `Content-Length` gives.
Each client has a listening socket of its own, and traffic is counted by the client's name.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass

BACKLOG = 1024
REQUEST_BYTES = 1 << 20  # maximum request size; a longer request ends the connection
UNREAD_BYTES = 16 << 20  # sent but not read by a client; beyond this its connection is reset
HEAD_END = b"\r\n\r\n"
LENGTH = b"content-length:"


@dataclass
class Traffic:
    """Traffic between a stand-in and one client since the start. Bytes are TCP payload."""

    connections: int = 0
    calls: int = 0
    messages_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0


@dataclass(frozen=True, slots=True)
class Request:
    """A complete HTTP request."""

    method: str
    target: str
    body: bytes
    head: bytes


def response(body: bytes, status: int = 200) -> bytes:
    """Encodes a complete response."""
    return b"HTTP/1.1 %d -\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)


def chunk(data: bytes) -> bytes:
    """Encodes one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class HttpConnection(asyncio.Protocol):
    """One connection of a client; passes each complete request to its server."""

    def __init__(self, server: HttpServer, client: str) -> None:
        self.server, self.client, self.traffic = server, client, server.traffic[client]
        self.transport: asyncio.Transport | None = None
        self.received = b""
        self.write_paused = False  # the write buffer is above its high-water mark

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.traffic.connections += 1
        self.server.open_connections.add(self)

    def data_received(self, data: bytes) -> None:
        self.traffic.bytes_in += len(data)
        self.received += data
        while (request := self.next_request()) is not None:
            self.traffic.calls += 1
            self.server.serve(self, request)
        if len(self.received) > REQUEST_BYTES:
            self.abort()

    def next_request(self) -> Request | None:
        """Takes the next complete request from the received bytes, or returns None."""
        end = self.received.find(HEAD_END)
        if end < 0:
            return None
        head, length = self.received[:end], 0
        if (at := head.lower().find(LENGTH)) >= 0:
            value = head[at + len(LENGTH) :].split(b"\r\n", 1)[0].strip()
            length = int(value) if value.isdigit() else REQUEST_BYTES
        whole = end + len(HEAD_END) + length
        if len(self.received) < whole:
            return None
        body, self.received = self.received[end + len(HEAD_END) : whole], self.received[whole:]
        method, _, rest = head.split(b"\r\n", 1)[0].decode("latin-1").partition(" ")
        return Request(method, rest.partition(" ")[0], body, head)

    def write(self, data: bytes, messages: int = 1) -> None:
        """Sends data and counts it. Does nothing on a closed connection.

        Resets the connection if the client has left more than `unread_limit` bytes unread.
        """
        if self.transport is None or self.transport.is_closing():
            return
        if self.transport.get_write_buffer_size() > self.server.unread_limit:
            self.abort()
            return
        self.traffic.bytes_out += len(data)
        self.traffic.messages_out += messages
        self.transport.write(data)

    def pause_writing(self) -> None:
        self.write_paused = True

    def resume_writing(self) -> None:
        self.write_paused = False
        self.server.writing_resumed(self)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.server.open_connections.discard(self)
        self.server.connection_closed(self)


class HttpServer:
    """A server on loopback with one listening socket for each client, to distinguish clients."""

    unread_limit = UNREAD_BYTES

    def __init__(self) -> None:
        self.traffic: dict[str, Traffic] = {}
        self.open_connections: set[HttpConnection] = set()
        self.servers: list[asyncio.Server] = []
        self.address = ""  # of the listening socket opened last

    async def listen(self, client: str, host: str = "127.0.0.1", port: int = 0) -> str:
        """Opens a listening socket for a client and returns its address as `host:port`."""
        listener = socket.create_server((host, port), backlog=BACKLOG)
        self.traffic.setdefault(client, Traffic())
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: HttpConnection(self, client), sock=listener, backlog=BACKLOG
        )
        self.servers.append(server)
        self.address = "{}:{}".format(*listener.getsockname()[:2])
        return self.address

    async def start(self, port: int = 0) -> None:
        """Opens a listening socket for the only client."""
        await self.listen("", port=port)

    def serve(self, connection: HttpConnection, request: Request) -> None:
        """Handles a request; subclasses implement this."""
        raise NotImplementedError

    def writing_resumed(self, connection: HttpConnection) -> None:
        """Called when the write buffer of a connection has drained again."""

    def connection_closed(self, connection: HttpConnection) -> None:
        """Called when a connection has closed."""

    def reset(self) -> None:
        """Resets every open connection. The server keeps accepting new ones."""
        for connection in list(self.open_connections):
            connection.abort()

    def stop(self) -> None:
        for server in self.servers:
            server.close()
        self.servers.clear()
        self.reset()
