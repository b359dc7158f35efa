"""xDS clients: who is let in, who may write, whose answer a mark waits for, and when a client counts as gone.

Every client may read. To write is granted last, and by a lease: the write listener has a time to live,
which is renewed only while the client acknowledges what it is sent. From the moment that listener is
offered until the client has answered its removal, or a lease after the last renewal could have been sent,
the client is a proxy to the deciding module, whose marks wait for it. So a client that acknowledges nothing
never holds up a handover for longer than `late_us` and one lease, and one without times to live holds up
none, since it gets no write listener: the named lesser mode 'reads only'.
"""

from __future__ import annotations

from bisect import insort
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from lapispass.core.limits import RateLimiter, ReturnSlots
from lapispass.core.shared_types import NEVER, SECOND
from lapispass.core.versions import KINDS, Shelf, Update, Watch

READS = "reads"
WRITES = "writes"  # the listener by which writes are let through
TTL_FEATURE = "xds.config.supports-resource-ttl"


class Terms(NamedTuple):
    """Bounds on clients; times in us."""

    lease_us: int
    late_us: int = 2 * SECOND  # an update not acknowledged for so long ends the right to write
    clients: int = 5_000
    names: int = 50_000  # one client may ask for
    response: int = 5_000  # resources in one response
    probation_most_us: int = 60 * SECOND
    nacks_most: int = 3  # of one kind in a row, before the right to write ends

    @property
    def ttl_us(self) -> int:
        """Told to clients: less than the lease by what a message may take on its way."""
        return self.lease_us * 3 // 4

    @property
    def slack_us(self) -> int:
        """What a message may take on its way to a client, and to be read there."""
        return self.lease_us - self.ttl_us

    @property
    def beat_us(self) -> int:
        return self.ttl_us // 3


class Numbers:
    """Proxy numbers for the module. One that a client has left is free again only after its lease."""

    def __init__(self, first: int, lease_us: int) -> None:
        self.next, self.lease_us = first, lease_us
        self.left: list[tuple[int, int]] = []  # (when, number), in order

    def take(self, now: int) -> int:
        if self.left and self.left[0][0] + self.lease_us < now:
            return self.left.pop(0)[1]
        self.next += 1
        return self.next - 1

    def give(self, now: int, number: int) -> None:
        insort(self.left, (now, number))


@dataclass
class Step:
    """What follows from a look at a client: responses, and news for the module."""

    updates: list[Update] = field(default_factory=list)
    joined: int | None = None
    left: int | None = None
    left_proved: int = 0  # the turn up to which it was shown to have the tables
    left_after_us: int = 0  # the module is told so much later
    answered: list[tuple[int, int, int]] = field(default_factory=list)  # proxy, mark, took us
    note: str = ""


