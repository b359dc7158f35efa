"""An HTTP/1.1 client: h11 on asyncio streams. One `Link` is one connection."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Iterable
from typing import Any, TypeVar

import h11

from lapispass.net.limits import Limits


class Overfull(EOFError):
    """More was told than is taken in: the connection ends, and the next begins with all that stands."""


# What a peer, the network or its silence can do to a connection; TimeoutError is an OSError too.
BROKEN = (OSError, h11.RemoteProtocolError, asyncio.IncompleteReadError, EOFError)


T = TypeVar("T")


async def within(wait_us: int, work: Awaitable[T], late_us: int) -> T:
    """What the work gives, or a TimeoutError.

    Guards against taking our own standing still for the peer's silence: where the process was late by more
    than `late_us`, what arrived meanwhile is read before the peer is given up.
    """
    loop = asyncio.get_running_loop()
    task = asyncio.ensure_future(work)
    try:
        until = loop.time() + wait_us / 1e6
        await asyncio.wait((task,), timeout=wait_us / 1e6)
        if not task.done() and loop.time() - until > late_us / 1e6:
            await asyncio.wait((task,), timeout=late_us / 1e6)
        if not task.done():
            raise TimeoutError(f"nothing for {wait_us} us")
        return task.result()
    finally:
        if not task.done():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        elif not task.cancelled():
            task.exception()  # heard, also where whoever waited has been ended


class Quiet:
    """Ends what a task waits for inside it with a TimeoutError once the peer has been quiet for too long.

    One timer serves a whole stream: `hear` only notes until when to wait, since a stream brings thousands of
    pieces a second. Guards as `within` does: where the process was late by more than `late_us`, what arrived
    meanwhile is read first.
    """

    def __init__(self, late_us: int) -> None:
        self.late, self.loop, self.ends = late_us / 1e6, asyncio.get_running_loop(), asyncio.timeout(None)
        self.until, self.timer = 0.0, None

    def hear(self, wait_us: int) -> None:
        """The peer has said something; it may be quiet for so long from now on."""
        self.until = self.loop.time() + wait_us / 1e6
        if self.timer is None or self.timer.when() > self.until:
            self._set(self.until)

    def _set(self, at: float) -> None:
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_at(at, self._due, at)

    def _due(self, expected: float) -> None:
        now, self.timer = self.loop.time(), None
        if now < self.until:
            self._set(self.until)
        elif now - expected > self.late:
            self.until = now + self.late
            self._set(self.until)
        else:
            self.ends.reschedule(now)

    async def __aenter__(self) -> Quiet:
        await self.ends.__aenter__()
        return self

    async def __aexit__(self, *raised: Any) -> bool | None:
        if self.timer:
            self.timer.cancel()
            self.timer = None
        return await self.ends.__aexit__(*raised)


def split(address: str) -> tuple[str, int]:
    """`host:port`; a ValueError where it is none."""
    host, _, port = address.rpartition(":")
    number = int(port)
    if not host or not 0 <= number < 65536:
        raise ValueError(f"no address: {address!r}")
    return host.strip("[]"), number


class Link:
    """A connection to one party; calls go one after the other."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, address: str,
                 limits: Limits) -> None:
        self.reader, self.writer, self.address, self.limits = reader, writer, address, limits
        self.state = h11.Connection(h11.CLIENT, max_incomplete_event_size=limits.answer_bytes)

    @classmethod
    async def open(cls, address: str, limits: Limits) -> Link:
        opening = asyncio.open_connection(*split(address), limit=limits.read_bytes)
        reader, writer = await within(limits.connect_us, opening, limits.late_us)
        return cls(reader, writer, address, limits)

    @property
    def usable(self) -> bool:
        """False where the peer has ended it."""
        return not (self.reader.at_eof() or self.writer.is_closing() or self.reader.exception())

    async def send(self, method: str, target: str, body: bytes = b"",
                   headers: Iterable[tuple[str, str]] = ()) -> None:
        head = [("Host", self.address), ("User-Agent", "lapispass"), *headers]
        if body:
            head.append(("Content-Length", str(len(body))))
        out = self.state.send(h11.Request(method=method, target=target, headers=head)) or b""
        if body:
            out += self.state.send(h11.Data(data=body)) or b""
        out += self.state.send(h11.EndOfMessage()) or b""
        self.writer.write(out)
        await self.writer.drain()

    async def _next(self) -> h11.Event:
        while True:
            event = self.state.next_event()
            if event is h11.NEED_DATA:
                self.state.receive_data(await self.reader.read(self.limits.read_bytes))  # none: the end
            elif isinstance(event, h11.Event) and not isinstance(event, h11.ConnectionClosed):
                return event
            else:
                raise EOFError("the peer ended the connection")

    async def answer(self) -> int:
        """The status of the answer to the call just sent."""
        while True:
            event = await self._next()
            if isinstance(event, h11.Response):
                return event.status_code

    async def piece(self) -> bytes | bytearray:
        """The next of the body as it comes, in the buffer it was read into; none at its end."""
        event = await self._next()
        return event.data if isinstance(event, h11.Data) else b""

    async def body(self, most: int) -> bytes:
        """The whole body; one that is longer counts as broken."""
        whole = bytearray()
        while piece := await self.piece():
            whole += piece
            if len(whole) > most:
                raise EOFError(f"more than {most} bytes")
        return bytes(whole)

    def next_call(self) -> bool:
        """Makes ready for a further call, if both sides keep the connection."""
        both = self.state.our_state is h11.DONE and self.state.their_state is h11.DONE
        if both and not self.state.trailing_data[0]:  # what came unasked would pass for the next answer
            self.state.start_next_cycle()
            return True
        return False

    def close(self) -> None:
        """At once: nothing that is still unsent matters to anyone."""
        self.writer.transport.abort()


class Place:
    """Where a party is reached. After a move, the connection to the new place stands before the old one is left."""

    def __init__(self, address: str, limits: Limits) -> None:
        self.address, self.limits = address, limits
        self.ready: Link | None = None

    async def link(self) -> Link:
        """A new connection: the one that a move has opened, if it still stands."""
        link, self.ready = self.ready, None
        if link and link.usable and link.address == self.address:
            return link
        if link:
            link.close()
        return await Link.open(self.address, self.limits)

    async def move(self, address: str) -> bool:
        """Whether a connection to the new place stands; where none does, the old one serves for as long as it can."""
        self.address = address
        try:
            opened = await Link.open(address, self.limits)
        except BROKEN:
            return False
        self.close()
        self.ready = opened
        return True

    def close(self) -> None:
        if self.ready:
            self.ready.close()
        self.ready = None
