"""A socket for asyncio's transports whose connection survives transient failures of system calls.

asyncio closes a connection, and drops its unsent bytes, for every error of recv and send except EAGAIN and
EINTR. It also drops a connection if TCP_NODELAY cannot be set, and logs a traceback for an error of close.
"""

from __future__ import annotations

import fcntl
import os
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from lapispass.core import transient_errors
from lapispass.net import call_failures


@contextmanager
def _retried_on_shortage(call: str) -> Iterator[None]:
    """Converts a transient shortage of resources into BlockingIOError, as for EAGAIN."""
    try:
        yield
    except OSError as error:
        if error.errno not in transient_errors.EXHAUSTED:
            raise
        call_failures.note(call, error)
        raise BlockingIOError(error.errno, error.strerror) from None


class ResilientSocket(socket.socket):
    """A non-blocking stream socket.

    Reading and writing raise BlockingIOError for a shortage of memory, so that asyncio tries again.
    `setsockopt` and `close` raise no OSError: the options are optional, and the descriptor is closed whatever
    close(2) returns. Nor does `shutdown`: a peer that is gone needs no end of the stream.
    """

    max_read_bytes: int | None = None  # upper bound of the bytes that one `recv` reads

    @classmethod
    def adopt(cls, plain: socket.socket) -> ResilientSocket:
        """Takes over the descriptor of `plain`, which is detached."""
        family, kind, protocol = plain.family, plain.type, plain.proto
        adopted = cls(family, kind, protocol, fileno=plain.detach())
        adopted.setblocking(False)
        if family in (socket.AF_INET, socket.AF_INET6):
            # asyncio sets this only on sockets that name their protocol, which accepted ones do not
            adopted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return adopted

    def setblocking(self, flag: bool) -> None:
        try:
            super().setblocking(flag)
        except OSError as error:
            call_failures.note("ioctl", error)
            status = fcntl.fcntl(self, fcntl.F_GETFL) & ~os.O_NONBLOCK
            fcntl.fcntl(self, fcntl.F_SETFL, status if flag else status | os.O_NONBLOCK)

    def recv(self, size: int, *flags: int) -> bytes:
        if self.max_read_bytes is not None:
            size = min(size, self.max_read_bytes)
        with _retried_on_shortage("recv"):
            return super().recv(size, *flags)

    def recv_into(self, buffer: Any, *arguments: Any) -> int:
        if self.max_read_bytes is not None:
            buffer = memoryview(buffer)[: self.max_read_bytes]
        with _retried_on_shortage("recv"):
            return super().recv_into(buffer, *arguments)

    def send(self, *arguments: Any) -> int:
        with _retried_on_shortage("send"):
            return super().send(*arguments)

    def sendmsg(self, *arguments: Any) -> int:
        with _retried_on_shortage("send"):
            return super().sendmsg(*arguments)

    def setsockopt(self, *arguments: Any) -> None:
        try:
            super().setsockopt(*arguments)
        except OSError as error:
            call_failures.note("setsockopt", error)

    def shutdown(self, how: int) -> None:
        try:
            super().shutdown(how)
        except OSError as error:
            call_failures.note("shutdown", error)

    def close(self) -> None:
        try:
            super().close()
        except OSError as error:
            call_failures.note("close", error)
