"""What was slow since the last report: answers, turns, relay calls, owners of slices, servers.

A controller that keeps its rules logs little. These figures tell afterwards what was late in an interval, and
what was not. Nothing is decided by them. Times are whole microseconds of the controller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, fields

from lapispass import interface
from lapispass.interface import BackendId


@dataclass
class Figures:
    """One interval. Counts are those of the interval; `without_owner` is how many slices stand so now."""

    answers: int = 0
    late_answers: int = 0
    slowest_answer_us: int = 0
    slowest_turn_us: int = 0
    slowest_call_us: int = 0
    slowest_mark_us: int = 0  # from an order until a proxy has applied it
    joined: int = 0
    left: int = 0
    tries: int = 0  # at servers, as collectors report them
    lost_tries: int = 0
    slowest_server: BackendId | None = None  # by the mean time that a report gives for its answered tries
    slowest_server_us: int = 0
    handovers: int = 0  # that ended
    without_owner: int = 0
    longest_without_owner_us: int = 0  # of handovers that ended, and of those that go on

    def shown(self) -> dict[str, object]:
        """The figures by name, those that are zero left out."""
        return {
            field.name: value
            for field in fields(self)
            if (value := getattr(self, field.name)) not in (0, None)
        }


class IntervalFigures:
    """Gathers the figures of an interval from what is told and ordered."""

    def __init__(self, answer_late_us: int) -> None:
        self.answer_late_us = answer_late_us
        self.current = Figures()
        self.unowned: dict[int, int] = {}  # slice: since when it has had no owner

    def answered(self, took_us: int) -> bool:
        """A request was answered so long after it had come; whether that is late."""
        late = took_us > self.answer_late_us
        self.current.answers += 1
        self.current.late_answers += late
        self.current.slowest_answer_us = max(self.current.slowest_answer_us, took_us)
        return late

    def turn_took(self, took_us: int) -> None:
        """The decisions of one turn were made."""
        self.current.slowest_turn_us = max(self.current.slowest_turn_us, took_us)

    def call_took(self, took_us: int) -> None:
        """The orders of one turn were settled with the relay."""
        self.current.slowest_call_us = max(self.current.slowest_call_us, took_us)

    def event(self, now: int, event: interface.Event) -> None:
        """Something was told."""
        current = self.current
        match event:
            case interface.Met():
                self._met(event)
            case interface.Answered():
                current.slowest_mark_us = max(current.slowest_mark_us, event.took_us)
            case interface.Joined():
                current.joined += 1
            case interface.Left():
                current.left += 1
            case interface.Given(slice_, ours):
                if ours:
                    self.unowned.setdefault(slice_, now)
                else:
                    self.unowned.pop(slice_, None)
            case interface.Held(slice_):
                self.unowned.pop(slice_, None)

    def _met(self, report: interface.Met) -> None:
        current = self.current
        current.tries += report.tries
        current.lost_tries += report.lost
        if report.tries > report.lost and report.took_us > current.slowest_server_us:
            current.slowest_server, current.slowest_server_us = report.backend, report.took_us

    def order(self, now: int, order: interface.Order) -> None:
        """Something was ordered."""
        match order:
            case interface.Empty(table):
                self.unowned.setdefault(table, now)
            case interface.Own(table):
                since = self.unowned.pop(table, None)
                if since is not None:
                    self.current.handovers += 1
                    self._without_owner(now - since)

    def _without_owner(self, for_us: int) -> None:
        self.current.longest_without_owner_us = max(self.current.longest_without_owner_us, for_us)

    def take(self, now: int) -> Figures:
        """The figures of the interval that ends now; the next one begins."""
        taken, self.current = self.current, Figures()
        taken.without_owner = len(self.unowned)
        if self.unowned:
            oldest = now - min(self.unowned.values())
            taken.longest_without_owner_us = max(taken.longest_without_owner_us, oldest)
        return taken
