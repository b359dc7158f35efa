"""A controller stands still once for two seconds: may its clients write again after that?"""

from __future__ import annotations

import asyncio
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from support.bench import Bench, NotRun, free_address, main

from lapispass.standins.xds_client import XdsClient

SLICES, NODES = 12, 3
LEASE_S, WRITE_LIFE_S, BARE_S = 1.5, 5.02, 13.7
STILL_S = 2.0
SLACK_S = 0.3  # more on sockets, by the protocol page
WATCHED_S = 25.0


@dataclass
class Node:
    """A node: it takes lines `CLASS SLICE ID`, works for half a second, and answers."""

    name: str
    bench: Bench
    address: str = ""

    async def start(self) -> None:
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname()[:2])

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            visit = (await reader.readline()).decode().strip()
            self.bench.note(f"{self.name} runs {visit}")
            await asyncio.sleep(0.5)
            writer.write(b"ok\n")
            await writer.drain()
        finally:
            writer.close()


@dataclass
class Class:
    """What one client met with visits of one class."""

    sent: int = 0
    answered: int = 0
    refused: int = 0  # no line to pick
    since: float | None = None  # since when it has had no line to pick for some slice
    longest_s: float = 0.0


@dataclass
class Caller:
    """Sends visits of both classes by what its xDS client says."""

    client: XdsClient
    nodes: dict[str, Node]
    bench: Bench
    classes: dict[str, Class] = field(
        default_factory=lambda: {"stock-check": Class(), "trade-order": Class()}
    )
    streams: int = 0

    def pick(self, kind: str, number: int) -> str | None:
        client = self.client
        return client.writes_to(number) if kind == "trade-order" else client.reads_from(number)

    def may_all(self) -> bool:
        return all(self.pick(kind, number) for kind in self.classes for number in range(SLICES))

    async def run(self) -> None:
        """One visit of each class every 0.1 s, the slices in turn."""
        turn = 0
        while True:
            for kind, found in self.classes.items():
                now = self.bench.now()
                if all(self.pick(kind, number) for number in range(SLICES)):
                    found.since = None
                else:
                    found.since = now if found.since is None else found.since
                    found.longest_s = max(found.longest_s, now - found.since)
                if node := self.pick(kind, turn % SLICES):
                    task = asyncio.create_task(self.visit(kind, node, f"{kind} {turn % SLICES}", turn))
                    TASKS.add(task)
                    task.add_done_callback(TASKS.discard)
                else:
                    found.refused += 1
                    self.bench.note(f"{self.client.name} refuses {kind} {turn % SLICES}: no line to pick")
            turn += 1
            await asyncio.sleep(0.1)

    async def visit(self, kind: str, node: str, what: str, turn: int) -> None:
        found, visit = self.classes[kind], f"{what} {self.client.name}-{turn}"
        found.sent += 1
        self.bench.note(f"{self.client.name} sends {visit} to {node}")
        host, port = self.nodes[node].address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(f"{visit}\n".encode())
            answer = await reader.readline()
            found.answered += answer == b"ok\n"
            self.bench.note(f"{self.client.name} has the answer to {visit}")
        finally:
            writer.close()


TASKS: set[asyncio.Task[None]] = set()


async def play(bench: Bench) -> None:
    nodes = {f"n{index}": Node(f"n{index}", bench) for index in range(NODES)}
    for node in nodes.values():
        await node.start()
    listen, file = free_address(), bench.temporary / "xds.textproto"
    file.write_text(
        f'xds {{ listen: "{listen}" }}\n'
        f'alone {{ store_file: "assignments.sqlite" slices: {SLICES} lease_ms: {LEASE_S * 1000:.0f} '
        f"write_life_ms: {WRITE_LIFE_S * 1000:.0f} bare_ms: {BARE_S * 1000:.0f}\n"
        'visit_class { name: "stock-check" agreed_ms: 1500 patience_ms: 5000 benefit: 1 }\n'
        'visit_class { name: "trade-order" agreed_ms: 3000 patience_ms: 5000 benefit: 2 writes: true } }\n'
        + "".join(
            f'node {{ id: "{node.name}" address: "{node.address}" zone: "east" }}\n'
            for node in nodes.values()
        ),
        encoding="utf-8",
    )
    bench.start("controller", f"run -o {file}")
    callers = [
        Caller(XdsClient(listen, f"x{index}", index, incremental=index % 2 == 0), nodes, bench)
        for index in range(4)
    ]

    def begin(caller: Caller) -> None:
        task = asyncio.create_task(caller.client.run())
        TASKS.add(task)

    for caller in callers:
        begin(caller)
    await bench.until(
        "all clients may send all visits", lambda: all(caller.may_all() for caller in callers), 40
    )
    for caller in callers:
        TASKS.add(asyncio.create_task(caller.run()))
    await asyncio.sleep(3.0)
    for caller in callers:
        caller.streams = caller.client.streams
    if bench.trouble:
        bench.signal("controller", signal.SIGSTOP)
    await asyncio.sleep(STILL_S)
    if bench.trouble:
        bench.signal("controller", signal.SIGCONT)
    await asyncio.sleep(WATCHED_S)
    bench.check_running()
    newcomer = Caller(XdsClient(listen, "new", 9), nodes, bench)
    begin(newcomer)
    await bench.until("a client that has just come may send all visits", newcomer.may_all, 15)
    bench.note("a client that has just come may send all visits")
    for caller in callers:
        if caller.client.streams != caller.streams or caller.client.stream is None:
            raise NotRun(f"{caller.client.name} has lost its stream")
        for kind, found in caller.classes.items():
            text = (
                f"{caller.client.name}, {kind}: {found.sent} sent, {found.answered} answered, "
                f"{found.refused} without a line to pick, for {found.longest_s:.1f} s at most"
            )
            bench.note(text)
            print(text)
            if found.longest_s > BARE_S + SLACK_S:
                bench.broken(text)


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play)
