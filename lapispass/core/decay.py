"""A sum that decays with time: half of it is left after each half-life."""

from __future__ import annotations

from dataclasses import dataclass
from math import log

from lapispass.core.units import SECOND


@dataclass(slots=True)
class DecayingSum:
    """A decaying sum, brought up to date when it is read."""

    half_us: int
    total: float = 0.0
    at: int = 0

    def read(self, now: int) -> float:
        self.total *= 0.5 ** ((now - self.at) / self.half_us)
        self.at = now
        return self.total

    def add(self, now: int, amount: float) -> None:
        self.total = self.read(now) + amount

    def per_second(self, now: int) -> float:
        return self.read(now) * log(2) * SECOND / self.half_us
