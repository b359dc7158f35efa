"""Measures the lag of the event loop. Everything a process does is delayed by the time that it stalls."""

from __future__ import annotations

import asyncio

from lapispass.net import log
from lapispass.net.counters import Counters
from lapispass.net.log import PartLogger

CHECK_INTERVAL_S = 0.25


class LoopLag:
    """Logs each stall of the loop, and flushes the log's buffered line. No decision depends on it."""

    def __init__(self, late_us: int, log: PartLogger, counters: Counters) -> None:
        self.late_us, self.log, self.counters = late_us, log, counters

    async def run(self) -> None:
        """Runs until it is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.note(int((loop.time() - due) * 1e6))
            log.flush_pending()

    def note(self, late_us: int) -> None:
        """Records how late the loop woke up."""
        if late_us > self.late_us:
            self.counters["service.loop_stalls"] += 1
            self.log.rate_limited("event loop stalled", late_us=late_us)
