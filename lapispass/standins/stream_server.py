"""A base for stand-ins that serve tens of connections: one task per connection, HTTP parsed by h11."""

from __future__ import annotations

import asyncio

import h11


class StreamServer:
    """A server on loopback that handles each connection in a task of its own."""

    def __init__(self) -> None:
        self.address = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self.handle_connection(reader, writer)
        except (OSError, EOFError, h11.RemoteProtocolError, h11.LocalProtocolError, asyncio.CancelledError):
            pass  # a cancellation means that the whole test has ended
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection until it ends; subclasses implement this."""
        raise NotImplementedError

    def reset(self) -> None:
        """Resets every open connection. The server keeps accepting new ones."""
        for writer in list(self.writers):
            writer.transport.abort()

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        self.reset()


async def read_request(reader: asyncio.StreamReader, state: h11.Connection) -> tuple[str, str, bytes]:
    """Reads one HTTP request and returns its method, target and body.

    Raises EOFError if the client closes the connection first.
    """
    head: h11.Request | None = None
    body = b""
    while True:
        event = state.next_event()
        if event is h11.NEED_DATA:
            data = await reader.read(65536)
            if not data:
                raise EOFError
            state.receive_data(data)
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return head.method.decode(), head.target.decode(), body
        else:
            raise EOFError


def encode_response(state: h11.Connection, status: int, body: str | None) -> bytes:
    """Encodes a response. Without a body, encodes only the head of a chunked response."""
    headers = (
        [("Transfer-Encoding", "chunked")] if body is None else [("Content-Length", str(len(body.encode())))]
    )
    out = state.send(h11.Response(status_code=status, headers=headers)) or b""
    if body is not None:
        out += (state.send(h11.Data(data=body.encode())) or b"") + (state.send(h11.EndOfMessage()) or b"")
    return out
