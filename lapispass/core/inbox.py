"""The inboxes of a controller's parts, emptied by one loop, and the orders of the turn."""

from __future__ import annotations

from collections import deque
from typing import Any

from lapispass import interface as face
from lapispass.core.random_source import RandomSource


class Mail:
    """The inboxes of all parts, emptied by one loop, and the orders of the turn."""

    def __init__(self, seed: int, now: int) -> None:
        self.now = self.heard_at = now
        self.waiting: deque[Part] = deque()
        self.orders: list[face.Order] = []
        self.chance = RandomSource(seed)

    def post(self, part: Part, note: Any) -> None:
        part.inbox.append(note)
        self.waiting.append(part)

    def run(self) -> None:
        while self.waiting:
            part = self.waiting.popleft()
            part.take(part.inbox.popleft())  # type: ignore[attr-defined]


class Part:
    """Something with an inbox; each kind has its own way to take a note."""

    def __init__(self, mail: Mail) -> None:
        self.mail = mail
        self.inbox: deque[Any] = deque()
