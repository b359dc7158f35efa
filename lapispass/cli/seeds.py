"""The seed of all chance of a process."""

from __future__ import annotations

import secrets


def draw_seed() -> int:
    """A seed for whoever gives none: 63 bits, never 0."""
    return secrets.randbits(63) | 1
