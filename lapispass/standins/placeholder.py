"""Placeholder controllers: hundreds in one process, with the connections of real ones but no decisions.

Each fetches the list, keeps a watch on the registry and an event stream from the relay, and sends calls,
probes and further watches at configured rates. Rates are means: calls are spread at random, so that the
controllers do not act in step.
"""

from __future__ import annotations

import asyncio
import random
import re
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from typing import Any

from lapispass.standins.nodes import clock_us
from lapispass.standins.platform import INSTANCES
from lapispass.standins.servers import PLACEHOLDER_AGENT

TICK_S = 0.02  # interval at which due actions are started
PROBE_S = 0.75  # time-out of a probe
RECONNECT_MAX_S = 0.5  # longest wait before a reconnection attempt
REVISION = re.compile(rb'\{"revision":(\d+),')
TAIL = 40  # bytes kept of the last data, as a revision may be split over two pieces
LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)


@dataclass(frozen=True, slots=True)
class Pace:
    """Mean rates of each controller, per second. The orders of a call are a whole number."""

    calls: float = 0.0
    marks: float = 0.0  # barriers in a call
    orders: float = 0.0  # in a call, including barriers
    probes: float = 0.0
    watches: float = 0.0  # opened anew


@dataclass(frozen=True, slots=True)
class Endpoints:
    """The addresses of the other parts, as `host:port`."""

    registry: str
    relay: str
    servers: tuple[str, ...]


def request(method: str, target: str, body: bytes = b"") -> bytes:
    """Encodes an HTTP request of a placeholder controller."""
    head = f"{method} {target} HTTP/1.1\r\nHost: stand-in\r\n".encode() + PLACEHOLDER_AGENT
    return b"%b\r\nContent-Length: %d\r\n\r\n%b" % (head, len(body), body)


