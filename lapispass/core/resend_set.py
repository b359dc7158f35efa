"""Of which servers proxies that joined may have heard something else than what stands now."""

from __future__ import annotations

from collections.abc import Iterable

from lapispass.core.fleet_index import Server
from lapispass.core.units import NEVER
from lapispass.interface import BackendId


class ResendSet:
    """Servers of which must be said again whether they are shut out, in memory that follows what was said."""

    def __init__(self) -> None:
        self._servers: set[BackendId] = set()
        self._above_index = NEVER  # all servers whose place is higher, also those not known yet, but for ...
        self._sent: set[BackendId] = set()  # ... these, said since

    def add(self, numbers: Iterable[BackendId]) -> None:
        """Servers by their ids."""
        self._servers.update(numbers)

    def add_all(self) -> None:
        """All servers, those that become known later too: a proxy may have heard of any of them."""
        self._above_index = 0
        self._sent.clear()

    def add_newer(self, last_index: int) -> None:
        """All servers that become known after the one of this place."""
        self._above_index = min(self._above_index, last_index)

    def discard(self, server: Server) -> None:
        """Its state was said, or need not be."""
        self._servers.discard(server.number)
        if server.place > self._above_index:
            self._sent.add(server.number)

    def forget(self, number: BackendId) -> None:
        self._servers.discard(number)
        self._sent.discard(number)

    def has(self, server: Server) -> bool:
        number = server.number
        return number in self._servers or (server.place > self._above_index and number not in self._sent)

    def __len__(self) -> int:
        return len(self._servers) + len(self._sent)
