"""Stand-ins on loopback from the public pages, and what tests of the network code share.

Each forces an order of events by what it holds back, answers or ends.
"""

from __future__ import annotations

import asyncio
import json
from collections import deque
from collections.abc import Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any
from urllib.parse import parse_qs

import h11
import pytest
from async_tests import play, running, until  # noqa: F401 - for tests
from configurations import listing
from fleet import MS, deployment

from lapispass import interface
from lapispass.net.codec import Codec, Listing
from lapispass.net.collectors import Collectors
from lapispass.net.counters import Counters
from lapispass.net.http import Link
from lapispass.net.launch import Launch
from lapispass.net.limits import Limits
from lapispass.net.registry import Registry
from lapispass.net.relay import Calls, News

QUICK = replace(
    Limits(),
    connect_us=300 * MS,
    answer_us=60 * MS,
    list_us=200 * MS,
    watch_quiet_us=250 * MS,
    news_quiet_us=250 * MS,
    told_us=150 * MS,
    picture_us=20 * MS,
    probe_us=100 * MS,
    again_least_us=5 * MS,
    again_most_us=20 * MS,
    late_us=50 * MS,
    unasked_us=100 * MS,
    join_us=100 * MS,
    message_us=200 * MS,
    fresh_us=5 * MS,
    room_us=20 * MS,
    unread_us=200 * MS,
    linger_us=50 * MS,
    bind_us=60 * MS,
)
TOLD = deployment(
    zones=("a", "b"), slices=12, proxies=4, lease_us=150 * MS, linger_us=60 * MS, max_messages=1000
)
CODEC = Codec(TOLD, 256)
MEMBER = {"id": "s-1", "host_port": "127.0.0.1:1", "locality": "a", "phase": "Ready", "size": 1.0}
NOTHING = Listing(0, False, (), {}, 0)


