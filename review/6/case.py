"""A controller joins another one while a node is restarted: do two nodes get writes of one slice?"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from support.bench import Bench, free_address, main
from support.proxy import Proxy

from lapispass.core.ownership import preferred_owner
from lapispass.standins.coordination import CoordinationServer
from lapispass.standins.xds_client import XdsClient

SLICES, NODES, CLIENTS = 112, 16, 2  # seven slices a node
LEASE_MS, WRITE_LIFE_MS, BARE_MS = 1500, 1000, 13700
CALL_S = 0.045  # what each call of c0 to the coordination service takes; the pages allow a store 50 ms
WORK_S = 0.5  # of a write; the brief: 450 to 610 ms
DRAIN_AFTER_S = 0.2  # after c0 has begun to hand slices to c1


@dataclass
class Write:
    """A write at a node, from when it came until it was carried out."""

    node: str
    slice: int
    by: str
    came: float
    done: float = 0.0


@dataclass
class Node:
    """A node: it takes lines `SLICE CLIENT`, works on each for a while, and answers."""

    name: str
    address: str = ""
    writes: list[Write] = field(default_factory=list)

    async def start(self) -> Node:
        """Listens on a free port."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname()[:2])
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Carries out one write."""
        try:
            words = (await reader.readline()).decode().split()
            write = Write(self.name, int(words[0]), words[1], time.monotonic())
            self.writes.append(write)
            await asyncio.sleep(WORK_S)
            write.done = time.monotonic()
            writer.write(b"ok\n")
        finally:
            writer.close()


def operator_file(
    name: str, listen: str, coordination: str, nodes: list[Node], draining: str, started: dict[str, int]
) -> str:
    """A file like `deploy/shared.textproto`."""
    lines = [
        f'xds {{ listen: "{listen}" }}',
        f'alone {{ shared {{ name: "{name}" coordination: "{coordination}" session_s: 3 }}',
        f"  slices: {SLICES} lease_ms: {LEASE_MS} write_life_ms: {WRITE_LIFE_MS} bare_ms: {BARE_MS}",
        '  visit_class { name: "look" agreed_ms: 1500 patience_ms: 5000 benefit: 1 }',
        '  visit_class { name: "trade-order" agreed_ms: 3000 patience_ms: 5000 benefit: 2 writes: true } }',
    ]
    for node in nodes:
        state = "DRAINING" if node.name == draining else "READY"
        lines.append(
            f'node {{ id: "{node.name}" address: "{node.address}" zone: "east" state: {state} '
            f"started_unix_ms: {started.get(node.name, 0)} }}"
        )
    return "\n".join(lines) + "\n"


async def send_writes(client: XdsClient, nodes: dict[str, Node], numbers: list[int]) -> None:
    """Has a client write to slices again and again, at the nodes that its tables name."""
    pending: set[asyncio.Task[None]] = set()

    async def send(name: str, number: int) -> None:
        host, _, port = nodes[name].address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(f"{number} {client.name}\n".encode())
            await reader.readline()
        finally:
            writer.close()

    while True:
        for number in numbers:
            if name := client.writes_to(number):
                task = asyncio.create_task(send(name, number))
                pending.add(task)
                task.add_done_callback(pending.discard)
        await asyncio.sleep(0.2)


async def play(bench: Bench) -> None:
    service = CoordinationServer()
    await service.start()
    nodes = [await Node(f"n{number}").start() for number in range(NODES)]
    by_name = {node.name: node for node in nodes}
    way = await Proxy(service.address).start()
    services = {"c0": way.address, "c1": service.address}
    listens = {name: free_address() for name in services}
    steps: dict[int, list[str]] = {}
    began = time.monotonic()
    put = service.state._put

    def put_and_note(key: bytes, value: bytes, lease: int) -> None:
        put(key, value, lease)
        if key.startswith(b"/lapispass/slices/"):
            record = json.loads(value)
            steps.setdefault(int(key.rpartition(b"/")[2]), []).append(
                f"{time.monotonic() - began:.2f}:{record['holder'].split('/')[0] or '-'}:{record['owner']}"
            )

    service.state._put = put_and_note

    started: dict[str, int] = {}

    def list_nodes(draining: str) -> None:
        """Writes both operator files, and has the controllers that run read them."""
        for name in listens:
            text = operator_file(name, listens[name], services[name], nodes, draining, started)
            (bench.temporary / f"{name}.textproto").write_text(text)
        for name in bench.programs:
            bench.signal(name, signal.SIGHUP)

    list_nodes("")
    bench.start("c0", f"run -o {bench.temporary / 'c0.textproto'}")
    if not bench.trouble:
        bench.start("c1", f"run -o {bench.temporary / 'c1.textproto'}")
    clients = [
        XdsClient(listens["c0"], f"client-{number}", number, number % 2 == 0) for number in range(CLIENTS)
    ]
    running = [asyncio.create_task(client.run()) for client in clients]
    await bench.until(
        "all clients can write to all slices",
        lambda: all(client.writes_to(number) for client in clients for number in range(SLICES)),
        40.0,
    )
    await asyncio.sleep(3.0)
    owners = {number: clients[0].writes_to(number) or "" for number in range(SLICES)}
    # Any node may be the one that restarts. This one has most of the slices that c1 is to hold and that c0
    # comes to last.
    share = {"c0": 1.0, "c1": 1.0}
    last = [number for number in range(SLICES // 2, SLICES) if preferred_owner(number, share) == "c1"]
    leaving = Counter(owners[number] for number in last).most_common(1)[0][0]
    numbers = [number for number in range(SLICES) if owners[number] == leaving]
    bench.note(
        f"slices of {leaving}: {numbers}; c1 is to hold {[n for n in numbers if n in last]} of the last"
    )
    running += [asyncio.create_task(send_writes(client, by_name, numbers)) for client in clients]
    way.delay_s = CALL_S
    await asyncio.sleep(2.0)
    if bench.trouble:
        bench.start("c1", f"run -o {bench.temporary / 'c1.textproto'}")
        await bench.until(
            "c0 releases slices",
            lambda: any(":-:" in step for number in steps for step in steps[number]),
        )
        bench.note(f"{time.monotonic() - began:.2f} c0 has begun to release slices for c1")
    await asyncio.sleep(DRAIN_AFTER_S)
    list_nodes(leaving)
    bench.note(f"{time.monotonic() - began:.2f} {leaving} is listed as draining")
    await bench.until(
        "a slice has another owner",
        lambda: any(
            client.writes_to(number) not in (None, leaving) for number in numbers for client in clients
        ),
    )
    started[leaving] = int(time.time() * 1000)
    list_nodes("")
    bench.note(f"{time.monotonic() - began:.2f} {leaving} has restarted and is listed as ready")
    await asyncio.sleep(12.0)
    for task in running:
        task.cancel()
    bench.note("records as time:holder:owner")
    for number in numbers:
        bench.note(f"slice {number}: {' '.join(steps[number])}")
    writes = sorted((write for node in nodes for write in node.writes), key=lambda write: write.came)
    bench.note(f"writes: { {node.name: len(node.writes) for node in nodes} }")
    for write in writes:
        bench.note(
            f"write of slice {write.slice} by {write.by} came to {write.node} at {write.came - began:.2f} s, "
            f"carried out at {write.done - began:.2f} s"
        )
    for write in writes:
        for other in writes:
            if other.came > write.came:
                break
            if (
                other.slice == write.slice
                and other.node != write.node
                and write.came < (other.done or time.monotonic())
            ):
                bench.broken(
                    f"a write of slice {write.slice} by {write.by} came to {write.node} at "
                    f"{write.came - began:.2f} s, while {other.node} had one by {other.by} in hand until "
                    f"{other.done - began:.2f} s"
                )
                break
    way.close()
    service.stop()


main(Path(__file__).resolve().parent, play)
