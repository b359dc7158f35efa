"""Real processes answer in time while other peers use up their connections or their time."""

from __future__ import annotations

import asyncio
import base64
import hashlib
import sys
from pathlib import Path

import h11
from faulty_process import Controller, Faults, controller, free_address, process
from parties import LoopbackServer, RelayServer, play, until
from test_accept_faults import FILE, UPGRADE
from websockets.asyncio.client import connect

PING, PONG = b"PING\r\n", b"PONG\r\n"
DUE_S = 0.5  # for an answer
SOCKETS = 128  # half of them for client connections
PLACES = SOCKETS // 2
NEWCOMERS = 20
BUSY_PAUSE_S = 0.04  # too short for a client to count as idle
FLOOD = Path(__file__).with_name("flood.py")
COLLECTORS, FLOOD_S = 12, 4.0  # collectors that report without a pause, and for how long
REPORT = "LOAD endpoint=s-1 errors=0 total=9 rtt=3 interval=100"
CHUNKS = 240_000  # of the event stream, written at once
NEWS_S = 3.0  # how long answers are timed after that
SENDERS, SEND_S = 40, 3.0  # clients of a gate that send without a pause, and for how long
FRAME = b"\x81\x81\x00\x00\x00\x00a"  # a text message of one byte, masked by zeros
ANSWER_FRAME = b"\x81\x02ok"
WEBSOCKET_GUID = b"258EAFA5-E914-47DA-95CA-C5AB0DC85B11"


async def ask_on_and_on(running: Controller) -> None:
    """A client that sends its next request soon after each answer, until it is cancelled."""
    reader, writer = await running.connect()
    try:
        while True:
            writer.write(PING)
            if await reader.read(len(PONG)) != PONG:
                return
            await asyncio.sleep(BUSY_PAUSE_S)
    except OSError:
        return
    finally:
        writer.close()


async def ask_and_stay(running: Controller, opened: list[asyncio.StreamWriter]) -> float:
    """The time to connect and get the first answer. The connection stays open."""
    loop = asyncio.get_running_loop()
    begun = loop.time()
    reader, writer = await running.connect()
    opened.append(writer)
    writer.write(PING)
    assert await reader.readexactly(len(PONG)) == PONG
    return loop.time() - begun


def test_newcomers_to_a_full_process_wait_together_and_not_one_after_the_other(tmp_path: Path) -> None:
    """With all connections in use by active clients, the wait for room was restarted by each accepted client:
    the last one in the queue waited for the sum of all waits before it."""

    async def test() -> None:
        opened: list[asyncio.StreamWriter] = []
        async with controller(tmp_path, limits={"sockets": SOCKETS}) as running:
            busy = [asyncio.create_task(ask_on_and_on(running)) for _ in range(PLACES)]
            await asyncio.sleep(0.5)
            took_s = await asyncio.gather(*(ask_and_stay(running, opened) for _ in range(NEWCOMERS)))
            for each in busy:
                each.cancel()
            await asyncio.gather(*busy, return_exceptions=True)
            for writer in opened:
                writer.close()
        late = sorted(round(s, 2) for s in took_s if s > DUE_S)
        assert not late, f"{len(late)} of {NEWCOMERS} late, s: {late}"

    play(test())


async def slowest_answer_s(running: Controller, until_ended: asyncio.subprocess.Process) -> float:
    """The slowest answer, on a persistent connection and on new ones, while another process runs."""
    loop, slowest_s = asyncio.get_running_loop(), 0.0
    opened: list[asyncio.StreamWriter] = []
    reader, writer = await running.connect()
    while until_ended.returncode is None:
        begun = loop.time()
        writer.write(PING)
        assert await reader.readexactly(len(PONG)) == PONG
        slowest_s = max(slowest_s, loop.time() - begun, await ask_and_stay(running, opened))
        opened.pop().close()
        await asyncio.sleep(0.02)
    writer.close()
    return slowest_s


