"""Counts of what is taken in, sent and answered; printed on a signal and at the end."""

from __future__ import annotations

from collections import Counter


class Counters(Counter[str]):
    """One number a name; the first part of a name says whose it is, as in `relay.calls`."""

    def fields(self) -> dict[str, int]:
        return dict(sorted(self.items()))
