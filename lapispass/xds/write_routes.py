"""Write routes that a client gets last, after it has acknowledged the write listener in time.

A client may stand still with the write listener received and not read. Once its stream has been cut, nobody
learns when it reads that listener, whose time to live counts from then. So the listener alone lets nothing
through: a client is granted it only while its write routes are closed, and they are opened on the same
stream, once the listener is acknowledged. Routes that are read late open nothing, since the listener has run
out by then.
"""

from __future__ import annotations

from lapispass.core.clients import WRITES, Client
from lapispass.core.resources import Routes
from lapispass.core.versions import Shelf, Watch


class WriteRoutes:
    """Opens and closes the write routes of a desk's clients. What is offered of routes never changes."""

    def __init__(self, offered: Shelf) -> None:
        self.offered = offered
        self.closed = Shelf()
        for name, item in offered.items["rds"].items():
            body = Routes(WRITES, 0, "w", 1) if name == WRITES else item.body
            self.closed.put("rds", name, body, item.turn)

    def watch(self, client: Client) -> None:
        """Called before a client's first message about routes is taken: it begins with closed ones."""
        if "rds" not in client.watches:
            client.watches["rds"] = Watch("rds", client.whole, self.closed)

    def may_grant(self, client: Client) -> bool:
        """Whether the client is known to hold no open write routes, so that it may get the listener."""
        routes = client.watches.get("rds")
        if routes is None or routes.shelf is not self.closed or not routes.settled:
            return False
        closed = self.closed.items["rds"][WRITES].version
        return not routes.wants(WRITES) or routes.holds.get(WRITES) == closed

    def follow(self, client: Client) -> None:
        """Opens the routes of a client that has the listener, and closes those of one that may not write."""
        routes = client.watches.get("rds")
        if routes is None:
            return
        shelf = self.offered if has_listener(client) else self.closed
        if routes.shelf is shelf:
            return
        routes.shelf.watchers.discard(routes)
        routes.shelf = shelf
        shelf.watchers.add(routes)
        if routes.wants(WRITES):
            routes.changed(WRITES, 0, False)


def has_listener(client: Client) -> bool:
    """Whether the client may write, and has acknowledged the listener in time."""
    if client.state != "writes":
        return False
    listeners = client.watches["lds"]
    return WRITES in listeners.holds and listeners.took_us <= client.terms.slack_us
