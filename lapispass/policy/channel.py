"""The pace of the channel to the proxies, and what each proxy has answered."""

from __future__ import annotations

from collections import deque
from typing import Any

from lapispass import interface as face
from lapispass.core.decay import DecayingSum
from lapispass.core.inbox import Mail, Part
from lapispass.core.messages import Missed, Offer
from lapispass.core.proxies import Proxy
from lapispass.core.units import NEVER, SECOND
from lapispass.policy.rules import Rules


class Channel(Part):
    """The way to the proxies: its waiting lines, its marks, and what each proxy has answered."""

    def __init__(self, mail: Mail, rules: Rules, proxies: int, table: Part) -> None:
        super().__init__(mail)
        self.rules, self.table = rules, table
        # After a start nobody has joined: each may still act on an older table for one lease.
        self.proxies = {number: Proxy(gone_at=mail.now) for number in range(proxies)}
        self.waiting, self.at, self.mark, self.joined, self.unmarked = 0.0, mail.now, 0, 0, False
        self.slowest = DecayingSum(8 * SECOND, float(SECOND), mail.now)
        self.written: deque[int] = deque()
        self.lines, self.left = (
            0.0,
            0.0,
        )  # written to each proxy in all; of these, sure to have left the channel
        self.turns: deque[tuple[int, float]] = deque(
            maxlen=4096
        )  # marks not answered yet, and the lines before them

    def take(self, note: Any) -> None:
        now, rules = self.mail.now, self.rules
        match note:
            case face.Joined(number, first, _, _):
                old = self.proxies.get(number, Proxy())
                took = -1 if first else max(old.answered, old.took)
                self.proxies[number], self.unmarked = Proxy(True, since=self.lines, took=took), True
                self.mail.post(self.table, Missed(first, took))
            case face.Left(number):
                proxy = self.proxies.setdefault(number, Proxy())
                proxy.joined, proxy.gone_at = False, now
            case face.Answered(number, mark, took_us):
                if (proxy := self.proxies.get(number)) and proxy.joined:
                    proxy.answered = max(proxy.answered, self.mark - (self.mark - mark) % (1 << 16))
                    while self.turns and self.turns[0][0] <= proxy.answered:
                        self.left = self.turns.popleft()[1]
                    self.slowest.add(now, max(0.0, took_us - self.slowest.read(now)))
            case face.Woken():
                self.joined = sum(proxy.joined for proxy in self.proxies.values())
                self.waiting, self.at = max(0.0, self.waiting - (now - self.at) * rules.lines_per_us), now
                while self.written and self.written[0] <= now - rules.messages_over_us:
                    self.written.popleft()
                left = rules.messages_most - 1 - len(self.written)
                # Guards large fleets: in a stream of small messages the heads alone would fill the channel.
                gap, last = max(rules.gap_us, self.joined * rules.heads_us), (self.written or (-NEVER,))[-1]
                # Guards the next withdrawal where messages are limited: the last half of them is spread over
                # what is left of their span, or a busy stretch would be followed by seconds without any.
                if 2 * left < rules.messages_most and self.written:
                    gap = max(gap, (self.written[0] + rules.messages_over_us - now) // max(1, left))
                # Guards a channel that stands still or runs far slower, which only the proxies' answers tell:
                # messages leave one after the other, so whatever was written before one that has been
                # answered is gone.
                unsure = sum(self.lines - max(self.left, p.since) for p in self.proxies.values() if p.joined)
                room = min(rules.queue_lines / 2 - self.waiting, 0.8 * rules.queue_lines - unsure)
                lines = int(room / max(1, self.joined) - rules.head_lines - 2)
                if min(left, lines, self.joined) > 0 and now >= last + gap:
                    # No proxy can write by what is older than its last answer, nor a lease after its stream.
                    cleared = min(
                        proxy.answered if proxy.joined or proxy.gone_at > now - rules.lease_us else NEVER
                        for proxy in self.proxies.values()
                    )
                    settle_us = min(int(self.slowest.read(now)), rules.lease_us * 9 // 10)
                    may = left > rules.messages_most // 3
                    idle = (
                        (lines + 1) // 2 if self.waiting < rules.queue_lines / 8 else 0
                    )  # the queue is tight
                    ordinary = may * max(idle, lines - int(rules.queue_lines / 4 / self.joined))
                    offer = Offer(lines, ordinary, self.mark + 1, cleared, settle_us, self.unmarked)
                    self.mail.post(self.table, offer)
            case list() as orders:  # the table's for this turn
                self.mark, self.unmarked = self.mark + 1, False
                self.written.append(now)
                self.turns.append((self.mark, self.lines))
                self.lines += len(orders) + 1 + rules.head_lines
                self.waiting += self.joined * (len(orders) + 1 + rules.head_lines)
                first = self.rules.first if self.mark == 1 else []
                self.mail.orders += [*first, *orders, face.Mark(self.mark % (1 << 16), True)]
