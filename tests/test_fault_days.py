"""A real controller process under several faults at once answers every request on an intact connection."""

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
LOG_LIMIT_S = 1.1  # the log writes lines of the same kind at most once a second
MAX_ATTEMPTS = 5  # to make an error hit a client's connection, not another one
ANSWER_LIMIT_S = 0.5 + 2 * PAUSE_S  # 0.5 s in which the process runs, and two pauses that may fall into it


async def client(running: Controller, chance: random.Random, until: float, lost: list[str]) -> int:
    """Sends requests on connections that it keeps for a while; returns their number.

    Some waits are close to the idle time-out of 1 s.
    """
    loop, request_count = asyncio.get_running_loop(), 0
    while loop.time() < until:
        reader, writer = await running.connect()
        opened = loop.time()
        for _ in range(chance.randint(1, 4)):
            message = PING * chance.choice((1, 1, 1, 50))
            cut = chance.randrange(len(message))
            writer.write(message[:cut])
            await asyncio.sleep(chance.choice((0, 0, 0.05)))
            writer.write(message[cut:])
            request_count += 1
            try:
                async with asyncio.timeout(ANSWER_LIMIT_S):
                    answer = await reader.readexactly(len(message))
                if answer != PONG * (len(message) // len(PING)):
                    lost.append(f"{answer!r} after {loop.time() - opened:.3f} s")
            except (EOFError, OSError) as error:
                lost.append(f"{error!r} after {loop.time() - opened:.3f} s")
                break
            await asyncio.sleep(chance.choice((0, 0.1, 0.9, 0.99, 1.0, 1.01, 1.1)))
        writer.close()
    return request_count


async def inject_faults(running: Controller, chance: random.Random, until: float) -> None:
    """Injects a few faults at a time, clock steps and short pauses of the process."""
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
            clients = [client(running, random.Random(chance.random()), until, lost) for _ in range(12)]
            request_counts = await asyncio.gather(*clients, inject_faults(running, chance, until))
            counters = await running.counters()
            running.signal(signal.SIGTERM)
            status = await running.wait_for_exit()
        assert not lost and sum(request_counts[:-1]) > 50, (lost, request_counts)
        assert counters["collectors.pings"] > 50 and status == 0
        assert not [line for line in running.lines if "trace=" in line]

    play(test(), 40)


@asynccontextmanager
async def answered_client(
    running: Controller,
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """A client that has received an answer; its connection is closed at the end of the block in any case."""
    reader, writer = await running.connect()
    try:
        writer.write(PING)
        assert await reader.readexactly(len(PONG)) == PONG
        yield reader, writer
    finally:
        writer.close()


async def break_a_connection(running: Controller, error: int) -> None:
    """Makes the process's next read from a client's connection fail.

    The streams of relay and registry are read by the same call, so one of them may get the error instead.
    The client is answered in that case, and another client is tried.
    """
    for _ in range(MAX_ATTEMPTS):
        async with answered_client(running) as (reader, writer):
            running.faults.set(Call.RECEIVE, error, times=1)
            writer.write(PING)
            try:
                answer = await reader.read(len(PONG))
            except OSError:
                answer = b""
        if not answer:
            return
        await asyncio.sleep(LOG_LIMIT_S)
    raise AssertionError(f"{errno_name(error)}: no client's connection was broken")


def test_a_broken_connection_is_named_as_such_and_all_parties_are_found_again(tmp_path: Path) -> None:
    # Guards against a connection that ends with ETIMEDOUT and is logged as idle.
    async def test() -> None:
        async with controller(tmp_path) as running:
            for error in (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET, errno.ENETDOWN):
                after = len(running.lines)
                await break_a_connection(running, error)
                line = await running.wait_for_log('why="connection error: ', after)
                assert "connection ended" in line and f"Errno {error}" in line, errno_name(error)
                after = len(running.lines)
                running.faults.set(Call.RECEIVE, error, times=4)  # the streams of relay and registry, too
                await running.wait_for_log("event stream lost", after, limit_s=5)
                running.faults.clear(Call.RECEIVE)
                await running.wait_for_log("event stream open", after, limit_s=5)
                async with answered_client(running):
                    pass
                await asyncio.sleep(LOG_LIMIT_S)
            running.signal(signal.SIGTERM)
            assert await running.wait_for_exit() == 0

    play(test(), 60)
