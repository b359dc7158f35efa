"""All servers that a controller knows, with sums over them that are updated incrementally."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Generic, NamedTuple, Protocol, TypeVar

from lapispass.core.messages import RUNNING_STATES
from lapispass.interface import BackendId


class Server(Protocol):
    """The attributes of a server that the index reads."""

    number: BackendId
    index: int  # its position in the order in which servers became known
    state: str
    zone: str
    weight: float
    warm: bool
    succeeding: bool
    completed_per_s: float
    capacity_per_weight: float

    def set_rate(self, rate: float) -> None:
        """Sets the requests a second that its slices bring."""


AnyServer = TypeVar("AnyServer", bound=Server)


class Indexed(NamedTuple):
    """What a server contributes to the sums."""

    state: str
    zone: str
    warm_weight: float  # 0 while it is cold or not running
    succeeding: bool


class FleetIndex(Generic[AnyServer]):
    """Servers by id, and collections of those in certain states."""

    def __init__(self) -> None:
        self.servers: dict[BackendId, AnyServer] = {}
        self.states: Counter[str] = Counter()
        self.unhealthy: dict[BackendId, str] = {}  # the zones of unhealthy servers
        self.succeeding: dict[BackendId, str] = {}  # the zones of ready servers at which most tries succeed
        self.draining: dict[BackendId, None] = {}  # servers in the state "draining"
        self.capacities_per_weight: dict[BackendId, float] = {}  # of running ones, where it was measured
        self.warm_completed_per_s: dict[BackendId, float] = {}  # of running and warm servers
        self._indexed: dict[BackendId, Indexed] = {}
        self._warm_weight: float | None = None
        self.last_index = 0  # the index of the server that became known last

    def next_index(self) -> int:
        """The index for a server that becomes known now."""
        self.last_index += 1
        return self.last_index

    def in_order(self, numbers: Iterable[BackendId]) -> list[AnyServer]:
        """The known servers among these, in the order in which they became known."""
        known = (self.servers[number] for number in numbers if number in self.servers)
        return sorted(known, key=lambda server: server.index)

    def update(self, server: AnyServer) -> None:
        """Updates the sums after a server's evaluation."""
        number, listed = server.number, server.state in RUNNING_STATES
        weight = server.weight if listed and server.warm else 0.0
        now = Indexed(server.state, server.zone, weight, server.succeeding)
        before = self._indexed.get(number)
        if now != before:
            self._replace(number, before, now)
        _set_or_remove(self.capacities_per_weight, number, server.capacity_per_weight if listed else 0.0)
        _set_or_remove(self.warm_completed_per_s, number, server.completed_per_s if weight else 0.0)

    def forget(self, number: BackendId) -> None:
        """Removes a server."""
        del self.servers[number]
        if before := self._indexed.pop(number, None):
            self.states[before.state] -= 1
            self._warm_weight = None
        for collection in (
            self.unhealthy,
            self.succeeding,
            self.draining,
            self.capacities_per_weight,
            self.warm_completed_per_s,
        ):
            collection.pop(number, None)

    def warm_weight(self) -> float:
        """The summed weight of all servers that are running and warm."""
        if self._warm_weight is None:
            self._warm_weight = sum(indexed.warm_weight for indexed in self._indexed.values())
        return self._warm_weight

    def _replace(self, number: BackendId, before: Indexed | None, now: Indexed) -> None:
        if before is not None:
            self.states[before.state] -= 1
        if before is None or before.warm_weight != now.warm_weight:
            self._warm_weight = None
        self.states[now.state] += 1
        self._indexed[number] = now
        _set_or_remove(self.unhealthy, number, now.zone, now.state == "unhealthy")
        _set_or_remove(self.succeeding, number, now.zone, now.state == "ready" and now.succeeding)
        _set_or_remove(self.draining, number, None, now.state == "draining")


Value = TypeVar("Value")


def _set_or_remove(
    collection: dict[BackendId, Value], number: BackendId, value: Value, keep: bool | None = None
) -> None:
    """Sets the value, or removes it if it is not to be kept (by default: if it is zero)."""
    if bool(value) if keep is None else keep:
        collection[number] = value
    else:
        collection.pop(number, None)
