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

READ_US = SECOND_US  # the wire, "ENROLLED": a proxy that has joined reads the store within a second


@dataclass(slots=True)
class Proxy:
    """One proxy. Marks are counts of messages; -1: none. Times in microseconds."""

    answered: int = -1  # on its present stream, or the last one
    gone_at: int = 0  # when its last stream ended
    joined_at: int = 0
    since: float = 0.0  # lines written to each proxy until it joined
    took: int = -1  # the last mark answered on earlier streams of this life
    clear: int = -1  # the last mark that is clear at it
    stored: int = -1  # the last mark that stood in the store for a lease when it joined
    behind: bool = False  # it has not answered the last message that was written to it
    behind_since: int = 0  # when the first of those that it has not answered was written


class Proxies:
    """Those whose stream stands, and those that left, in the order in which they did."""

    def __init__(self, numbers: Iterable[int], now: int, keep_us: int, lease_us: int) -> None:
        """After a start nobody has joined: each may still act on an older table for one lease."""
        self.keep_us, self.lease_us = keep_us, lease_us
        self.joined: dict[int, Proxy] = {}
        self.behind = 0  # how many of these have not answered the last message
        self.departed = {number: Proxy(gone_at=now) for number in numbers}
        self._first_answers: deque[tuple[int, int]] = deque()  # of the last lease: when, and to which mark
        self._answered, self._stored = -1, -1  # the last mark answered by any; the last one, a lease ago

    def __len__(self) -> int:
        return len(self.joined) + len(self.departed)

    def join(self, event: interface.ProxyJoined, lines: float, now: int) -> Proxy:
        """A stream stands; what the proxy holds from an earlier one is over where it is the first."""
        number, first = event.proxy, event.first_stream
        if number in self.joined:
            self.leave(number, now)
        old = self.departed.pop(number, None) or Proxy()
        took = -1 if first else max(old.answered, old.took)
        self.joined[number] = proxy = Proxy(gone_at=old.gone_at, joined_at=now, since=lines, took=took)
        if event.reads_store:
            proxy.stored = self._stored_mark(now)
            proxy.clear = proxy.stored if first else old.clear
        return proxy

    def leave(self, number: int, now: int) -> None:
        """A stream has ended; whoever left longer ago than `keep_us` is forgotten."""
        proxy = self._left(number) or self.departed.pop(number, None) or Proxy()
        proxy.clear = self._clear(proxy, now)
        proxy.gone_at = now
        self.departed[number] = proxy
        while (first := next(iter(self.departed))) != number:
            if self.departed[first].gone_at > now - self.keep_us:
                break
            del self.departed[first]

    def write(self, now: int) -> None:
        """A message is written to all whose streams stand."""
        for proxy in self.joined.values():
            if not proxy.behind:
                proxy.behind, proxy.behind_since = True, now
        self.behind = len(self.joined)

    def answer(self, proxy: Proxy, answered: int, last: int, now: int) -> None:
        """A proxy has applied everything up to a mark; `last` is that of the last message."""
        proxy.answered = max(proxy.answered, answered)
        proxy.clear = max(proxy.clear, answered)
        if answered > self._answered:
            self._answered = answered
            self._first_answers.append((now, answered))
            self._stored_mark(now)
        if proxy.behind and proxy.answered >= last:
            proxy.behind = False
            self.behind -= 1

    def longest_behind(self) -> tuple[int | None, int]:
        """The proxy that has been behind for longest, and since when."""
        behind = ((proxy.behind_since, number) for number, proxy in self.joined.items() if proxy.behind)
        since, number = min(behind, default=(0, None))
        return number, since

    def cleared(self, now: int) -> int:
        """The last mark that is clear at every proxy."""
        return min((self._clear(proxy, now) for _, proxy in self._writing(now)), default=NEVER)

    def unclear(self, mark: int, now: int) -> list[int]:
        """The proxies at which a mark is not clear."""
        return [number for number, proxy in self._writing(now) if self._clear(proxy, now) < mark]

    def _writing(self, now: int) -> Iterator[tuple[int, Proxy]]:
        """Those that can write at all: joined, or gone for less than a lease."""
        yield from self.joined.items()
        for number, proxy in self.departed.items():
            if proxy.gone_at > now - self.lease_us:
                yield number, proxy

    def _clear(self, proxy: Proxy, now: int) -> int:
        """The last mark that is clear at a proxy."""
        has_read_at = max(proxy.gone_at + self.lease_us, proxy.joined_at + READ_US)
        return max(proxy.clear, proxy.stored) if now >= has_read_at else proxy.clear

    def _stored_mark(self, now: int) -> int:
        """The last mark whose first answer came a lease ago.

        Whoever joins now reads the store after the orders before that mark were carried out: the platform
        may tell of joins and of answers out of their order, but by less than that.
        """
        while self._first_answers and self._first_answers[0][0] <= now - self.lease_us:
            self._stored = self._first_answers.popleft()[1]
        return self._stored

    def _left(self, number: int) -> Proxy | None:
        proxy = self.joined.pop(number, None)
        if proxy is not None and proxy.behind:
            proxy.behind = False
            self.behind -= 1
        return proxy
