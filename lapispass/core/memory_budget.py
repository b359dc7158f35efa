"""The memory that a process may hold on behalf of its clients: one bound over all of its listeners.

A client may stop half way through a large request, or not read what it is sent. What is held for it meanwhile
is counted against one sum for the whole process. Each connection may hold a few KiB that are not counted, so
that small requests are served even when large ones have used up the sum; the number of connections bounds
those.
"""

from __future__ import annotations

from typing import NamedTuple

KIB, MIB = 1 << 10, 1 << 20
FREE_BYTES = 4 * KIB  # held for one connection without being counted
MIN_CLIENT_BYTES = MIB


class MemoryPlan(NamedTuple):
    """How the memory of a process is divided: it is never given more than `memory_mb`."""

    memory_mb: int
    connections: int  # how many there may be at once
    client_bytes: int  # what all of them together may hold beyond their `FREE_BYTES`


def plan_memory(memory_mb: int, base_mb: int, connections: int, connection_bytes: int) -> MemoryPlan:
    """Divides the memory: half of what the process does not need for itself is for connections.

    `base_mb` is what the process needs without any, `connection_bytes` what an idle one costs. A quarter is
    for what clients hold; the last quarter is left for the work on it.
    """
    available = max(0, memory_mb - base_mb) * MIB
    possible = available // 2 // (connection_bytes + FREE_BYTES)
    return MemoryPlan(memory_mb, max(1, min(connections, possible)), max(MIN_CLIENT_BYTES, available // 4))


def needed_memory_mb(base_mb: int, connections: int, connection_bytes: int) -> int:
    """The least memory with which `plan_memory` allows so many connections."""
    return base_mb + -(-2 * connections * (connection_bytes + FREE_BYTES) // MIB)


class MemoryBudget:
    """The sum of what a process holds for its clients, in bytes."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes, self.used_bytes = limit_bytes, 0

    def open_account(self) -> MemoryAccount:
        """The account of one connection; to be closed with it."""
        return MemoryAccount(self)

    def room_bytes(self, is_identified: bool = True) -> int:
        """What may still be counted; clients that are not identified may use half of the sum at most."""
        limit = self.limit_bytes if is_identified else self.limit_bytes // 2
        return max(0, limit - self.used_bytes)


class MemoryAccount:
    """What is held for one connection."""

    __slots__ = ("budget", "counted", "is_closed")

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget, self.counted, self.is_closed = budget, 0, False

    def hold(self, held_bytes: int, is_identified: bool = True) -> bool:
        """States how much is held now; False, without a change, if that is more than there is room for.

        Always False for an account that is closed: input may still come while its connection ends.
        """
        if self.is_closed:
            return False
        change = max(0, held_bytes - FREE_BYTES) - self.counted
        if change > self.budget.room_bytes(is_identified) and change > 0:
            return False
        self.counted += change
        self.budget.used_bytes += change
        return True

    def close(self) -> None:
        """The connection holds nothing any more, and will not."""
        self.is_closed = True
        self.budget.used_bytes -= self.counted
        self.counted = 0
