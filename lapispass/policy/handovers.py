"""The slices and their handovers: empty step, gate, settle wait, new owner, closing."""

from __future__ import annotations

from lapispass import interface
from lapispass.core.fleet_index import FleetIndex
from lapispass.core.messages import SendBudget
from lapispass.core.slice_table import SliceTable, Times
from lapispass.core.slices import Slice
from lapispass.core.turn import Turn
from lapispass.core.units import NEVER
from lapispass.policy.admission import Admission
from lapispass.policy.channel import Channel
from lapispass.policy.health import NEGLIGIBLE, Backend
from lapispass.policy.placement import Placement
from lapispass.policy.rules import Rules
from lapispass.policy.withdrawals import Withdrawals


class Ledger(SliceTable[Backend]):
    """All slices in this controller's charge. It looks at what has news or is due, and no further."""

    def __init__(self, turn: Turn, rules: Rules, fleet: FleetIndex[Backend], channel: Channel) -> None:
        # Nothing tells how long a table that was given empty has been so: an earlier life of this controller,
        # or another one, may have used a part of rule 1's time.
        times = Times(rules.lease_us, rules.bare_us // 4, rules.pause_us, rules.demand_us)
        super().__init__(turn, fleet, times, NEGLIGIBLE)
        self.rules, self.channel = rules, channel
        common = (turn, rules, fleet, self.holdings, self.shut_out)
        self.placement, self.admission = Placement(*common), Admission(*common)
        self.withdrawals = Withdrawals(*common)
        self.offer = SendBudget(0, 0, 0, rules.lease_us, False)
        self.turns_without_room = 0  # slices were left for a later turn

    def act(self, offer: SendBudget) -> int:
        """One message to the proxies, where there is something to say; returns when something is due next."""
        self.offer = offer
        left_over = self.compose()
        self.turns_without_room += left_over
        return self.next_due(left_over)

    def next_due(self, left_over: bool) -> int:
        """When the next step is due; one that waits for answers or for room is looked for all the time."""
        if (
            left_over
            or self.holdings.moving()
            or self.admission.urgent_left
            or not self.offer.deferrable_lines
        ):
            return self.turn.now
        level_at = self.admission.level_at if self.holdings.unsettled else NEVER
        return min(level_at, self.withdrawals.next_due(), self.placement.next_relief())

    def compose(self) -> bool:
        """One turn: servers to shut out, steps that are due, slices to open, shares to let in.

        Returns whether slices to be opened were left for a later turn.
        """
        # Guards the queue: each line waits once for every proxy; what does not fit is left for a later turn.
        self.placement.survey()
        now, offer = self.turn.now, self.offer
        orders = self.withdrawals.orders(offer)
        moving = self.holdings.moving()
        given = [slice_ for slice_ in moving if slice_.mark == NEVER]
        room, spare = offer.lines - len(orders), offer.deferrable_lines - len(orders)
        cleared = self.channel.proxies.passed_by_all(now) if moving else NEVER
        for slice_ in moving:
            slice_.mark = min(slice_.mark, offer.barrier)  # none yet: given with an empty table
            if room > 0 and (step := self.advance(slice_, cleared)):
                orders += step  # a cold owner's levels go with it, so their room is kept
                cold = slice_.owner is not None and not self.fleet.servers[slice_.owner].warm
                room -= len(step) + cold * len(self.rules.classes)
        opening = self.to_open()
        kept = min(len(opening), max(0, room) // 2)  # for what opens, or a slice may stay bare
        # Guards the channel and its price: reports come one after the other, and a turn for each would be
        # mostly heads.
        due = bool(orders or opening) or now >= self.admission.level_at
        ordinary = min(spare, room - len(opening)) if due else 0
        orders += self.admission.orders(offer, offer.lines - len(orders) - kept, ordinary)
        fitting = opening[: max(0, offer.lines - len(orders))]
        orders += [self.empty(slice_) for slice_ in fitting]
        joiners = (
            offer.joined_since_barrier and offer.deferrable_lines and any(s.step != "steady" for s in moving)
        )
        if orders or given or joiners:
            self.channel.publish(orders)
        return len(fitting) < len(opening)

    def empty(self, slice_: Slice) -> interface.Order:
        """The first step of a handover."""
        if not slice_.shut:  # where writes were never let in, an earlier owner's are still the last
            slice_.gate_at = None
        slice_.since = self.unserved_since(slice_)
        self.holdings.assign(slice_, None)
        slice_.step, slice_.mark = "emptied", self.offer.barrier
        slice_.stepped_at = self.turn.now
        self.holdings.stepped(slice_)
        return interface.ClearTable(slice_.number)

    def to_open(self) -> list[Slice]:
        """Which slices leave their owner now: all of those that drain, died or fell ill come first."""
        now, owned = self.turn.now, self.holdings.owned
        closed = [owner for owner in owned if not self.placement.is_open(owner)]
        urgent = [s for owner in closed for s in owned[owner].values() if self.may_leave(s)]
        # Guards a small slice of an owner long shut out: larger ones of later owners do not pass it by.
        out = self.shut_out.withdrawn
        urgent.sort(key=lambda s: (out.get(s.owner, now) if s.owner is not None else now, -s.rate, s.serial))
        if not self.placement.any_open():
            return []
        if urgent or not self.offer.deferrable_lines:
            return urgent
        others = self.placement.to_relieve()
        del others[max(1, len(others) // 2) :]
        for slice_ in others:
            if slice_.owner is not None:
                self.holdings.relief_at[slice_.owner] = now + self.rules.echo_us
        return others

    def may_leave(self, slice_: Slice) -> bool:
        """Whether a slice may be on its way to another owner, for rule 1 even in a handover's last step."""
        if slice_.may_leave(self.turn.now):
            return True
        # Nothing is lost by it: a proxy answers in order, so the mark of the next empty step stands for this
        # step's, too.
        unserved_us = self.turn.now - self.unserved_since(slice_)
        return slice_.step == "closing" and unserved_us > self.rules.bare_us // 4

    def unserved_since(self, slice_: Slice) -> int:
        """Since when proxies may have had no line to pick: the owner is shut out, or there is none."""
        if slice_.owner is None:
            return slice_.since
        shut_out_at = self.shut_out.withdrawn.get(slice_.owner, self.turn.now)
        # Until all have answered, a proxy may get the new owner and its withdrawal in one moment.
        is_unknown = slice_.step == "closing" and slice_.owner in self.shut_out.withdrawn
        return slice_.since if is_unknown else max(slice_.since, shut_out_at)

    def is_urgent(self, slice_: Slice) -> bool:
        """Whether the new owner is published with writes shut, for rule 1.

        That needs no gate, for only reads can go there. Half of the time without a line must be gone, and a
        quarter since the empty step, in which those that can answer it have done so.
        """
        now, bare_us = self.turn.now, self.rules.bare_us
        is_overdue = now > slice_.since + bare_us // 2 and now > slice_.stepped_at + bare_us // 4
        return self.rules.shuts and is_overdue

    def advance(self, slice_: Slice, cleared: int) -> list[interface.Order]:
        """The next step of a handover, when it is due."""
        now, rules = self.turn.now, self.rules
        answered = cleared >= slice_.mark
        if answered and slice_.gate_at is None:
            slice_.gate_at = now
        clean = slice_.gate_at is not None and now >= slice_.gate_at + rules.linger_us
        if slice_.step != "emptied":
            if answered:
                slice_.step, slice_.shut = "steady", slice_.shut and not clean
                slice_.stepped_at = now
                self.holdings.stepped(slice_)
                self.holdings.unsettled.update([] if slice_.owner is None else [slice_.owner])
            return []
        # The exception for rule 2: the owner waits until no earlier one can hold a write, which may last
        # longer than the settle time. Writes shut meanwhile would not do: the store resets levels.
        settled = answered and slice_.gate_at is not None and now >= slice_.gate_at + self.offer.settle_us
        may = (settled and clean) or self.is_urgent(slice_)
        if now < slice_.kept_until or not may or (owner := self.placement.choose(slice_)) is None:
            return []
        self.placement.give(slice_, owner)
        self.holdings.unsettled.add(owner)
        slice_.step, slice_.mark, slice_.shut = "closing", self.offer.barrier, not clean
        slice_.stepped_at = now
        self.holdings.stepped(slice_)
        slice_.levels = {} if clean else dict.fromkeys(rules.writes, 0.0)
        shut = [self.admission.order(slice_, place, 0.0) for place in slice_.levels]
        return [interface.SetTableEntry(slice_.number, owner, 1.0), *shut]
