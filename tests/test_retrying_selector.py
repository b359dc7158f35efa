"""No failing system call of the selector or of a socket costs an accepted connection."""

from __future__ import annotations

import asyncio
import errno
import os
import random
import select
import selectors
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, suppress

import pytest
from parties import play

from lapispass.net import call_failures
from lapispass.net.resilient_socket import ResilientSocket
from lapispass.net.retrying_selector import PAUSE_S, RetryingSelector

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE


class FailingEpoll:
    """An epoll object whose changes fail with the errno that `fails` returns, if not 0."""

    def __init__(self, fails: Callable[[], int]) -> None:
        self.real, self.fails = select.epoll(), fails

    def change(self, call: Callable[..., None], *arguments: int) -> None:
        if error := self.fails():
            raise OSError(error, errno.errorcode[error])
        call(*arguments)

    def register(self, descriptor: int, mask: int) -> None:
        self.change(self.real.register, descriptor, mask)

    def modify(self, descriptor: int, mask: int) -> None:
        self.change(self.real.modify, descriptor, mask)

    def unregister(self, descriptor: int) -> None:
        self.change(self.real.unregister, descriptor)

    def poll(self, timeout: float, most: int) -> list[tuple[int, int]]:
        return self.real.poll(timeout, most)

    def fileno(self) -> int:
        return self.real.fileno()

    def close(self) -> None:
        self.real.close()


def selector(fails: Callable[[], int]) -> RetryingSelector:
    return RetryingSelector(FailingEpoll(fails))  # type: ignore[arg-type]


def pairs(count: int, stack: ExitStack) -> Iterator[tuple[socket.socket, socket.socket]]:
    for _ in range(count):
        left, right = socket.socketpair()
        yield stack.enter_context(left), stack.enter_context(right)


@pytest.mark.parametrize("seed", range(20))
def test_select_tells_what_is_ready_however_often_epoll_ctl_fails(seed: int) -> None:
    """No descriptor is missed, and none is reported after it was unregistered."""
    chance = random.Random(seed)
    with ExitStack() as stack:
        tested = selector(lambda: chance.choice((0, errno.ENOMEM, errno.ENOSPC)))
        stack.callback(tested.close)
        peers = dict(pairs(6, stack))
        wanted: dict[socket.socket, int] = {}
        unread = dict.fromkeys(peers, False)
        for _ in range(300):
            own = chance.choice(list(peers))
            if chance.random() < 0.3 and not unread[own]:
                peers[own].send(b"x")
                unread[own] = True
            elif chance.random() < 0.3 and unread[own]:
                own.recv(10)
                unread[own] = False
            elif own not in wanted:
                wanted[own] = chance.choice((READ, WRITE, READ | WRITE))
                tested.register(own, wanted[own], own)
            elif chance.random() < 0.5:
                wanted[own] = chance.choice((READ, WRITE, READ | WRITE))
                tested.modify(own.fileno(), wanted[own], own)
            else:
                del wanted[own]
                tested.unregister(own)
            ready = {key.data: events for key, events in tested.select(0)}
            expected = {
                each: events & (WRITE | (READ if unread[each] else 0)) for each, events in wanted.items()
            }
            assert ready == {each: events for each, events in expected.items() if events}
        assert {key.data for key in tested.get_map().values()} == set(wanted)


def test_a_wait_ends_with_what_comes_while_every_registration_is_refused() -> None:
    """The loop must not sleep while input arrives on a descriptor that epoll does not watch."""
    with ExitStack() as stack:
        tested = selector(lambda: errno.ENOMEM)
        stack.callback(tested.close)
        ((own, peer),) = pairs(1, stack)
        tested.register(own, READ, "own")
        assert tested.select(0.01) == []
        peer.send(b"x")
        assert [key.data for key, _ in tested.select(5)] == ["own"]


def test_what_cannot_be_unregistered_does_not_take_the_processor() -> None:
    """The loop must not spin on a descriptor that epoll still reports as writable."""
    failing = [0]
    with ExitStack() as stack:
        tested = selector(lambda: failing[0])
        stack.callback(tested.close)
        ((own, peer),) = pairs(1, stack)
        tested.register(own, WRITE, "connecting")
        failing[0] = errno.ENOMEM
        tested.unregister(own)
        tested.register(own, READ, "reading")
        rounds, until = 0, time.monotonic() + 0.2
        while time.monotonic() < until:
            assert tested.select(0.05) == []
            rounds += 1
        assert rounds <= 0.2 / PAUSE_S + 1
        peer.send(b"x")
        assert [(key.data, events) for key, events in tested.select(5)] == [("reading", READ)]
        failing[0] = 0
        assert [(key.data, events) for key, events in tested.select(5)] == [("reading", READ)]


