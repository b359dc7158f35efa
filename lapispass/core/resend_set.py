"""Servers for which proxies that joined may hold an outdated state: withdrawn or admitted."""

from __future__ import annotations

from collections.abc import Iterable

from lapispass.core.fleet_index import Server
from lapispass.core.units import NEVER
from lapispass.interface import BackendId


class ResendSet:
    """The servers whose state must be sent again.

    Its memory grows with the servers that were added or sent, not with all servers known.
    """

    def __init__(self) -> None:
        self._servers: set[BackendId] = set()
        self._above_index = NEVER  # servers with a higher index are members, also those not known yet ...
        self._sent: set[BackendId] = set()  # ... except these, which were sent since

    def add(self, numbers: Iterable[BackendId]) -> None:
        """Adds servers by their ids."""
        self._servers.update(numbers)

    def add_all(self) -> None:
        """Adds all servers, also those that become known later: a proxy may hold a state of any of them."""
        self._above_index = 0
        self._sent.clear()

    def add_newer(self, last_index: int) -> None:
        """Adds all servers that become known after the server with this index."""
        self._above_index = min(self._above_index, last_index)

    def discard(self, server: Server) -> None:
        """The server's state was sent, or need not be sent."""
        self._servers.discard(server.number)
        if server.index > self._above_index:
            self._sent.add(server.number)

    def forget(self, number: BackendId) -> None:
        """The server is no longer known; one that comes back under its id counts as a new server."""
        self._servers.discard(number)
        self._sent.discard(number)

    def has(self, server: Server) -> bool:
        """Whether the server's state must be sent again."""
        number = server.number
        return number in self._servers or (server.index > self._above_index and number not in self._sent)

    def __len__(self) -> int:
        return len(self._servers) + len(self._sent)