class Client:
    """One stream of a client, from its first message to its end."""

    def __init__(
        self,
        name: str,
        zone: str,
        whole: bool,
        has_ttl: bool,
        shelf: Shelf,
        terms: Terms,
        now: int,
        probation_until: int = 0,
    ) -> None:
        self.name, self.zone, self.whole, self.has_ttl, self.terms = name, zone, whole, has_ttl, terms
        self.shelf, self.begun = shelf, now
        self.watches: dict[str, Watch] = {}
        self.state = "reads"  # reads, writes, lapsing (the listener's removal is not answered yet)
        self.number: int | None = None  # as a proxy of the module
        self.proved = -1  # the last turn that it was shown to have applied
        self.beat_at = 0
        self.probation_until = probation_until
        self.lapses = 0

    # what it asks for

    def watch(self, kind: str) -> Watch:
        if kind not in self.watches:
            self.watches[kind] = Watch(kind, self.whole, self.shelf)
            if kind == "lds":
                self.watches[kind].hidden.add(WRITES)
        return self.watches[kind]

    def names(self) -> int:
        return sum(len(watch.names or ()) for watch in self.watches.values())

    # what it is sent

    def look(
        self,
        now: int,
        turn: int,
        marks: deque[tuple[int, int, int]],
        numbers: Numbers,
        may_write: bool = True,
    ) -> Step:
        """What is due now. `marks` are (turn, mark, when), oldest first."""
        step = Step()
        for watch in self.watches.values():
            watch.now = now
        self.rights(now, may_write, numbers, step)
        for place, kind in enumerate(KINDS):
            if kind not in self.watches:
                continue
            watch = self.watches[kind]
            # Make before break: what is new goes out in the order of kinds, each when the one before has been
            # acknowledged; what is removed waits until those that may point to it are.
            before = [self.watches[k] for k in KINDS[:place] if k in self.watches]
            behind = [self.watches[k] for k in KINDS[place + 1 :] if k in self.watches]
            if kind in ("lds", "rds") and not watch.sent and not all(other.settled for other in before):
                continue
            may_remove = kind != "cds" or all(other.settled for other in behind)
            update = watch.due(now, self.terms.response, may_remove)
            if update is not None:
                step.updates.append(update)
        if self.state == "writes" and now - self.beat_at >= self.terms.beat_us:
            update = self.watches["lds"].beat(WRITES, now)
            if update is not None:
                self.beat_at = now
                step.updates.append(update)
        self.prove(now, turn, marks, step)
        return step

    def stood_still(self, for_us: int) -> None:
        """The controller itself did: its clients are not blamed for what they could not be heard to say."""
        for watch in self.watches.values():
            watch.out_at += for_us
            for name in watch.unproven_at:
                watch.unproven_at[name] += for_us

    def rights(self, now: int, may_write: bool, numbers: Numbers, step: Step) -> None:
        """Grants writing where all is acknowledged; ends it where something is not."""
        eds, lds = self.watches.get("eds"), self.watches.get("lds")
        if lds is None or eds is None:
            return
        if not may_write:
            # Guards rule 2: a controller that may have been followed already shows what it has, for reading
            # only.
            if self.state == "writes":
                self.state, step.note = "lapsing", "the controller's own session has ended"
                self.give_up(now, numbers, step)
                lds.hide(WRITES)
            return
        if self.state == "reads":
            if lds.settled and lds.took_us > self.terms.slack_us and now > lds.out_at + self.terms.lease_us:
                lds.want([READS], [])  # sent once more, to see whether it reads promptly by now
            # How late it reads is known from the listeners it has acknowledged: no right for who reads late.
            prompt = lds.settled and READS in lds.holds and lds.took_us <= self.terms.slack_us
            proven = eds.sent and eds.settled and eds.late_since == NEVER
            offered = lds.wants(WRITES) and WRITES in self.shelf.items["lds"]
            if self.has_ttl and prompt and proven and offered and now >= self.probation_until:
                self.state, self.beat_at = "writes", now
                self.number = step.joined = numbers.take(now)
                self.proved = -1
                lds.show(WRITES)
        elif self.state == "writes":
            late = min(eds.late_since, lds.out_at if lds.out is not None else NEVER)
            why = ""
            if now - late > self.terms.late_us:
                why = "acknowledges nothing"
            elif max(eds.nacks, lds.nacks) >= self.terms.nacks_most:
                why = "turns the same down again and again"
            elif lds.took_us > self.terms.slack_us:
                # Guards rule 2: its time to live counts from when it reads a renewal. One that reads late
                # may hold the last one longer than the lease, which the module counts from the end of its
                # stream.
                why = f"answers a renewal after {lds.took_us} us"
                lds.took_us = 0
            elif lds.refused.get(WRITES):
                why = "turns the write listener down"
            if why:
                self.lapse(now, why, step)
                self.give_up(now, numbers, step)
                lds.hide(WRITES)
        elif self.state == "lapsing" and lds.settled and not lds.holds.get(WRITES):
            self.state = "reads"

    def lapse(self, now: int, why: str, step: Step) -> None:
        """No further renewal. Each time it stays a reader for longer."""
        self.lapses += 1
        self.state = "lapsing"
        wait = min(self.terms.probation_most_us, self.terms.lease_us * 2 ** min(self.lapses, 10))
        self.probation_until = now + wait
        step.note = f"{why}; reads only for {wait} us"

    def give_up(self, now: int, numbers: Numbers, step: Step) -> None:
        """It counts as gone for the module, which waits a lease from now; its number is not used again
        before."""
        if self.number is not None:
            step.left, self.number = self.number, None
            step.left_proved = self.watches["eds"].proven_turn if "eds" in self.watches else self.proved
            lds = self.watches.get("lds")
            if lds is not None and lds.out is not None and WRITES in lds.out.items:
                # Guards rule 2: it may read this renewal later than any before, and its time runs from then.
                step.left_after_us = self.terms.late_us
            numbers.give(now + step.left_after_us, step.left)

    def end(self, now: int, numbers: Numbers) -> Step:
        """Its stream has ended."""
        step = Step()
        self.give_up(now, numbers, step)
        for watch in self.watches.values():
            watch.end()
        self.watches.clear()
        return step

    def prove(self, now: int, turn: int, marks: deque[tuple[int, int, int]], step: Step) -> None:
        """Marks whose tables rule at the client: all write tables up to their turn are acknowledged."""
        if self.number is None:
            return
        eds = self.watches["eds"]
        proven = min(turn, eds.proven_turn)
        if proven <= self.proved:
            return
        last = next(
            ((at, mark, when) for at, mark, when in reversed(marks) if self.proved < at <= proven), None
        )
        self.proved = proven
        if last is not None:
            step.answered.append((self.number, last[1], max(0, now - last[2])))


class Doorway:
    """Who is let in: thousands may come back at once. What is refused is told when to come."""

    def __init__(self, clients: int, per_s: float, burst: int, seed: int) -> None:
        self.clients, self.rate = clients, RateLimiter(per_s, burst)
        self.returns = ReturnSlots(per_s, SECOND // 10, 30 * SECOND, seed)

    def ask(self, now: int, inside: int) -> int:
        """0 for whoever may come in; else when to come back, us from now."""
        if inside >= self.clients:
            return max(SECOND, self.returns.delay_us(now))
        if wait := self.rate.wait_us(now):
            return max(wait, self.returns.delay_us(now))
        self.rate.take(now)
        return 0
