"""What a controller knows of the proxies: whose stream stands, and how far each has answered.

Memory follows the proxies that are there or left a short while ago, not the numbers ever used.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from lapispass.core.units import NEVER


@dataclass(slots=True)
class Proxy:
    """One proxy. Marks are counts of messages; -1: none."""

    answered: int = -1
    gone_at: int = 0
    since: float = 0.0  # lines written to each proxy until it joined
    took: int = -1  # the last mark answered on earlier streams of this life
    behind: bool = False  # it has not answered the last message that was written to it
    behind_since: int = 0  # when the first of those that it has not answered was written


class Proxies:
    """Those whose stream stands, and those that left, in the order in which they did."""

    def __init__(self, numbers: Iterable[int], now: int, keep_us: int) -> None:
        """After a start nobody has joined: each may still act on an older table for one lease."""
        self.keep_us = keep_us
        self.joined: dict[int, Proxy] = {}
        self.behind = 0  # how many of these have not answered the last message
        self.departed = {number: Proxy(gone_at=now) for number in numbers}

    def __len__(self) -> int:
        return len(self.joined) + len(self.departed)

    def join(self, number: int, first: bool, lines: float) -> Proxy:
        """A stream stands; `first`: the proxy holds nothing from an earlier one."""
        old = self._left(number) or self.departed.pop(number, None) or Proxy()
        took = -1 if first else max(old.answered, old.took)
        self.joined[number] = proxy = Proxy(since=lines, took=took)
        return proxy

    def leave(self, number: int, now: int) -> None:
        """A stream has ended; whoever left longer ago than `keep_us` is forgotten."""
        proxy = self._left(number) or self.departed.pop(number, None) or Proxy()
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

    def answer(self, proxy: Proxy, answered: int, last: int) -> None:
        """A proxy has applied everything up to a mark; `last` is that of the last message."""
        proxy.answered = max(proxy.answered, answered)
        if proxy.behind and proxy.answered >= last:
            proxy.behind = False
            self.behind -= 1

    def _left(self, number: int) -> Proxy | None:
        proxy = self.joined.pop(number, None)
        if proxy is not None and proxy.behind:
            proxy.behind = False
            self.behind -= 1
        return proxy

    def longest_behind(self) -> tuple[int | None, int]:
        """The proxy that has been behind for longest, and since when."""
        behind = ((proxy.behind_since, number) for number, proxy in self.joined.items() if proxy.behind)
        since, number = min(behind, default=(0, None))
        return number, since

    def unclear(self, mark: int, now: int, lease_us: int) -> list[int]:
        """Those that keep a mark from being clear (see `cleared`)."""
        joined = [number for number, proxy in self.joined.items() if proxy.answered < mark]
        departed = [
            number
            for number, proxy in self.departed.items()
            if proxy.gone_at > now - lease_us and proxy.answered < mark
        ]
        return joined + departed

    def cleared(self, now: int, lease_us: int) -> int:
        """No proxy can write by what is older than its last answer, nor a lease after its stream."""
        recent = [proxy.answered for proxy in self.departed.values() if proxy.gone_at > now - lease_us]
        return min((*(proxy.answered for proxy in self.joined.values()), *recent), default=NEVER)
