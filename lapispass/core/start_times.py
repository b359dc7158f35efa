"""When a server started, on this controller's clock, from the Unix time that the registry reports.

The two clocks may be apart: a machine's wall clock may be stepped by an hour, while ours runs evenly from
the start of the process. A report is therefore believed only within what is known without it.
"""

from __future__ import annotations


def local_start(reported_us: int, now_us: int, live: bool, max_delay_us: int) -> int:
    """The start of a server that is reported now for the first time, in microseconds of our clock.

    It did not start after it was reported. Where the list is followed without a gap (`live`), it did not
    start longer before than `max_delay_us` either, the longest time that the registry takes to tell of
    anything. Guards servers that have just started from being taken for warm, and warm ones from being
    taken for cold. Harm: a server that was slow to be listed counts as colder than it is.
    """
    earliest_us = now_us - max_delay_us if live else reported_us
    return min(max(reported_us, earliest_us), now_us)