class HeldDials:
    """Dials that wait: to an address in `gates` until its gate opens, and to one in `refused` not at all."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.gates: dict[str, asyncio.Event] = {}
        self.refused: set[str] = set()
        self.dialed: list[str] = []
        dial = Link._dial

        async def late(address: str, limits: Limits) -> Link:
            self.dialed.append(address)
            if address in self.refused:
                raise ConnectionRefusedError(address)
            if address in self.gates:
                await self.gates[address].wait()
            return await dial(address, limits)

        monkeypatch.setattr(Link, "_dial", late)


class Party:
    """A server on loopback; `meet` is the life of a connection, after which it is closed or reset."""

    def __init__(self, meet: Callable[..., Coroutine[Any, Any, Any]]) -> None:
        self.meet, self.writers, self.tasks = meet, [], []

    async def __aenter__(self) -> Party:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        self.reset()
        for task in self.tasks:
            task.cancel()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        self.tasks.append(asyncio.current_task())
        try:
            if await self.meet(reader, writer) == "reset":
                writer.transport.abort()
        except (OSError, EOFError, h11.ProtocolError, asyncio.CancelledError):
            pass  # it has ended, or was ended by us with the test
        writer.close()

    def reset(self) -> None:
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()


async def silent(reader: asyncio.StreamReader, _: asyncio.StreamWriter) -> None:
    """A party that reads to the end and says nothing."""
    await reader.read()


async def asked(reader: asyncio.StreamReader, state: h11.Connection) -> tuple[str, str, bytes] | None:
    """A whole request, or None at the end."""
    head, body = None, b""
    while True:
        event = state.next_event()
        if event is h11.NEED_DATA:
            state.receive_data(await reader.read(65536))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return head.method.decode(), head.target.decode(), body
        else:
            return None


async def request(reader: asyncio.StreamReader, state: h11.Connection) -> tuple[str, str, bytes]:
    """A whole request; an EOFError where the connection ends before it has asked."""
    if (told := await asked(reader, state)) is None:
        raise EOFError
    return told


def answered(state: h11.Connection, status: int, body: bytes | None) -> bytes:
    length = ("Transfer-Encoding", "chunked") if body is None else ("Content-Length", str(len(body)))
    out = state.send(h11.Response(status_code=status, headers=[length]))
    return out if body is None else out + state.send(h11.Data(data=body)) + state.send(h11.EndOfMessage())


class Relay(Party):
    """Holds the proxies' streams and the store; what goes wrong with the next calls stands in `faults`."""

    def __init__(self) -> None:
        super().__init__(self.relay)
        self.faults: deque[str] = deque()
        self.stands: list[tuple[str, str]] = []
        self.done: list[str] = []  # orders carried out
        self.calls: list[list[str]] = []
        self.streams: list[tuple[h11.Connection, asyncio.StreamWriter]] = []
        self.written_after, self.answers, self.signs, self.held = b"", False, True, asyncio.Event()

    async def relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> str | None:
        state = h11.Connection(h11.SERVER)
        while (request := await asked(reader, state)) is not None:
            method, target, body = request
            if (method, target) == ("GET", "/events"):
                writer.write(answered(state, 200, None))
                self.streams.append((state, writer))
                for kind, data in self.standing():
                    self.say(kind, data, len(self.streams) - 1)
                while not reader.at_eof():
                    self.sign(state, writer)
                    try:
                        self.written_after += await asyncio.wait_for(reader.read(1), 0.1)
                    except TimeoutError:
                        pass
                return None
            assert (method, target) == ("POST", "/")
            orders = parse_qs(body.decode())["orders"][0].split(";")
            self.calls.append(orders)
            fault = self.faults.popleft() if self.faults else ""
            if fault == "picky":  # it will not have what names a bad server, in any call
                self.faults.append(fault)
            if fault == "held":
                await self.held.wait()
            if fault in ("reset before", "silent before"):
                return await self.end(fault)
            if fault == "throttled" or (fault == "picky" and any("bad" in text for text in orders)):
                word = "invalid" if fault == "picky" else fault
                writer.write(answered(state, 400, f"<Response><error>{word}</error></Response>".encode()))
            else:
                count = int(fault[6:]) if fault.startswith("short") else len(orders)
                self.carry_out(orders[:count])
                if fault in ("reset after", "silent after"):
                    return await self.end(fault)
                count = fault[11:] if fault.startswith("miscounted") else count
                answer = f"<Response><entries><item><ok_count>{count}</ok_count></item></entries></Response>"
                writer.write(answered(state, 200, b"<odd" if fault == "unreadable" else answer.encode()))
            if fault == "close":
                return "reset"
            state.start_next_cycle()
        return None

    def sign(self, state: h11.Connection, writer: asyncio.StreamWriter) -> None:
        if self.signs:
            writer.write(state.send(h11.Data(data=b":\n")))

    async def end(self, fault: str) -> str:
        if fault.startswith("silent"):
            await asyncio.sleep(3600)
        return "reset"

    def standing(self) -> list[tuple[str, str]]:
        return self.stands

    def carry_out(self, orders: list[str]) -> None:
        self.done += orders
        for mark in [text.split(",")[1] for text in orders if text.startswith("SYNC") and self.answers]:
            for node in [data.partition("&")[0] for kind, data in self.stands if kind == "SUBSCRIBE"]:
                self.say("ACK", f"{node}&nonce={mark}&latency=5.0")

    def say(self, kind: str, data: str, stream: int = -1) -> None:
        state, writer = self.streams[stream]
        writer.write(state.send(h11.Data(data=f"event: {kind}\r\ndata: {data}\r\n\r\n".encode())))


@asynccontextmanager
async def calls_to(relay: Party, limits: Limits = QUICK):
    """A client of the relay's calls."""
    calls = Calls(relay.address, CODEC, limits, Counters())
    try:
        yield calls
    finally:
        calls.close()


STANDS = [
    ("SUBSCRIBE", "node=0&locality=a&w=1&cold=1"),
    ("SUBSCRIBE", "node=1&locality=a&w=1&cold=0"),
    ("GRANT", "shard=3&set=1"),
    ("ROW", "shard=3&endpoint=s-1&w=1.0"),
    ("GRANT", "shard=4&set=1"),
]
PICTURE = [
    interface.ProxyJoined(0, True, "a", 1.0),
    interface.ProxyJoined(1, False, "a", 1.0),
    interface.SliceGrant(3, True),
    interface.StoredOwner(3, "s-1"),
    interface.SliceGrant(4, True),
]


