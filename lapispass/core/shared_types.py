"""Constants and small types shared by the modules that decide about held connections.

Times are whole microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

SECOND = 1_000_000
NEVER = 1 << 62

DEFAULT_ANSWER_US = 1_500_000

NodeId = str


class ConnectionClass(NamedTuple):
    """One class of held connections, as listed in the operator file."""

    name: str
    path_prefix: str
    writes: bool  # a message from the client may write to the data of its key
    movable: bool  # another node can take the connection over with nothing but its handshake
    value: float
    start_cost: float  # estimated load of one connection in requests/s, until the real cost is learned
    answer_us: int = DEFAULT_ANSWER_US  # the longest that a node works on a message; 0: no answers are sent


class Bounds(NamedTuple):
    """Capacity of one node of weight 1, for all gates together.

    A cold node has `cold_share` of it at its start. The share rises linearly to 1 over `cold_us`.
    """

    connections: int = 10_000
    new_per_s: float = 200.0
    burst: int = 20
    cold_us: int = 10 * SECOND
    cold_share: float = 0.2


class DrainTerms(NamedTuple):
    """How long a drain may take, and when the clients that it disconnects are asked to come back."""

    grace_us: int = 60 * SECOND
    margin_us: int = 3 * SECOND  # part of the grace that is reserved for the close handshakes
    come_back_least_us: int = SECOND // 2
    come_back_most_us: int = 120 * SECOND

    @property
    def usable_us(self) -> int:
        return self.grace_us - self.margin_us


@dataclass(slots=True)
class NodeView:
    """A node as the controller module sees it."""

    node: NodeId
    zone: str
    state: str  # ready, unproven, unhealthy, draining, gone or removed; see `Backend.classify`
    weight: float = 1.0
    started_us: int = 0  # time of its last start; 0 if long ago
    utilization: float = 0.0  # share of its capacity in use; 0 if unknown
    requests_per_s: float = 0.0  # completed requests

    def warmth(self, now: int, bounds: Bounds) -> float:
        """The share of its full capacity that the node has at least; 1 when it is warm."""
        if not self.started_us:
            return 1.0
        age = max(0, now - self.started_us) / max(1, bounds.cold_us)
        return min(1.0, bounds.cold_share + (1 - bounds.cold_share) * age)

    @property
    def draining(self) -> bool:
        return self.state == "draining"

    @property
    def accepts_connections(self) -> bool:
        return self.state == "ready"
