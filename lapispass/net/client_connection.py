"""One client of the listening address: what has come from it, until when it may stay, and why it ended."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from enum import StrEnum

from lapispass.net import tcp_info
from lapispass.net.limits import Limits
from lapispass.net.lines import LineSplitter
from lapispass.net.streams import read_arrived, unread

ANSWER = b"PONG\r\n"


class CloseReason(StrEnum):
    """Why a connection ended. The names are those of the counters, the values those of the log."""

    PEER = "ended by the peer"
    SILENT = "neither joined nor asked in time"
    UNFINISHED = "message not whole in time"
    UNREADABLE = "unreadable"
    TOO_LONG = "line without an end"
    UNREAD = "answers left unread"
    CROWDED_OUT = "crowded out"
    PROCESS_ENDS = "the process ends"
    BROKEN = "broken"
    FAULT = "fault"


class ConnectionEnded(Exception):
    """The connection ends for this reason; `detail` is for the log alone, it may be a stranger's text."""

    def __init__(self, reason: CloseReason, detail: str = "") -> None:
        super().__init__(detail)
        self.reason, self.detail = reason, detail


class ClientConnection:
    """One client, and what is known of it."""

    def __init__(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, limits: Limits
    ) -> None:
        self.number, self.reader, self.writer, self.limits = number, reader, writer, limits
        self.loop = asyncio.get_running_loop()
        self.lines = LineSplitter(limits.message_bytes)
        self.zone: str | None = None  # once it has joined
        self.unreadable_in_a_row = 0  # lines since the last sound one
        self.pings = 0  # asked
        self.unanswered = 0  # of these
        self.opened_at = self.last_data_at = self.message_began_at = self.loop.time()
        self.closing: CloseReason | None = None  # why it is to end as soon as what has come is answered
        self.deadline_passed = False  # its time was over once, and what had come then was read
        self.rejected = False  # it has been told so, and has a moment to read it
        self.read_timeout: asyncio.Timeout | None = None

    @property
    def unfinished(self) -> bool:
        """Whether a message comes in pieces."""
        return bool(self.lines.unfinished)

    def silent_us(self) -> int:
        """For how long nothing has come."""
        return int((self.loop.time() - self.last_data_at) * 1e6)

    def deadline(self) -> float | None:
        """When it is closed if nothing comes, in seconds of the loop's clock; None where it may be silent.

        Whoever has asked once may stay: it may ask again on the connection that it has, and would find it
        closed in that instant. It goes when its place is needed (`Collectors.make_room`).
        """
        if self.closing is not None:
            return self.loop.time()
        if self.zone is not None:
            return None
        if self.unfinished:
            return self.message_began_at + self.limits.message_us / 1e6
        if self.pings:
            return None
        return self.opened_at + self.limits.join_us / 1e6

    def reason(self) -> CloseReason:
        """Why its time is over."""
        if self.closing is not None:
            return self.closing
        return CloseReason.UNFINISHED if self.unfinished else CloseReason.SILENT

    async def read(self) -> bytes:
        """The next bytes; none at the end of the stream.

        Raises `Ended` once its time is over, and nothing has come meanwhile.
        """
        # Guards the end of a process against clients that go on asking: a read that finds something never
        # waits, and its time is never over.
        if self.closing is not None:
            piece = await self._read_last()
        else:
            piece = await self._read_in_time()
        self.last_data_at = self.loop.time()
        return piece

    async def _read_in_time(self) -> bytes:
        waiting = asyncio.timeout_at(self.deadline())
        try:
            async with waiting:
                self.read_timeout = waiting
                return await self.reader.read(self.limits.quantum_bytes)
        except TimeoutError:
            if not waiting.expired():
                raise  # the connection's own (ETIMEDOUT)
            return await self._read_last()
        finally:
            self.read_timeout = None

    async def _read_last(self) -> bytes:
        """What has come although its time is over, once; then it ends.

        Guards against a request that is read and dropped: it may come between this decision and the close.
        From here on what comes stays in the system's buffer, and what was read already is handled.
        """
        if not self.deadline_passed:
            self.deadline_passed = True
            piece = await read_arrived(
                self.reader, self.writer, self.limits.quantum_bytes, self.limits.late_us
            )
            if piece is not None:
                return piece
        self._pause_reading()
        if unread(self.reader):
            # This does not wait, and lets the transport read on.
            piece = await self.reader.read(self.limits.quantum_bytes)
            self._pause_reading()
            return piece
        raise ConnectionEnded(self.reason())

    def _pause_reading(self) -> None:
        self.writer.transport.pause_reading()  # type: ignore[attr-defined]

    def end_soon(self, reason: CloseReason) -> None:
        """Has it closed once what has come is answered; at once where it has been rejected already."""
        self.closing = self.closing or reason
        if self.rejected:
            self.writer.transport.abort()
        if self.read_timeout is not None:
            with suppress(RuntimeError):  # its time is over already
                self.read_timeout.reschedule(self.loop.time())

    def note_ping(self) -> None:
        """A PING: it is to be answered, and the connection may be idle."""
        self.pings += 1
        self.unanswered += 1
        self.deadline_passed = self.closing is not None

    def write_answers(self) -> None:
        """Answers what was asked, by one write: one for each costs a system call, and others their time."""
        if self.unanswered:
            self.writer.write(ANSWER * self.unanswered)
            self.unanswered = 0

    def note_message_start(self) -> None:
        """The message that comes now, if any, has begun with the last bytes; the first one has the time from
        connecting on."""
        self.message_began_at = self.last_data_at if self.pings else self.opened_at

    def since_last_data_us(self) -> int | None:
        """How long ago its last bytes came to this machine; None where the system does not tell."""
        return tcp_info.since_last_data_us(self.writer.get_extra_info("socket"))

    def unsent(self) -> int:
        """Bytes that were written and are not in the system's hands yet."""
        return self.writer.transport.get_write_buffer_size()

    def fields(self) -> dict[str, object]:
        """What a log line says of it."""
        now = self.loop.time()
        return {
            "connection": self.number,
            "peer": self.writer.get_extra_info("peername"),
            "zone": self.zone,
            "age_ms": round((now - self.opened_at) * 1e3),
            "silent_ms": round((now - self.last_data_at) * 1e3),
            "pings": self.pings,
            "unfinished": len(self.lines.unfinished),
        }
