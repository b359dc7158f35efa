"""The health of one server, judged by the registry, by reports and by probes; reports arrive late."""

from __future__ import annotations

from lapispass import interface
from lapispass.core.decay import Traffic
from lapispass.core.messages import RUNNING_STATES
from lapispass.core.server_state import ServerState
from lapispass.core.start_times import local_start
from lapispass.core.turn import Turn
from lapispass.core.units import NEVER, SECOND_US
from lapispass.policy.rules import Rules

HALF_LIFE_US = 2 * SECOND_US
NEGLIGIBLE = 0.01  # a decaying sum of tries below this counts as empty


class Backend(ServerState):
    """One server: its methods take in events, and `evaluate` derives its state from them."""

    __slots__ = ("rules",)

    def __init__(self, turn: Turn, number: interface.BackendId, index: int, rules: Rules) -> None:
        super().__init__(turn, number, index)
        self.rules, self.alive, self.exclusion_us = rules, not rules.probes_allowed, 8 * SECOND_US

    def delay_first_probe(self) -> None:
        """Delays the first probe at random: controllers that start together would all probe at once."""
        self.next_probe_at += int(self.turn.random.draw() * self.rules.lease_us)

    def apply_registry_entry(self, entry: interface.RegistryEntry, live: bool = False) -> None:
        """Applies the registry's entry; `live`: the registry has been watched without a gap."""
        self.entry, now, reported = entry, self.turn.now, entry.started_us
        restarted = bool(reported) and reported != self.registry_started_us
        if restarted and self.registry_started_us:
            self.set_health("healthy", "restarted")
            self.admitted_share, self.waiting = 1.0, None
            self.traffic, self.has_new_reports = None, True
        if entry.state != "gone" or self.registry_state != "draining":  # a drained server stays withdrawn
            self.registry_state = entry.state
        self.gone_at = min(self.gone_at, now) if entry.state == "gone" else NEVER
        self.zone, self.weight = entry.zone, entry.weight or 1.0
        if reported and restarted:
            self.registry_started_us = reported
            self.started_at = local_start(reported, now, live, self.rules.registry_delay_us)

    def apply_report(self, report: interface.ServerReport) -> None:
        """Adds what the proxies of a zone observed at this server."""
        if report.load:
            self.update_load(dict(zip(self.rules.load_fields, report.load, strict=False)))
        self.add_report(report, HALF_LIFE_US)

    def apply_probe_result(self, reason: int) -> None:
        """Applies a probe's result: 0: it answered, 2: it answered that it is busy, 4: connection refused."""
        self.failed_probes = 0 if reason in (0, 2) else self.failed_probes + 1
        dead = self.registry_state == "gone" and (reason == 4 or self.failed_probes > 1)
        self.alive = not self.failed_probes or (self.alive and not dead)

    def update_load(self, load: dict[str, float | None]) -> None:
        """Updates the queue length and the estimated capacity, as far as the load report contains them."""
        busy, waiting = load.get("busy"), load.get("waiting")
        if waiting is not None:
            self.waiting = waiting if self.waiting is None else 0.5 * (self.waiting + waiting)
        busy = 1.0 if busy is None and (waiting or 0) > 1 else busy  # a queue means fully busy
        self.busy_share = 0.5 * (self.busy_share + (busy or 0.0))
        traffic, now = self.traffic, self.turn.now
        if traffic and busy and busy > 0.1 and traffic.tries.read(now) > 2 and self.warmth() >= 1:
            capacity = (traffic.tries.per_second(now) + self.held_load) / busy / self.weight
            self.capacity_per_weight += (0.5 if capacity > self.capacity_per_weight else 0.1) * (
                capacity - self.capacity_per_weight
            )

    def warmth(self) -> float:
        """The least share of its capacity that a server has: after its start it rises at least linearly."""
        age = max(0, self.turn.now - self.started_at) / self.rules.cold_us if self.started_at else 1.0
        return min(1.0, self.rules.cold_share + (1 - self.rules.cold_share) * age)

    def evaluate(self) -> int:
        """Updates the server's state; returns when it is due again if no event arrives before."""
        if self.has_new_reports or self.turn.now >= self.next_reading_at:
            self.read_traffic()
        self.update_health()
        self.state, self.warm = self.classify(), self.warmth() >= 1
        return max(self.turn.now + 1, self.next_evaluation())

    def read_traffic(self) -> None:
        """Reads the decaying sums, and again after half a report interval until they are empty."""
        now, traffic = self.turn.now, self.traffic
        tries = traffic.tries.read(now) if traffic else 0.0
        if traffic is None or tries < NEGLIGIBLE:
            self.completed_per_s, self.succeeding, self.next_reading_at = 0.0, False, NEVER
        else:
            self.completed_per_s, done = traffic.succeeded.per_second(now), traffic.succeeded.read(now)
            self.succeeding, self.next_reading_at = (
                done > max(2, 0.5 * tries),
                now + self.rules.update_interval_us,
            )
        self.has_new_reports = False

    def classify(self) -> str:
        """The state by the registry, probes and health.

        - "ready": running and healthy.
        - "unproven": listed as running, but no probe has been answered.
        - "unhealthy": running, but unresponsive or failing.
        - "draining": draining, or gone where slices must leave such a server: withdrawn from the tables.
        - "gone": the registry lists it as gone, and it answers no probes.
        - "removed": gone and without a slice for `retention_us`; it may be forgotten.
        """
        if not self.requests_per_s and self.turn.now > self.gone_at + self.rules.retention_us:
            return "removed"  # it can be forgotten, so that memory use does not grow without bound
        # The registry may be wrong. A server that it lists as gone, but that never drained and answers
        # probes, keeps its slices where the settings allow it. One that is listed as running, but has
        # answered no probe, is 'unproven'. The drawback: a server that is back cold counts as warm until the
        # registry reports its start.
        if self.registry_state == "draining" or (
            self.registry_state == "gone" and self.rules.must_leave_gone
        ):
            return "draining"
        if not self.alive:
            return "gone" if self.registry_state == "gone" else "unproven"
        return "ready" if self.health == "healthy" else "unhealthy"

    def needs_probe(self, state: str) -> bool:
        """Whether only a probe can show that the server is up."""
        return state == "unproven" or (
            self.registry_state == "gone" and state not in ("draining", "gone", "removed")
        )

    def suspected_at(self) -> int:
        """When it is suspected to be unresponsive, unless a request succeeds or all reports are late."""
        if self.health != "healthy" or not self.requests_per_s:
            return NEVER
        return self.last_success_at + 1 + max(self.rules.silence_us, int(6 * SECOND_US / self.requests_per_s))

    def update_health(self) -> None:
        """Probes the server if in doubt; tells an unresponsive, a failing and an overloaded server apart."""
        now, rules, state = self.turn.now, self.rules, self.classify()
        # Silence only counts while reports about other servers arrive: if all reports are late, no server is
        # to blame.
        silent_us, suspected = (
            self.turn.last_report_at - self.last_success_at,
            self.turn.last_report_at >= self.suspected_at(),
        )
        # An unhealthy server is probed again even after a lost probe. Otherwise that probe would be its last
        # one, and the server would never be used again.
        in_doubt = self.needs_probe(state) or suspected or state == "unhealthy"
        if rules.probes_allowed and in_doubt and now >= self.next_probe_at:
            self.next_probe_at = now + SECOND_US
            self.turn.orders.append(interface.Probe(self.number))
        if state not in RUNNING_STATES:
            return
        traffic = self.traffic or Traffic(HALF_LIFE_US, now)
        tries, done, total_latency_us = (
            traffic.tries.read(now),
            traffic.succeeded.read(now),
            traffic.time_us.read(now),
        )
        failed, mean_latency_us = tries - done, total_latency_us / max(0.1, done)
        if self.health != "healthy":
            # Slices that it has kept still send requests there. If most of them succeed, it is healthy again.
            recovered = self.health == "failing" and tries > 4 and failed < 0.5 * rules.failure_ratio * tries
            if self.failed_probes == 0 and (recovered or now - self.health_since > self.exclusion_us):
                self.exclusion_us *= 2  # a server that fails again is excluded for longer
                self.set_health("healthy", f"was excluded for {now - self.health_since} us")
        # A server that accepts requests and answers none, or does not respond at all: no request has
        # succeeded for a while although some were sent there, and probes are not answered either.
        elif suspected and (self.failed_probes >= 2 or silent_us > 3 * rules.silence_us):
            self.set_health(
                "unresponsive",
                f"no success for {silent_us} us at {self.requests_per_s:.1f} requests/s, "
                f"{self.failed_probes} probes lost",
            )
        # A server that fails fast: most of its tries fail, and these are more than a handful.
        elif (
            self.requests_per_s
            and tries > 8
            and failed > rules.failure_ratio * tries
            and mean_latency_us < 0.3 * rules.mean_deadline_us
        ):
            self.set_health(
                "failing",
                f"{failed:.1f} of {tries:.1f} tries failed, mean latency of others {mean_latency_us:.0f} us",
            )
        elif now - self.admitted_share_at > rules.feedback_delay_us and tries > 2:
            self.admitted_share_at = now
            self.update_admitted_share(
                failed / max(8, tries),
                mean_latency_us / rules.mean_deadline_us,
                traffic.succeeded.per_second(now),
            )

    def update_admitted_share(self, failed_share: float, slowness: float, completed_per_s: float) -> None:
        """Adapts the share of requests that is admitted to what the server completes.

        A queue would otherwise make every request late. `slowness` is the latency relative to the deadline.
        """
        if self.waiting is not None:  # the time to work off the queue tells more than the mean
            slowness = 2 * SECOND_US * self.waiting / max(0.5, completed_per_s) / self.rules.mean_deadline_us
        assured_share = (
            self.capacity_per_weight * self.weight / max(0.1, self.requests_per_s)
            if self.capacity_per_weight
            else 1.0
        )
        # Failures beside fast answers are not caused by a queue.
        if slowness > 0.6 or (failed_share > 0.15 and slowness > 0.3):
            share = max(
                min(0.2, 0.5 * assured_share),
                self.admitted_share * (max(0.5, 1 - max(failed_share, slowness / 4))),
            )
        else:
            increased = self.admitted_share * (1.8 if slowness < 0.3 else 1.3)
            share = min(1.0, max(1.1 * self.admitted_share, min(assured_share, increased)))
        if (share < 1) != (self.admitted_share < 1):
            queue = f"{self.waiting or 0:.0f} requests queued"
            self.turn.log(
                f"backend {self.number} admits {share:.2f} of {self.requests_per_s:.1f} requests/s, {queue}"
            )
        self.admitted_share = share

    def next_evaluation(self) -> int:
        """When its state can change without an event."""
        now, rules, at = self.turn.now, self.rules, NEVER
        if not self.requests_per_s:
            at = min(at, self.gone_at + rules.retention_us + 1) if self.state != "removed" else NEVER
        if rules.probes_allowed and (self.needs_probe(self.state) or self.state == "unhealthy"):
            at = min(at, self.next_probe_at)
        if (suspected_at := self.suspected_at()) < NEVER:
            at = min(at, self.next_silence_check(suspected_at))
        if self.state in RUNNING_STATES:
            if not self.warm:
                warms_in_steps = self.requests_per_s or rules.without_slices
                at = min(
                    at,
                    now + rules.evaluation_interval_us if warms_in_steps else self.started_at + rules.cold_us,
                )
            if self.health != "healthy" and self.failed_probes == 0:
                at = min(at, self.health_since + self.exclusion_us + 1)
            if self.traffic and self.traffic.tries.read(now) > 2:
                at = min(at, self.admitted_share_at + rules.feedback_delay_us + 1)
        return min(at, self.next_reading_at)

    def next_silence_check(self, suspected_at: int) -> int:
        """When its silence must be judged next.

        Where that time has passed without a report, the next report about any server causes an evaluation.
        """
        now, last_report_at = self.turn.now, self.turn.last_report_at
        unresponsive_at = max(suspected_at, self.last_success_at + 3 * self.rules.silence_us + 1)
        check_at = suspected_at if last_report_at < suspected_at else unresponsive_at
        if last_report_at < check_at <= now:
            self.turn.awaiting_reports.add(self.number)
            check_at = NEVER
        probe_at = (
            self.next_probe_at if self.rules.probes_allowed and last_report_at >= suspected_at else NEVER
        )
        return min(check_at if check_at > now else NEVER, probe_at)
