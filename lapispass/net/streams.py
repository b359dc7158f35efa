"""Additions to asyncio's streams: the amount of unread input, and a flush before the close."""

from __future__ import annotations

import asyncio
import select

from lapispass.core.memory_budget import MemoryAccount
from lapispass.net import call_failures


class Reader(asyncio.StreamReader):
    """A stream reader that knows how many received bytes have not been read."""

    unread = 0

    def feed_data(self, data: bytes) -> None:
        self.unread += len(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        chunk = await super().read(n)
        self.unread -= len(chunk)
        return chunk


class OverMemory(OSError):
    """There is no memory for more input of a connection."""


class CountedReader(Reader):
    """A stream reader whose unread input is counted against the memory of the process.

    Input for which there is no room is dropped with what came before it: all reads fail with `OverMemory`.
    """

    def __init__(self, limit: int, account: MemoryAccount) -> None:
        super().__init__(limit=limit, loop=asyncio.get_running_loop())
        self.account, self.is_identified = account, False

    def feed_data(self, data: bytes) -> None:
        if self.exception() is not None:
            return
        if self.account.hold(self.unread + len(data), self.is_identified):
            super().feed_data(data)
        else:
            self.set_exception(OverMemory("no memory for a longer message"))

    async def readuntil(self, separator: bytes = b"\n") -> bytes:
        line = await super().readuntil(separator)
        self.unread -= len(line)
        self.account.hold(self.unread, self.is_identified)
        return line


def unread(reader: asyncio.StreamReader) -> int:
    """The number of bytes in the stream's buffer that have not been read."""
    return reader.unread if isinstance(reader, Reader) else 0


def has_input(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
    """Whether there are unread bytes, in the stream's buffer or in the system's.

    An end of stream counts as input, too, until the reader has seen it.
    """
    if unread(reader):
        return True
    if reader.at_eof() or reader.exception() or writer.is_closing():
        return False
    connection = writer.get_extra_info("socket")
    if connection is None or connection.fileno() < 0:
        return False
    return is_readable(connection.fileno())


def is_readable(descriptor: int) -> bool:
    """Whether a read or an accept would not block; True if poll(2) fails, since it is unknown then."""
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    try:
        return bool(poll.poll(0))
    except OSError as error:
        call_failures.note("poll", error)
        return True


async def read_arrived(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, most: int, late_us: int
) -> bytes | None:
    """Called after a read has timed out: returns input that did arrive in time, or None.

    If the process was stalled, the timer and the input are due in the same round of the loop, and the timer
    may come first. Bytes that are still in the system's buffer are waited for, for at most `late_us`.
    """
    if not has_input(reader, writer):
        return None
    waiting = asyncio.timeout(late_us / 1e6)
    try:
        async with waiting:
            return await reader.read(most)
    except TimeoutError:
        if not waiting.expired():
            raise  # an error of the connection (ETIMEDOUT)
        return None


async def flush(writer: asyncio.StreamWriter, wait_us: int) -> int:
    """Waits until the system has taken all written bytes; returns how many are left after `wait_us`.

    Does not raise if the peer is gone.
    """
    transport = writer.transport
    transport.set_write_buffer_limits(high=0)
    try:
        async with asyncio.timeout(wait_us / 1e6):
            await writer.drain()
    except OSError:  # includes TimeoutError
        pass
    return transport.get_write_buffer_size()
