"""A gate's tables: which node owns each slice, and which connections may write.

Tables change only by the changes that are applied to them.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

import xxhash

from lapispass.core.shared_types import NodeId


class Address(NamedTuple):
    """The network address of a node, and its zone."""

    address: str
    zone: str


class SetOwner(NamedTuple):
    """Sets the owner of a slice; `None` clears it, as a handover does before it names the new owner."""

    slice: int
    owner: NodeId | None


class SetShare(NamedTuple):
    """Sets the share of new connections that a slice admits. While `shut`, it accepts no writes."""

    slice: int
    share: float
    shut: bool


class SetWithdrawn(NamedTuple):
    """Withdraws a node from all tables, or takes the withdrawal back."""

    node: NodeId
    withdrawn: bool


class SetNode(NamedTuple):
    """Sets the address of a node; `None` removes the node."""

    node: NodeId
    address: Address | None


class BarrierRequest(NamedTuple):
    """A barrier: it is acknowledged once no held connection can still write under an older table."""

    barrier: int


TableChange = SetOwner | SetShare | SetWithdrawn | SetNode | BarrierRequest


def slice_of(key: str, slices: int) -> int:
    """The slice of a key. The result is the same at every gate and in every version of the program."""
    return xxhash.xxh64_intdigest(key.encode("utf-8", "surrogateescape"), seed=0) % slices


@dataclass(slots=True)
class Share:
    share: float = 1.0
    shut: bool = False


DEFAULT_SHARE = Share()


class Tables:
    """The current tables. Changes are idempotent: each one states a value, not a difference."""

    def __init__(self, slices: int) -> None:
        self.slices = slices
        self.owners: dict[int, NodeId] = {}
        self.shares: dict[int, Share] = {}
        self.withdrawn: set[NodeId] = set()
        self.nodes: dict[NodeId, Address] = {}

    def apply(self, change: TableChange) -> set[int]:
        """Applies a change. Returns the slices whose writing connections may be affected."""
        match change:
            case SetOwner(number, owner):
                if self.owners.get(number) == owner or not 0 <= number < self.slices:
                    return set()
                if owner is None:
                    self.owners.pop(number, None)
                    self.shares.pop(number, None)  # a slice without an owner has no admission share either
                else:
                    self.owners[number] = owner
                return {number}
            case SetShare(number, share, shut):
                if not 0 <= number < self.slices:
                    return set()
                old = self.shares.get(number, DEFAULT_SHARE)
                if share >= 1 and not shut:
                    self.shares.pop(number, None)
                else:
                    self.shares[number] = Share(share, shut)
                return {number} if old.shut != shut else set()
            case SetWithdrawn(node, out):
                if out == (node in self.withdrawn):
                    return set()
                (self.withdrawn.add if out else self.withdrawn.discard)(node)
                return {number for number, owner in self.owners.items() if owner == node}
            case SetNode(node, None):
                self.nodes.pop(node, None)
                self.withdrawn.discard(node)
            case SetNode(node, Address() as address):
                self.nodes[node] = address
            case _:
                pass
        return set()

    def owner(self, number: int) -> NodeId | None:
        """The node that serves a slice now; `None` if the slice has no owner or its owner is withdrawn."""
        owner = self.owners.get(number)
        return None if owner in self.withdrawn else owner

    def may_write(self, number: int, node: NodeId) -> bool:
        return self.owner(number) == node and not self.shares.get(number, DEFAULT_SHARE).shut

    def share(self, number: int) -> float:
        return self.shares.get(number, DEFAULT_SHARE).share

    def serving(self) -> dict[NodeId, int]:
        """The number of slices of each owner that has an address and is not withdrawn."""
        counts: dict[NodeId, int] = {}
        for owner in self.owners.values():
            if owner not in self.withdrawn and owner in self.nodes:
                counts[owner] = counts.get(owner, 0) + 1
        return counts

    def differences(self, current: Tables) -> Iterable[TableChange]:
        """The changes that turn `current` into these tables, in an order that is safe at every step.

        A node's address is set before a slice names the node as its owner. A slice whose owner changes gets
        the new owner at once, without being cleared in between: whoever ordered the handover has already
        cleared the slice in a step of its own.
        """
        for node, address in self.nodes.items():
            if current.nodes.get(node) != address:
                yield SetNode(node, address)
        for node in sorted(self.withdrawn - current.withdrawn):
            yield SetWithdrawn(node, True)
        for number in sorted(self.owners.keys() | current.owners.keys()):
            if self.owners.get(number) != current.owners.get(number):
                yield SetOwner(number, self.owners.get(number))
        for number in sorted(self.shares.keys() | current.shares.keys()):
            wanted = self.shares.get(number, DEFAULT_SHARE)
            if wanted != current.shares.get(number, DEFAULT_SHARE):
                yield SetShare(number, wanted.share, wanted.shut)
        for node in sorted(current.withdrawn - self.withdrawn):
            yield SetWithdrawn(node, False)
        for node in sorted(current.nodes.keys() - self.nodes.keys()):
            yield SetNode(node, None)
