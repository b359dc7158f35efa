"""Two controllers of the platform with xDS clients; the zone of one of them is partitioned from the other."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from lapispass.standins.xds_client import XdsClient
from review.common.harness import Case, CouldNotRun, free_port, main, until
from review.common.platform import Platform

SLICES, PROXIES = 6, 3
MOVED = 0  # the slice that is watched: in the charge of c0, owned by s-0
ZONES = {"c0": "east", "c1": "west", "s-0": "east", "s-1": "west", "s-2": "west"}
GIVEN_AFTER_S, PARTITION_S, AFTER_S = 1.0, 6.0, 5.0
WORK_S, WRITE_EVERY_S, PATIENCE_S = 0.25, 0.05, 1.9

SETTINGS = {
    "discovery": "subscribe",
    "period-us": 5000,
    "group-size": 2,
    "zones": ["east", "west"],
    "grades": [
        {"name": "look", "target-us": 1500000, "hard-limit-us": 5000000, "worth": 1.0, "effect": "free"},
        {
            "name": "charge",
            "target-us": 1000000,
            "hard-limit-us": int(1e6 * PATIENCE_S),
            "worth": 2.0,
            "effect": "single_shot",
        },
    ],
    "extra": {
        "data-plane-size": PROXIES,
        "key-ranges": SLICES,
        "class-writes": [False, True],
        "one-owner": True,
        "admit": "fraction",
        "lease-us": 1500000,
        "lingers-us": 2000000,
        "blackhole-us": 14000000,
        "lines-per-s": 10000.0,
        "fixed-cost": 12.0,
        "queue-cap": 20000.0,
        "report-every-us": 1000000,
        "usual-how": 1,
    },
    "limits": {"probes": True},
    "rules": {
        "cold-us": 10000000,
        "start-capacity": 0.2,
        "fall-multiple": 2.5,
        "drain-grace-us": 2700000,
        "ask-within-us": 10000000,
    },
    "stats": {"fields": [], "how": "silent"},
}


class Backend:
    """A backend: takes one write a line, works on it, and answers it. It answers probes, too.

    It has an address for each zone. What comes from the other zone in a partition is never read, and is reset
    at its end.
    """

    def __init__(self, name: str, world: World) -> None:
        self.name, self.world = name, world
        self.addresses: dict[str, str] = {}  # by the caller's zone

    async def start(self) -> None:
        for zone in ("east", "west"):
            serve = self.serve_near if zone == ZONES[self.name] else self.serve_far
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            self.addresses[zone] = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def serve_far(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            if self.world.partitioned.is_set():
                await self.world.healed.wait()
                writer.transport.abort()
                return
        except asyncio.CancelledError:
            return
        await self.serve_near(reader, writer)

    async def serve_near(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            line = (await reader.readline()).decode().split()
            if line[:1] == ["GET"]:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nOK")
            elif line[:1] == ["WRITE"]:
                self.world.begun(self.name, line[1])
                await asyncio.sleep(WORK_S)
                self.world.ended(self.name, line[1])
                writer.write(b"DONE\n")
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class World:
    """The backends and the clients' writes to one slice; judges which backends have its writes."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.partitioned, self.healed = asyncio.Event(), asyncio.Event()
        self.backends = {name: Backend(name, self) for name in ZONES if name.startswith("s-")}
        self.in_hand: dict[str, str] = {}
        self.takers: list[str] = []  # backends that have taken a write, in the order of their first one
        self.sent = 0
        self.sending: set[asyncio.Task[None]] = set()

    def begun(self, backend: str, write: str) -> None:
        self.case.note(f"{backend} begins write {write}")
        for other, at in self.in_hand.items():
            if at != backend:
                self.case.broken(f"slice {MOVED}: {backend} gets write {write} while {at} holds {other}")
        if backend in self.takers[:-1]:
            self.case.broken(
                f"slice {MOVED}: former owner {backend} gets write {write} after {self.takers[-1]} took one"
            )
        if backend not in self.takers:
            self.takers.append(backend)
        self.in_hand[write] = backend

    def ended(self, backend: str, write: str) -> None:
        self.case.note(f"{backend} ends write {write}")
        self.in_hand.pop(write, None)

    async def write(self, client: XdsClient) -> None:
        """A client sends a write, each once, to the backend that its tables name, while they name one."""
        while True:
            await asyncio.sleep(WRITE_EVERY_S)
            backend = client.writes_to(MOVED)
            if backend is not None:
                self.sent += 1
                task = asyncio.create_task(self.send(client.zone, backend, f"{client.name}-{self.sent}"))
                self.sending.add(task)
                task.add_done_callback(self.sending.discard)

    async def send(self, zone: str, backend: str, write: str) -> None:
        host, port = self.backends[backend].addresses[zone].split(":")
        self.case.note(f"write {write} is sent to {backend}")
        writer = None
        try:
            async with asyncio.timeout(PATIENCE_S):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(f"WRITE {write}\n".encode())
                answer = (await reader.readline()).decode().strip()
            self.case.note(f"write {write} to {backend} was answered {answer!r}")
        except (OSError, TimeoutError) as error:
            self.case.note(f"write {write} to {backend} was given up: {type(error).__name__}")
        finally:
            if writer is not None:
                writer.transport.abort()

    async def collect(self, zone: str, port: int) -> None:
        """A zone's collector: each second, what the proxies of the zone met at each backend."""
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"SOURCE locality={zone}\r\n".encode())
        while True:
            await asyncio.sleep(1)
            lines = []
            for name in self.backends:
                cut = self.partitioned.is_set() and not self.healed.is_set() and ZONES[name] != zone
                lines.append(
                    f"LOAD locality={zone} endpoint={name} total=20 errors={20 * cut}"
                    f" rtt={0.0 if cut else 250.0} interval=1000.0\r\n"
                )
            writer.write("".join(lines).encode())


