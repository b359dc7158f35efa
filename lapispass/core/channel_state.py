"""The way to the proxies: its waiting lines, its marks, and what each proxy has answered."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from lapispass import interface
from lapispass.core.decay import DecayingSum
from lapispass.core.messages import MissedOrders
from lapispass.core.proxies import Proxies
from lapispass.core.turn import Turn

MARKS = 1 << 16  # marks are told modulo this
UNANSWERED = 4096  # marks that are kept; older ones only make the bound on what waits stricter


class ChannelState:
    """Lines are counted for one proxy, but for `waiting`: those of all at `at`. Times in microseconds."""

    def __init__(self, turn: Turn, proxies: Proxies, lines_per_us: float, slowest: DecayingSum) -> None:
        self.turn, self.proxies, self.lines_per_us, self.slowest = turn, proxies, lines_per_us, slowest
        self.head_lines, self.first = (
            0.0,
            list[interface.Order](),
        )  # of each message; orders before the first one
        self.waiting, self.at, self.mark, self.unmarked = 0.0, turn.now, 0, False
        self.written: deque[int] = deque()
        # Lines written to each proxy in all; of these, sure to have left the channel.
        self.lines, self.left = 0.0, 0.0
        # Marks not answered yet, and the lines before them.
        self.turns: deque[tuple[int, float]] = deque(maxlen=UNANSWERED)

    @property
    def joined(self) -> int:
        """How many proxies' streams stand."""
        return len(self.proxies.joined)

    def join(self, event: interface.ProxyJoined) -> MissedOrders:
        """A proxy's stream stands."""
        self.unmarked = True
        return MissedOrders(event.first_stream, self.proxies.join(event, self.lines, self.turn.now).took)

    def leave(self, proxy: int) -> None:
        """A proxy's stream has ended."""
        self.proxies.leave(proxy, self.turn.now)

    def answer(self, event: interface.BarrierAck) -> None:
        """A proxy has applied everything up to a mark."""
        now, proxy = self.turn.now, self.proxies.joined.get(event.proxy)
        if proxy is None:
            return
        self.proxies.answer(proxy, self.mark - (self.mark - event.barrier) % MARKS, self.mark, now)
        while self.turns and self.turns[0][0] <= proxy.answered:
            self.left = self.turns.popleft()[1]
        self.slowest.add(now, max(0.0, event.latency_us - self.slowest.read(now)))

    def backlog(self) -> float:
        """Lines that wait by the stated pace."""
        return max(0.0, self.waiting - (self.turn.now - self.at) * self.lines_per_us)

    def unsure(self) -> float:
        """Lines that may wait by what proxies have answered.

        Guards a channel that stands still or runs far slower, which only the proxies' answers tell: messages
        leave one after the other, so whatever was written before one that has been answered is gone.
        """
        if not self.proxies.behind:  # each has answered the last message
            return 0.0
        return sum(self.lines - max(self.left, proxy.since) for proxy in self.proxies.joined.values())

    def publish(self, orders: Sequence[interface.Order]) -> None:
        """Writes one message for every proxy, and a mark behind it."""
        lines = len(orders) + 1 + self.head_lines
        self.waiting, self.at = self.backlog() + self.joined * lines, self.turn.now
        self.mark, self.unmarked = self.mark + 1, False
        self.proxies.write(self.turn.now)
        self.written.append(self.turn.now)
        self.turns.append((self.mark, self.lines))
        self.lines += lines
        before = self.first if self.mark == 1 else []
        self.turn.orders += [*before, *orders, interface.Barrier(self.mark % MARKS, True)]
