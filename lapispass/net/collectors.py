"""The listening side: collectors join and forward reports, anyone may ask PING, others are rejected.

A PING that was read is answered before its connection is closed, whatever ends it: idle time, lack of room,
the end of the process.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from contextlib import suppress

from lapispass import interface
from lapispass.net.acceptor import Acceptor, listener_at, streams
from lapispass.net.codec import Codec, WireError
from lapispass.net.counters import Counters
from lapispass.net.limits import Limits
from lapispass.net.lines import Lines, TooLong
from lapispass.net.log import Part
from lapispass.net.streams import flush, has_input

# What no line of this wire holds. A spoilt report is still text; behind such bytes no message begins
# anywhere.
ODD = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")
REJECTION = b"NACK why=unreadable\r\n"


class Rejected(Exception):
    """The connection is of no use; the text says why."""


class Ended(Exception):
    """The connection is closed for a reason of ours: idle time, lack of room, the end of the process."""


class ClientConnection:
    """One client, and what is known of it."""

    def __init__(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, limits: Limits
    ) -> None:
        self.number, self.reader, self.writer, self.limits = number, reader, writer, limits
        self.loop = asyncio.get_running_loop()
        self.lines = Lines(limits.message_bytes)
        self.zone: str | None = None  # once it has joined
        self.unreadable = 0  # lines since the last sound one
        self.pings = 0  # asked, and answered
        self.opened_at = self.heard_at = self.begun_at = self.loop.time()
        self.asked_at: float | None = None  # its last PING
        self.closing = ""  # why it is to end as soon as what has come is answered
        self.expired = False  # its time was over while something had come that was not read yet
        self.rejected = False  # it has been told so, and has a moment to read it
        self.waiting: asyncio.Timeout | None = None

    def deadline(self) -> float | None:
        """When it is closed if nothing comes, in seconds of the loop's clock; None where it may be silent."""
        if self.closing:
            return self.loop.time()
        if self.zone is not None:
            return None
        if self.lines.rest:  # a message comes in pieces
            whole_by = self.begun_at + self.limits.message_us / 1e6
            return min(whole_by, self.heard_at + self.limits.join_us / 1e6)
        if self.asked_at is not None:
            return self.asked_at + self.limits.idle_client_us / 1e6
        return self.opened_at + self.limits.join_us / 1e6

    async def read(self) -> bytes:
        """The next bytes; none at the end of the stream.

        Raises `Ended` once its time is over, and nothing has come meanwhile. Guards against the timer that
        wins over what was read: where the process stood still, both are due in the same round.
        """
        most, waiting = self.limits.read_bytes, asyncio.timeout_at(self.deadline())
        try:
            async with waiting:
                self.waiting = waiting
                piece = await self.reader.read(most)
        except TimeoutError:
            if not waiting.expired():
                raise  # the connection's own (ETIMEDOUT)
            if self.expired or not has_input(self.reader, self.writer):
                raise Ended(self.closing or "idle") from None
            piece = await self.read_last()
        finally:
            self.waiting = None
        self.heard_at = self.loop.time()
        return piece

    async def read_last(self) -> bytes:
        """What has come although its time is over; the system may not have handed it over yet."""
        self.expired = True
        waiting = asyncio.timeout(self.limits.late_us / 1e6)
        try:
            async with waiting:
                return await self.reader.read(self.limits.read_bytes)
        except TimeoutError:
            if not waiting.expired():
                raise  # the connection's own (ETIMEDOUT)
            raise Ended(self.closing or "idle") from None

    def end_soon(self, why: str) -> None:
        """Has it closed once what has come is answered; at once where it has been rejected already."""
        self.closing = self.closing or why
        if self.rejected:
            self.writer.transport.abort()
        if self.waiting is not None:
            with suppress(RuntimeError):  # its time is over already
                self.waiting.reschedule(self.loop.time())

    def asked(self) -> None:
        """A PING: it is answered, and the connection may be idle for a while."""
        self.pings += 1
        self.asked_at, self.expired = self.loop.time(), bool(self.closing)
        self.writer.write(b"PONG\r\n")

    def fields(self) -> dict[str, object]:
        """What a log line says of it."""
        now = self.loop.time()
        return {
            "connection": self.number,
            "peer": self.writer.get_extra_info("peername"),
            "zone": self.zone,
            "age_ms": round((now - self.opened_at) * 1e3),
            "silent_ms": round((now - self.heard_at) * 1e3),
            "pings": self.pings,
            "unfinished": len(self.lines.rest),
        }


