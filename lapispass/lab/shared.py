"""Several controllers killed and paused at random over one coordination service, judged by what nodes
carried out.

The controllers are real processes (`lapispass run`), so that a pause is a real one (SIGSTOP); the service,
the clients and the nodes' recorders are stand-ins in this process. What was published, and when, is read
off the service itself: a controller may tell nobody before its transaction is there. `python -m lapispass
lab peers --seconds 600`.
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
from lapispass.rules.five import Bounds, Checker
from lapispass.rules.held import Breach
from lapispass.standins.coordination import Coordination
from lapispass.standins.nodes import clock_us
from lapispass.standins.xds_client import Faults, XdsClient

SLICES, NODES, LEASE_MS, LIFE_MS, BARE_MS, SESSION_S = 24, 4, 800, 150, 12_000, 1
SLICE_KEY = b"/lapispass/slices/"


def free_port() -> int:
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return int(found.getsockname()[1])


@dataclass
class Verdict:
    """What a run came to."""

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


class Day:
    """One run."""

    def __init__(
        self, seed: int, seconds: float, controllers: int, folder: Path, pauses: bool = True
    ) -> None:
        self.chance, self.seconds, self.folder, self.pauses = random.Random(seed), seconds, folder, pauses
        self.service = Coordination()
        self.verdict = Verdict(seed)
        self.names = [f"c{place}" for place in range(controllers)]
        self.ports = {name: free_port() for name in self.names}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.paused: dict[str, float] = {}
        self.states = {f"n{place}": "READY" for place in range(NODES)}
        self.checker = Checker(Bounds(BARE_MS * 1000, 60_000_000), lambda key: slice_of(key, SLICES))
        self.epochs: dict[int, int] = {}
        self.owners: dict[int, str | None] = {}
        self.clients: list[XdsClient] = []
        self.sent = 0
        self.flying: set[asyncio.Task[None]] = set()

    def file(self, name: str) -> Path:
        nodes = "\n".join(
            f'node {{ id: "{node}" address: "127.0.0.1:{9000 + place}" zone: "east" state: {state} }}'
            for place, (node, state) in enumerate(self.states.items())
        )
        file = self.folder / f"{name}.textproto"
        file.write_text(
            f'xds {{ listen: "127.0.0.1:{self.ports[name]}" late_ms: 800 new_per_s: 1000 burst: 1000 }}\n'
            f"alone {{ slices: {SLICES} lease_ms: {LEASE_MS} write_life_ms: {LIFE_MS} bare_ms: {BARE_MS} "
            f'shared {{ name: "{name}" coordination: "{self.service.address}" session_s: {SESSION_S} }} '
            'visit_class { name: "look" agreed_ms: 500 patience_ms: 1000 benefit: 1 } '
            'visit_class { name: "trade-order" agreed_ms: 500 patience_ms: 1000 benefit: 3 writes: true } }\n'
            + nodes
        )
        return file

    def start(self, name: str) -> None:
        command = [sys.executable, "-m", "lapispass", "run", "-o", str(self.file(name))]
        log = (self.folder / f"{name}.log").open("ab")
        environment = {**os.environ, "PYTHONPATH": str(Path(__file__).parent.parent.parent)}
        self.processes[name] = subprocess.Popen(command, stderr=log, env=environment)
        log.close()

    def observe(self, put: Callable[[bytes, bytes, int], None]) -> Callable[[bytes, bytes, int], None]:
        """What the service is told of slices: owners as published, epochs that may only rise."""

        def watched(key: bytes, value: bytes, lease: int) -> None:
            put(key, value, lease)
            if key.startswith(SLICE_KEY):
                number, told = int(key[len(SLICE_KEY) :]), json.loads(value)
                now = clock_us()
                if told["epoch"] < self.epochs.get(number, 0):
                    self.checker.breach("2", told["holder"], now, f"epoch of slice {number} went back")
                self.verdict.counts["takeovers"] += told["epoch"] > self.epochs.get(number, 0)
                self.epochs[number] = told["epoch"]
                if self.owners.get(number, "") != told["owner"]:
                    self.owners[number] = told["owner"]
                    self.checker.publish(now, number, told["owner"])
                    self.verdict.counts["handovers"] += told["owner"] is not None

        return watched

    async def play(self) -> Verdict:
        """Starts all, makes trouble for as long as told, and judges."""
        await self.service.start()
        self.service.state._put = self.observe(self.service.state._put)  # type: ignore[method-assign, assignment]
        for name in self.names:
            self.start(name)
        for place in range(2 * len(self.names)):
            name = self.names[place % len(self.names)]
            faults = (
                Faults(eds_read_delay_s=0.4) if place == len(self.names) else Faults(reconnect_delay_s=0.05)
            )
            self.clients.append(XdsClient(f"127.0.0.1:{self.ports[name]}", f"x{place}", place, place % 2 == 0,
                                          faults=faults))  # fmt: skip
        lives = [asyncio.create_task(client.run()) for client in self.clients]
        try:
            await self.until_served(40.0)
            lives += [asyncio.create_task(self.write()), asyncio.create_task(self.sample())]
            begun = asyncio.get_running_loop().time()
            while asyncio.get_running_loop().time() < begun + self.seconds:
                await asyncio.sleep(self.chance.uniform(0.1, 0.6))
                self.trouble()
            self.calm()
            await self.until_served(40.0)
            self.verdict.counts["served_at_the_end"] = 1
        finally:
            for life in lives:
                life.cancel()
            await asyncio.gather(*lives, *self.flying, return_exceptions=True)
            for process in self.processes.values():
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
            self.service.stop()
        self.verdict.breaches = self.checker.verdict()
        self.verdict.counts["writes"] = len(self.checker.carried)
        self.verdict.worst_bare_us = self.checker.worst_bare_us
        self.verdict.events = list(self.checker.events)
        return self.verdict

    async def until_served(self, seconds: float) -> None:
        """Every slice can be written to by every client without faults; a TimeoutError where it does not
        come to that."""
        async with asyncio.timeout(seconds):
            while not all(client.writes_to(number) for client in self.clients for number in range(SLICES)):
                self.settle()
                await asyncio.sleep(0.05)

    def settle(self) -> None:
        """Clients of a controller that is not there go to another; pauses end when their time has come."""
        now = asyncio.get_running_loop().time()
        for name in [name for name, until in self.paused.items() if until <= now]:
            del self.paused[name]
            self.processes[name].send_signal(signal.SIGCONT)
            self.checker.note(clock_us(), f"controller {name} goes on")
        up = [name for name in self.names if name not in self.paused and self.processes[name].poll() is None]
        for place, client in enumerate(self.clients):
            if up and client.stream is None:
                client.address = f"127.0.0.1:{self.ports[up[(place + client.streams) % len(up)]]}"

    def calm(self) -> None:
        """No trouble any more."""
        for name in self.paused:
            self.paused[name] = 0
        self.settle()
        self.service.faults.silent = self.service.faults.frozen = False
        self.service.faults.slow_s = 0
        for name in self.names:
            if self.processes[name].poll() is not None:
                self.start(name)

    def trouble(self) -> None:
        """One thing that goes wrong, or one step of a deploy; two controllers in three may be out at once."""
        chance, counts = self.chance, self.verdict.counts
        self.settle()
        for name in self.names:
            if self.processes[name].poll() is not None and chance.random() < 0.5:
                self.start(name)
        up = [name for name in self.names if name not in self.paused and self.processes[name].poll() is None]
        what = chance.choices(["kill", "pause", "drop", "deploy", "silent", "lost", "compact", "rest"],
                              [1, 1 if self.pauses else 0, 4, 4, 0.4, 1, 0.5, 3])[0]  # fmt: skip
        if what in ("kill", "pause") and len(up) < 2:
            return
        counts[what] += what != "rest"
        match what:
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
                        self.file(name)
                        if self.processes[name].poll() is None:
                            self.processes[name].send_signal(signal.SIGHUP)
            case "silent":
                self.service.faults.silent = True
                asyncio.get_running_loop().call_later(chance.uniform(0.3, 3.0), self.heal)
            case "lost":
                self.service.faults.lose_answers += 2
            case "compact":
                self.service.state.compact(self.service.state.revision)
                self.service.reset()

    def heal(self) -> None:
        self.service.faults.silent = False

    async def write(self) -> None:
        """Each write is numbered and sent once, to where its client says."""
        while True:
            await asyncio.sleep(0.005)
            client, key = self.chance.choice(self.clients), f"k{self.chance.randrange(80)}"
            if node := client.writes_to(slice_of(key, SLICES)):
                self.sent += 1
                task = asyncio.create_task(self.carry(node, key, f"{client.name}-{self.sent}"))
                self.flying.add(task)
                task.add_done_callback(self.flying.discard)

    async def carry(self, node: str, key: str, number: str) -> None:
        sent = clock_us()
        await asyncio.sleep(self.chance.uniform(0, LIFE_MS * 0.8) / 1000)
        if clock_us() - sent <= LIFE_MS * 1000:
            self.checker.carry(clock_us(), node, key, number)

    async def sample(self) -> None:
        """Rule 1 at clients whose stream stands."""
        while True:
            await asyncio.sleep(0.05)
            now = clock_us()
            for client in self.clients:
                if (
                    client.stream is None
                    or client.faults.eds_read_delay_s
                    or len(client.endpoints) < 2 * SLICES
                ):
                    self.checker.parted(client.name)
                    continue
                for number in range(SLICES):
                    self.checker.pick(now, client.name, number, client.reads_from(number))


async def play(seed: int, seconds: float, controllers: int = 3, pauses: bool = True) -> Verdict:
    """One run in a folder of its own."""
    with tempfile.TemporaryDirectory() as folder:
        return await Day(seed, seconds, controllers, Path(folder), pauses).play()


def main(seed: int, seconds: float, controllers: int) -> int:
    """One run; 1 where a rule was broken."""
    verdict = asyncio.run(play(seed, seconds, controllers))
    print(verdict)
    return 1 if verdict.breaches else 0
