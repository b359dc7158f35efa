"""A log line every few seconds: what was slow since the last one, and what is queued."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lapispass.core.handover_state import Progress
from lapispass.core.interval_figures import IntervalFigures
from lapispass.net.clock import Clock
from lapispass.net.collectors import Collectors
from lapispass.net.log import PartLogger


class IntervalReport:
    """Logs the figures of each interval, and those of the last, incomplete one when it is cancelled."""

    def __init__(
        self,
        figures: IntervalFigures,
        clock: Clock,
        every_us: int,
        log: PartLogger,
        collectors: Collectors,
        progress: Callable[[], Progress],
    ) -> None:
        self.figures, self.clock, self.every_us = figures, clock, every_us
        self.log, self.collectors, self.progress = log, collectors, progress

    async def run(self) -> None:
        """Runs until it is cancelled."""
        try:
            while True:
                await asyncio.sleep(self.every_us / 1e6)
                self.write()
        finally:
            self.write()

    def write(self) -> None:
        """Logs one line, without the figures that are zero."""
        waiting = {
            "connections": len(self.collectors.connections),
            "accept_queue": self.collectors.waiting_to_be_accepted(),
            "unsent_bytes": self.collectors.unsent_bytes(),
        }
        shown = self.figures.take(self.clock.now(), self.progress()).shown()
        self.log.info("interval", **{name: value for name, value in waiting.items() if value}, **shown)
