"""The rules for held connections, checked on what nodes and screens saw pass."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple


class Breach(NamedTuple):
    """A rule that was broken: which, whose, when, and what shows it."""

    rule: str
    subject: str
    at_us: int
    detail: str


class ExecutedWrite(NamedTuple):
    """A write that a node carried out."""

    at_us: int
    node: str
    key: str
    number: str


class PublishedStep(NamedTuple):
    """A step that was published for a slice: an owner, or none for the empty step."""

    at_us: int
    slice: int
    owner: str | None


def check_writes(
    carried: Iterable[ExecutedWrite], published: Iterable[PublishedStep], slice_of: Callable[[str], int]
) -> list[Breach]:
    """Rule 2: no write twice, none at a node that another one has followed, none at one that was never the
    owner.

    A write still counts as the owner's while the slice is bare: that is what the wait before a new owner is
    for.
    """
    breaches: list[Breach] = []
    steps: dict[int, list[PublishedStep]] = {}
    for step in sorted(published):
        steps.setdefault(step.slice, []).append(step)
    seen: dict[str, ExecutedWrite] = {}
    for write in sorted(carried):
        if write.number in seen:
            first = seen[write.number]
            breaches.append(
                Breach(
                    "2",
                    write.key,
                    write.at_us,
                    f"write {write.number} at {write.node}, and before at {first.node}",
                )
            )
        seen.setdefault(write.number, write)
        owners = [
            step for step in steps.get(slice_of(write.key), ()) if step.at_us <= write.at_us and step.owner
        ]
        owner = owners[-1].owner if owners else None
        if owner != write.node:
            breaches.append(
                Breach(
                    "2",
                    write.key,
                    write.at_us,
                    f"write {write.number} at {write.node}, owner {owner} since "
                    f"{write.at_us - owners[-1].at_us if owners else 0} us",
                )
            )
    return breaches


class ConnectionEnd(NamedTuple):
    """The end of a connection at a node."""

    at_us: int
    node: str
    code: int


def check_drains(
    ends: Iterable[ConnectionEnd], left_over: dict[str, int], deadlines: dict[str, int], slack_us: int
) -> list[Breach]:
    """Rule 3: at a node that drains nothing is held after its deadline, and each end had a close frame."""
    breaches = [
        Breach("3", node, deadlines[node], f"{count} connections left")
        for node, count in left_over.items()
        if count and node in deadlines
    ]
    for end in ends:
        if end.node in deadlines:
            if end.code == 1006:
                breaches.append(Breach("3", end.node, end.at_us, "a connection ended without a close frame"))
            if end.at_us > deadlines[end.node] + slack_us:
                breaches.append(
                    Breach(
                        "3",
                        end.node,
                        end.at_us,
                        f"closed {end.at_us - deadlines[end.node]} us after the deadline",
                    )
                )
    return breaches


def check_bursts(ends: Iterable[ConnectionEnd], span_us: int, most: int) -> list[Breach]:
    """No more ends within any one span than stated."""
    counts = Counter(end.at_us // span_us for end in ends)
    return [
        Breach("bursts", "", span * span_us, f"{count} ends within {span_us} us, {most} at most")
        for span, count in sorted(counts.items())
        if count > most
    ]


def check_cold_load(peaks: dict[str, float], fallen: Iterable[str], most: float) -> list[Breach]:
    """Rule 4: no cold node is sent more than the stated multiple of what it can take, and none falls over."""
    breaches = [
        Breach("4", node, 0, f"sent {peak:.2f} times what it can take, {most:.2f} at most")
        for node, peak in sorted(peaks.items())
        if peak > most
    ]
    return breaches + [Breach("4", node, 0, "fell over") for node in fallen]
