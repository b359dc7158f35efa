"""The event loop of a process: registrations that are made again, and a close that raises nothing."""

from __future__ import annotations

import asyncio
import socket

from lapispass.core import momentary
from lapispass.net.resilient_socket import ResilientSocket
from lapispass.net.retrying_selector import RetryingSelector
from lapispass.retry import retry_blocking

SELF_PIPE = ("_ssock", "_csock")  # asyncio's own two sockets, by which signals wake the loop


class EventLoop(asyncio.SelectorEventLoop):
    """asyncio's loop on a `RetryingSelector`; an error of close does not end the process by a fault."""

    def __init__(self) -> None:
        super().__init__(RetryingSelector())
        for name in SELF_PIPE:
            plain = getattr(self, name, None)
            if isinstance(plain, socket.socket):
                setattr(self, name, ResilientSocket.adopt(plain))


def new_event_loop() -> asyncio.AbstractEventLoop:
    """An event loop. Its descriptors may not be had for a moment; a start must not fail for that."""
    return retry_blocking(
        EventLoop, lambda error: isinstance(error, OSError) and error.errno in momentary.LOCAL
    )
