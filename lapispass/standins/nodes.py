"""A stand-in node that holds WebSocket connections, on the `websockets` library (not the gate's own codec).

Text messages it understands: `w KEY ID` is a write, recorded and answered `ok ID`; `w KEY ID MS` is a write
delayed by MS milliseconds; `r KEY ID` is a read, answered `is ID`. Any other message is echoed. Connections
to `/board` receive numbered `tick` messages at an interval. The node counts upgrades and open connections,
and records when and how each connection closed.
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
    """The monotonic clock in microseconds, common to all stand-ins of a machine."""
    return time.monotonic_ns() // 1000


class Write(NamedTuple):
    """A write that a node has carried out."""

    at_us: int
    node: str
    key: str
    number: str


class Closed(NamedTuple):
    """How a connection ended, as seen by its node. Code 1006 means that there was no close frame."""

    at_us: int
    node: str
    path: str
    code: int
    reason: str
    held_us: int


@dataclass
class Capacity:
    """The load that a node can take. A node that gets more than `fall_multiple` times its current capacity
    within a second crashes."""

    connections: int = 1_000_000
    new_per_s: float = 1e6
    cold_us: int = 0
    cold_share: float = 1.0
    fall_multiple: float = 2.5


class CounterNode:
    """One node; `async with` starts it on a free loopback port."""

    def __init__(
        self, name: str, zone: str = "east", capacity: Capacity | None = None, tick_s: float = 0.0
    ) -> None:
        self.name, self.zone, self.capacity, self.tick_s = name, zone, capacity or Capacity(), tick_s
        self.held: set[ServerConnection] = set()
        self.peak = 0
        self.accepted = 0
        self.overloaded_at = 0
        self.peak_new = 0.0  # most new connections within a second, as a share of the capacity at that time
        self.peak_held = 0.0  # most held connections, as a share of the capacity at that time
        self.writes: list[Write] = []
        self.ends: list[Closed] = []
        self.received = 0
        self.refuse_with: HTTPStatus | None = None  # status with which every upgrade is refused
        self.recent: deque[int] = deque()
        self.started_us = 0
        self.address = ""
        self.server: Server | None = None
        self.on_message: Callable[[str], None] = lambda _: (
            None
        )  # called with each message; for tests that wait for one

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
        """Stops the node; connections that are still open are reset."""
        self.kill()
        if self.server is not None:
            await self.server.wait_closed()

    def kill(self) -> None:
        """Behaves like a killed process: resets every connection and refuses new ones."""
        if self.server is not None:
            self.server.close(close_connections=False)
        for connection in list(self.held):
            connection.transport.abort()

    def warmth(self, now: int) -> float:
        """The share of its full capacity that the node has now."""
        capacity = self.capacity
        if not self.started_us or not capacity.cold_us:
            return 1.0
        age = (now - self.started_us) / capacity.cold_us
        return min(1.0, capacity.cold_share + (1 - capacity.cold_share) * age)

    def upgrade(self, _: ServerConnection, request: Request) -> Response | None:
        """Counts an upgrade, and crashes the node if it is overloaded. Also answers health checks."""
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
        capacity = self.capacity.new_per_s * self.warmth(now)
        self.peak_new = max(self.peak_new, len(self.recent) / capacity)
        self.peak_held = max(
            self.peak_held, (len(self.held) + 1) / (self.capacity.connections * self.warmth(now))
        )
        if max(len(self.recent) / capacity, self.peak_held) > self.capacity.fall_multiple:
            self.overloaded_at = now
            self.kill()
        return None

    async def handle_connection(self, connection: ServerConnection) -> None:
        """Serves one connection, from its upgrade until it closes."""
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
        """Carries out a message and returns the reply."""
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
        """Sends numbered ticks on a `/board` connection, without gaps."""
        number = 0
        try:
            while True:
                await asyncio.sleep(self.tick_s)
                await connection.send(f"tick {self.name} {number}")
                number += 1
        except ConnectionClosed:
            pass
