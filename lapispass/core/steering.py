"""A gate's decisions: where a connection goes, who may write, who leaves when. Pure: told the time, all
else kept here.

The life of a connection: `arrive` (a node, or a refusal with when to come back), `stand` once both ends are
up, `may_write` before each message, `touch` after it, `gone` at its end. Orders come by `apply` and
`follow`; `tick` says what is to go now.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from lapispass.core import release_policy, tables
from lapispass.core.admission import Admission, Refused
from lapispass.core.connections import ConnectionIndex, HeldConnection
from lapispass.core.limits import ReturnSlots
from lapispass.core.plans import NO_VERSION, Plan, Version
from lapispass.core.shared_types import NEVER, ConnectionClass, NodeId
from lapispass.core.write_barriers import WriteBarriers, WriteLease

MAX_DRAWS = 12  # before all nodes are looked at
MISPLACED_PER_TICK = 500  # looked at in one tick
MAX_NODE_TRIES = 2  # nodes that one arrival may be offered; only where no key binds it


class Unsupported(NamedTuple):
    """It can't be held as it was asked for, now or later."""

    why: str


class Admitted(NamedTuple):
    """Open it at this node."""

    node: NodeId
    slice: int | None


@dataclass
class Effects:
    """What a change asks of the front: connections to stop and prove, and marks that can be answered."""

    stopped: list[int] = field(default_factory=list)  # may write no more where they are
    to_recheck: list[int] = field(default_factory=list)  # their slice has an owner again: worth another look
    acknowledged: list[int] = field(default_factory=list)


