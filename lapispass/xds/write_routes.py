"""Write routes, which a client gets last, after it has acknowledged the write listener in time.

A client may pause when it has received the write listener and not read it yet. Once its stream has been cut,
the controller cannot know when the client reads that listener, and its time to live starts only then. So the
listener alone must not admit writes. A client is granted the listener only while its write routes are
closed, that is empty. They are opened on the same stream once the listener is acknowledged. Routes that are
read late admit nothing, because the listener has expired by then.
"""

from __future__ import annotations

from lapispass.core.clients import WRITES, Client
from lapispass.core.resources import Routes
from lapispass.core.versions import ResourceCache, Watch


class WriteRoutes:
    """Opens and closes the write routes of the server's clients, by switching between two caches.

    The routes in both caches never change.
    """

    def __init__(self, open_cache: ResourceCache) -> None:
        self.open_cache = open_cache
        self.closed_cache = ResourceCache()
        for name, item in open_cache.by_kind["rds"].items():
            body = Routes(WRITES, 0, "w", 1) if name == WRITES else item.body
            self.closed_cache.put("rds", name, body, item.turn)

    def add_watch(self, client: Client) -> None:
        """Gives the client closed routes; to be called before its first message about routes is handled."""
        if "rds" not in client.watches:
            client.watches["rds"] = Watch("rds", client.is_sotw, self.closed_cache)

    def may_grant(self, client: Client) -> bool:
        """Whether the client is known to hold no open write routes, so that it may be sent the listener."""
        routes = client.watches.get("rds")
        if routes is None or routes.cache is not self.closed_cache or not routes.settled:
            return False
        closed = self.closed_cache.by_kind["rds"][WRITES].version
        return not routes.wants(WRITES) or routes.acked.get(WRITES) == closed

    def update_routes(self, client: Client) -> None:
        """Opens the write routes if the client has the write listener, and closes them otherwise."""
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
    """Whether the client may write and has acknowledged the write listener in time."""
    if client.state != "writes":
        return False
    listeners = client.watches["lds"]
    return WRITES in listeners.acked and listeners.answer_time_us <= client.limits.delivery_margin_us
