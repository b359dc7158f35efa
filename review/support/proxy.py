"""A TCP proxy on loopback that can delay; its connections can go silent: they stay open and say nothing."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class Proxy:
    """Forwards each connection to one address."""

    def __init__(self, target: str, note: Callable[[str], None] = lambda text: None) -> None:
        self.target, self.note, self.address = target, note, ""
        self.delay_s = 0.0  # of what is sent to the target
        self.server: asyncio.Server | None = None
        self.silenced: set[asyncio.Event] = set()
        self.open: dict[asyncio.Event, int] = {}  # of each connection: its number
        self.kept: list[asyncio.StreamWriter] = []  # a silent connection must not be closed by the collector
        self.count = 0

    async def start(self) -> Proxy:
        """Listens on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self

    def silence(self) -> int:
        """From now on the connections that are open say nothing, either way; later ones work."""
        for silent in self.open:
            silent.set()
        return len(self.open)

    def close(self) -> None:
        """Ends all connections."""
        if self.server is not None:
            self.server.close()
        for writer in self.kept:
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forwards one connection, until either side ends it."""
        host, _, port = self.target.rpartition(":")
        self.kept.append(writer)
        try:
            to_reader, to_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.kept.append(to_writer)
        silent = asyncio.Event()
        self.count += 1
        self.open[silent] = self.count
        try:
            await asyncio.gather(
                self.forward(reader, to_writer, silent, lambda: self.delay_s),
                self.forward(to_reader, writer, silent, lambda: 0.0),
            )
        except OSError:
            writer.transport.abort()
            to_writer.transport.abort()
        finally:
            del self.open[silent]

    @staticmethod
    async def forward(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        silent: asyncio.Event,
        delay_s: Callable[[], float],
    ) -> None:
        """Forwards one direction; what comes after the connection went silent is dropped."""
        while piece := await reader.read(1 << 16):
            if silent.is_set():
                continue
            if delay_s():
                await asyncio.sleep(delay_s())
            writer.write(piece)
            await writer.drain()
        if not silent.is_set():
            writer.close()
