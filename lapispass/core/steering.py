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
    freed: list[int] = field(default_factory=list)  # their slice has an owner again: worth another look
    answers: list[int] = field(default_factory=list)


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
        self.book, self.fences = ConnectionIndex(), WriteBarriers()
        self.returns = ReturnSlots(10.0, *come_back_us, seed)
        self.admission = Admission(connections, new_per_s, burst, self.returns)
        self.lease: WriteLease | None = WriteLease(lease_us, early_us) if lease_us else None
        self.plan = Plan(NO_VERSION)
        self.coming: dict[NodeId, int] = {}  # admitted, not standing yet
        self.going: dict[NodeId, int] = {}  # told to go, still standing
        self.strayed: dict[
            int, None
        ] = {}  # bound to a slice that someone else owns now, in the order they strayed
        self.number = 0
        self.writable = True  # as the lease was last seen

    # arrivals

    def class_of(self, path: str) -> ConnectionClass | None:
        """The first class in the operator's order whose prefix the path has."""
        return next((kind for kind in self.classes if path.startswith(kind.path_prefix)), None)

    def held_at(self, node: NodeId) -> int:
        return self.book.count(node) + self.coming.get(node, 0)

    def arrive(self, now: int, kind: ConnectionClass, key: str | None) -> Admitted | Refused | Unsupported:
        """Where a new connection goes. A node that is named has one place taken for it until `stand` or
        `fail`."""
        if kind.writes and key is None:  # Guards rule 2: whose writes these are could not be told.
            return Unsupported("a class that writes needs a key")
        self.book.arrived += 1
        if refused := self.admission.gate_full(now, len(self.book) + sum(self.coming.values())):
            return refused
        if key is not None:
            number = tables.slice_of(key, self.tables.slices)
            owner = self.tables.owner(number)
            if owner is None or owner not in self.tables.nodes:
                return self.admission.refused(now, "slice has no owner at the moment")
            if self.returns.draw() >= self.tables.share(number):
                return self.admission.refused(now, "share let in")
            return self._enter(now, owner, number)
        return self.place(now, ())

    def place(self, now: int, tried: Collection[NodeId]) -> Admitted | Refused:
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
            return self._enter(
                now, max(found, key=lambda node: self.admission.room(node, self.held_at(node))), None
            )
        serving = {
            node: count
            for node, count in self.tables.serving().items()
            if node not in tried and node not in self.plan.ceilings
        }
        if not serving:
            return self.admission.refused(now, "no node serves")
        free = {
            node: count
            for node, count in serving.items()
            if not self.admission.wait_us(now, node, self.held_at(node))
        }
        if not free:
            soonest = min(self.admission.wait_us(now, node, self.held_at(node)) for node in serving)
            return self.admission.refused(now, "nodes' pace" if soonest < NEVER else "nodes full", soonest)
        return self._enter(
            now, max(sorted(free), key=lambda node: self.admission.room(node, self.held_at(node))), None
        )

    def _enter(self, now: int, node: NodeId, number: int | None) -> Admitted | Refused:
        held = self.held_at(node)
        if not self.admission.take(now, node, held):
            wait = self.admission.wait_us(now, node, held)
            return self.admission.refused(now, "node full" if wait >= NEVER else "node's pace", wait)
        self.coming[node] = self.coming.get(node, 0) + 1
        return Admitted(node, number)

    def fail(self, node: NodeId) -> None:
        """An admitted one has not come to stand."""
        self._count(self.coming, node, -1)
        self.admission.give_back(node)

    @staticmethod
    def _count(counts: dict[NodeId, int], node: NodeId, by: int) -> None:
        counts[node] = counts.get(node, 0) + by
        if counts[node] <= 0:
            del counts[node]

    # what stands

    def stand(self, now: int, kind: ConnectionClass, go: Admitted, key: str | None) -> HeldConnection:
        """Both ends are up."""
        self._count(self.coming, go.node, -1)
        self.number += 1
        held = HeldConnection(self.number, kind, go.slice, go.node, now, now, key or "")
        self.book.add(held)
        return held

    def gone(self, held: HeldConnection) -> list[int]:
        """It has ended, and nothing of it is on its way any more; marks that waited for it alone."""
        if held.leaving:
            self.stay(held)
        self.book.remove(held)
        self.strayed.pop(held.number, None)
        self.fences.prove(held.number)
        return self.fences.answers()

    def may_write(self, now: int, held: HeldConnection) -> bool:
        """Whether a message of the screen may begin on its way to the node. Asked right before the write."""
        if not held.kind.writes:
            return True
        if self.lease is not None and not self.lease.holds(now):
            return False
        return held.slice is None or self.tables.may_write(held.slice, held.node)

    def wrote(self, now: int, held: HeldConnection, octets: int) -> None:
        held.written, held.last_us = held.written + 1, now
        held.messages += 1
        held.octets += octets

    def proven(self, held: HeldConnection, written: int) -> list[int]:
        """Its node has read so many pieces, as many as there were when it was stopped; marks that can be
        answered now.

        What was written since, under a later table that allowed it again, is not proven by this.
        """
        held.read = max(held.read, written)
        self.fences.prove(held.number)
        return self.fences.answers()

    def cut(self, held: HeldConnection) -> list[int]:
        """The way to its node is cut, so that nothing unsent can reach it; marks that can be answered now.

        What the node had received by then lives no longer than a visit's write does, and the controller
        waits for that behind the last answer.
        """
        held.read, held.inside = held.written, False
        self.fences.prove(held.number)
        return self.fences.answers()

    def misplaced(self, held: HeldConnection) -> bool:
        """Whether its slice is someone else's now, or nobody's."""
        return held.slice is not None and self.tables.owner(held.slice) != held.node

    # moves

    def leave(self, held: HeldConnection) -> None:
        if not held.leaving:
            held.leaving = True
            self._count(self.going, held.node, 1)

    def stay(self, held: HeldConnection) -> None:
        """It was told to go and goes on where it is: a move came to nothing."""
        if held.leaving:
            held.leaving = False
            self._count(self.going, held.node, -1)

    def target(self, now: int, held: HeldConnection) -> Admitted | Refused:
        """Where one that is to move goes: its slice's owner, or any node with room."""
        if held.slice is None:
            return self.place(now, (held.node,))
        owner = self.tables.owner(held.slice)
        if owner is None or owner == held.node or owner not in self.tables.nodes:
            return self.admission.refused(now, "slice has no other owner yet")
        return self._enter(now, owner, held.slice)

    def moved(self, now: int, held: HeldConnection, go: Admitted) -> list[int]:
        """It stands at its new node, and the old one has read all and closed."""
        self._count(self.coming, go.node, -1)
        self.stay(held)
        self.book.move(held, go.node)
        held.read = held.written
        self.strayed.pop(held.number, None)
        self.fences.prove(held.number)
        return self.fences.answers()

    # orders

    def apply(self, changes: Iterable[tables.TableChange]) -> Effects:
        """Table changes and marks, in order. A writer that a change concerns stops before any later mark is
        counted."""
        effects, freed = Effects(), set()
        for change in changes:
            if isinstance(change, tables.BarrierRequest):
                self.fences.ask(change.mark)
                continue
            for number in self.tables.apply(change):
                owner = self.tables.owner(number)
                for held in self.book.of_slice(number):
                    barred = held.kind.writes and not self.tables.may_write(number, held.node)
                    if barred and (held.unproven or held.inside):
                        self.fences.stop(held.number)
                        effects.stopped.append(held.number)
                    if owner is not None:
                        freed.add(held.number)
                    if owner != held.node:
                        self.strayed[held.number] = None
        effects.freed = sorted(freed)
        effects.answers = self.fences.answers()
        return effects

    def expired(self, now: int) -> list[int]:
        """Writers to stop because the controller has not been heard for too long; each lapse is told once."""
        if self.lease is None:
            return []
        held_before, self.writable = self.writable, self.lease.holds(now)
        if self.writable or not held_before:
            return []
        stopped = [held for held in self.book if held.kind.writes and (held.unproven or held.inside)]
        for held in stopped:
            self.fences.stop(held.number)
        return [held.number for held in stopped]

    def lease_ends(self) -> int:
        """When the controller counts on nothing being written here any more."""
        return self.lease.until if self.lease is not None else NEVER

    def follow(self, now: int, plan: Plan) -> bool:
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
            standing = self.book.count(node)
            count = release_policy.count_due(ceiling, now, tick_us, standing, self.going.get(node, 0))
            if count:
                last = now + 2 * tick_us >= ceiling.deadline_us
                releases += release_policy.choose(self.book.at(node), count, now, last)
        return releases + self.follow_slices(now)

    def follow_slices(self, now: int) -> list[release_policy.Release]:
        """Bound connections whose slice has a new owner go after it, as fast as that one takes them.

        Where their node leaves anyway its ceiling says when; but one whose screen wants to write does not
        wait for that, since it is cut off already. Looks at so many a tick that a large handover cannot
        hold up the gate.
        """
        releases: list[release_policy.Release] = []
        wanted: dict[NodeId, int] = {}
        for number in list(self.strayed)[:MISPLACED_PER_TICK]:
            held = self.book.by_number.get(number)
            if held is None or held.slice is None or not self.misplaced(held):
                del self.strayed[number]
                continue
            owner = self.tables.owner(held.slice)
            if (
                owner is None
                or held.leaving
                or held.inside
                or (held.node in self.plan.ceilings and not held.waiting)
            ):
                continue
            movable = held.kind.movable and held.moves_failed <= 1
            wanted[owner] = wanted.get(owner, 0) + 1
            if self.admission.wait_us(now, owner, self.held_at(owner) + wanted[owner] - 1):
                continue
            if not movable:  # its screen comes back soon: counted where it will come
                self.admission.take(now, owner, self.held_at(owner))
            releases.append(release_policy.Release(number, "move" if movable else "close"))
        for number in [release.number for release in releases]:  # the others have their turn first next time
            self.strayed[number] = self.strayed.pop(number)
        return releases

    def plan_version(self) -> Version:
        return self.plan.version

    def drains(self, now: int) -> dict[NodeId, int]:
        """What is left of each drain's time: a controller that starts anew goes on with it."""
        return {node: max(0, ceiling.deadline_us - now) for node, ceiling in self.plan.ceilings.items()}
