"""Soak test: clients hold connections through a real gate process until it is killed.

As in `soak.py`, each run ("day") draws from its seed: faults of system calls, steps of the wall clock,
pauses, series of signals and a crowd of clients; here also a server that drains now and then. The checks use
the number of bytes that the gate has read from each client. An upgrade request that was read whole gets a
status. A client that waits for the answer to a message gets it, or the end of the connection. No write is
carried out twice.

By hand: `PYTHONPATH=. python tests/soak_gate.py --seeds 20 --seed 1000 --at-once 2`. The exit code is 1 if
any check fails.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from collections import Counter
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from faulty_process import Call, Faults, NotStarted, free_address, process
from soak import CLIENTS, CROWD, GARBAGE, ProcessRun, Verdict, main, run_process
from websockets.asyncio.server import ServerConnection
from websockets.http11 import Request, Response

from lapispass.standins.nodes import CounterNode

ANSWER_S = 3.0  # for a status, the answer to a message or the end; pauses of the process do not count
HEAD_S = 1.0  # the gate's time limit for the head of an upgrade request
SLOW_UPGRADE_S = 0.4
PATHS = ("/board", "/till", "/desk")
LAST = 0x80  # the bit of a message's last frame, in the first byte of frames (RFC 6455 5.2)
MORE, TEXT, CLOSE, PING, PONG = 0x0, 0x1, 0x8, 0x9, 0xA
FILE = """
connection_class {{ name: "board" path_prefix: "/board" movable: true }}
connection_class {{ name: "till" path_prefix: "/till" writes: true }}
connection_class {{ name: "desk" path_prefix: "/desk" writes: true movable: true }}
drain {{ grace_ms: 1500 margin_ms: 300 come_back_least_ms: 50 }}
gate {{ name: "g0" listen: "{listen}" slices: 12 key_parameter: "key"
  handshake_ms: 1000 close_ms: 300 fence_ms: 300 }}
