"""All decisions of lapispass: which server owns which slice, and when that may change.

A front makes one `Controller` for each instance and calls `turn(now_us, events)` for every batch of news; the
orders it returns take effect together, as one message for each proxy. The events and orders stand in
`lapispass/interface.py`. Nothing here reads a clock or does I/O. `docs/design.md` tells what is kept.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from math import log
from typing import Any, NamedTuple

from lapispass import interface as face

SECOND = 1_000_000
NEVER = 1 << 62
LISTED = ("ready", "unproven", "ill")
PROMPT = face.Listed | face.Given | face.Held | face.Woken  # acted on in the turn that brings them


class Chance:
    """A linear congruential generator; its high bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = seed

    def draw(self) -> float:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        return (self.state >> 33) / (1 << 31)


@dataclass(slots=True)
class Fading:
    """A decaying sum, brought up to date when it is read."""

    half_us: int
    total: float = 0.0
    at: int = 0

    def read(self, now: int) -> float:
        self.total *= 0.5 ** ((now - self.at) / self.half_us)
        self.at = now
        return self.total

    def add(self, now: int, amount: float) -> None:
        self.total = self.read(now) + amount

    def per_second(self, now: int) -> float:
        return self.read(now) * log(2) * SECOND / self.half_us


class Standing(NamedTuple):
    """A backend tells how it stands."""

    backend: int
    state: str
    warmth: float
    weight: float
    zone: str
    fit: float
    pace: float
    speed: float
    busy: float
    born: int
    held: float
    fine: bool  # enough visits did well there of late to tell that it is not failing


class Offer(NamedTuple):
    """The channel offers a turn: so many lines, and how far the proxies' answers have come."""

    lines: int
    ordinary: int  # of these, for what may wait: it must not fill the way of the next withdrawal
    mark: int  # the turn's own
    cleared: int  # no proxy can write by a table older than this mark
    settle_us: int
    unmarked: bool  # some proxy has joined since the last mark


class Missed(NamedTuple):
    """A proxy that has joined may not have taken what was said after this mark (-1: any of this life)."""

    first: bool  # it has no earlier stream, and holds nothing
    mark: int


class Mail:
    """The inboxes of all parts, emptied by one loop, and the orders of the turn."""

    def __init__(self, seed: int, now: int) -> None:
        self.now = self.heard_at = now
        self.waiting: deque[Part] = deque()
        self.orders: list[face.Order] = []
        self.chance = Chance(seed)

    def post(self, part: Part, note: Any) -> None:
        part.inbox.append(note)
        self.waiting.append(part)

    def run(self) -> None:
        while self.waiting:
            part = self.waiting.popleft()
            part.take(part.inbox.popleft())  # type: ignore[attr-defined]


class Part:
    """Something with an inbox; each kind has its own way to take a note."""

    def __init__(self, mail: Mail) -> None:
        self.mail = mail
        self.inbox: deque[Any] = deque()


class Backend(Part):
    """One server: what the list says of it, and its health as late sums and probes show it."""

    def __init__(self, mail: Mail, number: int, rules: Rules, table: Part) -> None:
        super().__init__(mail)
        self.number, self.rules, self.table = number, rules, table
        self.listed, self.zone, self.weight, self.born, self.gone_at = "gone", "", 1.0, 0, NEVER
        self.alive = not rules.may_probe  # as probes have it
        self.mode, self.since, self.away_us = "well", mail.now, 8 * SECOND
        self.tries, self.done, self.spent = (Fading(2 * SECOND) for _ in range(3))
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
                    self.tries, self.done, self.spent = (Fading(2 * SECOND, at=self.mail.now) for _ in range(3))
                if state != "gone" or self.listed != "draining":  # one that drained stays shut out
                    self.listed = state
                self.gone_at = min(self.gone_at, self.mail.now) if state == "gone" else NEVER
                self.zone, self.weight, self.born = zone, weight or 1.0, born or self.born
            case face.Met(_, _, lost, tries, took_us, _, load):
                self.mail.heard_at = self.mail.now
                if load:
                    self.learn(dict(zip(self.rules.load_fields, load)))
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
                self.mail.post(self.table, Standing(
                    self.number, self.state(), self.warmth(), self.weight, self.zone, self.fit,
                    self.done.per_second(self.mail.now), self.speed, self.busy, self.born, self.held,
                    done > max(2, 0.5 * tries)))

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


