"""The rules on what parties saw pass, as it passes: shared by tests, drills and long runs.

Fed with the picks of routers or clients, the writes that nodes carried out, the steps that were published,
and what was told of nodes. It never asks the program what it believes. A breach names the rule, whose,
when, and what led to it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from lapispass.rules import held
from lapispass.rules.held import Breach, Carried, Published


@dataclass
class Bounds:
    """What the rules allow; times in us."""

    bare_us: int  # rule 1: a joined party without a pick
    grace_us: int  # rule 3: from the moment a drain was told
    waiting_most: int = 10_000  # rule 5: what may wait for one party
    cold_most: float = 2.5  # rule 4: of what a cold node can take


@dataclass
class Checker:
    """One run."""

    bounds: Bounds
    slice_of: Callable[[str], int]
    breaches: list[Breach] = field(default_factory=list)
    carried: list[Carried] = field(default_factory=list)
    published: list[Published] = field(default_factory=list)
    bare: dict[tuple[str, int], int] = field(
        default_factory=dict
    )  # party and slice: since when without a pick
    told: dict[str, int] = field(default_factory=dict)  # nodes that drain: since when it was told
    worst_bare_us: int = 0
    worst_drain_us: int = 0
    peaks: dict[str, float] = field(default_factory=dict)
    hands: dict[int, dict[str, int]] = field(default_factory=dict)  # slice: nodes with a write in hand, until
    newest: dict[int, tuple[int, str]] = field(default_factory=dict)  # the latest step that has taken a write
    events: deque[str] = field(default_factory=lambda: deque(maxlen=80))

    def note(self, at_us: int, text: str) -> None:
        """What happened, for whoever reads a breach."""
        self.events.append(f"{at_us} {text}")

    def breach(self, rule: str, whose: str, at_us: int, what: str) -> None:
        found = Breach(rule, whose, at_us, what)
        self.note(at_us, f"rule {rule} broken by {whose}: {what}")
        if len(self.breaches) < 100:
            self.breaches.append(found)

    # rule 1

    def pick(self, at_us: int, party: str, number: int, node: str | None, joined_us: int = 0) -> None:
        """A joined party's pick for a slice now, or none; a party that is not joined is not asked.

        The time of a drain runs from its joining, where that is later.
        """
        if node is None:
            since = self.bare.setdefault((party, number), at_us)
            self.worst_bare_us = max(self.worst_bare_us, at_us - since)
            if at_us - since > self.bounds.bare_us:
                self.breach("1", party, at_us, f"slice {number} without a pick for {at_us - since} us")
                self.bare[party, number] = at_us
            return
        self.bare.pop((party, number), None)
        if (since_told := self.told.get(node)) is not None:  # rule 3
            late = at_us - max(since_told, joined_us)
            self.worst_drain_us = max(self.worst_drain_us, late)
            if late > self.bounds.grace_us:
                self.breach("3", party, at_us, f"slice {number} goes to {node}, which drains since {late} us")

    def parted(self, party: str) -> None:
        """It has left: its time without a pick does not count."""
        for key in [key for key in self.bare if key[0] == party]:
            del self.bare[key]

    # rule 2

    def publish(self, at_us: int, number: int, owner: str | None) -> None:
        self.published.append(Published(at_us, number, owner))
        self.note(at_us, f"published slice {number}: {owner}")

    def carry(self, at_us: int, node: str, key: str, number: str) -> None:
        self.carried.append(Carried(at_us, node, key, number))

    def write(self, at_us: int, party: str, number: int, node: str, step: int, until_us: int) -> None:
        """A write is sent to a node by a table of that step (steps only rise); it is in hand until then."""
        hands = self.hands.setdefault(number, {})
        for other in [other for other, until in hands.items() if until < at_us]:
            del hands[other]
        if others := sorted(other for other in hands if other != node):
            self.breach("2", party, at_us, f"slice {number} is written at {node} and at {', '.join(others)}")
        last, owner = self.newest.get(number, (-1, node))
        if step < last and node != owner:
            self.breach("2", party, at_us, f"slice {number} is written at {node}, an owner before {owner}")
        elif step >= last:
            self.newest[number] = (step, node)
        hands[node] = max(hands.get(node, 0), until_us)

    # rules 3, 4, 5

    def drains(self, at_us: int, node: str, does: bool) -> None:
        """The list says so to the controller now."""
        if does:
            self.told.setdefault(node, at_us)
        else:
            self.told.pop(node, None)
        self.note(at_us, f"node {node} {'drains' if does else 'is ready'}")

    def cold(self, at_us: int, node: str, share: float) -> None:
        """What a cold node is sent, as a share of what it can take."""
        self.peaks[node] = max(self.peaks.get(node, 0.0), share)
        if share > self.bounds.cold_most:
            self.breach("4", node, at_us, f"sent {share:.2f} times what it can take")

    def waiting(self, at_us: int, party: str, count: int) -> None:
        """What waits for a party."""
        if count > self.bounds.waiting_most:
            self.breach("5", party, at_us, f"{count} wait")

    def verdict(self) -> list[Breach]:
        """All breaches; the writes are checked as a whole, against every step that was published."""
        found = held.writes(self.carried, self.published, self.slice_of)
        for breach in found:
            self.note(breach.at_us, f"rule {breach.rule}: {breach.whose}: {breach.what}")
        return self.breaches + found
