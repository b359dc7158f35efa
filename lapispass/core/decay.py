"""Sums that decay exponentially: half of a sum is left after each half-life. Reading changes nothing."""

from __future__ import annotations

from dataclasses import dataclass
from math import log

from lapispass.core.units import SECOND_US


@dataclass(slots=True)
class DecayingSum:
    """A decaying sum; `total` is its value at `updated_at`, the time of the last addition (microseconds)."""

    half_life_us: int
    total: float = 0.0
    updated_at: int = 0

    def read(self, now: int) -> float:
        """The value of the sum at `now`."""
        return self.total * float(0.5 ** ((now - self.updated_at) / self.half_life_us))

    def add(self, now: int, amount: float) -> None:
        """Adds to the sum as decayed until `now`."""
        self.total, self.updated_at = self.read(now) + amount, now

    def per_second(self, now: int) -> float:
        """The rate of additions a second that would keep the sum constant."""
        return self.read(now) * log(2) * SECOND_US / self.half_life_us


class Traffic:
    """Recent tries at a server: all, those that succeeded, and the total time of these (microseconds)."""

    __slots__ = ("succeeded", "time_us", "tries")

    def __init__(self, half_life_us: int, now: int) -> None:
        self.tries = DecayingSum(half_life_us, updated_at=now)
        self.succeeded = DecayingSum(half_life_us, updated_at=now)
        self.time_us = DecayingSum(half_life_us, updated_at=now)

    def add(self, now: int, tries: int, lost: int, took_us: int) -> None:
        """Adds one report; `took_us` is the mean time of the tries that succeeded."""
        self.tries.add(now, tries)
        self.succeeded.add(now, tries - lost)
        self.time_us.add(now, (tries - lost) * took_us)
