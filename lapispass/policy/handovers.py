"""The handovers of slices from one owner to the next.

The steps of a handover:

1. "emptied": the slice's table is cleared. Once every proxy has applied that, none sends writes to the old
   owner any more. Then the linger time and the settle wait must pass.
2. "closing": the new owner is published. Its writes stay blocked if the old owner may still hold one.
3. "steady": every proxy has applied the new owner.
"""

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


class Handovers(SliceTable[Backend]):
    """The slices of this controller; handles only those that have new events or are due."""

    def __init__(self, turn: Turn, rules: Rules, fleet: FleetIndex[Backend], channel: Channel) -> None:
        # It is unknown how long a table that was empty when the slice was granted has been empty. An earlier
        # incarnation of this controller, or another one, may have used up a part of the time that rule 1
        # allows.
        times = Times(
            rules.lease_us, rules.unserved_limit_us // 4, rules.update_interval_us, rules.demand_half_life_us
        )
        super().__init__(turn, fleet, times, NEGLIGIBLE)
        self.rules, self.channel = rules, channel
        common = (turn, rules, fleet, self.slice_index, self.withdrawn_servers)
        self.placement, self.admission = Placement(*common), Admission(*common)
        self.withdrawals = Withdrawals(*common)
        self.budget = SendBudget(0, 0, 0, rules.lease_us, False)
        self.turns_without_room = 0  # turns that left slices for a later turn

    def owner_stored(self, number: int, backend: interface.BackendId, writes_blocked: bool) -> None:
        """Sets the owner that the store holds for a slice that was just granted."""
        super().owner_stored(number, backend, writes_blocked)
        if writes_blocked and (slice_ := self.slice_index.slices.get(number)):
            slice_.levels = dict.fromkeys(self.rules.write_classes, 0.0)

    def act(self, budget: SendBudget) -> int:
        """Sends the proxies one message if any orders are due; returns when the next ones are due."""
        self.budget = budget
        has_more = self.compose()
        self.turns_without_room += has_more
        return self.next_due(has_more)

    def next_due(self, has_more: bool) -> int:
        """When the next step is due; now, if one waits for acknowledgements or for room in a message."""
        if (
            has_more
            or self.slice_index.moving()
            or self.admission.urgent_pending
            or any(slice_.may_leave(self.turn.now) for slice_ in self.placement.misplaced())
            or not self.budget.deferrable_lines
        ):
            return self.turn.now
        level_at = self.admission.next_update_at if self.slice_index.admission_pending else NEVER
        return min(level_at, self.withdrawals.next_due(), self.placement.next_relief())

    def compose(self) -> bool:
        """Composes one message: withdrawals, handover steps that are due, admission and tables to empty.

        Returns whether slices whose tables are to be emptied were left for a later turn.
        """
        # Each order is queued once for every proxy. Orders that do not fit into the queue of the channel are
        # left for a later turn.
        self.placement.refresh()
        now, budget = self.turn.now, self.budget
        orders = self.withdrawals.orders(budget)
        moving = self.slice_index.moving()
        granted_empty = [slice_ for slice_ in moving if slice_.barrier == NEVER]
        room, deferrable_room = budget.lines - len(orders), budget.deferrable_lines - len(orders)
        cleared = self.channel.proxies.passed_by_all(now) if moving else NEVER
        for slice_ in moving:
            slice_.barrier = min(slice_.barrier, budget.barrier)  # has none if granted with an empty table
            if room > 0 and (step := self.advance(slice_, cleared)):
                orders += step  # a cold owner's levels follow in this message, so room is reserved for them
                cold_owner = slice_.owner is not None and not self.fleet.servers[slice_.owner].warm
                room -= len(step) + cold_owner * len(self.rules.classes_by_value)
        emptying = self.to_empty()
        # Room is reserved for emptying tables: otherwise a slice could stay unserved.
        reserved = min(len(emptying), max(0, room) // 2)
        # Admission updates are collected: reports arrive one after the other, and a message for each would
        # consist mostly of overhead.
        update_due = bool(orders or emptying) or now >= self.admission.next_update_at
        routine_room = min(deferrable_room, room - len(emptying)) if update_due else 0
        orders += self.admission.orders(budget, budget.lines - len(orders) - reserved, routine_room)
        fitting = emptying[: max(0, budget.lines - len(orders))]
        orders += [self.empty(slice_) for slice_ in fitting]
        barrier_needed = (
            budget.joined_since_barrier
            and budget.deferrable_lines
            and any(s.step != "steady" for s in moving)
        )
        if orders or granted_empty or barrier_needed:
            self.channel.publish(orders)
        return len(fitting) < len(emptying)

    def empty(self, slice_: Slice) -> interface.Order:
        """Starts a handover: clears the slice's table."""
        if not slice_.writes_blocked:  # otherwise the last writes are still those of an earlier owner
            slice_.writes_stopped_at = None
        slice_.unserved_since = self.unserved_since(slice_)
        self.slice_index.assign(slice_, None)
        slice_.step, slice_.barrier = "emptied", self.budget.barrier
        slice_.step_started_at = self.turn.now
        self.slice_index.step_changed(slice_)
        return interface.ClearTable(slice_.number)

    def to_empty(self) -> list[Slice]:
        """The slices that leave their owner now, first those of draining, gone or unhealthy owners."""
        now, by_owner = self.turn.now, self.slice_index.by_owner
        closed = [owner for owner in by_owner if not self.placement.is_open(owner)]
        urgent = [s for owner in closed for s in by_owner[owner].values() if self.may_leave(s)]
        # The slices of the owner that was withdrawn first come first. Otherwise larger slices of owners
        # withdrawn later would overtake a small one, which would stay unserved for too long.
        out = self.withdrawn_servers.withdrawn
        urgent.sort(key=lambda s: (out.get(s.owner, now) if s.owner is not None else now, -s.rate, s.serial))
        if not self.placement.any_open():
            return []
        if urgent or not self.budget.deferrable_lines:
            return urgent
        if misplaced := [slice_ for slice_ in self.placement.misplaced() if slice_.may_leave(now)]:
            return misplaced
        relieved = self.placement.slices_to_relieve()
        del relieved[max(1, len(relieved) // 2) :]
        for slice_ in relieved:
            if slice_.owner is not None:
                self.slice_index.next_relief_at[slice_.owner] = now + self.rules.feedback_delay_us
        return relieved

    def may_leave(self, slice_: Slice) -> bool:
        """Whether a slice may be handed over now.

        For rule 1 that is allowed even in the last step of a handover.
        """
        if slice_.may_leave(self.turn.now):
            return True
        # That is safe: a proxy acknowledges barriers in order, so the barrier of the next "emptied" step
        # covers this step's, too.
        unserved_us = self.turn.now - self.unserved_since(slice_)
        is_overdue = unserved_us > self.rules.unserved_limit_us // 4
        return slice_.step == "closing" and is_overdue and self.turn.now >= slice_.frozen_until

    def unserved_since(self, slice_: Slice) -> int:
        """Since when the slice may have been unserved: its owner is withdrawn, or it has none."""
        if slice_.owner is None:
            return slice_.unserved_since
        withdrawn_at = self.withdrawn_servers.withdrawn.get(slice_.owner, self.turn.now)
        # Until all proxies have acknowledged the new owner, one may receive it together with its withdrawal:
        # that proxy has been without a backend all the time.
        is_unknown = slice_.step == "closing" and slice_.owner in self.withdrawn_servers.withdrawn
        return slice_.unserved_since if is_unknown else max(slice_.unserved_since, withdrawn_at)

    def is_urgent(self, slice_: Slice) -> bool:
        """Whether rule 1 requires that the new owner is published at once, with its writes blocked.

        That need not wait for the proxies' acknowledgements, because only reads can be sent there. Half of
        the time that the slice may be unserved must have passed, and a quarter since the "emptied" step: the
        proxies that can acknowledge it have done so by then.
        """
        now, unserved_limit_us = self.turn.now, self.rules.unserved_limit_us
        is_overdue = (
            now > slice_.unserved_since + unserved_limit_us // 2
            and now > slice_.step_started_at + unserved_limit_us // 4
        )
        return self.rules.can_block_writes and is_overdue

    def advance(self, slice_: Slice, cleared: int) -> list[interface.Order]:
        """The orders of the next step of a handover, if it is due.

        Proxies have applied the orders up to the barrier `cleared`, or can no longer write by older tables.
        """
        now, rules = self.turn.now, self.rules
        answered = cleared >= slice_.barrier
        if answered and slice_.writes_stopped_at is None:
            # Proxies may write by tables of an earlier controller for one lease after the slice was granted,
            # whatever they acknowledge here.
            slice_.writes_stopped_at = max(now, slice_.frozen_until)
        writes_ended = (
            slice_.writes_stopped_at is not None and now >= slice_.writes_stopped_at + rules.linger_us
        )
        if slice_.step != "emptied":
            if answered:
                slice_.step, slice_.writes_blocked = "steady", slice_.writes_blocked and not writes_ended
                slice_.step_started_at = now
                self.slice_index.step_changed(slice_)
                self.slice_index.admission_pending.update([] if slice_.owner is None else [slice_.owner])
            return []
        # For rule 2 the new owner waits until no earlier owner can hold a write, which may take longer than
        # the settle wait. To block its writes meanwhile would not be enough: the store resets levels.
        settled = (
            answered
            and slice_.writes_stopped_at is not None
            and now >= slice_.writes_stopped_at + self.budget.settle_us
        )
        allowed = (settled and writes_ended) or self.is_urgent(slice_)
        if now < slice_.frozen_until or not allowed or (owner := self.placement.choose_owner(slice_)) is None:
            return []
        self.placement.assign(slice_, owner)
        self.slice_index.admission_pending.add(owner)
        slice_.step, slice_.barrier, slice_.writes_blocked = "closing", self.budget.barrier, not writes_ended
        slice_.step_started_at = now
        self.slice_index.step_changed(slice_)
        slice_.levels = {} if writes_ended else dict.fromkeys(rules.write_classes, 0.0)
        shut = [self.admission.order(slice_, class_index, 0.0) for class_index in slice_.levels]
        return [interface.SetTableEntry(slice_.number, owner, 1.0), *shut]
