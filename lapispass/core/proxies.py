"""What a controller knows of the proxies: whose stream stands, and which tables each can still act on.

A mark is clear at a proxy that cannot write by a table from before it (PROTOCOL and the wire's `lease-us`):

- it has answered that mark or a later one, on any of its streams that reads the store;
- or its stream ended a lease ago or longer;
- or it joined when the step had stood in the store for a while, has read it there, and may no longer write
  by what it held before: a lease has passed since its earlier stream ended;
- or it joined so after a restart, and holds nothing else.

Each of these stays true, so a handover waits for every proxy once, however many come and go meanwhile.
Memory follows the proxies that are there or left a short while ago, not the numbers ever used.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from lapispass import interface
from lapispass.core.units import NEVER, SECOND_US

STORE_READ_US = SECOND_US  # the wire, "ENROLLED": a proxy that has joined reads the store within a second


@dataclass(slots=True)
class Proxy:
    """One proxy. Marks are counts of messages; -1: none. Times in microseconds."""

    acknowledged: int = -1  # on its present stream, or the last one
    left_at: int = 0  # when its last stream ended
    joined_at: int = 0
    lines_before: float = 0.0  # lines written to each proxy until it joined
    acknowledged_before: int = -1  # the last mark answered on earlier streams of this life
    passed: int = -1  # the last mark that is clear at it
    stored_barrier: int = -1  # the last mark that stood in the store for a lease when it joined
    unacknowledged: bool = False  # it has not answered the last message that was written to it
    unacknowledged_since: int = 0  # when the first of those that it has not answered was written


class Proxies:
    """Those whose stream stands, and those that left, in the order in which they did."""

    def __init__(self, numbers: Iterable[int], now: int, retention_us: int, lease_us: int) -> None:
        """After a start nobody has joined: each may still act on an older table for one lease."""
        self.retention_us, self.lease_us = retention_us, lease_us
        self.joined: dict[int, Proxy] = {}
        self.unacknowledged = 0  # how many of these have not answered the last message
        self.departed = {number: Proxy(left_at=now) for number in numbers}
        self._first_acks: deque[tuple[int, int]] = deque()  # of the last lease: when, and to which mark
        self._acknowledged, self._stored_barrier = (
            -1,
            -1,
        )  # the last mark answered by any; the last one, a lease ago

    def __len__(self) -> int:
        return len(self.joined) + len(self.departed)

    def join(self, event: interface.ProxyJoined, lines: float, now: int) -> Proxy:
        """A stream stands; what the proxy holds from an earlier one is over where it is the first."""
        number, first = event.proxy, event.first_stream
        if number in self.joined:
            self.leave(number, now)
        old = self.departed.pop(number, None) or Proxy()
        acknowledged_before = -1 if first else max(old.acknowledged, old.acknowledged_before)
        self.joined[number] = proxy = Proxy(
            left_at=old.left_at, joined_at=now, lines_before=lines, acknowledged_before=acknowledged_before
        )
        if event.reads_store:
            proxy.stored_barrier = self._update_stored(now)
            proxy.passed = proxy.stored_barrier if first else old.passed
        return proxy

    def leave(self, number: int, now: int) -> None:
        """A stream has ended; whoever left longer ago than `retention_us` is forgotten."""
        proxy = self._remove_joined(number) or self.departed.pop(number, None) or Proxy()
        proxy.passed = self._passed(proxy, now)
        proxy.left_at = now
        self.departed[number] = proxy
        while (first := next(iter(self.departed))) != number:
            if self.departed[first].left_at > now - self.retention_us:
                break
            del self.departed[first]

    def message_sent(self, now: int) -> None:
        """A message is written to all whose streams stand."""
        for proxy in self.joined.values():
            if not proxy.unacknowledged:
                proxy.unacknowledged, proxy.unacknowledged_since = True, now
        self.unacknowledged = len(self.joined)

    def acknowledge(self, proxy: Proxy, barrier: int, last: int, now: int) -> None:
        """A proxy has applied everything up to a mark; `last` is that of the last message."""
        proxy.acknowledged = max(proxy.acknowledged, barrier)
        proxy.passed = max(proxy.passed, barrier)
        if barrier > self._acknowledged:
            self._acknowledged = barrier
            self._first_acks.append((now, barrier))
            self._update_stored(now)
        if proxy.unacknowledged and proxy.acknowledged >= last:
            proxy.unacknowledged = False
            self.unacknowledged -= 1

    def longest_unacknowledged(self) -> tuple[int | None, int]:
        """The proxy that has been behind for longest, and since when."""
        behind = (
            (proxy.unacknowledged_since, number)
            for number, proxy in self.joined.items()
            if proxy.unacknowledged
        )
        since, number = min(behind, default=(0, None))
        return number, since

    def passed_by_all(self, now: int) -> int:
        """The last mark that is clear at every proxy."""
        return min((self._passed(proxy, now) for _, proxy in self._may_write(now)), default=NEVER)

    def not_passed_by(self, barrier: int, now: int) -> list[int]:
        """The proxies at which a mark is not clear."""
        return [number for number, proxy in self._may_write(now) if self._passed(proxy, now) < barrier]

    def _may_write(self, now: int) -> Iterator[tuple[int, Proxy]]:
        """Those that can write at all: joined, or gone for less than a lease."""
        yield from self.joined.items()
        for number, proxy in self.departed.items():
            if proxy.left_at > now - self.lease_us:
                yield number, proxy

    def _passed(self, proxy: Proxy, now: int) -> int:
        """The last mark that is clear at a proxy."""
        has_read_at = max(proxy.left_at + self.lease_us, proxy.joined_at + STORE_READ_US)
        return max(proxy.passed, proxy.stored_barrier) if now >= has_read_at else proxy.passed

    def _update_stored(self, now: int) -> int:
        """The last mark whose first answer came a lease ago.

        Whoever joins now reads the store after the orders before that mark were carried out: the platform
        may tell of joins and of answers out of their order, but by less than that.
        """
        while self._first_acks and self._first_acks[0][0] <= now - self.lease_us:
            self._stored_barrier = self._first_acks.popleft()[1]
        return self._stored_barrier

    def _remove_joined(self, number: int) -> Proxy | None:
        proxy = self.joined.pop(number, None)
        if proxy is not None and proxy.unacknowledged:
            proxy.unacknowledged = False
            self.unacknowledged -= 1
        return proxy
