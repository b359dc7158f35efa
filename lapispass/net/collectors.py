"""The listening side: collectors forward reports, anyone may ask PING."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lapispass import interface as face
from lapispass.net.codec import Codec, WireError
from lapispass.net.counters import Counters
from lapispass.net.http import split
from lapispass.net.limits import Limits
from lapispass.net.lines import Lines, TooLong
from lapispass.net.log import Part


class Collectors:
    """Takes connections at one address; each is in the hands of one task from its first byte to its end."""

    def __init__(self, tell: Callable[[face.Event], None], codec: Codec, limits: Limits,
                 counters: Counters) -> None:
        self.tell, self.codec, self.limits, self.counters = tell, codec, limits, counters
        self.log = Part("collectors", limits.log_every_us)
        self.open: dict[asyncio.StreamWriter, bool] = {}  # in the order of last use; has it told anything
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        host, port = split(address)
        # The backlog also bounds how many strangers that come at once hold a descriptor before there is room.
        self.server = await asyncio.start_server(
            self.serve, host, port, limit=self.limits.read_bytes, backlog=self.limits.backlog)

    def close(self) -> None:
        if self.server:
            self.server.close()
        for writer in self.open:
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """The life of a connection."""
        peer = writer.get_extra_info("peername")
        self.tasks.add(task := asyncio.current_task())  # type: ignore[arg-type]
        self.counters["collectors.opened"] += 1
        self.make_room()
        self.open[writer] = False
        lines, unreadable = Lines(self.limits.message_bytes), 0
        try:
            while piece := await reader.read(self.limits.read_bytes):
                for line in lines.cut(piece):
                    try:
                        self.take(line, writer)
                    except WireError as error:
                        unreadable += 1
                        self.counters["collectors.unreadable"] += 1
                        self.log.seldom("line unreadable", peer=peer, why=error)
                if unreadable > self.limits.unreadable:
                    self.log.seldom("connection ended", peer=peer, why="too many lines unreadable")
                    break
                if writer.transport.get_write_buffer_size() > self.limits.unsent_bytes:
                    self.log.seldom("connection ended", peer=peer, why="answers left unread")
                    break
        except TooLong:
            self.log.seldom("connection ended", peer=peer, why="line without an end")
        except OSError:
            self.counters["collectors.broken"] += 1
        except Exception:  # a fault of our own costs this connection, not the controller
            self.counters["collectors.faults"] += 1
            self.log.failed("connection failed", peer=peer)
        finally:
            self.open.pop(writer, None)
            self.tasks.discard(task)  # type: ignore[arg-type]
            self.counters["collectors.closed"] += 1
            writer.transport.abort()

    def take(self, line: memoryview, writer: asyncio.StreamWriter) -> None:
        if line == b"PING":
            self.counters["collectors.pings"] += 1
            writer.write(b"PONG\r\n")
            return
        if not line:
            return
        kind, event = self.codec.report(line)
        if event is not None:
            self.counters[f"collectors.{kind}"] += 1
            self.open.pop(writer, None)
            self.open[writer] = True
            self.tell(event)
        elif kind != "SOURCE":
            self.counters["collectors.unknown_kind"] += 1
            self.log.seldom("kind unknown", kind=kind[:40])

    def make_room(self) -> None:
        """Guards against strangers that connect and stay: the one longest without a report goes first."""
        if len(self.open) >= self.limits.connections:
            quiet = next((writer for writer, told in self.open.items() if not told), next(iter(self.open)))
            self.counters["collectors.crowded_out"] += 1
            self.log.seldom("connection crowded out", most=self.limits.connections)
            del self.open[quiet]
            quiet.transport.abort()
