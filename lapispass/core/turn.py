"""What the parts of a controller share: the time, a source of random numbers, and the orders of the turn."""

from __future__ import annotations

from dataclasses import dataclass, field

from lapispass import interface
from lapispass.core.random_source import RandomSource


@dataclass(slots=True)
class Turn:
    """The turn under way. Times in microseconds."""

    now: int
    random: RandomSource
    heard_at: int  # when a report about any server last came
    orders: list[interface.Order] = field(default_factory=list)
    touched: set[interface.BackendId] = field(
        default_factory=set
    )  # servers with news since they were looked at
    awaiting_reports: set[interface.BackendId] = field(
        default_factory=set
    )  # to be looked at with the next report

    def report_came(self) -> None:
        """A report about some server has come: silence of others can be told from late reports now."""
        self.heard_at = self.now
        self.touched |= self.awaiting_reports
        self.awaiting_reports.clear()

    def log(self, text: str) -> None:
        self.orders.append(interface.Log(text))
