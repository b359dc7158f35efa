"""The state of the channel to the proxies: queued lines, barriers, and acknowledgements of each proxy."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from lapispass import interface
from lapispass.core.decay import DecayingSum
from lapispass.core.messages import MissedOrders
from lapispass.core.proxies import Proxies
from lapispass.core.turn import Turn

BARRIER_MODULUS = 1 << 16  # barriers are sent modulo this
MAX_PENDING_BARRIERS = 4096  # a barrier dropped beyond this only makes `unacknowledged_lines` larger


class ChannelState:
    """What has been written to the channel, and what of it has been delivered.

    Lines are counted for one proxy, except `queued_lines`: those of all proxies, at the time `queued_at`.
    Times are in microseconds.
    """

    def __init__(self, turn: Turn, proxies: Proxies, lines_per_us: float, slowest_ack: DecayingSum) -> None:
        self.turn, self.proxies, self.lines_per_us, self.slowest_ack = (
            turn,
            proxies,
            lines_per_us,
            slowest_ack,
        )
        # The fixed cost of each message, and the orders that precede those of the first message.
        self.overhead_lines, self.first_orders = 0.0, list[interface.Order]()
        self.queued_lines, self.queued_at, self.barrier, self.joined_since_barrier = 0.0, turn.now, 0, False
        self.sent_at: deque[int] = deque()  # when recent messages were written
        # Lines written to each proxy since the start, and those of them that have certainly left the channel.
        self.lines_written, self.lines_delivered = 0.0, 0.0
        # Barriers that are not acknowledged yet, each with the lines written before it.
        self.pending_barriers: deque[tuple[int, float]] = deque(maxlen=MAX_PENDING_BARRIERS)

    @property
    def joined(self) -> int:
        """How many proxies are connected."""
        return len(self.proxies.joined)

    def join(self, event: interface.ProxyJoined) -> MissedOrders:
        """A proxy's stream is established; returns the orders that it may have missed."""
        self.joined_since_barrier = True
        return MissedOrders(
            event.first_stream,
            self.proxies.join(event, self.lines_written, self.turn.now).acknowledged_before,
        )

    def leave(self, proxy: int) -> None:
        """A proxy's stream has ended."""
        self.proxies.leave(proxy, self.turn.now)

    def acknowledge(self, event: interface.BarrierAck) -> None:
        """A proxy has applied all orders up to a barrier."""
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
        """The lines that are queued if the channel carries its stated number of lines a second."""
        return max(0.0, self.queued_lines - (self.turn.now - self.queued_at) * self.lines_per_us)

    def unacknowledged_lines(self) -> float:
        """The lines that may be queued, judged by the acknowledgements alone.

        Only acknowledgements show that the channel stalls or is far slower than stated. Messages leave in
        order, so all lines written before an acknowledged message have left.
        """
        if not self.proxies.unacknowledged:  # each has acknowledged the last message
            return 0.0
        return sum(
            self.lines_written - max(self.lines_delivered, proxy.lines_before)
            for proxy in self.proxies.joined.values()
        )

    def publish(self, orders: Sequence[interface.Order]) -> None:
        """Writes one message to every proxy, with a barrier after its orders."""
        lines = len(orders) + 1 + self.overhead_lines
        self.queued_lines, self.queued_at = self.backlog() + self.joined * lines, self.turn.now
        self.barrier, self.joined_since_barrier = self.barrier + 1, False
        self.proxies.message_sent(self.turn.now)
        self.sent_at.append(self.turn.now)
        self.pending_barriers.append((self.barrier, self.lines_written))
        self.lines_written += lines
        before = self.first_orders if self.barrier == 1 else []
        self.turn.orders += [*before, *orders, interface.Barrier(self.barrier % BARRIER_MODULUS, True)]
