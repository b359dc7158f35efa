"""Retries of a start or a reload while it fails with transient errors."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")
IsTransient = Callable[[Exception], bool]


@dataclass(frozen=True, slots=True)
class RetryWindow:
    """How long to retry, and the pause between two attempts, in seconds."""

    wait_s: float = 3.0
    pause_s: float = 0.05


START = RetryWindow()


class _Attempts(Generic[T]):
    """Attempts until the end of a window; the caller waits between them."""

    result: T

    def __init__(self, attempt: Callable[[], T], is_transient: IsTransient, window: RetryWindow) -> None:
        self.attempt, self.is_transient = attempt, is_transient
        self.until = time.monotonic() + window.wait_s

    def succeeded(self) -> bool:
        """Makes an attempt; raises its error if it is not transient or the window is over."""
        try:
            self.result = self.attempt()
        except Exception as error:
            if not self.is_transient(error) or time.monotonic() >= self.until:
                raise
            return False
        return True


def retry_blocking(attempt: Callable[[], T], is_transient: IsTransient, window: RetryWindow = START) -> T:
    """Returns the result of the first successful attempt.

    Blocks between attempts, so it is for a process that does nothing else yet. Raises the error of the last
    attempt; an error that is not transient is raised at once.
    """
    attempts = _Attempts(attempt, is_transient, window)
    while not attempts.succeeded():
        time.sleep(window.pause_s)
    return attempts.result


async def retry(attempt: Callable[[], T], is_transient: IsTransient, window: RetryWindow = START) -> T:
    """Like `retry_blocking`, without blocking the event loop."""
    attempts = _Attempts(attempt, is_transient, window)
    while not attempts.succeeded():
        await asyncio.sleep(window.pause_s)
    return attempts.result
