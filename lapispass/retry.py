"""Attempts at a start or a reload that are made again while what made them fail may pass."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

T = TypeVar("T")
MayPass = Callable[[Exception], bool]


@dataclass(frozen=True, slots=True)
class RetryWindow:
    """For how long attempts are made again, and the pause between two of them, in seconds."""

    wait_s: float = 3.0
    pause_s: float = 0.05


START = RetryWindow()


def retry_blocking(attempt: Callable[[], T], may_pass: MayPass, window: RetryWindow = START) -> T:
    """What the attempt gives; it blocks between attempts, so it is for a process that does nothing else yet.

    Raises the error of the last attempt, at once where it is none that may pass.
    """
    until = time.monotonic() + window.wait_s
    while True:
        try:
            return attempt()
        except Exception as error:
            if not may_pass(error) or time.monotonic() >= until:
                raise
        time.sleep(window.pause_s)


async def retry(attempt: Callable[[], T], may_pass: MayPass, window: RetryWindow = START) -> T:
    """As `retry_blocking`, on a loop that goes on meanwhile."""
    loop = asyncio.get_running_loop()
    until = loop.time() + window.wait_s
    while True:
        try:
            return attempt()
        except Exception as error:
            if not may_pass(error) or loop.time() >= until:
                raise
        await asyncio.sleep(window.pause_s)
