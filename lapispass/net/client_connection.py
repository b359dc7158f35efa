"""One connection at the listening address: its input, its deadline, and why it ended."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from enum import StrEnum

from lapispass.core.memory_budget import MemoryAccount
from lapispass.net import tcp_info
from lapispass.net.limits import Limits
from lapispass.net.lines import LineSplitter
from lapispass.net.streams import read_arrived, unread

ANSWER = b"PONG\r\n"


class CloseReason(StrEnum):
    """Why a connection ended. The names are used in counters, the values in log lines."""

    PEER = "closed by the peer"
    SILENT = "neither joined nor sent a request in time"
    UNFINISHED = "message not completed in time"
    UNREADABLE = "malformed message"
    TOO_LONG = "line too long"
    UNREAD = "answers not read in time"
    CROWDED_OUT = "evicted to make room"
    OVER_MEMORY = "no memory for a longer message"
    PROCESS_ENDS = "process shutting down"
    BROKEN = "connection error"
    FAULT = "internal error"


class ConnectionEnded(Exception):
    """The connection ends for `reason`. `detail` is only for the log: it may hold text of any client."""

    def __init__(self, reason: CloseReason, detail: str = "") -> None:
        super().__init__(detail)
        self.reason, self.detail = reason, detail


class ClientConnection:
    """The state of one client's connection."""

    def __init__(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limits: Limits,
        memory: MemoryAccount,
    ) -> None:
        self.number, self.reader, self.writer, self.limits = number, reader, writer, limits
        self.memory = memory
        self.loop = asyncio.get_running_loop()
        self.lines = LineSplitter(limits.message_bytes)
        self.zone: str | None = None  # set once it has joined
        self.unreadable_in_a_row = 0  # malformed lines since the last valid one
        self.pings = 0  # PINGs received
        self.unanswered = 0  # pings that are not answered yet
        self.opened_at = self.last_data_at = self.message_began_at = self.loop.time()
        # Set once the connection is to be closed as soon as its pending input is answered.
        self.closing: CloseReason | None = None
        self.deadline_passed = False  # the deadline has passed once, and the input that had arrived was read
        self.rejected = False  # a rejection was sent, and the client has a moment to read it
        self.read_timeout: asyncio.Timeout | None = None

    @property
    def unfinished(self) -> bool:
        """Whether an incomplete message has been received."""
        return bool(self.lines.unfinished)

    def silent_us(self) -> int:
        """The time since the last bytes were received."""
        return int((self.loop.time() - self.last_data_at) * 1e6)

    def deadline(self) -> float | None:
        """When it is closed without further input, by the loop's clock; None if it may stay idle.

        A client that has sent a request may stay: it may send the next one at the very moment in which the
        connection would be closed. It is evicted only if its place is needed (`Collectors.make_room`).
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
        """Why the connection has reached its deadline."""
        if self.closing is not None:
            return self.closing
        return CloseReason.UNFINISHED if self.unfinished else CloseReason.SILENT

    async def read(self) -> bytes:
        """Returns the next bytes; none at the end of the stream.

        Raises `ConnectionEnded` after the deadline if no input has arrived meanwhile.
        """
        # A read that finds input never waits, so it never times out. Clients that keep sending requests would
        # otherwise prevent the process from ending.
        if self.closing is not None:
            chunk = await self._read_last()
        else:
            chunk = await self._read_in_time()
        self.last_data_at = self.loop.time()
        return chunk

    async def _read_in_time(self) -> bytes:
        waiting = asyncio.timeout_at(self.deadline())
        try:
            async with waiting:
                self.read_timeout = waiting
                return await self.reader.read(self.limits.quantum_bytes)
        except TimeoutError:
            if not waiting.expired():
                raise  # an error of the connection (ETIMEDOUT)
            return await self._read_last()
        finally:
            self.read_timeout = None

    async def _read_last(self) -> bytes:
        """Returns, once, the input that arrived before the deadline; then ends the connection.

        A request may arrive between this decision and the close; it must not be read and then dropped. From
        here on, new input stays in the system's buffer, and what was already read is handled.
        """
        if not self.deadline_passed:
            self.deadline_passed = True
            chunk = await read_arrived(
                self.reader, self.writer, self.limits.quantum_bytes, self.limits.late_us
            )
            if chunk is not None:
                return chunk
        self._pause_reading()
        if unread(self.reader):
            # This does not wait, but it resumes reading in the transport.
            chunk = await self.reader.read(self.limits.quantum_bytes)
            self._pause_reading()
            return chunk
        raise ConnectionEnded(self.reason())

    def _pause_reading(self) -> None:
        self.writer.transport.pause_reading()  # type: ignore[attr-defined]

    def end_soon(self, reason: CloseReason) -> None:
        """Closes the connection once its pending input is answered; at once if it was already rejected."""
        self.closing = self.closing or reason
        if self.rejected:
            self.writer.transport.abort()
        if self.read_timeout is not None:
            with suppress(RuntimeError):  # it has already timed out
                self.read_timeout.reschedule(self.loop.time())

    def note_ping(self) -> None:
        """Records a PING, which is to be answered; the connection may stay idle from now on."""
        self.pings += 1
        self.unanswered += 1
        self.deadline_passed = self.closing is not None

    def write_answers(self) -> None:
        """Answers all pending pings in one write: a system call for each would delay other connections."""
        if self.unanswered:
            self.writer.write(ANSWER * self.unanswered)
            self.unanswered = 0

    def count_memory(self) -> None:
        """Counts what is held of an incomplete message; ends the connection if there is no room for it."""
        if not self.memory.hold(len(self.lines.unfinished)):
            raise ConnectionEnded(CloseReason.OVER_MEMORY, f"{len(self.lines.unfinished)} bytes are held")

    def note_message_start(self) -> None:
        """Starts the time limit of the current message with the last bytes received.

        That of the first message starts with the connection.
        """
        self.message_began_at = self.last_data_at if self.pings else self.opened_at

    def since_last_data_us(self) -> int | None:
        """The time since its last bytes reached this machine; None if the system does not report it."""
        return tcp_info.since_last_data_us(self.writer.get_extra_info("socket"))

    def unsent(self) -> int:
        """The number of written bytes that the system has not taken yet."""
        return self.writer.transport.get_write_buffer_size()

    def fields(self) -> dict[str, object]:
        """Its fields in a log line."""
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
