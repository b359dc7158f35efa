"""Accepts connections at a listening socket and recovers from all errors of accept(2)."""

from __future__ import annotations

import asyncio
import errno
import socket
import ssl
from collections.abc import Awaitable, Callable

from lapispass.core import transient_errors
from lapispass.core.memory_budget import MemoryBudget
from lapispass.net.counters import Counters
from lapispass.net.http import split_address
from lapispass.net.log import PartLogger
from lapispass.net.resilient_socket import ResilientSocket
from lapispass.net.streams import CountedReader, Reader, is_readable
from lapispass.retry import retry

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
ProtocolFactory = Callable[[], asyncio.BaseProtocol]

RETRY_PAUSE_US = 5_000  # before the next attempt, if there is no room or accept fails repeatedly
ATTEMPTS = 8  # failed attempts in a row before a pause
DESCRIPTOR_WAIT_US = 300_000  # without a free descriptor, before each call of `on_exhausted`


def listen_at(address: str, backlog: int) -> socket.socket:
    """A socket that listens at `host:port`; raises ValueError for an invalid address."""
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return ResilientSocket.adopt(socket.create_server((host, port), family=family, backlog=backlog))


async def listen_with_retries(address: str, backlog: int) -> socket.socket:
    """Like `listen_at`, but retries for a while if the address is temporarily unavailable.

    It is unavailable, for example, while a previous process exits.
    """
    return await retry(lambda: listen_at(address, backlog), _is_transient)


async def bound_address(listener: socket.socket) -> str:
    """The `host:port` that a listener is bound to."""
    return await retry(lambda: "{}:{}".format(*listener.getsockname()[:2]), _is_transient)


def _is_transient(error: Exception) -> bool:
    """Whether another attempt to use an address may succeed."""
    return isinstance(error, OSError) and error.errno in transient_errors.LOCAL


def stream_protocols(serve: Serve, read_bytes: int) -> ProtocolFactory:
    """A factory of protocols that call `serve` with the streams of each connection, in a task of its own."""

    def protocol() -> asyncio.StreamReaderProtocol:
        loop = asyncio.get_running_loop()
        return asyncio.StreamReaderProtocol(Reader(limit=read_bytes, loop=loop), serve, loop=loop)

    return protocol


def counted_protocols(serve: Serve, line_bytes: int, memory: MemoryBudget) -> ProtocolFactory:
    """Like `stream_protocols`, with readers whose unread input is counted; `serve` closes their accounts."""

    def protocol() -> asyncio.StreamReaderProtocol:
        reader = CountedReader(line_bytes, memory.open_account())
        return asyncio.StreamReaderProtocol(reader, serve, loop=asyncio.get_running_loop())

    return protocol


