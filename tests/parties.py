"""Loopback servers and fixtures for tests of the network code.

The servers follow the platform's published interfaces. A test forces an order of events by what a server
delays, answers or closes.
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
from lapispass.net.codec import Codec, RegistryMessage
from lapispass.net.collectors import Collectors
from lapispass.net.counters import Counters
from lapispass.net.http import HttpConnection
from lapispass.net.launch import Launch
from lapispass.net.limits import Limits
from lapispass.net.registry import Registry
from lapispass.net.relay import Calls, EventStream

QUICK = replace(
    Limits(),
    connect_us=300 * MS,
    answer_us=60 * MS,
    list_us=200 * MS,
    watch_idle_us=250 * MS,
    events_idle_us=250 * MS,
    snapshot_us=150 * MS,
    snapshot_gap_us=20 * MS,
    probe_us=100 * MS,
    retry_min_us=5 * MS,
    retry_max_us=20 * MS,
    late_us=50 * MS,
    watch_reopen_us=100 * MS,
    join_us=100 * MS,
    message_us=200 * MS,
    eviction_grace_us=5 * MS,
    room_wait_us=20 * MS,
    unread_us=200 * MS,
    linger_us=50 * MS,
    bind_us=60 * MS,
)
SMALL_DEPLOYMENT = deployment(
    zones=("a", "b"), slices=12, proxies=4, lease_us=150 * MS, linger_us=60 * MS, max_messages=1000
)
CODEC = Codec(SMALL_DEPLOYMENT, 256)
MEMBER = {"id": "s-1", "host_port": "127.0.0.1:1", "locality": "a", "phase": "Ready", "size": 1.0}
EMPTY_LISTING = RegistryMessage(0, False, (), {}, 0)


class HeldDials:
    """Delays connects to an address in `gates` until its event is set; refuses those in `refused`."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.gates: dict[str, asyncio.Event] = {}
        self.refused: set[str] = set()
        self.dialed: list[str] = []
        dial = HttpConnection._dial

        async def delayed_dial(address: str, limits: Limits) -> HttpConnection:
            self.dialed.append(address)
            if address in self.refused:
                raise ConnectionRefusedError(address)
            if address in self.gates:
                await self.gates[address].wait()
            return await dial(address, limits)

        monkeypatch.setattr(HttpConnection, "_dial", delayed_dial)


class LoopbackServer:
    """A server on loopback. `serve_connection` handles a connection, which is closed or reset afterwards."""

    def __init__(self, serve_connection: Callable[..., Coroutine[Any, Any, Any]]) -> None:
        self.serve_connection, self.writers, self.tasks = serve_connection, [], []

    async def __aenter__(self) -> LoopbackServer:
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
            if await self.serve_connection(reader, writer) == "reset":
                writer.transport.abort()
        except (OSError, EOFError, h11.ProtocolError, asyncio.CancelledError):
            pass  # the peer closed the connection, or the test has ended
        writer.close()

    def reset(self) -> None:
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()


async def silent(reader: asyncio.StreamReader, _: asyncio.StreamWriter) -> None:
    """Reads to the end of the stream and sends nothing."""
    await reader.read()


async def next_request(reader: asyncio.StreamReader, state: h11.Connection) -> tuple[str, str, bytes] | None:
    """The next complete request, or None at the end of the stream."""
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


async def read_request(reader: asyncio.StreamReader, state: h11.Connection) -> tuple[str, str, bytes]:
    """The next complete request; raises EOFError if the connection ends before it."""
    if (found := await next_request(reader, state)) is None:
        raise EOFError
    return found


def response_bytes(state: h11.Connection, status: int, body: bytes | None) -> bytes:
    length = ("Transfer-Encoding", "chunked") if body is None else ("Content-Length", str(len(body)))
    out = state.send(h11.Response(status_code=status, headers=[length]))
    return out if body is None else out + state.send(h11.Data(data=body)) + state.send(h11.EndOfMessage())


