"""Reading from the channel between a gate and its controller, for both ends. Each line is one message."""

from __future__ import annotations

import asyncio

import msgspec

from lapispass.net.http import within

# Errors that end only the stream and not the process: the connection broke, nothing came in time, or the line
# was not a valid message. asyncio.IncompleteReadError is an EOFError, msgspec.DecodeError is a MsgspecError.
STREAM_ENDS = (OSError, EOFError, ValueError, msgspec.MsgspecError, asyncio.LimitOverrunError)


async def read_line(reader: asyncio.StreamReader, wait_us: int, late_us: int) -> bytes:
    """The next line. A line that arrived while this process was stalled is read before the wait counts as
    timed out."""
    return await within(wait_us, reader.readuntil(b"\n"), late_us)
