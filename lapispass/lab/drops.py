"""The random drop test: cuts xDS streams at random during a rolling deploy, and checks every rule.

The xDS server and the store are real; the clients, of both protocols and some of them faulty, are stand-ins.
The nodes only record writes, which they execute some time after sending, within the longest lifetime of a
write. The rules are checked on what the nodes have recorded, after each version that a client applies and at
the end. The events that led to a broken rule are kept.
"""

from __future__ import annotations

import asyncio
import logging
import random
import tempfile
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from lapispass import interface
from lapispass.core.tables import SetShare, TableChange, slice_of
from lapispass.operator import read as operator
from lapispass.rules.checker import Bounds, Checker
from lapispass.rules.checks import Breach
from lapispass.standins.nodes import clock_us
from lapispass.standins.xds_client import Faults, XdsClient
from lapispass.store.assignments import Assignment, Assignments
from lapispass.xds.host import Host

SLICES, NODES, LEASE_MS, WRITE_LIFETIME_MS, UNSERVED_MS, GRACE_MS = 12, 4, 400, 150, 4000, 1000


def operator_file(states: dict[str, str], store: str, started: dict[str, int]) -> str:
    """The text of an operator file for a small fleet."""
    nodes = "\n".join(
        f'node {{ id: "{name}" address: "127.0.0.1:{9000 + index}" zone: "{"east" if index % 2 else "west"}" '
        f"state: {state} started_unix_ms: {started.get(name, 0)} }}"
        for index, (name, state) in enumerate(states.items())
    )
    return (
        'xds { listen: "127.0.0.1:0" late_ms: 1500 new_per_s: 1000 burst: 100 }\n'
        f'alone {{ store_file: "{store}" slices: {SLICES} lease_ms: {LEASE_MS} '
        f"write_life_ms: {WRITE_LIFETIME_MS} bare_ms: {UNSERVED_MS} cold_ms: 500 cold_share: 0.5 "
        'visit_class { name: "look" agreed_ms: 500 patience_ms: 1000 benefit: 1 } '
        'visit_class { name: "trade-order" agreed_ms: 500 patience_ms: 1000 benefit: 3 writes: true } }\n'
        + nodes
    )


FAULTS = [
    Faults(never_acks=True),
    Faults(ignores_responses=True),
    Faults(rejects_eds=True),
    Faults(rejects_applied_eds=True),
    Faults(acks_twice=True),
    Faults(sends_wrong_nonce=True),
    Faults(ack_delay_s=0.2),
    Faults(ack_delay_s=0.6),
    Faults(ttl=False),
    Faults(read_delay_s=0.3),
    Faults(read_delay_s=0.8),
    Faults(eds_read_delay_s=0.7),
]


@dataclass(frozen=True)
class Duration:
    """How long a run lasts: `seconds`, then until the counts are reached, but at most `most_s`.

    Counts that depend on the machine's speed are reached later on a busy machine. If one is not reached by
    `most_s`, the caller sees that in the result. After a broken rule the run ends after `seconds`.
    """

    seconds: float = 4.0
    most_s: float = 4.0
    writes: int = 0  # executed and checked
    handovers: int = 0
    drops: int = 0

    def is_over(self, elapsed_s: float, verdict: RunResult, writes: int) -> bool:
        """Whether a run that started `elapsed_s` ago and reached these counts ends now."""
        if elapsed_s < self.seconds:
            return False
        if elapsed_s >= self.most_s or verdict.breaches:
            return True
        reached = (writes, verdict.handovers, verdict.drops)
        wanted = (self.writes, self.handovers, self.drops)
        return all(count >= least for count, least in zip(reached, wanted, strict=True))


@dataclass
class RunResult:
    """The result of one seed."""

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


