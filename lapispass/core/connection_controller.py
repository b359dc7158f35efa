"""The connection controller: steers the held connections of all gates by a plan for each gate.

It does no I/O. From the reports of the gates and the controller module's view of the nodes it derives what
each gate may hold at each node, and the load of the held connections, which goes back to the controller
module as an event. It stores nothing: each gate reports when it joins what it holds and how much time each
drain has left, so a restarted controller continues from there.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lapispass.core import drain
from lapispass.core.admission import Allotment, Demand, Intake
from lapispass.core.costs import CostEstimator
from lapispass.core.plans import NO_VERSION, Ceiling, Curve, Plan, Version
from lapispass.core.shared_types import SECOND, Bounds, ConnectionClass, DrainTerms, NodeId, NodeView

REPLAN_US = 1 * SECOND  # interval of plans while only counts and the warm-up of nodes change
SETTLE_US = 3 * SECOND  # after a start, because probes may still be under way
# How long the connections of a gate that left are still counted, while its clients are coming back.
GATE_RETENTION_US = 5 * SECOND
# The share of the nodes' intake for clients that were asked to come back at a given time. The rest is for
# clients that connect on their own.
RETURN_SHARE = 0.5
USABLE_STATES = ("ready", "unproven", "unhealthy")  # of a node that is listed as running


@dataclass(slots=True)
class ReportedCounts:
    """What a gate reports of one class at one node."""

    held: int
    opened: int = 0
    messages: int = 0
    octets: int = 0


@dataclass
class GateState:
    """The state of one gate by its last report."""

    name: str
    zone: str
    connected: bool = True
    disconnected_at: int = 0
    reported_at: int = 0
    serial: int = -1
    rows: dict[NodeId, dict[str, ReportedCounts]] = field(default_factory=dict)
    arrival_rates: dict[NodeId, float] = field(default_factory=dict)  # new connections/s, decaying average
    refused: float = 0.0
    last_plan: Plan = field(default_factory=lambda: Plan(NO_VERSION))

    def held(self, node: NodeId) -> int:
        return sum(row.held for row in self.rows.get(node, {}).values())


@dataclass
class ControllerOutput:
    """The result of an evaluation."""

    plans: dict[str, Plan] = field(default_factory=dict)
    loads: dict[NodeId, float] = field(default_factory=dict)  # requests/s, only where it has changed
    notes: list[str] = field(default_factory=list)


class ConnectionController:
    """Plans the held connections of all gates of one controller."""

    def __init__(
        self, classes: Iterable[ConnectionClass], bounds: Bounds, terms: DrainTerms, now: int
    ) -> None:
        self.classes = {kind.name: kind for kind in classes}
        self.terms, self.intake = terms, Intake(bounds)
        self.longest_answer_us = max((kind.answer_us for kind in self.classes.values()), default=0)
        self.costs = CostEstimator(
            list(self.classes), {name: kind.start_cost for name, kind in self.classes.items()}
        )
        self.gates: dict[str, GateState] = {}
        self.nodes: dict[NodeId, NodeView] = {}
        self.drains: dict[NodeId, int] = {}  # node: deadline, for nodes that are draining now
        # node: deadline that a gate reported, for nodes that are not known to drain yet
        self.inherited_drains: dict[NodeId, int] = {}
        self.incarnation, self.plan_number = now, 0
        self.started_at, self.planned_at, self.replan_needed = now, 0, True
        self.loads: dict[NodeId, float] = {}
        self.forecast = drain.DrainForecast()

    # reports of gates

    def gate_joined(
        self, now: int, gate: str, zone: str, version: Version, left_us: Mapping[NodeId, int]
    ) -> None:
        """A gate's stream is established.

        The time left of its drains is respected. If the gate has a plan of a later incarnation, this
        controller adopts a still later one.
        """
        state = self.gates.setdefault(gate, GateState(gate, zone))
        state.zone, state.connected, state.serial, state.reported_at = zone, True, -1, now
        state.last_plan = Plan(NO_VERSION)
        # Otherwise, if the clock went back between two incarnations, the gate would reject new plans as old.
        if version.incarnation >= self.incarnation:
            self.incarnation, self.plan_number = version.incarnation + 1, 0
        for node, left in left_us.items():
            deadline = now + left
            known = self.drains if node in self.drains else self.inherited_drains
            known[node] = min(known.get(node, deadline), deadline)
        self.replan_needed = True

    def gate_left(self, now: int, gate: str) -> None:
        """The gate's stream has ended. What it held counts for a while longer; then the gate is removed."""
        if state := self.gates.get(gate):
            state.connected, state.disconnected_at = False, now

    def report_received(
        self, now: int, gate: str, serial: int, rows: Mapping[NodeId, Mapping[str, ReportedCounts]]
    ) -> None:
        """Takes in a report: all that a gate holds, and what passed since its last report.

        A report that is not newer than the last one is ignored.
        """
        state = self.gates.get(gate)
        if state is None or serial <= state.serial:
            return
        elapsed = max(SECOND // 100, now - state.reported_at)
        state.serial, state.reported_at = serial, now
        state.rows = {node: dict(by_class) for node, by_class in rows.items()}
        decay = 0.5 ** (elapsed / (4 * SECOND))
        for node in state.arrival_rates.keys() | rows.keys():
            opened = sum(row.opened for row in rows.get(node, {}).values())
            rate = state.arrival_rates.get(node, 0.0) * decay + (1 - decay) * opened * SECOND / elapsed
            state.arrival_rates[node] = rate
            if rate < 0.001 and node not in rows:
                del state.arrival_rates[node]
        for name in self.classes:
            held = sum(by_class[name].held for by_class in rows.values() if name in by_class)
            messages = sum(by_class[name].messages for by_class in rows.values() if name in by_class)
            self.costs.observe_messages(name, held, messages * SECOND / elapsed)

    # the view of the controller module

    def update_nodes(self, now: int, views: Iterable[NodeView]) -> None:
        """Takes in the current view of all nodes. A change of state leads to a new plan at once."""
        nodes = {view.node: view for view in views}
        if {node: view.state for node, view in nodes.items()} != {n: v.state for n, v in self.nodes.items()}:
            self.replan_needed = True
        self.nodes = nodes
        for node, view in nodes.items():
            if view.state in USABLE_STATES:
                # The drain was cancelled or the node is back: connections that are left there stay.
                self.drains.pop(node, None)
            elif node not in self.drains and (view.draining or node in self.inherited_drains):
                self.drains[node] = self.inherited_drains.pop(node, now + self.terms.usable_us)
        self.forget_unlisted_drains(now)
        if now > self.started_at + SETTLE_US:
            # Only gates reported these drains; by now the nodes would be listed as draining.
            self.inherited_drains.clear()
        for view in nodes.values():
            if view.utilization:
                self.costs.observe(
                    view.utilization,
                    view.requests_per_s,
                    self.held_by_class(view.node),
                    view.weight or 1.0,
                    view.accepts_connections and view.warmth(now, self.intake.bounds) >= 1,
                )

    def drain_unlisted(self, now: int, held: Mapping[NodeId, int]) -> None:
        """Has connections leave nodes that are not listed any more as if these had been told to drain."""
        for node, count in held.items():
            if count and node not in self.nodes and node not in self.drains:
                self.drains[node] = self.inherited_drains.pop(node, now + self.terms.usable_us)

    def forget_unlisted_drains(self, now: int) -> None:
        """Forgets drains of nodes that are not listed any more once their time is over and nothing is held
        there."""
        over = [node for node, deadline in self.drains.items() if node not in self.nodes and now >= deadline]
        if not over:
            return
        held = self.held()
        for node in over:
            if not held.get(node):
                del self.drains[node]

    # sums over gates

    def held_by_class(self, node: NodeId) -> dict[str, int]:
        """The connections at a node by class, over all gates."""
        sums: dict[str, int] = {}
        for gate in self.gates.values():
            for name, row in gate.rows.get(node, {}).items():
                sums[name] = sums.get(name, 0) + row.held
        return sums

    def held(self) -> dict[NodeId, int]:
        """The connections at each node, over all classes and gates."""
        sums: dict[NodeId, int] = {}
        for gate in self.gates.values():
            for node, by_class in gate.rows.items():
                sums[node] = sums.get(node, 0) + sum(row.held for row in by_class.values())
        return sums

    def by_zone(self) -> dict[str, int]:
        sums: dict[str, int] = {}
        for node, count in self.held().items():
            zone = self.nodes[node].zone if node in self.nodes else ""
            sums[zone] = sums.get(zone, 0) + count
        return sums

    def load(self, node: NodeView, now: int, default_rate: float) -> float:
        """The load of a node's held connections in requests/s.

        This is the work that they cause, or the occupied share of the node's connection limit, whichever is
        more. The second term matters for idle clients: a node at its connection limit cannot take the clients
        of another slice, however little work it has.
        """
        held = self.held_by_class(node.node)
        limit = max(1, self.intake.max_held(now, node))
        capacity = (self.costs.capacity() or default_rate) * (node.weight or 1.0)
        return max(self.costs.load(held), capacity * min(1.0, sum(held.values()) / limit))

    # evaluation

    def evaluate(self, now: int) -> ControllerOutput:
        """To be called often. Makes plans when something has changed, and otherwise every `REPLAN_US`."""
        orders = ControllerOutput()
        for name in [
            n
            for n, b in self.gates.items()
            if not b.connected and now > b.disconnected_at + GATE_RETENTION_US
        ]:
            del self.gates[name]
            self.replan_needed = True
        rates = [view.requests_per_s for view in self.nodes.values() if view.requests_per_s]
        mean_rate = sum(rates) / len(rates) if rates else 1.0
        for node, view in self.nodes.items():
            load = round(self.load(view, now, mean_rate), 2)
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
        """Whether enough is known to plan.

        After a start, nodes that are not known yet must not lead to refused connections.
        """
        states = {view.state for view in self.nodes.values()}
        # Draining nodes count: if all nodes drain at once, none is ready, and the drains still need plans.
        known = states & {"ready", "draining", "unhealthy"}
        return bool(known) and ("unproven" not in states or now > self.started_at + SETTLE_US)

    def make_plans(self, now: int, orders: ControllerOutput) -> None:
        """Makes a plan for each connected gate; a plan that changes nothing is not sent again."""
        connected = [gate for gate in self.gates.values() if gate.connected]
        if not connected:
            return
        held = self.held()
        self.drain_unlisted(now, held)
        full = {node: self.free_share(view) for node, view in self.nodes.items()}
        draining = [
            drain.DrainingNode(
                node,
                max(deadline, now + SECOND // 10),
                {gate.name: count for gate in connected if (count := self.remaining(now, gate, node))},
            )
            for node, deadline in sorted(self.drains.items())
        ]
        ceilings, forecast = drain.plan(
            now, draining, list(self.nodes.values()), held, self.intake, full, self.longest_answer_us
        )
        for node in draining:  # also empty ones get a ceiling, so that no new connections go there
            for gate in connected:
                ceilings.setdefault(gate.name, {}).setdefault(
                    node.node, Ceiling(Curve(((now, 0.0),), node.deadline_us), 0, 0.0)
                )
        if forecast.connections and (forecast.connections, forecast.overflow) != (
            self.forecast.connections,
            self.forecast.overflow,
        ):
            orders.notes.append(
                f"{len(draining)} nodes drain {forecast.connections} connections, "
                f"at most {forecast.peak_per_s:.1f}/s of an intake of {forecast.intake_per_s:.1f}/s; "
                f"{forecast.overflow} come back after the grace period"
            )
        self.forecast = forecast
        allotted = self.allot(now, connected, full)
        returns = self.return_rates(now, connected)
        self.plan_number += 1
        for gate in connected:
            new = Plan(
                Version(self.incarnation, self.plan_number),
                ceilings.get(gate.name, {}),
                allotted.get(gate.name, {}),
                returns[gate.name],
                self.terms.come_back_least_us,
                self.terms.come_back_most_us,
                frozenset(node for node, view in self.nodes.items() if view.state == "gone"),
            )
            if not close_enough(gate.last_plan, new, now):
                gate.last_plan = orders.plans[gate.name] = new

    def remaining(self, now: int, gate: GateState, node: NodeId) -> int:
        """What a gate holds at a draining node now, according to its last plan.

        Without this a drain would slow down with each plan. Reports are late, and a new ceiling that starts
        at the reported count would lie above what is held: no connection would leave until the ceiling had
        fallen to that.
        """
        held = gate.held(node)
        ceiling = gate.last_plan.ceilings.get(node)
        return held if ceiling is None else min(held, ceiling.at(now))

    def free_share(self, view: NodeView) -> float:
        """The share of a node that its requests leave for connections.

        It is at least a tenth, because the capacity of nodes is only an estimate.
        """
        capacity = self.costs.capacity() * (view.weight or 1.0)
        return max(0.1, 1 - view.requests_per_s / capacity) if capacity else 1.0

    def allot(
        self, now: int, connected: list[GateState], full: Mapping[NodeId, float]
    ) -> dict[str, dict[NodeId, Allotment]]:
        """Divides each node among the gates.

        The division depends on what the gates hold, on the rate of their new connections, and on what they
        have to release.
        """
        release_rates = {
            gate.name: sum(
                gate.held(node) * SECOND / max(SECOND, deadline - now)
                for node, deadline in self.drains.items()
            )
            for gate in connected
        }
        shares: dict[str, dict[NodeId, Allotment]] = {}
        destinations = max(1, sum(view.accepts_connections for view in self.nodes.values()))
        disconnected = [gate for gate in self.gates.values() if not gate.connected]
        for node, view in self.nodes.items():
            if view.draining or view.state in ("gone", "removed"):
                continue
            demands = {
                gate.name: Demand(
                    gate.held(node),
                    gate.arrival_rates.get(node, 0.0) + release_rates[gate.name] / destinations,
                )
                for gate in connected
            }
            # Rule 4: disconnected gates may still hold their connections.
            kept = sum(gate.held(node) for gate in disconnected)
            for name, allotment in self.intake.allot(now, view, demands, full.get(node, 1.0), kept).items():
                shares.setdefault(name, {})[node] = allotment
        return shares

    def return_rates(self, now: int, connected: list[GateState]) -> dict[str, float]:
        """How many clients per second each gate may ask to come back."""
        total = RETURN_SHARE * sum(self.intake.new_per_s(now, view) for view in self.nodes.values())
        weights = {gate.name: 1.0 + sum(gate.held(node) for node in gate.rows) for gate in connected}
        return {name: max(0.1, total * weight / sum(weights.values())) for name, weight in weights.items()}


def close_enough(old: Plan, new: Plan, now: int) -> bool:
    """Whether a gate would do the same under both plans, within a twentieth.

    While a drain goes as planned, its curve comes out the same in each plan except for rounding. So only the
    deadline and the ceiling now and half-way to the deadline are compared.
    """
    if (
        old.version == NO_VERSION
        or old.dead != new.dead
        or old.ceilings.keys() != new.ceilings.keys()
        or (old.allotted.keys() != new.allotted.keys())
    ):
        return False
    for node, ceiling in new.ceilings.items():
        old_ceiling, middle = old.ceilings[node], (now + ceiling.deadline_us) // 2
        if abs(old_ceiling.deadline_us - ceiling.deadline_us) > SECOND // 10:
            return False
        if any(abs(old_ceiling.at(at) - ceiling.at(at)) > 2 + ceiling.at(now) // 20 for at in (now, middle)):
            return False
    for node, allotment in new.allotted.items():
        old_allotment = old.allotted[node]
        if (
            not _near(old_allotment.held, allotment.held)
            or not _near(old_allotment.new_per_s, allotment.new_per_s)
            or old_allotment.burst != allotment.burst
        ):
            return False
    return _near(old.returns_per_s, new.returns_per_s)


def _near(old: float, new: float) -> bool:
    return abs(old - new) <= 0.05 * max(abs(old), abs(new))
