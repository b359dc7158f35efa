"""What a relay that nobody reaches costs the clients of its controller in writes, and whether reads go on.

One controller with a gate and an xDS client, with stand-ins for relay, registry and nodes, all on loopback
and in one process. The relay goes silent for a while in both directions and comes back. Every 10 ms it is
asked whether the gate and the client would send a write, and whether a read finds a node, for one slice.

Usage: .venv/bin/python benchmarks/store_outage.py [--lease-ms 1500] [SECONDS ...]
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lapispass import interface
from lapispass.cli.front_ends import attach, count_gates_as_proxies
from lapispass.gate.gate_server import GateServer
from lapispass.gate.service import Gate
from lapispass.net.codec import RegistryMessage
from lapispass.net.launch import Launch
from lapispass.net.limits import Limits
from lapispass.net.service import Service
from lapispass.operator import read as operator
from lapispass.standins.nodes import CounterNode
from lapispass.standins.platform import Member, Registry, Relay
from lapispass.standins.xds_client import XdsClient
from lapispass.xds.platform_server import PlatformXdsServer

SAMPLE_S = 0.01
AFTER_S = 4.0
SLICES = 12
CLASSES = 'connection_class { name: "till" path_prefix: "/till" writes: true }\n'


@dataclass
class Sampled:
    """What one front would have done during an outage and after it; times in seconds from its start."""

    closed: list[float]  # when a write would not have been sent
    reads_missing: int = 0  # samples at which a read found no node

    def row(self, name: str, outage_s: float, samples: int) -> str:
        stopped = f"{self.closed[0]:.2f}" if self.closed else "never"
        back = f"{self.closed[-1] - outage_s:+.2f}" if self.closed else "-"
        return (
            f"| {outage_s:g} | {name} | {stopped} | {back} | {len(self.closed) * SAMPLE_S:.2f} | "
            f"{self.reads_missing} of {samples} |"
        )


def deployment(lease_us: int) -> interface.Deployment:
    """A deployment with two classes and exclusive slices."""
    return interface.Deployment(
        classes=(
            interface.RequestClass("look", 1_000_000, 2_000_000, 1.0, False, False),
            interface.RequestClass("charge", 1_000_000, 2_000_000, 1.0, True, False),
        ),
        zones=("east",), proxies=1, slices=SLICES, lease_us=lease_us, linger_us=2_000_000,
        unserved_limit_us=14_000_000, lines_per_s=1e5, message_overhead_lines=2.0, queue_limit_lines=1e5,
        max_messages=1000, message_window_us=10_000_000, report_interval_us=1_000_000, default_retry=1,
        subscribes_to_registry=True, probes_allowed=False, must_leave_gone=True, admission_mode="share",
        cold_us=10_000_000, cold_share=0.2, cold_overload_factor=2.5, load_fields=(),
    )  # fmt: skip


async def until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(SAMPLE_S)


async def measure(folder: Path, lease_us: int, outages_s: list[float]) -> list[str]:
    """Plays one outage after the other; returns a row for each front and outage."""
    nodes = {name: CounterNode(name) for name in ("n0", "n1")}
    registry, relay = Registry(), Relay(SLICES, 1, heartbeat_s=1.0)
    for name, node in nodes.items():
        await node.start()
        registry.members[name] = Member(name, node.address, node.zone)
    relay.owners = {number: f"n{number % 2}" for number in range(SLICES)}
    await registry.start()
    await relay.start()
    file = folder / "controller.textproto"
    file.write_text(
        f'{CLASSES}gates {{ listen: "127.0.0.1:0" name: "g0" }}\nxds {{ listen: "127.0.0.1:0" }}\n'
    )
    source = operator.read(file)
    remembered = RegistryMessage(0, False, (), {}, 0)
    launch = Launch("c0", "127.0.0.1:0", registry.address, relay.address, 5, remembered,
                    deployment(lease_us), replace(Limits()))  # fmt: skip
    service = Service(count_gates_as_proxies(source)(launch))
    attach(source)(service)
    gates = next(front for front in service.additional_fronts if isinstance(front, GateServer))
    xds = next(front for front in service.additional_fronts if isinstance(front, PlatformXdsServer))
    tasks = [asyncio.create_task(service.run())]
    await until(lambda: gates.address and xds.xds_server.address)
    gate_file = folder / "gate.textproto"
    gate_file.write_text(
        f'{CLASSES}gate {{ name: "g0" listen: "127.0.0.1:0" controller: "{gates.address}" '
        f'slices: {SLICES} key_parameter: "key" }}\n'
    )
    gate = Gate(operator.read(gate_file), 7)
    client = XdsClient(xds.xds_server.address, "client", 1)
    tasks += [asyncio.create_task(gate.run()), asyncio.create_task(client.run())]
    lease = gate.steering.lease
    assert lease is not None
    tables = gate.steering.tables
    writes: dict[str, Callable[[], bool]] = {
        "gate": lambda: tables.owner(0) is not None and lease.allows_writes(gate.clock.now()),
        "xDS client": lambda: client.writes_to(0) is not None,
    }
    reads: dict[str, Callable[[], bool]] = {
        "gate": lambda: tables.owner(0) is not None,
        "xDS client": lambda: client.reads_from(0) is not None,
    }
    rows, loop = [], asyncio.get_running_loop()
    try:
        for outage_s in outages_s:
            await until(lambda: all(may_write() for may_write in writes.values()))
            await asyncio.sleep(2.0)
            sampled = {name: Sampled([]) for name in writes}
            started, samples = loop.time(), 0
            relay.answers_calls = relay.sends_events = False
            while (at := loop.time() - started) < outage_s + AFTER_S:
                if at >= outage_s and not relay.answers_calls:
                    relay.answers_calls = relay.sends_events = True
                    relay.reset()
                samples += 1
                for name, found in sampled.items():
                    if not writes[name]():
                        found.closed.append(at)
                    found.reads_missing += not reads[name]()
                await asyncio.sleep(SAMPLE_S)
            rows += [found.row(name, outage_s, samples) for name, found in sampled.items()]
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        registry.stop()
        relay.stop()
        for node in nodes.values():
            await node.stop()
    return rows


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--lease-ms", type=int, default=1500)
    parser.add_argument("seconds", type=float, nargs="*", default=[0.5, 1.0, 2.0, 6.0])
    given = parser.parse_args()
    print(
        "| outage s | front | writes stop after s | back after its end s | closed s | reads without a node |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    with tempfile.TemporaryDirectory() as folder:
        rows = asyncio.run(measure(Path(folder), given.lease_ms * 1000, given.seconds))
    print("\n".join(rows))


if __name__ == "__main__":
    main()