class Run:
    """One run with one seed."""

    def __init__(self, seed: int, folder: Path, duration: Duration) -> None:
        self.chance, self.folder, self.duration = random.Random(seed), folder, duration
        self.verdict = RunResult(seed, [])
        self.checker = Checker(
            Bounds(unserved_us=UNSERVED_MS * 1000, drain_grace_us=GRACE_MS * 1000),
            lambda key: slice_of(key, SLICES),
        )
        self.owners: dict[int, str | None] = {}  # by slice, as published
        self.shut: set[int] = set()  # slices whose writes are shut
        self.checked = 0
        self.states = {f"n{index}": "READY" for index in range(NODES)}
        self.started: dict[str, int] = {}
        self.file = folder / "operator.textproto"
        self.clients: list[XdsClient] = []
        self.thawed_at: dict[str, int] = {}  # by client: when it was last resumed
        self.sent = 0
        self.in_flight: set[asyncio.Task[None]] = set()
        self.host: Host
        self.running: asyncio.Task[None]
        self.address = ""

    def note(self, text: str) -> None:
        self.checker.note(clock_us(), text)

    async def start(self) -> None:
        """Starts the controller, or starts it again on another port with the same store."""
        self.file.write_text(operator_file(self.states, "store", self.started))
        self.host = Host(operator.read(self.file), self.verdict.seed + 1)
        publish_turn = self.host.publish_turn

        def check_turn(
            orders: Sequence[interface.Order], changes: list[TableChange], barrier: int | None
        ) -> None:
            opened = self.follow_shut_writes(changes)
            for order in orders:
                if isinstance(order, interface.SetTableEntry | interface.ClearTable):
                    owner = str(order.backend) if isinstance(order, interface.SetTableEntry) else None
                    self.owners[order.table] = owner
                    self.checker.step_published(clock_us(), order.table, owner, order.table in self.shut)
                    self.verdict.handovers += owner is not None
                    opened.discard(order.table)
            for number in opened:
                self.checker.step_published(clock_us(), number, self.owners.get(number))
            publish_turn(orders, changes, barrier)

        self.host.publish_turn = check_turn  # type: ignore[method-assign]
        self.running = asyncio.create_task(self.host.run())
        while not self.host.xds_server.address:
            if self.running.done():
                self.running.result()
            await asyncio.sleep(0.005)
        self.address = self.host.xds_server.address
        for client in self.clients:
            client.address = self.address

    def follow_shut_writes(self, changes: list[TableChange]) -> set[int]:
        """Notes the slices whose writes are shut from this turn on; returns those that are opened."""
        opened = set()
        for change in changes:
            if not isinstance(change, SetShare):
                continue
            if change.shut:
                self.shut.add(change.slice)
            elif change.slice in self.shut:
                self.shut.discard(change.slice)
                opened.add(change.slice)
        return opened

    async def kill(self) -> None:
        """Ends the controller without any closing message."""
        self.host.publish_turn = lambda orders, changes, barrier: None  # type: ignore[method-assign]
        self.running.cancel()
        await asyncio.gather(self.running, return_exceptions=True)
        for client in self.clients:
            client.drop()

    async def play(self) -> RunResult:
        chance, verdict = self.chance, self.verdict
        store = Assignments(self.folder / "store", SLICES)  # written by an earlier incarnation
        store.commit({number: Assignment(f"n{number % NODES}") for number in range(SLICES)})
        store.close()
        for number in range(SLICES):
            self.checker.step_published(0, number, f"n{number % NODES}")
        await self.start()
        for index in range(6):
            faults = Faults(read_delay_s=0.06 if index == 1 else 0.0)
            if index >= 4:
                faults = chance.choice(FAULTS)
            elif index == 2:
                faults = Faults(eds_read_delay_s=chance.choice([0.0, 0.5, 0.9]))
            client = XdsClient(
                self.address, f"c{index}", verdict.seed * 10 + index, index % 3 != 2, faults=faults
            )
            client.on_applied = self.check
            self.clients.append(client)
        client_tasks = [asyncio.create_task(client.run()) for client in self.clients]
        writing, sampling = (
            asyncio.create_task(self.send_writes()),
            asyncio.create_task(self.sample_clients()),
        )
        clock = asyncio.get_running_loop().time
        started_at = clock()
        try:
            while not self.duration.is_over(clock() - started_at, verdict, len(self.checker.executed)):
                await asyncio.sleep(chance.uniform(0.02, 0.15))
                await self.inject_fault()
            self.thaw()
            await asyncio.sleep(LEASE_MS / 500)
        finally:
            writing.cancel()
            sampling.cancel()
            await asyncio.gather(writing, sampling, *self.in_flight, return_exceptions=True)
            for task in client_tasks:
                task.cancel()
            await asyncio.gather(*client_tasks, return_exceptions=True)
            self.host.stop()
            await asyncio.gather(self.running, return_exceptions=True)
        self.check()
        verdict.writes = len(self.checker.executed)
        verdict.worst_bare_us, verdict.worst_drain_us = (
            self.checker.worst_unserved_us,
            self.checker.worst_drain_us,
        )
        verdict.versions = sum(client.updates for client in self.clients)
        verdict.writers = sum(1 for client in self.clients if "writes" in client.held["lds"])
        return verdict

    async def inject_fault(self) -> None:
        """Injects one fault or makes one step of the deploy."""
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
                self.checker.set_draining(clock_us(), name, self.states[name] != "READY")
                self.file.write_text(operator_file(self.states, "store", self.started))
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
        """Pauses a client."""
        client.frozen = True
        self.note(f"froze {client.name}")

    def thaw(self) -> None:
        """Resumes all paused clients, which first read what has arrived in the meantime."""
        for client in self.clients:
            if client.frozen:
                client.frozen = False
                self.thawed_at[client.name] = clock_us()
                self.note(f"thawed {client.name}")

    async def send_writes(self) -> None:
        """Sends writes of random clients, each numbered and sent once."""
        while True:
            await asyncio.sleep(0.004)
            client = self.chance.choice(self.clients)
            key = f"k{self.chance.randrange(40)}"
            node = client.writes_to(slice_of(key, SLICES))
            if node is not None:
                self.sent += 1
                task = asyncio.create_task(
                    self.execute_write(node, key, f"{client.name}-{self.sent}", clock_us())
                )
                self.in_flight.add(task)
                task.add_done_callback(self.in_flight.discard)

    async def execute_write(self, node: str, key: str, number: str, sent: int) -> None:
        """Executes a write at a random time within its lifetime, or never if this process runs late.

        The lifetime starts with the client's decision, as this task may start much later, after a blocking
        commit.
        """
        await asyncio.sleep(self.chance.uniform(0, WRITE_LIFETIME_MS * 0.8) / 1000)
        if clock_us() - sent > WRITE_LIFETIME_MS * 1000:
            return
        self.checker.write_executed(clock_us(), node, key, number)

    async def sample_clients(self) -> None:
        """Checks the picks of clients without faults (rules 1 and 3) and what waits for them (rule 5)."""
        while True:
            await asyncio.sleep(0.02)
            now = clock_us()
            for client in self.clients:
                connected = self.host.xds_server.clients.get(client.name)
                if (
                    client.faults != Faults()
                    or client.frozen
                    or connected is None
                    or not connected[0].watches
                ):
                    self.checker.party_left(client.name)
                    continue
                joined = now - (self.host.clock.now() - connected[0].started_at)
                joined = max(joined, self.thawed_at.get(client.name, 0))
                for number in range(SLICES):
                    self.checker.pick(now, client.name, number, client.reads_from(number), joined)
                waiting = sum(
                    len(watch.in_flight.resources)
                    for watch in connected[0].watches.values()
                    if watch.in_flight
                )
                self.checker.queued(now, client.name, waiting)

    def check(self, client: XdsClient | None = None) -> None:
        """Checks all rules on everything recorded so far, until the first breach; keeps its events."""
        if self.verdict.breaches or (client is not None and len(self.checker.executed) == self.checked):
            return
        self.checked = len(self.checker.executed)
        self.verdict.breaches = self.checker.verdict()
        if self.verdict.breaches:
            self.verdict.log.extend(self.checker.events)


