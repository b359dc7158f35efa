"""The listening side: collectors join and forward reports, anyone may ask PING, others are rejected.

A PING that was read is answered before its connection is closed, whatever ends it: lack of room, the end of
the process. Nobody is told what it has not asked for: only what cannot be read is rejected with a message.
"""

from __future__ import annotations

import asyncio
import logging
import re
from collections.abc import Callable, Iterator

from lapispass import interface
from lapispass.core.interval_figures import IntervalFigures
from lapispass.net import tcp_info
from lapispass.net.acceptor import Acceptor, listener_at, streams
from lapispass.net.client_connection import ClientConnection, CloseReason, Ended
from lapispass.net.codec import Codec, WireError
from lapispass.net.counters import Counters
from lapispass.net.limits import Limits
from lapispass.net.lines import TooLong
from lapispass.net.log import Part
from lapispass.net.streams import flush, unread

# What no line of this wire holds. A spoilt report is still text; behind such bytes no message begins
# anywhere.
ODD = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")
REJECTION = b"NACK why=unreadable\r\n"
REJECTED = frozenset(
    {
        CloseReason.UNFINISHED,
        CloseReason.UNREADABLE,
        CloseReason.TOO_LONG,
        CloseReason.UNREAD,
    }
)
ORDINARY = frozenset({CloseReason.PEER, CloseReason.PROCESS_ENDS})