class Acceptor:
    """Accepts connections and gives each a protocol.

    After a temporary shortage of descriptors or memory, asyncio's own server accepts nothing for a second,
    which delays the answers on new connections. This class retries at once, and with a pause of
    `RETRY_PAUSE_US` after `ATTEMPTS` failures in a row. The pause is short, since the last connections of a
    long queue wait for every pause before them.

    Any other error belongs to a single connection, which the system has dropped already: accept(2) asks to
    treat such errors like EAGAIN.
    """

    def __init__(
        self,
        listener: socket.socket,
        protocol: ProtocolFactory,
        *,
        name: str,
        accept_batch: int,
        log: PartLogger,
        counters: Counters,
        has_room: Callable[[], bool] = lambda: True,
        make_room: Callable[[], bool] = lambda: True,
        on_exhausted: Callable[[], object] = lambda: None,
        max_read_bytes: int | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """`name` is the prefix of the counters' names.

        While `has_room` is false, `make_room` is called for each waiting connection; if it returns false, the
        connection stays in the queue. `on_exhausted` is called after the process was without a free
        descriptor for a while, and may free one. `max_read_bytes` bounds the bytes read from a connection at
        a time, before the others are served.
        """
        listener.setblocking(False)
        self.listener, self.protocol, self.name, self.tls = listener, protocol, name, tls
        self.accept_batch, self.max_read_bytes = accept_batch, max_read_bytes
        self.log, self.counters, self.on_exhausted = log, counters, on_exhausted
        self.has_room, self.make_room = has_room, make_room
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()
        self.pause: asyncio.TimerHandle | None = None
        self.failed = 0  # attempts that failed in a row
        # When the descriptors ran out, or when `on_exhausted` was last called since then.
        self.exhausted_since: float | None = None
        self.closed = False
        self.loop.add_reader(listener.fileno(), self._ready)

    @property
    def sockets(self) -> tuple[socket.socket, ...]:
        """Like `asyncio.Server.sockets`."""
        return () if self.closed else (self.listener,)

    def stop(self) -> None:
        """Stops accepting; the listening socket stays open."""
        if self.closed:
            return
        self.closed = True
        if self.pause is not None:
            self.pause.cancel()
        self.loop.remove_reader(self.listener.fileno())

    def close(self, last: int = 0) -> None:
        """Stops listening; established connections are kept.

        Up to `last` connections in the accept queue are accepted first: closing the listening socket would
        reset them, and the requests already written to them would be lost.
        """
        self.stop()
        if self.listener.fileno() >= 0:
            self._accept_waiting(last)
        self.listener.close()

    def _accept_waiting(self, limit: int) -> None:
        """Accepts up to `limit` connections from the queue, whether there is room or not."""
        failed = 0
        while limit > 0 and failed < ATTEMPTS:
            try:
                connection, _ = self.listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self._log_failure(error)
                failed += 1
                continue
            limit, failed = limit - 1, 0
            self._start(connection)

    def _connection_waits(self) -> bool:
        """Whether there is a connection in the accept queue."""
        return is_readable(self.listener.fileno())

    def _ready(self) -> None:
        """Accepts at most `accept_batch` connections, so that other work is not delayed."""
        for _ in range(self.accept_batch):
            if not self.has_room():
                if not self._connection_waits():
                    return
                if not self.make_room():
                    self.counters[f"{self.name}.accept_without_room"] += 1
                    self._pause()
                    return
            try:
                connection, _ = self.listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self._accept_failed(error)
                if self.failed % ATTEMPTS == 0:
                    self._pause()
                    return
                continue
            self.failed, self.exhausted_since = 0, None
            self._start(connection)

    def _start(self, connection: socket.socket) -> None:
        adopted = ResilientSocket.adopt(connection)
        adopted.max_read_bytes = self.max_read_bytes
        task = self.loop.create_task(self._run(adopted))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _log_failure(self, error: OSError) -> None:
        self.counters[f"{self.name}.accept_failed"] += 1
        name = errno.errorcode.get(error.errno or 0, str(error.errno))
        self.log.rate_limited("accept failed", why=name)

    def _accept_failed(self, error: OSError) -> None:
        """Handles an error of accept(2) and counts it among those in a row."""
        self._log_failure(error)
        self.failed += 1
        if error.errno == errno.EMFILE:
            self._without_descriptor()
        else:
            self.exhausted_since = None

    def _without_descriptor(self) -> None:
        """Calls `on_exhausted` only if the shortage lasts: a short one must not cost clients a connection."""
        now = self.loop.time()
        if self.exhausted_since is None:
            self.exhausted_since = now
        elif now - self.exhausted_since >= DESCRIPTOR_WAIT_US / 1e6:
            self.exhausted_since = now
            self.on_exhausted()

    def _pause(self) -> None:
        self.loop.remove_reader(self.listener.fileno())
        self.pause = self.loop.call_later(RETRY_PAUSE_US / 1e6, self._resume)

    def _resume(self) -> None:
        self.pause = None
        self.loop.add_reader(self.listener.fileno(), self._ready)

    async def _run(self, connection: socket.socket) -> None:
        """Sets up one connection and hands it to its protocol."""
        try:
            await self.loop.connect_accepted_socket(self.protocol, connection, ssl=self.tls)
        except OSError as error:  # the connection is gone already, or its TLS handshake failed
            connection.close()
            self._log_failure(error)
