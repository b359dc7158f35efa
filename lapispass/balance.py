"""All decisions of lapispass: which server owns which slice, and when that may change.

A front makes one `Controller` for each instance and calls `turn(now_us, events)` for every
batch of news; the orders it returns take effect together, as one message for each proxy.
The events and orders stand in `lapispass/interface.py`. Nothing here reads a clock, does I/O
or keeps state outside the instance. `docs/design.md` tells what is kept of the design, and why.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import log
from typing import Any, NamedTuple

from lapispass import interface as face

SECOND = 1_000_000
NEVER = 1 << 62
MARKS = 1 << 16


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
    ill: bool
    warmth: float
    weight: float
    zone: str
    fit: float
    pace: float
    speed: float


class Carries(NamedTuple):
    """The ledger tells a backend what its slices bring."""

    visits_per_s: float
    slices: int


class Offer(NamedTuple):
    """The channel offers a turn: so many lines, and how far the proxies' answers have come."""

    lines: int
    ordinary: bool
    mark: int  # the turn's own
    cleared: int  # no proxy can write by a table older than this mark
    settle_us: int
    unmarked: bool  # some proxy has joined since the last mark


class Write(NamedTuple):
    """Orders for the channel."""

    orders: list[face.Order]


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
        self.state, self.zone, self.weight, self.born = "gone", "", 1.0, 0
        self.mode, self.since, self.away_us = "well", mail.now, 8 * SECOND
        self.tries, self.lost, self.spent = (Fading(2 * SECOND) for _ in range(3))
        self.fit, self.fit_at, self.cut = 1.0, 0, False
        self.waiting: float | None = None
        self.speed, self.rate, self.slices = 0.0, 0.0, 0
        self.good_at, self.probe_at, self.misses = mail.now, 0, 0

    def take(self, note: Any) -> None:
        match note:
            case face.Entry(_, zone, state, weight, born):
                if born and born != self.born and self.born:
                    self.turn_to("well", "started anew")
                    self.fit, self.waiting = 1.0, None
                # Gone proves an end only after a drain: a process that died may be back, with new writes
                # in hand, before the late list says that it went.
                retired = state == "gone" and self.state in ("draining", "retired")
                self.state, self.zone, self.weight = "retired" if retired else state, zone, weight or 1.0
                self.born = born or self.born
            case face.Met(_, _, lost, tries, took_us, _, load):
                self.mail.heard_at = self.mail.now
                self.learn(dict(zip(self.rules.load_fields, load or ())))
                self.spent.add(self.mail.now, (tries - lost) * took_us)
                self.tries.add(self.mail.now, tries)
                self.lost.add(self.mail.now, lost)
                if tries > lost:
                    self.good_at = self.mail.now
            case face.Probed(_, reason, _, _):
                self.misses = 0 if reason in (0, 2) else self.misses + 1
            case Carries(rate, slices):
                if not self.slices:
                    self.good_at = self.mail.now
                elif slices != self.slices:  # the share follows what is left to let in
                    kept = max(self.fit * self.rate, 0.7 * self.speed * self.weight)
                    self.fit = min(1.0, kept / max(0.1, rate))
                self.rate, self.slices = rate, slices
            case face.Woken():
                self.judge()
                if self.cut != (self.fit < 1):
                    self.cut = not self.cut
                    self.log(f"lets in {self.fit:.2f} of {self.rate:.1f}/s, {self.waiting or 0:.0f} waiting")
                self.mail.post(self.table, Standing(self.number, self.state, self.mode != "well",
                                                     self.warmth(), self.weight, self.zone, self.fit,
                                                     self.pace(), self.speed))

    def learn(self, load: dict[str, float | None]) -> None:
        """What waits, and how many visits a second its whole work would be, where reports tell."""
        busy, waiting = load.get("busy"), load.get("waiting")
        if waiting is not None:
            self.waiting = waiting if self.waiting is None else 0.5 * (self.waiting + waiting)
        if busy and busy > 0.1 and self.tries.read(self.mail.now) > 2 and self.warmth() >= 1:
            speed = self.tries.per_second(self.mail.now) / busy / self.weight
            self.speed = 0.8 * self.speed + 0.2 * speed if self.speed else speed

    def pace(self) -> float:
        """Visits completed a second."""
        return max(0.0, self.tries.per_second(self.mail.now) - self.lost.per_second(self.mail.now))

    def warmth(self) -> float:
        """The least share of its work a backend can do: it rises no slower than evenly."""
        age = self.mail.now - self.born
        if not self.born or age >= self.rules.cold_us:
            return 1.0
        return self.rules.cold_share + (1 - self.rules.cold_share) * max(0, age) / self.rules.cold_us

    def log(self, text: str) -> None:
        self.mail.orders.append(face.Log(f"backend {self.number} {text}"))

    def turn_to(self, mode: str, why: str) -> None:
        if mode != self.mode:
            self.log(f"{self.mode}->{mode}: {why}")
            self.mode, self.since, self.misses = mode, self.mail.now, 0
            self.good_at = self.mail.now

    def judge(self) -> None:
        now, rules = self.mail.now, self.rules
        if self.state != "ready":
            return
        # Silence counts only while sums about others come: late sums of all are nobody's fault.
        quiet = self.mail.heard_at - self.good_at
        suspect = self.mode == "well" and self.slices and (
            quiet > rules.quiet_us and quiet * self.rate > 6 * SECOND)
        tries, lost = self.tries.read(now), self.lost.read(now)
        mean = self.spent.read(now) / max(0.1, tries - lost)
        if self.mode == "well":
            # Guards against a server that takes visits and answers none, or has gone silent: nothing
            # good came back for a while although visits went there, and probes stay without answer.
            if suspect and (self.misses >= 2 or quiet > 3 * rules.quiet_us):
                self.turn_to("silent", f"{quiet} us quiet at {self.rate:.1f}/s, {self.misses} probes lost")
            # Guards against quick errors: most tries fail, by more than a handful.
            elif self.slices and tries > 8 and lost > 0.4 * tries and mean < 0.3 * rules.agreed_us:
                self.turn_to("failing", f"{lost:.1f} of {tries:.1f} tries lost, the rest took {mean:.0f} us")
            elif now - self.fit_at > rules.echo_us and tries > 2:
                self.fit_at = now
                # Guards against a queue that makes every visit late: let in what it completes.
                short, slow = lost / max(8, tries), mean / rules.agreed_us
                if self.waiting is not None:  # the time to work off what waits tells more than the mean
                    slow = 2 * SECOND * self.waiting / max(0.5, self.pace()) / rules.agreed_us
                if slow > 0.6 or short > 0.15:
                    self.fit = max(0.2, self.fit * (max(0.5, 1 - max(short, slow / 4))))
                else:
                    self.fit = min(1.0, self.fit * (1.8 if slow < 0.3 else 1.3))
        elif self.misses == 0 and now - self.since > self.away_us:
            self.away_us *= 2  # one that fails again stays away for longer
            self.turn_to("well", f"away for {now - self.since} us")
        if rules.may_probe and (suspect or self.mode == "silent") and now >= self.probe_at:
            self.probe_at = now + (SECOND // 2 if suspect else 2 * SECOND)
            self.mail.orders.append(face.Probe(self.number))


@dataclass(slots=True)
class Slice:
    """A slice in this controller's charge and how far its handover is."""

    number: int
    kept_until: int
    owner: int | None = None
    former: int | None = None
    step: str = "steady"  # steady, emptied, closing
    mark: int = NEVER  # of the step's message
    since: int = 0
    gate_at: int | None = None  # when every proxy had taken the empty step
    clean_at: int | None = 0  # from when no earlier owner can hold a write; None until the gate
    shut: bool = False  # its writes are not let in
    demand: dict[str, Fading] = field(default_factory=dict)
    levels: dict[int, float] = field(default_factory=dict)


class Ledger(Part):
    """The slices and their handovers: empty step, gate, settle wait, new owner, closing."""

    def __init__(self, mail: Mail, rules: Rules) -> None:
        super().__init__(mail)
        self.rules = rules
        self.backends: dict[int, Backend] = {}
        self.slices: dict[int, Slice] = {}
        self.standings: dict[int, Standing] = {}
        self.offer = Offer(0, False, 0, -1, SECOND, False)
        self.said: dict[int, bool | None] = {}  # whether a server is shut out; None: to be said again
        self.relieved: dict[int | None, int] = {}
        self.channel: Part

    def take(self, note: Any) -> None:
        now = self.mail.now
        match note:
            case Standing(backend):
                self.standings[backend] = note
            case face.Given(number, ours):
                self.slices.pop(number, None)
                if ours:
                    # The store's table is kept, and nothing starts here for one lease.
                    self.slices[number] = Slice(number, now + self.rules.lease_us, step="emptied", since=now,
                                                clean_at=None)
            case face.Held(number, backend):
                if number in self.slices:
                    self.slices[number].owner, self.slices[number].step = backend, "steady"
                    self.slices[number].clean_at = 0
            case face.Came(number, visit_class, visits, _, over_us):
                if number in self.slices and over_us:
                    demand = self.slices[number].demand
                    if visit_class not in demand:
                        demand[visit_class] = Fading(self.rules.demand_us)
                    demand[visit_class].add(now, visits)
            case face.Joined(_, first, _, _):
                # A joiner has not heard of earlier orders, and holds what an earlier stream shut out.
                self.said.update(dict.fromkeys(self.said, None) if first or self.said else
                                 dict.fromkeys(self.standings, None))
            case Offer():
                self.offer = note
                self.compose()

    def rate(self, slice_: Slice) -> float:
        """Visits a second, from the decaying sums; a little above nothing for the unheard of."""
        return 0.2 + sum(fading.per_second(self.mail.now) for fading in slice_.demand.values())

    def compose(self) -> None:
        """One turn: steps that are due, slices to open, servers to shut out, shares to let in."""
        self.survey()
        orders: list[face.Order] = []
        moving = [slice_ for slice_ in self.slices.values() if slice_.step != "steady"]
        for slice_ in self.slices.values():
            if (slice_.step != "steady" or slice_.shut) and len(orders) < self.offer.lines:
                orders += self.advance(slice_)
        for slice_ in self.to_open()[:max(0, self.offer.lines - len(orders))]:
            orders.append(face.Empty(slice_.number))
            if not slice_.shut:  # where writes were never let in, an earlier owner's are still the last
                slice_.former, slice_.clean_at = slice_.owner, None
            slice_.step, slice_.owner, slice_.since = "emptied", None, self.mail.now
            slice_.gate_at, slice_.mark = None, NEVER
            slice_.levels.clear()
        orders += self.withdrawals()
        orders += self.levels()
        if orders or moving and (self.offer.unmarked or any(slice_.mark == NEVER for slice_ in moving)):
            for slice_ in self.slices.values():
                if slice_.step != "steady" and slice_.mark == NEVER:
                    slice_.mark = self.offer.mark
            self.mail.post(self.channel, Write(orders))

    def survey(self) -> None:
        """Which servers are open to slices, what they carry and what they are able to."""
        ready = [standing for standing in self.standings.values() if standing.state == "ready"]
        # Guards against blaming servers for what strikes all of them: the fault is nearer then.
        trust = sum(standing.ill for standing in ready) * 3 <= len(ready)
        self.open = {standing.backend: standing for standing in ready if not (standing.ill and trust)}
        speeds = [standing.speed for standing in ready if standing.speed]
        usual = sum(speeds) / len(speeds) if speeds else 1.0
        self.able = {standing.backend: standing.weight * (standing.speed or usual) *
                     (1.0 if standing.warmth >= 1 else 0.5 * standing.warmth) for standing in ready}
        self.loads = dict.fromkeys(self.standings, 0.0)
        self.owned: dict[int, list[Slice]] = {number: [] for number in self.standings}
        for slice_ in self.slices.values():
            if slice_.owner in self.loads:
                self.loads[slice_.owner] += self.rate(slice_)
                self.owned[slice_.owner].append(slice_)
        for number, backend in self.backends.items():
            if number in self.loads:
                self.mail.post(backend, Carries(self.loads[number], len(self.owned[number])))

    def levels(self) -> Iterable[face.Order]:
        """Lets in what each owner can complete, the classes of most benefit first; no writes where shut."""
        warm = [s for s in self.standings.values() if s.state == "ready" and s.warmth >= 1]
        usual = sum(s.pace for s in warm) / max(0.1, sum(s.weight for s in warm))
        for standing in self.standings.values():
            slices = [slice_ for slice_ in self.slices.values() if slice_.owner == standing.backend]
            sums = {name: sum(s.demand[name].per_second(self.mail.now) for s in slices if name in s.demand)
                    for _, _, name in self.rules.classes}
            coming = sum(sums.values())
            fit, cold = standing.fit, standing.warmth < 1
            if cold:
                # Guards a cold server: no more than its sure part of what the warm ones complete.
                fit = min(fit, 0.6 * standing.warmth * standing.weight * usual / max(0.1, coming))
            left = fit * coming
            for _, place, name in self.rules.classes:
                share = 1.0 if fit >= 1 or sums[name] <= left else round(max(0.05, left / sums[name]), 2)
                left = max(0.0, left - sums[name])
                for slice_ in slices:
                    old = slice_.levels.get(place, 1.0)
                    want = 0.0 if slice_.shut and self.rules.write_classes >> place & 1 else (
                        share if self.rules.shares else 1.0)
                    urgent = (want == 0) != (old == 0) or (cold and want < old - 0.1)
                    far = abs(want - old) > 0.15 * old or want == 1
                    if urgent or self.offer.ordinary and want != old and far:
                        slice_.levels[place] = want
                        yield face.Admit(slice_.number, 1 << place, self.rules.retry, want * self.rules.all)

    def withdrawals(self) -> Iterable[face.Order]:
        """Guards the drain grace where a slice may not be opened yet: its owner is shut out meanwhile.
        What was ever shut out is told to joiners, and let in again when it is ready."""
        held = {slice_.owner for slice_ in self.slices.values()}
        for number, standing in self.standings.items():
            out = standing.state != "ready"
            if (out and number in held or number in self.said) and self.said.get(number) is not out:
                self.said[number] = out
                yield face.Withdraw(number, out)

    def to_open(self) -> list[Slice]:
        """Which slices leave their owner now: all of those that drain, died or fell ill come first."""
        movable = [s for s in self.slices.values() if s.step == "steady" and self.mail.now >= s.kept_until]
        urgent = sorted((s for s in movable if s.owner not in self.open), key=self.rate, reverse=True)
        if not self.open:
            return []
        if urgent or not self.offer.ordinary:
            return urgent
        others = self.to_relieve(movable)
        del others[max(1, len(others) // 2):]
        for slice_ in others:
            self.relieved[slice_.owner] = self.mail.now
        return others

    def advance(self, slice_: Slice) -> list[face.Order]:
        """The next step of a handover, when it is due."""
        now, rules = self.mail.now, self.rules
        answered = self.offer.cleared >= slice_.mark
        if answered and slice_.gate_at is None:
            slice_.gate_at = now
            if slice_.clean_at is None:
                slice_.clean_at = now + rules.linger_us
        former = self.standings.get(slice_.former) if slice_.former is not None else None
        clean = slice_.gate_at is not None and (
            now >= (slice_.clean_at or 0) or (former is not None and former.state == "retired"))
        if slice_.step == "emptied":
            settled = slice_.gate_at is not None and now >= slice_.gate_at + self.offer.settle_us
            # The exception for rule 1: when half the time a slice may be bare is gone, the new owner
            # is published with writes shut; that needs no gate, for only reads can go there.
            may = settled and clean or rules.shuts and (settled or now > slice_.since + rules.bare_us // 2)
            if now < slice_.kept_until or not may or (owner := self.choose(slice_)) is None:
                return []
            slice_.owner, slice_.step, slice_.mark = owner, "closing", NEVER
            self.loads[owner] += self.rate(slice_)
            # The exception for rule 2: an earlier owner may hold writes for longer than the settle time;
            # until it cannot, the new owner is published for reads only.
            slice_.shut = not clean and rules.write_classes > 0
            return [face.Own(slice_.number, owner, 1.0)]
        if answered:
            slice_.step = "steady"
            slice_.shut = slice_.shut and not clean
        return []

    def choose(self, slice_: Slice) -> int | None:
        """The server with least load per listed weight, a cold one counted by what it surely can do."""
        return min(self.open, key=lambda number: self.load_with(number, slice_), default=None)

    def load_with(self, number: int, slice_: Slice) -> float:
        """A backend's load per weight with this slice; one that is cut already counts double."""
        cut = 2.0 if self.open[number].fit < 1 else 1.0
        return cut * (self.loads[number] + self.rate(slice_)) / self.able[number]

    def to_relieve(self, movable: list[Slice]) -> list[Slice]:
        """Slices whose owner lets in less than what comes, where another server has room for one."""
        chosen = []
        for number, standing in self.open.items():
            level = self.loads[number] / self.able[number]
            full = self.able[number] if standing.speed else NEVER
            # A server that is nearly all busy is relieved before it queues.
            excess = max(self.loads[number] * (1 - standing.fit), self.loads[number] - 0.9 * full)
            mine = sorted((s for s in movable if s.owner == number), key=self.rate)
            again_at = self.relieved.get(number, 0) + self.rules.echo_us
            if excess <= 0 or len(mine) < 2 or self.mail.now < again_at:
                continue
            slice_ = next((s for s in mine if self.rate(s) >= 0.7 * excess), mine[-1])
            target = self.choose(slice_)
            if target is not None and target != number and self.open[target].fit >= 1 and (
                    self.load_with(target, slice_) < 0.75 * min(level, full / self.able[number])):
                chosen.append(slice_)
        return chosen


@dataclass(slots=True)
class Proxy:
    """What is known of one proxy."""

    joined: bool = False
    answered: int = -1
    gone_at: int = 0
    joined_after: int = 0


class Channel(Part):
    """The way to the proxies: its waiting lines, its marks, and what each proxy has answered."""

    def __init__(self, mail: Mail, rules: Rules, proxies: int, table: Part) -> None:
        super().__init__(mail)
        self.rules, self.table = rules, table
        # After a start nobody has joined: each may still act on an older table for one lease.
        self.proxies = {number: Proxy(gone_at=mail.now) for number in range(proxies)}
        self.waiting, self.at, self.mark, self.joined = 0.0, mail.now, 0, 0
        self.slowest = Fading(8 * SECOND, float(SECOND), mail.now)
        self.written: deque[int] = deque()

    def take(self, note: Any) -> None:
        now, rules = self.mail.now, self.rules
        match note:
            case face.Joined(number, _, _, _):
                self.proxies[number] = Proxy(True, joined_after=self.mark)
            case face.Left(number):
                before = self.proxies.get(number, Proxy())
                self.proxies[number] = Proxy(answered=before.answered, gone_at=now)
            case face.Answered(number, mark, took_us):
                proxy = self.proxies.get(number)
                if proxy is not None and proxy.joined:
                    proxy.answered = max(proxy.answered, self.mark - (self.mark - mark) % MARKS)
                    self.slowest.add(now, max(0.0, took_us - self.slowest.read(now)))
            case face.Woken():
                self.joined = sum(proxy.joined for proxy in self.proxies.values())
                # The channel may run slower than it should: half its pace is counted on.
                self.waiting = max(0.0, self.waiting - (now - self.at) * rules.lines_per_s / SECOND / 2)
                self.at = now
                while self.written and self.written[0] <= now - rules.messages_over_us:
                    self.written.popleft()
                left = rules.messages_most - 1 - len(self.written)
                gap = rules.gap_us if left > rules.messages_most // 2 else 3 * rules.gap_us
                room = rules.queue_lines / 2 - self.waiting
                lines = int(room / max(1, self.joined) - rules.head_lines - 2)
                if min(left, lines, self.joined) > 0 and (not self.written or now >= self.written[-1] + gap):
                    proxies, slowest = self.proxies.values(), int(self.slowest.read(now))
                    self.mail.post(self.table, Offer(
                        lines, left > rules.messages_most // 3, self.mark + 1,
                        min(map(self.cleared, proxies)), min(slowest, rules.lease_us * 9 // 10),
                        any(proxy.joined and proxy.joined_after == self.mark for proxy in proxies)))
            case Write(orders):
                self.mark += 1
                self.written.append(now)
                self.waiting += self.joined * (len(orders) + 1 + rules.head_lines)
                self.mail.orders += [*orders, face.Mark(self.mark % MARKS, True)]

    def cleared(self, proxy: Proxy) -> int:
        """The mark up to which this proxy cannot write by an older table."""
        if not proxy.joined and self.mail.now >= proxy.gone_at + self.rules.lease_us:
            return NEVER
        return proxy.answered


class Spread(Part):
    """Where there are no slices: every server in one table a zone and one for all, by listed weight."""

    def __init__(self, mail: Mail, rules: Rules) -> None:
        super().__init__(mail)
        self.rules = rules
        self.standings: dict[int, Standing] = {}
        self.backends: dict[int, Backend] = {}
        self.lines: dict[tuple[int, int], float] = {}
        self.joiners: dict[int, str] = {}
        self.channel: Part

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
                    orders.append(face.Bind(proxy, 0, self.rules.any_zone))
                    if self.rules.own_zone and zone in self.rules.zones:
                        orders.append(face.Bind(proxy, 1 + self.rules.zones.index(zone), self.rules.own_zone))
                self.joiners.clear()
                if orders:
                    self.mail.post(self.channel, Write(orders))

    def changes(self) -> Iterable[face.Own]:
        """Lines that differ from what stands: a server is in while ready and well, a cold one in part."""
        well = {s.zone for s in self.standings.values() if s.state == "ready" and not s.ill and s.warmth >= 1}
        for number, standing in self.standings.items():
            fit = standing.state == "ready" and not (standing.ill and standing.zone in well)
            weight = standing.weight * (0.25 * int(4 * standing.warmth) or 0.1) if fit else 0.0
            zones = self.rules.zones if self.rules.own_zone else ()
            for table in [0] + [1 + place for place, zone in enumerate(zones) if zone == standing.zone]:
                if self.lines.get((table, number), 0.0) != weight:
                    yield face.Own(table, number, weight)


class Rules:
    """The few figures that decisions use, derived from the deployment at the start."""

    def __init__(self, told: face.Deployment) -> None:
        places = list(enumerate(told.classes))
        self.lease_us, self.linger_us, self.bare_us = told.lease_us, told.linger_us, told.bare_us
        self.cold_us, self.cold_share = told.cold_us, told.cold_share
        self.write_classes = sum(1 << place for place, kind in places if kind.writes)
        self.own_zone = sum(1 << place for place, kind in places if kind.own_zone)
        self.any_zone = sum(1 << place for place, kind in places if not kind.own_zone)
        self.zones, self.retry, self.load_fields = told.zones, told.usual_retry, told.load_fields
        self.classes = sorted(((kind.benefit, place, kind.name) for place, kind in places), reverse=True)
        # Levels may be shares, visits a second at each proxy (then only shut or open), or without effect.
        self.shares, self.shuts = told.admits == "share", told.admits != "none"
        self.all = 1.0 if self.shares else 1e6
        self.agreed_us = sum(kind.agreed_us for kind in told.classes) / max(1, len(told.classes))
        self.echo_us = told.report_every_us + SECOND
        self.may_probe = told.may_probe
        self.quiet_us = 2 * told.report_every_us + SECOND
        self.demand_us = 4 * max(told.report_every_us, SECOND)
        self.lines_per_s, self.queue_lines = told.lines_per_s, told.queue_lines
        self.head_lines = told.head_lines
        self.messages_over_us = told.messages_over_us or 10 * SECOND
        self.messages_most = told.messages_most or 100
        self.gap_us = self.messages_over_us // self.messages_most // 2


class Controller:
    """One instance: routes events to the parts, empties their inboxes, hands back the orders."""

    BEAT_US = SECOND // 20

    def __init__(self, told: face.Deployment, seed: int, now: int) -> None:
        self.mail = Mail(seed, now)
        self.rules = Rules(told)
        self.backends: dict[int, Backend] = {}
        self.table = Ledger(self.mail, self.rules) if told.slices else Spread(self.mail, self.rules)
        self.table.backends = self.backends
        self.channel = self.table.channel = Channel(self.mail, self.rules, told.proxies, self.table)
        self.ask_at, self.woken_at = now if told.asks_for_list else NEVER, -1

    def turn(self, now: int, events: Iterable[face.Event]) -> list[face.Order]:
        mail = self.mail
        mail.now, mail.orders = now, []
        for event in events:
            self.route(event)
        if now >= self.ask_at:
            mail.orders.append(face.Follow())
            self.ask_at = NEVER
        mail.run()
        for part in (*self.backends.values(), self.channel):
            mail.post(part, face.Woken(0))
        mail.run()
        if now >= self.woken_at:
            self.woken_at = now + self.BEAT_US
            mail.orders.append(face.Wake(0, self.woken_at))
        return mail.orders

    def route(self, event: face.Event) -> None:
        post = self.mail.post
        match event:
            case face.Listed(kind, entries):
                if kind == "lost":
                    self.ask_at = self.mail.now + int(SECOND * (0.5 + self.mail.chance.draw()))
                named = {entry.backend for entry in entries}
                for entry in entries:
                    number = entry.backend
                    if number not in self.backends:
                        self.backends[number] = Backend(self.mail, number, self.rules, self.table)
                    post(self.backends[number], entry)
                if kind in ("whole", "remembered"):
                    for number, backend in self.backends.items():
                        if number not in named:
                            post(backend, face.Entry(number, backend.zone, "gone", backend.weight, None))
            case face.Met() | face.Probed():
                if event.backend in self.backends:
                    post(self.backends[event.backend], event)
            case face.Joined() | face.Left():
                post(self.channel, event)
                post(self.table, event)
            case face.Answered():
                post(self.channel, event)
            case face.Given() | face.Held() | face.Came():
                post(self.table, event)
