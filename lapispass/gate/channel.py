"""Reading on the channel between a gate and its controller, for both ends: one message a line."""

from __future__ import annotations

import asyncio

import msgspec

from lapispass.net.http import within

# What ends a stream of the channel alone: it broke, nothing came in time, or what came was no message.
# asyncio.IncompleteReadError is an EOFError, msgspec.DecodeError a MsgspecError.
STREAM_ENDS = (OSError, EOFError, ValueError, msgspec.MsgspecError, asyncio.LimitOverrunError)


async def read_line(reader: asyncio.StreamReader, wait_us: int, late_us: int) -> bytes:
    """The next line. One that has come while the process stood still is read before the peer is given up."""
    return await within(wait_us, reader.readuntil(b"\n"), late_us)
