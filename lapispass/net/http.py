"""An HTTP/1.1 client: h11 on asyncio streams. One `HttpConnection` is one connection."""

from __future__ import annotations

import asyncio
import errno
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, TypeVar

import h11

from lapispass.core import momentary
from lapispass.net.dial import open_transport
from lapispass.net.limits import Limits
from lapispass.net.streams import Reader


class InboxFull(EOFError):
    """More was told than is taken in: the connection ends, and the next begins with all that stands."""


# What a peer, the network or its silence can do to a connection; TimeoutError is an OSError too.
CONNECTION_ERRORS = (OSError, h11.RemoteProtocolError, asyncio.IncompleteReadError, EOFError)


T = TypeVar("T")

LOCAL_PAUSE_S = 0.01  # between attempts that failed on this machine: the peer has had no part in them


async def within(
    wait_us: int, work: Awaitable[T], late_us: int, unwanted: Callable[[T], None] = lambda result: None
) -> T:
    """What the work gives, or a TimeoutError.

    Guards against taking our own standing still for the peer's silence: where the process was late by more
    than `late_us`, what arrived meanwhile is read before the peer is given up.

    Guards descriptors, too: where the work was done in the instant in which whoever waits was ended, or gave
    up, `unwanted` is handed what it gave. A connection that came up just then would stay open, and nobody's.
    """
    loop = asyncio.get_running_loop()
    task, taken = asyncio.ensure_future(work), False
    try:
        until = loop.time() + wait_us / 1e6
        await asyncio.wait((task,), timeout=wait_us / 1e6)
        if not task.done() and loop.time() - until > late_us / 1e6:
            await asyncio.wait((task,), timeout=late_us / 1e6)
        if not task.done():
            raise TimeoutError(f"nothing for {wait_us} us")
        taken = True
        return task.result()
    finally:
        if not task.done():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        if not taken and task.done() and not task.cancelled() and task.exception() is None:
            unwanted(task.result())


class Backoff:
    """Waits before a party is tried again: doubling, with jitter, never in step with others."""

    def __init__(self, limits: Limits) -> None:
        self.limits, self.next_us = limits, limits.retry_min_us

    async def wait(self) -> None:
        await asyncio.sleep(self.next_us * random.uniform(0.5, 1.0) / 1e6)
        self.next_us = min(2 * self.next_us, self.limits.retry_max_us)

    def reset(self) -> None:
        self.next_us = self.limits.retry_min_us


class IdleTimeout:
    """Ends what a task waits for inside it with a TimeoutError once the peer has been quiet for too long.

    One timer serves a whole stream: `hear` only notes until when to wait, since a stream brings thousands of
    pieces a second. Guards as `within` does: where the process was late by more than `late_us`, what arrived
    meanwhile is read first.
    """

    def __init__(self, late_us: int) -> None:
        self.late, self.loop, self.timeout = late_us / 1e6, asyncio.get_running_loop(), asyncio.timeout(None)
        self.until, self.timer = 0.0, None

    def extend(self, wait_us: int) -> None:
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
            self.timeout.reschedule(now)

    async def __aenter__(self) -> IdleTimeout:
        await self.timeout.__aenter__()
        return self

    async def __aexit__(self, *raised: Any) -> bool | None:
        if self.timer:
            self.timer.cancel()
            self.timer = None
        return await self.timeout.__aexit__(*raised)


def connect_never_began(transport: asyncio.BaseTransport) -> bool:
    """Whether connect gave EAGAIN or EINTR without a beginning: asyncio takes both for a connection that is
    being made. One that was made and reset meanwhile has no peer any more either, but a port of its own.
    """
    sockname = transport.get_extra_info("sockname")
    return transport.get_extra_info("peername") is None and (not sockname or sockname[1] == 0)


def split_address(address: str) -> tuple[str, int]:
    """`host:port`; a ValueError where it is none."""
    host, _, port = str(address).rpartition(":")
    if not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ValueError(f"no address: {address!r}")
    return host.strip("[]"), int(port)


class HttpConnection:
    """A connection to one party; calls go one after the other."""

    def __init__(self, reader: Reader, writer: asyncio.StreamWriter, address: str, limits: Limits) -> None:
        self.reader, self.writer, self.address, self.limits = reader, writer, address, limits
        self.state = h11.Connection(h11.CLIENT, max_incomplete_event_size=limits.answer_bytes)
        self.watch_from: int | None = None  # the version that a watch was asked from, until its first line

    @classmethod
    async def open(cls, address: str, limits: Limits, wait_us: int | None = None) -> HttpConnection:
        """A connection to `address`, within `wait_us` (`Limits.connect_us`).

        Attempts that fail for a moment are made again within that time. Raises TimeoutError where the peer
        does not answer, and the last error where no attempt could be made.
        """
        dial = Dial(address, limits)
        try:
            return await within(wait_us or limits.connect_us, dial.run(), limits.late_us, cls.close)
        except TimeoutError:
            if dial.error is not None and not dial.waits_for_peer():
                raise dial.error from None
            raise

    @classmethod
    async def _dial(cls, address: str, limits: Limits) -> HttpConnection:
        """One attempt."""
        loop = asyncio.get_running_loop()
        reader = Reader(limit=limits.read_bytes, loop=loop)
        protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
        transport = await open_transport(lambda: protocol, *split_address(address))
        link = cls(reader, asyncio.StreamWriter(transport, protocol, reader, loop), address, limits)
        if connect_never_began(transport):
            link.close()
            raise BlockingIOError(errno.EAGAIN, f"connect to {address} did not begin")
        return link

    @property
    def usable(self) -> bool:
        """False where the peer has ended it."""
        return not (self.reader.at_eof() or self.writer.is_closing() or self.reader.exception())

    @property
    def has_unrequested_data(self) -> bool:
        """Whether something came that no call of ours asked for."""
        return self.reader.unread > 0

    async def send(
        self, method: str, target: str, body: bytes = b"", headers: Iterable[tuple[str, str]] = ()
    ) -> None:
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

    async def read_chunk(self) -> bytes | bytearray:
        """The next of the body as it comes, in the buffer it was read into; none at its end."""
        event = await self._next()
        return event.data if isinstance(event, h11.Data) else b""

    async def body(self, most: int, came: Callable[[], None] = lambda: None) -> bytes:
        """The whole body; one that is longer counts as broken. `came` is told of each piece."""
        whole = bytearray()
        while piece := await self.read_chunk():
            came()
            whole += piece
            if len(whole) > most:
                raise EOFError(f"more than {most} bytes")
        return bytes(whole)

    def start_next_call(self) -> bool:
        """Makes ready for a further call, if both sides keep the connection."""
        both = self.state.our_state is h11.DONE and self.state.their_state is h11.DONE
        if both and not self.state.trailing_data[0]:  # what came unasked would pass for the next answer
            self.state.start_next_cycle()
            return True
        return False

    def close(self) -> None:
        """At once: nothing that is still unsent matters to anyone."""
        self.writer.transport.abort()


