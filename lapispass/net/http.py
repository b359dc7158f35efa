"""An HTTP/1.1 client: h11 on asyncio streams, with time-outs, retries and endpoints that may move."""

from __future__ import annotations

import asyncio
import errno
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, TypeVar

import h11

from lapispass.core import transient_errors
from lapispass.net.dial import open_transport
from lapispass.net.limits import Limits
from lapispass.net.streams import Reader


class InboxFull(EOFError):
    """The queue of events is full. The connection is closed, and the next one begins with a full snapshot."""


# Failures of a connection that the peer or the network can cause. TimeoutError is an OSError, too.
CONNECTION_ERRORS = (OSError, h11.RemoteProtocolError, asyncio.IncompleteReadError, EOFError)


T = TypeVar("T")

LOCAL_PAUSE_S = 0.01  # between attempts that failed on this machine, without involving the peer


async def within(
    wait_us: int, work: Awaitable[T], late_us: int, unwanted: Callable[[T], None] = lambda result: None
) -> T:
    """Awaits `work` for at most `wait_us`; raises TimeoutError.

    A stall of this process must not be mistaken for a silent peer. If the time-out fires more than `late_us`
    late, `work` gets another `late_us` to read what arrived meanwhile.

    If `work` completes at the moment when the caller is cancelled or times out, its result is passed to
    `unwanted`. Otherwise a connection opened just then would have no owner and stay open.
    """
    loop = asyncio.get_running_loop()
    task, taken = asyncio.ensure_future(work), False
    try:
        until = loop.time() + wait_us / 1e6
        await asyncio.wait((task,), timeout=wait_us / 1e6)
        if not task.done() and loop.time() - until > late_us / 1e6:
            await asyncio.wait((task,), timeout=late_us / 1e6)
        if not task.done():
            raise TimeoutError(f"no answer within {wait_us} us")
        taken = True
        return task.result()
    finally:
        if not task.done():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        if not taken and task.done() and not task.cancelled() and task.exception() is None:
            unwanted(task.result())


class Backoff:
    """Exponential backoff with jitter between attempts, so that clients do not retry in step."""

    def __init__(self, limits: Limits) -> None:
        self.limits, self.next_us = limits, limits.retry_min_us

    async def wait(self) -> None:
        await asyncio.sleep(self.next_us * random.uniform(0.5, 1.0) / 1e6)
        self.next_us = min(2 * self.next_us, self.limits.retry_max_us)

    def reset(self) -> None:
        self.next_us = self.limits.retry_min_us


class IdleTimeout:
    """A context manager that raises TimeoutError in its body after the peer was idle for too long.

    One timer serves a whole stream: `extend` only stores the new deadline, since a stream brings thousands of
    chunks a second. As in `within`, a stall of this process is not mistaken for an idle peer: if the timer
    fires more than `late_us` late, what arrived meanwhile is read first.
    """

    def __init__(self, late_us: int) -> None:
        self.late, self.loop, self.timeout = late_us / 1e6, asyncio.get_running_loop(), asyncio.timeout(None)
        self.until, self.timer = 0.0, None

    def extend(self, wait_us: int) -> None:
        """Data has arrived: from now on the peer may be idle for `wait_us`."""
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
    """Whether connect(2) failed with EAGAIN or EINTR before it began.

    asyncio takes both errors for a connection in progress. A connection that was established and reset in the
    meantime has no peer address either, but it does have a local port.
    """
    sockname = transport.get_extra_info("sockname")
    return transport.get_extra_info("peername") is None and (not sockname or sockname[1] == 0)


def split_address(address: str) -> tuple[str, int]:
    """Splits `host:port`; raises ValueError if the text is not of this form."""
    host, _, port = str(address).rpartition(":")
    if not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ValueError(f"expected host:port, got {address!r}")
    return host.strip("[]"), int(port)


