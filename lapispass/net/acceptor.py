"""Accepts connections at a listening socket, whatever `accept` fails with."""

from __future__ import annotations

import asyncio
import errno
import socket
import ssl
from collections.abc import Awaitable, Callable

from lapispass.core import momentary
from lapispass.net.counters import Counters
from lapispass.net.http import split_address
from lapispass.net.log import PartLogger
from lapispass.net.resilient_socket import ResilientSocket
from lapispass.net.streams import Reader, is_readable
from lapispass.retry import retry

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
ProtocolFactory = Callable[[], asyncio.BaseProtocol]

RETRY_PAUSE_US = 5_000  # before the next attempt, where there is no room or accept fails again and again
ATTEMPTS = 8  # that fail in a row, before a pause
DESCRIPTOR_WAIT_US = (
    300_000  # without a descriptor, before `on_exhausted` is called, and between two such calls
)


def listen_at(address: str, backlog: int) -> socket.socket:
    """A socket that listens at `host:port`; a ValueError where that is no address."""
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return ResilientSocket.adopt(socket.create_server((host, port), family=family, backlog=backlog))


async def listen_with_retries(address: str, backlog: int) -> socket.socket:
    """As `listen_at`. An address that cannot be had for a moment, as while a former process ends, is tried
    for a while."""
    return await retry(lambda: listen_at(address, backlog), _is_transient)


async def bound_address(listener: socket.socket) -> str:
    """The `host:port` that a listener has got."""
    return await retry(lambda: "{}:{}".format(*listener.getsockname()[:2]), _is_transient)


def _is_transient(error: Exception) -> bool:
    """Whether a further attempt at an address may succeed."""
    return isinstance(error, OSError) and error.errno in momentary.LOCAL


def stream_protocols(serve: Serve, read_bytes: int) -> ProtocolFactory:
    """A factory of protocols that serve each connection by its streams, in a task of its own."""

    def protocol() -> asyncio.StreamReaderProtocol:
        loop = asyncio.get_running_loop()
        return asyncio.StreamReaderProtocol(Reader(limit=read_bytes, loop=loop), serve, loop=loop)

    return protocol


class Acceptor:
    """Gives each connection a protocol.

    asyncio's own server accepts nothing for a second where descriptors or memory have run out for a moment,
    and answers on new connections come that late. Here the next attempt follows at once, and after `ATTEMPTS`
    in a row `PAUSE_US` later: the last ones of a long queue wait for every pause before them. An error that
    is no shortage is that of one connection, which the system has dropped already (accept(2) asks to treat
    such errors like EAGAIN).
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
        """`name` begins the names of the counters. Without `has_room`, `make_room` is asked for each
        connection that waits; where it makes none, the connection waits on. `on_exhausted` may free a
        descriptor of this process, once it has had none for a while. `max_read_bytes` bounds the bytes that
        one connection gives at a time, until others have their turn."""
        listener.setblocking(False)
        self.listener, self.protocol, self.name, self.tls = listener, protocol, name, tls
        self.accept_batch, self.max_read_bytes = accept_batch, max_read_bytes
        self.log, self.counters, self.on_exhausted = log, counters, on_exhausted
        self.has_room, self.make_room = has_room, make_room
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()
        self.pause: asyncio.TimerHandle | None = None
        self.failed = 0  # attempts in a row
        self.exhausted_since: float | None = None  # without a descriptor, and nothing was freed since
        self.closed = False
        self.loop.add_reader(listener.fileno(), self._ready)

    @property
    def sockets(self) -> tuple[socket.socket, ...]:
        """As `asyncio.Server.sockets`."""
        return () if self.closed else (self.listener,)

    def stop(self) -> None:
        """Accepts no more; the listening socket stays open."""
        if self.closed:
            return
        self.closed = True
        if self.pause is not None:
            self.pause.cancel()
        self.loop.remove_reader(self.listener.fileno())

    def close(self, last: int = 0) -> None:
        """Stops listening; connections that stand go on.

        Up to `last` connections that wait in the queue are accepted first: what was written on them would be
        lost with the listening socket.
        """
        self.stop()
        if self.listener.fileno() >= 0:
            self._accept_waiting(last)
        self.listener.close()

    def _accept_waiting(self, most: int) -> None:
        """So many of the connections in the queue, whether there is room or not."""
        failed = 0
        while most > 0 and failed < ATTEMPTS:
            try:
                connection, _ = self.listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self._log_failure(error)
                failed += 1
                continue
            most, failed = most - 1, 0
            self._start(connection)

    def _connection_waits(self) -> bool:
        """Whether a connection waits in the queue."""
        return is_readable(self.listener.fileno())

    def _ready(self) -> None:
        """Connections wait in the queue: takes so many of them, that other work has its turn."""
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
        """accept(2) has failed, perhaps not for the first time in a row."""
        self._log_failure(error)
        self.failed += 1
        if error.errno == errno.EMFILE:
            self._without_descriptor()
        else:
            self.exhausted_since = None

    def _without_descriptor(self) -> None:
        """A shortage that passes must not cost other clients their connections."""
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
        """Sets up one connection; its protocol has it from there."""
        try:
            await self.loop.connect_accepted_socket(self.protocol, connection, ssl=self.tls)
        except OSError as error:  # it is gone already, or its TLS handshake failed
            connection.close()
            self._log_failure(error)
