"""The event loop of a process, which survives transient failures of epoll_ctl(2) and close(2)."""

from __future__ import annotations

import asyncio
import socket

from lapispass.core import transient_errors
from lapispass.net.resilient_socket import ResilientSocket
from lapispass.net.retrying_selector import RetryingSelector
from lapispass.retry import retry_blocking

SELF_PIPE = ("_ssock", "_csock")  # the loop's own socket pair, by which signals wake it


class EventLoop(asyncio.SelectorEventLoop):
    """asyncio's loop on a `RetryingSelector`; an error of close(2) does not end the process."""

    def __init__(self) -> None:
        super().__init__(RetryingSelector())
        for name in SELF_PIPE:
            plain = getattr(self, name, None)
            if isinstance(plain, socket.socket):
                setattr(self, name, ResilientSocket.adopt(plain))


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Creates an event loop. A temporary lack of descriptors is retried, so that the start does not fail."""
    return retry_blocking(
        EventLoop, lambda error: isinstance(error, OSError) and error.errno in transient_errors.LOCAL
    )
