"""An agenda of due times: which keys must be evaluated next, and when.

A heap ordered by time. A replaced entry stays in the heap and is skipped when it is reached. The heap is
rebuilt when most of its entries are outdated, so that its size follows the number of keys that have a due
time.
"""

from __future__ import annotations

from collections.abc import Hashable
from heapq import heapify, heappop, heappush
from itertools import count
from typing import Generic, TypeVar

from lapispass.core.units import NEVER

Key = TypeVar("Key", bound=Hashable)
MAX_STALE_ENTRIES = 64  # outdated entries that the heap may always hold


class Agenda(Generic[Key]):
    """One due time for each key, in microseconds."""

    def __init__(self) -> None:
        self._times: dict[Key, int] = {}
        self._heap: list[tuple[int, int, Key]] = []
        self._serial = count()

    def __len__(self) -> int:
        return len(self._times)

    def set(self, key: Key, at: int) -> None:
        """Sets or replaces the key's due time; `NEVER` removes the key."""
        if at >= NEVER:
            self._times.pop(key, None)
            return
        if self._times.get(key) == at:
            return
        self._times[key] = at
        heappush(self._heap, (at, next(self._serial), key))
        if len(self._heap) > 2 * len(self._times) + MAX_STALE_ENTRIES:
            self._heap = [entry for entry in self._heap if self._times.get(entry[2]) == entry[0]]
            heapify(self._heap)

    def forget(self, key: Key) -> None:
        """Removes the key, if it has a due time."""
        self._times.pop(key, None)

    def next(self) -> int:
        """The earliest due time, or `NEVER`."""
        while self._heap:
            at, _, key = self._heap[0]
            if self._times.get(key) == at:
                return at
            heappop(self._heap)
        return NEVER

    def due(self, now: int) -> list[Key]:
        """Removes and returns all keys that are due by now, in the order of their times."""
        keys: list[Key] = []
        while self.next() <= now:
            key = heappop(self._heap)[2]
            del self._times[key]
            keys.append(key)
        return keys
