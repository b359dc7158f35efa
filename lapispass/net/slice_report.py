"""Lines of the log on slices for which proxies have had no line to pick for too long."""

from __future__ import annotations

from collections.abc import Callable

from lapispass.core.handover_state import HandoverState
from lapispass.core.unserved_slices import UnservedSlices, UnservedSpan
from lapispass.net.limits import Limits
from lapispass.net.log import Part


class SliceReport:
    """Tells each overdue span once, with what its handover waits for, and its end."""

    def __init__(
        self, unserved: UnservedSlices, handover: Callable[[int], HandoverState | None], limits: Limits
    ) -> None:
        self.unserved, self.handover, self.limits = unserved, handover, limits
        self.log = Part("slices")
        self.interval_start, self.written = 0, 0

    def turn_ended(self, now: int) -> None:
        """A turn's events and orders were noted."""
        for span in self.unserved.overdue(now):
            if self.may_write(now):
                self.log_overdue(span)
        for span in self.unserved.take_ended():
            if self.may_write(now):
                self.log.warn(
                    "slice has a line again", slice=span.slice, owner=span.owner, after_us=span.duration_us
                )

    def may_write(self, now: int) -> bool:
        """Whether the lines of this interval leave room for another."""
        if now - self.interval_start > self.limits.report_us:
            self.interval_start, self.written = now, 0
        self.written += 1
        return self.written <= self.limits.slice_lines

    def log_overdue(self, span: UnservedSpan) -> None:
        """A slice whose proxies have had no line for too long, and why."""
        fields: dict[str, object] = {"slice": span.slice, "for_us": span.duration_us}
        if span.owner is not None:
            fields["shut_out"] = span.owner
        if (state := self.handover(span.slice)) is not None:
            fields |= {"step": state.step, "step_us": state.for_us, "waiting_for": state.waiting_for}
            fields |= {"proxies": ",".join(map(str, state.proxies))} if state.proxies else {}
        self.log.warn("slice without a line", **fields)
