"""When the write routes of a client are open, depending on its write listener."""

from __future__ import annotations

from collections import deque

import pytest

from lapispass.core import resources
from lapispass.core.clients import WRITES, Client, ClientLimits, ProxyNumbers
from lapispass.core.shared_types import SECOND
from lapispass.core.versions import ResourceCache, Update
from lapispass.xds.write_routes import WriteRoutes

NOW = 1_000 * SECOND
LIMITS = ClientLimits(lease_us=2 * SECOND)


class Stream:
    """A client's stream and the steps that its server takes, without a network."""

    def __init__(self, is_sotw: bool = False, routes: set[str] | None = None, held: str = "") -> None:
        self.cache, self.numbers, self.now = ResourceCache(), ProxyNumbers(100, LIMITS.lease_us), NOW
        resources.put_static_resources(self.cache, 2, 1, LIMITS.ttl_us)
        self.write_routes = WriteRoutes(self.cache)
        self.client = Client("c0", "east", is_sotw, True, self.cache, LIMITS, NOW)
        for kind in ("cds", "eds", "lds"):
            self.client.watch(kind).begin(None, {})
        self.write_routes.add_watch(self.client)
        self.client.watch("rds").begin(routes, {WRITES: held} if held else {})

    def version(self, is_open: bool) -> str:
        cache = self.cache if is_open else self.write_routes.closed_cache
        return cache.by_kind["rds"][WRITES].version

    def advance(self) -> list[Update]:
        self.write_routes.update_routes(self.client)
        may_write = self.client.state != "reads" or self.write_routes.may_grant(self.client)
        return self.client.advance(self.now, 0, deque(), self.numbers, may_write).updates

    def acknowledge(self, updates: list[Update], after_us: int = 0) -> None:
        for update in updates:
            result = self.client.watches[update.kind].handle_answer(update.nonce, False, self.now + after_us)
            assert result.outcome == "acknowledged"
        self.now += after_us

    def sent(self, until: str = "", max_steps: int = 20) -> list[tuple[str, str]]:
        """Kinds and versions of the listeners and routes for writes, in the order in which they are sent.

        Acknowledges everything, until a resource of the kind `until` is sent.
        """
        seen: list[tuple[str, str]] = []
        for _ in range(max_steps):
            updates = self.advance()
            for update in updates:
                if WRITES in update.resources and not update.is_renewal:
                    seen.append((update.kind, update.resources[WRITES].version))
                    if update.kind == until:
                        return seen
            self.acknowledge(updates)
        return seen


@pytest.mark.parametrize("is_sotw", [False, True])
def test_the_listener_comes_between_closed_routes_and_open_ones(is_sotw: bool) -> None:
    stream = Stream(is_sotw)
    expected = [("rds", stream.version(False)), ("lds", stream.cache.by_kind["lds"][WRITES].version)]
    assert stream.sent() == [*expected, ("rds", stream.version(True))]


def test_open_routes_held_from_an_earlier_stream_are_closed_before_the_listener_is_granted() -> None:
    """A paused client may read its grant after the slices have new owners; open routes would break rule 2."""
    stream = Stream(held=Stream().version(True))
    assert stream.sent(until="lds") == [
        ("rds", stream.version(False)),
        ("lds", stream.cache.by_kind["lds"][WRITES].version),
    ]


def test_the_listener_waits_until_closed_routes_are_acknowledged() -> None:
    stream = Stream(held=Stream().version(True))
    for _ in range(5):
        stream.acknowledge([update for update in stream.advance() if update.kind != "rds"])
    assert stream.client.state == "reads"


def test_a_client_that_has_not_asked_for_routes_yet_is_granted_nothing() -> None:
    stream = Stream()
    del stream.client.watches["rds"]
    assert stream.sent() == [] and stream.client.state == "reads"


def test_a_client_that_asks_for_write_routes_after_it_has_the_listener_gets_open_ones() -> None:
    # Envoy subscribes to the routes that its listeners name.
    stream = Stream(routes={"reads"})
    assert [kind for kind, _ in stream.sent()] == ["lds"]
    stream.client.watches["rds"].change_subscription([WRITES], [])
    assert stream.sent() == [("rds", stream.version(True))]


def test_routes_stay_closed_where_the_listener_is_acknowledged_late() -> None:
    stream = Stream()
    stream.sent(until="lds")
    listeners = stream.client.watches["lds"]
    assert listeners.in_flight is not None
    stream.acknowledge([listeners.in_flight], LIMITS.delivery_margin_us + 1)
    assert stream.sent() == [] and stream.client.state == "reads"


def test_routes_are_closed_anew_where_the_right_to_write_ends_and_open_with_the_next_grant() -> None:
    stream = Stream()
    stream.sent()
    stream.client.watches["eds"].nacks = LIMITS.max_nacks
    assert stream.sent() == [("rds", stream.version(False))]
    assert stream.client.state == "reads"
    stream.client.watches["eds"].nacks = 0
    stream.now = stream.client.probation_until
    expected = [("lds", stream.cache.by_kind["lds"][WRITES].version), ("rds", stream.version(True))]
    assert stream.sent() == expected


def test_routes_are_followed_by_no_stream_that_has_ended() -> None:
    stream = Stream()
    stream.sent()
    stream.client.end(stream.now, stream.numbers)
    assert not stream.cache.open_watches and not stream.write_routes.closed_cache.open_watches
