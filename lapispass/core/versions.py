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

from lapispass.core.shared_types import NEVER

KINDS = (
    "cds",
    "eds",
    "lds",
    "rds",
)  # the order in which what is new is sent; what is removed goes the other way
WHOLE = (
    "cds",
    "lds",
)  # of these a state-of-the-world response always has all, so that what is missing is removed


class Item(NamedTuple):
    """A resource as it stands: its version, the turn that made it, and its content."""

    version: str
    turn: int
    body: Any
    writes: bool = False  # a table by which writes go


def fingerprint(body: object) -> str:
    """Of a value made of tuples, words and numbers."""
    return xxhash.xxh3_64_hexdigest(repr(body).encode())


class Shelf:
    """What is offered to clients, by kind and name."""

    def __init__(self) -> None:
        self.items: dict[str, dict[str, Item]] = {kind: {} for kind in KINDS}
        self.watchers: set[Watch] = set()

    def put(self, kind: str, name: str, body: object, turn: int, writes: bool = False) -> bool:
        """Sets a resource; False where it stands so already."""
        version = fingerprint(body)
        old = self.items[kind].get(name)
        if old is not None and old.version == version:
            return False
        self.items[kind][name] = Item(version, turn, body, writes)
        self._tell(kind, name, turn, writes)
        return True

    def remove(self, kind: str, name: str, turn: int) -> bool:
        old = self.items[kind].pop(name, None)
        if old is not None:
            self._tell(kind, name, turn, old.writes)
        return old is not None

    def _tell(self, kind: str, name: str, turn: int, writes: bool) -> None:
        for watch in self.watchers:
            if watch.kind == kind and watch.wants(name):
                watch.changed(name, turn, writes)


class Update(NamedTuple):
    """A response to be sent: its nonce, what stands, and names that are no more."""

    kind: str
    nonce: str
    items: dict[str, Item]
    removed: tuple[str, ...]
    beat: bool = False  # renews a lease: names and versions without content


class Heard(NamedTuple):
    """What a client's message about a kind meant."""

    what: str  # 'acknowledged', 'refused', 'stale' or 'asked'
    names: tuple[str, ...] = ()


