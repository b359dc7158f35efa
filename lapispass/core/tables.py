"""A gate's tables: which node owns a slice, and who may write where. They change by orders alone."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

import xxhash

from lapispass.core.shared_types import NodeId


class Address(NamedTuple):
    """Where a node is reached, and its zone."""

    address: str
    zone: str


class SetOwner(NamedTuple):
    """A slice's owner, or none: the empty step."""

    slice: int
    owner: NodeId | None


class SetShare(NamedTuple):
    """The share of new connections that a slice lets in; with writes shut nothing may be written."""

    slice: int
    share: float
    shut: bool


class SetWithdrawn(NamedTuple):
    """A node is shut out of all tables, or let in again."""

    node: NodeId
    withdrawn: bool


class SetNode(NamedTuple):
    """A node's address is known, or the node is forgotten."""

    node: NodeId
    address: Address | None


class BarrierRequest(NamedTuple):
    """A mark: answered when nothing held can still write by an older table."""

    barrier: int


TableChange = SetOwner | SetShare | SetWithdrawn | SetNode | BarrierRequest


def slice_of(key: str, slices: int) -> int:
    """The slice of a key: the same at every gate and in every version."""
    return xxhash.xxh64_intdigest(key.encode("utf-8", "surrogateescape"), seed=0) % slices


@dataclass(slots=True)
class Share:
    share: float = 1.0
    shut: bool = False


DEFAULT_SHARE = Share()


class Tables:
    """What stands, as last told. A change says how something shall stand: twice is as good as once."""

    def __init__(self, slices: int) -> None:
        self.slices = slices
        self.owners: dict[int, NodeId] = {}
        self.shares: dict[int, Share] = {}
        self.withdrawn: set[NodeId] = set()
        self.nodes: dict[NodeId, Address] = {}

    def apply(self, change: TableChange) -> set[int]:
        """Carries out a change; the slices whose writers it may concern."""
        match change:
            case SetOwner(number, owner):
                if self.owners.get(number) == owner or not 0 <= number < self.slices:
                    return set()
                if owner is None:
                    self.owners.pop(number, None)
                    self.shares.pop(number, None)  # an empty table has no levels either
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
        """Who serves a slice now; nobody while it is bare or its owner is shut out."""
        owner = self.owners.get(number)
        return None if owner in self.withdrawn else owner

    def may_write(self, number: int, node: NodeId) -> bool:
        return self.owner(number) == node and not self.shares.get(number, DEFAULT_SHARE).shut

    def share(self, number: int) -> float:
        return self.shares.get(number, DEFAULT_SHARE).share

    def serving(self) -> dict[NodeId, int]:
        """How many slices each node that is reached and not shut out owns."""
        counts: dict[NodeId, int] = {}
        for owner in self.owners.values():
            if owner not in self.withdrawn and owner in self.nodes:
                counts[owner] = counts.get(owner, 0) + 1
        return counts

    def differences(self, stands: Tables) -> Iterable[TableChange]:
        """What has to change so that `stands` becomes this; in an order that is safe at every step.

        Nodes are known before lines name them; a slice that changes owner is emptied only by its own empty
        step, which whoever orders the change has seen to, so here its line is set at once.
        """
        for node, address in self.nodes.items():
            if stands.nodes.get(node) != address:
                yield SetNode(node, address)
        for node in sorted(self.withdrawn - stands.withdrawn):
            yield SetWithdrawn(node, True)
        for number in sorted(self.owners.keys() | stands.owners.keys()):
            if self.owners.get(number) != stands.owners.get(number):
                yield SetOwner(number, self.owners.get(number))
        for number in sorted(self.shares.keys() | stands.shares.keys()):
            mine = self.shares.get(number, DEFAULT_SHARE)
            if mine != stands.shares.get(number, DEFAULT_SHARE):
                yield SetShare(number, mine.share, mine.shut)
        for node in sorted(stands.withdrawn - self.withdrawn):
            yield SetWithdrawn(node, False)
        for node in sorted(stands.nodes.keys() - self.nodes.keys()):
            yield SetNode(node, None)
