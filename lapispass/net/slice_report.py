"""Log lines on slices that have been unserved for too long: proxies have no backend to pick for them."""

from __future__ import annotations

from collections.abc import Callable

from lapispass.core.handover_state import HandoverState
from lapispass.core.unserved_slices import UnservedSlices, UnservedSpan
from lapispass.net.limits import Limits
from lapispass.net.log import PartLogger


class SliceReport:
    """Logs each overdue slice once, with what its handover waits for, and once when it is served again."""

    def __init__(
        self, unserved: UnservedSlices, handover: Callable[[int], HandoverState | None], limits: Limits
    ) -> None:
        self.unserved, self.handover, self.limits = unserved, handover, limits
        self.log = PartLogger("slices")
        self.interval_start, self.written = 0, 0

    def turn_ended(self, now: int) -> None:
        """Logs what a turn has changed, once its events and orders have been counted."""
        for span in self.unserved.overdue(now):
            if self.may_write(now):
                self.log_overdue(span)
        for span in self.unserved.take_ended():
            if self.may_write(now):
                self.log.warn(
                    "slice served again", slice=span.slice, owner=span.owner, after_us=span.duration_us
                )

    def may_write(self, now: int) -> bool:
        """Whether the limit of log lines in this interval allows another; counts it."""
        if now - self.interval_start > self.limits.report_us:
            self.interval_start, self.written = now, 0
        self.written += 1
        return self.written <= self.limits.slice_lines

    def log_overdue(self, span: UnservedSpan) -> None:
        """Logs a slice that has been unserved for too long, and why."""
        fields: dict[str, object] = {"slice": span.slice, "for_us": span.duration_us}
        if span.owner is not None:
            fields["shut_out"] = span.owner
        if (state := self.handover(span.slice)) is not None:
            fields |= {"step": state.step, "step_us": state.for_us, "waiting_for": state.waiting_for}
            fields |= {"proxies": ",".join(map(str, state.proxies))} if state.proxies else {}
        self.log.warn("slice unserved", **fields)
