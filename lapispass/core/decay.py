"""Sums that decay with time: half of one is left after each half-life. Reading changes nothing."""

from __future__ import annotations

from dataclasses import dataclass
from math import log

from lapispass.core.units import SECOND_US


@dataclass(slots=True)
class DecayingSum:
    """A decaying sum, brought up to date where it is added to."""

    half_life_us: int
    total: float = 0.0
    updated_at: int = 0

    def read(self, now: int) -> float:
        """What is left of the sum at `now` (microseconds)."""
        return self.total * float(0.5 ** ((now - self.updated_at) / self.half_life_us))

    def add(self, now: int, amount: float) -> None:
        self.total, self.updated_at = self.read(now) + amount, now

    def per_second(self, now: int) -> float:
        """The steady rate of additions that would keep the sum as it is."""
        return self.read(now) * log(2) * SECOND_US / self.half_life_us


class Traffic:
    """What was met at a server of late: tries, those that were done, and the time spent on these (us)."""

    __slots__ = ("succeeded", "time_us", "tries")

    def __init__(self, half_life_us: int, now: int) -> None:
        self.tries = DecayingSum(half_life_us, updated_at=now)
        self.succeeded = DecayingSum(half_life_us, updated_at=now)
        self.time_us = DecayingSum(half_life_us, updated_at=now)

    def add(self, now: int, tries: int, lost: int, took_us: int) -> None:
        self.tries.add(now, tries)
        self.succeeded.add(now, tries - lost)
        self.time_us.add(now, (tries - lost) * took_us)
