"""What the parts of a gate need of the gate they belong to; `service.Gate` is it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from lapispass.core import tables
from lapispass.core.plans import Plan
from lapispass.core.steering import Steering
from lapispass.gate.limits import Limits
from lapispass.net.clock import Clock
from lapispass.net.counters import Counters
from lapispass.net.log import PartLogger
from lapispass.operator import operator_pb2


class GateHost(Protocol):
    """What every part uses: settings, clock, counters, log, and the decisions."""

    settings: operator_pb2.Gate  # the gate's part of the operator file
    limits: Limits
    clock: Clock
    counters: Counters
    log: PartLogger
    steering: Steering


class TableHost(GateHost, Protocol):
    """What whoever brings tables and plans needs: the stream to a controller, or the file of a lone gate."""

    def carry_out(self, changes: Iterable[tables.Change]) -> None:
        """Table changes and marks, at once: from here on nothing begins by the older table."""

    def follow(self, plan: Plan) -> bool:
        """A plan; False where a newer one is in force."""
