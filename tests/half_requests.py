"""Many clients that stop half way through a large request, and what others see of them meanwhile."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

MAX_ANSWER_S = 0.5  # of others, whatever some clients do
PIECE_BYTES = 16 << 10


class HalfRequest:
    """A client that has sent the start of a request and waits."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.answer = reader, writer, b""
        self.has_stayed = False  # to the end of the test

    async def send(self, request: bytes) -> None:
        """Sends it in pieces, as far as it is taken, and reads until the connection ends."""
        writing = asyncio.create_task(self.write(request))
        try:
            while piece := await self.reader.read(PIECE_BYTES):
                self.answer += piece
        except OSError:
            pass
        finally:
            writing.cancel()
            await asyncio.gather(writing, return_exceptions=True)
            self.writer.transport.abort()

    async def write(self, request: bytes) -> None:
        for begin in range(0, len(request), PIECE_BYTES):
            self.writer.write(request[begin : begin + PIECE_BYTES])
            await self.writer.drain()
            await asyncio.sleep(0)  # `drain` does not wait while the system takes what is written


async def stop_half_way(
    address: tuple[str, int], count: int, request: bytes, seconds: float, ask: Callable[[], Awaitable[float]]
) -> tuple[list[HalfRequest], float]:
    """Has `count` clients send `request`, which is not complete, and stay for a while.

    Returns them, and the slowest answer that `ask`, which is called again and again, has measured.
    """
    clients = [HalfRequest(*await asyncio.open_connection(*address)) for _ in range(count)]
    tasks = [asyncio.create_task(client.send(request)) for client in clients]
    until, slowest = asyncio.get_running_loop().time() + seconds, 0.0
    try:
        while asyncio.get_running_loop().time() < until:
            slowest = max(slowest, await ask())
            await asyncio.sleep(0.02)
    finally:
        for client, task in zip(clients, tasks, strict=True):
            client.has_stayed = not task.done()
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return clients, slowest


def peak_memory_mb(process_id: int) -> float:
    """The most memory that a process has had."""
    status = Path(f"/proc/{process_id}/status").read_text()
    return int(next(line.split()[1] for line in status.splitlines() if line.startswith("VmHWM"))) / 1024
