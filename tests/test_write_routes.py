"""When a client's write routes are open, beside its write listener."""

from __future__ import annotations

from collections import deque

import pytest

from lapispass.core import resources
from lapispass.core.clients import WRITES, Client, Numbers, Terms
from lapispass.core.shared_types import SECOND
from lapispass.core.versions import Shelf, Update
from lapispass.xds.write_routes import WriteRoutes

NOW = 1_000 * SECOND
TERMS = Terms(lease_us=2 * SECOND)


class Stream:
    """A client and its server's steps, without a network."""

    def __init__(self, whole: bool = False, routes: set[str] | None = None, held: str = "") -> None:
        self.offered, self.numbers, self.now = Shelf(), Numbers(100, TERMS.lease_us), NOW
        resources.fixed(self.offered, 2, 1, TERMS.ttl_us)
        self.write_routes = WriteRoutes(self.offered)
        self.client = Client("c0", "east", whole, True, self.offered, TERMS, NOW)
        for kind in ("cds", "eds", "lds"):
            self.client.watch(kind).begin(None, {})
        self.write_routes.watch(self.client)
        self.client.watch("rds").begin(routes, {WRITES: held} if held else {})

    def version(self, is_open: bool) -> str:
        shelf = self.offered if is_open else self.write_routes.closed
        return shelf.items["rds"][WRITES].version

    def look(self) -> list[Update]:
        self.write_routes.follow(self.client)
        may_write = self.client.state != "reads" or self.write_routes.may_grant(self.client)
        return self.client.look(self.now, 0, deque(), self.numbers, may_write).updates

    def acknowledge(self, updates: list[Update], after_us: int = 0) -> None:
        for update in updates:
            heard = self.client.watches[update.kind].answered(update.nonce, False, self.now + after_us)
            assert heard.what == "acknowledged"
        self.now += after_us

    def sent(self, until: str = "", most: int = 20) -> list[tuple[str, str]]:
        """Names and versions of listeners and routes of writes, in the order in which they were sent.

        Everything is acknowledged, but an update with `until`, which ends it.
        """
        seen: list[tuple[str, str]] = []
        for _ in range(most):
            updates = self.look()
            for update in updates:
                if WRITES in update.items and not update.beat:
                    seen.append((update.kind, update.items[WRITES].version))
                    if update.kind == until:
                        return seen
            self.acknowledge(updates)
        return seen


@pytest.mark.parametrize("whole", [False, True])
def test_the_listener_comes_between_closed_routes_and_open_ones(whole: bool) -> None:
    stream = Stream(whole)
    kinds = [("rds", stream.version(False)), ("lds", stream.offered.items["lds"][WRITES].version)]
    assert stream.sent() == [*kinds, ("rds", stream.version(True))]


def test_open_routes_held_from_an_earlier_stream_are_closed_before_the_listener_is_granted() -> None:
    """Guards rule 2 where a stopped client reads its grant after the slices have new owners."""
    stream = Stream(held=Stream().version(True))
    assert stream.sent(until="lds") == [
        ("rds", stream.version(False)),
        ("lds", stream.offered.items["lds"][WRITES].version),
    ]


def test_the_listener_waits_until_closed_routes_are_acknowledged() -> None:
    stream = Stream(held=Stream().version(True))
    for _ in range(5):
        stream.acknowledge([update for update in stream.look() if update.kind != "rds"])
    assert stream.client.state == "reads"


def test_a_client_that_has_not_asked_for_routes_yet_is_granted_nothing() -> None:
    stream = Stream()
    del stream.client.watches["rds"]
    assert stream.sent() == [] and stream.client.state == "reads"


def test_a_client_that_asks_for_write_routes_after_it_has_the_listener_gets_open_ones() -> None:
    # Envoy asks for the routes that its listeners name.
    stream = Stream(routes={"reads"})
    assert [kind for kind, _ in stream.sent()] == ["lds"]
    stream.client.watches["rds"].want([WRITES], [])
    assert stream.sent() == [("rds", stream.version(True))]


def test_routes_stay_closed_where_the_listener_is_acknowledged_late() -> None:
    stream = Stream()
    stream.sent(until="lds")
    listeners = stream.client.watches["lds"]
    assert listeners.out is not None
    stream.acknowledge([listeners.out], TERMS.slack_us + 1)
    assert stream.sent() == [] and stream.client.state == "reads"


def test_routes_are_closed_anew_where_the_right_to_write_ends_and_open_with_the_next_grant() -> None:
    stream = Stream()
    stream.sent()
    stream.client.watches["eds"].nacks = TERMS.nacks_most
    assert stream.sent() == [("rds", stream.version(False))]
    assert stream.client.state == "reads"
    stream.client.watches["eds"].nacks = 0
    stream.now = stream.client.probation_until
    kinds = [("lds", stream.offered.items["lds"][WRITES].version), ("rds", stream.version(True))]
    assert stream.sent() == kinds


def test_routes_are_followed_by_no_stream_that_has_ended() -> None:
    stream = Stream()
    stream.sent()
    stream.client.end(stream.now, stream.numbers)
    assert not stream.offered.watchers and not stream.write_routes.closed.watchers
