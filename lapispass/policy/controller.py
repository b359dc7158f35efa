"""One controller: which server owns which slice, and when that may change.

A front makes one `Controller` for each instance and calls `turn(now_us, events)` for every batch of news; the
orders it returns take effect together, as one message for each proxy. The events and orders stand in
`lapispass/interface.py`. Nothing here reads a clock or does I/O. `docs/design.md` tells what is kept.
"""

from __future__ import annotations

from collections.abc import Sequence

from lapispass import interface as face
from lapispass.core.inbox import Mail
from lapispass.core.messages import Standing
from lapispass.core.units import NEVER, SECOND
from lapispass.policy.channel import Channel
from lapispass.policy.handovers import Ledger
from lapispass.policy.health import Backend
from lapispass.policy.rules import Rules
from lapispass.policy.spread import Spread

PROMPT = face.Listed | face.Given | face.Held | face.Woken  # acted on in the turn that brings them


class Controller:
    """One instance: routes events to the parts, empties their inboxes, hands back the orders."""

    def __init__(self, told: face.Deployment, seed: int, now: int) -> None:
        self.mail, self.rules = Mail(seed, now), Rules(told)
        self.backends: dict[int, Backend] = {}
        self.table = Ledger(self.mail, self.rules) if told.slices else Spread(self.mail, self.rules)
        self.table.backends = self.backends
        self.channel = self.table.channel = Channel(self.mail, self.rules, told.proxies, self.table)
        self.ask_at, self.woken_at, self.patience_us = now if told.asks_for_list else NEVER, -1, SECOND

    def turn(self, now: int, events: Sequence[face.Event]) -> list[face.Order]:
        mail, self.mail.now, self.mail.orders = self.mail, now, []
        for event in events:
            self.route(event)
        if now >= self.ask_at:
            mail.orders.append(face.Follow())
            self.ask_at = NEVER
        mail.run()
        # Guards the process of a large fleet: late sums and answers come in every turn, and a look at all
        # servers and slices for each would leave no time to read what is urgent. They wait for the next wake-
        # up.
        if now >= self.woken_at or any(isinstance(event, PROMPT) for event in events):
            for part in (*self.backends.values(), self.channel):
                mail.post(part, face.Woken(0))
            mail.run()
        if now >= self.woken_at:
            self.woken_at = now + SECOND // 20
            mail.orders.append(face.Wake(0, self.woken_at))
        return mail.orders

    def standings(self) -> list[Standing]:
        """How each server stood at the last turn, for fronts that hold connections there."""
        return list(self.table.standings.values())

    def at_rest(self, number: int) -> bool:
        """Whether no handover of a slice is under way; one that was emptied and has no owner is under way."""
        slice_ = getattr(self.table, "slices", {}).get(number)
        return slice_ is None or (slice_.step == "steady" and not slice_.shut)

    def route(self, event: face.Event) -> None:
        if isinstance(event, face.Held) and event.backend not in self.backends:  # up until a probe fails
            self.route(face.Listed("changes", (face.Entry(event.backend, "", "gone", None, None),)))
            self.mail.post(self.backends[event.backend], face.Probed(event.backend, 0, 0, None))
        match event:
            case face.Listed(kind, entries):
                # Guards the registry, which serves all controllers in turn: after a cut or a release all ask
                # at once, so waits grow while calls fail, each by its own chance. What it has to tell counts
                # as told after 6 s in any case, so several calls must fit into that.
                if kind == "lost" and self.ask_at == NEVER:
                    self.ask_at = self.mail.now + int(self.patience_us * (0.5 + self.mail.chance.draw()))
                    self.patience_us = min(self.patience_us * 5 // 4, 3 * SECOND // 2)
                elif kind not in ("lost", "remembered"):
                    self.patience_us = SECOND
                if kind in ("whole", "remembered"):  # what is left out is gone
                    named = {entry.backend for entry in entries}
                    missing = [known for number, known in self.backends.items() if number not in named]
                    entries += tuple(face.Entry(b.number, b.zone, "gone", b.weight, None) for b in missing)
                for entry in entries:
                    if (number := entry.backend) not in self.backends:
                        self.backends[number] = Backend(self.mail, number, self.rules, self.table)
                        if kind == "remembered":
                            # Guards servers: all controllers that start at once probe them all.
                            wait_us = int(self.mail.chance.draw() * self.rules.lease_us)
                            self.backends[number].probe_at += wait_us
                    self.mail.post(self.backends[number], entry)
            case face.Met(backend) | face.Probed(backend) | face.Holding(backend) if backend in self.backends:
                self.mail.post(self.backends[backend], event)
            case face.Joined() | face.Left() | face.Answered() | face.Given() | face.Held() | face.Came():
                self.mail.post(self.channel, event)
                self.mail.post(self.table, event)
