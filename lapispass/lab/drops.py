"""The random drop test: xDS clients whose streams are cut at random under a rolling deploy, each rule
checked.

A real desk and store on loopback, stand-in clients of both protocols, some of them faulty; nodes are
recorders that carry a write out some time after it was sent, within the longest life of a write. After each
version that a client applies, and at the end, the rules are checked on what the nodes saw. Everything that
led to a breach is kept.
"""

from __future__ import annotations

import asyncio
import logging
import random
import tempfile
from collections import deque
from dataclasses import dataclass, field
from pathlib import Path

from lapispass import interface
from lapispass.core.tables import slice_of
from lapispass.operator import read as operator
from lapispass.rules.five import Bounds, Checker
from lapispass.rules.held import Breach
from lapispass.standins.nodes import clock_us
from lapispass.standins.xds_client import Faults, XdsClient
from lapispass.store.assignments import Assignments
from lapispass.xds.host import Host

SLICES, NODES, LEASE_MS, LIFE_MS, BARE_MS, GRACE_MS = 12, 4, 400, 150, 4000, 1000


def file_of(states: dict[str, str], store: str, started: dict[str, int]) -> str:
    """An operator file of a small fleet."""
    nodes = "\n".join(
        f'node {{ id: "{name}" address: "127.0.0.1:{9000 + place}" zone: "{"east" if place % 2 else "west"}" '
        f"state: {state} started_unix_ms: {started.get(name, 0)} }}"
        for place, (name, state) in enumerate(states.items())
    )
    return (
        'xds { listen: "127.0.0.1:0" late_ms: 1500 new_per_s: 1000 burst: 100 }\n'
        f'alone {{ store_file: "{store}" slices: {SLICES} lease_ms: {LEASE_MS} write_life_ms: {LIFE_MS} '
        f"bare_ms: {BARE_MS} cold_ms: 500 cold_share: 0.5 "
        'visit_class { name: "look" agreed_ms: 500 patience_ms: 1000 benefit: 1 } '
        'visit_class { name: "trade-order" agreed_ms: 500 patience_ms: 1000 benefit: 3 writes: true } }\n'
        + nodes
    )


FAULTS = [
    Faults(silent=True),
    Faults(deaf=True),
    Faults(refuses=True),
    Faults(refuses_applied=True),
    Faults(twice=True),
    Faults(wrong=True),
    Faults(late_s=0.2),
    Faults(late_s=0.6),
    Faults(ttl=False),
    Faults(slow_s=0.3),
    Faults(slow_s=0.8),
    Faults(slow_eds_s=0.7),
]


@dataclass(frozen=True)
class Duration:
    """How long a day lasts: `seconds`, and on until the counts are reached, but `most_s` at most.

    A count that depends on the machine's speed is reached later on a busy machine; one that is not reached by
    `most_s` is for the caller to see in the verdict. A broken rule ends the day after `seconds`.
    """

    seconds: float = 4.0
    most_s: float = 4.0
    writes: int = 0  # carried out and judged
    handovers: int = 0
    drops: int = 0

    def is_over(self, elapsed_s: float, verdict: Verdict, writes: int) -> bool:
        """Whether a day that began `elapsed_s` ago and saw so much ends now."""
        if elapsed_s < self.seconds:
            return False
        if elapsed_s >= self.most_s or verdict.breaches:
            return True
        reached = (writes, verdict.handovers, verdict.drops)
        wanted = (self.writes, self.handovers, self.drops)
        return all(count >= least for count, least in zip(reached, wanted, strict=True))


@dataclass
class Verdict:
    """What a seed came to."""

    seed: int
    breaches: list[Breach]
    writes: int = 0
    handovers: int = 0
    versions: int = 0
    drops: int = 0
    restarts: int = 0
    worst_bare_us: int = 0
    worst_drain_us: int = 0
    writers: int = 0  # clients that could write at the end
    log: deque[str] = field(default_factory=lambda: deque(maxlen=60))

    def __str__(self) -> str:
        head = (
            f"seed={self.seed} breaches={len(self.breaches)} writes={self.writes} handovers={self.handovers} "
            f"versions={self.versions} drops={self.drops} restarts={self.restarts} "
            f"worst_bare_ms={self.worst_bare_us // 1000} worst_drain_ms={self.worst_drain_us // 1000}"
        )
        return head if not self.breaches else "\n".join([head, *map(str, self.breaches[:5]), *self.log])


