"""Limits what is sent to the proxies to what the channel carries."""

from __future__ import annotations

from lapispass.core.channel_state import ChannelState
from lapispass.core.decay import DecayingSum
from lapispass.core.messages import SendBudget
from lapispass.core.proxies import Proxies
from lapispass.core.turn import Turn
from lapispass.core.units import NEVER, SECOND_US
from lapispass.policy.rules import Rules


class Channel(ChannelState):
    """Decides how much may be sent to the proxies, and when."""

    def __init__(self, turn: Turn, rules: Rules, proxies: int) -> None:
        proxy_states = Proxies(range(proxies), turn.now, rules.retention_us, rules.lease_us)
        slowest = DecayingSum(8 * SECOND_US, float(SECOND_US), turn.now)
        super().__init__(turn, proxy_states, rules.lines_per_us, slowest)
        self.rules, self.overhead_lines, self.first_orders = (
            rules,
            rules.message_overhead_lines,
            list(rules.initial_orders),
        )

    def messages_left(self) -> int:
        """How many more messages the window allows; one is always kept in reserve."""
        while self.sent_at and self.sent_at[0] <= self.turn.now - self.rules.message_window_us:
            self.sent_at.popleft()
        return self.rules.max_messages - 1 - len(self.sent_at)

    def next_message_at(self, left: int) -> int:
        """When the next message may be sent."""
        rules, last = self.rules, self.sent_at[-1] if self.sent_at else -NEVER
        # In a large fleet the overhead of many small messages alone would fill the channel.
        gap = max(rules.message_gap_us, self.joined * rules.message_gap_per_proxy_us)
        # Where the number of messages is limited, the last half of them is spread over the rest of the
        # window. Otherwise a busy period would be followed by seconds without any message, and the next
        # withdrawal would have to wait.
        if 2 * left < rules.max_messages and self.sent_at:
            gap = max(gap, (self.sent_at[0] + rules.message_window_us - self.turn.now) // max(1, left))
        return last + gap

    def send_budget(self) -> SendBudget | None:
        """What may be sent now; None: nothing."""
        now, rules, joined, left = self.turn.now, self.rules, self.joined, self.messages_left()
        if min(left, joined) <= 0 or now < self.next_message_at(left):
            return None
        backlog = self.backlog()
        room = min(
            rules.queue_limit_lines / 2 - backlog, 0.8 * rules.queue_limit_lines - self.unacknowledged_lines()
        )
        lines = int(room / joined - rules.message_overhead_lines - 2)
        if lines <= 0:
            return None
        settle_us = min(int(self.slowest_ack.read(now)), rules.lease_us * 9 // 10)
        # Where the queue is small for this many proxies, orders that can wait are sent while it is almost
        # empty.
        idle_lines = (lines + 1) // 2 if backlog < rules.queue_limit_lines / 8 else 0
        deferrable_lines = max(idle_lines, lines - int(rules.queue_limit_lines / 4 / joined))
        enough_messages = left > rules.max_messages // 3
        return SendBudget(
            lines, enough_messages * deferrable_lines, self.barrier + 1, settle_us, self.joined_since_barrier
        )