class RawConnection(asyncio.Protocol):
    """One connection: writes a request and passes on all received data."""

    def __init__(
        self,
        request_bytes: bytes,
        on_data: Callable[[RawConnection, bytes], None],
        on_close: Callable[[RawConnection], None],
    ) -> None:
        self.request_bytes, self.on_data, self.on_close = request_bytes, on_data, on_close
        self.transport: asyncio.Transport | None = None
        self.unread = 0  # bytes of a list that are still missing, once its length is known
        self.tail = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.write(self.request_bytes)

    def data_received(self, data: bytes) -> None:
        self.on_data(self, data)

    def connection_lost(self, error: Exception | None) -> None:
        self.on_close(self)

    def send(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class PlaceholderController:
    """One placeholder controller."""

    def __init__(self, endpoints: Endpoints, chance: random.Random) -> None:
        self.endpoints, self.chance = endpoints, chance
        self.revision, self.updated_us = 0, 0  # the newest revision of the list, and when it was received
        self.watch: RawConnection | None = None
        self.events: RawConnection | None = None
        self.calls: RawConnection | None = None
        self.connected_us = 0  # when watch and event stream were first connected
        self.closed = False
        self.tasks: set[asyncio.Task[None]] = set()

    async def begin(self, after_s: float) -> None:
        """Starts like a real controller: event stream and full list, then the watch."""
        await asyncio.sleep(after_s)
        self.spawn(self.open_events())
        self.spawn(self.fetch())

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine as a task and keeps the task until it is done."""
        if self.closed:
            work.close()
            return
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def connect(
        self,
        address: str,
        request_bytes: bytes,
        on_data: Callable[[RawConnection, bytes], None],
        on_close: Callable[[RawConnection], None],
    ) -> RawConnection:
        """Connects, and retries until that succeeds."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        while True:
            try:
                _, made = await loop.create_connection(
                    lambda: RawConnection(request_bytes, on_data, on_close), host, int(port)
                )
                return made
            except OSError:
                await asyncio.sleep(self.chance.uniform(0, RECONNECT_MAX_S))

    async def fetch(self) -> None:
        await self.connect(
            self.endpoints.registry, request("GET", INSTANCES), self.handle_list_data, lambda link: None
        )

    def handle_list_data(self, link: RawConnection, data: bytes) -> None:
        """Handles a piece of the full list. After the last byte it opens the watch."""
        if not link.unread:
            head, _, rest = data.partition(b"\r\n\r\n")
            length = LENGTH.search(head)
            link.unread = int(length[1]) if length else 0
            data = rest
            self.note_revision(link, data)
        link.unread -= len(data)
        if link.unread <= 0:
            link.close()
            self.spawn(self.open_watch())

    def note_revision(self, link: RawConnection, data: bytes) -> None:
        """Records the newest revision in the received data, however the data is split into pieces."""
        text = link.tail + data
        if (last := max(map(int, REVISION.findall(text)), default=0)) > self.revision:
            self.revision, self.updated_us = last, clock_us()
        link.tail = text[-TAIL:]

    async def open_watch(self) -> None:
        """Opens a watch from the known revision. Closes the previous watch once the new one is connected."""
        before = self.watch
        target = f"{INSTANCES}?watch=1&from={self.revision}"
        self.watch = await self.connect(
            self.endpoints.registry, request("GET", target), self.note_revision, self.watch_lost
        )
        if before is not None:
            before.close()
        self.note_connected()

    def watch_lost(self, link: RawConnection) -> None:
        if link is self.watch:
            self.watch = None
            self.spawn(self.open_watch())

    async def open_events(self) -> None:
        self.events = await self.connect(
            self.endpoints.relay, request("GET", "/events"), lambda link, data: None, self.events_lost
        )
        self.note_connected()

    def events_lost(self, link: RawConnection) -> None:
        if link is self.events:
            self.events = None
            self.spawn(self.open_events())

    def note_connected(self) -> None:
        if self.watch is not None and self.events is not None and not self.connected_us:
            self.connected_us = clock_us()

    async def call(self, orders: Sequence[str]) -> None:
        """Sends a call on the connection for calls, and opens it if needed."""
        request_bytes = request("POST", "/", f"Action=ApplyOrders&orders={'%3B'.join(orders)}".encode())
        if self.calls is not None:
            self.calls.send(request_bytes)
            return
        self.calls = await self.connect(
            self.endpoints.relay, request_bytes, lambda link, data: None, self.calls_lost
        )

    def calls_lost(self, link: RawConnection) -> None:
        if link is self.calls:
            self.calls = None

    async def probe(self) -> None:
        """Probes a random server and closes the connection."""
        host, _, port = self.chance.choice(self.endpoints.servers).rpartition(":")
        loop, answered = asyncio.get_running_loop(), asyncio.Event()
        request_bytes = request("GET", "/health/live")
        link: RawConnection | None = None
        try:
            async with asyncio.timeout(PROBE_S):
                _, link = await loop.create_connection(
                    lambda: RawConnection(
                        request_bytes, lambda made, data: answered.set(), lambda made: answered.set()
                    ),
                    host,
                    int(port),
                )
                await answered.wait()
        except OSError:
            pass  # the server is silent or gone; a later probe may reach it or another one
        finally:
            if link is not None:
                link.close()

    def close(self) -> None:
        self.closed = True
        for link in (self.watch, self.events, self.calls):
            if link is not None:
                link.close()
        for task in self.tasks:
            task.cancel()


class PlaceholderGroup:
    """All placeholder controllers of one process."""

    def __init__(self, count: int, endpoints: Endpoints, seed: int) -> None:
        self.chance = random.Random(seed)
        self.controllers = [PlaceholderController(endpoints, self.chance) for _ in range(count)]
        self.pace = Pace()
        self.barrier = 0
        self.task: asyncio.Task[None] | None = None
        self.due = {"calls": 0.0, "probes": 0.0, "watches": 0.0}

    def begin(self, spread_s: float) -> None:
        """Starts all controllers at random times within `spread_s`."""
        for controller in self.controllers:
            controller.spawn(controller.begin(self.chance.uniform(0, spread_s)))
        self.task = asyncio.create_task(self.run())

    async def run(self) -> None:
        """Starts due calls, probes and watches at randomly drawn controllers."""
        while True:
            await asyncio.sleep(TICK_S)
            for controller in self.draw("calls", self.pace.calls):
                controller.spawn(controller.call(self.make_orders()))
            for controller in self.draw("probes", self.pace.probes):
                controller.spawn(controller.probe())
            for controller in self.draw("watches", self.pace.watches):
                if controller.watch is not None:
                    controller.spawn(controller.open_watch())

    def draw(self, what: str, rate: float) -> list[PlaceholderController]:
        """Draws controllers for an action that each performs `rate` times per second."""
        self.due[what] += rate * len(self.controllers) * TICK_S
        count = int(self.due[what])
        self.due[what] -= count
        return self.chance.choices(self.controllers, k=count)

    def round_randomly(self, mean: float) -> int:
        return int(mean + self.chance.random())

    def make_orders(self) -> list[str]:
        """The orders of a call: barriers, and admission levels that change nothing."""
        barriers = self.round_randomly(self.pace.marks)
        others = max(0, self.round_randomly(self.pace.orders) - barriers)
        if not barriers + others:
            barriers = 1
        self.barrier = (self.barrier + 1) % 65_536
        return ["LIMIT%2C%2A%2C%2A%2C1%2C1"] * others + [f"SYNC%2C{self.barrier}%2C1"] * barriers

    def connected_times(self) -> list[int]:
        """When each connected controller first was connected, in microseconds of the monotonic clock."""
        return [controller.connected_us for controller in self.controllers if controller.connected_us]

    def update_times(self, revision: int) -> list[int]:
        """When each controller that knows a revision received it."""
        return [controller.updated_us for controller in self.controllers if controller.revision >= revision]

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
        for controller in self.controllers:
            controller.close()
