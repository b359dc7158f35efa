"""The way to the proxies: its waiting lines, its marks, and what each proxy has answered."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from lapispass import interface
from lapispass.core.decay import DecayingSum
from lapispass.core.messages import MissedOrders
from lapispass.core.proxies import Proxies
from lapispass.core.turn import Turn

BARRIER_MODULUS = 1 << 16  # marks are told modulo this
MAX_PENDING_BARRIERS = 4096  # marks that are kept; older ones only make the bound on what waits stricter


class ChannelState:
    """Lines are counted for one proxy, but for `waiting`: those of all at `at`. Times in microseconds."""

    def __init__(self, turn: Turn, proxies: Proxies, lines_per_us: float, slowest_ack: DecayingSum) -> None:
        self.turn, self.proxies, self.lines_per_us, self.slowest_ack = (
            turn,
            proxies,
            lines_per_us,
            slowest_ack,
        )
        self.overhead_lines, self.first_orders = (
            0.0,
            list[interface.Order](),
        )  # of each message; orders before the first one
        self.queued_lines, self.queued_at, self.barrier, self.joined_since_barrier = 0.0, turn.now, 0, False
        self.sent_at: deque[int] = deque()
        # Lines written to each proxy in all; of these, sure to have left the channel.
        self.lines_written, self.lines_delivered = 0.0, 0.0
        # Marks not answered yet, and the lines before them.
        self.pending_barriers: deque[tuple[int, float]] = deque(maxlen=MAX_PENDING_BARRIERS)

    @property
    def joined(self) -> int:
        """How many proxies' streams stand."""
        return len(self.proxies.joined)

    def join(self, event: interface.ProxyJoined) -> MissedOrders:
        """A proxy's stream stands."""
        self.joined_since_barrier = True
        return MissedOrders(
            event.first_stream,
            self.proxies.join(event, self.lines_written, self.turn.now).acknowledged_before,
        )

    def leave(self, proxy: int) -> None:
        """A proxy's stream has ended."""
        self.proxies.leave(proxy, self.turn.now)

    def acknowledge(self, event: interface.BarrierAck) -> None:
        """A proxy has applied everything up to a mark."""
        now, proxy = self.turn.now, self.proxies.joined.get(event.proxy)
        if proxy is None:
            return
        self.proxies.acknowledge(
            proxy, self.barrier - (self.barrier - event.barrier) % BARRIER_MODULUS, self.barrier, now
        )
        while self.pending_barriers and self.pending_barriers[0][0] <= proxy.acknowledged:
            self.lines_delivered = self.pending_barriers.popleft()[1]
        self.slowest_ack.add(now, max(0.0, event.latency_us - self.slowest_ack.read(now)))

    def backlog(self) -> float:
        """Lines that wait by the stated pace."""
        return max(0.0, self.queued_lines - (self.turn.now - self.queued_at) * self.lines_per_us)

    def unacknowledged_lines(self) -> float:
        """Lines that may wait by what proxies have answered.

        Guards a channel that stands still or runs far slower, which only the proxies' answers tell: messages
        leave one after the other, so whatever was written before one that has been answered is gone.
        """
        if not self.proxies.unacknowledged:  # each has answered the last message
            return 0.0
        return sum(
            self.lines_written - max(self.lines_delivered, proxy.lines_before)
            for proxy in self.proxies.joined.values()
        )

    def publish(self, orders: Sequence[interface.Order]) -> None:
        """Writes one message for every proxy, and a mark behind it."""
        lines = len(orders) + 1 + self.overhead_lines
        self.queued_lines, self.queued_at = self.backlog() + self.joined * lines, self.turn.now
        self.barrier, self.joined_since_barrier = self.barrier + 1, False
        self.proxies.message_sent(self.turn.now)
        self.sent_at.append(self.turn.now)
        self.pending_barriers.append((self.barrier, self.lines_written))
        self.lines_written += lines
        before = self.first_orders if self.barrier == 1 else []
        self.turn.orders += [*before, *orders, interface.Barrier(self.barrier % BARRIER_MODULUS, True)]
