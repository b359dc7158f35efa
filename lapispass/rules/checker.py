"""The rules on what parties saw pass, as it passes: shared by tests, drills and long runs.

Fed with the picks of routers or clients, the writes that nodes carried out, the steps that were published,
and what was told of nodes. It never asks the program what it believes. A breach names the rule, whose,
when, and what led to it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from lapispass.rules import checks
from lapispass.rules.checks import Breach, ExecutedWrite, PublishedStep


@dataclass
class Bounds:
    """What the rules allow; times in us."""

    unserved_us: int  # rule 1: a joined party without a pick
    drain_grace_us: int  # rule 3: from the moment a drain was told
    max_queued: int = 10_000  # rule 5: what may wait for one party
    max_cold_load: float = 2.5  # rule 4: of what a cold node can take


@dataclass
class Checker:
    """One run."""

    bounds: Bounds
    slice_of: Callable[[str], int]
    breaches: list[Breach] = field(default_factory=list)
    executed: list[ExecutedWrite] = field(default_factory=list)
    published: list[PublishedStep] = field(default_factory=list)
    unserved_since: dict[tuple[str, int], int] = field(
        default_factory=dict
    )  # party and slice: since when without a pick
    draining_since: dict[str, int] = field(default_factory=dict)  # nodes that drain: since when it was told
    worst_unserved_us: int = 0
    worst_drain_us: int = 0
    peak_cold_loads: dict[str, float] = field(default_factory=dict)
    writes_in_progress: dict[int, dict[str, int]] = field(
        default_factory=dict
    )  # slice: nodes with a write in hand, until
    latest_writes: dict[int, tuple[int, str]] = field(
        default_factory=dict
    )  # the latest step that has taken a write
    events: deque[str] = field(default_factory=lambda: deque(maxlen=80))

    def note(self, at_us: int, text: str) -> None:
        """What happened, for whoever reads a breach."""
        self.events.append(f"{at_us} {text}")

    def breach(self, rule: str, subject: str, at_us: int, detail: str) -> None:
        found = Breach(rule, subject, at_us, detail)
        self.note(at_us, f"rule {rule} broken by {subject}: {detail}")
        if len(self.breaches) < 100:
            self.breaches.append(found)

    # rule 1

    def pick(self, at_us: int, party: str, number: int, node: str | None, joined_us: int = 0) -> None:
        """A joined party's pick for a slice now, or none; a party that is not joined is not asked.

        The time of a drain runs from its joining, where that is later.
        """
        if node is None:
            since = self.unserved_since.setdefault((party, number), at_us)
            self.worst_unserved_us = max(self.worst_unserved_us, at_us - since)
            if at_us - since > self.bounds.unserved_us:
                self.breach("1", party, at_us, f"slice {number} without a pick for {at_us - since} us")
                self.unserved_since[party, number] = at_us
            return
        self.unserved_since.pop((party, number), None)
        if (since_told := self.draining_since.get(node)) is not None:  # rule 3
            late = at_us - max(since_told, joined_us)
            self.worst_drain_us = max(self.worst_drain_us, late)
            if late > self.bounds.drain_grace_us:
                self.breach("3", party, at_us, f"slice {number} goes to {node}, which drains since {late} us")

    def party_left(self, party: str) -> None:
        """It has left: its time without a pick does not count."""
        for key in [key for key in self.unserved_since if key[0] == party]:
            del self.unserved_since[key]

    # rule 2

    def step_published(self, at_us: int, number: int, owner: str | None) -> None:
        self.published.append(PublishedStep(at_us, number, owner))
        self.note(at_us, f"published slice {number}: {owner}")

    def write_executed(self, at_us: int, node: str, key: str, number: str) -> None:
        self.executed.append(ExecutedWrite(at_us, node, key, number))

    def write_sent(self, at_us: int, party: str, number: int, node: str, step: int, until_us: int) -> None:
        """A write is sent to a node by a table of that step (steps only rise); it is in hand until then."""
        hands = self.writes_in_progress.setdefault(number, {})
        for other in [other for other, until in hands.items() if until < at_us]:
            del hands[other]
        if others := sorted(other for other in hands if other != node):
            self.breach("2", party, at_us, f"slice {number} is written at {node} and at {', '.join(others)}")
        last, owner = self.latest_writes.get(number, (-1, node))
        if step < last and node != owner:
            self.breach("2", party, at_us, f"slice {number} is written at {node}, an owner before {owner}")
        elif step >= last:
            self.latest_writes[number] = (step, node)
        hands[node] = max(hands.get(node, 0), until_us)

    # rules 3, 4, 5

    def set_draining(self, at_us: int, node: str, does: bool) -> None:
        """The list says so to the controller now."""
        if does:
            self.draining_since.setdefault(node, at_us)
        else:
            self.draining_since.pop(node, None)
        self.note(at_us, f"node {node} {'drains' if does else 'is ready'}")

    def cold_load(self, at_us: int, node: str, share: float) -> None:
        """What a cold node is sent, as a share of what it can take."""
        self.peak_cold_loads[node] = max(self.peak_cold_loads.get(node, 0.0), share)
        if share > self.bounds.max_cold_load:
            self.breach("4", node, at_us, f"sent {share:.2f} times what it can take")

    def queued(self, at_us: int, party: str, count: int) -> None:
        """What waits for a party."""
        if count > self.bounds.max_queued:
            self.breach("5", party, at_us, f"{count} wait")

    def verdict(self) -> list[Breach]:
        """All breaches; the writes are checked as a whole, against every step that was published."""
        found = checks.check_writes(self.executed, self.published, self.slice_of)
        for breach in found:
            self.note(breach.at_us, f"rule {breach.rule}: {breach.subject}: {breach.detail}")
        return self.breaches + found
