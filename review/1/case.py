"""Two controllers of the platform with xDS clients; one is partitioned from the relay and from discovery."""

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
GIVEN_AFTER_S, PARTITION_S = 1.0, 6.0
WORK_S, WRITE_EVERY_S = 0.25, 0.05

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
            "hard-limit-us": 1900000,
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
    """A backend: takes one write a line, works on it, and answers it. It answers probes, too."""

    def __init__(self, name: str, world: World) -> None:
        self.name, self.world, self.address = name, world, ""

    async def start(self) -> None:
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class World:
    """The backends and the clients' writes to one slice; judges which backends have its writes."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.backends = {name: Backend(name, self) for name in ("s-0", "s-1", "s-2")}
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
        self.in_hand.pop(write, None)

    async def write(self, client: XdsClient) -> None:
        """A client sends a write, each once, to the backend that its tables name, while they name one."""
        while True:
            await asyncio.sleep(WRITE_EVERY_S)
            backend = client.writes_to(MOVED)
            if backend is not None:
                self.sent += 1
                task = asyncio.create_task(self.send(backend, f"{client.name}-{self.sent}"))
                self.sending.add(task)
                task.add_done_callback(self.sending.discard)

    async def send(self, backend: str, write: str) -> None:
        host, port = self.backends[backend].address.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"WRITE {write}\n".encode())
            await reader.readline()
            writer.close()
        except OSError as error:
            self.case.note(f"write {write} to {backend} failed: {error}")


async def play(case: Case) -> None:
    world, platform = World(case), Platform(PROXIES, "west", case.note)
    for backend in world.backends.values():
        await backend.start()
        platform.add(backend.name, backend.address, "east" if backend.name == "s-0" else "west")
    for number in range(SLICES):
        platform.owners[number] = f"s-{number % 3}"
        platform.holders[number] = "c0" if number < SLICES // 2 else "c1"
    clients: dict[str, XdsClient] = {}
    for index, name in enumerate(("c0", "c1")):
        await platform.listen_for(name)
        xds_port, port = free_port(), free_port()
        config = {
            "name": name,
            "listen": f"127.0.0.1:{port}",
            "discovery": platform.registries[name],
            "seed": f"{0x8C1F30D27A5BE964 + index:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "store": {"address": platform.relays[name]},
            "known": json.loads(platform.listing(True, platform.members)),
            "settings": {**SETTINGS, "position": index, "zone": ("east", "west")[index]},
        }
        (case.temporary / f"{name}.json").write_text(json.dumps(config))
        operator = case.temporary / f"{name}.textproto"
        operator.write_text(f'xds {{ listen: "127.0.0.1:{xds_port}" }}\n')
        case.start(name, f"run -o {operator}", LB_CONFIG=str(case.temporary / f"{name}.json"))
        clients[name] = XdsClient(f"127.0.0.1:{xds_port}", f"client-of-{name}", index)
    tasks = [asyncio.create_task(client.run()) for client in clients.values()]
    try:
        await until("the client of c0 may write", lambda: clients["c0"].writes_to(MOVED) == "s-0", 40)
        tasks += [asyncio.create_task(world.write(client)) for client in clients.values()]
        await asyncio.sleep(4)
        if world.takers != ["s-0"]:
            raise CouldNotRun(f"the slice was not with s-0 alone: {world.takers}")
        if case.trouble:
            platform.cut_off("c0")
        await asyncio.sleep(0.2)
        platform.drain("s-0")
        await asyncio.sleep(GIVEN_AFTER_S - 0.2)
        if case.trouble:
            for number in range(SLICES // 2):
                platform.give(number, "c1")
        await asyncio.sleep(PARTITION_S - GIVEN_AFTER_S)
        if case.trouble:
            platform.reconnect("c0")
        await asyncio.sleep(6)
        if "s-0" in platform.owners.values():
            raise CouldNotRun(f"the slice was never handed over: {platform.owners}")
        if len(world.takers) < 2 and not case.trouble:
            raise CouldNotRun("the new owner got no write")
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, *world.sending, return_exceptions=True)


main(Path(__file__).resolve().parent, play)
