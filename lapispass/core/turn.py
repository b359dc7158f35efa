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
    last_report_at: int  # when a report about any server last came
    orders: list[interface.Order] = field(default_factory=list)
    updated_servers: set[interface.BackendId] = field(
        default_factory=set
    )  # servers with news since they were looked at
    awaiting_reports: set[interface.BackendId] = field(
        default_factory=set
    )  # to be looked at with the next report

    def report_received(self) -> None:
        """A report about some server has come: silence of others can be told from late reports now."""
        self.last_report_at = self.now
        self.updated_servers |= self.awaiting_reports
        self.awaiting_reports.clear()

    def log(self, text: str) -> None:
        self.orders.append(interface.LogMessage(text))
