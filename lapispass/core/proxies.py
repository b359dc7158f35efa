"""What a controller knows of one proxy."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Proxy:
    joined: bool = False
    answered: int = -1
    gone_at: int = 0
    since: float = 0.0  # lines written to each proxy until it joined
    took: int = -1  # the last mark answered on earlier streams of this life
