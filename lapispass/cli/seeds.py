"""The seed of all random numbers of a process."""

from __future__ import annotations

import secrets


def draw_seed() -> int:
    """Draws a random seed of 63 bits, which is never 0."""
    return secrets.randbits(63) | 1
