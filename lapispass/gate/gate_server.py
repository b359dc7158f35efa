"""The controller's side of the channel to gates. Each gate joins the controller as a proxy of its own and is
sent a plan for the connections it holds."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Sequence
from dataclasses import dataclass

from lapispass import interface
from lapispass.core import tables
from lapispass.core.connection_controller import ConnectionController
from lapispass.core.plans import Plan, Version
from lapispass.core.shared_types import NodeView
from lapispass.core.table_snapshot import TableSnapshot
from lapispass.gate import wire
from lapispass.gate.channel import STREAM_ENDS, read_line
from lapispass.net.acceptor import Acceptor, bound_address, counted_protocols, listen_with_retries
from lapispass.net.log import PartLogger
from lapispass.net.service import Service
from lapispass.net.streams import CountedReader, OverMemory
from lapispass.operator import read as operator
from lapispass.operator.read import BadFile, Source


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on the resources that gates may use at the controller. Times are in microseconds."""

    line_bytes: int = 4 << 20
    read_bytes: int = 16 << 10  # at a time, before other connections are served
    unsent_bytes: int = 8 << 20  # to a gate that does not read; above this it is cut and has to join anew
    connections: int = 256
    at_once: int = 32  # connections accepted in one pass
    join_us: int = 2_000_000
    linger_us: int = 200_000  # between a refusal for lack of memory and the close
    idle_us: int = 1_500_000  # a gate sends a heartbeat every 0.3 s
    evaluation_us: int = 100_000
    # A timer that fires later than this means that the process was stalled. It then reads waiting input
    # first.
    late_us: int = 100_000
    log_every_us: int = 1_000_000


class JoinedGate:
    """A gate that has joined, and its connection."""

    def __init__(self, name: str, number: int, writer: asyncio.StreamWriter) -> None:
        self.name, self.number, self.writer = name, number, writer