def test_errors_that_do_not_pass_are_raised_and_leave_nothing_registered() -> None:
    with ExitStack() as stack:
        tested = selector(lambda: errno.EPERM)
        stack.callback(tested.close)
        ((own, _),) = pairs(1, stack)
        with pytest.raises(PermissionError):
            tested.register(own, READ)
        with pytest.raises(KeyError):
            tested.get_key(own)
        with pytest.raises(KeyError):
            tested.unregister(own)
        with pytest.raises(ValueError, match="Invalid events"):
            tested.register(own, 0)


class Failing(ResilientSocket):
    """A socket whose system calls fail with `error` for `times` times each."""

    error, times = errno.ENOBUFS, 3

    def fail(self, call: str) -> None:
        left = self.__dict__.setdefault("left", {}).setdefault(call, self.times)
        if left > 0:
            self.__dict__["left"][call] -= 1
            raise OSError(self.error, errno.errorcode[self.error])


class Gone(ResilientSocket):
    """A socket whose peer has already reset the connection when the stream is shut down."""

    ended = False

    def shutdown(self, how: int) -> None:
        self.ended = True
        self.detach_peer()
        super().shutdown(how)

    def detach_peer(self) -> None:
        """Replaces the socket by an unconnected one, so that shutdown(2) fails with ENOTCONN."""
        with socket.socket(socket.AF_INET) as unconnected:
            os.dup2(unconnected.fileno(), self.fileno())


def failing_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes the underlying calls of `Failing` sockets fail; their methods are those of `ResilientSocket`."""
    for name in ("recv", "send", "setsockopt", "close"):
        plain = getattr(socket.socket, name)

        def call(
            self: socket.socket, *arguments: object, name: str = name, plain: Callable = plain
        ) -> object:
            if isinstance(self, Failing):
                if name == "close":
                    plain(self)
                self.fail(name)
            return plain(self, *arguments)

        monkeypatch.setattr(socket.socket, name, call, raising=False)


def test_a_request_is_answered_although_each_call_on_its_connection_fails(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """asyncio by itself drops a connection for ENOBUFS of recv, send or setsockopt."""
    failing_calls(monkeypatch)

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(await reader.readline())
        await writer.drain()
        writer.close()

    async def test() -> None:
        loop = asyncio.get_running_loop()
        own, peer = socket.socketpair()
        reader = asyncio.StreamReader()
        transport, _ = await loop.connect_accepted_socket(
            lambda: asyncio.StreamReaderProtocol(reader, answer), Failing.adopt(own)
        )
        peer.setblocking(False)
        await loop.sock_sendall(peer, b"PING\n")
        async with asyncio.timeout(2):
            assert await loop.sock_recv(peer, 100) == b"PING\n"
            assert await loop.sock_recv(peer, 100) == b""  # closed, although close failed
        assert transport.is_closing()
        peer.close()

    before = call_failures.counted()
    play(test())
    new = {name for name, count in call_failures.counted().items() if count > before.get(name, 0)}
    assert new == {f"system.{call}.ENOBUFS" for call in ("recv", "send", "close")} | (
        {"system.setsockopt.ENOBUFS"} & new  # no option is set on a Unix socket
    )


async def test_a_peer_that_is_gone_when_our_side_ends_its_stream_leaves_no_trace() -> None:
    """A shutdown that fails with ENOTCONN in a callback of asyncio must not be logged as a traceback.

    conftest.py checks that the log has no tracebacks.
    """
    loop = asyncio.get_running_loop()
    own, peer = socket.socketpair()
    gone = Gone.adopt(own)
    transport, _ = await loop.connect_accepted_socket(asyncio.Protocol, gone)
    transport.pause_reading()
    while not transport.get_write_buffer_size():
        transport.write(bytes(1 << 16))
    transport.write_eof()  # takes effect in a callback, after all was written
    peer.setblocking(False)
    async with asyncio.timeout(5):
        while not gone.ended:
            with suppress(BlockingIOError):
                peer.recv(1 << 16)
            await asyncio.sleep(0)
    transport.abort()
    peer.close()
    await asyncio.sleep(0)
