"""The figures that decisions use, derived from the deployment at the start."""

from __future__ import annotations

from lapispass import interface
from lapispass.core.units import SECOND_US

# PROTOCOL, "Figures": what discovery has to tell counts as told no later than 6 s on.
NOTICE_US = 6 * SECOND_US
PROMPT = (
    interface.RegistryUpdate | interface.SliceGrant | interface.StoredOwner
)  # acted on in the turn that brings them


class Rules:
    """The few figures that decisions use, derived from the deployment at the start."""

    def __init__(self, deployment: interface.Deployment) -> None:
        places = list(enumerate(deployment.classes))
        self.lease_us, self.linger_us, self.bare_us = (
            deployment.lease_us,
            deployment.linger_us,
            deployment.unserved_limit_us,
        )
        self.keep_us = deployment.lease_us + deployment.linger_us + deployment.unserved_limit_us
        self.cold_us, self.cold_share = max(1, deployment.cold_us), deployment.cold_share
        self.cold_part = (
            deployment.cold_overload_factor / 5
        )  # its caches are cold too, and estimates are late
        self.writes = [place for place, kind in places if kind.writes]
        self.own_zone = sum(1 << place for place, kind in places if kind.same_zone_only)
        self.any_zone = sum(1 << place for place, kind in places if not kind.same_zone_only)
        self.zone_tables = {zone: 1 + place for place, zone in enumerate(deployment.zones) if self.own_zone}
        self.slices, self.spreads, self.load_fields = (
            max(1, deployment.slices),
            not deployment.slices,
            deployment.load_fields,
        )
        # Guards what must not run twice, or only within its group and window: a class that may not simply be
        # repeated is tried again on proof alone that it never ran, and that is said before all else.
        self.retries = [
            min(deployment.default_retry, 3 if kind.repeatable else 1) for kind in deployment.classes
        ]
        careful = sum(
            1 << place for place, retry in enumerate(self.retries) if retry < deployment.default_retry
        )
        self.classes = sorted(((kind.value, place, kind.name) for place, kind in places), reverse=True)
        self.shares, self.shuts = (
            deployment.admission_mode == "share",
            deployment.admission_mode != "none",
        )  # a rate is only shut or open
        self.all = 1.0 if self.shares else 1e6
        self.first = [interface.SetAdmission(None, careful, 1, self.all)] if careful else []
        self.agreed_us = sum(kind.deadline_us for kind in deployment.classes) / max(
            1, len(deployment.classes)
        )
        self.echo_us, self.quiet_us = (
            deployment.report_interval_us + SECOND_US,
            2 * deployment.report_interval_us + SECOND_US,
        )
        # A move bares a slice for the longest write and about 2 s: worth it where more is lost in 10 s.
        self.failing = min(0.9, max(0.4, (deployment.linger_us + 2 * SECOND_US) / (10 * SECOND_US)))
        self.notice_us = NOTICE_US
        self.look_us = SECOND_US // 20  # between looks at news that can wait, and at what moves
        self.pause_us = max(
            self.look_us, deployment.report_interval_us // 2
        )  # between ordinary levels, and readings
        self.may_probe, self.gone_binds = (
            deployment.probes_allowed,
            deployment.must_leave_gone or not deployment.probes_allowed,
        )
        self.demand_us = 4 * max(deployment.report_interval_us, SECOND_US)
        self.lines_per_us, self.queue_lines = deployment.lines_per_s / SECOND_US, deployment.queue_limit_lines
        self.heads_us = int(
            4 * SECOND_US * deployment.message_overhead_lines / max(1.0, deployment.lines_per_s)
        )
        self.messages_over_us = deployment.message_window_us or 10 * SECOND_US
        self.messages_most, self.head_lines = (
            deployment.max_messages or 100,
            deployment.message_overhead_lines + len(self.first),
        )
        self.gap_us = self.messages_over_us // self.messages_most // 2