async def play(seed: int, duration: Duration) -> RunResult:
    """Runs one seed, in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        return await Run(seed, Path(folder), duration).play()


def main(first: int, seeds: int, seconds: float, at_once: int) -> int:
    """Runs many seeds; prints one line per seed and a summary. Returns 1 if a rule was broken."""
    logging.getLogger("lapispass").setLevel(logging.ERROR)

    async def run_all() -> list[RunResult]:
        slots = asyncio.Semaphore(at_once)
        verdicts: list[RunResult] = []
        duration = Duration(seconds, most_s=seconds)

        async def run_seed(seed: int) -> None:
            async with slots:
                verdicts.append(await play(seed, duration))
            print(verdicts[-1], flush=True)

        await asyncio.gather(*(run_seed(seed) for seed in range(first, first + seeds)))
        return verdicts

    verdicts = asyncio.run(run_all())
    broken = [verdict.seed for verdict in verdicts if verdict.breaches]
    print(
        f"seeds={len(verdicts)} broken={len(broken)} writes={sum(v.writes for v in verdicts)} "
        f"handovers={sum(v.handovers for v in verdicts)} versions={sum(v.versions for v in verdicts)} "
        f"drops={sum(v.drops for v in verdicts)} restarts={sum(v.restarts for v in verdicts)} "
        f"worst_bare_ms={max(v.worst_bare_us for v in verdicts) // 1000} "
        f"worst_drain_ms={max(v.worst_drain_us for v in verdicts) // 1000}"
    )
    return 1 if broken else 0
