"""Attempts at a start or a reload that are made again while what made them fail may pass."""

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
    """For how long attempts are made again, and the pause between two of them, in seconds."""

    wait_s: float = 3.0
    pause_s: float = 0.05


START = RetryWindow()


class _Attempts(Generic[T]):
    """Attempts up to the end of a window; between two of them the caller waits."""

    result: T

    def __init__(self, attempt: Callable[[], T], is_transient: IsTransient, window: RetryWindow) -> None:
        self.attempt, self.is_transient = attempt, is_transient
        self.until = time.monotonic() + window.wait_s

    def succeeded(self) -> bool:
        """Makes an attempt; raises its error where the window is over or the error is none that may pass."""
        try:
            self.result = self.attempt()
        except Exception as error:
            if not self.is_transient(error) or time.monotonic() >= self.until:
                raise
            return False
        return True


def retry_blocking(attempt: Callable[[], T], is_transient: IsTransient, window: RetryWindow = START) -> T:
    """What the attempt gives; it blocks between attempts, so it is for a process that does nothing else yet.

    Raises the error of the last attempt, at once where it is none that may pass.
    """
    attempts = _Attempts(attempt, is_transient, window)
    while not attempts.succeeded():
        time.sleep(window.pause_s)
    return attempts.result


async def retry(attempt: Callable[[], T], is_transient: IsTransient, window: RetryWindow = START) -> T:
    """As `retry_blocking`, on a loop that goes on meanwhile."""
    attempts = _Attempts(attempt, is_transient, window)
    while not attempts.succeeded():
        await asyncio.sleep(window.pause_s)
    return attempts.result
