"""Kills and pauses controllers that share a coordination service, and checks the writes that nodes executed.

The controllers are real processes (`lapispass run`), so that they can be paused by SIGSTOP. The service, the
clients and the nodes, which only record writes, are stand-ins in this process. What was published, and when,
is taken from the service itself, because a controller may publish nothing before its transaction is there.
Run it with `python -m lapispass lab peers --seconds 600`.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from lapispass.core.tables import slice_of
from lapispass.rules.checker import Bounds, Checker
from lapispass.rules.checks import Breach
from lapispass.standins.coordination import CoordinationServer
from lapispass.standins.nodes import clock_us
from lapispass.standins.xds_client import Faults, XdsClient

SLICES, NODES, LEASE_MS, WRITE_LIFETIME_MS, UNSERVED_MS, SESSION_S = 24, 4, 800, 150, 12_000, 1
SLICE_KEY = b"/lapispass/slices/"


def free_port() -> int:
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return int(found.getsockname()[1])


@dataclass
class RunResult:
    """The result of a run: broken rules, counts of events, and the longest time a slice was unserved."""

    seed: int
    breaches: list[Breach] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    worst_bare_us: int = 0
    events: list[str] = field(default_factory=list)

    def __str__(self) -> str:
        counts = " ".join(f"{name}={count}" for name, count in sorted(self.counts.items()))
        worst = f"worst_bare_ms={self.worst_bare_us // 1000}"
        head = f"seed={self.seed} breaches={len(self.breaches)} {counts} {worst}"
        return head if not self.breaches else "\n".join([head, *map(str, self.breaches[:5]), *self.events])


class Run:
    """One run of several controllers over one coordination service."""

    def __init__(
        self, seed: int, seconds: float, controllers: int, folder: Path, pauses: bool = True
    ) -> None:
        self.chance, self.seconds, self.folder, self.pauses = random.Random(seed), seconds, folder, pauses
        self.service = CoordinationServer()
        self.verdict = RunResult(seed)
        self.names = [f"c{index}" for index in range(controllers)]
        self.ports = {name: free_port() for name in self.names}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.paused: dict[str, float] = {}
        self.states = {f"n{index}": "READY" for index in range(NODES)}
        self.checker = Checker(Bounds(UNSERVED_MS * 1000, 60_000_000), lambda key: slice_of(key, SLICES))
        self.epochs: dict[int, int] = {}
        self.owners: dict[int, str | None] = {}
        self.clients: list[XdsClient] = []
        self.sent = 0
        self.in_flight: set[asyncio.Task[None]] = set()

    def write_operator_file(self, name: str) -> Path:
        nodes = "\n".join(
            f'node {{ id: "{node}" address: "127.0.0.1:{9000 + index}" zone: "east" state: {state} }}'
            for index, (node, state) in enumerate(self.states.items())
        )
        file = self.folder / f"{name}.textproto"
        file.write_text(
            f'xds {{ listen: "127.0.0.1:{self.ports[name]}" late_ms: 800 new_per_s: 1000 burst: 1000 }}\n'
            f"alone {{ slices: {SLICES} lease_ms: {LEASE_MS} write_life_ms: {WRITE_LIFETIME_MS} "
            f"bare_ms: {UNSERVED_MS} "
            f'shared {{ name: "{name}" coordination: "{self.service.address}" session_s: {SESSION_S} }} '
            'visit_class { name: "look" agreed_ms: 500 patience_ms: 1000 benefit: 1 } '
            'visit_class { name: "trade-order" agreed_ms: 500 patience_ms: 1000 benefit: 3 writes: true } }\n'
            + nodes
        )
        return file

    def start(self, name: str) -> None:
        command = [sys.executable, "-m", "lapispass", "run", "-o", str(self.write_operator_file(name))]
        log = (self.folder / f"{name}.log").open("ab")
        environment = {**os.environ, "PYTHONPATH": str(Path(__file__).parent.parent.parent)}
        self.processes[name] = subprocess.Popen(command, stderr=log, env=environment)
        log.close()

    def observe_puts(self, put: Callable[[bytes, bytes, int], None]) -> Callable[[bytes, bytes, int], None]:
        """Wraps the service's put, to record published owners and to check that epochs never decrease."""

        def put_and_check(key: bytes, value: bytes, lease: int) -> None:
            put(key, value, lease)
            if key.startswith(SLICE_KEY):
                number, record = int(key[len(SLICE_KEY) :]), json.loads(value)
                now = clock_us()
                if record["epoch"] < self.epochs.get(number, 0):
                    self.checker.breach("2", record["holder"], now, f"epoch of slice {number} decreased")
                self.verdict.counts["takeovers"] += record["epoch"] > self.epochs.get(number, 0)
                self.epochs[number] = record["epoch"]
                if self.owners.get(number, "") != record["owner"]:
                    self.owners[number] = record["owner"]
                    self.checker.step_published(now, number, record["owner"])
                    self.verdict.counts["handovers"] += record["owner"] is not None

        return put_and_check

    async def play(self) -> RunResult:
        """Starts everything, injects faults for the given time, and checks the rules."""
        await self.service.start()
        self.service.state._put = self.observe_puts(self.service.state._put)  # type: ignore[method-assign, assignment]
        for name in self.names:
            self.start(name)
        for index in range(2 * len(self.names)):
            name = self.names[index % len(self.names)]
            faults = (
                Faults(eds_read_delay_s=0.4) if index == len(self.names) else Faults(reconnect_delay_s=0.05)
            )
            self.clients.append(XdsClient(f"127.0.0.1:{self.ports[name]}", f"x{index}", index, index % 2 == 0,
                                          faults=faults))  # fmt: skip
        client_tasks = [asyncio.create_task(client.run()) for client in self.clients]
        try:
            await self.wait_until_served(40.0)
            client_tasks += [
                asyncio.create_task(self.send_writes()),
                asyncio.create_task(self.sample_clients()),
            ]
            started_at = asyncio.get_running_loop().time()
            while asyncio.get_running_loop().time() < started_at + self.seconds:
                await asyncio.sleep(self.chance.uniform(0.1, 0.6))
                self.inject_fault()
            self.stop_faults()
            await self.wait_until_served(40.0)
            self.verdict.counts["served_at_the_end"] = 1
        finally:
            for task in client_tasks:
                task.cancel()
            await asyncio.gather(*client_tasks, *self.in_flight, return_exceptions=True)
            for process in self.processes.values():
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
            self.service.stop()
        self.verdict.breaches = self.checker.verdict()
        self.verdict.counts["writes"] = len(self.checker.executed)
        self.verdict.worst_bare_us = self.checker.worst_unserved_us
        self.verdict.events = list(self.checker.events)
        return self.verdict

    async def wait_until_served(self, seconds: float) -> None:
        """Waits until every client can write to every slice; raises TimeoutError if that takes too long."""
        async with asyncio.timeout(seconds):
            while not all(client.writes_to(number) for client in self.clients for number in range(SLICES)):
                self.resume_and_reconnect()
                await asyncio.sleep(0.05)

    def resume_and_reconnect(self) -> None:
        """Resumes controllers whose pause is over; clients without a stream turn to one that is running."""
        now = asyncio.get_running_loop().time()
        for name in [name for name, until in self.paused.items() if until <= now]:
            del self.paused[name]
            self.processes[name].send_signal(signal.SIGCONT)
            self.checker.note(clock_us(), f"controller {name} resumed")
        up = [name for name in self.names if name not in self.paused and self.processes[name].poll() is None]
        for index, client in enumerate(self.clients):
            if up and client.stream is None:
                client.address = f"127.0.0.1:{self.ports[up[(index + client.streams) % len(up)]]}"

    def stop_faults(self) -> None:
        """Ends all faults, and starts the controllers that were killed."""
        for name in self.paused:
            self.paused[name] = 0
        self.resume_and_reconnect()
        self.service.faults.silent = self.service.faults.frozen = False
        self.service.faults.slow_s = 0
        for name in self.names:
            if self.processes[name].poll() is not None:
                self.start(name)

    def inject_fault(self) -> None:
        """Injects one fault or makes one step of a deploy. All controllers but one may be out at once."""
        chance, counts = self.chance, self.verdict.counts
        self.resume_and_reconnect()
        for name in self.names:
            if self.processes[name].poll() is not None and chance.random() < 0.5:
                self.start(name)
        up = [name for name in self.names if name not in self.paused and self.processes[name].poll() is None]
        fault = chance.choices(["kill", "pause", "drop", "deploy", "silent", "lost", "compact", "rest"],
                               [1, 1 if self.pauses else 0, 4, 4, 0.4, 1, 0.5, 3])[0]  # fmt: skip
        if fault in ("kill", "pause") and len(up) < 2:
            return
        counts[fault] += fault != "rest"
        match fault:
            case "kill":
                name = chance.choice(up)
                self.checker.note(clock_us(), f"controller {name} killed")
                self.processes[name].kill()
                self.processes[name].wait()
            case "pause":
                name = chance.choice(up)
                self.checker.note(clock_us(), f"controller {name} paused")
                self.processes[name].send_signal(signal.SIGSTOP)
                self.paused[name] = asyncio.get_running_loop().time() + chance.uniform(0.2, 4.0)
                for client in self.clients:
                    if client.address.endswith(f":{self.ports[name]}") and chance.random() < 0.5:
                        client.drop()
            case "drop":
                chance.choice(self.clients).drop()
            case "deploy":
                node = chance.choice(sorted(self.states))
                ready = sum(state == "READY" for state in self.states.values())
                if self.states[node] != "READY" or ready > 2:
                    self.states[node] = "READY" if self.states[node] != "READY" else "DRAINING"
                    self.checker.note(clock_us(), f"node {node} {self.states[node]}")
                    for name in self.names:
                        self.write_operator_file(name)
                        if self.processes[name].poll() is None:
                            self.processes[name].send_signal(signal.SIGHUP)
            case "silent":
                self.service.faults.silent = True
                asyncio.get_running_loop().call_later(chance.uniform(0.3, 3.0), self.end_silence)
            case "lost":
                self.service.faults.lose_answers += 2
            case "compact":
                self.service.state.compact(self.service.state.revision)
                self.service.reset()

    def end_silence(self) -> None:
        self.service.faults.silent = False

    async def send_writes(self) -> None:
        """Sends writes, each numbered and sent once, to the node that a random client would choose."""
        while True:
            await asyncio.sleep(0.005)
            client, key = self.chance.choice(self.clients), f"k{self.chance.randrange(80)}"
            if node := client.writes_to(slice_of(key, SLICES)):
                self.sent += 1
                task = asyncio.create_task(self.execute_write(node, key, f"{client.name}-{self.sent}"))
                self.in_flight.add(task)
                task.add_done_callback(self.in_flight.discard)

    async def execute_write(self, node: str, key: str, number: str) -> None:
        sent = clock_us()
        await asyncio.sleep(self.chance.uniform(0, WRITE_LIFETIME_MS * 0.8) / 1000)
        if clock_us() - sent <= WRITE_LIFETIME_MS * 1000:
            self.checker.write_executed(clock_us(), node, key, number)

    async def sample_clients(self) -> None:
        """Checks rule 1 at the clients that have a stream and all tables."""
        while True:
            await asyncio.sleep(0.05)
            now = clock_us()
            for client in self.clients:
                if (
                    client.stream is None
                    or client.faults.eds_read_delay_s
                    or len(client.endpoints) < 2 * SLICES
                ):
                    self.checker.party_left(client.name)
                    continue
                for number in range(SLICES):
                    self.checker.pick(now, client.name, number, client.reads_from(number))


async def play(seed: int, seconds: float, controllers: int = 3, pauses: bool = True) -> RunResult:
    """Runs once, in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        return await Run(seed, seconds, controllers, Path(folder), pauses).play()


def main(seed: int, seconds: float, controllers: int) -> int:
    """Runs once and prints the result; returns 1 if a rule was broken."""
    verdict = asyncio.run(play(seed, seconds, controllers))
    print(verdict)
    return 1 if verdict.breaches else 0
