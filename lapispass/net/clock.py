"""The time, as every front hands it to the decisions."""

from __future__ import annotations

import time


class Clock:
    """Unix time in microseconds, taken once; from there on it runs evenly, whatever the system's does."""

    def __init__(self) -> None:
        self.ahead_ns = self.wall_ahead_ns = time.time_ns() - time.monotonic_ns()

    def wall_step_us(self) -> int:
        """By how much the system's wall clock was stepped since the last call; for the log alone."""
        ahead_ns = time.time_ns() - time.monotonic_ns()
        step_us = (ahead_ns - self.wall_ahead_ns) // 1000
        self.wall_ahead_ns = ahead_ns
        return step_us

    def now(self) -> int:
        return (self.ahead_ns + time.monotonic_ns()) // 1000
