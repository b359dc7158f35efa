"""Checks the rules on complete records of what nodes and clients observed."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple


class Breach(NamedTuple):
    """A breach of a rule: which rule, by whom, when, and the evidence."""

    rule: str
    subject: str
    at_us: int
    detail: str


class ExecutedWrite(NamedTuple):
    """A write that a node executed; `number` identifies it in the whole run."""

    at_us: int
    node: str
    key: str
    number: str


class PublishedStep(NamedTuple):
    """A handover step that was published for a slice: its owner, or None for an empty table.

    While its writes are shut, an owner serves reads only.
    """

    at_us: int
    slice: int
    owner: str | None
    are_writes_shut: bool = False


def check_writes(
    executed: Iterable[ExecutedWrite], published: Iterable[PublishedStep], slice_of: Callable[[str], int]
) -> list[Breach]:
    """Rule 2: each write is executed once, and only at the slice's owner at that time.

    While the slice has no owner, or its writes are shut, writes may still be executed at the last one that
    had them: the settle wait before a new owner exists for them. None may be executed at an owner whose
    writes are shut.
    """
    breaches: list[Breach] = []
    steps: dict[int, list[PublishedStep]] = {}
    for step in sorted(published):
        steps.setdefault(step.slice, []).append(step)
    seen: dict[str, ExecutedWrite] = {}
    for write in sorted(executed):
        if write.number in seen:
            first = seen[write.number]
            breaches.append(
                Breach(
                    "2",
                    write.key,
                    write.at_us,
                    f"write {write.number} executed at {write.node}, and before that at {first.node}",
                )
            )
        seen.setdefault(write.number, write)
        owners = [
            step
            for step in steps.get(slice_of(write.key), ())
            if step.at_us <= write.at_us and step.owner and not step.are_writes_shut
        ]
        owner = owners[-1].owner if owners else None
        if owner != write.node:
            breaches.append(
                Breach(
                    "2",
                    write.key,
                    write.at_us,
                    f"write {write.number} executed at {write.node}, but owner {owner} since "
                    f"{write.at_us - owners[-1].at_us if owners else 0} us",
                )
            )
    return breaches


class ConnectionEnd(NamedTuple):
    """The end of a connection at a node, with its WebSocket close code."""

    at_us: int
    node: str
    code: int


def check_drains(
    ends: Iterable[ConnectionEnd], left_over: dict[str, int], deadlines: dict[str, int], slack_us: int
) -> list[Breach]:
    """Rule 3: no connection outlasts the deadline of its draining node; each ends with a close frame."""
    breaches = [
        Breach("3", node, deadlines[node], f"{count} connections left after the deadline")
        for node, count in left_over.items()
        if count and node in deadlines
    ]
    for end in ends:
        if end.node in deadlines:
            if end.code == 1006:
                breaches.append(Breach("3", end.node, end.at_us, "connection ended without a close frame"))
            if end.at_us > deadlines[end.node] + slack_us:
                breaches.append(
                    Breach(
                        "3",
                        end.node,
                        end.at_us,
                        f"connection closed {end.at_us - deadlines[end.node]} us after the deadline",
                    )
                )
    return breaches


def check_bursts(ends: Iterable[ConnectionEnd], span_us: int, most: int) -> list[Breach]:
    """No more than `most` connections end within one span."""
    counts = Counter(end.at_us // span_us for end in ends)
    return [
        Breach("bursts", "", span * span_us, f"{count} connections ended within {span_us} us, limit {most}")
        for span, count in sorted(counts.items())
        if count > most
    ]


def check_cold_load(peaks: dict[str, float], failed: Iterable[str], most: float) -> list[Breach]:
    """Rule 4: no cold node is sent more than `most` times its capacity, and none fails under load."""
    breaches = [
        Breach("4", node, 0, f"sent {peak:.2f} times its capacity while cold, limit {most:.2f}")
        for node, peak in sorted(peaks.items())
        if peak > most
    ]
    return breaches + [Breach("4", node, 0, "failed under load") for node in failed]