class Dial:
    """One connection to be made. `error` is why the last attempt that ended could not be made."""

    def __init__(self, address: str, limits: Limits) -> None:
        self.address, self.limits, self.loop = address, limits, asyncio.get_running_loop()
        self.error: OSError | None = None
        self.attempt_began_at: float | None = None  # the attempt that is under way

    def waits_for_peer(self) -> bool:
        """Whether an attempt is under way for so long that the peer's silence is the reason."""
        least_s = self.limits.retry_max_us / 1e6
        return self.attempt_began_at is not None and self.loop.time() - self.attempt_began_at > least_s

    async def run(self) -> HttpConnection:
        """Tries until the connection stands, or the peer is not to be had."""
        while True:
            self.attempt_began_at = self.loop.time()
            try:
                return await HttpConnection._dial(self.address, self.limits)
            except OSError as error:
                if error.errno not in momentary.LOCAL | momentary.ROUTE:
                    raise
                self.error, self.attempt_began_at = error, None
            await asyncio.sleep(LOCAL_PAUSE_S)


class Dialer:
    """Opens connections to one party; an attempt that runs out of time gives the next one twice as long.

    Guards against dials that take just over the limit (a first packet that is lost is sent again after a
    second): with one limit for all attempts, none would ever come up. Behind the longest comes a short one
    again: an attempt made into a cut may never come up, also when the cut is over.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits, self.wait_us = limits, limits.connect_us

    async def open(self, address: str) -> HttpConnection:
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            link = await HttpConnection.open(address, self.limits, self.wait_us)
        except TimeoutError:
            least_us, most_us = self.limits.connect_us, self.limits.connect_max_us
            self.wait_us = least_us if self.wait_us >= most_us else min(2 * self.wait_us, most_us)
            raise
        if loop.time() - began < self.limits.connect_us / 1e6:
            self.wait_us = self.limits.connect_us
        return link


class Endpoint:
    """Where a party is reached.

    After a move, the new place is tried until it stands; the old one serves meanwhile.

    Guards against a move that happens while a connection to the old place is being made, or while the new one
    does not answer yet: the party's stream would stay at the old place while that one gives signs of life.
    """

    def __init__(
        self,
        address: str,
        limits: Limits,
        dial: Callable[[str], Awaitable[HttpConnection]],
        switch: Callable[[], None],
    ) -> None:
        self.address, self.limits, self.dial, self.switch = (
            address,
            limits,
            dial,
            switch,
        )
        self.standby: HttpConnection | None = None  # stands already, and is taken with the next `connection`
        self.connected_address = ""  # the place of the connection that was taken last
        self.address_changed = asyncio.Event()

    async def connect(self) -> HttpConnection:
        """A new connection: the one that stands already, if it still does."""
        connection, self.standby = self.standby, None
        if connection and not (connection.usable and connection.address == self.address):
            connection.close()
            connection = None
        connection = connection or await self.dial(self.address)
        self.connected_address = connection.address
        return connection

    async def renew(self) -> None:
        """A further connection; once it stands, `switch` has the stream begin anew over it."""
        connection = await self.dial(self.address)
        if connection.address != self.address:  # it has moved meanwhile
            connection.close()
            return
        self.close()
        self.standby = connection
        self.switch()

    def move(self, address: str) -> None:
        self.address = address
        self.address_changed.set()

    async def follow_moves(self) -> None:
        """Tries each new place until it stands, or until it is another."""
        while await self.address_changed.wait():
            self.address_changed.clear()
            again = Backoff(self.limits)
            while self.address not in (self.connected_address, self.standby and self.standby.address):
                try:
                    await self.renew()
                except Exception:  # whatever it was, a further attempt follows: nobody else would make one
                    await again.wait()

    def close(self) -> None:
        if self.standby:
            self.standby.close()
        self.standby = None


async def cancel_and_wait(*tasks: asyncio.Task[Any] | None) -> None:
    """Ends tasks and waits until they have; what they raised is heard."""
    standing = [task for task in tasks if task is not None]
    for task in standing:
        task.cancel()
    await asyncio.gather(*standing, return_exceptions=True)
