"""Streams that wake one task: a tunnel listens to both of its ends, and to orders, in a single wait."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from lapispass.net.dial import open_transport
from lapispass.net.http import split
from lapispass.net.streams import Reader


class Ear(Reader):
    """A stream reader that sets an event when there is something to read, or its peer has ended."""

    def __init__(self, limit: int, wake: asyncio.Event) -> None:
        super().__init__(limit=limit, loop=asyncio.get_running_loop())
        self.wake, self.waiting, self.over = wake, 0, False

    def feed_data(self, data: bytes) -> None:  # type: ignore[override]
        self.waiting += len(data)
        super().feed_data(data)
        self.wake.set()

    def feed_eof(self) -> None:
        self.over = True
        super().feed_eof()
        self.wake.set()

    def set_exception(self, exc: Exception) -> None:
        self.over = True
        super().set_exception(exc)
        self.wake.set()

    async def take(self, most: int) -> bytes:
        """What has come, without waiting where something has; nothing at the end, also after a reset."""
        try:
            piece = await self.read(most)
        except OSError:
            self.waiting = 0
            return b""
        self.waiting -= len(piece)
        return piece


class Wire(asyncio.StreamReaderProtocol):
    """Wakes the tunnel too when its unsent bytes have gone out, or the connection is lost."""

    def __init__(
        self,
        ear: Ear,
        met: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]] | None = None,
    ) -> None:
        super().__init__(ear, met)
        self.wake = ear.wake

    def resume_writing(self) -> None:
        super().resume_writing()
        self.wake.set()

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.wake.set()


async def connect(address: str, limit: int, wake: asyncio.Event) -> tuple[Ear, asyncio.StreamWriter]:
    """A connection whose ear sets `wake`."""
    loop = asyncio.get_running_loop()
    ear = Ear(limit, wake)
    wire = Wire(ear)
    transport = await open_transport(lambda: wire, *split(address))
    return ear, asyncio.StreamWriter(transport, wire, ear, loop)