@dataclass(eq=False)
class Watch:
    """What one stream has of one kind. `hidden` names are not offered to it (a reader's write listener)."""

    kind: str
    whole: bool  # state of the world; else incremental
    shelf: Shelf
    names: set[str] | None = None  # none: all of them
    sent: dict[str, str] = field(default_factory=dict)  # name: version last sent, "" for a removal
    holds: dict[str, str] = field(default_factory=dict)  # name: version acknowledged
    dirty: set[str] = field(default_factory=set)
    out: Update | None = None  # not answered yet
    out_at: int = 0
    took_us: int = 0  # until the last response was answered
    refused: dict[str, str] = field(default_factory=dict)  # name: version it has turned down
    hidden: set[str] = field(default_factory=set)
    unproven: dict[str, int] = field(
        default_factory=dict
    )  # write tables: the first turn it may not have applied
    unproven_at: dict[str, int] = field(default_factory=dict)  # ... and since when
    number: int = 0
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
        self.shelf.watchers.add(self)
        for name, version in held.items():
            if name in self.hidden:
                continue  # it runs out there by itself; what is granted anew is sent whole, never renewed
            self.sent[name] = self.holds[name] = version
        offered = self.shelf.items[self.kind]
        for name in offered.keys() | held.keys() | (self.names or set()):
            if self.wants(name):
                item = offered.get(name)
                if item is None or name not in self.holds or self.holds[name] != item.version:
                    self.changed(name, item.turn if item else 0, bool(item and item.writes))

    def want(self, more: Iterable[str], less: Iterable[str]) -> None:
        """A change of interest. One asked for again is sent again, as the specification has it."""
        for name in less:
            if name == "*" and self.names is None:
                self.names = set(self.sent)
            elif self.names is not None:
                self.names.discard(name)
            for known in (self.sent, self.holds, self.refused, self.unproven, self.unproven_at):
                known.pop(name, None)
            self.dirty.discard(name)
        for name in more:
            if name == "*":
                self.names = None
                self.dirty |= {known for known in self.shelf.items[self.kind] if known not in self.sent}
                continue
            if self.names is not None:
                self.names.add(name)
            self.sent.pop(name, None)
            self.refused.pop(name, None)
            item = self.shelf.items[self.kind].get(name)
            self.changed(name, item.turn if item else 0, bool(item and item.writes))

    def only(self, names: Collection[str]) -> None:
        """State of the world: exactly these are wanted from now on."""
        now = set(names)
        before = self.names if self.names is not None else set(self.sent)
        self.want(sorted(now - before), sorted(before - now))
        self.names = now

    def changed(self, name: str, turn: int, writes: bool) -> None:
        """Something is to be sent. A write table that may still be the old one counts from its first change
        on."""
        self.dirty.add(name)
        if writes and name not in self.unproven:
            self.unproven[name], self.unproven_at[name] = turn, self.now

    def show(self, name: str) -> None:
        if name in self.hidden:
            self.hidden.discard(name)
            self.dirty.add(name)

    def hide(self, name: str) -> None:
        if name not in self.hidden:
            self.hidden.add(name)
            self.dirty.add(name)

    # sending

    def due(self, now: int, most: int, may_remove: bool = True) -> Update | None:
        """The next response, if one is due and none is on its way; `most` resources at the most.

        Removals wait where `may_remove` is false: nothing may point to them any more when they go.
        """
        self.now = now
        if self.out is not None or not self.dirty:
            return None
        offered = self.shelf.items[self.kind]
        items: dict[str, Item] = {}
        removed: list[str] = []
        done: list[str] = []
        for name in sorted(self.dirty):
            if len(items) + len(removed) >= most:
                break
            item = offered.get(name) if self.wants(name) and name not in self.hidden else None
            last = self.sent.get(name)
            if item is not None:
                if item.version != last and item.version != self.refused.get(name):
                    items[name] = item
                elif (
                    self.holds.get(name) == item.version
                ):  # it has changed there and back: nothing is missing
                    self.unproven.pop(name, None)
                    self.unproven_at.pop(name, None)
                done.append(name)
            elif last or (last is None and self.names is not None and name in self.names and not self.whole):
                if may_remove:  # also: one that was asked for and does not exist
                    removed.append(name)
                    done.append(name)
            else:
                done.append(name)
        self.dirty.difference_update(done)
        if not items and not removed:
            return None
        if self.whole and self.kind in WHOLE:
            items = {
                name: item for name, item in offered.items() if self.wants(name) and name not in self.hidden
            }
        return self._send(Update(self.kind, self._nonce(), items, tuple(removed)), now)

    def beat(self, name: str, now: int) -> Update | None:
        """A renewal of a resource's time to live; none while anything of the kind is on its way."""
        item = self.shelf.items[self.kind].get(name)
        if self.out is not None or item is None or self.holds.get(name) != item.version:
            return None
        items = {name: item}
        if self.whole and self.kind in WHOLE:  # what it leaves out would count as removed
            items = {other: one for other, one in self.shelf.items[self.kind].items()
                     if self.wants(other) and other not in self.hidden}  # fmt: skip
        return self._send(Update(self.kind, self._nonce(), items, (), True), now)

    def _nonce(self) -> str:
        self.number += 1
        return f"{self.kind}{self.number}"

    def _send(self, update: Update, now: int) -> Update:
        self.out, self.out_at = update, now
        for name, item in update.items.items():
            self.sent[name] = item.version
        for name in update.removed:
            self.sent[name] = ""
        return update

    # answers

    def answered(self, nonce: str, refused: bool, now: int) -> Heard:
        """An acknowledgement, or its opposite. One with another nonce than the last sent is stale, and
        means nothing.

        Turned down, a response may still have been applied in part: what it had stays 'may have applied',
        and what was before stays possible too. The same version is not sent again; a further one is.
        """
        update = self.out
        if update is None or nonce != update.nonce:
            return Heard("stale")
        self.out, self.now, self.took_us = None, now, now - self.out_at
        if refused:
            self.nacks += 1
            for name, item in update.items.items():
                self.refused[name] = item.version
            return Heard("refused", tuple(update.items))
        self.nacks = 0
        for name, item in update.items.items():
            if name not in self.sent:
                continue  # it is not wanted any more
            self.holds[name] = item.version
            self.refused.pop(name, None)
            current = self.shelf.items[self.kind].get(name)
            if (
                current is not None and current.version == item.version
            ):  # perhaps of a later turn: it is the same
                self.unproven.pop(name, None)
                self.unproven_at.pop(name, None)
            elif name in self.unproven:
                self.unproven[name] = max(self.unproven[name], item.turn + 1)
                self.unproven_at[name] = self.now
        for name in update.removed:
            self.holds.pop(name, None)
            if not self.shelf.items[self.kind].get(name):
                self.sent.pop(name, None)
                self.unproven.pop(name, None)
                self.unproven_at.pop(name, None)
        return Heard("acknowledged", tuple(update.items))

    @property
    def proven_turn(self) -> int:
        """All write tables up to this turn are known to rule here."""
        return min(self.unproven.values(), default=NEVER) - 1

    @property
    def late_since(self) -> int:
        """Since when the oldest write table has not been acknowledged; `NEVER` where none is missing."""
        return min(self.unproven_at.values(), default=NEVER)

    @property
    def settled(self) -> bool:
        """Nothing is on its way, and nothing is to be sent."""
        return self.out is None and not self.dirty

    def end(self) -> None:
        self.shelf.watchers.discard(self)
