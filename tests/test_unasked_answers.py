"""A client is told what it has asked for, whole and in time, and nothing else, until the process ends."""

from __future__ import annotations

import asyncio
import random
import signal
from dataclasses import dataclass
from pathlib import Path

from faulty_process import Controller, controller
from parties import play

PING, PONG = b"PING\r\n", b"PONG\r\n"
KEPT_S = 16.0  # longer than any time after which an idle client was ever closed
KILL_S = 0.7  # from SIGTERM to SIGKILL at the earliest


async def heard(reader: asyncio.StreamReader, for_s: float) -> bytes:
    """All that comes within this time."""
    said = b""
    try:
        async with asyncio.timeout(for_s):
            while piece := await reader.read(1000):
                said += piece
    except TimeoutError:
        pass
    return said


def test_a_client_that_has_asked_is_told_nothing_more_until_it_asks_again(tmp_path: Path) -> None:
    # Each got `NACK why=unreadable` and a close 15 s after its PONG, in an earlier version after 1 s.
    async def test() -> None:
        async with controller(tmp_path) as running:
            clients = [await running.connect() for _ in range(5)]
            for _, writer in clients:
                writer.write(PING)
            first = await asyncio.gather(*(heard(reader, KEPT_S) for reader, _ in clients))
            for _, writer in clients:
                writer.write(PING)
            second = await asyncio.gather(*(heard(reader, 0.5) for reader, _ in clients))
            for _, writer in clients:
                writer.close()
            assert (set(first), set(second)) == ({PONG}, {PONG})

    play(test(), 40)


def test_a_ping_in_pieces_is_answered_in_a_crowd(tmp_path: Path) -> None:
    # Whoever had sent half a PING was closed to make room for the next client, 2 ms later.
    async def client(running: Controller, seed: int) -> bytes:
        chance = random.Random(seed)
        await asyncio.sleep(chance.uniform(0, 0.05))
        reader, writer = await running.connect()
        cut = chance.randrange(1, len(PING))
        writer.write(PING[:cut])
        await asyncio.sleep(0.05)
        writer.write(PING[cut:])
        try:
            return await asyncio.wait_for(reader.readexactly(len(PONG)), 5)
        except (EOFError, OSError) as error:
            return repr(error).encode()
        finally:
            await asyncio.sleep(1)
            writer.close()

    async def test() -> None:
        async with controller(tmp_path) as running:
            got = await asyncio.gather(*(client(running, seed) for seed in range(300)))
            assert set(got) == {PONG}, [said for said in got if said != PONG][:5]

    play(test(), 40)


@dataclass
class Count:
    """Of all clients of a process."""

    asked: int = 0
    answered: int = 0


async def ask_until_the_end(running: Controller, count: Count, wait_s: float) -> None:
    """Goes on asking on one connection until it ends."""
    reader, writer = await running.connect()
    try:
        while True:
            writer.write(PING)
            count.asked += 1
            await reader.readexactly(len(PONG))
            count.answered += 1
            await asyncio.sleep(wait_s)
    except (EOFError, OSError):
        writer.close()


def test_each_request_that_was_read_is_answered_by_a_process_that_ends(tmp_path: Path) -> None:
    # What came between the decision to close a connection and its close had been read, and was dropped.
    async def one(seed: int) -> None:
        chance, count = random.Random(seed), Count()
        async with controller(tmp_path) as running:
            waits = [chance.choice((0, 0, 0.001, 0.01, 0.05)) for _ in range(40)]
            clients = [asyncio.create_task(ask_until_the_end(running, count, wait_s)) for wait_s in waits]
            await asyncio.sleep(0.5 + chance.random() * 0.1)
            for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                running.signal(number)
            await asyncio.sleep(KILL_S)
            ended = running.process.returncode
            await asyncio.gather(*clients)
            read = running.faults.bytes_read()
        assert ended == 0
        assert read == len(PING) * count.answered, (read / len(PING), count)
        assert count.answered > 200

    async def test() -> None:
        for seed in range(3):
            await one(seed)

    play(test())


def test_connections_that_wait_to_be_accepted_are_answered_before_the_end(tmp_path: Path) -> None:
    # They were reset with the listening socket.
    async def test() -> None:
        async with controller(tmp_path) as running:
            running.signal(signal.SIGSTOP)
            clients = [await running.connect() for _ in range(120)]
            for _, writer in clients:
                writer.write(PING)
            running.signal(signal.SIGTERM)
            running.signal(signal.SIGCONT)
            got = []
            for reader, writer in clients:
                try:
                    got.append(await heard(reader, 2))
                except OSError as error:
                    got.append(repr(error).encode())
                writer.close()
            assert set(got) == {PONG}
            assert await running.ended() == 0

    play(test())
