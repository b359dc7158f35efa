"""Which controller should hold which slice, by weighted rendezvous hashing.

Few slices change their controller when a controller joins or leaves.

Source: Thaler and Ravishankar, *A Name-Based Mapping Scheme for Rendezvous* (1996), with weights by
logarithm (Schindelhauer and Schomaker, 2005). Every controller computes the result by itself from the same
list of members, so the controllers need to agree on nothing but the list.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import lru_cache
from math import log

import xxhash


@lru_cache(maxsize=1 << 18)
def rendezvous_hash(name: str, number: int) -> float:
    """A number above 0 and below 1 for a member and a slice; the same in every process."""
    return (xxhash.xxh64_intdigest(f"{name} {number}".encode()) + 1) / ((1 << 64) + 2)


def preferred_owner(number: int, members: Mapping[str, float]) -> str | None:
    """The member that should hold a slice; ties are broken by name.

    A member of weight 0 gets no slices, because it is leaving.
    """
    best, best_score = None, 0.0
    for name in sorted(members):
        if members[name] > 0:
            score = members[name] / -log(rendezvous_hash(name, number))
            if best is None or score > best_score:
                best, best_score = name, score
    return best


def preferred_owners(slices: int, members: Mapping[str, float]) -> dict[int, str]:
    """The preferred owner of each slice; empty without members."""
    found = {number: preferred_owner(number, members) for number in range(slices)}
    return {number: name for number, name in found.items() if name is not None}
