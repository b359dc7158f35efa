"""A counter node that holds WebSocket connections, on the `websockets` library: not the gate's own codec.

What it understands, each a text message: `w KEY ID` is a write, recorded and answered `ok ID`; `w KEY ID
MS` is carried out that much later; `r KEY ID` is a read, answered `is ID`; anything else comes back as it
was. At `/board` it pushes `tick N` every so often. It keeps count of concurrent upgrades, and of when and
how each connection closed.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import NamedTuple

from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed
from websockets.http11 import Request, Response


def clock_us() -> int:
    """One clock for all stand-ins of a machine, in microseconds."""
    return time.monotonic_ns() // 1000


class Write(NamedTuple):
    """A write that a node carried out."""

    at_us: int
    node: str
    key: str
    number: str


class Closed(NamedTuple):
    """How a connection ended, as its node saw it; 1006 is one without a close frame."""

    at_us: int
    node: str
    path: str
    code: int
    reason: str
    held_us: int


@dataclass
class Capacity:
    """What a node can take. Sent more than `fall_multiple` times that within a second, a cold one falls
    over."""

    connections: int = 1_000_000
    new_per_s: float = 1e6
    cold_us: int = 0
    cold_share: float = 1.0
    fall_multiple: float = 2.5


class CounterNode:
    """One node; `async with` starts it on a free port of loopback."""

    def __init__(
        self, name: str, zone: str = "east", capacity: Capacity | None = None, tick_s: float = 0.0
    ) -> None:
        self.name, self.zone, self.capacity, self.tick_s = name, zone, capacity or Capacity(), tick_s
        self.held: set[ServerConnection] = set()
        self.peak = 0
        self.accepted = 0
        self.overloaded_at = 0
        self.peak_new = 0.0  # most new ones within a second, as a share of what it could take then
        self.peak_held = 0.0  # most held, as a share of what it could hold then
        self.writes: list[Write] = []
        self.ends: list[Closed] = []
        self.received = 0
        self.refuse_with: HTTPStatus | None = None  # answers every upgrade with this
        self.recent: deque[int] = deque()
        self.started_us = 0
        self.address = ""
        self.server: Server | None = None
        self.on_message: Callable[[str], None] = lambda _: (
            None
        )  # told each message; for tests that wait for one

    async def start(self, port: int = 0, cold: bool = False) -> CounterNode:
        self.started_us = clock_us() if cold else 0
        self.overloaded_at = 0
        self.server = await serve(
            self.handle_connection,
            "127.0.0.1",
            port,
            compression=None,
            ping_interval=None,
            process_request=self.upgrade,
            max_size=None,
            close_timeout=2,
        )
        host, bound = next(iter(self.server.sockets)).getsockname()[:2]
        self.address = f"{host}:{bound}"
        return self

    async def __aenter__(self) -> CounterNode:
        return await self.start()

    async def __aexit__(self, *_: object) -> None:
        await self.stop()

    async def stop(self) -> None:
        """Ends it; what it still holds is dropped."""
        self.kill()
        if self.server is not None:
            await self.server.wait_closed()

    def kill(self) -> None:
        """As a killed process: every connection is reset, and new ones are refused."""
        if self.server is not None:
            self.server.close(close_connections=False)
        for connection in list(self.held):
            connection.transport.abort()

    def warmth(self, now: int) -> float:
        """The share of its strength that it has."""
        capacity = self.capacity
        if not self.started_us or not capacity.cold_us:
            return 1.0
        age = (now - self.started_us) / capacity.cold_us
        return min(1.0, capacity.cold_share + (1 - capacity.cold_share) * age)

    def upgrade(self, _: ServerConnection, request: Request) -> Response | None:
        """Counts an upgrade, and falls over when pushed."""
        now = clock_us()
        if request.path in ("/health/live", "/stats"):
            status = HTTPStatus.SERVICE_UNAVAILABLE if self.overloaded_at else HTTPStatus.OK
            return Response(
                status.value, status.phrase, request.headers.__class__({"Content-Length": "0"}), b""
            )
        if self.refuse_with is not None or self.overloaded_at:
            status = self.refuse_with or HTTPStatus.SERVICE_UNAVAILABLE
            return Response(status.value, status.phrase, request.headers.__class__({"Retry-After": "2"}), b"")
        self.recent.append(now)
        while self.recent[0] < now - 1_000_000:
            self.recent.popleft()
        able = self.capacity.new_per_s * self.warmth(now)
        self.peak_new = max(self.peak_new, len(self.recent) / able)
        self.peak_held = max(
            self.peak_held, (len(self.held) + 1) / (self.capacity.connections * self.warmth(now))
        )
        if max(len(self.recent) / able, self.peak_held) > self.capacity.fall_multiple:
            self.overloaded_at = now
            self.kill()
        return None

    async def handle_connection(self, connection: ServerConnection) -> None:
        """One connection, from its upgrade to its end."""
        begun = clock_us()
        path = connection.request.path if connection.request else "/"
        self.held.add(connection)
        self.accepted += 1
        self.peak = max(self.peak, len(self.held))
        ticking = (
            asyncio.create_task(self.tick(connection)) if self.tick_s and path.startswith("/board") else None
        )
        try:
            while True:
                message = await connection.recv()
                self.received += 1
                if isinstance(message, str):
                    self.on_message(message)
                await connection.send(await self.answer(message))
        except ConnectionClosed:
            pass
        finally:
            self.held.discard(connection)
            if ticking is not None:
                ticking.cancel()
            now = clock_us()
            code = connection.close_code or 1006
            self.ends.append(Closed(now, self.name, path, code, connection.close_reason or "", now - begun))

    async def answer(self, message: str | bytes) -> str | bytes:
        """What a message brings about."""
        match message.split(" ") if isinstance(message, str) and message[:2] in ("w ", "r ") else None:
            case ["w", key, number, wait_ms]:
                await asyncio.sleep(int(wait_ms) / 1000)
                self.writes.append(Write(clock_us(), self.name, key, number))
                return f"ok {number}"
            case ["w", key, number]:
                self.writes.append(Write(clock_us(), self.name, key, number))
                return f"ok {number}"
            case ["r", _, number]:
                return f"is {number}"
            case _:
                return message

    async def tick(self, connection: ServerConnection) -> None:
        """What a board is shown, numbered without a gap."""
        number = 0
        try:
            while True:
                await asyncio.sleep(self.tick_s)
                await connection.send(f"tick {self.name} {number}")
                number += 1
        except ConnectionClosed:
            pass
