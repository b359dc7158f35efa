"""The connections that a gate holds, with their state, indexed by number, by node and by slice."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from lapispass.core.outstanding_answers import OutstandingAnswers
from lapispass.core.shared_types import NEVER, ConnectionClass, NodeId


@dataclass(slots=True, eq=False)
class HeldConnection:
    """The state of one connection that decisions need; its tunnel keeps it up to date."""

    number: int
    kind: ConnectionClass
    slice: int | None  # `None` without a key: any node may serve it
    node: NodeId
    opened_us: int
    last_message_us: int  # when the last message passed, in either direction
    key: str = ""
    written: int = 0  # pieces of messages that have been sent to its node
    read: int = 0  # how many of them the node is known to have read
    in_message: bool = False  # in the middle of a message from the client
    write_blocked: bool = False  # a message from the client waits and may not be sent yet
    releasing: bool = False  # being moved or closed
    leave_by_us: int = NEVER  # until when that may take; a drain may set an earlier end
    failed_moves: int = 0
    messages: int = 0  # since the last report, as `octets`
    octets: int = 0
    answers: OutstandingAnswers = field(default_factory=OutstandingAnswers)  # of its node

    def count_message(self, now: int, octets: int) -> None:
        """Counts a message, or a part of one, that has passed in either direction."""
        self.last_message_us = now
        self.messages += 1
        self.octets += octets

    @property
    def unconfirmed(self) -> bool:
        """Whether something has been sent that the node is not known to have read."""
        return self.written != self.read

    @property
    def bound(self) -> bool:
        """Whether only the owner of its slice may serve it."""
        return self.slice is not None


@dataclass(slots=True)
class ConnectionCounts:
    """What a gate holds of one class at one node, and what passed since the last report."""

    held: int = 0
    messages: int = 0
    octets: int = 0
    opened: int = 0


@dataclass
class ConnectionIndex:
    """All connections held, indexed. Indexes that become empty are removed."""

    by_number: dict[int, HeldConnection] = field(default_factory=dict)
    by_node: dict[NodeId, dict[int, HeldConnection]] = field(default_factory=dict)
    by_slice: dict[int, dict[int, HeldConnection]] = field(default_factory=dict)
    opened: dict[tuple[NodeId, str], int] = field(default_factory=dict)  # since the last report
    arrived: int = 0  # opened or refused, since the last report

    def add(self, held: HeldConnection) -> None:
        self.by_number[held.number] = held
        self.by_node.setdefault(held.node, {})[held.number] = held
        if held.slice is not None:
            self.by_slice.setdefault(held.slice, {})[held.number] = held
        self.count_opened(held)

    def count_opened(self, held: HeldConnection) -> None:
        key = held.node, held.kind.name
        self.opened[key] = self.opened.get(key, 0) + 1

    def remove(self, held: HeldConnection) -> None:
        if self.by_number.pop(held.number, None) is None:
            return
        self._remove_from(self.by_node, held.node, held.number)
        if held.slice is not None:
            self._remove_from(self.by_slice, held.slice, held.number)

    def move(self, held: HeldConnection, node: NodeId) -> None:
        self._remove_from(self.by_node, held.node, held.number)
        held.node = node
        self.by_node.setdefault(node, {})[held.number] = held
        self.count_opened(held)

    @staticmethod
    def _remove_from(index: dict, key: object, number: int) -> None:  # type: ignore[type-arg]
        if (inner := index.get(key)) is not None:
            inner.pop(number, None)
            if not inner:
                del index[key]

    def at_node(self, node: NodeId) -> Iterable[HeldConnection]:
        return self.by_node.get(node, {}).values()

    def count(self, node: NodeId) -> int:
        return len(self.by_node.get(node, ()))

    def of_slice(self, number: int) -> Iterable[HeldConnection]:
        return self.by_slice.get(number, {}).values()

    def __len__(self) -> int:
        return len(self.by_number)

    def __iter__(self) -> Iterator[HeldConnection]:
        return iter(self.by_number.values())

    def report(self) -> dict[NodeId, dict[str, ConnectionCounts]]:
        """What is held by node and class, and what passed since the last report. Resets those sums."""
        rows: dict[NodeId, dict[str, ConnectionCounts]] = {}
        for (node, name), count in self.opened.items():
            rows.setdefault(node, {}).setdefault(name, ConnectionCounts()).opened = count
        for held in self.by_number.values():
            row = rows.setdefault(held.node, {}).setdefault(held.kind.name, ConnectionCounts())
            row.held += 1
            row.messages += held.messages
            row.octets += held.octets
            held.messages = held.octets = 0
        self.opened.clear()
        self.arrived = 0
        return rows