class GateServer:
    """Listens for gates beside a `Service`. It passes their reports to the service's controller, and the
    controller's table changes and plans to the gates."""

    def __init__(self, service: Service, source: Source, limits: Limits | None = None) -> None:
        settings = source.settings
        if not settings.HasField("gates"):
            raise BadFile([source.at("gates", "missing: the file has no listener for gates")])
        self.service, self.settings, self.limits = service, settings.gates, limits or Limits()
        self.secret = operator.secret(settings.gates.secret_file, source, "gates.secret_file")
        deployment = service.launch.deployment
        bounds = operator.bounds(settings)
        if not settings.nodes.HasField("cold_ms"):
            bounds = bounds._replace(cold_us=deployment.cold_us)
        if not settings.nodes.HasField("cold_share"):
            bounds = bounds._replace(cold_share=max(0.01, deployment.cold_share))
        self.numbers = {
            name: deployment.proxies - len(settings.gates.name) + index
            for index, name in enumerate(settings.gates.name)
        }
        self.connection_controller = ConnectionController(
            operator.classes(settings), bounds, operator.drain_terms(settings), service.clock.now()
        )
        self.table_snapshot = TableSnapshot(
            deployment.slices, deployment.classes, deployment.admission_mode == "share"
        )
        self.gates: dict[str, JoinedGate] = {}
        # name: boot id of its last process, and the time at which that left
        self.last_boots: dict[str, tuple[str, int]] = {}
        self.addresses: dict[str, tables.Address] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.log, self.counters = PartLogger("gates", self.limits.log_every_us), service.counters
        self.address = ""

    # following the service's turns

    def turn_taken(self, events: Sequence[interface.Event], orders: Sequence[interface.Order]) -> None:
        """Called after each turn of the controller: sends its table changes and its barrier to every gate,
        as a whole and in order."""
        if any(isinstance(event, interface.RegistryUpdate) for event in events):
            self.update_addresses()
        changes, mark = self.table_snapshot.apply_turn(events, orders, self.addresses)
        if changes or mark is not None:
            message = wire.encode_line(wire.turn_message(changes, mark))
            self.counters["gates.turns"] += 1
            for gate in list(self.gates.values()):
                self.send(gate, message)

    def update_addresses(self) -> None:
        """Reads the nodes' addresses from the registry and their zones from the controller."""
        zones = {str(status.backend): status.zone for status in self.service.controller.server_statuses()}
        self.addresses = {
            str(node): tables.Address(address, zones.get(str(node), ""))
            for node, address in self.service.registry.addresses.items()
        }

    def send(self, gate: JoinedGate, message: bytes) -> None:
        """Sends a message. To bound memory, a gate that does not read is disconnected; it is sent the current
        tables when it joins anew."""
        transport = gate.writer.transport
        if transport.get_write_buffer_size() > self.limits.unsent_bytes:
            self.counters["gates.cut"] += 1
            self.log.rate_limited("gate does not read: disconnected", gate=gate.name)
            transport.abort()
        elif not transport.is_closing():
            gate.writer.write(message)

    # run and serve

    async def run(self) -> None:
        """Listens, and evaluates the nodes at a fixed interval."""
        listener = await listen_with_retries(self.settings.listen, self.limits.connections)
        server = Acceptor(
            listener,
            counted_protocols(self.serve, self.limits.line_bytes, self.service.memory),
            name="gates",
            accept_batch=self.limits.at_once,
            max_read_bytes=self.limits.read_bytes,
            log=self.log,
            counters=self.counters,
        )
        self.address = await bound_address(listener)
        self.log.info("listening for gates", address=self.address, gates=",".join(self.numbers))
        try:
            while True:
                await asyncio.sleep(self.limits.evaluation_us / 1e6)
                self.evaluate()
        finally:
            server.close()
            for gate in self.gates.values():
                gate.writer.transport.abort()
            for task in self.tasks:
                task.cancel()

    def evaluate(self) -> None:
        """Evaluates the nodes as the controller sees them and what the gates hold there. Sends the plans that
        follow, and reports the load to the controller."""
        now = self.service.clock.now()
        self.connection_controller.update_nodes(
            now,
            [
                NodeView(
                    str(status.backend),
                    status.zone,
                    status.state,
                    status.weight,
                    status.started_at,
                    status.busy_share,
                    status.completed_per_s,
                )
                for status in self.service.controller.server_statuses()
            ],
        )
        orders = self.connection_controller.evaluate(now)
        for note in orders.notes:
            self.log.info("drain", text=note)
        for node, load in orders.loads.items():
            self.service.deliver(interface.HeldConnectionLoad(node, load))
        for name, plan in orders.plans.items():
            self.send_plan(name, plan, now)

    def send_plan(self, name: str, plan: Plan, now: int) -> None:
        if gate := self.gates.get(name):
            self.counters["gates.plans"] += 1
            self.send(gate, wire.encode_line(wire.plan_message(plan, now)))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves the connection of one gate."""
        task = asyncio.current_task()
        assert task is not None and isinstance(reader, CountedReader)
        self.tasks.add(task)
        gate: JoinedGate | None = None
        why = "ended"
        try:
            if len(self.tasks) > self.limits.connections:
                raise ValueError("too many connections")
            gate = await self.welcome(reader, writer)
            reader.is_identified = True
            while True:
                self.handle(gate, await self.receive(reader, self.limits.idle_us))
        except STREAM_ENDS as error:
            why = f"{type(error).__name__} {error}"[:200]
            if gate is None:
                self.counters["gates.turned_away"] += 1
                self.log.rate_limited(
                    "unidentified connection rejected", peer=writer.get_extra_info("peername"), why=why
                )
                if isinstance(error, OverMemory):
                    await self.refuse(writer, why)
        except asyncio.CancelledError:
            # An orderly end. If the error went on, asyncio would log a trace of the cancelled task.
            why = "the controller is stopping"
        except Exception:  # an internal error ends this connection, not the controller
            self.counters["gates.faults"] += 1
            self.log.failed("gate connection failed")
        finally:
            self.tasks.discard(task)
            reader.account.close()
            if gate is None:
                writer.close()
            else:
                self.remove(gate, why)
                writer.transport.abort()

    async def refuse(self, writer: asyncio.StreamWriter, why: str) -> None:
        """Sends a refusal. Further input is read and dropped for a moment: a close with unread input resets
        the connection, and the reset may overtake the refusal."""
        try:
            writer.write(wire.encode_line(wire.Refusal(why)))
            writer.write_eof()
        except OSError:
            return
        await asyncio.sleep(self.limits.linger_us / 1e6)

    async def receive(self, reader: asyncio.StreamReader, wait_us: int) -> wire.FromGate:
        """The next message from a gate."""
        return wire.GATE_DECODER.decode(await read_line(reader, wait_us, self.limits.late_us))

    async def welcome(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> JoinedGate:
        """Runs the handshake (challenge, hello, welcome), then sends the table entries in which the gate
        differs."""
        nonce = secrets.token_hex(16)
        writer.write(wire.encode_line(wire.Challenge(nonce)))
        hello = await self.receive(reader, self.limits.join_us)
        why = ""
        if not isinstance(hello, wire.Hello) or hello.protocol != wire.PROTOCOL:
            why = "no hello of this protocol"
        elif hello.name not in self.numbers or not wire.verify_proof(
            self.secret, hello.proof, nonce, hello.name
        ):
            why = "not a gate of ours"
        elif hello.slices != self.table_snapshot.tables.slices:
            why = f"gate.slices is {hello.slices}, the deployment has {self.table_snapshot.tables.slices}"
        else:
            why = self.name_conflict(hello.name, hello.boot)
        if why:
            writer.write(wire.encode_line(wire.Refusal(why)))
            raise ValueError(why)
        assert isinstance(hello, wire.Hello)
        if (former := self.gates.get(hello.name)) is not None:
            self.remove(former, "joined anew")
            former.writer.transport.abort()
        now = self.service.clock.now()
        gate = JoinedGate(hello.name, self.numbers[hello.name], writer)
        lease = self.service.store_contact.client_lease_us
        writer.write(
            wire.encode_line(wire.Welcome(wire.proof(self.secret, hello.nonce, "controller"), lease))
        )
        writer.write(
            wire.encode_line(
                wire.turn_message(self.table_snapshot.tables.differences(wire.reported_tables(hello)), None)
            )
        )
        self.gates[gate.name] = gate
        self.connection_controller.gate_joined(now, gate.name, hello.zone, Version(*hello.plan), hello.drains)
        self.service.deliver(
            interface.ProxyJoined(gate.number, gate.name not in self.last_boots, hello.zone, None)
        )
        self.last_boots[gate.name] = hello.boot, 0
        self.counters["gates.joined"] += 1
        self.log.info("gate joined", gate=gate.name, zone=hello.zone, drains=len(hello.drains))
        return gate

    def name_conflict(self, name: str, boot: str) -> str:
        """The reason to refuse a process because another one has its name; empty if there is none. By rule 2
        a new process may join only when the lease of the one before has ended, since that one may still
        write."""
        former, left = self.last_boots.get(name, (boot, 0))
        lease = self.service.launch.deployment.lease_us
        if former == boot or (name not in self.gates and self.service.clock.now() > left + lease):
            return ""
        return "another process has had this name within the lease"

    def handle(self, gate: JoinedGate, message: wire.FromGate) -> None:
        """Handles a message of a gate that has joined."""
        match message:
            case wire.Heartbeat():
                may_renew = self.service.store_contact.may_grant_writes(self.service.clock.now())
                answer = message if may_renew else wire.Heartbeat(wire.NO_RENEWAL)
                self.send(gate, wire.encode_line(answer))
            case wire.BarrierAcks(marks):
                for mark, took_us in marks:
                    self.service.deliver(interface.BarrierAck(gate.number, mark, max(0, took_us)))
            case wire.Report():
                self.counters["gates.reports"] += 1
                self.connection_controller.report_received(
                    self.service.clock.now(), gate.name, message.serial, wire.class_counts(message)
                )
            case _:
                raise ValueError(f"unexpected message {type(message).__name__}")

    def remove(self, gate: JoinedGate, why: str) -> None:
        """Removes a gate whose connection has ended. From now on the controller waits for its lease to
        end."""
        if self.gates.get(gate.name) is not gate:
            return
        del self.gates[gate.name]
        self.last_boots[gate.name] = self.last_boots[gate.name][0], self.service.clock.now()
        self.connection_controller.gate_left(self.service.clock.now(), gate.name)
        self.service.deliver(interface.ProxyLeft(gate.number))
        self.counters["gates.left"] += 1
        self.log.info("gate left", gate=gate.name, why=why)
