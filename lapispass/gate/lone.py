"""A gate that stands alone: its nodes and lines come from its own operator file, and it keeps its own
plans."""

from __future__ import annotations

from lapispass.core import tables
from lapispass.core.facts import NodeView
from lapispass.core.keeper import Counted, Keeper
from lapispass.core.plans import NONE
from lapispass.core.start_times import local_start
from lapispass.gate.host import TableHost
from lapispass.operator import read as operator
from lapispass.operator.operator_pb2 import Node
from lapispass.operator.read import BadFile, Source

STATES = {Node.READY: "ready", Node.DRAINING: "out", Node.GONE: "gone"}


class Lone:
    """The keeper of one gate's plans, told by a file instead of a controller."""

    def __init__(self, gate: TableHost, source: Source) -> None:
        self.gate = gate
        told = source.told
        now = gate.clock.now()
        self.keeper = Keeper(operator.classes(told), operator.bounds(told), operator.drain_terms(told), now)
        self.keeper.joined(now, gate.settings.name, gate.settings.zone, NONE, {})
        self.views: list[NodeView] = []
        self.starts: dict[str, tuple[int, int]] = {}  # node: as the file says, and by our clock
        self.serial, self.reported = 0, 0
        self.follow(source)

    def follow(self, source: Source) -> None:
        """Nodes and lines as a file has them now. A slice without a line goes to the ready nodes in turn."""
        told, gate = source.told, self.gate
        if not told.HasField("gate") or told.gate.slices != gate.settings.slices or told.gate.controller:
            raise BadFile([source.at("gate", "who it is and its slices are followed after a restart only")])
        wanted = tables.Tables(gate.settings.slices)
        for node in told.node:
            if node.state != Node.GONE:
                wanted.nodes[node.id] = tables.Address(node.address, node.zone)
            if node.state != Node.READY:
                wanted.out.add(node.id)
        ready = [node.id for node in told.node if node.state == Node.READY]
        lines = {line.slice: line.owner for line in told.line}
        for number in range(gate.settings.slices):
            owner = lines.get(number)
            if owner in ready:
                wanted.owners[number] = owner
            elif ready:
                wanted.owners[number] = ready[number % len(ready)]
        self.starts = {node.id: self.starts[node.id] for node in told.node if node.id in self.starts}
        gate.carry_out(list(wanted.differences(gate.steering.tables)))
        self.views = [
            NodeView(
                node.id,
                node.zone,
                STATES[node.state],
                node.weight if node.HasField("weight") else 1.0,
                self.started(node),
            )
            for node in told.node
        ]
        self.tick(gate.clock.now())

    def started(self, node: Node) -> int:
        """When it started, by our clock, in microseconds; 0 for long ago."""
        reported_us = node.started_unix_ms * 1000
        known = self.starts.get(node.id)
        if known is None or known[0] != reported_us:
            known = reported_us, local_start(reported_us, self.gate.clock.now(), live=False, max_delay_us=0)
            self.starts[node.id] = known
        return known[1]

    def tick(self, now: int) -> None:
        """Reports to its own keeper, and follows what that plans."""
        gate, name = self.gate, self.gate.settings.name
        if now - self.reported >= gate.limits.report_us:
            self.reported, self.serial = now, self.serial + 1
            rows = {
                node: {
                    kind: Counted(row.held, row.opened, row.messages, row.octets)
                    for kind, row in by_class.items()
                }
                for node, by_class in gate.steering.book.report().items()
            }
            self.keeper.told(now, name, self.serial, rows)
        self.keeper.see(now, self.views)
        orders = self.keeper.look(now)
        for note in orders.notes:
            gate.log.say("drain", text=note)
        if plan := orders.plans.get(name):
            gate.follow(plan)
