"""What a controller holds of one server. The judgement is the policy's."""

from __future__ import annotations

from lapispass import interface
from lapispass.core.decay import Traffic
from lapispass.core.messages import ServerStatus
from lapispass.core.turn import Turn
from lapispass.core.units import NEVER


class ServerState:
    """One server as the list, reports and probes have told it. Times in microseconds."""

    __slots__ = (
        *(
            "alive",
            "away_us",
            "born",
            "born_reported",
            "busy",
            "entry",
            "fine",
            "fit",
            "fit_at",
            "gone_at",
            "good_at",
            "held",
        ),
        *("listed", "misses", "mode", "number", "pace", "place", "probe_at", "rate", "read_at", "reported"),
        *("since", "speed", "state", "traffic", "turn", "waiting", "warm", "weight", "zone"),
    )

    def __init__(self, turn: Turn, number: interface.BackendId, place: int) -> None:
        self.turn, self.number, self.place = turn, number, place
        self.entry: interface.RegistryEntry | None = None  # as last told
        self.born_reported = 0  # by the registry's clock; `born` is by ours
        self.listed, self.zone, self.weight, self.born, self.gone_at = "gone", "", 1.0, 0, NEVER
        self.alive = False  # as probes have it
        self.mode, self.since, self.away_us = "well", turn.now, 0
        self.traffic: Traffic | None = None
        self.fit, self.fit_at, self.probe_at, self.misses = 1.0, 0, turn.now, 0
        self.waiting: float | None = None
        self.speed, self.rate, self.busy, self.good_at = 0.0, 0.0, 0.0, turn.now
        self.held = 0.0  # what held connections cost it, in visits a second
        # As last read from its traffic: visits done a second, and whether enough do well there.
        self.pace, self.fine, self.reported, self.read_at = 0.0, False, False, NEVER
        self.state, self.warm = "unproven", True  # as of the last visit

    def note_traffic(self, report: interface.ServerReport, half_us: int) -> None:
        """Adds a report to the decaying sums of this half-life."""
        now, done = self.turn.now, report.tries - report.failed
        self.traffic = self.traffic or Traffic(half_us, now)
        self.traffic.add(now, report.tries, report.failed, report.mean_latency_us)
        self.reported = True
        if done > 0:
            self.good_at = now

    def carry(self, rate: float) -> None:
        """The visits a second that its slices bring."""
        if rate or self.rate:
            self.gone_at = max(self.gone_at, self.turn.now)
        if not self.rate:
            self.good_at = self.turn.now
        self.rate = rate

    def status(self) -> ServerStatus:
        """How it stood when it was last looked at."""
        work = (self.pace, self.busy, self.born, self.held)
        return ServerStatus(self.number, self.state, self.zone, self.weight, *work)

    def turn_to(self, mode: str, why: str) -> None:
        """It is well, silent or failing from now on."""
        if mode != self.mode:
            self.turn.log(f"backend {self.number} {self.mode}->{mode}: {why}")
            self.mode, self.since, self.misses = mode, self.turn.now, 0
            self.good_at = self.turn.now
