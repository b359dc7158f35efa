"""Reads the settings of the start, which every front is given in the same form, into a `Deployment`."""

from __future__ import annotations

from typing import Any

from lapispass import interface as face

LOAD_FIELDS = {"busy_reqs": "held", "pending": "waiting", "cpu_share": "busy", "svc_ms": "service_ms",
               "served_ps": "completed_per_s", "failed_ps": "failed_per_s"}
ADMITS = {"fraction": "share", "per_second": "rate"}


def read(env: Any) -> face.Deployment:
    """Keys it does not know are passed over; a ValueError says which are missing or odd."""
    try:
        extra = env.get("extra", {})
        rules = env.get("rules", {})
        limits = env.get("limits", {})
        grades = env["grades"]
        writes = extra.get("class-writes") or [False] * len(grades)
        home = extra.get("home-only") or [False] * len(grades)
        classes = tuple(
            face.VisitClass(grade["name"], int(grade["target-us"]), int(grade["hard-limit-us"]),
                            float(grade["worth"]), bool(write), bool(own))
            for grade, write, own in zip(grades, writes, home, strict=True))
        return face.Deployment(
            classes=classes,
            zones=tuple(env.get("zones", ())),
            proxies=int(extra.get("data-plane-size", 0)),
            slices=int(extra.get("key-ranges", 0)),
            lease_us=int(extra.get("lease-us", 0)),
            linger_us=int(extra.get("lingers-us", 0)),
            bare_us=int(extra.get("blackhole-us", 0)),
            lines_per_s=float(extra.get("lines-per-s", 0)),
            head_lines=float(extra.get("fixed-cost", 0)),
            queue_lines=float(extra.get("queue-cap", 0)),
            messages_most=int(extra.get("pushes-allowed", 0)),
            messages_over_us=int(extra.get("update-window-us", 0)),
            report_every_us=int(extra.get("report-every-us", 0)),
            usual_retry=int(extra.get("usual-how", 0)),
            asks_for_list=env.get("discovery") == "subscribe",
            may_probe=bool(limits.get("probes", False)),
            gone_binds=not rules.get("drain-binds-alone", False),
            admits=ADMITS.get(extra.get("admit"), "none"),
            cold_us=int(rules.get("cold-us", 0)),
            cold_share=float(rules.get("start-capacity", 1)),
            fall_multiple=float(rules.get("fall-multiple", 2)),
            load_fields=tuple(LOAD_FIELDS.get(name, name) for name in env.get("stats", {}).get("fields", ())),
            turn_every_us=int(env.get("period-us", 5000)),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ValueError(f"{type(error).__name__} {error}") from None
