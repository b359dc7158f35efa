"""Which servers are withdrawn from all tables, and which of these states must be sent again."""

from __future__ import annotations

from collections.abc import Iterable

from lapispass import interface
from lapispass.core.fleet_index import Server
from lapispass.core.messages import MissedOrders
from lapispass.core.resend_set import ResendSet


class WithdrawnServers:
    """The withdrawn servers, and the servers whose state must be sent again."""

    def __init__(self) -> None:
        self.withdrawn: dict[interface.BackendId, int] = {}  # withdrawn servers, and since when
        self.to_resend = ResendSet()  # servers whose state proxies that joined may not hold
        self.resending: set[interface.BackendId] = set()  # servers whose admission is about to be sent again
        # The barrier of the message that last sent each server's state.
        self.sent_under: dict[interface.BackendId, int] = {}

    def proxy_joined(self, missed: MissedOrders) -> None:
        """A proxy that joined may have missed recent states, and holds withdrawals of its earlier streams.

        A proxy that has acknowledged nothing since this controller's start may hold withdrawals from before
        that start.
        """
        if missed.first_stream:
            self.to_resend.add(self.withdrawn)
        elif missed.barrier < 0:
            self.to_resend.add_all()
        else:
            self.to_resend.add(
                number for number, barrier in self.sent_under.items() if barrier > missed.barrier
            )

    def start_resend(self, servers: Iterable[Server]) -> None:
        """The admission of these servers is about to be sent again."""
        servers = list(servers)
        self.resending = {server.number for server in servers}
        for server in servers:
            self.to_resend.discard(server)

    def postpone(self, number: interface.BackendId) -> None:
        """A server drains before its admission was sent again; that is still due once it is back."""
        self.resending.discard(number)
        self.to_resend.add([number])

    def record_sent(self, server: Server, withdrawn: bool, barrier: int, now: int) -> bool:
        """Records that a server's state is sent; returns whether this ends its withdrawal."""
        number, was_withdrawn = server.number, server.number in self.withdrawn
        if withdrawn:
            self.withdrawn.setdefault(number, now)
        else:
            self.withdrawn.pop(number, None)
        self.to_resend.discard(server)
        self.resending.discard(number)
        self.sent_under[number] = barrier
        return was_withdrawn and not withdrawn

    def forget(self, number: interface.BackendId, last_index: int) -> None:
        """A server is no longer known; `last_index` is the index of the server that became known last.

        A proxy that was away when the server was let in may still hold its withdrawal. So its state must be
        sent again if it comes back under the same id.
        """
        self.to_resend.forget(number)
        self.resending.discard(number)
        if self.sent_under.pop(number, None) is not None:
            self.to_resend.add_newer(last_index)
