"""Streams that set a shared event, so that the task of a tunnel waits for both of its ends and for orders in
a single wait."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from lapispass.net.dial import open_transport
from lapispass.net.http import split_address
from lapispass.net.streams import Reader


class EventedReader(Reader):
    """A stream reader that sets an event when there is input or its peer has ended the connection."""

    def __init__(self, limit: int, wake: asyncio.Event) -> None:
        super().__init__(limit=limit, loop=asyncio.get_running_loop())
        self.wake, self.ended = wake, False

    def feed_data(self, data: bytes) -> None:  # type: ignore[override]
        super().feed_data(data)
        self.wake.set()

    def feed_eof(self) -> None:
        self.ended = True
        super().feed_eof()
        self.wake.set()

    def set_exception(self, exc: Exception) -> None:
        self.ended = True
        super().set_exception(exc)
        self.wake.set()

    async def read(self, n: int = -1) -> bytes:
        """Reads input, without a wait if there is some. Returns nothing at the end, also after a reset."""
        try:
            return await super().read(n)
        except OSError:
            self.unread = 0
            return b""


class EventedProtocol(asyncio.StreamReaderProtocol):
    """A protocol that also sets the event when its unsent bytes have been sent or the connection is lost."""

    def __init__(
        self,
        reader: EventedReader,
        on_connect: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]] | None = None,
    ) -> None:
        super().__init__(reader, on_connect)
        self.wake = reader.wake

    def resume_writing(self) -> None:
        super().resume_writing()
        self.wake.set()

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.wake.set()


async def connect(
    address: str, limit: int, wake: asyncio.Event, max_read_bytes: int | None = None
) -> tuple[EventedReader, asyncio.StreamWriter]:
    """Opens a connection whose reader sets `wake`."""
    loop = asyncio.get_running_loop()
    reader = EventedReader(limit, wake)
    protocol = EventedProtocol(reader)
    transport = await open_transport(lambda: protocol, *split_address(address), max_read_bytes)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)
