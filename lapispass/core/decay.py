"""Sums that decay with time: half of one is left after each half-life. Reading changes nothing."""

from __future__ import annotations

from dataclasses import dataclass
from math import log

from lapispass.core.units import SECOND_US


@dataclass(slots=True)
class DecayingSum:
    """A decaying sum, brought up to date where it is added to."""

    half_us: int
    total: float = 0.0
    at: int = 0

    def read(self, now: int) -> float:
        """What is left of the sum at `now` (microseconds)."""
        return self.total * float(0.5 ** ((now - self.at) / self.half_us))

    def add(self, now: int, amount: float) -> None:
        self.total, self.at = self.read(now) + amount, now

    def per_second(self, now: int) -> float:
        """The steady rate of additions that would keep the sum as it is."""
        return self.read(now) * log(2) * SECOND_US / self.half_us


class Traffic:
    """What was met at a server of late: tries, those that were done, and the time spent on these (us)."""

    __slots__ = ("done", "spent", "tries")

    def __init__(self, half_us: int, now: int) -> None:
        self.tries = DecayingSum(half_us, at=now)
        self.done = DecayingSum(half_us, at=now)
        self.spent = DecayingSum(half_us, at=now)

    def add(self, now: int, tries: int, lost: int, took_us: int) -> None:
        self.tries.add(now, tries)
        self.done.add(now, tries - lost)
        self.spent.add(now, (tries - lost) * took_us)
