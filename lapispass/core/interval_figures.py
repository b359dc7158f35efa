"""What was slow since the last report: answers, turns, relay calls, owners of slices, servers.

A controller that keeps its rules logs little. These figures show afterwards what was late in an interval, and
what was not. No decision depends on them. Times are whole microseconds of the controller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, fields

from lapispass import interface
from lapispass.core.handover_state import Progress
from lapispass.core.units import NEVER
from lapispass.core.unserved_slices import UnservedSlices
from lapispass.interface import BackendId


@dataclass
class Figures:
    """The figures of one interval; the log has them under the names of these fields.

    Counts cover the interval, unless their comment says that they are the present number.
    """

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
    slowest_server: BackendId | None = None  # by the mean latency of the successful tries in one report
    slowest_server_us: int = 0
    handovers: int = 0  # that ended
    without_owner: int = 0  # present number of slices whose table names no owner
    longest_without_owner_us: int = 0  # of handovers that ended, and of those that go on
    without_line: int = 0  # present number of unserved slices: without an owner, or with a withdrawn one
    longest_without_line_us: int = 0  # of the times that ended, and of those that go on
    given: int = 0  # slices assigned to this controller
    taken: int = 0  # slices taken from it
    emptied: int = 0  # present number of slices in the first step of a handover
    closing: int = 0  # present number of slices in the last step
    longest_closing_us: int = 0  # how long the longest of these has been in that step
    unanswered: int = 0  # present number of proxies that have not acknowledged the last message
    longest_unanswered_us: int = 0  # age of the oldest unacknowledged message
    longest_unanswered: int | None = None  # the proxy that has not acknowledged it
    turns_without_room: int = 0  # turns that left slices for a later one

    def shown(self) -> dict[str, object]:
        """The figures by name, without those that are zero."""
        return {
            field.name: value
            for field in fields(self)
            if (value := getattr(self, field.name)) not in (0, None)
        }


class IntervalFigures:
    """Gathers the figures of an interval from the events and orders of a controller."""

    def __init__(self, answer_late_us: int, unserved_overdue_us: int = NEVER) -> None:
        """Answers are late after `answer_late_us`, unserved slices overdue after `unserved_overdue_us`."""
        self.answer_late_us = answer_late_us
        self.current = Figures()
        self.unserved = UnservedSlices(unserved_overdue_us)
        self.turns_without_room = 0  # in all, up to the last report
        self.unowned: dict[int, int] = {}  # slice: since when it has had no owner

    def count_answer(self, took_us: int) -> bool:
        """Counts a request that was answered `took_us` after it arrived; returns whether that is late."""
        late = took_us > self.answer_late_us
        self.current.answers += 1
        self.current.late_answers += late
        self.current.slowest_answer_us = max(self.current.slowest_answer_us, took_us)
        return late

    def turn_took(self, took_us: int) -> None:
        """The decisions of one turn took this long."""
        self.current.slowest_turn_us = max(self.current.slowest_turn_us, took_us)

    def call_took(self, took_us: int) -> None:
        """The relay took this long to carry out the orders of one turn."""
        self.current.slowest_call_us = max(self.current.slowest_call_us, took_us)

    def event(self, now: int, event: interface.Event) -> None:
        """Counts an event that was received."""
        current = self.current
        self.unserved.event(now, event)
        match event:
            case interface.ServerReport():
                self._count_tries(event)
            case interface.BarrierAck():
                current.slowest_mark_us = max(current.slowest_mark_us, event.latency_us)
            case interface.ProxyJoined():
                current.joined += 1
            case interface.ProxyLeft():
                current.left += 1
            case interface.SliceGrant(slice_, ours):
                if ours:
                    current.given += 1
                    self.unowned.setdefault(slice_, now)
                else:
                    current.taken += 1
                    self.unowned.pop(slice_, None)
            case interface.StoredOwner(slice_):
                self.unowned.pop(slice_, None)

    def _count_tries(self, report: interface.ServerReport) -> None:
        current = self.current
        current.tries += report.tries
        current.lost_tries += report.failed
        if report.tries > report.failed and report.mean_latency_us > current.slowest_server_us:
            current.slowest_server, current.slowest_server_us = report.backend, report.mean_latency_us

    def order(self, now: int, order: interface.Order) -> None:
        """Counts an order of the controller."""
        self.unserved.order(now, order)
        match order:
            case interface.ClearTable(table):
                self.unowned.setdefault(table, now)
            case interface.SetTableEntry(table):
                since = self.unowned.pop(table, None)
                if since is not None:
                    self.current.handovers += 1
                    self._without_owner(now - since)

    def _without_owner(self, for_us: int) -> None:
        self.current.longest_without_owner_us = max(self.current.longest_without_owner_us, for_us)

    def take(self, now: int, progress: Progress = Progress()) -> Figures:
        """Returns the figures of the interval that ends now, and begins the next one."""
        taken, self.current = self.current, Figures()
        taken.without_owner = len(self.unowned)
        taken.without_line = len(self.unserved.since)
        taken.longest_without_line_us = self.unserved.take_longest(now)
        taken.emptied, taken.closing = progress.emptied, progress.closing
        taken.longest_closing_us = progress.longest_closing_us
        taken.unanswered = progress.unanswered
        taken.longest_unanswered = progress.longest_unanswered
        taken.longest_unanswered_us = progress.longest_unanswered_us
        taken.turns_without_room = progress.turns_without_room - self.turns_without_room
        self.turns_without_room = progress.turns_without_room
        if self.unowned:
            oldest = now - min(self.unowned.values())
            taken.longest_without_owner_us = max(taken.longest_without_owner_us, oldest)
        return taken