def test_clients_are_answered_in_time_beside_collectors_that_report_without_a_pause(tmp_path: Path) -> None:
    """64 KiB of reports were handled at a time for each collector, while all other clients waited."""

    async def test() -> None:
        async with controller(tmp_path) as running:
            host, port = running.address
            flood = await asyncio.create_subprocess_exec(
                *(sys.executable, str(FLOOD), host, str(port), str(COLLECTORS), str(FLOOD_S)),
                *("SOURCE", REPORT),
            )
            await asyncio.sleep(0.5)
            slowest_s = await slowest_answer_s(running, flood)
            counters = await running.counters()
        assert counters["collectors.LOAD"] > COLLECTORS * 1000
        assert slowest_s <= DUE_S

    play(test())


def test_clients_are_answered_in_time_beside_news_in_many_small_chunks(tmp_path: Path) -> None:
    """The event stream was read without yielding as long as its buffer held another chunk."""

    async def test() -> None:
        relay, slowest_s = RelayServer(), 0.0
        async with controller(tmp_path, relay=relay) as running:
            loop = asyncio.get_running_loop()
            reader, writer = await running.connect()
            await until(lambda: relay.streams)
            await asyncio.sleep(0.5)
            state, news = relay.streams[-1]
            news.write((state.send(h11.Data(data=b":\n")) or b"") * CHUNKS)
            begun = loop.time()
            while (asked_at := loop.time()) < begun + NEWS_S:
                writer.write(PING)
                assert await reader.readexactly(len(PONG)) == PONG
                slowest_s = max(slowest_s, loop.time() - asked_at)
                await asyncio.sleep(0.01)
            writer.close()
        assert len(relay.streams) == 1
        assert slowest_s <= DUE_S

    play(test())


async def read_and_answer_small_pieces(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A node that accepts an upgrade and answers a message that arrives alone."""
    head = await reader.readuntil(b"\r\n\r\n")
    fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:-2])
    key = {name.lower(): value for name, value in fields.items()}[b"sec-websocket-key"]
    accept = base64.b64encode(hashlib.sha1(key + WEBSOCKET_GUID).digest())
    writer.write(
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
        b"Sec-WebSocket-Accept: " + accept + b"\r\n\r\n"
    )
    while piece := await reader.read(1 << 16):
        if len(piece) == len(FRAME):
            writer.write(ANSWER_FRAME)


async def upgraded(address: tuple[str, int]) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Opens a connection that the gate holds; retries rejected upgrades."""
    while True:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(UPGRADE)
        if b" 101 " in await reader.readline():
            return reader, writer
        writer.transport.abort()
        await asyncio.sleep(0.1)


async def send_without_a_pause(writer: asyncio.StreamWriter) -> None:
    """Sends small messages until it is cancelled."""
    try:
        while True:
            writer.write(FRAME * 5_000)
            await writer.drain()
    finally:
        writer.transport.abort()


def test_clients_of_a_gate_are_answered_in_time_beside_others_that_send_without_a_pause(
    tmp_path: Path,
) -> None:
    """Many messages of one client were forwarded before other clients were served."""

    async def test() -> None:
        loop, slowest_s = asyncio.get_running_loop(), 0.0
        faults, address, file = Faults(tmp_path / "faults"), free_address(), tmp_path / "operator.textproto"
        async with LoopbackServer(read_and_answer_small_pieces) as node:
            text = FILE.format(listen="{}:{}".format(*address))
            file.write_text(text.replace('127.0.0.1:1"', f'{node.address}"'))
            async with (
                process(("gate", "-o", str(file)), faults, address, "event=listening", {}),
                connect("ws://{}:{}/".format(*address), compression=None) as client,
            ):
                held = await asyncio.gather(*(upgraded(address) for _ in range(SENDERS)))
                senders = [asyncio.create_task(send_without_a_pause(writer)) for _, writer in held]
                await asyncio.sleep(0.5)
                until_s = loop.time() + SEND_S
                while (sent_at := loop.time()) < until_s:
                    await client.send("x")
                    await client.recv()
                    slowest_s = max(slowest_s, loop.time() - sent_at)
                    await asyncio.sleep(0.02)
                standing = [sender for sender in senders if not sender.done()]
                for sender in senders:
                    sender.cancel()
                await asyncio.gather(*senders, return_exceptions=True)
        assert len(standing) == SENDERS
        assert slowest_s <= DUE_S

    play(test())
