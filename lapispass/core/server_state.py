"""What a controller knows about one server; `policy/health.py` derives the server's state from it."""

from __future__ import annotations

from lapispass import interface
from lapispass.core.decay import Traffic
from lapispass.core.messages import ServerStatus
from lapispass.core.turn import Turn
from lapispass.core.units import NEVER


class ServerState:
    """One server by the registry, reports and probes. Times are in microseconds by the controller's clock."""

    __slots__ = (
        *(
            "alive",
            "exclusion_us",
            "started_at",
            "registry_started_us",
            "busy_share",
            "entry",
            "succeeding",
            "admitted_share",
            "admitted_share_at",
            "gone_at",
            "last_success_at",
            "held_load",
        ),
        *(
            "registry_state",
            "failed_probes",
            "health",
            "number",
            "completed_per_s",
            "index",
            "next_probe_at",
            "requests_per_s",
            "next_reading_at",
            "has_new_reports",
        ),
        *(
            "health_since",
            "capacity_per_weight",
            "state",
            "traffic",
            "turn",
            "waiting",
            "warm",
            "weight",
            "zone",
        ),
    )

    def __init__(self, turn: Turn, number: interface.BackendId, index: int) -> None:
        self.turn, self.number, self.index = turn, number, index
        self.entry: interface.RegistryEntry | None = None  # as last received
        self.registry_started_us = 0  # `started_at` by the registry's clock
        self.registry_state, self.zone, self.weight, self.started_at, self.gone_at = "gone", "", 1.0, 0, NEVER
        self.alive = False  # by its probes
        self.health, self.health_since, self.exclusion_us = "healthy", turn.now, 0
        self.traffic: Traffic | None = None
        self.admitted_share, self.admitted_share_at, self.next_probe_at, self.failed_probes = (
            1.0,
            0,
            turn.now,
            0,
        )
        self.waiting: float | None = None
        self.capacity_per_weight, self.requests_per_s, self.busy_share, self.last_success_at = (
            0.0,
            0.0,
            0.0,
            turn.now,
        )
        self.held_load = 0.0  # the load of held connections, in requests a second
        # As last read from its traffic: requests completed a second, and whether most tries succeed.
        self.completed_per_s, self.succeeding, self.has_new_reports, self.next_reading_at = (
            0.0,
            False,
            False,
            NEVER,
        )
        self.state, self.warm = "unproven", True  # as of the last evaluation; see `Backend.classify`

    def add_report(self, report: interface.ServerReport, half_life_us: int) -> None:
        """Adds a report to the decaying sums, which have this half-life."""
        now, succeeded = self.turn.now, report.tries - report.failed
        self.traffic = self.traffic or Traffic(half_life_us, now)
        self.traffic.add(now, report.tries, report.failed, report.mean_latency_us)
        self.has_new_reports = True
        if succeeded > 0:
            self.last_success_at = now

    def set_rate(self, requests_per_s: float) -> None:
        """Sets the requests a second that its slices bring."""
        if requests_per_s or self.requests_per_s:
            self.gone_at = max(self.gone_at, self.turn.now)
        if not self.requests_per_s:
            self.last_success_at = self.turn.now
        self.requests_per_s = requests_per_s

    def status(self) -> ServerStatus:
        """The status at the last evaluation."""
        load = (self.completed_per_s, self.busy_share, self.started_at, self.held_load)
        return ServerStatus(self.number, self.state, self.zone, self.weight, *load)

    def set_health(self, health: str, reason: str) -> None:
        """Sets its health: healthy, unresponsive or failing."""
        if health != self.health:
            self.turn.log(f"backend {self.number} {self.health}->{health}: {reason}")
            self.health, self.health_since, self.failed_probes = health, self.turn.now, 0
            self.last_success_at = self.turn.now
