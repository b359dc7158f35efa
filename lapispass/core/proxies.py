"""What a controller knows of the proxies: which are connected, and which tables each may still act on.

A proxy has passed a barrier once it can no longer send writes by a table from before that barrier (PROTOCOL
and the wire's `lease-us`). This holds in four cases:

- The proxy has acknowledged this barrier or a later one, on any of its streams that reads the store.
- Its stream ended at least a lease ago.
- It joined when the orders before the barrier had been in the store for a while, it has read them there, and
  a lease has passed since its earlier stream ended, so it may no longer write by its earlier tables.
- It joined in the same way after a restart, and holds no earlier tables.

A barrier that is passed stays passed. A handover therefore waits for each proxy once, however many join and
leave meanwhile. Memory grows with the proxies that are connected or left recently, not with all numbers ever
used.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from lapispass import interface
from lapispass.core.units import NEVER, SECOND_US

STORE_READ_US = SECOND_US  # by the wire, "ENROLLED": a proxy reads the store within a second of joining


@dataclass(slots=True)
class Proxy:
    """The state of one proxy.

    Barriers are numbered by message; -1 stands for none. Times are in microseconds.
    """

    acknowledged: int = -1  # the last barrier acknowledged on its current stream, or on its last one
    left_at: int = 0  # when its last stream ended
    joined_at: int = 0
    lines_before: float = 0.0  # lines that had been written to each proxy when it joined
    acknowledged_before: int = -1  # the same, on its earlier streams since it started
    passed: int = -1  # the last barrier known to be passed
    stored_barrier: int = -1  # the last barrier whose orders had been in the store for a lease when it joined
    unacknowledged: bool = False  # it has not acknowledged the last message written to it
    unacknowledged_since: int = 0  # when the first unacknowledged message was written


class Proxies:
    """The proxies that are connected, and those that left, in the order in which they left."""

    def __init__(self, numbers: Iterable[int], now: int, retention_us: int, lease_us: int) -> None:
        """`numbers`: proxies that may still act on an older table for one lease, though none has joined yet.

        `retention_us`: proxies that left longer ago are forgotten.
        """
        self.retention_us, self.lease_us = retention_us, lease_us
        self.joined: dict[int, Proxy] = {}
        self.unacknowledged = 0  # how many of these have not acknowledged the last message
        self.departed = {number: Proxy(left_at=now) for number in numbers}
        self._first_acks: deque[tuple[int, int]] = deque()  # within the last lease: time, and barrier
        # The last barrier that any proxy has acknowledged; and the last that any had, a lease ago.
        self._acknowledged, self._stored_barrier = -1, -1

    def __len__(self) -> int:
        return len(self.joined) + len(self.departed)

    def join(self, event: interface.ProxyJoined, lines: float, now: int) -> Proxy:
        """A proxy's stream is established.

        A proxy that has had no earlier stream holds no earlier tables. `lines`: written to each proxy so far.
        """
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
        """A proxy's stream has ended; forgets the proxies that left longer than `retention_us` ago."""
        proxy = self._remove_joined(number) or self.departed.pop(number, None) or Proxy()
        proxy.passed = self._passed(proxy, now)
        proxy.left_at = now
        self.departed[number] = proxy
        while (first := next(iter(self.departed))) != number:
            if self.departed[first].left_at > now - self.retention_us:
                break
            del self.departed[first]

    def message_sent(self, now: int) -> None:
        """A message has been written to all connected proxies."""
        for proxy in self.joined.values():
            if not proxy.unacknowledged:
                proxy.unacknowledged, proxy.unacknowledged_since = True, now
        self.unacknowledged = len(self.joined)

    def acknowledge(self, proxy: Proxy, barrier: int, last: int, now: int) -> None:
        """A proxy has applied all orders up to a barrier; `last` is the barrier of the last message."""
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
        """The proxy whose oldest unacknowledged message is the oldest of all, and when that was written."""
        waiting = (
            (proxy.unacknowledged_since, number)
            for number, proxy in self.joined.items()
            if proxy.unacknowledged
        )
        since, number = min(waiting, default=(0, None))
        return number, since

    def passed_by_all(self, now: int) -> int:
        """The last barrier that every proxy has passed."""
        return min((self._passed(proxy, now) for _, proxy in self._may_write(now)), default=NEVER)

    def not_passed_by(self, barrier: int, now: int) -> list[int]:
        """The proxies that have not passed a barrier."""
        return [number for number, proxy in self._may_write(now) if self._passed(proxy, now) < barrier]

    def _may_write(self, now: int) -> Iterator[tuple[int, Proxy]]:
        """The proxies that may send writes: those connected, and those that left less than a lease ago."""
        yield from self.joined.items()
        for number, proxy in self.departed.items():
            if proxy.left_at > now - self.lease_us:
                yield number, proxy

    def _passed(self, proxy: Proxy, now: int) -> int:
        """The last barrier that a proxy has passed."""
        has_read_at = max(proxy.left_at + self.lease_us, proxy.joined_at + STORE_READ_US)
        return max(proxy.passed, proxy.stored_barrier) if now >= has_read_at else proxy.passed

    def _update_stored(self, now: int) -> int:
        """Updates and returns the last barrier that was first acknowledged at least a lease ago.

        A proxy that joins now reads the store after the orders before that barrier were applied to it. The
        platform may report joins and acknowledgements out of order, but by less than a lease.
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
