"""A client gets complete and timely answers to its requests, and nothing else, until the process ends."""

from __future__ import annotations

import asyncio
import random
import signal
from dataclasses import dataclass
from pathlib import Path

import pytest
from faulty_process import Controller, Faults, controller, free_address, process

PING, PONG = b"PING\r\n", b"PONG\r\n"
NACK = b"NACK why=unreadable\r\n"
REJECTED_WITHIN_S = 3.0  # a client that has neither joined nor sent a request is rejected or closed by then
IDLE_S = 16.0  # longer than any idle time-out that clients ever had
KILL_S = 0.7  # from SIGTERM to SIGKILL at the earliest
GATE_FILE = """
connection_class {{ name: "board" path_prefix: "/board" }}
gate {{ name: "g0" listen: "{listen}" slices: 2 handshake_ms: 500 }}
node {{ id: "n0" address: "127.0.0.1:1" zone: "east" }}
"""


async def receive_for(reader: asyncio.StreamReader, for_s: float) -> bytes:
    """All bytes that arrive within `for_s` seconds."""
    received = b""
    try:
        async with asyncio.timeout(for_s):
            while chunk := await reader.read(1000):
                received += chunk
    except TimeoutError:
        pass
    return received


async def received_until_closed(reader: asyncio.StreamReader, within_s: float) -> bytes:
    """All bytes until the end of the connection, which has to come within `within_s` seconds.

    What reaches a process after it has decided to close a connection stays unread, so that no request is read
    and dropped. The system then closes the connection with a reset.
    """
    received = b""
    async with asyncio.timeout(within_s):
        try:
            while chunk := await reader.read(1000):
                received += chunk
        except ConnectionResetError:
            pass
    return received


@pytest.mark.time_limit(40)
async def test_a_client_that_has_asked_is_told_nothing_more_until_it_asks_again(tmp_path: Path) -> None:
    # Each got `NACK why=unreadable` and a close 15 s after its PONG, in an earlier version after 1 s.
    async with controller(tmp_path) as running:
        clients = [await running.connect() for _ in range(5)]
        for _, writer in clients:
            writer.write(PING)
        first = await asyncio.gather(*(receive_for(reader, IDLE_S) for reader, _ in clients))
        for _, writer in clients:
            writer.write(PING)
        second = await asyncio.gather(*(receive_for(reader, 0.5) for reader, _ in clients))
        for _, writer in clients:
            writer.close()
        assert (set(first), set(second)) == ({PONG}, {PONG})


async def test_only_what_cannot_be_read_is_rejected(tmp_path: Path) -> None:
    # A client that had sent nothing was rejected as unreadable.
    expected = {b"": b"", b"PI": NACK, b"odd\r\n": NACK, PING + b"PI": PONG + NACK}
    async with controller(tmp_path) as running:
        clients = {sent: await running.connect() for sent in expected}
        for sent, (_, writer) in clients.items():
            writer.write(sent)
        got = await asyncio.gather(
            *(receive_for(reader, REJECTED_WITHIN_S) for reader, _ in clients.values())
        )
        ended = [reader.at_eof() for reader, _ in clients.values()]
        for _, writer in clients.values():
            writer.close()
        assert dict(zip(expected, got, strict=True)) == expected and all(ended)


@pytest.mark.time_limit(40)
async def test_a_ping_in_pieces_is_answered_in_a_crowd(tmp_path: Path) -> None:
    # A client that had sent half a PING was evicted for the next client 2 ms later.
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

    async with controller(tmp_path) as running:
        got = await asyncio.gather(*(client(running, seed) for seed in range(300)))
        assert set(got) == {PONG}, [received for received in got if received != PONG][:5]


@pytest.mark.time_limit(40)
async def test_clients_with_half_a_message_keep_nobody_waiting(tmp_path: Path) -> None:
    # If such clients held all connections, one was evicted every 250 ms while hundreds waited.
    async def asks(running: Controller) -> float:
        begun = asyncio.get_running_loop().time()
        reader, writer = await running.connect()
        writer.write(PING)
        assert await reader.readexactly(len(PONG)) == PONG
        writer.close()
        return asyncio.get_running_loop().time() - begun

    async with controller(tmp_path, limits={"sockets": 256}) as running:
        halves = [await running.connect() for _ in range(400)]
        for _, writer in halves:
            writer.write(b"PIN")
        waits = await asyncio.gather(*(asks(running) for _ in range(20)))
        closing = (received_until_closed(reader, REJECTED_WITHIN_S) for reader, _ in halves)
        ended = await asyncio.gather(*closing, return_exceptions=True)
        for _, writer in halves:
            writer.close()
        assert max(waits) < 1.5, waits
        assert set(ended) == {b"", NACK}


@dataclass
class Count:
    """Requests and answers of all clients of a process."""

    asked: int = 0
    answered: int = 0


async def ask_until_the_end(running: Controller, count: Count, wait_s: float) -> None:
    """Keeps sending requests on one connection until it ends."""
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


async def test_each_request_that_was_read_is_answered_by_a_process_that_ends(tmp_path: Path) -> None:
    # Input that arrived between the decision to close a connection and the close was read and dropped.
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

    for seed in range(3):
        await one(seed)


async def test_connections_that_wait_to_be_accepted_are_answered_before_the_end(tmp_path: Path) -> None:
    # They were reset when the listening socket was closed.
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
                got.append(await receive_for(reader, 2))
            except OSError as error:
                got.append(repr(error).encode())
            writer.close()
        assert set(got) == {PONG}
        assert await running.wait_for_exit() == 0


async def test_counters_have_no_names_of_a_strangers_choice(tmp_path: Path) -> None:
    # There was a counter for each unknown line that a client had sent.
    async with controller(tmp_path) as running:
        names = []
        for number in range(50):
            reader, writer = await running.connect()
            writer.write(b"SOURCE locality=made-up-%d\r\nodd-%d\r\n" % (number, number))
            await receive_for(reader, 2)
            writer.close()
            if number in (0, 49):
                counters = await running.counters()
                names.append({name for name in counters if name.startswith("collectors.")})
        assert names[1] == names[0] and "collectors.ended.unreadable" in names[0]


async def test_a_gate_tells_nothing_to_a_client_that_never_asked(tmp_path: Path) -> None:
    # It got a 408, which it would take for the response to its next request.
    faults, address = Faults(tmp_path / "faults"), free_address()
    file = tmp_path / "operator.textproto"
    file.write_text(GATE_FILE.format(listen="{}:{}".format(*address)))
    async with process(("gate", "-o", str(file)), faults, address, "event=listening", {}) as gate:
        silent, begun = await gate.connect(), await gate.connect()
        begun[1].write(b"GET /board HTTP/1.1\r\n")
        got = [await receive_for(reader, REJECTED_WITHIN_S) for reader, _ in (silent, begun)]
        for _, writer in (silent, begun):
            writer.close()
        assert got[0] == b"" and silent[0].at_eof()
        assert got[1].startswith(b"HTTP/1.1 408 ")
