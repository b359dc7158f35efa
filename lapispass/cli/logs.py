"""The styles of log lines: `plain`, or JSON and logfmt by structlog.

structlog alone takes 6.5 MB and 0.1 s to load, so the platform's process never loads it.
"""

from __future__ import annotations

import logging
from collections.abc import MutableMapping
from typing import Any

STYLES = ("plain", "json", "logfmt")


def formatter(style: str) -> logging.Formatter | None:
    """The formatter for the handler of `log.start`; None keeps the plain lines.

    Raises ValueError for an unknown style.
    """
    if style not in STYLES:
        raise ValueError(f"{style!r} is not one of {', '.join(STYLES)}")
    if style == "plain":
        return None
    import structlog

    key_order = ["time", "level", "part", "event"]
    renderer: Any = structlog.processors.JSONRenderer()
    if style == "logfmt":
        renderer = structlog.processors.LogfmtRenderer(key_order=key_order, drop_missing=True)
    return structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=[
            structlog.stdlib.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
            structlog.stdlib.ExtraAdder(allow=()),
        ],
        processors=[
            add_fields,
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            structlog.processors.format_exc_info,
            renderer,
        ],
    )


def add_fields(_: Any, __: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Adds the part and the fields of a log call to structlog's event."""
    record = event["_record"]
    event["part"] = record.name.rpartition(".")[2]
    event.update(
        {
            name: value if isinstance(value, int | float | str | bool) else str(value)
            for name, value in getattr(record, "fields", {}).items()
        }
    )
    return event
