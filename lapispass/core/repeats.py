"""Of which servers proxies that joined may have heard something else than what stands now."""

from __future__ import annotations

from collections.abc import Iterable

from lapispass.core.fleet_index import Server
from lapispass.core.units import NEVER
from lapispass.interface import BackendId


class Repeats:
    """Servers of which must be said again whether they are shut out, in memory that follows what was said."""

    def __init__(self) -> None:
        self._some: set[BackendId] = set()
        self._above = NEVER  # all servers whose place is higher, also those not known yet, but for ...
        self._said: set[BackendId] = set()  # ... these, said since

    def add(self, numbers: Iterable[BackendId]) -> None:
        """Servers by their ids."""
        self._some.update(numbers)

    def add_all(self) -> None:
        """All servers, those that become known later too: a proxy may have heard of any of them."""
        self._above = 0
        self._said.clear()

    def add_newcomers(self, last_place: int) -> None:
        """All servers that become known after the one of this place."""
        self._above = min(self._above, last_place)

    def discard(self, server: Server) -> None:
        """Its state was said, or need not be."""
        self._some.discard(server.number)
        if server.index > self._above:
            self._said.add(server.number)

    def forget(self, number: BackendId) -> None:
        self._some.discard(number)
        self._said.discard(number)

    def has(self, server: Server) -> bool:
        number = server.number
        return number in self._some or (server.index > self._above and number not in self._said)

    def __len__(self) -> int:
        return len(self._some) + len(self._said)
