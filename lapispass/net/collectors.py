"""The listening side: collectors join and forward reports, anyone may ask PING, strangers are turned away."""

from __future__ import annotations

import asyncio
import re
import socket
from collections.abc import Callable

from lapispass import interface as face
from lapispass.net.codec import Codec, WireError
from lapispass.net.counters import Counters
from lapispass.net.http import split
from lapispass.net.limits import Limits
from lapispass.net.lines import Lines, TooLong
from lapispass.net.log import Part

# What no line of this wire holds. A spoilt report is still text; behind such bytes no message begins
# anywhere.
ODD = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")


class TurnedAway(Exception):
    """The connection is of no use; the text says why."""


class Guest:
    """A connection as it stands."""

    def __init__(self, writer: asyncio.StreamWriter, until: float) -> None:
        self.writer, self.until = writer, until
        self.zone: str | None = None  # once it has joined
        self.unreadable = 0  # lines since the last sound one


class Collectors:
    """Takes connections at one address; each is in the hands of one task from its first byte to its end."""

    def __init__(
        self, tell: Callable[[face.Event], None], codec: Codec, limits: Limits, counters: Counters
    ) -> None:
        self.tell, self.codec, self.limits, self.counters = tell, codec, limits, counters
        self.log = Part("collectors", limits.log_every_us)
        self.open: dict[Guest, None] = {}  # in the order of last use
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None
        self.closed = False

    async def listen(self, address: str) -> None:
        host, port = split(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.create_server((host, port), family=family)
        # Taken at once are few, since each holds a descriptor before there is room for it; many more may wait
        # in the system's queue, where hundreds of strangers would otherwise keep a collector out for seconds.
        self.server = await asyncio.start_server(
            self.serve, sock=listener, limit=self.limits.read_bytes, backlog=self.limits.at_once
        )
        listener.listen(self.limits.backlog)

    def close(self) -> None:
        self.closed = True
        if self.server:
            self.server.close()
        for guest in self.open:
            guest.writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """The life of a connection."""
        if self.closed:  # taken just before: nobody would end it
            writer.transport.abort()
            return
        peer, loop = writer.get_extra_info("peername"), asyncio.get_running_loop()
        self.tasks.add(task := asyncio.current_task())  # type: ignore[arg-type]
        self.counters["collectors.opened"] += 1
        self.make_room()
        self.open[guest := Guest(writer, loop.time() + self.limits.join_us / 1e6)] = None
        lines = Lines(self.limits.message_bytes)
        why = ""
        try:
            while piece := await self.read(reader, guest):
                odd = ODD.search(piece)
                for line in lines.cut(memoryview(piece)[: odd.start()] if odd else piece):
                    self.take(line, guest)
                if odd:
                    raise TurnedAway(f"byte {odd[0][0]}, which no message holds")
                if writer.transport.get_write_buffer_size() > self.limits.unsent_bytes:
                    raise TurnedAway("answers left unread")
        except TurnedAway as error:
            why = str(error)
        except TooLong:
            why = "line without an end"
        except OSError:
            self.counters["collectors.broken"] += 1
        except Exception:  # a fault of our own costs this connection, not the controller
            self.counters["collectors.faults"] += 1
            self.log.failed("connection failed", peer=peer)
        finally:
            if why:
                self.counters["collectors.turned_away"] += 1
                self.log.seldom("connection ended", peer=peer, why=why, zone=guest.zone)
                if guest.zone is None:  # a collector is never written to
                    writer.write(b"NACK why=unreadable\r\n")
            self.open.pop(guest, None)
            self.tasks.discard(task)  # type: ignore[arg-type]
            self.counters["collectors.closed"] += 1
            writer.transport.abort()

    async def read(self, reader: asyncio.StreamReader, guest: Guest) -> bytes:
        """The next piece; whoever has not joined must do so in time, or at least ask PING now and then."""
        if guest.zone is not None:
            return await reader.read(self.limits.read_bytes)
        try:
            async with asyncio.timeout_at(guest.until):
                return await reader.read(self.limits.read_bytes)
        except TimeoutError:
            raise TurnedAway("neither joined nor asked in time") from None

    def take(self, line: memoryview, guest: Guest) -> None:
        """Handles one line: a spoilt report costs itself alone; a stream with nothing sound left is ended."""
        if line == b"PING":
            self.counters["collectors.pings"] += 1
            guest.until = asyncio.get_running_loop().time() + self.limits.join_us / 1e6
            guest.writer.write(b"PONG\r\n")
            return
        if not line:
            return
        try:
            kind, told = self.codec.report(line, guest.zone is not None)
        except WireError as error:
            self.counters["collectors.unreadable"] += 1
            self.log.seldom("line unreadable", peer=guest.writer.get_extra_info("peername"), why=error)
            guest.unreadable += 1
            if guest.zone is None or guest.unreadable > self.limits.unreadable:
                raise TurnedAway(str(error)) from None
            return
        guest.unreadable = 0
        self.counters[f"collectors.{kind}"] += 1
        if guest in self.open:  # one crowded out in this instant does not come back
            self.open[guest] = self.open.pop(guest)  # last in the order of use
        if isinstance(told, str):
            guest.zone = told
        else:
            self.tell(told)

    def make_room(self) -> None:
        """Guards against strangers that connect and stay: the longest silent one that has not joined goes."""
        if len(self.open) >= self.limits.connections:
            quiet = next((guest for guest in self.open if guest.zone is None), next(iter(self.open)))
            self.counters["collectors.crowded_out"] += 1
            self.log.seldom("connection crowded out", most=self.limits.connections)
            del self.open[quiet]
            quiet.writer.transport.abort()
