"""The rules' plain model on sockets: a relay whose proxies are watched, and a registry that changes."""

from __future__ import annotations

import asyncio
import json
import random

import h11
from configurations import listing
from parties import MEMBER, SMALL_DEPLOYMENT, LoopbackServer, RelayServer, read_request, response_bytes, until

RELAY_FAULTS = ("reset before", "reset after", "silent after", "unreadable", "close", "throttled")


class Proxy:
    joined, broken_at, stream, last_at = False, -1e9, 0, 0.0

    def __init__(self) -> None:
        self.tables: dict[int, tuple[str | None, bool]] = {}  # owner, and whether writes are let in
        self.out: set[str] = set()


class World(RelayServer):
    """Proxies that take orders late and in order, break off and come back; writes are watched by slice."""

    def __init__(self, seed: int, slices: int, proxies: int) -> None:
        super().__init__()
        self.chance, self.loop = random.Random(seed), asyncio.get_running_loop()
        self.store: dict[int, tuple[str | None, bool]] = {n: (f"s-{n % 3}", True) for n in range(slices)}
        self.proxies = [Proxy() for _ in range(proxies)]
        self.last: dict[tuple[int, str], float] = {}  # when writes could last go from some proxy to an owner
        self.broken: list[str] = []
        self.moves = 0
        for node in range(proxies):
            self.join(node)

    def snapshot_lines(self) -> list[tuple[str, str]]:
        stands = [
            ("SUBSCRIBE", f"node={n}&locality=a&w=1&cold=0") for n, p in enumerate(self.proxies) if p.joined
        ]
        for number, (owner, _) in self.store.items():
            stands.append(("GRANT", f"shard={number}&set=1"))
            stands += [("ROW", f"shard={number}&endpoint={owner}&w=1")] if owner else []
        return stands

    def tell(self, kind: str, data: str) -> None:
        if self.streams and not self.streams[-1][1].is_closing():
            self.send_event(kind, data)

    def join(self, node: int) -> None:
        proxy = self.proxies[node]
        if not proxy.joined:
            proxy.joined, proxy.stream, proxy.tables = True, proxy.stream + 1, dict(self.store)
            self.tell("SUBSCRIBE", f"node={node}&locality=a&w=1&cold=0")

    def leave(self, node: int) -> None:
        proxy = self.proxies[node]
        if proxy.joined:
            proxy.joined, proxy.broken_at = False, self.loop.time()
            self.tell("CLOSED", f"node={node}")

    def out_of_touch(self) -> None:
        """The controller is gone: all streams have broken, and other proxies' tables come with the next."""
        for node in range(len(self.proxies)):
            self.leave(node)
            self.join(node)

    def carry_out(self, orders: list[str]) -> None:
        self.orders_done += orders
        for text in orders:
            self.moves += text.startswith("SET")
            changed(self.store, set(), text)
        for node, proxy in enumerate(self.proxies):
            if proxy.joined:
                # Never at the same instant as the one before: timers due together run in any order.
                proxy.last_at = max(proxy.last_at + 1e-6, self.loop.time() + self.chance.uniform(0.002, 0.06))
                self.loop.call_at(proxy.last_at, self.apply, node, proxy.stream, orders)

    def apply(self, node: int, stream: int, orders: list[str]) -> None:
        proxy = self.proxies[node]
        if not proxy.joined or proxy.stream != stream:
            return  # what was under way is lost with the stream
        self.look()
        for text in orders:
            if mark := changed(proxy.tables, proxy.out, text):
                self.tell("ACK", f"node={node}&nonce={mark}&latency=20.0")
        self.look()

    def look(self) -> None:
        """Rule 2: a slice's writes are never with two owners, nor while an earlier one may hold some."""
        now = self.loop.time()
        for proxy in self.proxies:
            until_ = now if proxy.joined else min(now, proxy.broken_at + SMALL_DEPLOYMENT.lease_us / 1e6)
            for number, (owner, open_) in proxy.tables.items():
                if owner and open_ and owner not in proxy.out:
                    self.last[number, owner] = max(self.last.get((number, owner), 0), until_)
        for number in self.store:
            lately = [
                owner
                for (n, owner), at in self.last.items()
                if n == number and at > now - SMALL_DEPLOYMENT.linger_us / 1e6
            ]
            if len(lately) > 1:
                self.broken.append(f"writes of slice {number} with {lately}")


def changed(tables: dict[int, tuple[str | None, bool]], out: set[str], text: str) -> str:
    """Applies an order; the mark if it asks for an answer."""
    match text.split(","):
        case ["SET", number, owner, _]:
            tables[int(number)] = owner, tables[int(number)][1]
        case ["DEL", number]:
            tables[int(number)] = None, True
        case ["LIMIT", number, classes, share, _] if "pay" in classes:
            tables[int(number)] = tables[int(number)][0], float(share) > 0
        case ["OUT", owner]:
            out.add(owner)
        case ["IN", owner]:
            out.discard(owner)
        case ["SYNC", mark, _]:
            return mark
    return ""


class Roll(LoopbackServer):
    """A registry that says what stands, whatever version is asked for."""

    def __init__(self) -> None:
        super().__init__(self.roll)
        self.version, self.members, self.broke = 1, {}, asyncio.Event()
        for number in range(3):
            self.put(f"s-{number}", "Ready")

    async def roll(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> str | None:
        state, told = h11.Connection(h11.SERVER), 0
        await read_request(reader, state)
        writer.write(response_bytes(state, 200, None))
        while not writer.is_closing():
            text = json.dumps(listing(self.version, *self.members.values())) if told != self.version else ""
            told = self.version
            writer.write(state.send(h11.Data(data=text.encode() + b"\n")))
            await asyncio.sleep(0.05)
        return "reset"

    def put(self, name: str, phase: str) -> None:
        self.version += 1
        self.members[name] = {**MEMBER, "id": name, "phase": phase}

    def change(self, chance: random.Random) -> None:
        """A server drawn from three drains, goes or returns; the last one that is ready stays."""
        name = f"s-{chance.randrange(3)}"
        up = sum(member["phase"] == "Ready" for member in self.members.values())
        ready = self.members[name]["phase"] == "Ready"
        if not ready or up > 1:
            self.put(name, chance.choice(("Terminating", "Gone")) if ready else "Ready")


def is_right(world: World, roll: Roll) -> bool:
    """Every slice has an owner that is ready, and all proxies know it."""
    ready = {name for name, member in roll.members.items() if member["phase"] == "Ready"}
    owners = {owner for owner, _ in world.store.values()}
    return owners <= ready and all(proxy.tables == world.store for proxy in world.proxies)


async def comes_right(world: World, roll: Roll) -> None:
    """Once nothing goes wrong any more, all is right again."""
    for node in range(len(world.proxies)):
        world.join(node)
    await until(lambda: is_right(world, roll))
    assert not world.broken, world.broken