class Day:
    """One seed."""

    def __init__(self, seed: int, folder: Path, duration: Duration) -> None:
        self.chance, self.folder, self.duration = random.Random(seed), folder, duration
        self.verdict = Verdict(seed, [])
        self.checker = Checker(
            Bounds(bare_us=BARE_MS * 1000, grace_us=GRACE_MS * 1000), lambda key: slice_of(key, SLICES)
        )
        self.checked = 0
        self.states = {f"n{place}": "READY" for place in range(NODES)}
        self.started: dict[str, int] = {}
        self.file = folder / "operator.textproto"
        self.clients: list[XdsClient] = []
        self.thawed: dict[str, int] = {}  # when each client last went on
        self.sent = 0
        self.in_flight: set[asyncio.Task[None]] = set()
        self.host: Host
        self.running: asyncio.Task[None]
        self.address = ""

    def note(self, text: str) -> None:
        self.checker.note(clock_us(), text)

    async def start(self) -> None:
        """The controller, or the controller anew: under another port, with the same store."""
        self.file.write_text(file_of(self.states, "store", self.started))
        self.host = Host(operator.read(self.file), self.verdict.seed + 1)
        turned = self.host.xds_server.turned

        def watched(events: list[interface.Event], orders: list[interface.Order]) -> None:
            for order in orders:
                if isinstance(order, interface.SetTableEntry | interface.ClearTable):
                    owner = str(order.backend) if isinstance(order, interface.SetTableEntry) else None
                    self.checker.publish(clock_us(), order.table, owner)
                    self.verdict.handovers += owner is not None
            turned(events, orders)

        self.host.xds_server.turned = watched  # type: ignore[method-assign, assignment]
        self.running = asyncio.create_task(self.host.run())
        while not self.host.xds_server.address:
            if self.running.done():
                self.running.result()
            await asyncio.sleep(0.005)
        self.address = self.host.xds_server.address
        for client in self.clients:
            client.address = self.address

    async def kill(self) -> None:
        """The controller is gone without a word."""
        self.host.xds_server.turned = lambda events, orders: None  # type: ignore[method-assign]
        self.running.cancel()
        await asyncio.gather(self.running, return_exceptions=True)
        for client in self.clients:
            client.drop()

    async def play(self) -> Verdict:
        chance, verdict = self.chance, self.verdict
        store = Assignments(self.folder / "store", SLICES)  # what an earlier life has left
        store.commit([interface.SetTableEntry(number, f"n{number % NODES}", 1.0) for number in range(SLICES)])
        store.close()
        for number in range(SLICES):
            self.checker.publish(0, number, f"n{number % NODES}")
        await self.start()
        for place in range(6):
            faults = Faults(slow_s=0.06 if place == 1 else 0.0)
            if place >= 4:
                faults = chance.choice(FAULTS)
            elif place == 2:
                faults = Faults(slow_eds_s=chance.choice([0.0, 0.5, 0.9]))
            client = XdsClient(
                self.address, f"c{place}", verdict.seed * 10 + place, place % 3 != 2, faults=faults
            )
            client.applied = self.check
            self.clients.append(client)
        lives = [asyncio.create_task(client.run()) for client in self.clients]
        writing, sampling = asyncio.create_task(self.write()), asyncio.create_task(self.sample())
        clock = asyncio.get_running_loop().time
        begun = clock()
        try:
            while not self.duration.is_over(clock() - begun, verdict, len(self.checker.carried)):
                await asyncio.sleep(chance.uniform(0.02, 0.15))
                await self.trouble()
            self.thaw()
            await asyncio.sleep(LEASE_MS / 500)
        finally:
            writing.cancel()
            sampling.cancel()
            await asyncio.gather(writing, sampling, *self.in_flight, return_exceptions=True)
            for life in lives:
                life.cancel()
            await asyncio.gather(*lives, return_exceptions=True)
            self.host.stop()
            await asyncio.gather(self.running, return_exceptions=True)
        self.check()
        verdict.writes = len(self.checker.carried)
        verdict.worst_bare_us, verdict.worst_drain_us = (
            self.checker.worst_bare_us,
            self.checker.worst_drain_us,
        )
        verdict.versions = sum(client.updates for client in self.clients)
        verdict.writers = sum(1 for client in self.clients if "writes" in client.held["lds"])
        return verdict

    async def trouble(self) -> None:
        """One thing that goes wrong, or one step of the deploy."""
        chance = self.chance
        match chance.choices(["drop", "deploy", "freeze", "thaw", "kill"], [8, 5, 1, 2, 0.15])[0]:
            case "drop":
                client = chance.choice(self.clients)
                client.drop()
                self.verdict.drops += 1
                self.note(f"dropped {client.name}")
            case "deploy":
                name = chance.choice(sorted(self.states))
                draining = sum(state != "READY" for state in self.states.values())
                if self.states[name] == "READY" and draining < 2:
                    self.states[name] = chance.choice(["DRAINING", "DRAINING", "GONE"])
                elif self.states[name] != "READY":
                    self.states[name] = "READY"
                    self.started[name] = self.host.clock.now() // 1000
                self.checker.drains(clock_us(), name, self.states[name] != "READY")
                self.file.write_text(file_of(self.states, "store", self.started))
                self.host.read_again()
            case "freeze":
                self.freeze(chance.choice(self.clients))
            case "thaw":
                self.thaw()
            case "kill":
                self.verdict.restarts += 1
                self.note("controller killed")
                await self.kill()
                await asyncio.sleep(chance.uniform(0.0, 0.3))
                await self.start()

    def freeze(self, client: XdsClient) -> None:
        """It stands still from now on."""
        client.frozen = True
        self.note(f"froze {client.name}")

    def thaw(self) -> None:
        """Whoever stood still goes on, and begins by reading what has come meanwhile."""
        for client in self.clients:
            if client.frozen:
                client.frozen = False
                self.thawed[client.name] = clock_us()
                self.note(f"thawed {client.name}")

    async def write(self) -> None:
        """Writes of every client, each numbered, each sent once."""
        while True:
            await asyncio.sleep(0.004)
            client = self.chance.choice(self.clients)
            key = f"k{self.chance.randrange(40)}"
            node = client.writes_to(slice_of(key, SLICES))
            if node is not None:
                self.sent += 1
                task = asyncio.create_task(self.carry(node, key, f"{client.name}-{self.sent}", clock_us()))
                self.in_flight.add(task)
                task.add_done_callback(self.in_flight.discard)

    async def carry(self, node: str, key: str, number: str, sent: int) -> None:
        """A node carries a write out at some time of its life, or never: also where this process was late.

        Its life runs from the client's decision: this task may begin much later, behind a blocking commit.
        """
        await asyncio.sleep(self.chance.uniform(0, LIFE_MS * 0.8) / 1000)
        if clock_us() - sent > LIFE_MS * 1000:
            return
        self.checker.carry(clock_us(), node, key, number)

    async def sample(self) -> None:
        """What each client without faults would pick now: rules 1 and 3, and what waits for it: rule 5."""
        while True:
            await asyncio.sleep(0.02)
            now = clock_us()
            for client in self.clients:
                standing = self.host.xds_server.clients.get(client.name)
                if client.faults != Faults() or client.frozen or standing is None or not standing[0].watches:
                    self.checker.parted(client.name)
                    continue
                joined = now - (self.host.clock.now() - standing[0].started_at)
                joined = max(joined, self.thawed.get(client.name, 0))
                for number in range(SLICES):
                    self.checker.pick(now, client.name, number, client.reads_from(number), joined)
                waiting = sum(
                    len(watch.in_flight.resources)
                    for watch in standing[0].watches.values()
                    if watch.in_flight
                )
                self.checker.waiting(now, client.name, waiting)

    def check(self, client: XdsClient | None = None) -> None:
        """All rules, on all that was seen so far; a breach is kept once, with what led to it."""
        if self.verdict.breaches or (client is not None and len(self.checker.carried) == self.checked):
            return
        self.checked = len(self.checker.carried)
        self.verdict.breaches = self.checker.verdict()
        if self.verdict.breaches:
            self.verdict.log.extend(self.checker.events)


