"""All servers that a controller knows, with the sums over them that are needed often, kept by differences."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Generic, NamedTuple, Protocol, TypeVar

from lapispass.core.messages import RUNNING_STATES
from lapispass.interface import BackendId


class Server(Protocol):
    """What the index reads of a server."""

    number: BackendId
    place: int  # in the order in which servers became known
    state: str
    zone: str
    weight: float
    warm: bool
    fine: bool
    pace: float
    speed: float

    def carry(self, rate: float) -> None:
        """The visits a second that its slices bring."""


AnyServer = TypeVar("AnyServer", bound=Server)


class Indexed(NamedTuple):
    """What the sums hold of a server."""

    state: str
    zone: str
    warm_weight: float  # 0 where it is cold or not listed
    fine: bool


class FleetIndex(Generic[AnyServer]):
    """Servers by id, and those in which something is to be noted."""

    def __init__(self) -> None:
        self.servers: dict[BackendId, AnyServer] = {}
        self.states: Counter[str] = Counter()
        self.ill: dict[BackendId, str] = {}  # with their zones
        self.fine: dict[BackendId, str] = {}  # ready ones at which enough visits did well, with their zones
        self.out: dict[BackendId, None] = {}  # in the state "out"
        self.speeds: dict[BackendId, float] = {}  # of those that are listed and were measured
        self.paces: dict[BackendId, float] = {}  # of those that are listed and warm
        self._indexed: dict[BackendId, Indexed] = {}
        self._warm_weight: float | None = None
        self.last_place = 0  # of the server that became known last

    def next_place(self) -> int:
        """The place of a server that becomes known now."""
        self.last_place += 1
        return self.last_place

    def in_order(self, numbers: Iterable[BackendId]) -> list[AnyServer]:
        """The servers of these ids that are known, in the order in which they became known."""
        known = (self.servers[number] for number in numbers if number in self.servers)
        return sorted(known, key=lambda server: server.place)

    def update(self, server: AnyServer) -> None:
        """Takes in how a server stands after it was looked at."""
        number, listed = server.number, server.state in RUNNING_STATES
        weight = server.weight if listed and server.warm else 0.0
        now = Indexed(server.state, server.zone, weight, server.fine)
        before = self._indexed.get(number)
        if now != before:
            self._replace(number, before, now)
        _keep(self.speeds, number, server.speed if listed else 0.0)
        _keep(self.paces, number, server.pace if weight else 0.0)

    def forget(self, number: BackendId) -> None:
        """A server is no longer known."""
        del self.servers[number]
        if before := self._indexed.pop(number, None):
            self.states[before.state] -= 1
            self._warm_weight = None
        for noted in (self.ill, self.fine, self.out, self.speeds, self.paces):
            noted.pop(number, None)

    def warm_weight(self) -> float:
        """The listed weight of all servers that are listed and warm."""
        if self._warm_weight is None:
            self._warm_weight = sum(one.warm_weight for one in self._indexed.values())
        return self._warm_weight

    def _replace(self, number: BackendId, before: Indexed | None, now: Indexed) -> None:
        if before is not None:
            self.states[before.state] -= 1
        if before is None or before.warm_weight != now.warm_weight:
            self._warm_weight = None
        self.states[now.state] += 1
        self._indexed[number] = now
        _keep(self.ill, number, now.zone, now.state == "ill")
        _keep(self.fine, number, now.zone, now.state == "ready" and now.fine)
        _keep(self.out, number, None, now.state == "out")


Value = TypeVar("Value")


def _keep(noted: dict[BackendId, Value], number: BackendId, value: Value, holds: bool | None = None) -> None:
    """Notes the value where it holds (by default: where it is not zero), and nothing else."""
    if bool(value) if holds is None else holds:
        noted[number] = value
    else:
        noted.pop(number, None)
