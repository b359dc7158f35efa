"""An HTTP/1.1 server for stand-ins that hold thousands of connections: asyncio protocols, no task for each.

It reads only what controllers send: a request line, headers, and a body where `Content-Length` names one. All
that passes is counted by the name of the client, which is the name of the listening socket it came in at.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass

BACKLOG = 1024
REQUEST_BYTES = 1 << 20  # the longest request that is read; longer ones end the connection
UNREAD_BYTES = 16 << 20  # that a client leaves unread before its connection is reset
HEAD_END = b"\r\n\r\n"
LENGTH = b"content-length:"


@dataclass
class Traffic:
    """What passed between a stand-in and a client since the start; bytes of the payload of TCP."""

    connections: int = 0
    calls: int = 0
    messages_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0


@dataclass(frozen=True, slots=True)
class Request:
    """A whole HTTP request."""

    method: str
    target: str
    body: bytes
    head: bytes


def response(body: bytes, status: int = 200) -> bytes:
    """A whole answer."""
    return b"HTTP/1.1 %d -\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)


def chunk(data: bytes) -> bytes:
    """A piece of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class HttpConnection(asyncio.Protocol):
    """One connection of a client; each whole request is handed to its host."""

    def __init__(self, host: HttpServer, client: str) -> None:
        self.host, self.client, self.traffic = host, client, host.traffic[client]
        self.transport: asyncio.Transport | None = None
        self.received = b""
        self.write_paused = False  # the client leaves more unread than the transport buffers

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.traffic.connections += 1
        self.host.open_connections.add(self)

    def data_received(self, data: bytes) -> None:
        self.traffic.bytes_in += len(data)
        self.received += data
        while (request := self.next_request()) is not None:
            self.traffic.calls += 1
            self.host.serve(self, request)
        if len(self.received) > REQUEST_BYTES:
            self.abort()

    def next_request(self) -> Request | None:
        """The next request that has come whole."""
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
        """Sends and counts; nothing to a connection that has ended. Whoever falls too far behind is reset."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.transport.get_write_buffer_size() > self.host.unread_limit:
            self.abort()
            return
        self.traffic.bytes_out += len(data)
        self.traffic.messages_out += messages
        self.transport.write(data)

    def pause_writing(self) -> None:
        self.write_paused = True

    def resume_writing(self) -> None:
        self.write_paused = False
        self.host.writing_resumed(self)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.host.open_connections.discard(self)
        self.host.connection_closed(self)


class HttpServer:
    """A server on loopback with a listening socket for each client that is told apart."""

    unread_limit = UNREAD_BYTES

    def __init__(self) -> None:
        self.traffic: dict[str, Traffic] = {}
        self.open_connections: set[HttpConnection] = set()
        self.servers: list[asyncio.Server] = []
        self.address = ""  # of the client that was listened for last

    async def listen(self, client: str, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listens for a client; the address, as `host:port`."""
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
        """Listens for a single client."""
        await self.listen("", port=port)

    def serve(self, connection: HttpConnection, request: Request) -> None:
        """Answers a request."""
        raise NotImplementedError

    def writing_resumed(self, connection: HttpConnection) -> None:
        """A client has read what it left unread before."""

    def connection_closed(self, connection: HttpConnection) -> None:
        """A connection has ended."""

    def reset(self) -> None:
        """Every connection is reset; new ones are taken."""
        for connection in list(self.open_connections):
            connection.abort()

    def stop(self) -> None:
        for server in self.servers:
            server.close()
        self.servers.clear()
        self.reset()
