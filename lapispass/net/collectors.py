"""The listening server: collectors join and forward reports, any client may send PING.

A PING that was read is answered before its connection is closed, whatever the reason for the close (lack of
room, the end of the process). A client is never sent anything that it did not ask for, except a rejection if
its input is malformed or incomplete, or if it does not read its answers.
"""

from __future__ import annotations

import asyncio
import logging
import re
from collections.abc import Callable, Iterator

from lapispass import interface
from lapispass.core.interval_figures import IntervalFigures
from lapispass.core.memory_budget import MemoryBudget
from lapispass.net import tcp_info
from lapispass.net.acceptor import Acceptor, listen_at, stream_protocols
from lapispass.net.client_connection import ClientConnection, CloseReason, ConnectionEnded
from lapispass.net.codec import Codec, WireError
from lapispass.net.counters import Counters
from lapispass.net.limits import Limits
from lapispass.net.lines import LineTooLong
from lapispass.net.log import PartLogger
from lapispass.net.streams import flush, unread

# Bytes that no valid message contains. A malformed report is still text; after such bytes, the start of the
# next message cannot be found.
FORBIDDEN_BYTES = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")
REJECTION = b"NACK why=unreadable\r\n"
REJECTED_REASONS = frozenset(
    {
        CloseReason.UNFINISHED,
        CloseReason.UNREADABLE,
        CloseReason.TOO_LONG,
        CloseReason.UNREAD,
        CloseReason.OVER_MEMORY,
    }
)
EXPECTED_REASONS = frozenset({CloseReason.PEER, CloseReason.PROCESS_ENDS})


