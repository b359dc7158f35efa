"""Rate limits by the generic cell rate algorithm (ITU-T I.371, virtual scheduling), without timer or queue.

A limiter stores a single time, the theoretical arrival time of the next event. A refusal can therefore always
say when to come back.
"""

from __future__ import annotations

from dataclasses import dataclass

from lapispass.core.shared_types import NEVER, SECOND


@dataclass(slots=True)
class RateLimiter:
    """Limits events to a rate per second, with a burst."""

    per_s: float
    burst: int = 1
    next_arrival_us: float = 0.0  # theoretical arrival time of the next event

    @property
    def interval_us(self) -> float:
        return SECOND / self.per_s if self.per_s > 0 else float(NEVER)

    def wait_us(self, now: int) -> int:
        """How long until the next event is allowed; 0 if it is allowed now."""
        if self.per_s <= 0:
            return NEVER
        return max(0, int(self.next_arrival_us - (self.burst - 1) * self.interval_us - now))

    def take(self, now: int) -> bool:
        """Counts an event if it is allowed now, and returns whether it is."""
        if self.wait_us(now):
            return False
        self.next_arrival_us = max(self.next_arrival_us, now) + self.interval_us
        return True

    def give_back(self) -> None:
        """Takes back an event that was counted but did not happen."""
        self.next_arrival_us -= self.interval_us

    def set(self, now: int, per_s: float, burst: int) -> None:
        """Changes the rate. Events already counted ahead of time now count at the new rate.

        The change grants no fresh burst.
        """
        backlog = max(0.0, self.next_arrival_us - now) / self.interval_us if self.per_s > 0 else 0.0
        self.per_s, self.burst = per_s, max(1, burst)
        if per_s > 0:
            self.next_arrival_us = now + min(backlog, self.burst + 1.0) * self.interval_us


class ReturnSlots:
    """Assigns times at which refused or disconnected clients may return: one slot after another.

    Each time is drawn at random within the interval of its slot. So two clients do not get the same instant,
    and no two incarnations of a gate hand out the same pattern, since their seeds differ. A delay beyond
    `max_us` is replaced by one in the last half of the allowed range: no client has to stay away for longer,
    and admission holds back those that return too early.
    """

    def __init__(self, per_s: float, min_us: int, max_us: int, seed: int) -> None:
        self.per_s, self.min_us, self.max_us = per_s, min_us, max_us
        self.random_state, self.next_slot_us = seed, 0.0

    def draw(self) -> float:
        """A random number from 0 up to 1: the high bits of a linear congruential generator."""
        self.random_state = (self.random_state * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        return (self.random_state >> 33) / (1 << 31)

    def set(self, per_s: float, min_us: int, max_us: int) -> None:
        self.per_s, self.min_us, self.max_us = per_s, min_us, max_us

    def delay_us(self, now: int) -> int:
        """Takes the next slot and returns the delay until it."""
        interval = SECOND / self.per_s if self.per_s > 0 else float(self.max_us)
        begin = max(self.next_slot_us, float(now + self.min_us))
        self.next_slot_us = begin + interval
        delay = begin - now + self.draw() * interval
        if delay > self.max_us:
            half = (self.max_us - self.min_us) / 2
            delay = self.max_us - self.draw() * half
            self.next_slot_us = min(self.next_slot_us, float(now + self.max_us))
        return int(max(self.min_us, delay))
