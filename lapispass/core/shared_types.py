"""Small values that the decisions about held connections share. Times are whole microseconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

SECOND = 1_000_000
NEVER = 1 << 62

NodeId = str


class ConnectionClass(NamedTuple):
    """One kind of held connection, as the operator lists it."""

    name: str
    path_prefix: str
    writes: bool  # a message from the screen may write to its key block
    movable: bool  # another node can take it up from the handshake alone
    value: float
    start_cost: float  # visits a second, until what one costs has been learned


class Bounds(NamedTuple):
    """What one node of weight 1 takes, all gates together; a cold one takes its share, rising evenly."""

    connections: int = 10_000
    new_per_s: float = 200.0
    burst: int = 20
    cold_us: int = 10 * SECOND
    cold_share: float = 0.2


class DrainTerms(NamedTuple):
    """How long a drain may take, and when those it closes are asked to come back."""

    grace_us: int = 60 * SECOND
    margin_us: int = 3 * SECOND  # kept for the close handshakes
    come_back_least_us: int = SECOND // 2
    come_back_most_us: int = 120 * SECOND

    @property
    def usable_us(self) -> int:
        return self.grace_us - self.margin_us


@dataclass(slots=True)
class NodeView:
    """A node as the deciding module sees it."""

    node: NodeId
    zone: str
    state: str  # ready, unproven, ill, out (drains), gone or past, as `Backend.state` says
    weight: float = 1.0
    started_us: int = 0  # its last start; 0 for long ago
    utilization: float = 0.0  # share of its work in use, 0 where unknown
    requests_per_s: float = 0.0  # visits completed a second

    def warmth(self, now: int, bounds: Bounds) -> float:
        """The least share of its work it can do."""
        if not self.started_us:
            return 1.0
        age = max(0, now - self.started_us) / max(1, bounds.cold_us)
        return min(1.0, bounds.cold_share + (1 - bounds.cold_share) * age)

    @property
    def draining(self) -> bool:
        return self.state == "out"

    @property
    def accepts_connections(self) -> bool:
        return self.state == "ready"
