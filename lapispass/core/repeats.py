"""Of which servers proxies that joined may have heard something else than what stands now."""

from __future__ import annotations

from collections.abc import Iterable

from lapispass.core.fleet_index import Server
from lapispass.interface import BackendId


class Repeats:
    """Servers of which must be said again whether they are shut out, in memory that follows what was said."""

    def __init__(self) -> None:
        self._some: set[BackendId] = set()
        self._below = 0  # all servers whose place is no higher, but for ...
        self._said: set[BackendId] = set()  # ... these, said since

    def add(self, numbers: Iterable[BackendId]) -> None:
        """Servers by their ids."""
        self._some.update(numbers)

    def add_all(self, last_place: int) -> None:
        """All servers known so far, by the place of the last one."""
        self._below = last_place
        self._said.clear()

    def discard(self, server: Server) -> None:
        """Its state was said, or need not be."""
        self._some.discard(server.number)
        if server.place <= self._below:
            self._said.add(server.number)

    def forget(self, number: BackendId) -> None:
        self._some.discard(number)
        self._said.discard(number)

    def has(self, server: Server) -> bool:
        number = server.number
        return number in self._some or (server.place <= self._below and number not in self._said)

    def __len__(self) -> int:
        return len(self._some) + len(self._said)
