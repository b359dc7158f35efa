"""A slice in a controller's charge, and how far its handover is."""

from __future__ import annotations

from dataclasses import dataclass, field

from lapispass.core.decay import DecayingSum
from lapispass.core.units import NEVER


@dataclass(slots=True)
class Slice:
    """A slice in this controller's charge and how far its handover is."""

    number: int
    kept_until: int
    since: int
    owner: int | None = None
    step: str = "emptied"  # emptied, closing, steady
    mark: int = NEVER  # of the step's message
    gate_at: int | None = None  # when every proxy had taken the step that ended an earlier owner's writes
    shut: bool = False  # its writes are not let in
    demand: dict[str, DecayingSum] = field(default_factory=dict)
    rates: dict[str, float] = field(default_factory=dict)  # visits a second by class, as last read
    rate: float = 0.2
    levels: dict[int, float] = field(default_factory=dict)
