"""Gates in the test's own event loop, in front of stand-in nodes and with short time limits."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Coroutine, Mapping
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

from async_tests import cancel_and_wait, until
from fleet import deployment

from lapispass.cli.front_ends import attach, count_gates_as_proxies
from lapispass.core.tables import slice_of
from lapispass.gate.gate_server import GateServer
from lapispass.gate.limits import Limits
from lapispass.gate.service import Gate
from lapispass.gate.upgrade import accept_value
from lapispass.interface import Deployment
from lapispass.net import limits as net
from lapispass.net.codec import RegistryMessage
from lapispass.net.launch import Launch
from lapispass.net.service import Service
from lapispass.operator import read as operator
from lapispass.rules.checks import Breach, ExecutedWrite, PublishedStep
from lapispass.rules.checks import check_writes as rule_of_writes
from lapispass.standins.nodes import CounterNode
from lapispass.standins.platform import Member, Registry, Relay

MS = 1000
SHORT_LIMITS = replace(
    Limits(),
    handshake_us=300 * MS,
    connect_us=300 * MS,
    upgrade_us=300 * MS,
    ping_us=400 * MS,
    pong_us=300 * MS,
    stuck_us=400 * MS,
    close_us=300 * MS,
    fence_us=300 * MS,
    quiet_us=30 * MS,
    tick_us=20 * MS,
    report_us=50 * MS,
    heartbeat_us=30 * MS,
    lease_us=600 * MS,
    retry_min_us=10 * MS,
    retry_max_us=50 * MS,
)
CLASSES = """
connection_class { name: "board" path_prefix: "/board" movable: true answer_ms: 50 }
connection_class { name: "till" path_prefix: "/till" writes: true answer_ms: 50 }
connection_class { name: "desk" path_prefix: "/desk" writes: true movable: true answer_ms: 50 }
"""


def play(test: Coroutine[Any, Any, None], limit_s: float = 30) -> None:
    asyncio.run(asyncio.wait_for(test, limit_s))


async def take_upgrade(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
    """Accepts an upgrade as a node does. False, without an answer, for any other request."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    lines = (line.partition(": ") for line in head.split("\r\n"))
    key = next((value for name, _, value in lines if name.lower() == "sec-websocket-key"), None)
    if key is not None:
        writer.write(
            b"HTTP/1.1 101 x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: "
            + accept_value(key.encode())
            + b"\r\n\r\n"
        )
    return key is not None


def standalone_file(
    nodes: dict[str, tuple[str, str]],
    grace_ms: int = 600,
    more: str = "",
    bounds: str = "",
    write_life_ms: int = 1,
    lines: Mapping[int, str] | None = None,
    classes: str = CLASSES,
    margin_ms: int = 200,
) -> str:
    """An operator file for a standalone gate, with the address and state of each node."""
    entries = [
        f'node {{ id: "{name}" address: "{address}" state: {state} }}'
        for name, (address, state) in nodes.items()
    ]
    entries += [f'line {{ slice: {number} owner: "{owner}" }}' for number, owner in (lines or {}).items()]
    return (
        f"{classes}\ndrain {{ grace_ms: {grace_ms} margin_ms: {margin_ms} come_back_least_ms: 50 }}\n"
        f"nodes {{ {bounds} }}\n"
        f'gate {{ name: "g" listen: "127.0.0.1:0" slices: 12 key_parameter: "key" '
        f"write_life_ms: {write_life_ms} {more} }}\n" + "\n".join(entries)
    )


class StandaloneGate:
    """A standalone gate and its nodes."""

    def __init__(self, gate: Gate, nodes: dict[str, CounterNode], file: Path, **file_options: Any) -> None:
        self.gate, self.nodes, self.file, self.file_options = gate, nodes, file, file_options
        self.states = dict.fromkeys(nodes, "READY")

    def write(self) -> None:
        listed = {
            name: (node.address, self.states[name])
            for name, node in self.nodes.items()
            if self.states[name] != "UNLISTED"
        }
        self.file.write_text(standalone_file(listed, **self.file_options))

    def set(self, **states: str) -> None:
        """Changes the states of nodes in the file and has the gate read it."""
        self.states.update(states)
        self.write()
        self.gate.reload()

    def url(self, target: str) -> str:
        return f"ws://{self.gate.address}{target}"


@asynccontextmanager
async def standalone_gate(
    tmp_path: Path,
    count: int = 2,
    limits: Limits = SHORT_LIMITS,
    nodes: dict[str, CounterNode] | None = None,
    **file_options: Any,
) -> AsyncIterator[StandaloneGate]:
    """Nodes `n0`, `n1` ... (or those given) and a standalone gate in front of them."""
    nodes = (
        nodes if nodes is not None else {f"n{number}": CounterNode(f"n{number}") for number in range(count)}
    )
    for node in nodes.values():
        if not node.address:
            await node.start()
    file = tmp_path / "gate.textproto"
    env = StandaloneGate(None, nodes, file, **file_options)  # type: ignore[arg-type]
    env.write()
    env.gate = gate = Gate(operator.read(file), 7, limits)
    running = asyncio.create_task(gate.run())
    await until(lambda: gate.address or running.done())
    await until(lambda: gate.steering.allows_writes(gate.clock.now()) or running.done())
    try:
        yield env
    finally:
        gate.stop()
        await asyncio.wait_for(running, 10)
        for node in nodes.values():
            await node.stop()


DEPLOYMENT = deployment(
    proxies=1,
    lease_us=600 * MS,
    linger_us=300 * MS,
    unserved_limit_us=8_000 * MS,
    lines_per_s=1e5,
    message_overhead_lines=2.0,
    queue_limit_lines=1e5,
    max_messages=1000,
    subscribes_to_registry=True,
    cold_us=2_000 * MS,
)


