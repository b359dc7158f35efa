"""The shutdown of a process whose clients send requests without a pause."""

from __future__ import annotations

import asyncio
import signal
from contextlib import suppress
from pathlib import Path

from faulty_process import Controller, Faults, controller

PING, PONG = b"PING\r\n", b"PONG\r\n"
CLIENTS, FLOOD_S = 4, 1.0
KILL_S = 0.7  # from SIGTERM to SIGKILL


async def flood(running: Controller) -> int:
    """Sends requests without a pause until the connection ends; returns the number of answered bytes."""
    reader, writer = await running.connect()

    async def ask() -> None:
        with suppress(OSError):
            while True:
                writer.write(PING * 5000)
                await writer.drain()

    asking, answered = asyncio.create_task(ask()), 0
    with suppress(OSError):
        while piece := await reader.read(1 << 18):
            answered += len(piece)
    asking.cancel()
    await asyncio.gather(asking, return_exceptions=True)
    writer.transport.abort()
    return answered


async def test_requests_that_were_read_are_answered_before_the_kill_however_many_come(tmp_path: Path) -> None:
    """Each read found more input, so the shutdown never ended, and the last requests read were dropped."""
    faults, loop = Faults(tmp_path / "faults"), asyncio.get_running_loop()
    async with controller(tmp_path, faults=faults) as running:
        clients = [asyncio.create_task(flood(running)) for _ in range(CLIENTS)]
        await asyncio.sleep(FLOOD_S)
        running.signal(signal.SIGTERM)
        begun = loop.time()
        answered = sum(await asyncio.gather(*clients))
        assert await running.wait_for_exit() == 0
        assert loop.time() - begun < KILL_S
    assert answered > 100 * len(PONG)
    lost = faults.bytes_read() // len(PING) - answered // len(PONG)
    assert lost < CLIENTS, f"{lost} of {answered // len(PONG)}"  # each connection may end within a message
