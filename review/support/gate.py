"""Operator files of a gate that stands alone, and the keys of its slices."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import xxhash

from support.nodes import Node

GRACE_S, MARGIN_S = 20.0, 3.0


def operator_file(
    listen: str,
    nodes: Sequence[Node],
    slices: int,
    write_life_ms: int,
    states: Mapping[str, str] | None = None,
    owners: Mapping[int, str] | None = None,
) -> str:
    """A file like `deploy/gate-alone.textproto`, with these nodes, their states and pinned owners."""
    lines = [
        'connection_class { name: "board" path_prefix: "/board" movable: true }',
        'connection_class { name: "till" path_prefix: "/till" writes: true benefit: 3 }',
        "nodes { connections: 5000 new_per_s: 200 burst: 20 cold_ms: 10000 cold_share: 0.2 }",
        f"drain {{ grace_ms: {GRACE_S * 1000:.0f} margin_ms: {MARGIN_S * 1000:.0f} }}",
        f'gate {{ name: "g0" zone: "east" listen: "{listen}" slices: {slices} key_parameter: "key"',
        f"  write_life_ms: {write_life_ms} }}",
    ]
    for node in nodes:
        state = (states or {}).get(node.name, "READY")
        lines.append(f'node {{ id: "{node.name}" address: "{node.address}" zone: "east" state: {state} }}')
    for number, owner in (owners or {}).items():
        lines.append(f'line {{ slice: {number} owner: "{owner}" }}')
    return "\n".join(lines) + "\n"


def keys_of(number: int, slices: int, count: int, prefix: str) -> list[str]:
    """Keys that fall into a slice: a key's slice is its xxh64 modulo the number of slices."""
    found: list[str] = []
    serial = 0
    while len(found) < count:
        key = f"{prefix}-{serial}"
        if xxhash.xxh64_intdigest(key.encode(), seed=0) % slices == number:
            found.append(key)
        serial += 1
    return found