class RelayServer(LoopbackServer):
    """The relay: it has the event streams and the store. `faults` lists the faults of the next calls."""

    def __init__(self) -> None:
        super().__init__(self.relay)
        self.faults: deque[str] = deque()
        self.snapshot: list[tuple[str, str]] = []
        self.orders_done: list[str] = []  # orders that were carried out
        self.calls: list[list[str]] = []
        self.streams: list[tuple[h11.Connection, asyncio.StreamWriter]] = []
        self.written_after, self.acknowledges, self.sends_heartbeats, self.held = (
            b"",
            False,
            True,
            asyncio.Event(),
        )

    async def relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> str | None:
        state = h11.Connection(h11.SERVER)
        while (request := await next_request(reader, state)) is not None:
            method, target, body = request
            if (method, target) == ("GET", "/events"):
                writer.write(response_bytes(state, 200, None))
                self.streams.append((state, writer))
                for kind, data in self.snapshot_lines():
                    self.send_event(kind, data, len(self.streams) - 1)
                while not reader.at_eof():
                    self.send_heartbeat(state, writer)
                    try:
                        self.written_after += await asyncio.wait_for(reader.read(1), 0.1)
                    except TimeoutError:
                        pass
                return None
            assert (method, target) == ("POST", "/")
            orders = parse_qs(body.decode())["orders"][0].split(";")
            self.calls.append(orders)
            fault = self.faults.popleft() if self.faults else ""
            if fault == "picky":  # it refuses every call with an order that names a bad server
                self.faults.append(fault)
            if fault == "held":
                await self.held.wait()
            if fault in ("reset before", "silent before"):
                return await self.end(fault)
            if fault == "throttled" or (fault == "picky" and any("bad" in text for text in orders)):
                word = "invalid" if fault == "picky" else fault
                writer.write(
                    response_bytes(state, 400, f"<Response><error>{word}</error></Response>".encode())
                )
            else:
                count = int(fault[6:]) if fault.startswith("short") else len(orders)
                self.carry_out(orders[:count])
                if fault in ("reset after", "silent after"):
                    return await self.end(fault)
                count = fault[11:] if fault.startswith("miscounted") else count
                answer = f"<Response><entries><item><ok_count>{count}</ok_count></item></entries></Response>"
                writer.write(
                    response_bytes(state, 200, b"<odd" if fault == "unreadable" else answer.encode())
                )
            if fault == "close":
                return "reset"
            state.start_next_cycle()
        return None

    def send_heartbeat(self, state: h11.Connection, writer: asyncio.StreamWriter) -> None:
        if self.sends_heartbeats:
            writer.write(state.send(h11.Data(data=b":\n")))

    async def end(self, fault: str) -> str:
        if fault.startswith("silent"):
            await asyncio.sleep(3600)
        return "reset"

    def snapshot_lines(self) -> list[tuple[str, str]]:
        return self.snapshot

    def carry_out(self, orders: list[str]) -> None:
        self.orders_done += orders
        for mark in [text.split(",")[1] for text in orders if text.startswith("SYNC") and self.acknowledges]:
            for node in [data.partition("&")[0] for kind, data in self.snapshot if kind == "SUBSCRIBE"]:
                self.send_event("ACK", f"{node}&nonce={mark}&latency=5.0")

    def send_event(self, kind: str, data: str, stream: int = -1) -> None:
        state, writer = self.streams[stream]
        writer.write(state.send(h11.Data(data=f"event: {kind}\r\ndata: {data}\r\n\r\n".encode())))


@asynccontextmanager
async def calls_to(relay: LoopbackServer, limits: Limits = QUICK):
    """A client for calls to the relay."""
    calls = Calls(relay.address, CODEC, limits, Counters())
    try:
        yield calls
    finally:
        calls.close()


SNAPSHOT_LINES = [
    ("SUBSCRIBE", "node=0&locality=a&w=1&cold=1"),
    ("SUBSCRIBE", "node=1&locality=a&w=1&cold=0"),
    ("GRANT", "shard=3&set=1"),
    ("ROW", "shard=3&endpoint=s-1&w=1.0"),
    ("GRANT", "shard=4&set=1"),
]
SNAPSHOT_EVENTS = [
    interface.ProxyJoined(0, True, "a", 1.0),
    interface.ProxyJoined(1, False, "a", 1.0),
    interface.SliceGrant(3, True),
    interface.StoredOwner(3, "s-1"),
    interface.SliceGrant(4, True),
]