@dataclass(slots=True)
class Slice:
    """A slice in this controller's charge and how far its handover is."""

    number: int
    kept_until: int
    since: int
    owner: int | None = None
    step: str = "emptied"  # emptied, closing, steady
    mark: int = NEVER  # of the step's message
    gate_at: int | None = None  # when every proxy had taken the step that ended an earlier owner's writes
    shut: bool = False  # its writes are not let in
    demand: dict[str, Fading] = field(default_factory=dict)
    rates: dict[str, float] = field(default_factory=dict)  # visits a second by class, as last read
    rate: float = 0.2
    levels: dict[int, float] = field(default_factory=dict)


class Ledger(Part):
    """The slices and their handovers: empty step, gate, settle wait, new owner, closing."""

    def __init__(self, mail: Mail, rules: Rules) -> None:
        super().__init__(mail)
        self.rules, self.repeat_at, self.level_at = rules, 0, 0
        self.backends: dict[int, Backend] = {}
        self.slices: dict[int, Slice] = {}
        self.standings: dict[int, Standing] = {}
        self.offer = Offer(0, 0, 0, -1, SECOND, False)
        self.out: dict[int, int] = {}  # servers shut out, since when ...
        self.again: set[int] = set()  # ... and those of which joiners may have heard otherwise
        self.repeats: set[int] = set()  # of these, those that are about to be let in again
        self.said: dict[int, int] = {}  # whether it is out was last said under this mark
        self.relieved: dict[int | None, int] = {}
        self.channel: Part

    def take(self, note: Any) -> None:
        now = self.mail.now
        match note:
            case Standing(backend, "past") if backend not in self.out:  # proxies let it in again first
                for known in (self.backends, self.standings, self.relieved):
                    known.pop(backend, None)
                self.said.pop(backend, None)
                for noted in (self.again, self.repeats):
                    noted.discard(backend)
            case Standing(backend):
                self.standings[backend] = note
            case face.Given(number, ours):
                self.slices.pop(number, None)
                if ours:
                    # The store's table is kept, and nothing starts here for one lease.
                    self.slices[number] = Slice(number, now + self.rules.lease_us, now)
            case face.Held(number, backend) if number in self.slices:
                self.slices[number].owner, self.slices[number].step = backend, "steady"
            case face.Came(number, visit_class, visits, _, over_us):
                if number in self.slices and over_us:
                    demand = self.slices[number].demand
                    demand.setdefault(visit_class, Fading(self.rules.demand_us)).add(now, visits)
            case Missed(first, mark):
                # A joiner may have missed what was said last, and holds what an earlier stream shut out: one that
                # has answered nothing yet may hold what an earlier life of this controller shut out.
                if first:
                    self.again |= self.out.keys()
                elif mark < 0:
                    self.again |= self.backends.keys()
                else:
                    self.again |= {number for number, said in self.said.items() if said > mark}
            case Offer():
                self.offer = note
                self.compose()

    def compose(self) -> None:
        """One turn: servers to shut out, steps that are due, slices to open, shares to let in."""
        # Guards the queue: each line waits once for every proxy; what does not fit is left for a later turn.
        self.survey()
        now, orders = self.mail.now, list(self.withdrawals())
        moving = [slice_ for slice_ in self.slices.values() if slice_.step != "steady" or slice_.shut]
        given = [slice_ for slice_ in moving if slice_.mark == NEVER]
        room = self.offer.lines - len(orders)
        spare = self.offer.ordinary - len(orders)
        for slice_ in moving:
            slice_.mark = min(slice_.mark, self.offer.mark)  # none yet: given with an empty table
            if room > 0 and (step := self.advance(slice_)):
                orders += step  # a cold owner's levels go with it, so their room is kept
                room -= len(step) + (self.open[slice_.owner].warmth < 1) * len(self.rules.classes)
        opening = self.to_open()
        kept = min(len(opening), max(0, room) // 2)  # for what opens, or a slice may stay bare
        # Guards the channel and its price: sums come one after the other, and a turn for each would be mostly heads.
        due = orders or opening or now >= self.level_at
        levels = self.levels(self.offer.lines - len(orders) - kept, due and min(spare, room - len(opening)))
        if levels:
            orders, self.level_at = orders + levels, now + self.rules.pause_us
        for slice_ in opening[:max(0, self.offer.lines - len(orders))]:
            orders.append(face.Empty(slice_.number))
            if not slice_.shut:  # where writes were never let in, an earlier owner's are still the last
                slice_.gate_at = None
            slice_.step, slice_.owner, slice_.since, slice_.mark = "emptied", None, now, self.offer.mark
        joiners = self.offer.unmarked and self.offer.ordinary and any(s.step != "steady" for s in moving)
        if orders or given or joiners:
            self.mail.post(self.channel, orders)

    def survey(self) -> None:
        """Which servers are open to slices, what they carry and what they are able to."""
        ready = [standing for standing in self.standings.values() if standing.state in LISTED]
        # Guards against blaming servers for what strikes all, or most of a zone; the rest could not carry it. Only
        # those count of which enough is heard: each controller hears of few visits at most servers of a large fleet.
        ill = [s.zone for s in ready if s.state == "ill"]
        zones = ill + [s.zone for s in ready if s.state == "ready" and s.fine]
        near = {z for z in ill if 3 * len(ill) > len(zones) or ill.count(z) > max(1, zones.count(z) // 2)}
        self.open = {s.backend: s for s in ready if s.state != "ill" or s.zone in near}
        self.targets = [n for n, s in self.open.items() if s.state == "ready"] or list(self.open)
        # With other controllers a server's speed is known in part only: own visits against all that keep it
        # busy. Then the fleet's speed counts, and what a server does for others comes on top of its load.
        part = max(1, len(self.slices)) / self.rules.slices
        speeds = [standing.speed for standing in ready if standing.speed] or [part]
        usual = sum(speeds) / len(speeds) / part
        self.able = {s.backend: s.weight * s.warmth * ((part == 1 and s.speed) or usual) for s in ready}
        # Held connections are such work too; where busy shares tell of all that is not ours, they are part of it.
        self.others = {s.backend: max(s.held, (part < 1) * (s.busy * self.able[s.backend] - s.pace))
                       for s in ready}
        self.loads = dict.fromkeys(self.standings, 0.0)
        self.owned: dict[int, list[Slice]] = {number: [] for number in self.standings}
        for slice_ in self.slices.values():
            slice_.rates = {name: demand.per_second(self.mail.now) for name, demand in slice_.demand.items()}
            slice_.rate = 0.2 + sum(slice_.rates.values())  # a little above nothing for the unheard of
            if slice_.owner in self.loads:
                self.loads[slice_.owner] += slice_.rate
                self.owned[slice_.owner].append(slice_)
        for number, load in self.loads.items():
            self.mail.post(self.backends[number], load)

    def levels(self, room: int, spare: int) -> list[face.Order]:
        """Lets in what each owner can complete, the classes of most benefit first; no writes where shut."""
        warm = [s for s in self.standings.values() if s.state in LISTED and s.warmth >= 1]
        usual = sum(s.pace for s in warm) / max(0.1, sum(s.weight for s in warm))
        due: list[tuple[float, Slice, int, float]] = []
        for standing in self.standings.values():
            slices = [s for s in self.owned[standing.backend] if s.owner == standing.backend]
            sums = {name: sum(s.rates.get(name, 0.0) for s in slices) for _, _, name in self.rules.classes}
            coming = sum(sums.values())
            fit, cold = (standing.fit, standing.warmth < 1) if self.rules.shares else (1.0, False)
            if cold:  # Guards a cold server: a sure part of what warm ones complete, before slices open.
                # What it can do is known late; what it has completed since its start it can do for sure, as it warms.
                sure = self.rules.cold_part * standing.warmth * standing.weight * usual
                if self.mail.now - standing.born > self.rules.echo_us and standing.fit >= 1:
                    sure = min(2 * sure, max(sure, 1.5 * standing.pace))
                fit = min(fit, max(0.0, sure - standing.held) / max(0.1, coming))
            left = fit * coming
            for _, place, name in self.rules.classes:
                share = 1.0 if fit >= 1 or sums[name] <= left else round(max(0.05, left / sums[name]), 2)
                left = max(0.0, left - sums[name])
                for slice_ in slices:
                    old = slice_.levels.get(place, 1.0)
                    want = 0.0 if slice_.shut and place in self.rules.writes else share
                    urgent = (want == 0) != (old == 0) or (cold and want < old - 0.1)
                    if urgent or (self.offer.ordinary and (
                            want != old and (abs(want - old) > 0.15 * old or want == 1))):
                        gain = abs(want - old) * (NEVER if urgent else slice_.rates.get(name, 0.0))
                        due.append((gain, slice_, place, want))
        due.sort(key=lambda item: -item[0])
        orders: list[face.Order] = []
        for gain, slice_, place, want in due:
            if len(orders) < (room if gain > SECOND else spare):
                slice_.levels[place] = want
                retry = self.rules.retries[place]
                orders.append(face.Admit(slice_.number, 1 << place, retry, want * self.rules.all))
        return orders

    def withdrawals(self) -> Iterable[face.Order]:
        """Guards the drain grace where a slice may not open yet; joiners are told again who is out or in."""
        held, now = {slice_.owner for slice_ in self.slices.values()}, self.mail.now
        # Guards the channel: who is in was said again of all servers at once, every 2 s while proxies joined, and
        # the next withdrawals waited behind that. It takes its time now, a part of what rule 1 allows.
        if now >= self.repeat_at and not self.repeats and (again := self.again & held - self.out.keys()):
            self.repeats, self.repeat_at = again, now + self.rules.bare_us // 8
            self.again -= again
        room, left = self.offer.ordinary // 2, self.offer.lines
        for number, standing in self.standings.items():
            out = standing.state == "out"
            if left <= 0:  # Guards the queue where most of a fleet drains at once; the rest comes first next time.
                break
            if out and number in held and (number in self.again or number not in self.out):
                self.out.setdefault(number, now)
            elif not out and number in self.out:
                del self.out[number]
            elif not out and number in self.repeats and room > 0:
                room -= 1
            else:
                continue
            left -= 1
            self.again.discard(number)
            self.repeats.discard(number)
            self.said[number] = self.offer.mark
            yield face.Withdraw(number, out)
        self.repeats -= self.out.keys()

    def to_open(self) -> list[Slice]:
        """Which slices leave their owner now: all of those that drain, died or fell ill come first."""
        movable = sorted((s for s in self.slices.values() if s.step == "steady" and
                          self.mail.now >= s.kept_until), key=lambda s: s.rate)
        # Guards a small slice of an owner long shut out: larger ones of later owners do not pass it by.
        urgent = sorted((s for s in movable if s.owner not in self.open),
                        key=lambda s: (self.out.get(s.owner, self.mail.now), -s.rate))
        if urgent or not self.open or not self.offer.ordinary:
            return urgent if self.open else []
        others = self.to_relieve(movable)
        del others[max(1, len(others) // 2):]
        self.relieved.update((slice_.owner, self.mail.now) for slice_ in others)
        return others

    def advance(self, slice_: Slice) -> list[face.Order]:
        """The next step of a handover, when it is due."""
        now, rules = self.mail.now, self.rules
        answered = self.offer.cleared >= slice_.mark
        if answered and slice_.gate_at is None:
            slice_.gate_at = now
        clean = slice_.gate_at is not None and now >= slice_.gate_at + rules.linger_us
        if slice_.step != "emptied":
            if answered:
                slice_.step, slice_.shut = "steady", slice_.shut and not clean
            return []
        # The exception for rule 2: the owner waits until no earlier one can hold a write, which may last
        # longer than the settle time. Writes shut meanwhile would not do: the store resets levels.
        settled = answered and slice_.gate_at is not None and now >= slice_.gate_at + self.offer.settle_us
        # The exception for rule 1: when half the time a slice may be bare is gone, the new owner
        # is published with writes shut; that needs no gate, for only reads can go there.
        may = (settled and clean) or (rules.shuts and now > slice_.since + rules.bare_us // 2)
        if now < slice_.kept_until or not may or (owner := self.choose(slice_)) is None:
            return []
        slice_.owner, slice_.step, slice_.mark = owner, "closing", self.offer.mark
        self.loads[owner] += slice_.rate
        self.owned[owner].append(slice_)
        slice_.shut = not clean
        slice_.levels = {} if clean else dict.fromkeys(rules.writes, 0.0)
        return [face.Own(slice_.number, owner, 1.0), *(
            face.Admit(slice_.number, 1 << place, rules.retries[place], 0.0) for place in slice_.levels)]

    def choose(self, slice_: Slice) -> int | None:
        """The server with least load per listed weight, a cold one counted by what it surely can do."""
        return min(self.targets, key=lambda number: self.load_with(number, slice_), default=None)

    def load_with(self, number: int, slice_: Slice) -> float:
        """A backend's load per weight with this slice."""
        # Guards a server just started: until sums can tell what comes there, it counts by the part that it is let in.
        fresh = self.mail.now < self.open[number].born + self.rules.echo_us
        part = self.rules.cold_part if fresh and self.open[number].warmth < 1 else 1.0
        return (self.loads[number] + self.others[number] + slice_.rate) / (part * self.able[number])

    def to_relieve(self, movable: list[Slice]) -> list[Slice]:
        """Slices whose owner lets in less than comes or is nearly all busy, where another has room."""
        chosen = []
        for number, standing in self.open.items():
            full = self.able[number] if standing.speed else NEVER
            load = self.loads[number] + self.others[number]
            excess = max(self.loads[number] * (1 - standing.fit), load - 0.9 * full)
            due = excess > 0 and self.mail.now >= self.relieved.get(number, 0) + self.rules.echo_us
            mine = [s for s in movable if s.owner == number] if due else []
            if len(mine) < 2:
                continue
            slice_ = next((s for s in mine if s.rate >= 0.7 * excess), mine[-1])
            target = self.choose(slice_)
            level = min(load, full) / self.able[number]
            if target is not None and target != number and (
                    self.open[target].fit >= 1 and self.load_with(target, slice_) < 0.75 * level):
                chosen.append(slice_)
        return chosen


@dataclass(slots=True)
class Proxy:
    joined: bool = False
    answered: int = -1
    gone_at: int = 0
    since: float = 0.0  # lines written to each proxy until it joined
    took: int = -1  # the last mark answered on earlier streams of this life


class Channel(Part):
    """The way to the proxies: its waiting lines, its marks, and what each proxy has answered."""

    def __init__(self, mail: Mail, rules: Rules, proxies: int, table: Part) -> None:
        super().__init__(mail)
        self.rules, self.table = rules, table
        # After a start nobody has joined: each may still act on an older table for one lease.
        self.proxies = {number: Proxy(gone_at=mail.now) for number in range(proxies)}
        self.waiting, self.at, self.mark, self.joined, self.unmarked = 0.0, mail.now, 0, 0, False
        self.slowest = Fading(8 * SECOND, float(SECOND), mail.now)
        self.written: deque[int] = deque()
        self.lines, self.left = 0.0, 0.0  # written to each proxy in all; of these, sure to have left the channel
        self.turns: deque[tuple[int, float]] = deque(maxlen=4096)  # marks not answered yet, and the lines before them

    def take(self, note: Any) -> None:
        now, rules = self.mail.now, self.rules
        match note:
            case face.Joined(number, first, _, _):
                old = self.proxies.get(number, Proxy())
                took = -1 if first else max(old.answered, old.took)
                self.proxies[number], self.unmarked = Proxy(True, since=self.lines, took=took), True
                self.mail.post(self.table, Missed(first, took))
            case face.Left(number):
                proxy = self.proxies.setdefault(number, Proxy())
                proxy.joined, proxy.gone_at = False, now
            case face.Answered(number, mark, took_us):
                if (proxy := self.proxies.get(number)) and proxy.joined:
                    proxy.answered = max(proxy.answered, self.mark - (self.mark - mark) % (1 << 16))
                    while self.turns and self.turns[0][0] <= proxy.answered:
                        self.left = self.turns.popleft()[1]
                    self.slowest.add(now, max(0.0, took_us - self.slowest.read(now)))
            case face.Woken():
                self.joined = sum(proxy.joined for proxy in self.proxies.values())
                self.waiting, self.at = max(0.0, self.waiting - (now - self.at) * rules.lines_per_us), now
                while self.written and self.written[0] <= now - rules.messages_over_us:
                    self.written.popleft()
                left = rules.messages_most - 1 - len(self.written)
                # Guards large fleets: in a stream of small messages the heads alone would fill the channel.
                gap, last = max(rules.gap_us, self.joined * rules.heads_us), (self.written or (-NEVER,))[-1]
                # Guards the next withdrawal where messages are limited: the last half of them is spread over what
                # is left of their span, or a busy stretch would be followed by seconds without any.
                if 2 * left < rules.messages_most and self.written:
                    gap = max(gap, (self.written[0] + rules.messages_over_us - now) // max(1, left))
                # Guards a channel that stands still or runs far slower, which only the proxies' answers tell: messages
                # leave one after the other, so whatever was written before one that has been answered is gone.
                unsure = sum(self.lines - max(self.left, p.since) for p in self.proxies.values() if p.joined)
                room = min(rules.queue_lines / 2 - self.waiting, 0.8 * rules.queue_lines - unsure)
                lines = int(room / max(1, self.joined) - rules.head_lines - 2)
                if min(left, lines, self.joined) > 0 and now >= last + gap:
                    # No proxy can write by what is older than its last answer, nor a lease after its stream.
                    cleared = min(proxy.answered if proxy.joined or proxy.gone_at > now - rules.lease_us
                                  else NEVER for proxy in self.proxies.values())
                    settle_us = min(int(self.slowest.read(now)), rules.lease_us * 9 // 10)
                    may = left > rules.messages_most // 3
                    idle = (lines + 1) // 2 if self.waiting < rules.queue_lines / 8 else 0  # where the queue is tight
                    ordinary = may * max(idle, lines - int(rules.queue_lines / 4 / self.joined))
                    self.mail.post(self.table, Offer(lines, ordinary, self.mark + 1, cleared, settle_us, self.unmarked))
            case list() as orders:  # the table's for this turn
                self.mark, self.unmarked = self.mark + 1, False
                self.written.append(now)
                self.turns.append((self.mark, self.lines))
                self.lines += len(orders) + 1 + rules.head_lines
                self.waiting += self.joined * (len(orders) + 1 + rules.head_lines)
                first = self.rules.first if self.mark == 1 else []
                self.mail.orders += [*first, *orders, face.Mark(self.mark % (1 << 16), True)]


class Spread(Part):
    """Where there are no slices: every server in one table a zone and one for all, by listed weight."""

    channel: Part

    def __init__(self, mail: Mail, rules: Rules) -> None:
        super().__init__(mail)
        self.rules = rules
        self.standings: dict[int, Standing] = {}
        self.lines: dict[tuple[int, int], float] = {}
        self.joiners: dict[int, str] = {}

    def take(self, note: Any) -> None:
        match note:
            case Standing(backend):
                self.standings[backend] = note
            case face.Joined(proxy, _, zone, _):
                self.joiners[proxy] = zone
            case face.Left(proxy):
                self.joiners.pop(proxy, None)
            case Offer(lines):
                orders = list(self.changes())[:lines]
                self.lines.update({(order.table, order.backend): order.weight for order in orders})
                for proxy, zone in self.joiners.items():
                    near = self.rules.zone_tables.get(zone, 0)
                    binds = ((0, self.rules.any_zone), (near, self.rules.own_zone))
                    orders += [face.Bind(proxy, table, classes) for table, classes in binds if classes]
                self.joiners.clear()
                if orders:
                    self.mail.post(self.channel, orders)

    def changes(self) -> Iterable[face.Own]:
        """Lines that differ from what stands: a server is in while ready and well, a cold one in part."""
        on = [s for s in self.standings.values() if s.state in LISTED]
        well = {s.zone for s in on if s.state != "ill" and s.warmth >= 1}
        for number, standing in self.standings.items():
            fit = standing in on and not (standing.state == "ill" and standing.zone in well)
            weight = standing.weight * (0.25 * int(4 * standing.warmth) or 0.1) if fit else 0.0
            for table in sorted({0, self.rules.zone_tables.get(standing.zone, 0)}):
                if self.lines.get((table, number), 0.0) != weight:
                    yield face.Own(table, number, weight)


class Rules:
    """The few figures that decisions use, derived from the deployment at the start."""

    def __init__(self, told: face.Deployment) -> None:
        places = list(enumerate(told.classes))
        self.lease_us, self.linger_us, self.bare_us = told.lease_us, told.linger_us, told.bare_us
        self.keep_us = told.lease_us + told.linger_us + told.bare_us
        self.cold_us, self.cold_share = max(1, told.cold_us), told.cold_share
        self.cold_part = told.fall_multiple / 5  # its caches are cold too, and estimates are late
        self.writes = [place for place, kind in places if kind.writes]
        self.own_zone = sum(1 << place for place, kind in places if kind.own_zone)
        self.any_zone = sum(1 << place for place, kind in places if not kind.own_zone)
        self.zone_tables = {zone: 1 + place for place, zone in enumerate(told.zones) if self.own_zone}
        self.slices, self.load_fields = max(1, told.slices), told.load_fields
        # Guards what must not run twice, or only within its group and window: a class that may not simply be
        # repeated is tried again on proof alone that it never ran, and that is said before all else.
        self.retries = [min(told.usual_retry, 3 if kind.repeats else 1) for kind in told.classes]
        careful = sum(1 << place for place, retry in enumerate(self.retries) if retry < told.usual_retry)
        self.classes = sorted(((kind.benefit, place, kind.name) for place, kind in places), reverse=True)
        self.shares, self.shuts = told.admits == "share", told.admits != "none"  # a rate is only shut or open
        self.all = 1.0 if self.shares else 1e6
        self.first = [face.Admit(None, careful, 1, self.all)] if careful else []
        self.agreed_us = sum(kind.agreed_us for kind in told.classes) / max(1, len(told.classes))
        self.echo_us, self.quiet_us = told.report_every_us + SECOND, 2 * told.report_every_us + SECOND
        # A move bares a slice for the longest write and about 2 s: worth it where more is lost in 10 s.
        self.failing = min(0.9, max(0.4, (told.linger_us + 2 * SECOND) / (10 * SECOND)))
        self.pause_us = told.report_every_us // 2
        self.may_probe, self.gone_binds = told.may_probe, told.gone_binds or not told.may_probe
        self.demand_us = 4 * max(told.report_every_us, SECOND)
        self.lines_per_us, self.queue_lines = told.lines_per_s / SECOND, told.queue_lines
        self.heads_us = int(4 * SECOND * told.head_lines / max(1.0, told.lines_per_s))
        self.messages_over_us = told.messages_over_us or 10 * SECOND
        self.messages_most, self.head_lines = told.messages_most or 100, told.head_lines + len(self.first)
        self.gap_us = self.messages_over_us // self.messages_most // 2


class Controller:
    """One instance: routes events to the parts, empties their inboxes, hands back the orders."""

    def __init__(self, told: face.Deployment, seed: int, now: int) -> None:
        self.mail, self.rules = Mail(seed, now), Rules(told)
        self.backends: dict[int, Backend] = {}
        self.table = Ledger(self.mail, self.rules) if told.slices else Spread(self.mail, self.rules)
        self.table.backends = self.backends
        self.channel = self.table.channel = Channel(self.mail, self.rules, told.proxies, self.table)
        self.ask_at, self.woken_at, self.patience_us = now if told.asks_for_list else NEVER, -1, SECOND

    def turn(self, now: int, events: Sequence[face.Event]) -> list[face.Order]:
        mail, self.mail.now, self.mail.orders = self.mail, now, []
        for event in events:
            self.route(event)
        if now >= self.ask_at:
            mail.orders.append(face.Follow())
            self.ask_at = NEVER
        mail.run()
        # Guards the process of a large fleet: late sums and answers come in every turn, and a look at all
        # servers and slices for each would leave no time to read what is urgent. They wait for the next wake-up.
        if now >= self.woken_at or any(isinstance(event, PROMPT) for event in events):
            for part in (*self.backends.values(), self.channel):
                mail.post(part, face.Woken(0))
            mail.run()
        if now >= self.woken_at:
            self.woken_at = now + SECOND // 20
            mail.orders.append(face.Wake(0, self.woken_at))
        return mail.orders

    def standings(self) -> list[Standing]:
        """How each server stood at the last turn, for fronts that hold connections there."""
        return list(self.table.standings.values())

    def at_rest(self, number: int) -> bool:
        """Whether no handover of a slice is under way; one that was emptied and has no owner is under way."""
        slice_ = getattr(self.table, "slices", {}).get(number)
        return slice_ is None or (slice_.step == "steady" and not slice_.shut)

    def route(self, event: face.Event) -> None:
        if isinstance(event, face.Held) and event.backend not in self.backends:  # up until a probe fails
            self.route(face.Listed("changes", (face.Entry(event.backend, "", "gone", None, None),)))
            self.mail.post(self.backends[event.backend], face.Probed(event.backend, 0, 0, None))
        match event:
            case face.Listed(kind, entries):
                # Guards the registry, which serves all controllers in turn: after a cut or a release all ask at once,
                # so waits grow while calls fail, each by its own chance. What it has to tell counts as told after
                # 6 s in any case, so several calls must fit into that.
                if kind == "lost" and self.ask_at == NEVER:
                    self.ask_at = self.mail.now + int(self.patience_us * (0.5 + self.mail.chance.draw()))
                    self.patience_us = min(self.patience_us * 5 // 4, 3 * SECOND // 2)
                elif kind not in ("lost", "remembered"):
                    self.patience_us = SECOND
                if kind in ("whole", "remembered"):  # what is left out is gone
                    named = {entry.backend for entry in entries}
                    entries += tuple(face.Entry(number, backend.zone, "gone", backend.weight, None)
                                     for number, backend in self.backends.items() if number not in named)
                for entry in entries:
                    if (number := entry.backend) not in self.backends:
                        self.backends[number] = Backend(self.mail, number, self.rules, self.table)
                        if kind == "remembered":  # Guards servers: all controllers that start at once probe them all
                            self.backends[number].probe_at += int(self.mail.chance.draw() * self.rules.lease_us)
                    self.mail.post(self.backends[number], entry)
            case face.Met(backend) | face.Probed(backend) | face.Holding(backend) if backend in self.backends:
                self.mail.post(self.backends[backend], event)
            case face.Joined() | face.Left() | face.Answered() | face.Given() | face.Held() | face.Came():
                self.mail.post(self.channel, event)
                self.mail.post(self.table, event)