class HttpConnection:
    """A connection to one server, for one request at a time."""

    def __init__(self, reader: Reader, writer: asyncio.StreamWriter, address: str, limits: Limits) -> None:
        self.reader, self.writer, self.address, self.limits = reader, writer, address, limits
        self.state = h11.Connection(h11.CLIENT, max_incomplete_event_size=limits.answer_bytes)
        self.watch_from: int | None = None  # the version that a watch started from, until its first line

    @classmethod
    async def open(cls, address: str, limits: Limits, wait_us: int | None = None) -> HttpConnection:
        """Connects to `address` within `wait_us` (default: `Limits.connect_us`).

        Transient errors are retried within that time. Raises TimeoutError if the peer does not answer, and
        the last error if no attempt could be started.
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
        """Makes one attempt to connect."""
        loop = asyncio.get_running_loop()
        reader = Reader(limit=limits.read_bytes, loop=loop)
        protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
        transport = await open_transport(lambda: protocol, *split_address(address))
        connection = cls(reader, asyncio.StreamWriter(transport, protocol, reader, loop), address, limits)
        if connect_never_began(transport):
            connection.close()
            raise BlockingIOError(errno.EAGAIN, f"connect to {address} could not be started")
        return connection

    @property
    def usable(self) -> bool:
        """False after the peer has closed the connection or it has failed."""
        return not (self.reader.at_eof() or self.writer.is_closing() or self.reader.exception())

    @property
    def has_unrequested_data(self) -> bool:
        """Whether bytes arrived that belong to no request of ours."""
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
                self.state.receive_data(await self.reader.read(self.limits.read_bytes))  # b"" at the end
            elif isinstance(event, h11.Event) and not isinstance(event, h11.ConnectionClosed):
                return event
            else:
                raise EOFError("the peer closed the connection")

    async def answer(self) -> int:
        """The status of the response to the request just sent."""
        while True:
            event = await self._next()
            if isinstance(event, h11.Response):
                return event.status_code

    async def read_chunk(self) -> bytes | bytearray:
        """The next chunk of the body, in the buffer that it was read into; empty at the end of the body."""
        event = await self._next()
        return event.data if isinstance(event, h11.Data) else b""

    async def body(self, max_bytes: int, received: Callable[[], None] = lambda: None) -> bytes:
        """The whole body; an EOFError if it is longer than `max_bytes`. Calls `received` after each chunk."""
        whole = bytearray()
        while chunk := await self.read_chunk():
            received()
            whole += chunk
            if len(whole) > max_bytes:
                raise EOFError(f"response body longer than {max_bytes} bytes")
        return bytes(whole)

    def start_next_call(self) -> bool:
        """Prepares the connection for another request; False if either side does not keep it open."""
        both = self.state.our_state is h11.DONE and self.state.their_state is h11.DONE
        if both and not self.state.trailing_data[0]:  # unrequested bytes would be taken for the next response
            self.state.start_next_cycle()
            return True
        return False

    def close(self) -> None:
        """Closes the connection at once and drops unsent bytes, which nobody needs any more."""
        self.writer.transport.abort()


class Dial:
    """The attempts to make one connection. `error` is the local error of the last attempt that failed."""

    def __init__(self, address: str, limits: Limits) -> None:
        self.address, self.limits, self.loop = address, limits, asyncio.get_running_loop()
        self.error: OSError | None = None
        self.attempt_began_at: float | None = None  # when the current attempt began

    def waits_for_peer(self) -> bool:
        """Whether the current attempt has lasted so long that the peer's silence must be the reason."""
        least_s = self.limits.retry_max_us / 1e6
        return self.attempt_began_at is not None and self.loop.time() - self.attempt_began_at > least_s

    async def run(self) -> HttpConnection:
        """Tries until the connection is established, or fails for a reason that is not transient."""
        while True:
            self.attempt_began_at = self.loop.time()
            try:
                return await HttpConnection._dial(self.address, self.limits)
            except OSError as error:
                if error.errno not in transient_errors.LOCAL | transient_errors.ROUTE:
                    raise
                self.error, self.attempt_began_at = error, None
            await asyncio.sleep(LOCAL_PAUSE_S)


class Dialer:
    """Opens connections to one peer. Each attempt that times out doubles the time-out of the next one.

    With a constant time-out, a connection that takes slightly longer would never be established: for example,
    a lost first packet is sent again only after a second. After the longest time-out the shortest one follows
    again, since an attempt that began during a network cut may not succeed even when the cut is over.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits, self.wait_us = limits, limits.connect_us

    async def open(self, address: str) -> HttpConnection:
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            connection = await HttpConnection.open(address, self.limits, self.wait_us)
        except TimeoutError:
            least_us, most_us = self.limits.connect_us, self.limits.connect_max_us
            self.wait_us = least_us if self.wait_us >= most_us else min(2 * self.wait_us, most_us)
            raise
        if loop.time() - began < self.limits.connect_us / 1e6:
            self.wait_us = self.limits.connect_us
        return connection


class Endpoint:
    """The address of a peer that may move.

    After a move, the new address is tried until a connection is established; the old one is used meanwhile.
    This also covers a move that happens while a connection to the old address is being made, or while the new
    address does not answer yet. Otherwise the stream would stay at the old address for as long as that one
    sends heartbeats.
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
        self.standby: HttpConnection | None = None  # already established; returned by the next `connect`
        self.connected_address = ""  # the address of the connection returned last
        self.address_changed = asyncio.Event()

    async def connect(self) -> HttpConnection:
        """Returns the standby connection if it is still usable, and otherwise a new one."""
        connection, self.standby = self.standby, None
        if connection and not (connection.usable and connection.address == self.address):
            connection.close()
            connection = None
        connection = connection or await self.dial(self.address)
        self.connected_address = connection.address
        return connection

    async def renew(self) -> None:
        """Opens a further connection; `switch` then restarts the stream over it."""
        connection = await self.dial(self.address)
        if connection.address != self.address:  # the peer has moved meanwhile
            connection.close()
            return
        self.close()
        self.standby = connection
        self.switch()

    def move(self, address: str) -> None:
        self.address = address
        self.address_changed.set()

    async def follow_moves(self) -> None:
        """Tries each new address until a connection is established or the address changes again."""
        while await self.address_changed.wait():
            self.address_changed.clear()
            again = Backoff(self.limits)
            while self.address not in (self.connected_address, self.standby and self.standby.address):
                try:
                    await self.renew()
                except Exception:  # whatever the error, try again: nothing else would
                    await again.wait()

    def close(self) -> None:
        if self.standby:
            self.standby.close()
        self.standby = None


async def cancel_and_wait(*tasks: asyncio.Task[Any] | None) -> None:
    """Cancels tasks and waits for them; their exceptions are retrieved and dropped."""
    running = [task for task in tasks if task is not None]
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)
