"""The figures that decisions use, derived from the deployment at the start."""

from __future__ import annotations

from lapispass import interface
from lapispass.core.units import SECOND

# PROTOCOL, "Figures": what discovery has to tell counts as told no later than 6 s on.
NOTICE_US = 6 * SECOND
PROMPT = interface.Listed | interface.Given | interface.Held  # acted on in the turn that brings them


class Rules:
    """The few figures that decisions use, derived from the deployment at the start."""

    def __init__(self, told: interface.Deployment) -> None:
        places = list(enumerate(told.classes))
        self.lease_us, self.linger_us, self.bare_us = told.lease_us, told.linger_us, told.bare_us
        self.keep_us = told.lease_us + told.linger_us + told.bare_us
        self.cold_us, self.cold_share = max(1, told.cold_us), told.cold_share
        self.cold_part = told.fall_multiple / 5  # its caches are cold too, and estimates are late
        self.writes = [place for place, kind in places if kind.writes]
        self.own_zone = sum(1 << place for place, kind in places if kind.own_zone)
        self.any_zone = sum(1 << place for place, kind in places if not kind.own_zone)
        self.zone_tables = {zone: 1 + place for place, zone in enumerate(told.zones) if self.own_zone}
        self.slices, self.spreads, self.load_fields = max(1, told.slices), not told.slices, told.load_fields
        # Guards what must not run twice, or only within its group and window: a class that may not simply be
        # repeated is tried again on proof alone that it never ran, and that is said before all else.
        self.retries = [min(told.usual_retry, 3 if kind.repeats else 1) for kind in told.classes]
        careful = sum(1 << place for place, retry in enumerate(self.retries) if retry < told.usual_retry)
        self.classes = sorted(((kind.benefit, place, kind.name) for place, kind in places), reverse=True)
        self.shares, self.shuts = told.admits == "share", told.admits != "none"  # a rate is only shut or open
        self.all = 1.0 if self.shares else 1e6
        self.first = [interface.Admit(None, careful, 1, self.all)] if careful else []
        self.agreed_us = sum(kind.agreed_us for kind in told.classes) / max(1, len(told.classes))
        self.echo_us, self.quiet_us = told.report_every_us + SECOND, 2 * told.report_every_us + SECOND
        # A move bares a slice for the longest write and about 2 s: worth it where more is lost in 10 s.
        self.failing = min(0.9, max(0.4, (told.linger_us + 2 * SECOND) / (10 * SECOND)))
        self.notice_us = NOTICE_US
        self.look_us = SECOND // 20  # between looks at news that can wait, and at what moves
        self.pause_us = max(self.look_us, told.report_every_us // 2)  # between ordinary levels, and readings
        self.may_probe, self.gone_binds = told.may_probe, told.gone_binds or not told.may_probe
        self.demand_us = 4 * max(told.report_every_us, SECOND)
        self.lines_per_us, self.queue_lines = told.lines_per_s / SECOND, told.queue_lines
        self.heads_us = int(4 * SECOND * told.head_lines / max(1.0, told.lines_per_s))
        self.messages_over_us = told.messages_over_us or 10 * SECOND
        self.messages_most, self.head_lines = told.messages_most or 100, told.head_lines + len(self.first)
        self.gap_us = self.messages_over_us // self.messages_most // 2