class Collectors:
    """Takes connections at one address; each is in the hands of one task from its first byte to its end."""

    def __init__(
        self,
        tell: Callable[[interface.Event], None],
        codec: Codec,
        limits: Limits,
        counters: Counters,
        figures: IntervalFigures | None = None,
    ) -> None:
        self.tell, self.codec, self.limits, self.counters = tell, codec, limits, counters
        self.figures = figures or IntervalFigures(limits.late_us)
        self.log = Part("collectors", limits.log_every_us)
        self.open: dict[ClientConnection, None] = {}  # in the order of last use
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: Acceptor | None = None
        self.full_since: float | None = None  # since when one waits that cannot be accepted for lack of room
        self.overdue = 0  # of those that wait for room, how many have waited for long enough
        self.closed = False

    async def listen(self, address: str) -> None:
        """Accepts as many connections as there is room for; the others wait in the system's queue."""
        self.server = Acceptor(
            listener_at(address, self.limits.backlog),
            streams(self.serve, self.limits.turn_bytes),
            name="collectors",
            at_once=self.limits.at_once,
            log=self.log,
            counters=self.counters,
            has_room=self.has_room,
            make_room=self.make_room,
            exhausted=self.end_longest_silent,
            read_most=self.limits.turn_bytes,
        )

    def stop_listening(self) -> None:
        """Accepts what waits in the queue, then no more."""
        if self.server:
            self.server.close(self.limits.connections)

    async def drain(self) -> None:
        """Serves on while clients ask, for `Limits.drain_us` at most: they may not know yet that the process
        ends."""
        loop, quiet_s = asyncio.get_running_loop(), self.limits.drained_us / 1e6
        until = loop.time() + self.limits.drain_us / 1e6
        while self.is_asked() and loop.time() < until:
            await asyncio.sleep(quiet_s / 2)

    def is_asked(self) -> bool:
        """Whether a client has come, or said something, a moment ago."""
        if self.server and self.server.tasks:
            return True
        clients = (connection for connection in self.open if connection.zone is None)
        return any(connection.silent_us() < self.limits.drained_us for connection in clients)

    def close(self) -> None:
        """Listens no more; connections end as soon as what has come on them is answered."""
        self.closed = True
        self.stop_listening()
        for connection in self.open:
            connection.end_soon(CloseReason.PROCESS_ENDS)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """The life of a connection."""
        self.tasks.add(task := asyncio.current_task())  # type: ignore[arg-type]
        self.counters["collectors.opened"] += 1
        connection = ClientConnection(self.counters["collectors.opened"], reader, writer, self.limits)
        writer.transport.set_write_buffer_limits(high=self.limits.unsent_bytes)  # from which on `drain` waits
        if self.closed:  # accepted just before the end
            connection.end_soon(CloseReason.PROCESS_ENDS)
        self.open[connection] = None
        end = Ended(CloseReason.FAULT)
        try:
            end = await self.converse(connection)
        except asyncio.CancelledError:  # asyncio would log a trace of a task that was cancelled
            end = Ended(CloseReason.PROCESS_ENDS)
        finally:
            try:
                await self.finish(connection, end)
            finally:
                self.open.pop(connection, None)
                self.tasks.discard(task)  # type: ignore[arg-type]
                self.counters["collectors.closed"] += 1
                writer.transport.abort()

    async def converse(self, connection: ClientConnection) -> Ended:
        """Takes what comes until the connection ends; why it does."""
        try:
            while piece := await connection.read():
                self.used(connection)
                answered = connection.pings
                self.take_piece(piece, connection)
                if connection.pings > answered:
                    self.note_answer(connection)
                await self.let_it_read(connection)
                if unread(connection.reader):  # else the next read waits
                    await asyncio.sleep(0)
        except Ended as end:
            return end
        except TooLong:
            return Ended(CloseReason.TOO_LONG)
        except OSError as error:
            self.counters["collectors.broken"] += 1
            return Ended(CloseReason.BROKEN, f"{type(error).__name__} {error}")
        except Exception:  # a fault of our own costs this connection, not the controller
            self.counters["collectors.faults"] += 1
            self.log.failed("connection failed", **connection.fields())
            return Ended(CloseReason.FAULT)
        return Ended(CloseReason.PEER)

    async def finish(self, connection: ClientConnection, end: Ended) -> None:
        """Sends what is still unsent. Whoever is rejected hears so, and has a moment to read it."""
        told = end.reason in REJECTED and connection.zone is None  # a collector is never written to
        if end.reason in REJECTED or end.reason is CloseReason.SILENT:
            self.counters["collectors.turned_away"] += 1
        if told:
            connection.writer.write(REJECTION)
        unsent = await flush(connection.writer, self.limits.flush_us)
        self.counters["collectors.unsent_bytes"] += unsent
        self.counters[f"collectors.ended.{end.reason.name.lower()}"] += 1
        self.log.rate_limited(
            "connection ended",
            level=logging.INFO if end.reason in ORDINARY and not unsent else logging.WARNING,
            kind=end.reason.name,
            why=f"{end.reason}: {end.detail}" if end.detail else end.reason,
            unsent=unsent,
            **connection.fields(),
        )
        if told and connection.closing is None:
            await self.linger(connection)

    async def linger(self, connection: ClientConnection) -> None:
        """Reads on for a moment after a rejection: a close with bytes unread is a reset, which may overtake
        what was written."""
        connection.rejected = True
        left = self.limits.read_bytes
        try:
            async with asyncio.timeout(self.limits.linger_us / 1e6):
                while left > 0 and (piece := await connection.reader.read(left)):
                    left -= len(piece)
        except OSError:
            pass

    def take_piece(self, piece: bytes, connection: ClientConnection) -> None:
        """Handles the lines that a piece ends."""
        begins = not connection.unfinished
        odd = ODD.search(piece)
        try:
            for line in connection.lines.cut(memoryview(piece)[: odd.start()] if odd else piece):
                begins = True
                self.take(line, connection)
        finally:
            connection.answer()
        if begins:
            connection.message_begins()
        if odd:
            raise Ended(CloseReason.UNREADABLE, f"byte {odd[0][0]}, which no message holds")

    def note_answer(self, connection: ClientConnection) -> None:
        """Measures how long ago the bytes came that were just answered, in the system's queues too."""
        took_us = connection.since_last_data_us()
        if took_us is not None and self.figures.count_answer(took_us):
            self.counters["collectors.answered_late"] += 1
            self.log.rate_limited(
                "answer late", took_us=took_us, unsent=connection.unsent(), **connection.fields()
            )

    def unsent_bytes(self) -> int:
        """Answers that wait in this process, on all connections."""
        return sum(connection.unsent() for connection in self.open)

    def waiting_to_be_accepted(self) -> int | None:
        """Connections in the listening socket's queue; None where that is not known."""
        return tcp_info.waiting_to_be_accepted(self.server.listener) if self.server else None

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
            raise Ended(CloseReason.UNREAD)

    def take(self, line: memoryview, connection: ClientConnection) -> None:
        """Handles one line: a spoilt report costs itself alone; a stream with nothing sound left is ended."""
        if line == b"PING":
            self.counters["collectors.pings"] += 1
            connection.asked()
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
                raise Ended(CloseReason.UNREADABLE, str(error)) from None
            return
        connection.unreadable = 0
        self.counters[f"collectors.{kind}"] += 1
        if isinstance(told, str):
            connection.zone = told
        else:
            self.tell(told)

    def used(self, connection: ClientConnection) -> None:
        """Last in the order of use; one that is being ended does not come back."""
        if connection in self.open and connection.closing is None:
            self.open[connection] = self.open.pop(connection)

    def has_room(self) -> bool:
        """Whether a further connection can be accepted as it is."""
        if self.standing() >= self.limits.connections:
            return False
        if self.full_since is not None and not self.waiting_to_be_accepted():
            self.nobody_waits()
        return True

    def standing(self) -> int:
        """Connections that hold a descriptor, those that are being set up or ended among them."""
        return len(self.tasks) + (len(self.server.tasks) if self.server else 0)

    def make_room(self) -> bool:
        """Ends a client for the one that waits to be accepted; False where none can go just now.

        Guards against clients that connect and stay, with half a message too. Guards those that have just
        come or whose message comes in pieces: where all are such, those in the queue wait, for
        `Limits.room_us` at most, all of them at the same time.
        """
        if self.standing() >= self.limits.connections + self.limits.at_once:
            return False  # those that are being ended still hold their descriptors
        now = asyncio.get_running_loop().time()
        self.note_overdue(now)
        if (leaving := self.who_may_leave()) is not None:
            self.crowd_out(leaving)
        elif not self.overdue or not self.end_longest_silent():
            return False
        self.overdue = max(0, self.overdue - 1)
        if (self.waiting_to_be_accepted() or 0) <= 1:  # the one for whom there is room now
            self.nobody_waits()
        return True

    def note_overdue(self, now: float) -> None:
        """All that stand in the queue `Limits.room_us` after the first one came are let in."""
        if self.full_since is None:
            self.full_since = now
        elif now - self.full_since >= self.limits.room_us / 1e6:
            self.overdue = self.waiting_to_be_accepted() or 1
            self.full_since = now

    def nobody_waits(self) -> None:
        """The next one that finds no room begins a wait of its own."""
        self.full_since, self.overdue = None, 0

    def who_may_leave(self) -> ClientConnection | None:
        """An idle client, or one whose message has been left unfinished; the longest silent first."""
        idle = next((connection for connection in self.candidates() if self.is_idle(connection)), None)
        if idle is not None:
            return idle
        silent = next(self.candidates(), None)
        return silent if silent is not None and silent.silent_us() >= self.limits.room_us else None

    def candidates(self) -> Iterator[ClientConnection]:
        """Clients that may be ended, the longest silent first."""
        return (one for one in self.open if one.zone is None and one.closing is None)

    def is_idle(self, connection: ClientConnection) -> bool:
        """Whether nothing is under way on it."""
        return not connection.unfinished and connection.silent_us() >= self.limits.fresh_us

    def end_longest_silent(self) -> bool:
        """Ends the client that was silent for longest, whatever it is about; a collector, where there is no
        other. False where all are being ended already."""
        quiet = next(self.candidates(), None)
        if quiet is None:
            quiet = next((connection for connection in self.open if connection.closing is None), None)
        if quiet is None:
            return False
        self.crowd_out(quiet)
        return True

    def crowd_out(self, connection: ClientConnection) -> None:
        """Ends a client whose place is needed. What it has asked is answered first."""
        self.counters["collectors.crowded_out"] += 1
        self.log.rate_limited("connection crowded out", most=self.limits.connections, **connection.fields())
        del self.open[connection]
        connection.end_soon(CloseReason.CROWDED_OUT)