class Collectors:
    """Serves the connections at one address, each by a task of its own from the first byte to the close."""

    def __init__(
        self,
        deliver: Callable[[interface.Event], None],
        codec: Codec,
        limits: Limits,
        counters: Counters,
        figures: IntervalFigures | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        """`memory`: the budget of the process, where it has other listeners, too."""
        self.deliver, self.codec, self.limits, self.counters = deliver, codec, limits, counters
        self.memory = memory or MemoryBudget(limits.client_bytes)
        self.figures = figures or IntervalFigures(limits.late_us)
        self.log = PartLogger("collectors", limits.log_every_us)
        self.connections: dict[ClientConnection, None] = {}  # least recently used first
        self.tasks: set[asyncio.Task[None]] = set()
        self.acceptor: Acceptor | None = None
        self.room_wait_since: float | None = None  # when the first of the connections without room arrived
        self.overdue = 0  # how many waiting connections have exceeded `Limits.room_wait_us`
        self.closed = False

    async def listen(self, address: str) -> None:
        """Accepts connections while there is room; the others wait in the system's accept queue."""
        self.acceptor = Acceptor(
            listen_at(address, self.limits.backlog),
            stream_protocols(self.serve, self.limits.quantum_bytes),
            name="collectors",
            accept_batch=self.limits.accept_batch,
            log=self.log,
            counters=self.counters,
            has_room=self.has_room,
            make_room=self.make_room,
            on_exhausted=self.evict_longest_silent,
            max_read_bytes=self.limits.quantum_bytes,
        )

    def stop_listening(self) -> None:
        """Accepts the connections in the accept queue, then stops listening."""
        if self.acceptor:
            self.acceptor.close(self.limits.connections)

    async def drain(self) -> None:
        """Keeps serving while clients send requests, for at most `Limits.drain_us`.

        They may not know yet that the process ends.
        """
        loop, idle_s = asyncio.get_running_loop(), self.limits.drain_idle_us / 1e6
        until = loop.time() + self.limits.drain_us / 1e6
        while self.is_asked() and loop.time() < until:
            await asyncio.sleep(idle_s / 2)

    def is_asked(self) -> bool:
        """Whether a client has connected or sent something within `Limits.drain_idle_us`."""
        if self.acceptor and self.acceptor.tasks:
            return True
        clients = (connection for connection in self.connections if connection.zone is None)
        return any(connection.silent_us() < self.limits.drain_idle_us for connection in clients)

    def close(self) -> None:
        """Stops listening; connections are closed once their pending input is answered."""
        self.closed = True
        self.stop_listening()
        for connection in self.connections:
            connection.end_soon(CloseReason.PROCESS_ENDS)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection from its start to its close."""
        self.tasks.add(task := asyncio.current_task())  # type: ignore[arg-type]
        self.counters["collectors.opened"] += 1
        connection = ClientConnection(
            self.counters["collectors.opened"], reader, writer, self.limits, self.memory.open_account()
        )
        writer.transport.set_write_buffer_limits(high=self.limits.unsent_bytes)  # beyond which `drain` waits
        if self.closed:  # accepted just before the close
            connection.end_soon(CloseReason.PROCESS_ENDS)
        self.connections[connection] = None
        end = ConnectionEnded(CloseReason.FAULT)
        try:
            end = await self.read_until_end(connection)
        except asyncio.CancelledError:  # asyncio would log a traceback for the cancelled task
            end = ConnectionEnded(CloseReason.PROCESS_ENDS)
        finally:
            try:
                await self.finish(connection, end)
            finally:
                connection.memory.close()
                self.connections.pop(connection, None)
                self.tasks.discard(task)  # type: ignore[arg-type]
                self.counters["collectors.closed"] += 1
                writer.transport.abort()

    async def read_until_end(self, connection: ClientConnection) -> ConnectionEnded:
        """Handles input until the connection ends; returns why it did."""
        try:
            while chunk := await connection.read():
                self.mark_used(connection)
                answered = connection.pings
                self.handle_bytes(chunk, connection)
                connection.count_memory()
                if connection.pings > answered:
                    self.note_answer(connection)
                await self.wait_until_read(connection)
                if unread(connection.reader):  # otherwise the next read waits
                    await asyncio.sleep(0)
        except ConnectionEnded as end:
            return end
        except LineTooLong:
            return ConnectionEnded(CloseReason.TOO_LONG)
        except OSError as error:
            self.counters["collectors.broken"] += 1
            return ConnectionEnded(CloseReason.BROKEN, f"{type(error).__name__} {error}")
        except Exception:  # an internal error costs this connection, not the controller
            self.counters["collectors.faults"] += 1
            self.log.failed("connection failed", **connection.fields())
            return ConnectionEnded(CloseReason.FAULT)
        return ConnectionEnded(CloseReason.PEER)

    async def finish(self, connection: ClientConnection, end: ConnectionEnded) -> None:
        """Flushes unsent bytes. A rejected client is sent a rejection, and has a moment to read it."""
        # A collector is never written to.
        is_notified = end.reason in REJECTED_REASONS and connection.zone is None
        if end.reason in REJECTED_REASONS or end.reason is CloseReason.SILENT:
            self.counters["collectors.turned_away"] += 1
        if is_notified:
            connection.writer.write(REJECTION)
        unsent = await flush(connection.writer, self.limits.flush_us)
        self.counters["collectors.unsent_bytes"] += unsent
        self.counters[f"collectors.ended.{end.reason.name.lower()}"] += 1
        self.log.rate_limited(
            "connection ended",
            level=logging.INFO if end.reason in EXPECTED_REASONS and not unsent else logging.WARNING,
            kind=end.reason.name,
            why=f"{end.reason}: {end.detail}" if end.detail else end.reason,
            unsent=unsent,
            **connection.fields(),
        )
        if is_notified and connection.closing is None:
            await self.linger(connection)

    async def linger(self, connection: ClientConnection) -> None:
        """Keeps reading for a moment after a rejection.

        Closing with unread input resets the connection, and the reset may overtake the rejection.
        """
        connection.rejected = True
        left = self.limits.read_bytes
        try:
            async with asyncio.timeout(self.limits.linger_us / 1e6):
                while left > 0 and (chunk := await connection.reader.read(left)):
                    left -= len(chunk)
        except OSError:
            pass

    def handle_bytes(self, chunk: bytes, connection: ClientConnection) -> None:
        """Handles the lines that `chunk` completes."""
        message_begins = not connection.unfinished
        odd = FORBIDDEN_BYTES.search(chunk)
        try:
            for line in connection.lines.split(memoryview(chunk)[: odd.start()] if odd else chunk):
                message_begins = True
                self.handle_line(line, connection)
        finally:
            connection.write_answers()
        if message_begins:
            connection.note_message_start()
        if odd:
            raise ConnectionEnded(CloseReason.UNREADABLE, f"byte {odd[0][0]} is not allowed in a message")

    def note_answer(self, connection: ClientConnection) -> None:
        """Records how long the input just answered had waited, including the time in the system's queues."""
        took_us = connection.since_last_data_us()
        if took_us is not None and self.figures.count_answer(took_us):
            self.counters["collectors.answered_late"] += 1
            self.log.rate_limited(
                "answer late", took_us=took_us, unsent=connection.unsent(), **connection.fields()
            )

    def unsent_bytes(self) -> int:
        """The bytes of unsent answers on all connections."""
        return sum(connection.unsent() for connection in self.connections)

    def waiting_to_be_accepted(self) -> int | None:
        """The number of connections in the accept queue; None if it is not known."""
        return tcp_info.waiting_to_be_accepted(self.acceptor.listener) if self.acceptor else None

    async def wait_until_read(self, connection: ClientConnection) -> None:
        """Waits until the client has read its answers; ends the connection if that takes too long."""
        transport = connection.writer.transport
        if transport.get_write_buffer_size() <= self.limits.unsent_bytes:
            return
        try:
            async with asyncio.timeout(self.limits.unread_us / 1e6) as waiting:
                await connection.writer.drain()
        except TimeoutError:
            if not waiting.expired():
                raise  # an error of the connection (ETIMEDOUT)
        if transport.get_write_buffer_size() > self.limits.unsent_bytes:
            raise ConnectionEnded(CloseReason.UNREAD)

    def handle_line(self, line: memoryview, connection: ClientConnection) -> None:
        """Handles one line. A malformed report is skipped; too many in a row end the connection."""
        if line == b"PING":
            self.counters["collectors.pings"] += 1
            connection.note_ping()
            return
        if not line:
            return
        try:
            kind, message = self.codec.parse_report(line, connection.zone is not None)
        except WireError as error:
            self.counters["collectors.unreadable"] += 1
            self.log.rate_limited("malformed line", why=error, **connection.fields())
            connection.unreadable_in_a_row += 1
            if connection.zone is None or connection.unreadable_in_a_row > self.limits.unreadable_lines:
                raise ConnectionEnded(CloseReason.UNREADABLE, str(error)) from None
            return
        connection.unreadable_in_a_row = 0
        self.counters[f"collectors.{kind}"] += 1
        if isinstance(message, str):
            connection.zone = message
        else:
            self.deliver(message)

    def mark_used(self, connection: ClientConnection) -> None:
        """Moves the connection to the end of the order of use, unless it is being closed."""
        if connection in self.connections and connection.closing is None:
            self.connections[connection] = self.connections.pop(connection)

    def has_room(self) -> bool:
        """Whether another connection can be accepted without evicting one."""
        if self.held_descriptors() >= self.limits.connections:
            return False
        if self.room_wait_since is not None and not self.waiting_to_be_accepted():
            self.end_room_wait()
        return True

    def held_descriptors(self) -> int:
        """Connections that hold a descriptor, including those being set up or closed."""
        return len(self.tasks) + (len(self.acceptor.tasks) if self.acceptor else 0)

    def make_room(self) -> bool:
        """Evicts a client for one in the accept queue; False if none can be evicted now.

        Clients that connect and stay, also with an incomplete message, must not keep others out. But a client
        that has just connected, or whose message arrives in pieces, is spared. If all clients are of this
        kind, those in the queue wait, all at the same time, for at most `Limits.room_wait_us`.
        """
        if self.held_descriptors() >= self.limits.connections + self.limits.accept_batch:
            return False  # connections being closed still hold their descriptors
        now = asyncio.get_running_loop().time()
        self.note_overdue(now)
        if (client := self.evictable()) is not None:
            self.evict(client)
        elif not self.overdue or not self.evict_longest_silent():
            return False
        self.overdue = max(0, self.overdue - 1)
        if (self.waiting_to_be_accepted() or 0) <= 1:  # only the one that there is room for now
            self.end_room_wait()
        return True

    def note_overdue(self, now: float) -> None:
        """Lets in all connections that are in the queue `Limits.room_wait_us` after the first one arrived."""
        if self.room_wait_since is None:
            self.room_wait_since = now
        elif now - self.room_wait_since >= self.limits.room_wait_us / 1e6:
            self.overdue = self.waiting_to_be_accepted() or 1
            self.room_wait_since = now

    def end_room_wait(self) -> None:
        """Resets the wait for room; the next connection that finds none starts a new one."""
        self.room_wait_since, self.overdue = None, 0

    def evictable(self) -> ClientConnection | None:
        """The idle client, or else the one with a stalled message, that has been silent longest."""
        idle = next((connection for connection in self.candidates() if self.is_idle(connection)), None)
        if idle is not None:
            return idle
        silent = next(self.candidates(), None)
        return silent if silent is not None and silent.silent_us() >= self.limits.room_wait_us else None

    def candidates(self) -> Iterator[ClientConnection]:
        """Clients that may be evicted, the longest silent first."""
        return (client for client in self.connections if client.zone is None and client.closing is None)

    def is_idle(self, connection: ClientConnection) -> bool:
        """Whether it has no incomplete message and has been silent for long enough."""
        return not connection.unfinished and connection.silent_us() >= self.limits.eviction_grace_us

    def evict_longest_silent(self) -> bool:
        """Evicts the client that has been silent longest, whatever it is doing.

        If there are only collectors, one of them is evicted. False if all connections are already closing.
        """
        client = next(self.candidates(), None)
        if client is None:
            client = next((connection for connection in self.connections if connection.closing is None), None)
        if client is None:
            return False
        self.evict(client)
        return True

    def evict(self, connection: ClientConnection) -> None:
        """Closes a client whose place is needed. Its pending requests are answered first."""
        self.counters["collectors.crowded_out"] += 1
        self.log.rate_limited("connection evicted", most=self.limits.connections, **connection.fields())
        del self.connections[connection]
        connection.end_soon(CloseReason.CROWDED_OUT)
