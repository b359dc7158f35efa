"""What asyncio's streams leave out: what is still unread, and an end that loses no answer."""

from __future__ import annotations

import asyncio
import select

from lapispass.net import call_failures


class Reader(asyncio.StreamReader):
    """A stream that can tell whether something waits to be read."""

    unread = 0

    def feed_data(self, data: bytes) -> None:
        self.unread += len(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        piece = await super().read(n)
        self.unread -= len(piece)
        return piece


def unread(reader: asyncio.StreamReader) -> int:
    """How many bytes a stream has taken over that nobody has read yet."""
    return reader.unread if isinstance(reader, Reader) else 0


def has_input(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
    """Whether bytes have come that were not read yet, in the stream or in the system's buffer.

    The peer's end counts as input too, until the stream has seen it.
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
    """Whether a read or an accept would find something; True where poll(2) is refused and nobody knows."""
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
    """What has come although the time to wait for it is over; None where nothing has.

    Guards against the timer that wins over what has come: where the process stood still, both are due in the
    same round. The system may not have handed the bytes over yet; that is waited for, `late_us` at most.
    """
    if not has_input(reader, writer):
        return None
    waiting = asyncio.timeout(late_us / 1e6)
    try:
        async with waiting:
            return await reader.read(most)
    except TimeoutError:
        if not waiting.expired():
            raise  # the connection's own (ETIMEDOUT)
        return None


async def flush(writer: asyncio.StreamWriter, wait_us: int) -> int:
    """Waits until all that was written is in the system's hands; how many bytes are not, after that time.

    Never raises for a peer that is gone.
    """
    transport = writer.transport
    transport.set_write_buffer_limits(high=0)
    try:
        async with asyncio.timeout(wait_us / 1e6):
            await writer.drain()
    except OSError:  # a TimeoutError is one, too
        pass
    return transport.get_write_buffer_size()
