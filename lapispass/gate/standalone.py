"""A standalone gate, whose nodes and preferred owners come from its own operator file.

It runs a controller of its own, whose only proxy it is. So a slice changes its owner by the same steps as
everywhere else: its table is cleared, the gate acknowledges once nothing can be written by the old table, and
the new owner may get writes once those of the old one have ended (`policy/handovers.py`). The gate also makes
its own plans for drains.
"""

from __future__ import annotations

from lapispass import interface
from lapispass.controller import Controller
from lapispass.core import tables
from lapispass.core.connection_controller import ConnectionController, ReportedCounts
from lapispass.core.plans import NO_VERSION
from lapispass.core.shared_types import NodeId, NodeView
from lapispass.core.slice_grants import grant_events
from lapispass.core.slice_spread import spread_slices
from lapispass.core.start_times import local_start
from lapispass.core.table_snapshot import TableSnapshot
from lapispass.core.units import NEVER
from lapispass.gate.host import TableHost
from lapispass.operator import read as operator
from lapispass.operator.operator_pb2 import Node
from lapispass.operator.read import BadFile, Source

STATES = {Node.READY: "ready", Node.DRAINING: "draining", Node.GONE: "gone"}
OWN_PROXY = 0  # the number under which the gate counts as a proxy of its controller


class Standalone:
    """Steers the held connections of one gate by its operator file, in place of a remote controller."""

    def __init__(self, gate: TableHost, source: Source, seed: int) -> None:
        self.gate = gate
        settings = source.settings
        now = gate.clock.now()
        deployment = operator.standalone_gate(settings)
        self.controller = Controller(deployment, seed, now)
        self.table_snapshot = TableSnapshot(deployment.slices, deployment.classes, by_share=True)
        self.events: list[interface.Event] = [
            interface.ProxyJoined(OWN_PROXY, True, gate.settings.zone, None)
        ]
        self.timer_at = NEVER
        self.preferred: dict[int, NodeId] = {}
        self.addresses: dict[NodeId, tables.Address] = {}
        self.connection_controller = ConnectionController(
            operator.classes(settings), operator.bounds(settings), operator.drain_terms(settings), now
        )
        self.connection_controller.gate_joined(now, gate.settings.name, gate.settings.zone, NO_VERSION, {})
        self.views: list[NodeView] = []
        # node: start time as in the file, and by this process's clock
        self.starts: dict[str, tuple[int, int]] = {}
        self.serial, self.reported = 0, 0

    def follow(self, source: Source) -> None:
        """Follows the nodes and preferred owners of a file.

        Slices without a preferred owner are spread over the ready nodes. What has to move is handed over step
        by step, in later turns.
        """
        settings = source.settings
        self.check_unchanged(source)
        self.starts = {node.id: self.starts[node.id] for node in settings.node if node.id in self.starts}
        self.views = [self.view(node) for node in settings.node]
        self.events.append(
            interface.RegistryUpdate(
                "whole",
                tuple(
                    interface.RegistryEntry(view.node, view.zone, view.state, view.weight, None)
                    for view in self.views
                ),
            )
        )
        owning = set(self.table_snapshot.tables.owners.values())
        self.addresses = {node: at for node, at in self.addresses.items() if node in owning} | {
            node.id: tables.Address(node.address, node.zone)
            for node in settings.node
            if node.state != Node.GONE
        }
        self.prefer_owners(source)
        self.turn(self.gate.clock.now())
        self.tick(self.gate.clock.now())

    def check_unchanged(self, source: Source) -> None:
        """Raises `BadFile` if the file changes what only a restart can change."""
        gate, own = source.settings.gate, self.gate.settings
        if (
            not source.settings.HasField("gate")
            or gate.slices != own.slices
            or gate.controller
            or gate.write_life_ms != own.write_life_ms
        ):
            raise BadFile(
                [
                    source.at(
                        "gate",
                        "the gate's section, slices, write_life_ms and controller can be changed only with a "
                        "restart",
                    )
                ]
            )

    def prefer_owners(self, source: Source) -> None:
        """Tells the controller which other owners the file prefers; at the start, the owners."""
        settings = source.settings
        ready = [node.id for node in settings.node if node.state == Node.READY]
        pinned = {line.slice: line.owner for line in settings.line}
        preferred = spread_slices(settings.gate.slices, ready, pinned, self.preferred)
        is_start = not self.table_snapshot.own_slices
        for number in range(settings.gate.slices):
            owner = preferred.get(number)
            if is_start:
                self.events += grant_events(number, owner)
            elif owner is not None and owner != self.preferred.get(number):
                self.events.append(interface.PreferredOwner(number, owner))
        self.preferred = preferred

    def view(self, node: Node) -> NodeView:
        """A node of the file, as the connection controller takes it."""
        weight = node.weight if node.HasField("weight") else 1.0
        return NodeView(node.id, node.zone, STATES[node.state], weight, self.started(node))

    def started(self, node: Node) -> int:
        """When a node started, by this process's clock in microseconds; 0 means long ago."""
        reported_us = node.started_unix_ms * 1000
        known = self.starts.get(node.id)
        if known is None or known[0] != reported_us:
            known = reported_us, local_start(reported_us, self.gate.clock.now(), live=False, max_delay_us=0)
            self.starts[node.id] = known
        return known[1]

    def acknowledge(self, barriers: list[int]) -> None:
        """Nothing is written any more by tables from before these barriers."""
        self.events += [interface.BarrierAck(OWN_PROXY, barrier, 0) for barrier in barriers]

    def turn(self, now: int) -> None:
        """Has the controller decide, and applies the changes of the tables."""
        events, self.events = self.events, []
        if now >= self.timer_at:
            self.timer_at = NEVER
            events.append(interface.TimerFired(0))
        orders = self.controller.turn(now, events)
        for order in orders:
            match order:
                case interface.SetTimer(_, at_us):
                    self.timer_at = at_us
                case interface.LogMessage(text):
                    self.gate.log.info("mode", text=text)
        changes, barrier = self.table_snapshot.apply_turn(events, orders, self.addresses)
        if barrier is not None:
            changes.append(tables.BarrierRequest(barrier))
        if changes:
            self.gate.apply_changes(changes)

    def tick(self, now: int) -> None:
        """Takes a turn if one is due, and follows the plan of the own connection controller."""
        if self.events or now >= self.timer_at:
            self.turn(now)
        self.report(now)
        self.connection_controller.update_nodes(now, self.views)
        orders = self.connection_controller.evaluate(now)
        for note in orders.notes:
            self.gate.log.info("drain", text=note)
        if plan := orders.plans.get(self.gate.settings.name):
            self.gate.follow_plan(plan)

    def report(self, now: int) -> None:
        """Reports what is held to the own connection controller, at the usual interval."""
        gate = self.gate
        if now - self.reported < gate.limits.report_us:
            return
        self.reported, self.serial = now, self.serial + 1
        rows = {
            node: {
                kind: ReportedCounts(row.held, row.opened, row.messages, row.octets)
                for kind, row in by_class.items()
            }
            for node, by_class in gate.steering.connections.report().items()
        }
        self.connection_controller.report_received(now, gate.settings.name, self.serial, rows)
