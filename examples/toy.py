"""A toy world for one controller: a registry, a relay with three proxies, a collector and three servers.

    python examples/toy.py                                   # in one terminal
    LB_CONFIG=examples/config.json python -m lapispass       # in another

Some seconds after the controller has come, one server drains; watch its slices move. Everything is on
loopback, at the addresses of `config.json`, and made up: the proxies answer each mark a little later, and the
sums are invented.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
from pathlib import Path
from urllib.parse import parse_qs

CONFIG = json.loads((Path(__file__).parent / "config.json").read_text())
PROXIES, SLICES = CONFIG["settings"]["extra"]["data-plane-size"], CONFIG["settings"]["extra"]["key-ranges"]
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def host_port(address: str) -> tuple[str, int]:
    host, port = address.split(":")
    return host, int(port)


async def ask(reader: asyncio.StreamReader) -> tuple[str, str, bytes]:
    """One HTTP request: method, target, body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    method, target, _ = head[0].split(" ")
    lengths = [line.split(":")[1] for line in head if line.lower().startswith("content-length:")]
    return method, target, await reader.readexactly(int(lengths[0])) if lengths else b""


def whole(body: str) -> bytes:
    return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()


def chunk(text: str) -> bytes:
    return f"{len(text):x}\r\n{text}\r\n".encode()


class World:
    """What the controller is told, and what became of its orders."""

    def __init__(self, drain_after: float) -> None:
        self.drain_after = drain_after
        self.members: dict[str, dict] = {}
        self.owners: dict[int, str | None] = {}
        self.revision = 1
        self.watches: list[asyncio.StreamWriter] = []
        self.news: list[asyncio.StreamWriter] = []
        self.controller_came = asyncio.Event()
        self.collecting: asyncio.Task[None] | None = None

    async def start(self) -> None:
        for number in range(3):
            server = await asyncio.start_server(self.server, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            self.members[f"s-{number}"] = {
                "id": f"s-{number}",
                "host_port": f"127.0.0.1:{port}",
                "locality": ("east", "west")[number % 2],
                "phase": "Ready",
                "size": 1.0,
                "up_since_ms": 0,
            }
        self.owners = {number: f"s-{number % 3}" for number in range(SLICES)}
        await asyncio.start_server(self.registry, *host_port(CONFIG["discovery"]))
        await asyncio.start_server(self.relay, *host_port(CONFIG["store"]["address"]))
        print("the toy world is up; start the controller")

    async def server(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """A server knows probes only."""
        await ask(reader)
        writer.write(whole("OK"))
        writer.close()

    async def registry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _, target, _ = await ask(reader)
        if "watch=1" not in target:
            writer.write(whole(self.list(True, list(self.members.values()))))
            writer.close()
            return
        writer.write(CHUNKED)
        self.watches.append(writer)
        while not writer.is_closing():
            writer.write(chunk("\n"))
            await asyncio.sleep(2)
        self.watches.remove(writer)

    def list(self, complete: bool, members: list[dict]) -> str:
        return json.dumps({"revision": self.revision, "complete": complete, "members": members})

    async def relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """News, or calls one after the other; the first news bring the controller to life."""
        try:
            while True:
                method, _, body = await ask(reader)
                if method == "GET":
                    break
                orders = parse_qs(body.decode())["orders"][0].split(";")
                for order in orders:
                    self.carry_out(order)
                answer = (
                    f"<Response><entries><item><ok_count>{len(orders)}</ok_count></item></entries></Response>"
                )
                writer.write(whole(answer))
        except (asyncio.IncompleteReadError, OSError):
            return
        writer.write(CHUNKED)
        self.news = [writer]
        for node in range(PROXIES):
            self.say("SUBSCRIBE", f"node={node}&locality=east&w=20&cold=0")
        for number, owner in self.owners.items():
            self.say("GRANT", f"shard={number}&set=1")
            if owner:
                self.say("ROW", f"shard={number}&endpoint={owner}&w=1")
        self.controller_came.set()
        while not writer.is_closing():
            writer.write(chunk(":\n"))
            await asyncio.sleep(1)

    def carry_out(self, order: str) -> None:
        match order.split(","):
            case ["SET", number, owner, _]:
                self.owners[int(number)] = owner
                print(f"slice {number}: now with {owner}")
            case ["DEL", number]:
                self.owners[int(number)] = None
                print(f"slice {number}: empty table, waiting for every proxy")
            case ["SYNC", mark, _]:
                for node in range(PROXIES):
                    late = random.uniform(0.05, 0.4)
                    asyncio.get_running_loop().call_later(
                        late, self.say, "ACK", f"node={node}&nonce={mark}&latency={late * 1000:.1f}"
                    )
            case _:
                print("order", order)

    def say(self, kind: str, data: str) -> None:
        for writer in self.news:
            if not writer.is_closing():
                writer.write(chunk(f"event: {kind}\ndata: {data}\n\n"))

    async def collector(self) -> None:
        """Each second, sums of what the proxies met: nothing but good answers. Finds a new controller too."""
        while True:
            try:
                await self.forward()
            except OSError:
                pass
            await asyncio.sleep(1)

    async def forward(self) -> None:
        _, writer = await asyncio.open_connection(*host_port(CONFIG["listen"]))
        writer.write(b"SOURCE locality=east\r\n")
        while not writer.is_closing():
            held = {name: sum(owner == name for owner in self.owners.values()) for name in self.members}
            lines = [
                f"LOAD locality=east endpoint={name} total={10 * count} errors=0 rtt=120.5 interval=1000\r\n"
                for name, count in held.items()
                if count
            ]
            lines += [
                f"SHARD shard={number} route=look total=10 errors=0 interval=1000\r\n"
                for number in self.owners
            ]
            writer.write("".join(lines).encode())
            await asyncio.sleep(1)

    async def story(self) -> None:
        await self.controller_came.wait()
        print(f"the controller is here; s-0 drains in {self.drain_after:g} s")
        self.collecting = asyncio.create_task(self.collector())
        await asyncio.sleep(self.drain_after)
        self.revision += 1
        self.members["s-0"]["phase"] = "Terminating"
        print("s-0 drains")
        for writer in self.watches:
            writer.write(chunk(self.list(False, [self.members["s-0"]]) + "\n"))
        while "s-0" in self.owners.values() or None in self.owners.values():
            await asyncio.sleep(0.1)
        print("all slices have left s-0; stop with Ctrl-C")
        await asyncio.Event().wait()


async def main() -> None:
    reading = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    reading.add_argument("--drain-after", type=float, default=6.0, metavar="SECONDS")
    world = World(reading.parse_args().drain_after)
    await world.start()
    await world.story()


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except KeyboardInterrupt:
        pass
