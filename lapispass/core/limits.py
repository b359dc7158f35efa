"""Rates as the generic cell rate algorithm has them (ITU-T I.371, virtual scheduling): no timer, no queue.

A limiter keeps one time, the theoretical arrival of the next one. So a refusal can always say when to come
back.
"""

from __future__ import annotations

from dataclasses import dataclass

from lapispass.core.shared_types import NEVER, SECOND


@dataclass(slots=True)
class RateLimiter:
    """So many a second, and so many at once."""

    per_s: float
    burst: int = 1
    next_arrival_us: float = 0.0  # theoretical arrival time of the next one

    @property
    def interval_us(self) -> float:
        return SECOND / self.per_s if self.per_s > 0 else float(NEVER)

    def wait_us(self, now: int) -> int:
        """How long until one fits; 0 if one fits now."""
        if self.per_s <= 0:
            return NEVER
        return max(0, int(self.next_arrival_us - (self.burst - 1) * self.interval_us - now))

    def take(self, now: int) -> bool:
        """Takes one if it fits."""
        if self.wait_us(now):
            return False
        self.next_arrival_us = max(self.next_arrival_us, now) + self.interval_us
        return True

    def give_back(self) -> None:
        """One that was taken has come to nothing."""
        self.next_arrival_us -= self.interval_us

    def set(self, now: int, per_s: float, burst: int) -> None:
        """Another rate from now on: what is owed is owed at the new pace, and no new burst is given for
        it."""
        owed = max(0.0, self.next_arrival_us - now) / self.interval_us if self.per_s > 0 else 0.0
        self.per_s, self.burst = per_s, max(1, burst)
        if per_s > 0:
            self.next_arrival_us = now + min(owed, self.burst + 1.0) * self.interval_us


class ReturnSlots:
    """When those that are turned away or closed may come back: one slot after the other, spread by the seed.

    Each slot is drawn from within its own interval, so that two screens never get the same instant, and no
    two lives of a gate hand out the same pattern. What lies beyond `most_us` is folded back over the last
    half of the span: nobody is told to stay away for longer, and admission holds back what comes too soon.
    """

    def __init__(self, per_s: float, least_us: int, most_us: int, seed: int) -> None:
        self.per_s, self.min_us, self.max_us = per_s, least_us, most_us
        self.random_state, self.next_slot_us = seed, 0.0

    def draw(self) -> float:
        """From 0 up to 1; a linear congruential generator, its high bits."""
        self.random_state = (self.random_state * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        return (self.random_state >> 33) / (1 << 31)

    def set(self, per_s: float, least_us: int, most_us: int) -> None:
        self.per_s, self.min_us, self.max_us = per_s, least_us, most_us

    def delay_us(self, now: int) -> int:
        """From now until the slot of whoever asks; the slot is taken."""
        every = SECOND / self.per_s if self.per_s > 0 else float(self.max_us)
        begin = max(self.next_slot_us, float(now + self.min_us))
        self.next_slot_us = begin + every
        delay = begin - now + self.draw() * every
        if delay > self.max_us:
            half = (self.max_us - self.min_us) / 2
            delay = self.max_us - self.draw() * half
            self.next_slot_us = min(self.next_slot_us, float(now + self.max_us))
        return int(max(self.min_us, delay))
