"""A real controller process under many faults at once: every request on a sound connection is answered."""

from __future__ import annotations

import asyncio
import errno
import random
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from faulty_process import Call, Controller, controller, errno_name
from parties import play

PING, PONG = b"PING\r\n", b"PONG\r\n"
DAY_S = 6.0
PAUSE_S = 0.3
LINES_OF_A_KIND_S = 1.1  # lines of a kind come once a second
BREAKS_MOST = 5  # attempts at an error that must meet one connection of several
DUE_S = 0.5 + 2 * PAUSE_S  # of half a second in which the process runs: two pauses may fall into it


async def client(running: Controller, chance: random.Random, until: float, lost: list[str]) -> int:
    """Asks on connections that it keeps for a while; how often it asked. Waits lie around the limits too."""
    loop, asked = asyncio.get_running_loop(), 0
    while loop.time() < until:
        reader, writer = await running.connect()
        opened = loop.time()
        for _ in range(chance.randint(1, 4)):
            message = PING * chance.choice((1, 1, 1, 50))
            cut = chance.randrange(len(message))
            writer.write(message[:cut])
            await asyncio.sleep(chance.choice((0, 0, 0.05)))
            writer.write(message[cut:])
            asked += 1
            try:
                async with asyncio.timeout(DUE_S):
                    answer = await reader.readexactly(len(message))
                if answer != PONG * (len(message) // len(PING)):
                    lost.append(f"{answer!r} after {loop.time() - opened:.3f} s")
            except (EOFError, OSError) as error:
                lost.append(f"{error!r} after {loop.time() - opened:.3f} s")
                break
            await asyncio.sleep(chance.choice((0, 0.1, 0.9, 0.99, 1.0, 1.01, 1.1)))
        writer.close()
    return asked


async def trouble(running: Controller, chance: random.Random, until: float) -> None:
    """A few faults at a time, clock steps and short pauses."""
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        chosen = running.faults.inject_random(chance)
        if chance.random() < 0.3:
            running.signal(signal.SIGSTOP)
            await asyncio.sleep(PAUSE_S)
            running.signal(signal.SIGCONT)
        await asyncio.sleep(0.25)
        for call in chosen:
            running.faults.clear(call)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_request_is_lost_on_a_day_of_faults(tmp_path: Path, seed: int) -> None:
    async def test() -> None:
        chance, lost = random.Random(seed), []
        async with controller(tmp_path) as running:
            until = asyncio.get_running_loop().time() + DAY_S
            lives = [client(running, random.Random(chance.random()), until, lost) for _ in range(12)]
            asked = await asyncio.gather(*lives, trouble(running, chance, until))
            counters = await running.counters()
            running.signal(signal.SIGTERM)
            status = await running.wait_for_exit()
        assert not lost and sum(asked[:-1]) > 50, (lost, asked)
        assert counters["collectors.pings"] > 50 and status == 0
        assert not [line for line in running.lines if "trace=" in line]

    play(test(), 40)


@asynccontextmanager
async def asking(running: Controller) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """A client that has had an answer; its connection is closed however the test goes on."""
    reader, writer = await running.connect()
    try:
        writer.write(PING)
        assert await reader.readexactly(len(PONG)) == PONG
        yield reader, writer
    finally:
        writer.close()


async def break_a_connection(running: Controller, error: int) -> None:
    """The process's next read from a client's connection fails.

    The streams of relay and registry are read by the same call, and may take the error before: the client is
    answered then, and another one is tried.
    """
    for _ in range(BREAKS_MOST):
        async with asking(running) as (reader, writer):
            running.faults.set(Call.RECEIVE, error, times=1)
            writer.write(PING)
            try:
                answer = await reader.read(len(PONG))
            except OSError:
                answer = b""
        if not answer:
            return
        await asyncio.sleep(LINES_OF_A_KIND_S)
    raise AssertionError(f"{errno_name(error)}: no client's connection broke")


def test_a_broken_connection_is_named_as_such_and_all_parties_are_found_again(tmp_path: Path) -> None:
    # ETIMEDOUT of a connection was logged as idle time.
    async def test() -> None:
        async with controller(tmp_path) as running:
            for error in (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET, errno.ENETDOWN):
                after = len(running.lines)
                await break_a_connection(running, error)
                line = await running.wait_for_log('why="connection error: ', after)
                assert "connection ended" in line and f"Errno {error}" in line, errno_name(error)
                after = len(running.lines)
                running.faults.set(Call.RECEIVE, error, times=4)  # the streams of relay and registry, too
                await running.wait_for_log("news lost", after, limit_s=5)
                running.faults.clear(Call.RECEIVE)
                await running.wait_for_log("news open", after, limit_s=5)
                async with asking(running):
                    pass
                await asyncio.sleep(LINES_OF_A_KIND_S)
            running.signal(signal.SIGTERM)
            assert await running.wait_for_exit() == 0

    play(test(), 60)
