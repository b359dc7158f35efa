"""What the parts of a controller share: the time, a source of random numbers, and the orders of the turn."""

from __future__ import annotations

from dataclasses import dataclass, field

from lapispass import interface
from lapispass.core.random_source import RandomSource


@dataclass(slots=True)
class Turn:
    """The current turn. Times are in microseconds."""

    now: int
    random: RandomSource
    last_report_at: int  # when a report about any server was last received
    orders: list[interface.Order] = field(default_factory=list)
    updated_servers: set[interface.BackendId] = field(
        default_factory=set
    )  # servers with events since their last evaluation
    awaiting_reports: set[interface.BackendId] = field(
        default_factory=set
    )  # servers to evaluate when the next report is received

    def report_received(self) -> None:
        """Notes a report about some server: silent servers can now be told apart from delayed reports."""
        self.last_report_at = self.now
        self.updated_servers |= self.awaiting_reports
        self.awaiting_reports.clear()

    def log(self, text: str) -> None:
        self.orders.append(interface.LogMessage(text))