node {{ id: "n0" address: "{nodes[0]}" state: {state} }}
node {{ id: "n1" address: "{nodes[1]}" state: READY }}
"""


class SlowNode(CounterNode):
    """A server that is slow with every third upgrade, so that some are under way whenever the gate stops."""

    upgrades_seen = 0

    async def upgrade(  # type: ignore[override]
        self, connection: ServerConnection, request: Request
    ) -> Response | None:
        self.upgrades_seen += 1
        if self.upgrades_seen % 3 == 0:
            await asyncio.sleep(SLOW_UPGRADE_S)
        return super().upgrade(connection, request)


@dataclass
class GateDay(ProcessRun):
    """One run of a gate process, and the servers behind it."""

    file: Path = Path()
    nodes: list[CounterNode] = field(default_factory=list)

    def write_file(self, state: str) -> None:
        addresses = [node.address for node in self.nodes]
        listen = "{}:{}".format(*self.running.address)
        self.file.write_text(FILE.format(listen=listen, nodes=addresses, state=state))


class Client:
    """One connection of a client that behaves correctly."""

    def __init__(self, day: GateDay, name: str) -> None:
        self.day, self.name, self.status, self.sent = day, name, b"", 0
        path = day.chance.choice(PATHS)
        self.request = (
            f"GET {path}?key=k{day.chance.randrange(40)} HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
            "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
            "Sec-WebSocket-Key: MDEyMzQ1Njc4OWFiY2RlZg==\r\n\r\n"
        ).encode()

    async def connect(self) -> None:
        self.reader, self.writer = await self.day.running.connect()
        self.port = self.writer.get_extra_info("sockname")[1]
        self.read_before = self.day.running.faults.bytes_read_from(self.port)

    async def in_time(self, work: Coroutine[Any, Any, bytes], what: str) -> bytes:
        """Waits `ANSWER_S` for an answer that the gate must give. Pauses of its process do not count."""
        day, loop, task = self.day, asyncio.get_running_loop(), asyncio.create_task(work)
        begun = loop.time()
        try:
            while loop.time() - begun - day.paused_s(begun) < ANSWER_S:
                if (await asyncio.wait((task,), timeout=0.1))[0]:
                    return task.result()
            day.breach(f"{what}: neither an answer nor an end within {ANSWER_S} s")
            raise EOFError
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def upgrade(self) -> bool:
        """Sends the upgrade request in two pieces. Whether the upgrade was accepted."""
        self.day.verdict.asked += 1
        cut = self.day.chance.randrange(1, len(self.request))
        self.writer.write(self.request[:cut])
        await asyncio.sleep(self.day.chance.choice((0, 0, 0.05)))
        begun = asyncio.get_running_loop().time()
        self.writer.write(self.request[cut:])
        self.status = await self.in_time(self.reader.readuntil(b"\r\n\r\n"), "upgrade")
        self.day.verdict.answered += 1
        self.note_time(begun)
        return self.status.startswith(b"HTTP/1.1 101 ")

    def note_time(self, begun: float) -> None:
        """Records the slowest answer of the run."""
        took_s = asyncio.get_running_loop().time() - begun - self.day.paused_s(begun)
        self.day.verdict.slowest_s = max(self.day.verdict.slowest_s, took_s)

    async def write(self) -> bool:
        """Sends a numbered write and checks its answer. False if the gate has closed the connection."""
        number = f"{self.name}-{self.sent}"
        self.sent += 1
        self.day.verdict.asked += 1
        begun = asyncio.get_running_loop().time()
        self.send(TEXT, f"w {self.name} {number}".encode())
        answer = await self.in_time(self.answer(), "message")
        self.note_time(begun)
        if answer and answer != f"ok {number}".encode():
            self.day.breach(f"another answer to {number}: {answer!r}")
        self.day.verdict.answered += bool(answer)
        return bool(answer)

    def send(self, kind: int, payload: bytes) -> None:
        """A short message of one frame, masked with zeros."""
        self.writer.write(bytes((LAST | kind, 0x80 | len(payload), 0, 0, 0, 0)) + payload)

    async def answer(self) -> bytes:
        """The next message; empty at a close frame. Pings and a close frame are answered."""
        message = b""
        while True:
            first, length = await self.reader.readexactly(2)
            payload = await self.reader.readexactly(length)
            kind = first & ~LAST
            if kind == PING:
                self.send(PONG, payload)
            elif kind == CLOSE:
                self.send(CLOSE, payload)
                if await self.reader.read():
                    self.day.breach("bytes behind a close frame")
                return b""
            elif kind in (TEXT, MORE):
                message += payload
                if first & LAST:
                    return message
            else:
                self.day.breach(f"a frame {first:#x} {payload!r}")

    def check_upgrade_answered(self) -> None:
        """Checks, when the connection has ended, that an upgrade request that was read whole got a status."""
        read = self.day.running.faults.bytes_read_from(self.port) - self.read_before
        if read >= len(self.request) and not self.status:
            self.day.breach(f"lost: an upgrade of {len(self.request)} bytes, {read} read, no status")

    async def run(self, pauses_s: tuple[float, ...], begins_after_s: float = 0.0) -> None:
        """Runs one connection to its end."""
        try:
            await self.connect()
        except OSError:
            await asyncio.sleep(0.01)
            return
        try:
            await asyncio.sleep(begins_after_s)
            if await self.upgrade():
                while await self.write():
                    await asyncio.sleep(self.day.chance.choice(pauses_s))
            self.check_upgrade_answered()
        except (EOFError, OSError):
            self.check_upgrade_answered()
        finally:
            self.writer.close()


async def keep_connected(day: GateDay, name: str) -> None:
    """Opens one connection after the other and keeps each until the gate ends it."""
    opened = 0
    while not day.is_stopping:
        opened += 1
        await Client(day, f"{name}.{opened}").run((0, 0, 0.01, 0.1, 0.5))


async def upgrade_late(day: GateDay, name: str) -> None:
    """Opens connections that send their upgrade request after some silence, also while the gate stops."""
    rounds = 0
    while not day.is_stopping:
        rounds += 1
        waits_s = [day.chance.uniform(0, HEAD_S * 0.8) for _ in range(10)]
        connections = (
            Client(day, f"{name}.{rounds}.{n}").run((0.05,), wait_s) for n, wait_s in enumerate(waits_s)
        )
        await asyncio.gather(*(leave_early(day, connection) for connection in connections))


async def leave_early(day: GateDay, connection: Coroutine[Any, Any, None]) -> None:
    """Runs a client that leaves after a while, except while the gate stops."""
    task = asyncio.create_task(connection)
    await asyncio.wait((task,), timeout=1.5)
    if not day.is_stopping:
        task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    if not task.cancelled():
        task.result()


async def crowd(day: GateDay, name: str) -> None:
    """Opens hundreds of connections at once."""

    async def connect_one(number: int) -> None:
        await asyncio.sleep(day.chance.uniform(0, 0.3))
        await leave_early(day, Client(day, f"{name}.{rounds}.{number}").run((0.2,)))

    rounds = 0
    while not day.is_stopping:
        rounds += 1
        await asyncio.gather(*(connect_one(number) for number in range(CROWD)))


async def send_garbage(day: GateDay) -> None:
    """Opens connections that send invalid bytes or nothing. Each must get a status or a close."""

    async def send_invalid(sent: bytes) -> None:
        client = Client(day, "bad")
        try:
            await client.connect()
            client.writer.write(sent)
            await client.in_time(client.reader.read(), f"owed to {sent[:20]!r}")
        except (EOFError, OSError):
            pass
        client.writer.close()

    while not day.is_stopping:
        await asyncio.gather(*(send_invalid(day.chance.choice(GARBAGE)) for _ in range(10)))


async def drain(day: GateDay) -> None:
    """Drains one of the servers and takes it back."""
    while not day.is_stopping:
        await asyncio.sleep(day.chance.uniform(0.3, 1.0))
        day.write_file(day.chance.choice(("READY", "DRAINING")))
        if not day.is_stopping:
            day.running.signal(signal.SIGHUP)


def gates_clients(day: GateDay, round_number: int) -> list[Coroutine[Any, Any, None]]:
    clients = [keep_connected(day, f"{round_number}.{number}") for number in range(CLIENTS)]
    clients += [upgrade_late(day, f"{round_number}.late"), send_garbage(day), drain(day)]
    if day.is_crowded:
        clients += [crowd(day, f"{round_number}.crowd")]
    return clients


def duplicate_writes(nodes: Sequence[CounterNode]) -> dict[str, int]:
    """The numbers of writes that were carried out more than once, over all servers."""
    carried = Counter(write.number for node in nodes for write in node.writes)
    return {number: count for number, count in carried.items() if count > 1}


async def play_day(seed: int, folder: Path) -> Verdict:
    """Runs two gates at one address, one after the other."""
    chance, verdict = random.Random(seed), Verdict(seed)
    faults, address = Faults(folder / "faults"), free_address()
    is_crowded = chance.random() < 0.4
    file = folder / "operator.textproto"
    async with SlowNode("n0") as first, SlowNode("n1") as second:
        nodes = [first, second]
        file.write_text(
            FILE.format(
                listen="{}:{}".format(*address), nodes=[node.address for node in nodes], state="READY"
            )
        )
        for round_number in range(2):
            faults.clear(Call.PIPE)  # the log says when the gate listens
            try:
                async with process(
                    ("gate", "-o", str(file)), faults, address, "event=listening", {}
                ) as running:
                    day = GateDay(running, chance, verdict, is_crowded, file=file, nodes=nodes)
                    await run_process(day, gates_clients(day, round_number))
            except NotStarted as error:
                verdict.breaches.append(f"not started: {error}")
        if twice := duplicate_writes(nodes):
            verdict.breaches.append(f"carried out twice: {twice}")
    return verdict


def play_seed(seed: int) -> Verdict:
    """Runs one seed on an event loop of its own."""
    with TemporaryDirectory(prefix="lapispass-soak-") as folder:
        return asyncio.run(play_day(seed, Path(folder)))


if __name__ == "__main__":
    sys.exit(main(play_seed, __doc__))
