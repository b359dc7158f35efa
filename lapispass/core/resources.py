"""The slice table as xDS resources: clusters, assignments, routes and listeners, as plain values.

A slice has two assignments, one for reads and one for writes, so that writes can be blocked alone. Between
two owners a slice has an assignment without endpoints. The admitted share is expressed as a drop rate, which
clients apply themselves (`drop_overloads`). Reads may be retried as often as the deployment allows; a write
route never has a retry policy. There are two listeners. Only the one for writes has a time to live, so a
client that loses contact with the controller stops writing and keeps reading.

The types' `repr()` is hashed into version strings that clients compare, so their names and fields must not
change.
"""

from __future__ import annotations

from typing import NamedTuple

from lapispass.core import tables
from lapispass.core.clients import READS, WRITES
from lapispass.core.versions import ResourceCache


class Endpoint(NamedTuple):
    node: str
    address: str
    zone: str


class Assignment(NamedTuple):
    """EDS: the endpoints of a slice, and how many of a million requests are dropped."""

    name: str
    endpoints: tuple[Endpoint, ...]
    drop_per_million: int


class Cluster(NamedTuple):
    """CDS: a cluster; its assignment has the same name."""

    name: str
    connect_timeout_us: int


class Routes(NamedTuple):
    """RDS: routes slice N, which is named in a request header, to cluster `N.r` or `N.w`.

    A read may be sent `tries` times in all.
    """

    name: str
    slices: int
    suffix: str
    tries: int


class Listener(NamedTuple):
    """LDS: a listener; `ttl_us` 0 means that it does not expire."""

    name: str
    routes: str
    ttl_us: int


def cluster_name(number: int, writes: bool) -> str:
    return f"{number}.{'w' if writes else 'r'}"


def put_static_resources(cache: ResourceCache, slices: int, tries: int, ttl_us: int) -> None:
    """Publishes everything that turns do not change, and empty assignments for all slices."""
    for number in range(slices):
        for writes in (False, True):
            name = cluster_name(number, writes)
            cache.put("cds", name, Cluster(name, 1_000_000), 0)
            cache.put("eds", name, Assignment(name, (), 0), 0, writes)
    cache.put("rds", READS, Routes(READS, slices, "r", tries), 0)
    cache.put("rds", WRITES, Routes(WRITES, slices, "w", 1), 0)
    cache.put("lds", READS, Listener(READS, READS, 0), 0)
    cache.put("lds", WRITES, Listener(WRITES, WRITES, ttl_us), 0)


def update_assignments(
    cache: ResourceCache, current: tables.Tables, changes: list[tables.TableChange], turn: int
) -> int:
    """Publishes the assignments that a turn's changes affect; returns how many have new content."""
    numbers: set[int] = set()
    for change in changes:
        match change:
            case tables.SetOwner(number, _) | tables.SetShare(number, _, _):
                numbers.add(number)
            case tables.SetWithdrawn(node, _) | tables.SetNode(node, _):
                numbers |= {number for number, owner in current.owners.items() if owner == node}
            case _:
                pass
    return sum(
        cache.put("eds", cluster_name(number, writes), assignment(current, number, writes), turn, writes)
        for number in sorted(numbers)
        for writes in (False, True)
    )


def assignment(current: tables.Tables, number: int, writes: bool) -> Assignment:
    """The assignment of a slice's owner.

    It has no endpoints while the slice has no owner, its owner is withdrawn or has no address, or its writes
    are blocked.
    """
    share = current.shares.get(number, tables.DEFAULT_SHARE)
    owner = current.owner(number)
    address = current.nodes.get(owner) if owner is not None else None
    shut = writes and share.shut
    endpoints = (
        () if owner is None or address is None or shut else (Endpoint(owner, address.address, address.zone),)
    )
    return Assignment(cluster_name(number, writes), endpoints, round(1_000_000 * (1 - min(1.0, share.share))))
