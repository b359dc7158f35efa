"""A seeded source of random numbers, the same on every machine."""

from __future__ import annotations


class RandomSource:
    """A linear congruential generator; its high bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = seed

    def draw(self) -> float:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        return (self.state >> 33) / (1 << 31)
