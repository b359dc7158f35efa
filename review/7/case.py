"""A restart while a slice has its new owner for reads alone: does anybody write there too early?"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from support.bench import Bench, free_address, main

from lapispass.standins.xds_client import XdsClient

SLICES, NODES = 6, 3
LEASE_S, WRITE_LIFE_S, BARE_S = 3.0, 5.0, 10.0
LONG_WRITE_S = 4.9  # a write may live for 5 s at a node


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
    """A node: it takes lines `SLICE SECONDS CLIENT`, works for so long, and answers."""

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
            write = Write(self.name, int(words[0]), words[2], time.monotonic())
            self.writes.append(write)
            await asyncio.sleep(float(words[1]))
            write.done = time.monotonic()
            writer.write(b"ok\n")
        finally:
            writer.close()


async def send_writes(
    client: XdsClient, nodes: dict[str, Node], number: int, takes_s: float, every_s: float
) -> None:
    """Has a client write to a slice again and again, at the node that its tables name."""
    pending: set[asyncio.Task[None]] = set()

    async def send(name: str) -> None:
        host, _, port = nodes[name].address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(f"{number} {takes_s} {client.name}\n".encode())
            await reader.readline()
        finally:
            writer.close()

    while True:
        if name := client.writes_to(number):
            task = asyncio.create_task(send(name))
            pending.add(task)
            task.add_done_callback(pending.discard)
        await asyncio.sleep(every_s)


def operator_file(listen: str, nodes: list[Node], draining: str) -> str:
    """A file like `deploy/xds.textproto`; the lease and a write's longest life are the defaults."""
    lines = [
        f'xds {{ listen: "{listen}" }}',
        f'alone {{ store_file: "assignments.sqlite" slices: {SLICES} lease_ms: {LEASE_S * 1000:.0f}',
        f"  write_life_ms: {WRITE_LIFE_S * 1000:.0f} bare_ms: {BARE_S * 1000:.0f}",
        '  visit_class { name: "look" agreed_ms: 1500 patience_ms: 5000 benefit: 1 }',
        '  visit_class { name: "trade-order" agreed_ms: 3000 patience_ms: 5000 benefit: 2 writes: true } }',
    ]
    for node in nodes:
        state = "DRAINING" if node.name == draining else "READY"
        lines.append(f'node {{ id: "{node.name}" address: "{node.address}" zone: "east" state: {state} }}')
    return "\n".join(lines) + "\n"


async def play(bench: Bench) -> None:
    nodes = [await Node(f"n{number}").start() for number in range(NODES)]
    by_name = {node.name: node for node in nodes}
    listen, file = free_address(), bench.temporary / "controller.textproto"
    file.write_text(operator_file(listen, nodes, ""))
    bench.start("controller", f"run -o {file}")
    prompt, late = (XdsClient(listen, name, number) for number, name in enumerate(("prompt", "late")))
    running = [asyncio.create_task(client.run()) for client in (prompt, late)]
    await bench.until(
        "both clients can write to all slices",
        lambda: all(client.writes_to(number) for client in (prompt, late) for number in range(SLICES)),
        40.0,
    )
    number, former = 0, prompt.writes_to(0)
    bench.note(f"slice {number} is at {former}")
    running.append(asyncio.create_task(send_writes(late, by_name, number, LONG_WRITE_S, 0.1)))
    running.append(asyncio.create_task(send_writes(prompt, by_name, number, 0.02, 0.05)))
    await asyncio.sleep(1.0)
    if bench.trouble:
        late.faults.eds_read_delay_s = 60.0
        bench.note("the client `late` reads no assignment from now on; it reads and answers all else")
    file.write_text(operator_file(listen, nodes, former or ""))
    told = time.monotonic()
    bench.signal("controller", signal.SIGHUP)
    bench.note(f"{former} is listed as draining")
    await bench.until(
        "reads have another owner", lambda: prompt.reads_from(number) not in (None, former), 30.0
    )
    since = time.monotonic() - told
    shut = prompt.writes_to(number) is None
    writes_are = "shut" if shut else "open"
    bench.note(f"{since:.2f} s after: reads go to {prompt.reads_from(number)}, writes are {writes_are}")
    if bench.trouble and shut:
        bench.signal("controller", signal.SIGTERM)
        await asyncio.to_thread(bench.programs["controller"].wait, 10)
        bench.note("the controller has ended; it is started again")
        bench.start("controller", f"run -o {file}")
    await asyncio.sleep(14.0)
    for client in (prompt, late):
        bench.note(
            f"{client.name} writes to {client.writes_to(number)}, reads from {client.reads_from(number)}"
        )
    for task in running:
        task.cancel()
    writes = sorted((write for node in nodes for write in node.writes), key=lambda write: write.came)
    for write in writes:
        if -0.5 < write.came - told < 9.0:
            bench.note(
                f"write by {write.by} at {write.node}: came {write.came - told:.2f} s after the drain "
                f"was told, carried out at {write.done - told:.2f} s"
            )
    bench.note(f"writes: { {node.name: len(node.writes) for node in nodes} }")
    for write in writes:
        held = [
            other
            for other in writes
            if other.node != write.node and other.came <= write.came < (other.done or time.monotonic())
        ]
        for other in held[:1]:
            bench.broken(
                f"a write by {write.by} came to {write.node} {write.came - told:.2f} s after the drain was "
                f"told, while {other.node} had one by {other.by} in hand until {other.done - told:.2f} s"
            )


main(Path(__file__).resolve().parent, play)
