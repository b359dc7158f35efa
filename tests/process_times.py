"""Splits the time during which a process is observed: it ran, it waited for a core, or the observer was late.

A test that times answers by its own clock needs this. An answer may be late because the process was slow,
because the machine gave it no core, or because the test itself was late to read the answer.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

SAMPLE_INTERVAL_S = 0.02
RETENTION_S = 20.0


class Sample(NamedTuple):
    """The scheduler times of a process, read at one iteration of the observer's loop."""

    at: float
    ran_s: float
    waited_s: float  # ready to run, but without a core
    late_s: float  # how late the observer itself was


@dataclass(frozen=True, slots=True)
class TimeSpent:
    """How a period of time was spent."""

    ran_s: float
    waited_s: float
    observer_late_s: float

    def __str__(self) -> str:
        return (
            f"process ran {self.ran_s:.3f} s, waited for a core {self.waited_s:.3f} s; "
            f"observer late by {self.observer_late_s:.3f} s"
        )


def scheduler_times(process: int) -> tuple[float, float]:
    """The seconds that the threads of a process have run and waited for a core; zeros once it has ended."""
    ran, waited = 0, 0
    for thread in Path(f"/proc/{process}/task").glob("*/schedstat"):
        try:
            words = thread.read_text().split()
        except OSError:
            continue
        ran, waited = ran + int(words[0]), waited + int(words[1])
    return ran / 1e9, waited / 1e9


class ProcessTimes:
    """Samples one process, in the same event loop as the clients that time its answers."""

    def __init__(self, process: int) -> None:
        self.process = process
        self.samples: deque[Sample] = deque(maxlen=round(RETENTION_S / SAMPLE_INTERVAL_S))

    async def run(self) -> None:
        """Takes samples until it is cancelled."""
        loop, late_s = asyncio.get_running_loop(), 0.0
        while True:
            self.samples.append(Sample(loop.time(), *scheduler_times(self.process), late_s))
            due = loop.time() + SAMPLE_INTERVAL_S
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            late_s = loop.time() - due

    def since(self, start: float) -> TimeSpent:
        """How the time since `start`, in seconds of the loop's clock, was spent."""
        samples = [sample for sample in self.samples if sample.at >= start - SAMPLE_INTERVAL_S]
        if not samples:
            return TimeSpent(0.0, 0.0, asyncio.get_running_loop().time() - start)
        ran_s, waited_s = scheduler_times(self.process)
        # The system has no figures of a process that has ended: the last sample counts instead.
        ran_s, waited_s = max(ran_s, samples[-1].ran_s), max(waited_s, samples[-1].waited_s)
        overdue_s = max(0.0, asyncio.get_running_loop().time() - samples[-1].at - SAMPLE_INTERVAL_S)
        return TimeSpent(
            ran_s - samples[0].ran_s,
            waited_s - samples[0].waited_s,
            sum(sample.late_s for sample in samples[1:]) + overdue_s,
        )