async def play(seed: int, duration: Duration) -> Verdict:
    """One seed, in a folder of its own."""
    with tempfile.TemporaryDirectory() as folder:
        return await Day(seed, Path(folder), duration).play()


def main(first: int, seeds: int, seconds: float, at_once: int) -> int:
    """Many seeds; a line each as it ends, the sum last. 1 where a rule was broken."""
    logging.getLogger("lapispass").setLevel(logging.ERROR)

    async def all_of_them() -> list[Verdict]:
        gate = asyncio.Semaphore(at_once)
        verdicts: list[Verdict] = []
        duration = Duration(seconds, most_s=seconds)

        async def one(seed: int) -> None:
            async with gate:
                verdicts.append(await play(seed, duration))
            print(verdicts[-1], flush=True)

        await asyncio.gather(*(one(seed) for seed in range(first, first + seeds)))
        return verdicts

    verdicts = asyncio.run(all_of_them())
    broken = [verdict.seed for verdict in verdicts if verdict.breaches]
    print(
        f"seeds={len(verdicts)} broken={len(broken)} writes={sum(v.writes for v in verdicts)} "
        f"handovers={sum(v.handovers for v in verdicts)} versions={sum(v.versions for v in verdicts)} "
        f"drops={sum(v.drops for v in verdicts)} restarts={sum(v.restarts for v in verdicts)} "
        f"worst_bare_ms={max(v.worst_bare_us for v in verdicts) // 1000} "
        f"worst_drain_ms={max(v.worst_drain_us for v in verdicts) // 1000}"
    )
    return 1 if broken else 0
