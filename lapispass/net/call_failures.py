"""Counts and logs transient failures of system calls that the program has recovered from."""

from __future__ import annotations

import errno

from lapispass.net.counters import Counters
from lapispass.net.log import PartLogger

LOG_EVERY_US = 1_000_000

_counted = Counters()
_log = PartLogger("system", LOG_EVERY_US)


def note(call: str, error: OSError) -> None:
    """Records a failed call; the caller has already handled it."""
    name = errno.errorcode.get(error.errno or 0, str(error.errno))
    _counted[f"system.{call}.{name}"] += 1
    _log.rate_limited("call failed", kind=f"{call} {name}", call=call, why=name)


def counted() -> dict[str, int]:
    """Failures since the start of the process, by call and errno."""
    return _counted.fields()
