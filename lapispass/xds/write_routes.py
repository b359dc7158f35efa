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
from lapispass.core.versions import ResourceCache, Watch


class WriteRoutes:
    """Opens and closes the write routes of a desk's clients. What is offered of routes never changes."""

    def __init__(self, open_cache: ResourceCache) -> None:
        self.open_cache = open_cache
        self.closed_cache = ResourceCache()
        for name, item in open_cache.by_kind["rds"].items():
            body = Routes(WRITES, 0, "w", 1) if name == WRITES else item.body
            self.closed_cache.put("rds", name, body, item.turn)

    def add_watch(self, client: Client) -> None:
        """Called before a client's first message about routes is taken: it begins with closed ones."""
        if "rds" not in client.watches:
            client.watches["rds"] = Watch("rds", client.is_sotw, self.closed_cache)

    def may_grant(self, client: Client) -> bool:
        """Whether the client is known to hold no open write routes, so that it may get the listener."""
        routes = client.watches.get("rds")
        if routes is None or routes.cache is not self.closed_cache or not routes.settled:
            return False
        closed = self.closed_cache.by_kind["rds"][WRITES].version
        return not routes.wants(WRITES) or routes.acked.get(WRITES) == closed

    def update_routes(self, client: Client) -> None:
        """Opens the routes of a client that has the listener, and closes those of one that may not write."""
        routes = client.watches.get("rds")
        if routes is None:
            return
        cache = self.open_cache if has_listener(client) else self.closed_cache
        if routes.cache is cache:
            return
        routes.cache.open_watches.discard(routes)
        routes.cache = cache
        cache.open_watches.add(routes)
        if routes.wants(WRITES):
            routes.mark_changed(WRITES, 0, False)


def has_listener(client: Client) -> bool:
    """Whether the client may write, and has acknowledged the listener in time."""
    if client.state != "writes":
        return False
    listeners = client.watches["lds"]
    return WRITES in listeners.acked and listeners.answer_time_us <= client.limits.delivery_margin_us
