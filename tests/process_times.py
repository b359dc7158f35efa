"""Where time went while a process was watched: in it, in the wait for a core, or in the watcher itself.

A judge that measures answers by its own clock needs it: an answer may be late since the process was, since
the machine gave it no core, or since the judge came late to read it.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

LOOK_S = 0.02
KEPT_S = 20.0


class Sample(NamedTuple):
    """What the system says of a process at a moment of the watcher's loop."""

    at: float
    ran_s: float
    waited_s: float  # ready to run, without a core
    late_s: float  # by which the watcher itself came late


@dataclass(frozen=True, slots=True)
class Spent:
    """How a span of time was spent."""

    ran_s: float
    waited_s: float
    watcher_late_s: float

    def __str__(self) -> str:
        return (
            f"process ran {self.ran_s:.3f} s, waited for a core {self.waited_s:.3f} s; "
            f"judge late by {self.watcher_late_s:.3f} s"
        )


def scheduled(process: int) -> tuple[float, float]:
    """For how long the threads of a process have run, and waited for a core; zeros once it is gone."""
    ran, waited = 0, 0
    for thread in Path(f"/proc/{process}/task").glob("*/schedstat"):
        try:
            words = thread.read_text().split()
        except OSError:
            continue
        ran, waited = ran + int(words[0]), waited + int(words[1])
    return ran / 1e9, waited / 1e9


class ProcessTimes:
    """Samples of one process, taken beside the clients that judge it."""

    def __init__(self, process: int) -> None:
        self.process = process
        self.samples: deque[Sample] = deque(maxlen=round(KEPT_S / LOOK_S))

    async def run(self) -> None:
        """Until it is cancelled."""
        loop, late_s = asyncio.get_running_loop(), 0.0
        while True:
            self.samples.append(Sample(loop.time(), *scheduled(self.process), late_s))
            due = loop.time() + LOOK_S
            await asyncio.sleep(LOOK_S)
            late_s = loop.time() - due

    def since(self, begun: float) -> Spent:
        """How the time from then on was spent; `begun` in seconds of the loop's clock."""
        samples = [sample for sample in self.samples if sample.at >= begun - LOOK_S]
        if not samples:
            return Spent(0.0, 0.0, asyncio.get_running_loop().time() - begun)
        ran_s, waited_s = scheduled(self.process)
        # A process that is gone has no figures any more.
        ran_s, waited_s = max(ran_s, samples[-1].ran_s), max(waited_s, samples[-1].waited_s)
        overdue_s = max(0.0, asyncio.get_running_loop().time() - samples[-1].at - LOOK_S)
        return Spent(
            ran_s - samples[0].ran_s,
            waited_s - samples[0].waited_s,
            sum(sample.late_s for sample in samples[1:]) + overdue_s,
        )
