"""Versioned resources, and what each client has acknowledged of them or may have applied since.

A version is a fingerprint of the content, so a client that reconnects to a restarted controller is sent only
what has changed. An acknowledgement is matched to its response by the nonce alone, because the same content
may be sent twice.

At most one response of a kind is in flight to a client. Changes that happen meanwhile are merged into the
next response. So the queue of a stream is bounded by the number of resources, and a slow client delays only
itself.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import xxhash

from lapispass.core.shared_types import NEVER

# Additions are sent in this order of kinds, removals in the opposite order.
KINDS = ("cds", "eds", "lds", "rds")
# A state-of-the-world response contains all resources of these kinds; clients remove any others.
FULL_STATE_KINDS = ("cds", "lds")


class VersionedResource(NamedTuple):
    """A resource as it is published: its version, the turn that changed it last, and its content."""

    version: str
    turn: int
    body: Any
    writes: bool = False  # whether writes are routed by it


def fingerprint(body: object) -> str:
    """The version string of a value that is made of tuples, strings and numbers."""
    return xxhash.xxh3_64_hexdigest(repr(body).encode())


class ResourceCache:
    """The resources that are offered to clients, by kind and name."""

    def __init__(self) -> None:
        self.by_kind: dict[str, dict[str, VersionedResource]] = {kind: {} for kind in KINDS}
        self.open_watches: set[Watch] = set()

    def put(self, kind: str, name: str, body: object, turn: int, writes: bool = False) -> bool:
        """Sets a resource and marks it for sending; False if its content has not changed."""
        version = fingerprint(body)
        old = self.by_kind[kind].get(name)
        if old is not None and old.version == version:
            return False
        self.by_kind[kind][name] = VersionedResource(version, turn, body, writes)
        self._notify_watches(kind, name, turn, writes)
        return True

    def remove(self, kind: str, name: str, turn: int) -> bool:
        old = self.by_kind[kind].pop(name, None)
        if old is not None:
            self._notify_watches(kind, name, turn, old.writes)
        return old is not None

    def _notify_watches(self, kind: str, name: str, turn: int, writes: bool) -> None:
        for watch in self.open_watches:
            if watch.kind == kind and watch.wants(name):
                watch.mark_changed(name, turn, writes)


class Update(NamedTuple):
    """A response to be sent: its nonce, the resources, and the names of removed ones."""

    kind: str
    nonce: str
    resources: dict[str, VersionedResource]
    removed: tuple[str, ...]
    is_renewal: bool = False  # extends a time to live: names and versions without content


class AnswerResult(NamedTuple):
    """What a client's answer to a response meant, and the names of the resources in that response."""

    outcome: str  # 'acknowledged', 'refused' or 'stale'
    names: tuple[str, ...] = ()


