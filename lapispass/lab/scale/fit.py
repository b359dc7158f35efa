"""A cost as a base and a slope, by least squares, and whether a straight line describes it at all. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

STRAIGHT = 0.1  # the largest residual of a straight fit, as a part of the largest cost
FEWEST = 3  # different counts that show whether a line is straight


@dataclass(frozen=True, slots=True)
class Fit:
    """`cost = base + slope x count`. The residual is the largest one, as a part of the largest cost."""

    base: float
    slope: float
    residual: float
    straight: bool  # only then the fit may be used

    def at(self, count: float) -> float:
        return self.base + self.slope * count


def line(counts: Sequence[float], costs: Sequence[float]) -> Fit:
    """The line nearest to the points; a ValueError without two different counts."""
    if len(set(counts)) < 2:
        raise ValueError("a line needs two different counts")
    mean_count, mean_cost = sum(counts) / len(counts), sum(costs) / len(costs)
    spread = sum((count - mean_count) ** 2 for count in counts)
    together = sum(
        (count - mean_count) * (cost - mean_cost) for count, cost in zip(counts, costs, strict=True)
    )
    slope = together / spread
    base = mean_cost - slope * mean_count
    largest = max(abs(cost) for cost in costs)
    worst = max(abs(cost - base - slope * count) for count, cost in zip(counts, costs, strict=True))
    residual = worst / largest if largest else 0.0
    return Fit(base, slope, residual, len(set(counts)) >= FEWEST and residual <= STRAIGHT)
