"""A seeded generator of random numbers that gives the same sequence on every machine."""

from __future__ import annotations


class RandomSource:
    """A linear congruential generator; only its high bits are used, as its low bits have short periods."""

    def __init__(self, seed: int) -> None:
        self.state = seed

    def draw(self) -> float:
        """The next number, at least 0 and less than 1."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        return (self.state >> 33) / (1 << 31)
