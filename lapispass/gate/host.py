"""The interfaces that the parts of a gate use; `service.Gate` implements them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from lapispass.core import tables
from lapispass.core.memory_budget import MemoryBudget
from lapispass.core.plans import Plan
from lapispass.core.steering import Steering
from lapispass.gate.limits import Limits
from lapispass.gate.paced_work import PacedWork
from lapispass.net.clock import Clock
from lapispass.net.counters import Counters
from lapispass.net.log import PartLogger
from lapispass.operator import operator_pb2


class GateHost(Protocol):
    """What every part uses: settings, clock, counters, log, and the steering that makes the decisions."""

    settings: operator_pb2.Gate  # the gate's part of the operator file
    limits: Limits
    clock: Clock
    counters: Counters
    log: PartLogger
    steering: Steering
    memory: MemoryBudget  # of what is held for clients
    paced_work: PacedWork  # for heads, whose fields are costly


class TableHost(GateHost, Protocol):
    """What a source of tables and plans uses: the channel to a controller, or the file of a standalone
    gate."""

    def apply_changes(self, changes: Iterable[tables.TableChange]) -> None:
        """Applies table changes and barriers at once. From here on no message begins under the older
        tables."""

    def follow_plan(self, plan: Plan) -> bool:
        """Follows a plan; False if a newer one is in force."""
