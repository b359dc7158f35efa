"""Which servers are shut out of all tables, and what was said of that to whom."""

from __future__ import annotations

from collections.abc import Iterable

from lapispass import interface
from lapispass.core.fleet_index import Server
from lapispass.core.messages import MissedOrders
from lapispass.core.resend_set import ResendSet


class WithdrawnServers:
    """Servers shut out, and those of which it must be said again."""

    def __init__(self) -> None:
        self.withdrawn: dict[interface.BackendId, int] = {}  # servers shut out, since when ...
        self.to_resend = ResendSet()  # ... and those of which joiners may have heard otherwise
        self.resending: set[interface.BackendId] = set()  # of these, those that are about to be let in again
        self.sent_under: dict[
            interface.BackendId, int
        ] = {}  # whether it is out was last said under this mark

    def proxy_joined(self, missed: MissedOrders) -> None:
        """A joiner may have missed what was said last, and holds what an earlier stream shut out.

        One that has answered nothing yet may hold what an earlier life of this controller shut out.
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
        """These are about to be let in again."""
        servers = list(servers)
        self.resending = {server.number for server in servers}
        for server in servers:
            self.to_resend.discard(server)

    def postpone(self, number: interface.BackendId) -> None:
        """A server that was about to be let in leaves; once it is back, joiners have still to be told."""
        self.resending.discard(number)
        self.to_resend.add([number])

    def record_sent(self, server: Server, withdrawn: bool, barrier: int, now: int) -> bool:
        """Notes what is said of a server; whether it is let in that was shut out."""
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
        """A server is no longer known; `last_index` is that of the server that became known last.

        A proxy that was away when it was let in may still keep it out, should it come back under its id.
        """
        self.to_resend.forget(number)
        self.resending.discard(number)
        if self.sent_under.pop(number, None) is not None:
            self.to_resend.add_newer(last_index)