@asynccontextmanager
async def news_of(relay: Relay):
    heard: list[interface.Event] = []
    relay.stands = list(STANDS)
    calls = Calls(relay.address, CODEC, QUICK, Counters())
    news = News(relay.address, calls, heard.append, CODEC, QUICK, Counters())
    async with running(news.run()):
        await until(lambda: len(heard) >= 5)
        assert heard == PICTURE
        heard.clear()
        try:
            yield news, heard
        finally:
            calls.close()


class Book(Party):
    """The registry: the whole list, and one behaviour for each watch in turn."""

    def __init__(self, *watches: list[bytes | float | int | str]) -> None:
        super().__init__(self.book)
        self.watches, self.targets = deque(watches), []

    async def book(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> str | None:
        state = h11.Connection(h11.SERVER)
        _, target, _ = await request(reader, state)
        self.targets.append(target)
        if target == "/registry/instances":
            writer.write(answered(state, 200, json.dumps(listing(9, MEMBER)).encode()))
            return None
        steps = self.watches.popleft() if self.watches else [b"\n", 3600.0]
        if steps[0] == 503:
            writer.write(answered(state, 503, b"busy"))
            return None
        if steps[0] == "reset":
            return "reset"
        writer.write(answered(state, 200, None))
        for step in steps:
            if isinstance(step, float):
                await asyncio.sleep(step)
            else:
                writer.write(state.send(h11.Data(data=step)))
                await writer.drain()
        return "reset"


def change(version: int, *members: object) -> bytes:
    return json.dumps(listing(version, *members, complete=False)).encode() + b"\n"


@asynccontextmanager
async def following(book: Party, known: Listing = NOTHING, limits: Limits = QUICK):
    """A registry client that has been asked to follow, and what it tells."""
    heard: list[interface.Event] = []
    registry = Registry(book.address, known, heard.append, CODEC, limits, Counters())
    async with running(registry.run()):
        registry.follow()
        yield registry, heard


S1 = interface.RegistryEntry("s-1", "a", "ready", 1.0, None)
KNOWN = Listing(5, True, (S1,), {"s-1": "127.0.0.1:9"}, 0)
LOST = interface.RegistryUpdate("lost", ())


JOIN = b"SOURCE locality=a\r\n"
LINE = b"LOAD locality=a endpoint=s-1 total=2 errors=1 rtt=41.7 interval=1000.0\r\n"
SPOILT = b"LOAD total=x\r\nSHARD shard=3\r\nLOAD" + LINE[4:].replace(b"=a", b"=1e+30")
MET = interface.ServerReport("s-1", "a", 1, 2, 41700, 1_000_000, None)


@asynccontextmanager
async def listening(limits: Limits = QUICK):
    heard: list[interface.Event] = []
    collectors = Collectors(heard.append, CODEC, limits, Counters())
    await collectors.listen("127.0.0.1:0")
    port = collectors.server.sockets[0].getsockname()[1]

    writers: list[asyncio.StreamWriter] = []

    async def connect(said: bytes = JOIN) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writers.append(writer)
        writer.write(said)
        return reader, writer

    connect.port = port
    try:
        yield collectors, heard, connect
    finally:
        collectors.close()
        for writer in writers:
            writer.transport.abort()
        await until(lambda: not collectors.tasks)


async def rest(reader: asyncio.StreamReader) -> bytes:
    """What is still said until the connection is closed or reset."""
    said = b""
    try:
        while piece := await reader.read(100):
            said += piece
    except OSError:
        pass
    return said


def launch(relay: str, registry: str, **changes: Any) -> Launch:
    values = dict(
        name="n",
        listen="127.0.0.1:0",
        registry=registry,
        relay=relay,
        seed=1,
        known=CODEC.listed(listing(1, *({**MEMBER, "id": f"s-{n}"} for n in (1, 2)))),
        told=replace(TOLD, probes_allowed=False, subscribes_to_registry=True),
        limits=QUICK,
    )
    return Launch(**{**values, **changes})
