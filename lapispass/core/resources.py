"""What xDS clients are shown of a table: clusters, assignments, routes and listeners, as plain values.

A slice has two assignments, one for reads and one for writes, so that writes can be shut alone. The empty
step is an assignment without endpoints. The share let in is a drop rate, which clients obey
(`drop_overloads`). Reads may be tried again as the module says; a route of writes never has a retry policy.
Two listeners: only the one for writes has a time to live, so that a client that hears nothing stops writing
and goes on reading.
"""

from __future__ import annotations

from typing import NamedTuple

from lapispass.core import tables
from lapispass.core.clients import READS, WRITES
from lapispass.core.versions import Shelf


class Endpoint(NamedTuple):
    node: str
    address: str
    zone: str


class Assignment(NamedTuple):
    """EDS: where visits of a slice go; of a hundred so many thousandths are dropped."""

    name: str
    endpoints: tuple[Endpoint, ...]
    drop_per_million: int


class Cluster(NamedTuple):
    """CDS: its assignment has the same name."""

    name: str
    connect_timeout_us: int


class Routes(NamedTuple):
    """RDS: slice N, told by a header, goes to cluster `N.r` or `N.w`; tries is how often a read may be
    tried."""

    name: str
    slices: int
    suffix: str
    tries: int


class Listener(NamedTuple):
    """LDS; a time to live of 0 is none."""

    name: str
    routes: str
    ttl_us: int


def cluster(number: int, writes: bool) -> str:
    return f"{number}.{'w' if writes else 'r'}"


def fixed(shelf: Shelf, slices: int, tries: int, ttl_us: int) -> None:
    """What does not change with turns."""
    for number in range(slices):
        for writes in (False, True):
            name = cluster(number, writes)
            shelf.put("cds", name, Cluster(name, 1_000_000), 0)
            shelf.put("eds", name, Assignment(name, (), 0), 0, writes)
    shelf.put("rds", READS, Routes(READS, slices, "r", tries), 0)
    shelf.put("rds", WRITES, Routes(WRITES, slices, "w", 1), 0)
    shelf.put("lds", READS, Listener(READS, READS, 0), 0)
    shelf.put("lds", WRITES, Listener(WRITES, WRITES, ttl_us), 0)


def follow(shelf: Shelf, stands: tables.Tables, changes: list[tables.TableChange], turn: int) -> int:
    """Sets the assignments that a turn's changes concern; how many are new."""
    numbers: set[int] = set()
    for change in changes:
        match change:
            case tables.SetOwner(number, _) | tables.SetShare(number, _, _):
                numbers.add(number)
            case tables.SetWithdrawn(node, _) | tables.SetNode(node, _):
                numbers |= {number for number, owner in stands.owners.items() if owner == node}
            case _:
                pass
    return sum(
        shelf.put("eds", cluster(number, writes), assignment(stands, number, writes), turn, writes)
        for number in sorted(numbers)
        for writes in (False, True)
    )


def assignment(stands: tables.Tables, number: int, writes: bool) -> Assignment:
    """A slice's owner, or nobody: while it is bare, its owner is shut out, or its writes are shut."""
    share = stands.shares.get(number, tables.DEFAULT_SHARE)
    owner = stands.owner(number)
    where = stands.nodes.get(owner) if owner is not None else None
    shut = writes and share.shut
    endpoints = (
        () if owner is None or where is None or shut else (Endpoint(owner, where.address, where.zone),)
    )
    return Assignment(cluster(number, writes), endpoints, round(1_000_000 * (1 - min(1.0, share.share))))