async def play(case: Case) -> None:
    world, platform = World(case), Platform(PROXIES, "west", case.note)
    for backend in world.backends.values():
        await backend.start()
        addresses = {controller: backend.addresses[ZONES[controller]] for controller in ("c0", "c1")}
        platform.add(backend.name, addresses, ZONES[backend.name])
    for number in range(SLICES):
        platform.owners[number] = f"s-{number % 3}"
        platform.holders[number] = "c0" if number < SLICES // 2 else "c1"
    clients: dict[str, XdsClient] = {}
    ports: dict[str, int] = {}
    for index, name in enumerate(("c0", "c1")):
        await platform.listen_for(name)
        xds_port, ports[name] = free_port(), free_port()
        config = {
            "name": name,
            "listen": f"127.0.0.1:{ports[name]}",
            "discovery": platform.registries[name],
            "seed": f"{0x8C1F30D27A5BE964 + index:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "store": {"address": platform.relays[name]},
            "known": json.loads(platform.listing(name, True, platform.members)),
            "settings": {**SETTINGS, "position": index, "zone": ZONES[name]},
        }
        (case.temporary / f"{name}.json").write_text(json.dumps(config))
        operator = case.temporary / f"{name}.textproto"
        operator.write_text(f'xds {{ listen: "127.0.0.1:{xds_port}" }}\n')
        case.start(name, f"run -o {operator}", LB_CONFIG=str(case.temporary / f"{name}.json"))
        clients[name] = XdsClient(
            f"127.0.0.1:{xds_port}", f"client-of-{name}", index, index == 0, zone=ZONES[name]
        )
    tasks = [asyncio.create_task(client.run()) for client in clients.values()]
    try:
        await until("the client of c0 may write", lambda: clients["c0"].writes_to(MOVED) == "s-0", 40)
        await until("the client of c1 may write", lambda: clients["c1"].writes_to(SLICES - 1) == "s-2", 40)
        tasks += [asyncio.create_task(world.write(client)) for client in clients.values()]
        tasks += [asyncio.create_task(world.collect(ZONES[name], port)) for name, port in ports.items()]
        await asyncio.sleep(5)
        if any(task.done() for task in tasks):
            raise CouldNotRun("a client or a collector has ended")
        if world.takers != ["s-0"]:
            raise CouldNotRun(f"the slice was not with s-0 alone: {world.takers}")
        if case.trouble:
            case.note("zone east (c0, its client, s-0) is partitioned from zone west (all others)")
            world.partitioned.set()
            platform.cut_off("c0")
        await asyncio.sleep(GIVEN_AFTER_S)
        if case.trouble:
            for number in range(SLICES // 2):
                platform.give(number, "c1")
        await asyncio.sleep(PARTITION_S - GIVEN_AFTER_S)
        if case.trouble:
            case.note("the partition is over")
            world.healed.set()
            platform.reconnect("c0")
        await asyncio.sleep(AFTER_S)
        case.note(f"backends that took writes of slice {MOVED}, in order: {', '.join(world.takers)}")
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, *world.sending, return_exceptions=True)


main(Path(__file__).resolve().parent, play)