@dataclass(eq=False)
class Watch:
    """The state of one stream's subscription to one kind of resource.

    Names in `hidden` are not offered to it, such as the write listener to a client that may only read.
    """

    kind: str
    is_sotw: bool  # the state-of-the-world protocol; otherwise the incremental one
    cache: ResourceCache
    names: set[str] | None = None  # the names subscribed to; None: all
    sent: dict[str, str] = field(default_factory=dict)  # version last sent by name, "" for a removal
    acked: dict[str, str] = field(default_factory=dict)  # version acknowledged, by name
    dirty: set[str] = field(default_factory=set)  # names that may have to be sent
    in_flight: Update | None = None  # the response that the client has not answered yet
    sent_at: int = 0  # when the last response was sent
    answer_time_us: int = 0  # from sending the last answered response to its answer
    nacked: dict[str, str] = field(default_factory=dict)  # version last rejected, by name
    hidden: set[str] = field(default_factory=set)
    # Resources for writes whose current version is not acknowledged, by name: the first turn that the client
    # may not have applied, and the time since when.
    unacked_turns: dict[str, int] = field(default_factory=dict)
    unacked_at: dict[str, int] = field(default_factory=dict)
    last_nonce: int = 0
    nacks: int = 0  # rejected responses in a row
    now: int = 0

    # subscription

    def wants(self, name: str) -> bool:
        return self.names is None or name in self.names

    def begin(self, names: Collection[str] | None, held: Mapping[str, str]) -> None:
        """Handles the first message about this kind.

        `names` are those subscribed to (None: all), `held` the versions kept from an earlier stream.
        """
        # The client may write by any resource that it still holds, whether it subscribes to it or not.
        self.names = None if names is None else set(names) | held.keys()
        self.cache.open_watches.add(self)
        for name, version in held.items():
            if name in self.hidden:
                continue  # it expires at the client; a new grant is sent in full, not as a renewal
            self.sent[name] = self.acked[name] = version
        offered = self.cache.by_kind[self.kind]
        for name in offered.keys() | held.keys() | (self.names or set()):
            if self.wants(name):
                item = offered.get(name)
                if item is None or name not in self.acked or self.acked[name] != item.version:
                    self.mark_changed(name, item.turn if item else 0, bool(item and item.writes))

    def change_subscription(self, added: Iterable[str], removed: Iterable[str]) -> None:
        """Adds and removes names. A name that is subscribed to again is sent again, as xDS specifies."""
        for name in removed:
            if name == "*" and self.names is None:
                self.names = set(self.sent)
            elif self.names is not None:
                self.names.discard(name)
            for known in (self.sent, self.acked, self.nacked, self.unacked_turns, self.unacked_at):
                known.pop(name, None)
            self.dirty.discard(name)
        for name in added:
            if name == "*":
                self.names = None
                self.dirty |= {known for known in self.cache.by_kind[self.kind] if known not in self.sent}
                continue
            if self.names is not None:
                self.names.add(name)
            self.sent.pop(name, None)
            self.nacked.pop(name, None)
            item = self.cache.by_kind[self.kind].get(name)
            self.mark_changed(name, item.turn if item else 0, bool(item and item.writes))

    def replace_subscription(self, names: Collection[str]) -> None:
        """Subscribes to exactly these names, as a state-of-the-world request does."""
        wanted = set(names)
        before = self.names if self.names is not None else set(self.sent)
        self.change_subscription(sorted(wanted - before), sorted(before - wanted))
        self.names = wanted

    def mark_changed(self, name: str, turn: int, writes: bool) -> None:
        """Marks a resource for sending.

        One that writes are routed by counts as unacknowledged from the first change that the client may not
        have applied.
        """
        self.dirty.add(name)
        if writes and name not in self.unacked_turns:
            self.unacked_turns[name], self.unacked_at[name] = turn, self.now

    def show(self, name: str) -> None:
        """Offers a resource that was hidden."""
        if name in self.hidden:
            self.hidden.discard(name)
            self.dirty.add(name)

    def hide(self, name: str) -> None:
        """Stops offering a resource, so that the client removes it."""
        if name not in self.hidden:
            self.hidden.add(name)
            self.dirty.add(name)

    # sending

    def next_update(self, now: int, max_resources: int, may_remove: bool = True) -> Update | None:
        """The next response, with at most `max_resources`; None if nothing is due or one is in flight.

        Removals are held back while `may_remove` is false, because other resources may still refer to them.
        """
        self.now = now
        if self.in_flight is not None or not self.dirty:
            return None
        offered = self.cache.by_kind[self.kind]
        items: dict[str, VersionedResource] = {}
        removed: list[str] = []
        done: list[str] = []
        for name in sorted(self.dirty):
            if len(items) + len(removed) >= max_resources:
                break
            item = offered.get(name) if self.wants(name) and name not in self.hidden else None
            last = self.sent.get(name)
            if item is not None:
                if item.version != last and item.version != self.nacked.get(name):
                    items[name] = item
                elif self.acked.get(name) == item.version:
                    # It has changed and changed back: the client holds this version already.
                    self.unacked_turns.pop(name, None)
                    self.unacked_at.pop(name, None)
                done.append(name)
            elif last or (
                last is None and self.names is not None and name in self.names and not self.is_sotw
            ):
                if may_remove:  # also reports a name that was subscribed to and does not exist
                    removed.append(name)
                    done.append(name)
            else:
                done.append(name)
        self.dirty.difference_update(done)
        if not items and not removed:
            return None
        if self.is_sotw and self.kind in FULL_STATE_KINDS:
            items = {
                name: item for name, item in offered.items() if self.wants(name) and name not in self.hidden
            }
        return self._send(Update(self.kind, self._nonce(), items, tuple(removed)), now)

    def renew(self, name: str, now: int, in_full: bool = False) -> Update | None:
        """A response that renews a resource's time to live, and brings the resource back if it is in full.

        None while a response of this kind is in flight, or if the client does not hold the current version.
        """
        item = self.cache.by_kind[self.kind].get(name)
        if self.in_flight is not None or item is None or self.acked.get(name) != item.version:
            return None
        items = {name: item}
        if self.is_sotw and self.kind in FULL_STATE_KINDS:  # the client would remove any that is left out
            items = {other: resource for other, resource in self.cache.by_kind[self.kind].items()
                     if self.wants(other) and other not in self.hidden}  # fmt: skip
        return self._send(Update(self.kind, self._nonce(), items, (), not in_full), now)

    def _nonce(self) -> str:
        self.last_nonce += 1
        return f"{self.kind}{self.last_nonce}"

    def _send(self, update: Update, now: int) -> Update:
        self.in_flight, self.sent_at = update, now
        for name, item in update.resources.items():
            self.sent[name] = item.version
        for name in update.removed:
            self.sent[name] = ""
        return update

    # answers

    def handle_answer(self, nonce: str, is_nack: bool, now: int) -> AnswerResult:
        """Handles an acknowledgement (ACK) or a rejection (NACK).

        An answer with another nonce than that of the response in flight is stale and has no effect.

        A rejected response may have been applied in part, so the client may use its resources or the
        previous ones. The rejected version is not sent again; a later version is.
        """
        update = self.in_flight
        if update is None or nonce != update.nonce:
            return AnswerResult("stale")
        self.in_flight, self.now, self.answer_time_us = None, now, now - self.sent_at
        if is_nack:
            self.nacks += 1
            for name, item in update.resources.items():
                self.nacked[name] = item.version
            return AnswerResult("refused", tuple(update.resources))
        self.nacks = 0
        for name, item in update.resources.items():
            if name not in self.sent:
                continue  # the client has unsubscribed from it meanwhile
            self.acked[name] = item.version
            self.nacked.pop(name, None)
            current = self.cache.by_kind[self.kind].get(name)
            if current is not None and current.version == item.version:
                # A later turn may have made this version current again; the content is the same.
                self.unacked_turns.pop(name, None)
                self.unacked_at.pop(name, None)
            elif name in self.unacked_turns:
                self.unacked_turns[name] = max(self.unacked_turns[name], item.turn + 1)
                self.unacked_at[name] = self.now
        for name in update.removed:
            self.acked.pop(name, None)
            if not self.cache.by_kind[self.kind].get(name):
                self.sent.pop(name, None)
                self.unacked_turns.pop(name, None)
                self.unacked_at.pop(name, None)
        return AnswerResult("acknowledged", tuple(update.resources))

    @property
    def acked_turn(self) -> int:
        """The last turn up to which the client has acknowledged all resources that writes are routed by."""
        return min(self.unacked_turns.values(), default=NEVER) - 1

    @property
    def unacked_since(self) -> int:
        """Since when the oldest write resource has been unacknowledged; `NEVER` if there is none."""
        return min(self.unacked_at.values(), default=NEVER)

    @property
    def settled(self) -> bool:
        """Whether no response is in flight and none is to be sent."""
        return self.in_flight is None and not self.dirty

    def end(self) -> None:
        """Stops following the cache, as the stream has ended."""
        self.cache.open_watches.discard(self)
