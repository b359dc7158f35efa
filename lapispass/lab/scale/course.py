"""A run on its way: its processes, and what its phases showed so far."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass, field

from lapispass.lab.scale.budgets import Budgets, Phase
from lapispass.lab.scale.rig import Rig
from lapispass.lab.scale.samples import HOLLOW, Sample, costs, rates

POLL_S = 0.1  # between looks at what is waited for
LATE_S = 3.0  # beyond its budget, for which something that has one is waited for
SECOND_US = 1_000_000
LAST_HOLLOW = "the last hollow controller"


@dataclass
class Course:
    """A run on its way."""

    rig: Rig
    budgets: Budgets
    progress: Callable[[str], None]
    phases: list[Phase] = field(default_factory=list)

    async def note(
        self,
        name: str,
        before: Sample,
        lasts: bool,
        times_s: dict[str, dict[str, float]] | None = None,
        note: str = "",
    ) -> Phase:
        """Ends a phase: what it cost since the sample at its beginning."""
        after = await self.rig.sample()
        phase = Phase(
            name,
            after.at_s - before.at_s,
            os.getloadavg()[0],
            lasts,
            costs(before, after),
            rates(before, after, HOLLOW, 1),
            times_s or {},
            note,
        )
        self.phases.append(phase)
        return phase
