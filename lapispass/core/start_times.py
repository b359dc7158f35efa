"""When a server started, on this controller's clock, from the Unix time that the registry reports.

The two clocks may differ: a machine's wall clock may be stepped by an hour, while the controller's clock runs
evenly from the start of its process. A reported time is therefore limited to the span that is possible by the
controller's own clock.
"""

from __future__ import annotations


def local_start(reported_us: int, now_us: int, live: bool, max_delay_us: int) -> int:
    """The start of a server that is reported now for the first time, by the controller's clock.

    Times are in microseconds; `reported_us` is the start that the registry reports. The server cannot have
    started after it was reported. If the registry is followed without interruption (`live`), the server
    cannot have started more than `max_delay_us` ago either: the longest time that the registry takes to
    report a change.

    This keeps servers that have just started from being treated as warm, and warm servers from being treated
    as cold. Its drawback: a server that the registry lists late is treated as colder than it is.
    """
    earliest_us = now_us - max_delay_us if live else reported_us
    return min(max(reported_us, earliest_us), now_us)
