"""A gate's decisions: which node serves a connection, which connections may write, and when they leave.

The module does no I/O: callers pass the time, and all other state is kept here.

The calls for one connection are `admit` (a node, or a refusal that says when to come back), `established`
once both ends are connected, `may_write` before each message, `message_written` after it, and `closed` at its
end. Orders of the controller arrive by `apply_changes` and `apply_plan`; `tick` says which connections to
release now.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from lapispass.core import release_policy, tables
from lapispass.core.admission import Admission, Refused
from lapispass.core.connections import ConnectionIndex, HeldConnection
from lapispass.core.limits import ReturnSlots
from lapispass.core.outstanding_answers import AnswerWait, OutstandingAnswers
from lapispass.core.plans import NO_VERSION, Plan, Version
from lapispass.core.shared_types import NEVER, ConnectionClass, DrainTerms, NodeId
from lapispass.core.write_barriers import WriteBarriers, WriteLease

MAX_DRAWS = 12  # random draws before all nodes are considered
MISPLACED_PER_TICK = 500  # misplaced connections that one tick examines
MAX_NODE_TRIES = 2  # nodes that a new connection without a key may be offered


class Unsupported(NamedTuple):
    """The connection cannot be held as requested, now or later."""

    why: str


class Admitted(NamedTuple):
    """The connection is admitted and is to be opened at this node."""

    node: NodeId
    slice: int | None


@dataclass
class Effects:
    """What the gate has to do after table changes."""

    # Connections that may not write any more, and whose node has to confirm what it has read.
    stopped: list[int] = field(default_factory=list)
    to_recheck: list[int] = field(default_factory=list)  # connections whose slice has an owner now
    acknowledged: list[int] = field(default_factory=list)  # barriers


class Steering:
    """The decisions of one gate about its held connections."""

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
        writes_from_us: int = 0,
        patience_us: int = DrainTerms().usable_us,
    ) -> None:
        """`writes_from_us`: no write is sent before, as nodes may work on those of an earlier process.
        `patience_us`: how long the release of a connection may take where no drain sets an end."""
        self.classes = tuple(classes)
        self.tables = tables.Tables(slices)
        self.connections, self.barriers = ConnectionIndex(), WriteBarriers()
        self.returns = ReturnSlots(10.0, *come_back_us, seed)
        self.admission = Admission(connections, new_per_s, burst, self.returns)
        self.lease: WriteLease | None = WriteLease(lease_us, early_us) if lease_us else None
        self.plan = Plan(NO_VERSION)
        self.opening: dict[NodeId, int] = {}  # admitted, but not established yet
        self.releasing: dict[NodeId, int] = {}  # being released, but still held
        # Connections that are bound to a slice with another owner now, in the order in which that happened.
        self.misplaced: dict[int, None] = {}
        self.last_number = 0
        self.writes_from_us, self.patience_us = writes_from_us, patience_us
        self.writable = not writes_from_us  # whether writes were allowed when that was last checked

    # new connections

    def class_of(self, path: str) -> ConnectionClass | None:
        """The first class in the operator's order whose prefix the path has."""
        return next((kind for kind in self.classes if path.startswith(kind.path_prefix)), None)

    def held_at(self, node: NodeId) -> int:
        return self.connections.count(node) + self.opening.get(node, 0)

    def admit(self, now: int, kind: ConnectionClass, key: str | None) -> Admitted | Refused | Unsupported:
        """Chooses the node of a new connection.

        The node counts the connection from now until `established` or `admission_failed`.
        """
        if kind.writes and key is None:  # Rule 2: without a key the owner of the writes is unknown.
            return Unsupported("a class that writes needs a key")
        if kind.writes and now < self.writes_from_us:
            return self.admission.refuse(
                now, "writes of an earlier process may not have ended", self.writes_from_us - now
            )
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
        """A node for a connection without a key: of two candidates, the one with more room.

        Candidates are drawn with a probability in proportion to the slices that they own. So the tables
        decide which nodes serve, and in what proportion; this choice only weighs the room in their
        allotments.
        """
        candidates: list[NodeId] = []
        # The owner of a random slice is drawn by its share of slices; the whole table is rarely needed.
        for _ in range(MAX_DRAWS):
            owner = self.tables.owner(int(self.returns.draw() * self.tables.slices))
            if (
                owner is None
                or owner in tried
                or owner in self.plan.ceilings
                or owner not in self.tables.nodes
            ):
                continue
            if not self.admission.wait_us(now, owner, self.held_at(owner)):
                candidates.append(owner)
                if len(candidates) == 2:
                    break
        if candidates:
            return self._admit_at(
                now, max(candidates, key=lambda node: self.admission.room(node, self.held_at(node))), None
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
        """An admitted connection was not established."""
        self._add(self.opening, node, -1)
        self.admission.give_back(node)

    @staticmethod
    def _add(counts: dict[NodeId, int], node: NodeId, by: int) -> None:
        counts[node] = counts.get(node, 0) + by
        if counts[node] <= 0:
            del counts[node]

    # held connections

    def established(
        self, now: int, kind: ConnectionClass, admitted: Admitted, key: str | None
    ) -> HeldConnection:
        """Both ends of an admitted connection are connected."""
        self._add(self.opening, admitted.node, -1)
        self.last_number += 1
        held = HeldConnection(self.last_number, kind, admitted.slice, admitted.node, now, now, key or "")
        self.connections.add(held)
        if self.is_misplaced(held):  # its slice moved while the connection was being opened
            self.misplaced[held.number] = None
        return held

    def closed(self, held: HeldConnection) -> list[int]:
        """The connection has ended, and nothing of it is under way. Returns barriers to acknowledge."""
        if held.releasing:
            self.cancel_release(held)
        self.connections.remove(held)
        self.misplaced.pop(held.number, None)
        self.barriers.confirm(held.number)
        return self.barriers.take_completed()

    def may_write(self, now: int, held: HeldConnection) -> bool:
        """Whether a message of the client may be sent to the node. To be called right before the write."""
        if not held.kind.writes:
            return True
        if not self.allows_writes(now):
            return False
        return held.slice is None or self.tables.may_write(held.slice, held.node)

    def allows_writes(self, now: int) -> bool:
        """Whether this gate may send writes at all."""
        return now >= self.writes_from_us and (self.lease is None or self.lease.allows_writes(now))

    def message_written(self, now: int, held: HeldConnection, octets: int, is_complete: bool = True) -> None:
        """A message of the client, or a part of it, has been sent to the node."""
        held.written += 1
        held.answers.message_sent(now, is_complete)
        held.count_message(now, octets)

    def message_received(self, now: int, held: HeldConnection, octets: int, is_complete: bool = True) -> None:
        """A message of the node, or a part of it, has come."""
        if is_complete:
            held.answers.message_received()
        held.count_message(now, octets)

    def may_owe_answer(self, now: int, held: HeldConnection) -> bool:
        """Whether the connection's node may still owe its client an answer."""
        return held.answers.may_be_owed(now, held.kind.answer_us)

    def wait_for_answers(
        self, now: int, held: HeldConnection, probe_interval_us: int, needs_proof: bool
    ) -> AnswerWait:
        """Begins to wait for what the connection's node may owe. No further message is sent to it."""
        answer_us = held.kind.answer_us
        return AnswerWait(held.answers, answer_us, self.patience_us, probe_interval_us, now, needs_proof)

    def leave_by(self, held: HeldConnection) -> int:
        """When a connection that is being released must have left its node."""
        ceiling = self.plan.ceilings.get(held.node)
        return held.leave_by_us if ceiling is None else min(held.leave_by_us, ceiling.deadline_us)

    def read_confirmed(self, held: HeldConnection, written: int) -> list[int]:
        """The node has read as many pieces as had been written when the connection was last stopped.

        Pieces written since, under a later table that allowed writes again, are not confirmed by this.
        Returns barriers to acknowledge.
        """
        held.read = max(held.read, written)
        self.barriers.confirm(held.number)
        return self.barriers.take_completed()

    def node_disconnected(self, held: HeldConnection) -> list[int]:
        """The connection to the node is cut, so nothing unsent can reach it. Returns barriers to acknowledge.

        What the node had received by then lives no longer than the write of a request, and the controller
        waits for that time after the last acknowledgement.
        """
        held.read, held.in_message = held.written, False
        self.barriers.confirm(held.number)
        return self.barriers.take_completed()

    def is_misplaced(self, held: HeldConnection) -> bool:
        """Whether the slice of a connection has another owner than its node, or none."""
        return held.slice is not None and self.tables.owner(held.slice) != held.node

    # moves

    def begin_release(self, now: int, held: HeldConnection, leave_by_us: int = NEVER) -> None:
        """A connection is to leave its node, by `leave_by_us` at the latest."""
        if not held.releasing:
            held.releasing, held.leave_by_us = True, now + self.patience_us
            self._add(self.releasing, held.node, 1)
        held.leave_by_us = min(held.leave_by_us, leave_by_us)

    def cancel_release(self, held: HeldConnection) -> None:
        """A connection is not being released any more, for example because its move failed."""
        if held.releasing:
            held.releasing = False
            self._add(self.releasing, held.node, -1)

    def move_target(self, now: int, held: HeldConnection) -> Admitted | Refused:
        """The node that a connection moves to: the owner of its slice, or any node with room."""
        if held.slice is None:
            return self.choose_node(now, (held.node,))
        owner = self.tables.owner(held.slice)
        if owner is None or owner == held.node or owner not in self.tables.nodes:
            return self.admission.refuse(now, "slice has no other owner yet")
        return self._admit_at(now, owner, held.slice)

    def moved(self, now: int, held: HeldConnection, admitted: Admitted) -> list[int]:
        """A connection is up at its new node, and the old one has read everything and closed."""
        self._add(self.opening, admitted.node, -1)
        self.cancel_release(held)
        self.connections.move(held, admitted.node)
        held.read, held.answers = held.written, OutstandingAnswers()
        self.misplaced.pop(held.number, None)
        self.barriers.confirm(held.number)
        return self.barriers.take_completed()

    # orders

    def apply_changes(self, changes: Iterable[tables.TableChange]) -> Effects:
        """Applies table changes and barriers in order.

        A writing connection that a change affects is stopped before any later barrier is recorded.
        """
        effects, to_recheck = Effects(), set()
        for change in changes:
            if isinstance(change, tables.BarrierRequest):
                self.barriers.request(change.barrier)
                continue
            for number in self.tables.apply(change):
                owner = self.tables.owner(number)
                for held in self.connections.of_slice(number):
                    stopped = held.kind.writes and not self.tables.may_write(number, held.node)
                    if stopped and (held.unconfirmed or held.in_message):
                        self.barriers.await_confirmation(held.number)
                        effects.stopped.append(held.number)
                    if owner is not None:
                        to_recheck.add(held.number)
                    if owner != held.node:
                        self.misplaced[held.number] = None
        effects.to_recheck = sorted(to_recheck)
        effects.acknowledged = self.barriers.take_completed()
        return effects

    def expire_lease(self, now: int) -> list[int]:
        """Connections whose writes stop because the lease has expired; each expiry is reported once."""
        was_writable, self.writable = self.writable, self.allows_writes(now)
        if self.writable or not was_writable:
            return []
        stopped = [
            held for held in self.connections if held.kind.writes and (held.unconfirmed or held.in_message)
        ]
        for held in stopped:
            self.barriers.await_confirmation(held.number)
        return [held.number for held in stopped]

    def lease_end(self) -> int:
        """When the controller assumes that this gate writes nothing any more."""
        return self.lease.expires_at if self.lease is not None else NEVER

    def apply_plan(self, now: int, plan: Plan) -> bool:
        """Adopts a plan if it is newer than the one in force, and returns whether it is."""
        if plan.version <= self.plan.version:
            return False
        self.plan = plan
        self.admission.allot(now, plan.allotted)
        self.returns.set(plan.returns_per_s, plan.come_back_least_us, plan.come_back_most_us)
        return True

    def tick(self, now: int, tick_us: int) -> list[release_policy.Release]:
        """The connections to release now.

        These are as many at each draining node as its ceiling demands, and bound connections whose slice has
        another owner.
        """
        releases: list[release_policy.Release] = []
        for node, ceiling in self.plan.ceilings.items():
            held = self.connections.count(node)
            count = release_policy.count_due(ceiling, now, tick_us, held, self.releasing.get(node, 0))
            if count:
                last = now + 2 * tick_us >= ceiling.deadline_us
                releases += release_policy.choose(self.connections.at_node(node), count, now, last)
        return releases + self.release_misplaced(now)

    def release_misplaced(self, now: int) -> list[release_policy.Release]:
        """Moves bound connections to the new owner of their slice, as fast as that node takes them.

        If their node is draining, its ceiling decides when they go. A connection whose client waits to
        write does not wait for that, because it is blocked already. The number examined per tick is limited,
        so that a large handover cannot stall the gate.
        """
        releases: list[release_policy.Release] = []
        demand: dict[NodeId, int] = {}
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
            demand[owner] = demand.get(owner, 0) + 1
            if self.admission.wait_us(now, owner, self.held_at(owner) + demand[owner] - 1):
                continue
            if not movable:  # its client comes back soon: counted at the node where it will connect
                self.admission.take(now, owner, self.held_at(owner))
            releases.append(release_policy.Release(number, "move" if movable else "close"))
        for number in [release.number for release in releases]:  # the others are examined first next time
            self.misplaced[number] = self.misplaced.pop(number)
        return releases

    def plan_version(self) -> Version:
        return self.plan.version

    def drains(self, now: int) -> dict[NodeId, int]:
        """The time left of each drain. A controller that has restarted continues the drains from it."""
        return {node: max(0, ceiling.deadline_us - now) for node, ceiling in self.plan.ceilings.items()}
