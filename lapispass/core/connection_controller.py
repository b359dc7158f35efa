"""The controller's part for held connections: books of all gates, costs, drains, and a plan for each gate.

Pure. Told what gates report and how the deciding module sees the nodes, it says what each gate may hold
where, and what the held connections weigh as load, which goes back to the module as an event. Its memory is
the gates': each tells, when it joins, what it holds and how much of each drain's time is left, so a
controller that starts anew goes on.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lapispass.core import drain
from lapispass.core.admission import Allotment, Demand, Intake
from lapispass.core.costs import CostEstimator
from lapispass.core.plans import NO_VERSION, Ceiling, Curve, Plan, Version
from lapispass.core.shared_types import SECOND, Bounds, ConnectionClass, DrainTerms, NodeId, NodeView

REPLAN_US = 1 * SECOND  # where nothing has changed but counts and warmth
SETTLE_US = 3 * SECOND  # after a start: probes may still be out
GATE_RETENTION_US = (
    5 * SECOND
)  # what a gate held that is gone counts for so long; its screens are on their way back
RETURN_SHARE = (
    0.5  # of what nodes take in: screens that were told when to come back; the rest comes by itself
)


@dataclass(slots=True)
class ReportedCounts:
    """What a gate tells of one class at one node."""

    held: int
    opened: int = 0
    messages: int = 0
    octets: int = 0


@dataclass
class GateState:
    """One gate, as last reported."""

    name: str
    zone: str
    connected: bool = True
    disconnected_at: int = 0
    reported_at: int = 0
    serial: int = -1
    rows: dict[NodeId, dict[str, ReportedCounts]] = field(default_factory=dict)
    arrival_rates: dict[NodeId, float] = field(default_factory=dict)  # new ones a second, faded
    refused: float = 0.0
    last_plan: Plan = field(default_factory=lambda: Plan(NO_VERSION))

    def held(self, node: NodeId) -> int:
        return sum(row.held for row in self.rows.get(node, {}).values())


@dataclass
class ControllerOutput:
    """What follows from a look."""

    plans: dict[str, Plan] = field(default_factory=dict)
    loads: dict[NodeId, float] = field(default_factory=dict)  # visits a second, where it has changed
    notes: list[str] = field(default_factory=list)


class ConnectionController:
    """One controller's view of all held connections."""

    def __init__(
        self, classes: Iterable[ConnectionClass], bounds: Bounds, terms: DrainTerms, now: int
    ) -> None:
        self.classes = {kind.name: kind for kind in classes}
        self.terms, self.intake = terms, Intake(bounds)
        self.costs = CostEstimator(
            list(self.classes), {name: kind.start_cost for name, kind in self.classes.items()}
        )
        self.gates: dict[str, GateState] = {}
        self.nodes: dict[NodeId, NodeView] = {}
        self.drains: dict[NodeId, int] = {}  # deadlines, of nodes that leave now
        self.inherited_drains: dict[
            NodeId, int
        ] = {}  # deadlines that gates still know, of nodes not seen to leave yet
        self.incarnation, self.plan_number = now, 0
        self.started_at, self.planned_at, self.replan_needed = now, 0, True
        self.loads: dict[NodeId, float] = {}
        self.forecast = drain.DrainForecast()

    # what gates tell

    def gate_joined(
        self, now: int, gate: str, zone: str, version: Version, left_us: Mapping[NodeId, int]
    ) -> None:
        """A gate's stream stands. What is left of its drains is kept to; a plan of a later life than ours
        is outdone."""
        book = self.gates.setdefault(gate, GateState(gate, zone))
        book.zone, book.connected, book.serial, book.reported_at = zone, True, -1, now
        book.last_plan = Plan(NO_VERSION)
        if (
            version.incarnation >= self.incarnation
        ):  # Guards against a clock that went back between two lives.
            self.incarnation, self.plan_number = version.incarnation + 1, 0
        for node, left in left_us.items():
            deadline = now + left
            known = self.drains if node in self.drains else self.inherited_drains
            known[node] = min(known.get(node, deadline), deadline)
        self.replan_needed = True

    def gate_left(self, now: int, gate: str) -> None:
        """Its stream ended; what it held counts for a while, then it is forgotten."""
        if book := self.gates.get(gate):
            book.connected, book.disconnected_at = False, now

    def report_received(
        self, now: int, gate: str, serial: int, rows: Mapping[NodeId, Mapping[str, ReportedCounts]]
    ) -> None:
        """All that a gate holds, and what passed since its last report. An older report than the last is
        left out."""
        book = self.gates.get(gate)
        if book is None or serial <= book.serial:
            return
        took = max(SECOND // 100, now - book.reported_at)
        book.serial, book.reported_at = serial, now
        book.rows = {node: dict(by_class) for node, by_class in rows.items()}
        fade = 0.5 ** (took / (4 * SECOND))
        for node in book.arrival_rates.keys() | rows.keys():
            opened = sum(row.opened for row in rows.get(node, {}).values())
            rate = book.arrival_rates.get(node, 0.0) * fade + (1 - fade) * opened * SECOND / took
            book.arrival_rates[node] = rate
            if rate < 0.001 and node not in rows:
                del book.arrival_rates[node]
        for name in self.classes:
            held = sum(by_class[name].held for by_class in rows.values() if name in by_class)
            passed = sum(by_class[name].messages for by_class in rows.values() if name in by_class)
            self.costs.observe_messages(name, held, passed * SECOND / took)

    # what the module tells

    def update_nodes(self, now: int, views: Iterable[NodeView]) -> None:
        """How the module sees the nodes now. A change of state is planned for at once."""
        nodes = {view.node: view for view in views}
        if {node: view.state for node, view in nodes.items()} != {n: v.state for n, v in self.nodes.items()}:
            self.replan_needed = True
        self.nodes = nodes
        for node, view in nodes.items():
            if view.draining and node not in self.drains:
                self.drains[node] = self.inherited_drains.pop(node, now + self.terms.usable_us)
            elif not view.draining:
                self.drains.pop(node, None)  # called off, or it is back: what is still there stays
        for node in self.drains.keys() - nodes.keys():
            del self.drains[node]
        if now > self.started_at + SETTLE_US:
            self.inherited_drains.clear()  # drains that only gates knew of, and the list does not
        for view in nodes.values():
            if view.utilization:
                self.costs.observe(
                    view.utilization,
                    view.requests_per_s,
                    self.held_by_class(view.node),
                    view.weight or 1.0,
                    view.accepts_connections and view.warmth(now, self.intake.bounds) >= 1,
                )

    # books

    def held_by_class(self, node: NodeId) -> dict[str, int]:
        """All gates together."""
        sums: dict[str, int] = {}
        for book in self.gates.values():
            for name, row in book.rows.get(node, {}).items():
                sums[name] = sums.get(name, 0) + row.held
        return sums

    def held(self) -> dict[NodeId, int]:
        """All classes and gates together."""
        sums: dict[NodeId, int] = {}
        for book in self.gates.values():
            for node, by_class in book.rows.items():
                sums[node] = sums.get(node, 0) + sum(row.held for row in by_class.values())
        return sums

    def by_zone(self) -> dict[str, int]:
        sums: dict[str, int] = {}
        for node, count in self.held().items():
            zone = self.nodes[node].zone if node in self.nodes else ""
            sums[zone] = sums.get(zone, 0) + count
        return sums

    def load(self, node: NodeView, now: int, usual: float) -> float:
        """What a node holds as visits a second: its work, or the part of its places that is taken, if that
        is more.

        The second is for quiet screens: a node whose places are all taken can take no screen of a further
        slice, however little work it has.
        """
        held = self.held_by_class(node.node)
        most = max(1, self.intake.max_held(now, node))
        able = (self.costs.capacity() or usual) * (node.weight or 1.0)
        return max(self.costs.load(held), able * min(1.0, sum(held.values()) / most))

    # looks

    def evaluate(self, now: int) -> ControllerOutput:
        """Called often; plans are made when something has changed, and else once a second."""
        orders = ControllerOutput()
        for name in [
            n
            for n, b in self.gates.items()
            if not b.connected and now > b.disconnected_at + GATE_RETENTION_US
        ]:
            del self.gates[name]
            self.replan_needed = True
        paces = [view.requests_per_s for view in self.nodes.values() if view.requests_per_s]
        usual = sum(paces) / len(paces) if paces else 1.0
        for node, view in self.nodes.items():
            load = round(self.load(view, now, usual), 2)
            old = self.loads.get(node, 0.0)
            if abs(load - old) > 0.05 * max(old, 1.0):
                self.loads[node] = orders.loads[node] = load
        for node in self.loads.keys() - self.nodes.keys():
            del self.loads[node]
        if self.settled(now) and (self.replan_needed or now >= self.planned_at + REPLAN_US):
            self.replan_needed, self.planned_at = False, now
            self.make_plans(now, orders)
        return orders

    def settled(self, now: int) -> bool:
        """Whether enough is known: what a start has not heard of yet is no reason to refuse anyone."""
        states = {view.state for view in self.nodes.values()}
        known = states & {
            "ready",
            "out",
            "ill",
        }  # where all leave at once, nobody is ready, and drains are kept all the same
        return bool(known) and ("unproven" not in states or now > self.started_at + SETTLE_US)

    def make_plans(self, now: int, orders: ControllerOutput) -> None:
        """A plan for each gate that stands; one that says what stands already is not sent again."""
        standing = [book for book in self.gates.values() if book.connected]
        if not standing:
            return
        held = self.held()
        full = {node: self.free_share(view) for node, view in self.nodes.items()}
        leaving = [
            drain.DrainingNode(
                node,
                max(deadline, now + SECOND // 10),
                {book.name: count for book in standing if (count := self.remaining(now, book, node))},
            )
            for node, deadline in sorted(self.drains.items())
        ]
        ceilings, outlook = drain.plan(now, leaving, list(self.nodes.values()), held, self.intake, full)
        for node in leaving:  # empty or not, nobody goes there any more
            for book in standing:
                ceilings.setdefault(book.name, {}).setdefault(
                    node.node, Ceiling(Curve(((now, 0.0),), node.deadline_us), 0, 0.0)
                )
        if outlook.connections and (outlook.connections, outlook.overflow) != (
            self.forecast.connections,
            self.forecast.overflow,
        ):
            orders.notes.append(
                f"{len(leaving)} nodes leave with {outlook.connections} connections, "
                f"{outlook.peak_per_s:.1f}/s at most of {outlook.intake_per_s:.1f}/s, "
                f"{outlook.overflow} come back later than the grace"
            )
        self.forecast = outlook
        allotted = self.allot(now, standing, full)
        returns = self.return_rates(now, standing)
        self.plan_number += 1
        for book in standing:
            new = Plan(
                Version(self.incarnation, self.plan_number),
                ceilings.get(book.name, {}),
                allotted.get(book.name, {}),
                returns[book.name],
                self.terms.come_back_least_us,
                self.terms.come_back_most_us,
                frozenset(node for node, view in self.nodes.items() if view.state == "gone"),
            )
            if not close_enough(book.last_plan, new, now):
                book.last_plan = orders.plans[book.name] = new

    def remaining(self, now: int, book: GateState, node: NodeId) -> int:
        """What a gate holds at a node that leaves, as its plan has it by now.

        Guards against a drain that slows down with each plan: reports are late, and a line that began anew
        at the count they tell would lie above what stands, so that nobody went until it had sunk to that.
        """
        held = book.held(node)
        line = book.last_plan.ceilings.get(node)
        return held if line is None else min(held, line.at(now))

    def free_share(self, view: NodeView) -> float:
        """The part of a node that its visits leave to connections; a tenth at least, while speeds are only
        learned."""
        able = self.costs.capacity() * (view.weight or 1.0)
        return max(0.1, 1 - view.requests_per_s / able) if able else 1.0

    def allot(
        self, now: int, standing: list[GateState], full: Mapping[NodeId, float]
    ) -> dict[str, dict[NodeId, Allotment]]:
        """Each node shared out among the gates, by what they hold, what comes to them, and what they must
        let go."""
        letting_go = {
            book.name: sum(
                book.held(node) * SECOND / max(SECOND, deadline - now)
                for node, deadline in self.drains.items()
            )
            for book in standing
        }
        shares: dict[str, dict[NodeId, Allotment]] = {}
        takers = max(1, sum(view.accepts_connections for view in self.nodes.values()))
        gone = [book for book in self.gates.values() if not book.connected]
        for node, view in self.nodes.items():
            if view.draining or view.state in ("gone", "past"):
                continue
            demands = {
                book.name: Demand(
                    book.held(node), book.arrival_rates.get(node, 0.0) + letting_go[book.name] / takers
                )
                for book in standing
            }
            kept = sum(book.held(node) for book in gone)  # Guards rule 4: they may stand there still
            for gate, part in self.intake.allot(now, view, demands, full.get(node, 1.0), kept).items():
                shares.setdefault(gate, {})[node] = part
        return shares

    def return_rates(self, now: int, standing: list[GateState]) -> dict[str, float]:
        """How many screens a second each gate may ask back."""
        together = RETURN_SHARE * sum(self.intake.new_per_s(now, view) for view in self.nodes.values())
        weights = {book.name: 1.0 + sum(book.held(node) for node in book.rows) for book in standing}
        return {name: max(0.1, together * weight / sum(weights.values())) for name, weight in weights.items()}


def close_enough(old: Plan, new: Plan, now: int) -> bool:
    """Whether a gate that has the old plan would do the same under the new one, within a twentieth.

    Times of a drain that goes as planned come out the same each time, but for rounding: what counts is the
    deadline, and the ceiling now and half way to it.
    """
    if (
        old.version == NO_VERSION
        or old.dead != new.dead
        or old.ceilings.keys() != new.ceilings.keys()
        or (old.allotted.keys() != new.allotted.keys())
    ):
        return False
    for node, ceiling in new.ceilings.items():
        before, middle = old.ceilings[node], (now + ceiling.deadline_us) // 2
        if abs(before.deadline_us - ceiling.deadline_us) > SECOND // 10:
            return False
        if any(abs(before.at(at) - ceiling.at(at)) > 2 + ceiling.at(now) // 20 for at in (now, middle)):
            return False
    for node, part in new.allotted.items():
        had = old.allotted[node]
        if (
            not _near(had.held, part.held)
            or not _near(had.new_per_s, part.new_per_s)
            or had.burst != part.burst
        ):
            return False
    return _near(old.returns_per_s, new.returns_per_s)


def _near(old: float, new: float) -> bool:
    return abs(old - new) <= 0.05 * max(abs(old), abs(new))
