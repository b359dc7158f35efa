"""Spreads slices over nodes, so that few slices change their node when the nodes change."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from lapispass.core.shared_types import NodeId


def spread_slices(
    slices: int, nodes: Sequence[NodeId], pinned: Mapping[int, NodeId], current: Mapping[int, NodeId]
) -> dict[int, NodeId]:
    """The node of each slice; empty without nodes.

    A slice that is pinned to one of the nodes is put there. Of the others, each stays at its current node
    while that has no more than an even part, and the rest goes to the nodes with the fewest. With nothing
    pinned or current, slices are dealt out in turn.
    """
    if not nodes:
        return {}
    chosen = {number: node for number, node in pinned.items() if number < slices and node in nodes}
    counts = dict.fromkeys(nodes, 0)
    for node in chosen.values():
        counts[node] += 1
    limits = even_parts(slices, nodes, current)
    free = [number for number in range(slices) if number not in chosen]
    for number in free:
        kept = current.get(number)
        if kept in counts and counts[kept] < limits[kept]:
            chosen[number] = kept
            counts[kept] += 1
    for number in free:
        if number not in chosen:
            node = min(nodes, key=counts.__getitem__)  # the first of those with the fewest
            chosen[number] = node
            counts[node] += 1
    return chosen


def even_parts(slices: int, nodes: Sequence[NodeId], current: Mapping[int, NodeId]) -> dict[NodeId, int]:
    """How many slices each node may keep. Where they do not divide evenly, nodes with more keep one more."""
    part, more = divmod(slices, len(nodes))
    held = dict.fromkeys(nodes, 0)
    for node in current.values():
        if node in held:
            held[node] += 1
    by_held = sorted(nodes, key=lambda node: -held[node])
    return {node: part + (index < more) for index, node in enumerate(by_held)}
