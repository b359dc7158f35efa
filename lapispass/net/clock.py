"""The clock whose time the network code passes to the decision logic."""

from __future__ import annotations

import time


class Clock:
    """Unix time in microseconds: the wall clock at the start, advanced by the monotonic clock.

    Later steps of the wall clock do not change it.
    """

    def __init__(self) -> None:
        self.ahead_ns = self.wall_ahead_ns = time.time_ns() - time.monotonic_ns()

    def wall_step_us(self) -> int:
        """How far the wall clock was stepped since the last call; only for logging."""
        ahead_ns = time.time_ns() - time.monotonic_ns()
        step_us = (ahead_ns - self.wall_ahead_ns) // 1000
        self.wall_ahead_ns = ahead_ns
        return step_us

    def now(self) -> int:
        return (self.ahead_ns + time.monotonic_ns()) // 1000
