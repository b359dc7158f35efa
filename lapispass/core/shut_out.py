"""Which servers are shut out of all tables, and what was said of that to whom."""

from __future__ import annotations

from collections.abc import Iterable

from lapispass import interface
from lapispass.core.fleet_index import Server
from lapispass.core.messages import MissedOrders
from lapispass.core.repeats import Repeats


class ShutOut:
    """Servers shut out, and those of which it must be said again."""

    def __init__(self) -> None:
        self.out: dict[interface.BackendId, int] = {}  # servers shut out, since when ...
        self.again = Repeats()  # ... and those of which joiners may have heard otherwise
        self.repeats: set[interface.BackendId] = set()  # of these, those that are about to be let in again
        self.said: dict[interface.BackendId, int] = {}  # whether it is out was last said under this mark

    def missed(self, note: MissedOrders) -> None:
        """A joiner may have missed what was said last, and holds what an earlier stream shut out.

        One that has answered nothing yet may hold what an earlier life of this controller shut out.
        """
        if note.first_stream:
            self.again.add(self.out)
        elif note.barrier < 0:
            self.again.add_all()
        else:
            self.again.add(number for number, said in self.said.items() if said > note.barrier)

    def repeat(self, servers: Iterable[Server]) -> None:
        """These are about to be let in again."""
        servers = list(servers)
        self.repeats = {server.number for server in servers}
        for server in servers:
            self.again.discard(server)

    def postpone(self, number: interface.BackendId) -> None:
        """A server that was about to be let in leaves; once it is back, joiners have still to be told."""
        self.repeats.discard(number)
        self.again.add([number])

    def say(self, server: Server, out: bool, mark: int, now: int) -> bool:
        """Notes what is said of a server; whether it is let in that was shut out."""
        number, was_out = server.number, server.number in self.out
        if out:
            self.out.setdefault(number, now)
        else:
            self.out.pop(number, None)
        self.again.discard(server)
        self.repeats.discard(number)
        self.said[number] = mark
        return was_out and not out

    def forget(self, number: interface.BackendId, last_place: int) -> None:
        """A server is no longer known; `last_place` is that of the server that became known last.

        A proxy that was away when it was let in may still keep it out, should it come back under its id.
        """
        self.again.forget(number)
        self.repeats.discard(number)
        if self.said.pop(number, None) is not None:
            self.again.add_newcomers(last_place)
