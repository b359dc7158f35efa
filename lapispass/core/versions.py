"""Resources in versions, and each client's truth: the table it last acknowledged, or may have applied since.

A version is a fingerprint of the content, so a client that comes back to a restarted controller is sent
only what has changed. Which update an acknowledgement means is told by its nonce alone: the same content
may come twice.

At most one response of a kind is on its way to a client; what changes meanwhile is put together for the
next one. So the queue of a stream is bounded by what exists, and a slow client costs only itself.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import xxhash

from lapispass.core.facts import NEVER

KINDS = (
    "cds",
    "eds",
    "lds",
    "rds",
)  # the order in which what is new is sent; what is removed goes the other way
FULL_STATE_KINDS = (
    "cds",
    "lds",
)  # of these a state-of-the-world response always has all, so that what is missing is removed


class VersionedResource(NamedTuple):
    """A resource as it stands: its version, the turn that made it, and its content."""

    version: str
    turn: int
    body: Any
    writes: bool = False  # a table by which writes go


def fingerprint(body: object) -> str:
    """Of a value made of tuples, words and numbers."""
    return xxhash.xxh3_64_hexdigest(repr(body).encode())


class ResourceCache:
    """What is offered to clients, by kind and name."""

    def __init__(self) -> None:
        self.by_kind: dict[str, dict[str, VersionedResource]] = {kind: {} for kind in KINDS}
        self.open_watches: set[Watch] = set()

    def put(self, kind: str, name: str, body: object, turn: int, writes: bool = False) -> bool:
        """Sets a resource; False where it stands so already."""
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
    """A response to be sent: its nonce, what stands, and names that are no more."""

    kind: str
    nonce: str
    resources: dict[str, VersionedResource]
    removed: tuple[str, ...]
    is_renewal: bool = False  # renews a lease: names and versions without content


class AnswerResult(NamedTuple):
    """What a client's message about a kind meant."""

    outcome: str  # 'acknowledged', 'refused', 'stale' or 'asked'
    names: tuple[str, ...] = ()


@dataclass(eq=False)
class Watch:
    """What one stream has of one kind. `hidden` names are not offered to it (a reader's write listener)."""

    kind: str
    is_sotw: bool  # state of the world; else incremental
    cache: ResourceCache
    names: set[str] | None = None  # none: all of them
    sent: dict[str, str] = field(default_factory=dict)  # name: version last sent, "" for a removal
    acked: dict[str, str] = field(default_factory=dict)  # name: version acknowledged
    dirty: set[str] = field(default_factory=set)
    in_flight: Update | None = None  # not answered yet
    sent_at: int = 0
    answer_time_us: int = 0  # until the last response was answered
    nacked: dict[str, str] = field(default_factory=dict)  # name: version it has turned down
    hidden: set[str] = field(default_factory=set)
    unacked_turns: dict[str, int] = field(
        default_factory=dict
    )  # write tables: the first turn it may not have applied
    unacked_at: dict[str, int] = field(default_factory=dict)  # ... and since when
    last_nonce: int = 0
    nacks: int = 0
    now: int = 0

    # interest

    def wants(self, name: str) -> bool:
        return self.names is None or name in self.names

    def begin(self, names: Collection[str] | None, held: Mapping[str, str]) -> None:
        """The first message about this kind: what is wanted (none: all), and what is held from an earlier
        stream."""
        # What it holds of ours it may write by, whether it says that it wants it or not.
        self.names = None if names is None else set(names) | held.keys()
        self.cache.open_watches.add(self)
        for name, version in held.items():
            if name in self.hidden:
                continue  # it runs out there by itself; what is granted anew is sent whole, never renewed
            self.sent[name] = self.acked[name] = version
        offered = self.cache.by_kind[self.kind]
        for name in offered.keys() | held.keys() | (self.names or set()):
            if self.wants(name):
                item = offered.get(name)
                if item is None or name not in self.acked or self.acked[name] != item.version:
                    self.mark_changed(name, item.turn if item else 0, bool(item and item.writes))

    def change_subscription(self, added: Iterable[str], removed: Iterable[str]) -> None:
        """A change of interest. One asked for again is sent again, as the specification has it."""
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
        """State of the world: exactly these are wanted from now on."""
        now = set(names)
        before = self.names if self.names is not None else set(self.sent)
        self.change_subscription(sorted(now - before), sorted(before - now))
        self.names = now

    def mark_changed(self, name: str, turn: int, writes: bool) -> None:
        """Something is to be sent. A write table that may still be the old one counts from its first change
        on."""
        self.dirty.add(name)
        if writes and name not in self.unacked_turns:
            self.unacked_turns[name], self.unacked_at[name] = turn, self.now

    def show(self, name: str) -> None:
        if name in self.hidden:
            self.hidden.discard(name)
            self.dirty.add(name)

    def hide(self, name: str) -> None:
        if name not in self.hidden:
            self.hidden.add(name)
            self.dirty.add(name)

    # sending

    def next_update(self, now: int, max_resources: int, may_remove: bool = True) -> Update | None:
        """The next response, if one is due and none is on its way; `most` resources at the most.

        Removals wait where `may_remove` is false: nothing may point to them any more when they go.
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
                elif (
                    self.acked.get(name) == item.version
                ):  # it has changed there and back: nothing is missing
                    self.unacked_turns.pop(name, None)
                    self.unacked_at.pop(name, None)
                done.append(name)
            elif last or (
                last is None and self.names is not None and name in self.names and not self.is_sotw
            ):
                if may_remove:  # also: one that was asked for and does not exist
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

    def renew(self, name: str, now: int) -> Update | None:
        """A renewal of a resource's time to live; none while anything of the kind is on its way."""
        item = self.cache.by_kind[self.kind].get(name)
        if self.in_flight is not None or item is None or self.acked.get(name) != item.version:
            return None
        items = {name: item}
        if self.is_sotw and self.kind in FULL_STATE_KINDS:  # what it leaves out would count as removed
            items = {other: one for other, one in self.cache.by_kind[self.kind].items()
                     if self.wants(other) and other not in self.hidden}  # fmt: skip
        return self._send(Update(self.kind, self._nonce(), items, (), True), now)

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
        """An acknowledgement, or its opposite. One with another nonce than the last sent is stale, and
        means nothing.

        Turned down, a response may still have been applied in part: what it had stays 'may have applied',
        and what was before stays possible too. The same version is not sent again; a further one is.
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
                continue  # it is not wanted any more
            self.acked[name] = item.version
            self.nacked.pop(name, None)
            current = self.cache.by_kind[self.kind].get(name)
            if (
                current is not None and current.version == item.version
            ):  # perhaps of a later turn: it is the same
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
        """All write tables up to this turn are known to rule here."""
        return min(self.unacked_turns.values(), default=NEVER) - 1

    @property
    def unacked_since(self) -> int:
        """Since when the oldest write table has not been acknowledged; `NEVER` where none is missing."""
        return min(self.unacked_at.values(), default=NEVER)

    @property
    def settled(self) -> bool:
        """Nothing is on its way, and nothing is to be sent."""
        return self.in_flight is None and not self.dirty

    def end(self) -> None:
        self.cache.open_watches.discard(self)
