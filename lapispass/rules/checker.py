"""Checks the rules on observed events as they occur; shared by tests, drills and long runs.

The events are the picks of parties (routers or clients), the writes that nodes executed, the handover steps
that were published, and the drains that were reported to the controller. The checker never asks the program
for its own state. A breach names the rule, who broke it, when, and the events that led to it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from lapispass.rules import checks
from lapispass.rules.checks import Breach, ExecutedWrite, PublishedStep


@dataclass
class Bounds:
    """The limits of the rules; times in microseconds."""

    unserved_us: int  # rule 1: how long a connected party may have no backend to pick for a slice
    drain_grace_us: int  # rule 3: how long picks may still go to a node after its drain was reported
    max_queued: int = 10_000  # rule 5: how much may be queued for one party
    max_cold_load: float = 2.5  # rule 4: the load of a cold node, as a multiple of its capacity


@dataclass
class Checker:
    """The checks of one run."""

    bounds: Bounds
    slice_of: Callable[[str], int]
    breaches: list[Breach] = field(default_factory=list)
    executed: list[ExecutedWrite] = field(default_factory=list)
    published: list[PublishedStep] = field(default_factory=list)
    # By party and slice: since when the party has had no backend to pick.
    unserved_since: dict[tuple[str, int], int] = field(default_factory=dict)
    draining_since: dict[str, int] = field(default_factory=dict)  # draining nodes: when that was reported
    worst_unserved_us: int = 0
    worst_drain_us: int = 0
    peak_cold_loads: dict[str, float] = field(default_factory=dict)
    # By slice: the nodes that may still be working on a write, and until when.
    writes_in_progress: dict[int, dict[str, int]] = field(default_factory=dict)
    # By slice: the latest step under which a write was sent, and the node it was sent to.
    latest_writes: dict[int, tuple[int, str]] = field(default_factory=dict)
    events: deque[str] = field(default_factory=lambda: deque(maxlen=80))

    def note(self, at_us: int, text: str) -> None:
        """Keeps an event for the report of a breach."""
        self.events.append(f"{at_us} {text}")

    def breach(self, rule: str, subject: str, at_us: int, detail: str) -> None:
        """Records a breach; at most 100 are kept."""
        found = Breach(rule, subject, at_us, detail)
        self.note(at_us, f"rule {rule} broken by {subject}: {detail}")
        if len(self.breaches) < 100:
            self.breaches.append(found)

    # rule 1

    def pick(self, at_us: int, party: str, number: int, node: str | None, joined_us: int = 0) -> None:
        """Checks which node a connected party picks for a slice now; None if it has none to pick.

        Parties that are not connected are not checked. If the party joined after the node's drain was
        reported, the grace counts from its joining.
        """
        if node is None:
            since = self.unserved_since.setdefault((party, number), at_us)
            self.worst_unserved_us = max(self.worst_unserved_us, at_us - since)
            if at_us - since > self.bounds.unserved_us:
                self.breach("1", party, at_us, f"slice {number} unserved for {at_us - since} us")
                self.unserved_since[party, number] = at_us
            return
        self.unserved_since.pop((party, number), None)
        if (drain_reported_at_us := self.draining_since.get(node)) is not None:  # rule 3
            late = at_us - max(drain_reported_at_us, joined_us)
            self.worst_drain_us = max(self.worst_drain_us, late)
            if late > self.bounds.drain_grace_us:
                self.breach(
                    "3",
                    party,
                    at_us,
                    f"slice {number} goes to {node}, draining for {late} us",
                )

    def party_left(self, party: str) -> None:
        """A party has left: the time that its slices were unserved no longer counts."""
        for key in [key for key in self.unserved_since if key[0] == party]:
            del self.unserved_since[key]

    # rule 2

    def step_published(
        self, at_us: int, number: int, owner: str | None, are_writes_shut: bool = False
    ) -> None:
        """A step of a slice's handover was published; None: the table is empty."""
        self.published.append(PublishedStep(at_us, number, owner, are_writes_shut))
        self.note(at_us, f"published slice {number}: {owner}{', writes shut' if are_writes_shut else ''}")

    def write_executed(self, at_us: int, node: str, key: str, number: str) -> None:
        """A node executed a write; `verdict` checks it."""
        self.executed.append(ExecutedWrite(at_us, node, key, number))

    def write_sent(self, at_us: int, party: str, number: int, node: str, step: int, until_us: int) -> None:
        """Checks a write that a party sends to a node, by the table that step `step` of the slice published.

        Steps only rise. The node may be working on the write until `until_us`.
        """
        in_progress = self.writes_in_progress.setdefault(number, {})
        for other in [other for other, until in in_progress.items() if until < at_us]:
            del in_progress[other]
        if others := sorted(other for other in in_progress if other != node):
            self.breach("2", party, at_us, f"slice {number} is written at {node} and at {', '.join(others)}")
        last, owner = self.latest_writes.get(number, (-1, node))
        if step < last and node != owner:
            self.breach("2", party, at_us, f"slice {number} is written at {node}, owner before {owner}")
        elif step >= last:
            self.latest_writes[number] = (step, node)
        in_progress[node] = max(in_progress.get(node, 0), until_us)

    # rules 3, 4, 5

    def set_draining(self, at_us: int, node: str, does: bool) -> None:
        """The registry reports to the controller that a node drains, or that it is ready."""
        if does:
            self.draining_since.setdefault(node, at_us)
        else:
            self.draining_since.pop(node, None)
        self.note(at_us, f"node {node} {'drains' if does else 'is ready'}")

    def cold_load(self, at_us: int, node: str, share: float) -> None:
        """Checks the load of a cold node, given as a multiple of its capacity."""
        self.peak_cold_loads[node] = max(self.peak_cold_loads.get(node, 0.0), share)
        if share > self.bounds.max_cold_load:
            self.breach("4", node, at_us, f"sent {share:.2f} times its capacity while cold")

    def queued(self, at_us: int, party: str, count: int) -> None:
        """Checks how much is queued for a party."""
        if count > self.bounds.max_queued:
            self.breach("5", party, at_us, f"{count} queued")

    def verdict(self) -> list[Breach]:
        """Returns all breaches; executed writes are checked here, against all steps that were published."""
        found = checks.check_writes(self.executed, self.published, self.slice_of)
        for breach in found:
            self.note(breach.at_us, f"rule {breach.rule}: {breach.subject}: {breach.detail}")
        return self.breaches + found
