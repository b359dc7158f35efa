"""One server's health, as the list, late sums and probes show it."""

from __future__ import annotations

from typing import Any

from lapispass import interface as face
from lapispass.core.decay import DecayingSum
from lapispass.core.inbox import Mail, Part
from lapispass.core.messages import Standing
from lapispass.core.units import NEVER, SECOND
from lapispass.policy.rules import Rules

LISTED = ("ready", "unproven", "ill")


class Backend(Part):
    """One server: what the list says of it, and its health as late sums and probes show it."""

    def __init__(self, mail: Mail, number: int, rules: Rules, table: Part) -> None:
        super().__init__(mail)
        self.number, self.rules, self.table = number, rules, table
        self.listed, self.zone, self.weight, self.born, self.gone_at = "gone", "", 1.0, 0, NEVER
        self.alive = not rules.may_probe  # as probes have it
        self.mode, self.since, self.away_us = "well", mail.now, 8 * SECOND
        self.tries, self.done, self.spent = (DecayingSum(2 * SECOND) for _ in range(3))
        self.fit, self.fit_at, self.probe_at, self.misses = 1.0, 0, mail.now, 0
        self.waiting: float | None = None
        self.speed, self.rate, self.busy, self.good_at = 0.0, 0.0, 0.0, mail.now
        self.held = 0.0  # what held connections cost it, in visits a second

    def take(self, note: Any) -> None:
        match note:
            case face.Entry(_, zone, state, weight, born):
                if born and born != self.born and self.born:
                    self.turn_to("well", "started anew")
                    self.fit, self.waiting = 1.0, None
                    now = self.mail.now
                    self.tries, self.done, self.spent = (DecayingSum(2 * SECOND, at=now) for _ in range(3))
                if state != "gone" or self.listed != "draining":  # one that drained stays shut out
                    self.listed = state
                self.gone_at = min(self.gone_at, self.mail.now) if state == "gone" else NEVER
                self.zone, self.weight, self.born = zone, weight or 1.0, born or self.born
            case face.Met(_, _, lost, tries, took_us, _, load):
                self.mail.heard_at = self.mail.now
                if load:
                    self.learn(dict(zip(self.rules.load_fields, load, strict=False)))
                self.spent.add(self.mail.now, (tries - lost) * took_us)
                self.tries.add(self.mail.now, tries)
                self.done.add(self.mail.now, tries - lost)
                if tries > lost:
                    self.good_at = self.mail.now
            case face.Holding(_, load):
                self.held = load
            case face.Probed(_, reason, _, _):
                self.misses = 0 if reason in (0, 2) else self.misses + 1
                dead = self.listed == "gone" and (reason == 4 or self.misses > 1)
                self.alive = not self.misses or (self.alive and not dead)
            case float() as rate:  # of the visits that its slices bring
                self.gone_at = max(self.gone_at, self.mail.now) if rate else self.gone_at
                self.good_at, self.rate = self.good_at if self.rate else self.mail.now, rate
            case face.Woken():
                self.judge()
                done, tries = self.done.read(self.mail.now), self.tries.read(self.mail.now)
                how = (self.state(), self.warmth(), self.weight, self.zone, self.fit)
                work = (self.done.per_second(self.mail.now), self.speed, self.busy, self.born, self.held)
                fine = done > max(2, 0.5 * tries)
                self.mail.post(self.table, Standing(self.number, *how, *work, fine))

    def state(self) -> str:
        """What the list says, weighed against probes and health."""
        if not self.rate and self.mail.now > self.gone_at + self.rules.keep_us:
            return "past"  # Guards memory: gone, and without a slice, for longer than any rule looks back.
        # Guards against a wrong list: one that never drained and answers probes stays where that is allowed,
        # one that has answered none is 'unproven'. Harm: one back cold before the list tells passes for warm.
        if self.listed == "draining" or (self.listed == "gone" and self.rules.gone_binds):
            return "out"
        if not self.alive:
            return "gone" if self.listed == "gone" else "unproven"
        return "ready" if self.mode == "well" else "ill"

    def learn(self, load: dict[str, float | None]) -> None:
        """What waits, and how many visits a second its whole work would be, where reports tell."""
        busy, waiting = load.get("busy"), load.get("waiting")
        if waiting is not None:
            self.waiting = waiting if self.waiting is None else 0.5 * (self.waiting + waiting)
        busy = 1.0 if busy is None and (waiting or 0) > 1 else busy  # what waits shows that it is all busy
        self.busy = 0.5 * (self.busy + (busy or 0.0))
        if busy and busy > 0.1 and self.tries.read(self.mail.now) > 2 and self.warmth() >= 1:
            speed = (self.tries.per_second(self.mail.now) + self.held) / busy / self.weight
            self.speed += (0.5 if speed > self.speed else 0.1) * (speed - self.speed)

    def warmth(self) -> float:
        """The least share of its work a backend can do: it rises no slower than evenly."""
        age = max(0, self.mail.now - self.born) / self.rules.cold_us if self.born else 1.0
        return min(1.0, self.rules.cold_share + (1 - self.rules.cold_share) * age)

    def log(self, text: str) -> None:
        self.mail.orders.append(face.Log(f"backend {self.number} {text}"))

    def turn_to(self, mode: str, why: str) -> None:
        if mode != self.mode:
            self.log(f"{self.mode}->{mode}: {why}")
            self.mode, self.since, self.misses = mode, self.mail.now, 0
            self.good_at = self.mail.now

    def judge(self) -> None:
        """Probes where there is doubt; tells silence, quick errors and a queue apart."""
        now, rules, state = self.mail.now, self.rules, self.state()
        doubt = state == "unproven" or (self.listed == "gone" and state not in ("out", "gone", "past"))
        # Silence counts only while sums about others come: late sums of all are nobody's fault.
        quiet = self.mail.heard_at - self.good_at
        suspect = self.mode == "well" and quiet > rules.quiet_us and quiet * self.rate > 6 * SECOND
        # Guards against one left out for ever, too: while it is ill, a lost probe is not its last.
        if rules.may_probe and (doubt or suspect or state == "ill") and now >= self.probe_at:
            self.probe_at = now + SECOND
            self.mail.orders.append(face.Probe(self.number))
        if state not in LISTED:
            return
        tries, done, spent = self.tries.read(now), self.done.read(now), self.spent.read(now)
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
            # Guards against a queue that makes every visit late: let in what it completes.
            short, slow = lost / max(8, tries), mean / rules.agreed_us
            if self.waiting is not None:  # the time to work off what waits tells more than the mean
                slow = 2 * SECOND * self.waiting / max(0.5, self.done.per_second(now)) / rules.agreed_us
            sure = self.speed * self.weight / max(0.1, self.rate) if self.speed else 1.0
            if slow > 0.6 or (short > 0.15 and slow > 0.3):  # losses beside quick answers are no queue
                fit = max(min(0.2, 0.5 * sure), self.fit * (max(0.5, 1 - max(short, slow / 4))))
            else:
                fit = min(1.0, max(1.1 * self.fit, min(sure, self.fit * (1.8 if slow < 0.3 else 1.3))))
            if (fit < 1) != (self.fit < 1):
                self.log(f"lets in {fit:.2f} of {self.rate:.1f}/s, {self.waiting or 0:.0f} waiting")
            self.fit = fit
