"""A standalone gate, which has no controller. Its nodes and table entries come from its own operator file,
and it makes its own plans."""

from __future__ import annotations

from lapispass.core import tables
from lapispass.core.connection_controller import ConnectionController, ReportedCounts
from lapispass.core.plans import NO_VERSION
from lapispass.core.shared_types import NodeView
from lapispass.core.start_times import local_start
from lapispass.gate.host import TableHost
from lapispass.operator import read as operator
from lapispass.operator.operator_pb2 import Node
from lapispass.operator.read import BadFile, Source

STATES = {Node.READY: "ready", Node.DRAINING: "draining", Node.GONE: "gone"}


class Standalone:
    """Steers the held connections of one gate by its operator file, in place of a controller."""

    def __init__(self, gate: TableHost, source: Source) -> None:
        self.gate = gate
        settings = source.settings
        now = gate.clock.now()
        self.connection_controller = ConnectionController(
            operator.classes(settings), operator.bounds(settings), operator.drain_terms(settings), now
        )
        self.connection_controller.gate_joined(now, gate.settings.name, gate.settings.zone, NO_VERSION, {})
        self.views: list[NodeView] = []
        # node: start time as in the file, and by this process's clock
        self.starts: dict[str, tuple[int, int]] = {}
        self.serial, self.reported = 0, 0
        self.follow(source)

    def follow(self, source: Source) -> None:
        """Applies the nodes and table entries of a file. Slices without an entry are spread over the ready
        nodes."""
        settings, gate = source.settings, self.gate
        if (
            not settings.HasField("gate")
            or settings.gate.slices != gate.settings.slices
            or settings.gate.controller
        ):
            raise BadFile(
                [
                    source.at(
                        "gate", "the gate's section, slices and controller can be changed only with a restart"
                    )
                ]
            )
        wanted = tables.Tables(gate.settings.slices)
        for node in settings.node:
            if node.state != Node.GONE:
                wanted.nodes[node.id] = tables.Address(node.address, node.zone)
            if node.state != Node.READY:
                wanted.withdrawn.add(node.id)
        ready = [node.id for node in settings.node if node.state == Node.READY]
        lines = {line.slice: line.owner for line in settings.line}
        for number in range(gate.settings.slices):
            owner = lines.get(number)
            if owner in ready:
                wanted.owners[number] = owner
            elif ready:
                wanted.owners[number] = ready[number % len(ready)]
        self.starts = {node.id: self.starts[node.id] for node in settings.node if node.id in self.starts}
        gate.apply_changes(list(wanted.differences(gate.steering.tables)))
        self.views = [
            NodeView(
                node.id,
                node.zone,
                STATES[node.state],
                node.weight if node.HasField("weight") else 1.0,
                self.started(node),
            )
            for node in settings.node
        ]
        self.tick(gate.clock.now())

    def started(self, node: Node) -> int:
        """When a node started, by this process's clock in microseconds; 0 means long ago."""
        reported_us = node.started_unix_ms * 1000
        known = self.starts.get(node.id)
        if known is None or known[0] != reported_us:
            known = reported_us, local_start(reported_us, self.gate.clock.now(), live=False, max_delay_us=0)
            self.starts[node.id] = known
        return known[1]

    def tick(self, now: int) -> None:
        """Reports to its own connection controller and follows the plan that this makes."""
        gate, name = self.gate, self.gate.settings.name
        if now - self.reported >= gate.limits.report_us:
            self.reported, self.serial = now, self.serial + 1
            rows = {
                node: {
                    kind: ReportedCounts(row.held, row.opened, row.messages, row.octets)
                    for kind, row in by_class.items()
                }
                for node, by_class in gate.steering.connections.report().items()
            }
            self.connection_controller.report_received(now, name, self.serial, rows)
        self.connection_controller.update_nodes(now, self.views)
        orders = self.connection_controller.evaluate(now)
        for note in orders.notes:
            gate.log.info("drain", text=note)
        if plan := orders.plans.get(name):
            gate.follow_plan(plan)
