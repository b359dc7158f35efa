"""The slices and their handovers, and what is let in at their owners."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from lapispass import interface as face
from lapispass.core.decay import DecayingSum
from lapispass.core.inbox import Mail, Part
from lapispass.core.messages import Missed, Offer, Standing
from lapispass.core.slices import Slice
from lapispass.core.units import NEVER, SECOND
from lapispass.policy.health import LISTED, Backend
from lapispass.policy.rules import Rules


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
                    demand.setdefault(visit_class, DecayingSum(self.rules.demand_us)).add(now, visits)
            case Missed(first, mark):
                # A joiner may have missed what was said last, and holds what an earlier stream shut out: one
                # that has answered nothing yet may hold what an earlier life of this controller shut out.
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
        # Guards the channel and its price: sums come one after the other, and a turn for each would be mostly
        # heads.
        due = orders or opening or now >= self.level_at
        levels = self.levels(self.offer.lines - len(orders) - kept, due and min(spare, room - len(opening)))
        if levels:
            orders, self.level_at = orders + levels, now + self.rules.pause_us
        for slice_ in opening[: max(0, self.offer.lines - len(orders))]:
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
        # Guards against blaming servers for what strikes all, or most of a zone; the rest could not carry it.
        # Only those count of which enough is heard: each controller hears of few visits at most servers of a
        # large fleet.
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
        # Held connections are such work too; where busy shares tell of all that is not ours, they are part of
        # it.
        self.others = {
            s.backend: max(s.held, (part < 1) * (s.busy * self.able[s.backend] - s.pace)) for s in ready
        }
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
                # What it can do is known late; what it has completed since its start it can do for sure, as
                # it warms.
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
                    if urgent or (
                        self.offer.ordinary and (want != old and (abs(want - old) > 0.15 * old or want == 1))
                    ):
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
        # Guards the channel: who is in was said again of all servers at once, every 2 s while proxies joined,
        # and the next withdrawals waited behind that. It takes its time now, a part of what rule 1 allows.
        if now >= self.repeat_at and not self.repeats and (again := self.again & held - self.out.keys()):
            self.repeats, self.repeat_at = again, now + self.rules.bare_us // 8
            self.again -= again
        room, left = self.offer.ordinary // 2, self.offer.lines
        for number, standing in self.standings.items():
            out = standing.state == "out"
            # Guards the queue where most of a fleet drains at once; the rest comes first next time.
            if left <= 0:
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
        movable = sorted(
            (s for s in self.slices.values() if s.step == "steady" and self.mail.now >= s.kept_until),
            key=lambda s: s.rate,
        )
        # Guards a small slice of an owner long shut out: larger ones of later owners do not pass it by.
        urgent = sorted(
            (s for s in movable if s.owner not in self.open),
            key=lambda s: (self.out.get(s.owner, self.mail.now), -s.rate),
        )
        if urgent or not self.open or not self.offer.ordinary:
            return urgent if self.open else []
        others = self.to_relieve(movable)
        del others[max(1, len(others) // 2) :]
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
        return [
            face.Own(slice_.number, owner, 1.0),
            *(face.Admit(slice_.number, 1 << place, rules.retries[place], 0.0) for place in slice_.levels),
        ]

    def choose(self, slice_: Slice) -> int | None:
        """The server with least load per listed weight, a cold one counted by what it surely can do."""
        return min(self.targets, key=lambda number: self.load_with(number, slice_), default=None)

    def load_with(self, number: int, slice_: Slice) -> float:
        """A backend's load per weight with this slice."""
        # Guards a server just started: until sums can tell what comes there, it counts by the part that it is
        # let in.
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
            if (
                target is not None
                and target != number
                and (self.open[target].fit >= 1 and self.load_with(target, slice_) < 0.75 * level)
            ):
                chosen.append(slice_)
        return chosen
