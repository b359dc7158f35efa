"""A simple model of rule 2 on sockets: a relay with proxies whose writes are checked, and a registry."""

from __future__ import annotations

import asyncio
import json
import random

import h11
from configurations import listing
from parties import MEMBER, SMALL_DEPLOYMENT, LoopbackServer, RelayServer, read_request, response_bytes, until

RELAY_FAULTS = ("reset before", "reset after", "silent after", "unreadable", "close", "throttled")


class Proxy:
    """A proxy's stream and tables; the times are those of the event loop."""

    joined, broken_at, stream, last_at = False, -1e9, 0, 0.0

    def __init__(self) -> None:
        self.tables: dict[int, tuple[str | None, bool]] = {}  # owner, and whether it admits writes
        self.out: set[str] = set()


class World(RelayServer):
    """A relay with proxies that apply orders late but in order, and whose streams end and come back.

    Rule 2 is checked for each slice on the tables that the proxies route writes by.
    """

    def __init__(self, seed: int, slices: int, proxies: int) -> None:
        super().__init__()
        self.chance, self.loop = random.Random(seed), asyncio.get_running_loop()
        self.store: dict[int, tuple[str | None, bool]] = {n: (f"s-{n % 3}", True) for n in range(slices)}
        self.proxies = [Proxy() for _ in range(proxies)]
        self.last: dict[tuple[int, str], float] = {}  # when writes could last go to an owner
        self.broken: list[str] = []
        self.moves = 0
        for node in range(proxies):
            self.join(node)

    def snapshot_lines(self) -> list[tuple[str, str]]:
        events = [
            ("SUBSCRIBE", f"node={n}&locality=a&w=1&cold=0") for n, p in enumerate(self.proxies) if p.joined
        ]
        for number, (owner, _) in self.store.items():
            events.append(("GRANT", f"shard={number}&set=1"))
            events += [("ROW", f"shard={number}&endpoint={owner}&w=1")] if owner else []
        return events

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
        """The controller has ended: all streams end, and the proxies read the store on their next streams."""
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
                # Never at the same instant as the message before: timers due together run in any order.
                proxy.last_at = max(proxy.last_at + 1e-6, self.loop.time() + self.chance.uniform(0.002, 0.06))
                self.loop.call_at(proxy.last_at, self.apply, node, proxy.stream, orders)

    def apply(self, node: int, stream: int, orders: list[str]) -> None:
        proxy = self.proxies[node]
        if not proxy.joined or proxy.stream != stream:
            return  # messages in flight are lost with the stream
        self.look()
        for text in orders:
            if barrier := changed(proxy.tables, proxy.out, text):
                self.tell("ACK", f"node={node}&nonce={barrier}&latency=20.0")
        self.look()

    def look(self) -> None:
        """Checks rule 2: writes of a slice go to one owner, and none while an earlier one may hold some."""
        now = self.loop.time()
        for proxy in self.proxies:
            send_until = now if proxy.joined else min(now, proxy.broken_at + SMALL_DEPLOYMENT.lease_us / 1e6)
            for number, (owner, admitted) in proxy.tables.items():
                if owner and admitted and owner not in proxy.out:
                    self.last[number, owner] = max(self.last.get((number, owner), 0), send_until)
        for number in self.store:
            recent = [
                owner
                for (n, owner), at in self.last.items()
                if n == number and at > now - SMALL_DEPLOYMENT.linger_us / 1e6
            ]
            if len(recent) > 1:
                self.broken.append(f"slice {number} has writes at several owners: {recent}")


def changed(tables: dict[int, tuple[str | None, bool]], out: set[str], text: str) -> str:
    """Applies an order to tables; returns the number of a barrier, or an empty text for other orders."""
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
        case ["SYNC", barrier, _]:
            return barrier
    return ""


class Roll(LoopbackServer):
    """A registry that always sends snapshots, whatever version a watch asks for."""

    def __init__(self) -> None:
        super().__init__(self.roll)
        self.version, self.members, self.broke = 1, {}, asyncio.Event()
        for number in range(3):
            self.put(f"s-{number}", "Ready")

    async def roll(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> str | None:
        state, sent = h11.Connection(h11.SERVER), 0
        await read_request(reader, state)
        writer.write(response_bytes(state, 200, None))
        while not writer.is_closing():
            text = json.dumps(listing(self.version, *self.members.values())) if sent != self.version else ""
            sent = self.version
            writer.write(state.send(h11.Data(data=text.encode() + b"\n")))
            await asyncio.sleep(0.05)
        return "reset"

    def put(self, name: str, phase: str) -> None:
        self.version += 1
        self.members[name] = {**MEMBER, "id": name, "phase": phase}

    def change(self, chance: random.Random) -> None:
        """One of three servers, drawn at random, drains, goes or returns; the last ready one stays ready."""
        name = f"s-{chance.randrange(3)}"
        ready_count = sum(member["phase"] == "Ready" for member in self.members.values())
        ready = self.members[name]["phase"] == "Ready"
        if not ready or ready_count > 1:
            self.put(name, chance.choice(("Terminating", "Gone")) if ready else "Ready")


def is_right(world: World, roll: Roll) -> bool:
    """Whether every slice has a ready owner, and all proxies hold the stored tables."""
    ready = {name for name, member in roll.members.items() if member["phase"] == "Ready"}
    owners = {owner for owner, _ in world.store.values()}
    return owners <= ready and all(proxy.tables == world.store for proxy in world.proxies)


async def comes_right(world: World, roll: Roll) -> None:
    """Connects all proxies and waits until every slice is served, with no breach of rule 2."""
    for node in range(len(world.proxies)):
        world.join(node)
    await until(lambda: is_right(world, roll))
    assert not world.broken, world.broken