@asynccontextmanager
async def events_of(relay: RelayServer):
    events: list[interface.Event] = []
    relay.snapshot = list(SNAPSHOT_LINES)
    calls = Calls(relay.address, CODEC, QUICK, Counters())
    stream = EventStream(relay.address, calls, events.append, CODEC, QUICK, Counters())
    async with running(stream.run()):
        await until(lambda: len(events) >= 5)
        assert events == SNAPSHOT_EVENTS
        events.clear()
        try:
            yield stream, events
        finally:
            calls.close()


class RegistryServer(LoopbackServer):
    """The registry: it serves the whole list, and each watch in turn by the next of `watches`."""

    def __init__(self, *watches: list[bytes | float | int | str]) -> None:
        super().__init__(self.book)
        self.watches, self.targets = deque(watches), []

    async def book(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> str | None:
        state = h11.Connection(h11.SERVER)
        _, target, _ = await read_request(reader, state)
        self.targets.append(target)
        if target == "/registry/instances":
            writer.write(response_bytes(state, 200, json.dumps(listing(9, MEMBER)).encode()))
            return None
        steps = self.watches.popleft() if self.watches else [b"\n", 3600.0]
        if steps[0] == 503:
            writer.write(response_bytes(state, 503, b"busy"))
            return None
        if steps[0] == "reset":
            return "reset"
        writer.write(response_bytes(state, 200, None))
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
async def following(book: LoopbackServer, known: RegistryMessage = EMPTY_LISTING, limits: Limits = QUICK):
    """A registry client that follows the list, and the events that it has emitted."""
    events: list[interface.Event] = []
    registry = Registry(book.address, known, events.append, CODEC, limits, Counters())
    async with running(registry.run()):
        registry.follow()
        yield registry, events


S1 = interface.RegistryEntry("s-1", "a", "ready", 1.0, None)
KNOWN = RegistryMessage(5, True, (S1,), {"s-1": "127.0.0.1:9"}, 0)
LOST = interface.RegistryUpdate("lost", ())


JOIN = b"SOURCE locality=a\r\n"
LOAD_LINE = b"LOAD locality=a endpoint=s-1 total=2 errors=1 rtt=41.7 interval=1000.0\r\n"
MALFORMED_REPORTS = b"LOAD total=x\r\nSHARD shard=3\r\nLOAD" + LOAD_LINE[4:].replace(b"=a", b"=1e+30")
LOAD_REPORT = interface.ServerReport("s-1", "a", 1, 2, 41700, 1_000_000, None)


@asynccontextmanager
async def listening(limits: Limits = QUICK):
    events: list[interface.Event] = []
    collectors = Collectors(events.append, CODEC, limits, Counters())
    await collectors.listen("127.0.0.1:0")
    port = collectors.acceptor.sockets[0].getsockname()[1]

    writers: list[asyncio.StreamWriter] = []

    async def connect(first: bytes = JOIN) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writers.append(writer)
        writer.write(first)
        return reader, writer

    connect.port = port
    try:
        yield collectors, events, connect
    finally:
        collectors.close()
        for writer in writers:
            writer.transport.abort()
        await until(lambda: not collectors.tasks)


async def read_to_end(reader: asyncio.StreamReader) -> bytes:
    """All bytes until the connection is closed or reset."""
    received = b""
    try:
        while chunk := await reader.read(100):
            received += chunk
    except OSError:
        pass
    return received


def launch(relay: str, registry: str, **changes: Any) -> Launch:
    values = dict(
        name="n",
        listen="127.0.0.1:0",
        registry=registry,
        relay=relay,
        seed=1,
        known=CODEC.parse_registry_message(listing(1, *({**MEMBER, "id": f"s-{n}"} for n in (1, 2)))),
        deployment=replace(SMALL_DEPLOYMENT, probes_allowed=False, subscribes_to_registry=True),
        limits=QUICK,
    )
    return Launch(**{**values, **changes})
