"""A gate that stands alone, a node that drains, and orders of one key block before and after."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from websockets.asyncio.client import connect
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import ConnectionClosed, InvalidStatus

from lapispass.core.tables import slice_of
from review.common.harness import Case, CouldNotRun, free_port, main, until

NODES, SLICES, WORK_S, TILLS = 8, 12, 0.53, 6


class Node:
    """A counter node: carries out each order for `WORK_S` and then answers it."""

    def __init__(self, name: str, case: Case, world: World) -> None:
        self.name, self.case, self.world, self.address = name, case, world, ""

    async def start(self) -> None:
        server = await serve(self.hold, "127.0.0.1", 0, compression=None, ping_interval=None)
        self.address = f"127.0.0.1:{next(iter(server.sockets)).getsockname()[1]}"

    async def hold(self, connection: ServerConnection) -> None:
        working: set[asyncio.Task[None]] = set()
        try:
            async for message in connection:
                task = asyncio.create_task(self.work(connection, str(message)))
                working.add(task)
                task.add_done_callback(working.discard)
        except ConnectionClosed:
            pass

    async def work(self, connection: ServerConnection, order: str) -> None:
        self.world.begun(self.name, order)
        await asyncio.sleep(WORK_S)
        self.world.ended(self.name, order)
        try:
            await connection.send(f"ok {order}")
        except ConnectionClosed:
            pass


class World:
    """The nodes and tills; judges which nodes hold writes of the key block."""

    def __init__(self, case: Case, key: str) -> None:
        self.case, self.key = case, key
        self.nodes = {f"n{n}": Node(f"n{n}", case, self) for n in range(NODES)}
        self.in_hand: dict[str, str] = {}  # order: node
        self.answered, self.sent = 0, 0
        self.order_of_nodes: list[str] = []

    def begun(self, node: str, order: str) -> None:
        self.case.note(f"{node} begins {order}")
        for other, at in self.in_hand.items():
            if at != node:
                self.case.broken(f"{node} begins {order} while {at} holds {other}, both of key {self.key}")
        if node in self.order_of_nodes[:-1]:
            self.case.broken(f"{node} gets {order}, after {self.order_of_nodes[-1]} has taken over")
        if node not in self.order_of_nodes:
            self.order_of_nodes.append(node)
        self.in_hand[order] = node

    def ended(self, node: str, order: str) -> None:
        self.case.note(f"{node} ends {order}")
        self.in_hand.pop(order, None)

    async def till(self, name: str, url: str) -> None:
        """Sends one order after another, each once, on a connection of its own."""
        chance = random.Random(name)
        while True:
            await asyncio.sleep(chance.uniform(0.05, 0.4))
            try:
                async with connect(url, compression=None, ping_interval=None, open_timeout=5) as connection:
                    self.sent += 1
                    order = f"{name}-{self.sent}"
                    self.case.note(f"{name} sends {order}")
                    await connection.send(order)
                    async with asyncio.timeout(5):
                        answer = await connection.recv()
                    self.case.note(f"{name} gets {answer!r}")
                    self.answered += 1
            except ConnectionClosed as error:
                self.case.note(f"{name} was closed: {error.rcvd}")
            except InvalidStatus as error:
                wait_ms = int(error.response.headers.get("Retry-After-Ms", "500"))
                self.case.note(f"{name} was refused: {error.response.status_code}, wait {wait_ms} ms")
                await asyncio.sleep(wait_ms / 1000)
            except (OSError, TimeoutError) as error:
                self.case.note(f"{name}: {type(error).__name__} {error}")


def operator_file(world: World, port: int, drains: bool) -> str:
    nodes = "\n".join(
        f'node {{ id: "{node.name}" address: "{node.address}" zone: "east"'
        f"{' state: DRAINING' if drains and node.name == 'n0' else ''} }}"
        for node in world.nodes.values()
    )
    return (
        'connection_class { name: "till" path_prefix: "/till" writes: true benefit: 3 }\n'
        "nodes { connections: 5000 new_per_s: 200 burst: 20 }\n"
        "drain { grace_ms: 20000 margin_ms: 3000 }\n"
        f'gate {{ name: "g0" zone: "east" listen: "127.0.0.1:{port}" slices: {SLICES}'
        f' key_parameter: "key" }}\n{nodes}\n'
    )


async def play(case: Case) -> None:
    # A key block that n0 owns at first: without lines in the file they are spread in turn.
    key = next(f"block-{n}" for n in range(1000) if slice_of(f"block-{n}", SLICES) % NODES == 0)
    world = World(case, key)
    for node in world.nodes.values():
        await node.start()
    port = free_port()
    file = case.temporary / "gate.textproto"
    file.write_text(operator_file(world, port, False))
    case.start("gate", f"gate -o {file}")
    tills = [
        asyncio.create_task(world.till(f"till{n}", f"ws://127.0.0.1:{port}/till?key={key}"))
        for n in range(TILLS)
    ]
    try:
        await until("orders are answered", lambda: world.answered >= 3 * TILLS)
        if world.order_of_nodes != ["n0"]:
            raise CouldNotRun(f"the key block was not with n0 alone: {world.order_of_nodes}")
        file.write_text(operator_file(world, port, case.trouble))
        case.note(f"the operator file now says n0 {'DRAINING' if case.trouble else 'READY'}")
        case.signal("gate", signal.SIGHUP)
        ends, before = time.monotonic() + 15, world.answered
        while time.monotonic() < ends:
            case.check_running()
            await asyncio.sleep(0.1)
        if world.answered < before + 2 * TILLS:
            raise CouldNotRun("hardly any order was answered after the signal")
    finally:
        for till in tills:
            till.cancel()
        await asyncio.gather(*tills, return_exceptions=True)


main(Path(__file__).resolve().parent, play)
