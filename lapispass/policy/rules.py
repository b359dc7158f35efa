"""Derives the figures that decisions use from the deployment."""

from __future__ import annotations

from lapispass import interface
from lapispass.core.units import SECOND_US

# The protocol ("Figures"): every change in the registry counts as reported 6 s later at the latest.
REGISTRY_DELAY_US = 6 * SECOND_US
URGENT_EVENTS = (
    interface.RegistryUpdate | interface.SliceGrant | interface.StoredOwner | interface.PreferredOwner
)  # cause an evaluation in the turn in which they are received


class Rules:
    """Time-outs, intervals and limits, computed once from the deployment. Times are in microseconds.

    - `retention_us`: no decision looks further back than this.
    - `feedback_delay_us`: how long a change takes to show in the reports.
    - `silence_us`: a server without a successful request for this long is suspected to be unresponsive.
    - `evaluation_interval_us`: the time between evaluations that are not urgent, and of ongoing handovers.
    - `update_interval_us`: the time between readings of rates, and between admission updates that are not
      urgent.
    - `message_gap_us`: the least time between two messages.
    - `message_gap_per_proxy_us`: the same for each proxy that has joined, so that the overhead of messages
      takes up at most a quarter of the channel.
    - `registry_delay_us`: the longest time that the registry takes to report a change.
    - `demand_half_life_us`: the half-life of the sums of a slice's requests.
    - `cold_capacity_factor`: the part of its estimated capacity that a cold server is trusted with.
    - `failure_ratio`: the share of failed tries above which a server counts as failing.
    - `same_zone_classes`, `any_zone_classes`: bit masks of request classes, by where their requests may go.
    - `zone_tables`: the number of each zone's table; table 0 contains the servers of all zones.
    - `classes_by_value`: value, index and name of each request class, the most valuable one first.
    - `admit_all`: the level that admits all requests.
    """

    def __init__(self, deployment: interface.Deployment) -> None:
        classes = list(enumerate(deployment.classes))
        self.lease_us, self.linger_us, self.unserved_limit_us = (
            deployment.lease_us,
            deployment.linger_us,
            deployment.unserved_limit_us,
        )
        self.retention_us = deployment.lease_us + deployment.linger_us + deployment.unserved_limit_us
        self.cold_us, self.cold_share = max(1, deployment.cold_us), deployment.cold_share
        # The caches of a cold server are cold too, and estimates of its load are late.
        self.cold_capacity_factor = deployment.cold_overload_factor / 5
        self.write_classes = [index for index, kind in classes if kind.writes]
        self.same_zone_classes = sum(1 << index for index, kind in classes if kind.same_zone_only)
        self.any_zone_classes = sum(1 << index for index, kind in classes if not kind.same_zone_only)
        self.zone_tables = {
            zone: 1 + index for index, zone in enumerate(deployment.zones) if self.same_zone_classes
        }
        self.slice_count, self.without_slices, self.load_fields = (
            max(1, deployment.slices),
            not deployment.slices,
            deployment.load_fields,
        )
        # Requests of a class that is not repeatable must not run twice, or only within their group and
        # window. They are retried only if they provably never ran (1). This is ordered before anything else.
        self.retries = [
            min(deployment.default_retry, 3 if kind.repeatable else 1) for kind in deployment.classes
        ]
        non_repeatable = sum(
            1 << index for index, retry in enumerate(self.retries) if retry < deployment.default_retry
        )
        self.classes_by_value = sorted(
            ((kind.value, index, kind.name) for index, kind in classes), reverse=True
        )
        self.uses_shares, self.can_block_writes = (
            deployment.admission_mode == "share",
            deployment.admission_mode != "none",
        )
        # In 'rate' mode a level either admits nothing or everything.
        self.admit_all = 1.0 if self.uses_shares else 1e6
        self.initial_orders = (
            [interface.SetAdmission(None, non_repeatable, 1, self.admit_all)] if non_repeatable else []
        )
        self.mean_deadline_us = sum(kind.deadline_us for kind in deployment.classes) / max(
            1, len(deployment.classes)
        )
        self.feedback_delay_us, self.silence_us = (
            deployment.report_interval_us + SECOND_US,
            2 * deployment.report_interval_us + SECOND_US,
        )
        # A handover leaves a slice unserved for the linger time and about 2 s more. It is worth that if the
        # failing server would lose more than this within 10 s.
        self.failure_ratio = min(0.9, max(0.4, (deployment.linger_us + 2 * SECOND_US) / (10 * SECOND_US)))
        self.registry_delay_us = REGISTRY_DELAY_US
        self.evaluation_interval_us = SECOND_US // 20
        self.update_interval_us = max(self.evaluation_interval_us, deployment.report_interval_us // 2)
        self.probes_allowed, self.must_leave_gone = (
            deployment.probes_allowed,
            deployment.must_leave_gone or not deployment.probes_allowed,
        )
        self.demand_half_life_us = 4 * max(deployment.report_interval_us, SECOND_US)
        self.lines_per_us, self.queue_limit_lines = (
            deployment.lines_per_s / SECOND_US,
            deployment.queue_limit_lines,
        )
        self.message_gap_per_proxy_us = int(
            4 * SECOND_US * deployment.message_overhead_lines / max(1.0, deployment.lines_per_s)
        )
        self.message_window_us = deployment.message_window_us or 10 * SECOND_US
        self.max_messages, self.message_overhead_lines = (
            deployment.max_messages or 100,
            deployment.message_overhead_lines + len(self.initial_orders),
        )
        self.message_gap_us = self.message_window_us // self.max_messages // 2
