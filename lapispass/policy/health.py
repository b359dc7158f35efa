"""One server's health, as the list, late reports and probes show it, and when it must be looked at again."""

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
NEGLIGIBLE = 0.01  # tries left of a decaying sum


class Backend(ServerState):
    """One server. What concerns it is told by its methods; `evaluate` judges it."""

    __slots__ = ("rules",)

    def __init__(self, turn: Turn, number: interface.BackendId, place: int, rules: Rules) -> None:
        super().__init__(turn, number, place)
        self.rules, self.alive, self.away_us = rules, not rules.may_probe, 8 * SECOND_US

    def spread_first_probe(self) -> None:
        """Guards servers: all controllers that start at once probe them all."""
        self.probe_at += int(self.turn.random.draw() * self.rules.lease_us)

    def list_entry(self, entry: interface.RegistryEntry, live: bool = False) -> None:
        """What the list says of it; `live` where the list is followed without a gap."""
        self.entry, now, reported = entry, self.turn.now, entry.started_us
        started_anew = bool(reported) and reported != self.born_reported
        if started_anew and self.born_reported:
            self.turn_to("well", "started anew")
            self.fit, self.waiting = 1.0, None
            self.traffic, self.reported = None, True
        if entry.state != "gone" or self.listed != "draining":  # one that drained stays shut out
            self.listed = entry.state
        self.gone_at = min(self.gone_at, now) if entry.state == "gone" else NEVER
        self.zone, self.weight = entry.zone, entry.weight or 1.0
        if reported and started_anew:
            self.born_reported = reported
            self.born = local_start(reported, now, live, self.rules.notice_us)

    def met(self, report: interface.ServerReport) -> None:
        """What the proxies of a zone met there."""
        if report.load:
            self.learn(dict(zip(self.rules.load_fields, report.load, strict=False)))
        self.note_traffic(report, HALF_LIFE_US)

    def probed(self, reason: int) -> None:
        """What a probe found: 0 an answer, 2 an answer of one that is busy, 4 a refused connection."""
        self.misses = 0 if reason in (0, 2) else self.misses + 1
        dead = self.listed == "gone" and (reason == 4 or self.misses > 1)
        self.alive = not self.misses or (self.alive and not dead)

    def learn(self, load: dict[str, float | None]) -> None:
        """What waits, and how many visits a second its whole work would be, where reports tell."""
        busy, waiting = load.get("busy"), load.get("waiting")
        if waiting is not None:
            self.waiting = waiting if self.waiting is None else 0.5 * (self.waiting + waiting)
        busy = 1.0 if busy is None and (waiting or 0) > 1 else busy  # what waits shows that it is all busy
        self.busy = 0.5 * (self.busy + (busy or 0.0))
        traffic, now = self.traffic, self.turn.now
        if traffic and busy and busy > 0.1 and traffic.tries.read(now) > 2 and self.warmth() >= 1:
            speed = (traffic.tries.per_second(now) + self.held) / busy / self.weight
            self.speed += (0.5 if speed > self.speed else 0.1) * (speed - self.speed)

    def warmth(self) -> float:
        """The least share of its work a server can do: it rises no slower than evenly."""
        age = max(0, self.turn.now - self.born) / self.rules.cold_us if self.born else 1.0
        return min(1.0, self.rules.cold_share + (1 - self.rules.cold_share) * age)

    def evaluate(self) -> int:
        """Judges it; returns when to look again, if no news come before."""
        if self.reported or self.turn.now >= self.read_at:
            self.read_traffic()
        self.judge()
        self.state, self.warm = self.stands(), self.warmth() >= 1
        return max(self.turn.now + 1, self.next_evaluation())

    def read_traffic(self) -> None:
        """Reads the decaying sums; again half a report's time later, until nothing is left of them."""
        now, traffic = self.turn.now, self.traffic
        tries = traffic.tries.read(now) if traffic else 0.0
        if traffic is None or tries < NEGLIGIBLE:
            self.pace, self.fine, self.read_at = 0.0, False, NEVER
        else:
            self.pace, done = traffic.succeeded.per_second(now), traffic.succeeded.read(now)
            self.fine, self.read_at = done > max(2, 0.5 * tries), now + self.rules.pause_us
        self.reported = False

    def stands(self) -> str:
        """What the list says, weighed against probes and health."""
        if not self.rate and self.turn.now > self.gone_at + self.rules.keep_us:
            return "past"  # Guards memory: gone, and without a slice, for longer than any rule looks back.
        # Guards against a wrong list: one that never drained and answers probes stays where that is allowed,
        # one that has answered none is 'unproven'. Harm: one back cold before the list tells passes for warm.
        if self.listed == "draining" or (self.listed == "gone" and self.rules.gone_binds):
            return "out"
        if not self.alive:
            return "gone" if self.listed == "gone" else "unproven"
        return "ready" if self.mode == "well" else "ill"

    def doubtful(self, state: str) -> bool:
        """Whether a probe has to tell if it is up."""
        return state == "unproven" or (self.listed == "gone" and state not in ("out", "gone", "past"))

    def suspected_at(self) -> int:
        """Without a good answer until then it is suspected of silence, if reports about others come."""
        if self.mode != "well" or not self.rate:
            return NEVER
        return self.good_at + 1 + max(self.rules.quiet_us, int(6 * SECOND_US / self.rate))

    def judge(self) -> None:
        """Probes where there is doubt; tells silence, quick errors and a queue apart."""
        now, rules, state = self.turn.now, self.rules, self.stands()
        # Silence counts only while reports about others come: late reports of all are nobody's fault.
        quiet, suspect = (
            self.turn.last_report_at - self.good_at,
            self.turn.last_report_at >= self.suspected_at(),
        )
        # Guards against one left out for ever, too: while it is ill, a lost probe is not its last.
        in_doubt = self.doubtful(state) or suspect or state == "ill"
        if rules.may_probe and in_doubt and now >= self.probe_at:
            self.probe_at = now + SECOND_US
            self.turn.orders.append(interface.Probe(self.number))
        if state not in RUNNING_STATES:
            return
        traffic = self.traffic or Traffic(HALF_LIFE_US, now)
        tries, done, spent = traffic.tries.read(now), traffic.succeeded.read(now), traffic.time_us.read(now)
        lost, mean = tries - done, spent / max(0.1, done)
        if self.mode != "well":
            # Guards slices that it has kept: where visits that still go there do well, it is well.
            heals = self.mode == "failing" and tries > 4 and lost < 0.5 * rules.failing * tries
            if self.misses == 0 and (heals or now - self.since > self.away_us):
                self.away_us *= 2  # one that fails again stays away for longer
                self.turn_to("well", f"away for {now - self.since} us")
        # Guards against a server that takes visits and answers none, or has gone silent: nothing good
        # came back for a while although visits went there, and probes stay without answer.
        elif suspect and (self.misses >= 2 or quiet > 3 * rules.quiet_us):
            self.turn_to("silent", f"{quiet} us quiet at {self.rate:.1f}/s, {self.misses} probes lost")
        # Guards against quick errors: most tries fail, by more than a handful.
        elif self.rate and tries > 8 and lost > rules.failing * tries and mean < 0.3 * rules.agreed_us:
            self.turn_to("failing", f"{lost:.1f} of {tries:.1f} tries lost, the rest took {mean:.0f} us")
        elif now - self.fit_at > rules.echo_us and tries > 2:
            self.fit_at = now
            self.adapt(lost / max(8, tries), mean / rules.agreed_us, traffic.succeeded.per_second(now))

    def adapt(self, short: float, slow: float, pace: float) -> None:
        """Guards against a queue that makes every visit late: lets in what it completes."""
        if self.waiting is not None:  # the time to work off what waits tells more than the mean
            slow = 2 * SECOND_US * self.waiting / max(0.5, pace) / self.rules.agreed_us
        sure = self.speed * self.weight / max(0.1, self.rate) if self.speed else 1.0
        if slow > 0.6 or (short > 0.15 and slow > 0.3):  # losses beside quick answers are no queue
            fit = max(min(0.2, 0.5 * sure), self.fit * (max(0.5, 1 - max(short, slow / 4))))
        else:
            grown = self.fit * (1.8 if slow < 0.3 else 1.3)
            fit = min(1.0, max(1.1 * self.fit, min(sure, grown)))
        if (fit < 1) != (self.fit < 1):
            waits = f"{self.waiting or 0:.0f} waiting"
            self.turn.log(f"backend {self.number} lets in {fit:.2f} of {self.rate:.1f}/s, {waits}")
        self.fit = fit

    def next_evaluation(self) -> int:
        """When something about it can change without news."""
        now, rules, at = self.turn.now, self.rules, NEVER
        if not self.rate:
            at = min(at, self.gone_at + rules.keep_us + 1) if self.state != "past" else NEVER
        if rules.may_probe and (self.doubtful(self.state) or self.state == "ill"):
            at = min(at, self.probe_at)
        if (suspected_at := self.suspected_at()) < NEVER:
            at = min(at, self.next_silence(suspected_at))
        if self.state in RUNNING_STATES:
            if not self.warm:
                steps = self.rate or rules.spreads
                at = min(at, now + rules.look_us if steps else self.born + rules.cold_us)
            if self.mode != "well" and self.misses == 0:
                at = min(at, self.since + self.away_us + 1)
            if self.traffic and self.traffic.tries.read(now) > 2:
                at = min(at, self.fit_at + rules.echo_us + 1)
        return min(at, self.read_at)

    def next_silence(self, suspected_at: int) -> int:
        """When its silence has to be judged; past that, the next report about any server brings it up."""
        now, heard_at = self.turn.now, self.turn.last_report_at
        silent_at = max(suspected_at, self.good_at + 3 * self.rules.quiet_us + 1)
        step = suspected_at if heard_at < suspected_at else silent_at
        if heard_at < step <= now:
            self.turn.awaiting_reports.add(self.number)
            step = NEVER
        probe_at = self.probe_at if self.rules.may_probe and heard_at >= suspected_at else NEVER
        return min(step if step > now else NEVER, probe_at)
