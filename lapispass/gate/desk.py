"""The controller's side of the channel to gates: each joins the module as a proxy of its own, and follows
its plan."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Sequence
from dataclasses import dataclass

from lapispass import interface
from lapispass.core import tables
from lapispass.core.facts import NodeView
from lapispass.core.keeper import Keeper
from lapispass.core.picture import Picture
from lapispass.core.plans import Plan, Version
from lapispass.gate import wire
from lapispass.gate.channel import STREAM_ENDS, read_line
from lapispass.net.acceptor import Acceptor, bound_address, listener_in_time, streams
from lapispass.net.log import Part
from lapispass.net.service import Service
from lapispass.operator import read as operator
from lapispass.operator.read import BadFile, Source


@dataclass(frozen=True, slots=True)
class Limits:
    """What gates may cost the controller; times in microseconds."""

    line_bytes: int = 4 << 20
    unsent_bytes: int = 8 << 20  # to a gate that does not read; it is cut, and joins anew with what stands
    connections: int = 256
    at_once: int = 32  # accepted at once
    join_us: int = 2_000_000
    quiet_us: int = 1_500_000  # a gate beats every 0.3 s
    look_us: int = 100_000
    late_us: int = 100_000  # a process later than this stood still, and reads what waits first
    log_every_us: int = 1_000_000


class Joined:
    """A gate whose stream stands."""

    def __init__(self, name: str, number: int, writer: asyncio.StreamWriter) -> None:
        self.name, self.number, self.writer = name, number, writer


class Desk:
    """Listens for gates beside a `Service`; hands their news to its module, and its orders to them."""

    def __init__(self, service: Service, source: Source, limits: Limits | None = None) -> None:
        told = source.told
        if not told.HasField("gates"):
            raise BadFile([source.at("gates", "missing: the file tells no listener for gates")])
        self.service, self.told, self.limits = service, told.gates, limits or Limits()
        self.secret = operator.secret(told.gates.secret_file, source, "gates.secret_file")
        deployment = service.launch.told
        bounds = operator.bounds(told)
        if not told.nodes.HasField("cold_ms"):
            bounds = bounds._replace(cold_us=deployment.cold_us)
        if not told.nodes.HasField("cold_share"):
            bounds = bounds._replace(cold_share=max(0.01, deployment.cold_share))
        self.numbers = {
            name: deployment.proxies - len(told.gates.name) + place
            for place, name in enumerate(told.gates.name)
        }
        self.keeper = Keeper(operator.classes(told), bounds, operator.drain_terms(told), service.clock.now())
        self.picture = Picture(deployment.slices, deployment.classes, deployment.admission_mode == "share")
        self.gates: dict[str, Joined] = {}
        self.known: dict[str, tuple[str, int]] = {}  # name: the process that had it last, and when it left
        self.addresses: dict[str, tables.Address] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.log, self.counters = Part("gates", self.limits.log_every_us), service.counters
        self.address = ""

    # beside the service's turns

    def turned(self, events: Sequence[interface.Event], orders: Sequence[interface.Order]) -> None:
        """A turn has been taken: its changes and its mark go to every gate, whole, in order."""
        if any(isinstance(event, interface.RegistryUpdate) for event in events):
            self.learn_addresses()
        changes, mark = self.picture.turn(events, orders, self.addresses)
        if changes or mark is not None:
            message = wire.line(wire.turn(changes, mark))
            self.counters["gates.turns"] += 1
            for gate in list(self.gates.values()):
                self.send(gate, message)

    def learn_addresses(self) -> None:
        """Where nodes are; zones come with how the module sees them."""
        zones = {
            str(standing.backend): standing.zone for standing in self.service.controller.server_statuses()
        }
        self.addresses = {
            str(node): tables.Address(address, zones.get(str(node), ""))
            for node, address in self.service.registry.addresses.items()
        }

    def send(self, gate: Joined, message: bytes) -> None:
        """Guards memory against a gate that does not read: it is cut, and joins anew with what stands."""
        transport = gate.writer.transport
        if transport.get_write_buffer_size() > self.limits.unsent_bytes:
            self.counters["gates.cut"] += 1
            self.log.rate_limited("gate does not read", gate=gate.name)
            transport.abort()
        elif not transport.is_closing():
            gate.writer.write(message)

    # its own life

    async def run(self) -> None:
        """Listens, and looks after plans."""
        listener = await listener_in_time(self.told.listen, self.limits.connections)
        server = Acceptor(
            listener,
            streams(self.serve, self.limits.line_bytes),
            name="gates",
            at_once=self.limits.at_once,
            log=self.log,
            counters=self.counters,
        )
        self.address = await bound_address(listener)
        self.log.say("listening for gates", address=self.address, gates=",".join(self.numbers))
        try:
            while True:
                await asyncio.sleep(self.limits.look_us / 1e6)
                self.look()
        finally:
            server.close()
            for gate in self.gates.values():
                gate.writer.transport.abort()
            for task in self.tasks:
                task.cancel()

    def look(self) -> None:
        """How the module sees the nodes, what gates hold there, and what follows."""
        now = self.service.clock.now()
        self.keeper.see(
            now,
            [
                NodeView(
                    str(standing.backend),
                    standing.zone,
                    standing.state,
                    standing.weight,
                    standing.started_at,
                    standing.busy_share,
                    standing.completed_per_s,
                )
                for standing in self.service.controller.server_statuses()
            ],
        )
        orders = self.keeper.look(now)
        for note in orders.notes:
            self.log.say("drain", text=note)
        for node, load in orders.loads.items():
            self.service.tell(interface.HeldConnectionLoad(node, load))
        for name, plan in orders.plans.items():
            self.tell_plan(name, plan, now)

    def tell_plan(self, name: str, plan: Plan, now: int) -> None:
        if gate := self.gates.get(name):
            self.counters["gates.plans"] += 1
            self.send(gate, wire.line(wire.plan_told(plan, now)))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """The life of a gate's stream."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        gate: Joined | None = None
        why = "ended"
        try:
            if len(self.tasks) > self.limits.connections:
                raise ValueError("too many connections")
            gate = await self.welcome(reader, writer)
            while True:
                self.take(gate, await self.hear(reader, self.limits.quiet_us))
        except STREAM_ENDS as error:
            why = f"{type(error).__name__} {error}"[:200]
            if gate is None:
                self.counters["gates.turned_away"] += 1
                self.log.rate_limited("stranger turned away", peer=writer.get_extra_info("peername"), why=why)
        except asyncio.CancelledError:
            why = "the controller ends"  # in order; asyncio would log a trace of a task that was cancelled
        except Exception:  # a fault of our own costs this stream, not the controller
            self.counters["gates.faults"] += 1
            self.log.failed("gate's stream failed")
        finally:
            self.tasks.discard(task)
            if gate is None:
                writer.close()
            else:
                self.part(gate, why)
                writer.transport.abort()

    async def hear(self, reader: asyncio.StreamReader, wait_us: int) -> wire.FromGate:
        """The next message."""
        return wire.GATE.decode(await read_line(reader, wait_us, self.limits.late_us))

    async def welcome(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Joined:
        """Challenge, hello, and what stands: only the differences are sent."""
        nonce = secrets.token_hex(16)
        writer.write(wire.line(wire.Challenge(nonce)))
        hello = await self.hear(reader, self.limits.join_us)
        why = ""
        if not isinstance(hello, wire.Hello) or hello.protocol != wire.PROTOCOL:
            why = "no hello of this protocol"
        elif hello.name not in self.numbers or not wire.proven(self.secret, hello.proof, nonce, hello.name):
            why = "not a gate of ours"
        elif hello.slices != self.picture.stands.slices:
            why = f"gate.slices is {hello.slices}, the deployment has {self.picture.stands.slices}"
        else:
            why = self.taken(hello.name, hello.boot)
        if why:
            writer.write(wire.line(wire.Refusal(why)))
            raise ValueError(why)
        assert isinstance(hello, wire.Hello)
        if (former := self.gates.get(hello.name)) is not None:
            self.part(former, "joined anew")
            former.writer.transport.abort()
        now = self.service.clock.now()
        gate = Joined(hello.name, self.numbers[hello.name], writer)
        lease = self.service.launch.told.lease_us
        writer.write(wire.line(wire.Welcome(wire.proof(self.secret, hello.nonce, "controller"), lease)))
        writer.write(wire.line(wire.turn(self.picture.stands.differences(wire.stands(hello)), None)))
        self.gates[gate.name] = gate
        self.keeper.joined(now, gate.name, hello.zone, Version(*hello.plan), hello.drains)
        self.service.tell(interface.ProxyJoined(gate.number, gate.name not in self.known, hello.zone, None))
        self.known[gate.name] = hello.boot, 0
        self.counters["gates.joined"] += 1
        self.log.say("gate joined", gate=gate.name, zone=hello.zone, drains=len(hello.drains))
        return gate

    def taken(self, name: str, boot: str) -> str:
        """Guards rule 2: another process under the same name has no say until the one before can write no
        more."""
        former, left = self.known.get(name, (boot, 0))
        lease = self.service.launch.told.lease_us
        if former == boot or (name not in self.gates and self.service.clock.now() > left + lease):
            return ""
        return "another process has had this name within the lease"

    def take(self, gate: Joined, message: wire.FromGate) -> None:
        """What a gate that has joined says."""
        match message:
            case wire.Beat():
                self.send(gate, wire.line(message))
            case wire.Answer(marks):
                for mark, took_us in marks:
                    self.service.tell(interface.BarrierAck(gate.number, mark, max(0, took_us)))
            case wire.Report():
                self.counters["gates.reports"] += 1
                self.keeper.told(self.service.clock.now(), gate.name, message.serial, wire.counted(message))
            case _:
                raise ValueError(f"unasked {type(message).__name__}")

    def part(self, gate: Joined, why: str) -> None:
        """Its stream has ended: from now on the module counts its lease."""
        if self.gates.get(gate.name) is not gate:
            return
        del self.gates[gate.name]
        self.known[gate.name] = self.known[gate.name][0], self.service.clock.now()
        self.keeper.left(self.service.clock.now(), gate.name)
        self.service.tell(interface.ProxyLeft(gate.number))
        self.counters["gates.left"] += 1
        self.log.say("gate left", gate=gate.name, why=why)
