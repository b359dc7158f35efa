"""The configuration with which an operator starts a controller."""

from __future__ import annotations

import json

from lapispass.lab.scale.size import CLASSES, Size

SOCKETS = 1024  # descriptors that a controller may hold
# The channel to the proxies, in lines: one message to all of them must fit in, so it grows with their count.
LINES_PER_S, LINES_PER_S_A_PROXY = 10_000.0, 31.25
HEAD_LINES = 12.0  # of each message
QUEUE_S = 2.0  # for which lines may wait
MS = 1000


def configuration(size: Size, seed: int, relay: str) -> str:
    """`LB_CONFIG` of one controller, as JSON; it starts without a remembered list."""
    lines_per_s = max(LINES_PER_S, LINES_PER_S_A_PROXY * size.proxies)
    settings = {
        "discovery": "subscribe",
        "period-us": 5 * MS,
        "zones": size.zone_names,
        "grades": [
            {"name": CLASSES[0], "target-us": 1500 * MS, "hard-limit-us": 5000 * MS, "worth": 1.0},
            {"name": CLASSES[1], "target-us": 3000 * MS, "hard-limit-us": 5000 * MS, "worth": 2.0},
        ],
        "extra": {
            "data-plane-size": size.proxies,
            "key-ranges": size.slices,
            "class-writes": [False, True],
            "admit": "fraction",
            "one-owner": True,
            "lease-us": 1500 * MS,
            "lingers-us": 2000 * MS,
            "blackhole-us": 14_000 * MS,
            "lines-per-s": lines_per_s,
            "fixed-cost": HEAD_LINES,
            "queue-cap": QUEUE_S * lines_per_s,
            "report-every-us": 1000 * MS,
            "usual-how": 1,
        },
        "limits": {"probes": True},
        "rules": {"cold-us": 10_000 * MS, "start-capacity": 0.2, "fall-multiple": 2.5},
        "stats": {"fields": [], "how": "silent"},
    }
    return json.dumps(
        {
            "seed": f"{seed:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS},
            "store": {"address": relay},
            "known": {"revision": 0, "complete": False, "members": []},
            "settings": settings,
        }
    )
