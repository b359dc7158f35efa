"""The pace of the channel to the proxies: how much may be written now."""

from __future__ import annotations

from lapispass.core.channel_state import ChannelState
from lapispass.core.decay import DecayingSum
from lapispass.core.messages import SendBudget
from lapispass.core.proxies import Proxies
from lapispass.core.turn import Turn
from lapispass.core.units import NEVER, SECOND_US
from lapispass.policy.rules import Rules


class Channel(ChannelState):
    """How much may be written to the proxies, and when."""

    def __init__(self, turn: Turn, rules: Rules, proxies: int) -> None:
        known = Proxies(range(proxies), turn.now, rules.keep_us, rules.lease_us)
        slowest = DecayingSum(8 * SECOND_US, float(SECOND_US), turn.now)
        super().__init__(turn, known, rules.lines_per_us, slowest)
        self.rules, self.overhead_lines, self.first_orders = rules, rules.head_lines, list(rules.first)

    def messages_left(self) -> int:
        """How many messages the span allows still; one is always kept."""
        while self.sent_at and self.sent_at[0] <= self.turn.now - self.rules.messages_over_us:
            self.sent_at.popleft()
        return self.rules.messages_most - 1 - len(self.sent_at)

    def next_message_at(self, left: int) -> int:
        """When the next message may be written."""
        rules, last = self.rules, self.sent_at[-1] if self.sent_at else -NEVER
        # Guards large fleets: in a stream of small messages the heads alone would fill the channel.
        gap = max(rules.gap_us, self.joined * rules.heads_us)
        # Guards the next withdrawal where messages are limited: the last half of them is spread over what
        # is left of their span, or a busy stretch would be followed by seconds without any.
        if 2 * left < rules.messages_most and self.sent_at:
            gap = max(gap, (self.sent_at[0] + rules.messages_over_us - self.turn.now) // max(1, left))
        return last + gap

    def offer(self) -> SendBudget | None:
        """What may be written now."""
        now, rules, joined, left = self.turn.now, self.rules, self.joined, self.messages_left()
        if min(left, joined) <= 0 or now < self.next_message_at(left):
            return None
        backlog = self.backlog()
        room = min(rules.queue_lines / 2 - backlog, 0.8 * rules.queue_lines - self.unacknowledged_lines())
        lines = int(room / joined - rules.head_lines - 2)
        if lines <= 0:
            return None
        settle_us = min(int(self.slowest_ack.read(now)), rules.lease_us * 9 // 10)
        idle = (lines + 1) // 2 if backlog < rules.queue_lines / 8 else 0  # where the queue is tight
        ordinary = max(idle, lines - int(rules.queue_lines / 4 / joined))
        may = left > rules.messages_most // 3
        return SendBudget(lines, may * ordinary, self.barrier + 1, settle_us, self.joined_since_barrier)