class Fleet:  # one test, one loop
    """A controller with its server for gates, stand-ins for registry and relay, nodes and gates, all in the
    test's event loop."""

    def __init__(
        self,
        path: Path,
        nodes: dict[str, CounterNode],
        grace_ms: int,
        bounds: str,
        deployment: Deployment,
        limits: Limits,
    ) -> None:
        self.path, self.nodes, self.deployment, self.gate_limits = path, nodes, deployment, limits
        self.common = (
            f"{CLASSES}\ndrain {{ grace_ms: {grace_ms} margin_ms: 300 come_back_least_ms: 50 "
            f"come_back_most_ms: 5000 }}\nnodes {{ {bounds} }}\n"
        )
        self.registry, self.relay = Registry(), Relay(deployment.slices, deployment.proxies)
        self.gates: dict[str, Gate] = {}
        self.names = ["g0", "g1", "g2"]
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.service: Service
        self.gate_server: GateServer
        self.port = 0
        self.secret = self.path / "key"
        self.extra = ""  # further endpoints in the controller's file

    async def start(self) -> None:
        self.secret.write_bytes(b"a key of a test, long enough")
        for name, node in self.nodes.items():
            if not node.address:
                await node.start()
            self.registry.members[name] = Member(name, node.address, node.zone)
        names = sorted(self.nodes)
        self.relay.owners = {number: names[number % len(names)] for number in range(self.deployment.slices)}
        self.relay.published += [
            PublishedStep(0, number, owner) for number, owner in self.relay.owners.items()
        ]
        await self.registry.start()
        await self.relay.start()
        await self.controller()

    async def controller(self) -> None:
        """Starts the controller, or restarts it at its former address."""
        listed = " ".join(f'name: "{name}"' for name in self.names)
        file = self.path / "controller.textproto"
        file.write_text(
            f'{self.common} gates {{ listen: "127.0.0.1:{self.port}" {listed} secret_file: "key" }}\n'
            f"{self.extra}"
        )
        source = operator.read(file)
        launch = count_gates_as_proxies(source)(
            Launch(
                "n0",
                "127.0.0.1:0",
                self.registry.address,
                self.relay.address,
                5,
                RegistryMessage(0, False, (), {}, 0),
                self.deployment,
                net.Limits(),
            )
        )
        self.service = Service(launch)
        attach(source)(self.service)
        self.gate_server = next(
            front for front in self.service.additional_fronts if isinstance(front, GateServer)
        )
        self.tasks["controller"] = asyncio.create_task(self.service.run())
        await until(lambda: self.gate_server.address or self.tasks["controller"].done())
        self.port = int(self.gate_server.address.rpartition(":")[2])

    async def kill_controller(self) -> None:
        task = self.tasks.pop("controller")
        await cancel_and_wait(task)

    async def gate(self, name: str) -> Gate:
        """Starts a gate, and waits until it has a whole table and a plan."""
        file = self.path / f"{name}.textproto"
        file.write_text(
            f'{self.common} gate {{ name: "{name}" listen: "127.0.0.1:0" controller: "127.0.0.1:{self.port}" '
            f'slices: {self.deployment.slices} key_parameter: "key" secret_file: "key" }}'
        )
        gate = self.gates[name] = Gate(operator.read(file), len(self.gates) + 11, self.gate_limits)
        self.tasks[name] = asyncio.create_task(gate.run())
        steering = gate.steering
        await until(lambda: len(steering.tables.owners) == self.deployment.slices and steering.plan.allotted)
        return gate

    async def kill_gate(self, name: str) -> None:
        """Ends a gate as if its process were killed: its connections are reset without a close frame."""
        gate, task = self.gates.pop(name), self.tasks.pop(name)
        for tunnel in list(gate.tunnels.values()):
            tunnel.client.writer.transport.abort()
            if tunnel.node is not None:
                tunnel.node.writer.transport.abort()
        gate.limits = replace(gate.limits, stop_us=0)
        await cancel_and_wait(task)

    def url(self, name: str, target: str) -> str:
        return f"ws://{self.gates[name].address}{target}"

    def list(self, name: str, phase: str, **more: Any) -> None:
        node = self.nodes[name]
        self.registry.change(Member(name, node.address, node.zone, phase, **more))

    def breaches(self) -> list[Breach]:
        """Breaches of rule 2, by what the nodes received and what was published."""
        writes = [ExecutedWrite(*write) for node in self.nodes.values() for write in node.writes]
        return rule_of_writes(writes, self.relay.published, lambda key: slice_of(key, self.deployment.slices))

    async def stop(self) -> None:
        for gate in self.gates.values():
            gate.stop()
        controller = self.tasks.pop("controller", None)
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)
        if controller is not None:
            self.service.stop()
            await asyncio.gather(controller, return_exceptions=True)
        self.registry.stop()
        self.relay.stop()
        for node in self.nodes.values():
            await node.stop()


@asynccontextmanager
async def fleet(
    path: Path,
    nodes: int | dict[str, CounterNode] = 3,
    gates: int = 1,
    grace_ms: int = 1500,
    bounds: str = "",
    deployment: Deployment = DEPLOYMENT,
    limits: Limits = SHORT_LIMITS,
    extra: str = "",
) -> AsyncIterator[Fleet]:
    """A controller, nodes, and gates `g0`, `g1` ..."""
    if isinstance(nodes, int):
        nodes = {f"n{number}": CounterNode(f"n{number}") for number in range(nodes)}
    env = Fleet(path, nodes, grace_ms, bounds, deployment, limits)
    env.extra = extra
    await env.start()
    try:
        for number in range(gates):
            await env.gate(f"g{number}")
        yield env
    finally:
        await env.stop()
