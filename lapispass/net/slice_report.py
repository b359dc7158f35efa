"""Lines of the log on slices for which proxies have had no line to pick for too long."""

from __future__ import annotations

from collections.abc import Callable

from lapispass.core.handover_state import HandoverState
from lapispass.core.slice_lines import Gap, SliceLines
from lapispass.net.limits import Limits
from lapispass.net.log import PartLogger


class SliceReport:
    """Tells each overdue gap once, with what its handover waits for, and its end."""

    def __init__(
        self, lines: SliceLines, handover: Callable[[int], HandoverState | None], limits: Limits
    ) -> None:
        self.lines, self.handover, self.limits = lines, handover, limits
        self.log = PartLogger("slices")
        self.begun_at, self.written = 0, 0

    def turned(self, now: int) -> None:
        """A turn's events and orders were noted."""
        for gap in self.lines.overdue(now):
            if self.may_write(now):
                self.tell_overdue(gap)
        for gap in self.lines.take_ended():
            if self.may_write(now):
                self.log.warn("slice has a line again", slice=gap.slice, owner=gap.owner, after_us=gap.for_us)

    def may_write(self, now: int) -> bool:
        """Whether the lines of this interval leave room for another."""
        if now - self.begun_at > self.limits.report_us:
            self.begun_at, self.written = now, 0
        self.written += 1
        return self.written <= self.limits.slice_lines

    def tell_overdue(self, gap: Gap) -> None:
        """A slice whose proxies have had no line for too long, and why."""
        fields: dict[str, object] = {"slice": gap.slice, "for_us": gap.for_us}
        if gap.owner is not None:
            fields["shut_out"] = gap.owner
        if (state := self.handover(gap.slice)) is not None:
            fields |= {"step": state.step, "step_us": state.for_us, "waiting_for": state.waiting_for}
            fields |= {"proxies": ",".join(map(str, state.proxies))} if state.proxies else {}
        self.log.warn("slice without a line", **fields)