class Collectors:
    """Takes connections at one address; each is in the hands of one task from its first byte to its end."""

    def __init__(
        self, tell: Callable[[interface.Event], None], codec: Codec, limits: Limits, counters: Counters
    ) -> None:
        self.tell, self.codec, self.limits, self.counters = tell, codec, limits, counters
        self.log = Part("collectors", limits.log_every_us)
        self.open: dict[ClientConnection, None] = {}  # in the order of last use
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: Acceptor | None = None
        self.closed = False

    async def listen(self, address: str) -> None:
        # Accepted at once are few, since each holds a descriptor before there is room for it; many more may
        # wait in the system's queue, where hundreds of silent clients would otherwise keep a collector out.
        self.server = Acceptor(
            listener_at(address, self.limits.backlog),
            streams(self.serve, self.limits.read_bytes),
            name="collectors",
            at_once=self.limits.at_once,
            pause_us=self.limits.again_least_us,
            log=self.log,
            counters=self.counters,
            exhausted=self.crowd_out,
        )

    def close(self) -> None:
        """Listens no more; connections end as soon as what has come on them is answered."""
        self.closed = True
        if self.server:
            self.server.close()
        for connection in self.open:
            connection.end_soon("the process ends")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """The life of a connection."""
        self.tasks.add(task := asyncio.current_task())  # type: ignore[arg-type]
        self.counters["collectors.opened"] += 1
        connection = ClientConnection(self.counters["collectors.opened"], reader, writer, self.limits)
        writer.transport.set_write_buffer_limits(high=self.limits.unsent_bytes)  # from which on `drain` waits
        if self.closed:  # accepted just before the end
            connection.end_soon("the process ends")
        elif len(self.open) >= self.limits.connections:
            self.crowd_out()
        self.open[connection] = None
        why, rejected = "", False
        try:
            while piece := await connection.read():
                self.take_piece(piece, connection)
                await self.let_it_read(connection)
        except (Ended, Rejected) as error:
            why, rejected = str(error), not self.closed
        except TooLong:
            why, rejected = "line without an end", True
        except OSError as error:
            why = f"broken: {type(error).__name__} {error}"
            self.counters["collectors.broken"] += 1
        except Exception:  # a fault of our own costs this connection, not the controller
            why = "fault"
            self.counters["collectors.faults"] += 1
            self.log.failed("connection failed", **connection.fields())
        finally:
            try:
                await self.finish(connection, why, rejected)
            finally:
                self.open.pop(connection, None)
                self.tasks.discard(task)  # type: ignore[arg-type]
                self.counters["collectors.closed"] += 1
                writer.transport.abort()

    async def finish(self, connection: ClientConnection, why: str, rejected: bool) -> None:
        """Sends what is still unsent. Whoever is rejected hears so, and has a moment to read it."""
        writer, lingers_us = connection.writer, 0
        if rejected:
            self.counters["collectors.turned_away"] += 1
            if connection.zone is None:  # a collector is never written to
                writer.write(REJECTION)
                lingers_us = 0 if connection.closing else self.limits.linger_us
        unsent = await flush(writer, self.limits.flush_us)
        if unsent:
            self.counters["collectors.unsent_bytes"] += unsent
        if why or unsent:
            self.counters[f"collectors.ended.{why.partition(':')[0].replace(' ', '_')[:40]}"] += 1
            self.log.rate_limited(
                "connection ended", why=why or "ended by the peer", unsent=unsent, **connection.fields()
            )
        if lingers_us:
            await self.linger(connection)

    async def linger(self, connection: ClientConnection) -> None:
        """Reads on for a moment after a rejection: a close with bytes unread is a reset, which may overtake
        what was written. A PING that crossed the rejection of an idle connection is answered.
        """
        connection.rejected = True
        sound = connection.unreadable == 0 and not connection.lines.rest
        left = self.limits.read_bytes
        try:
            async with asyncio.timeout(self.limits.linger_us / 1e6):
                while left > 0 and (piece := await connection.reader.read(left)):
                    left -= len(piece)
                    if sound:
                        self.take_piece(piece, connection)
        except (OSError, Rejected, TooLong):
            pass
        await flush(connection.writer, self.limits.flush_us)

    def take_piece(self, piece: bytes, connection: ClientConnection) -> None:
        """Handles the lines that a piece ends."""
        lines = connection.lines
        if not lines.rest:
            connection.begun_at = connection.heard_at if connection.pings else connection.opened_at
        odd = ODD.search(piece)
        for line in lines.cut(memoryview(piece)[: odd.start()] if odd else piece):
            self.take(line, connection)
        if odd:
            raise Rejected(f"byte {odd[0][0]}, which no message holds")

    async def let_it_read(self, connection: ClientConnection) -> None:
        """Reads no further while answers wait to be read; whoever leaves them for too long is cut off."""
        transport = connection.writer.transport
        if transport.get_write_buffer_size() <= self.limits.unsent_bytes:
            return
        try:
            async with asyncio.timeout(self.limits.unread_us / 1e6) as waiting:
                await connection.writer.drain()
        except TimeoutError:
            if not waiting.expired():
                raise  # the connection's own (ETIMEDOUT)
        if transport.get_write_buffer_size() > self.limits.unsent_bytes:
            raise Rejected("answers left unread")

    def take(self, line: memoryview, connection: ClientConnection) -> None:
        """Handles one line: a spoilt report costs itself alone; a stream with nothing sound left is ended."""
        if line == b"PING":
            self.counters["collectors.pings"] += 1
            connection.asked()
            self.used(connection)
            return
        if not line:
            return
        try:
            kind, told = self.codec.report(line, connection.zone is not None)
        except WireError as error:
            self.counters["collectors.unreadable"] += 1
            self.log.rate_limited("line unreadable", why=error, **connection.fields())
            connection.unreadable += 1
            if connection.zone is None or connection.unreadable > self.limits.unreadable:
                raise Rejected(str(error)) from None
            return
        connection.unreadable = 0
        self.counters[f"collectors.{kind}"] += 1
        self.used(connection)
        if isinstance(told, str):
            connection.zone = told
        else:
            self.tell(told)

    def used(self, connection: ClientConnection) -> None:
        """Last in the order of use; one crowded out in this instant does not come back."""
        if connection in self.open and not connection.closing:
            self.open[connection] = self.open.pop(connection)

    def crowd_out(self) -> None:
        """Makes room: the client that was silent for longest and has not joined is closed.

        Guards against clients that connect and stay. What it has asked is answered first.
        """
        staying = (connection for connection in self.open if not connection.closing)
        quiet = next((connection for connection in staying if connection.zone is None), None)
        if quiet is None:
            quiet = next((connection for connection in self.open if not connection.closing), None)
        if quiet is None:
            return
        self.counters["collectors.crowded_out"] += 1
        self.log.rate_limited("connection crowded out", most=self.limits.connections, **quiet.fields())
        del self.open[quiet]
        quiet.end_soon("crowded out")