class Steering:
    """One gate."""

    def __init__(
        self,
        classes: Iterable[ConnectionClass],
        slices: int,
        connections: int,
        new_per_s: float,
        burst: int,
        seed: int,
        lease_us: int,
        early_us: int,
        come_back_us: tuple[int, int],
    ) -> None:
        self.classes = tuple(classes)
        self.tables = tables.Tables(slices)
        self.connections, self.barriers = ConnectionIndex(), WriteBarriers()
        self.returns = ReturnSlots(10.0, *come_back_us, seed)
        self.admission = Admission(connections, new_per_s, burst, self.returns)
        self.lease: WriteLease | None = WriteLease(lease_us, early_us) if lease_us else None
        self.plan = Plan(NO_VERSION)
        self.opening: dict[NodeId, int] = {}  # admitted, not standing yet
        self.releasing: dict[NodeId, int] = {}  # told to go, still standing
        self.misplaced: dict[
            int, None
        ] = {}  # bound to a slice that someone else owns now, in the order they strayed
        self.last_number = 0
        self.writable = True  # as the lease was last seen

    # arrivals

    def class_of(self, path: str) -> ConnectionClass | None:
        """The first class in the operator's order whose prefix the path has."""
        return next((kind for kind in self.classes if path.startswith(kind.path_prefix)), None)

    def held_at(self, node: NodeId) -> int:
        return self.connections.count(node) + self.opening.get(node, 0)

    def admit(self, now: int, kind: ConnectionClass, key: str | None) -> Admitted | Refused | Unsupported:
        """Where a new connection goes. A node that is named has one place taken for it until `stand` or
        `fail`."""
        if kind.writes and key is None:  # Guards rule 2: whose writes these are could not be told.
            return Unsupported("a class that writes needs a key")
        self.connections.arrived += 1
        if refused := self.admission.gate_full(now, len(self.connections) + sum(self.opening.values())):
            return refused
        if key is not None:
            number = tables.slice_of(key, self.tables.slices)
            owner = self.tables.owner(number)
            if owner is None or owner not in self.tables.nodes:
                return self.admission.refuse(now, "slice has no owner at the moment")
            if self.returns.draw() >= self.tables.share(number):
                return self.admission.refuse(now, "share let in")
            return self._admit_at(now, owner, number)
        return self.choose_node(now, ())

    def choose_node(self, now: int, tried: Collection[NodeId]) -> Admitted | Refused:
        """A node for a connection that no key binds: of two drawn by the slices they own, the one with more
        room.

        Which nodes serve, and in what proportion, is the table's word; here only what the allotments leave
        is weighed.
        """
        found: list[NodeId] = []
        for _ in range(
            MAX_DRAWS
        ):  # a slice at random is an owner by its share; the whole table is rarely needed
            owner = self.tables.owner(int(self.returns.draw() * self.tables.slices))
            if (
                owner is None
                or owner in tried
                or owner in self.plan.ceilings
                or owner not in self.tables.nodes
            ):
                continue
            if not self.admission.wait_us(now, owner, self.held_at(owner)):
                found.append(owner)
                if len(found) == 2:
                    break
        if found:
            return self._admit_at(
                now, max(found, key=lambda node: self.admission.room(node, self.held_at(node))), None
            )
        serving = {
            node: count
            for node, count in self.tables.serving().items()
            if node not in tried and node not in self.plan.ceilings
        }
        if not serving:
            return self.admission.refuse(now, "no node serves")
        free = {
            node: count
            for node, count in serving.items()
            if not self.admission.wait_us(now, node, self.held_at(node))
        }
        if not free:
            soonest = min(self.admission.wait_us(now, node, self.held_at(node)) for node in serving)
            return self.admission.refuse(now, "nodes' pace" if soonest < NEVER else "nodes full", soonest)
        return self._admit_at(
            now, max(sorted(free), key=lambda node: self.admission.room(node, self.held_at(node))), None
        )

    def _admit_at(self, now: int, node: NodeId, number: int | None) -> Admitted | Refused:
        held = self.held_at(node)
        if not self.admission.take(now, node, held):
            wait = self.admission.wait_us(now, node, held)
            return self.admission.refuse(now, "node full" if wait >= NEVER else "node's pace", wait)
        self.opening[node] = self.opening.get(node, 0) + 1
        return Admitted(node, number)

    def admission_failed(self, node: NodeId) -> None:
        """An admitted one has not come to stand."""
        self._add(self.opening, node, -1)
        self.admission.give_back(node)

    @staticmethod
    def _add(counts: dict[NodeId, int], node: NodeId, by: int) -> None:
        counts[node] = counts.get(node, 0) + by
        if counts[node] <= 0:
            del counts[node]

    # what stands

    def established(self, now: int, kind: ConnectionClass, go: Admitted, key: str | None) -> HeldConnection:
        """Both ends are up."""
        self._add(self.opening, go.node, -1)
        self.last_number += 1
        held = HeldConnection(self.last_number, kind, go.slice, go.node, now, now, key or "")
        self.connections.add(held)
        return held

    def closed(self, held: HeldConnection) -> list[int]:
        """It has ended, and nothing of it is on its way any more; marks that waited for it alone."""
        if held.releasing:
            self.cancel_release(held)
        self.connections.remove(held)
        self.misplaced.pop(held.number, None)
        self.barriers.confirm(held.number)
        return self.barriers.take_completed()

    def may_write(self, now: int, held: HeldConnection) -> bool:
        """Whether a message of the screen may begin on its way to the node. Asked right before the write."""
        if not held.kind.writes:
            return True
        if self.lease is not None and not self.lease.allows_writes(now):
            return False
        return held.slice is None or self.tables.may_write(held.slice, held.node)

    def message_written(self, now: int, held: HeldConnection, octets: int) -> None:
        held.written, held.last_message_us = held.written + 1, now
        held.messages += 1
        held.octets += octets

    def read_confirmed(self, held: HeldConnection, written: int) -> list[int]:
        """Its node has read so many pieces, as many as there were when it was stopped; marks that can be
        answered now.

        What was written since, under a later table that allowed it again, is not proven by this.
        """
        held.read = max(held.read, written)
        self.barriers.confirm(held.number)
        return self.barriers.take_completed()

    def node_disconnected(self, held: HeldConnection) -> list[int]:
        """The way to its node is cut, so that nothing unsent can reach it; marks that can be answered now.

        What the node had received by then lives no longer than a visit's write does, and the controller
        waits for that behind the last answer.
        """
        held.read, held.in_message = held.written, False
        self.barriers.confirm(held.number)
        return self.barriers.take_completed()

    def is_misplaced(self, held: HeldConnection) -> bool:
        """Whether its slice is someone else's now, or nobody's."""
        return held.slice is not None and self.tables.owner(held.slice) != held.node

    # moves

    def begin_release(self, held: HeldConnection) -> None:
        if not held.releasing:
            held.releasing = True
            self._add(self.releasing, held.node, 1)

    def cancel_release(self, held: HeldConnection) -> None:
        """It was told to go and goes on where it is: a move came to nothing."""
        if held.releasing:
            held.releasing = False
            self._add(self.releasing, held.node, -1)

    def move_target(self, now: int, held: HeldConnection) -> Admitted | Refused:
        """Where one that is to move goes: its slice's owner, or any node with room."""
        if held.slice is None:
            return self.choose_node(now, (held.node,))
        owner = self.tables.owner(held.slice)
        if owner is None or owner == held.node or owner not in self.tables.nodes:
            return self.admission.refuse(now, "slice has no other owner yet")
        return self._admit_at(now, owner, held.slice)

    def moved(self, now: int, held: HeldConnection, go: Admitted) -> list[int]:
        """It stands at its new node, and the old one has read all and closed."""
        self._add(self.opening, go.node, -1)
        self.cancel_release(held)
        self.connections.move(held, go.node)
        held.read = held.written
        self.misplaced.pop(held.number, None)
        self.barriers.confirm(held.number)
        return self.barriers.take_completed()

    # orders

    def apply_changes(self, changes: Iterable[tables.TableChange]) -> Effects:
        """Table changes and marks, in order. A writer that a change concerns stops before any later mark is
        counted."""
        effects, freed = Effects(), set()
        for change in changes:
            if isinstance(change, tables.BarrierRequest):
                self.barriers.request(change.barrier)
                continue
            for number in self.tables.apply(change):
                owner = self.tables.owner(number)
                for held in self.connections.of_slice(number):
                    barred = held.kind.writes and not self.tables.may_write(number, held.node)
                    if barred and (held.unconfirmed or held.in_message):
                        self.barriers.await_confirmation(held.number)
                        effects.stopped.append(held.number)
                    if owner is not None:
                        freed.add(held.number)
                    if owner != held.node:
                        self.misplaced[held.number] = None
        effects.to_recheck = sorted(freed)
        effects.acknowledged = self.barriers.take_completed()
        return effects

    def expire_lease(self, now: int) -> list[int]:
        """Writers to stop because the controller has not been heard for too long; each lapse is told once."""
        if self.lease is None:
            return []
        held_before, self.writable = self.writable, self.lease.allows_writes(now)
        if self.writable or not held_before:
            return []
        stopped = [
            held for held in self.connections if held.kind.writes and (held.unconfirmed or held.in_message)
        ]
        for held in stopped:
            self.barriers.await_confirmation(held.number)
        return [held.number for held in stopped]

    def lease_end(self) -> int:
        """When the controller counts on nothing being written here any more."""
        return self.lease.expires_at if self.lease is not None else NEVER

    def apply_plan(self, now: int, plan: Plan) -> bool:
        """Takes a plan if it is newer than the one in force."""
        if plan.version <= self.plan.version:
            return False
        self.plan = plan
        self.admission.allot(now, plan.allotted)
        self.returns.set(plan.returns_per_s, plan.come_back_least_us, plan.come_back_most_us)
        return True

    def tick(self, now: int, tick_us: int) -> list[release_policy.Release]:
        """Who goes now: at nodes that leave as many as their ceiling asks; a bound one whose slice has
        moved on."""
        releases: list[release_policy.Release] = []
        for node, ceiling in self.plan.ceilings.items():
            standing = self.connections.count(node)
            count = release_policy.count_due(ceiling, now, tick_us, standing, self.releasing.get(node, 0))
            if count:
                last = now + 2 * tick_us >= ceiling.deadline_us
                releases += release_policy.choose(self.connections.at_node(node), count, now, last)
        return releases + self.release_misplaced(now)

    def release_misplaced(self, now: int) -> list[release_policy.Release]:
        """Bound connections whose slice has a new owner go after it, as fast as that one takes them.

        Where their node leaves anyway its ceiling says when; but one whose screen wants to write does not
        wait for that, since it is cut off already. Looks at so many a tick that a large handover cannot
        hold up the gate.
        """
        releases: list[release_policy.Release] = []
        wanted: dict[NodeId, int] = {}
        for number in list(self.misplaced)[:MISPLACED_PER_TICK]:
            held = self.connections.by_number.get(number)
            if held is None or held.slice is None or not self.is_misplaced(held):
                del self.misplaced[number]
                continue
            owner = self.tables.owner(held.slice)
            if (
                owner is None
                or held.releasing
                or held.in_message
                or (held.node in self.plan.ceilings and not held.write_blocked)
            ):
                continue
            movable = held.kind.movable and held.failed_moves <= 1
            wanted[owner] = wanted.get(owner, 0) + 1
            if self.admission.wait_us(now, owner, self.held_at(owner) + wanted[owner] - 1):
                continue
            if not movable:  # its screen comes back soon: counted where it will come
                self.admission.take(now, owner, self.held_at(owner))
            releases.append(release_policy.Release(number, "move" if movable else "close"))
        for number in [release.number for release in releases]:  # the others have their turn first next time
            self.misplaced[number] = self.misplaced.pop(number)
        return releases

    def plan_version(self) -> Version:
        return self.plan.version

    def drains(self, now: int) -> dict[NodeId, int]:
        """What is left of each drain's time: a controller that starts anew goes on with it."""
        return {node: max(0, ceiling.deadline_us - now) for node, ceiling in self.plan.ceilings.items()}
