"""The price of waiting for answers when connections leave their node: one way a run, with real sockets.

    python benchmarks/owed_answers.py move|close|stop|owner [--work-s 0.5] [--at-once 1] [--clients 96]
        [--seed 1]

A gate that stands alone, as a process, holds clients that ask a question, read its answer, and ask again
after half a second. Then one of its nodes drains ("move": a class that may be moved; "close": one that may
not), the gate is told to end ("stop"), or the file gives the slices of a node to another one ("owner": a
class that writes). Prints how many questions a node had taken and were never answered, how many were cut by a
close, how long answers took, and how long the way took until its last connection had left.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from websockets.asyncio.client import connect
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import ConnectionClosed, InvalidHandshake

NODES, SLICES = 8, 16
PAUSE_S, GIVE_UP_S = 0.5, 5.5
GRACE_S = 20.0
PATHS = {"move": "/board", "stop": "/board", "close": "/till", "owner": "/desk"}


@dataclass
class Node:
    """A node that works on each question for a while, on several at the same time."""

    work_s: float
    address: str = ""
    taken: set[str] = field(default_factory=set)
    held: set[ServerConnection] = field(default_factory=set)

    async def hold(self, connection: ServerConnection) -> None:
        """Serves one connection."""
        self.held.add(connection)
        tasks = []
        try:
            while True:
                question = str(await connection.recv())
                self.taken.add(question)
                tasks.append(asyncio.create_task(self.answer(connection, question)))
        except ConnectionClosed:
            pass
        finally:
            self.held.discard(connection)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def answer(self, connection: ServerConnection, question: str) -> None:
        await asyncio.sleep(self.work_s)
        await connection.send(f"ok {question}")


@dataclass
class Asked:
    """What became of the questions of all clients."""

    waits: list[float] = field(default_factory=list)
    lost: list[str] = field(default_factory=list)  # neither answered nor closed in time
    cut: list[str] = field(default_factory=list)  # closed first
    codes: Counter[int] = field(default_factory=Counter)  # of the closes; 1006: without a close frame


async def ask_again_and_again(url: str, name: str, at_once: int, asked: Asked) -> None:
    """Asks, and connects again after a close."""
    number = 0
    while True:
        waiting: dict[str, float] = {}
        try:
            async with connect(url, compression=None, ping_interval=None, close_timeout=1) as connection:
                while True:
                    for _ in range(at_once):
                        question, number = f"{name}-{number}", number + 1
                        waiting[question] = time.monotonic()
                        await connection.send(question)
                    async with asyncio.timeout(GIVE_UP_S):
                        while waiting:
                            answer = str(await connection.recv()).removeprefix("ok ")
                            asked.waits.append(time.monotonic() - waiting.pop(answer))
                    await asyncio.sleep(PAUSE_S)
        except TimeoutError:
            asked.lost += waiting
        except ConnectionClosed as end:
            asked.cut += waiting
            asked.codes[end.rcvd.code if end.rcvd else 1006] += 1
        except (OSError, InvalidHandshake, EOFError):
            pass
        await asyncio.sleep(1)


def operator_file(listen: str, nodes: list[Node], state: str, owners: dict[int, int]) -> str:
    """A file for a gate that stands alone; node 0 has the given state."""
    lines = [
        'connection_class { name: "board" path_prefix: "/board" movable: true }',
        'connection_class { name: "till" path_prefix: "/till" }',
        'connection_class { name: "desk" path_prefix: "/desk" writes: true movable: true }',
        "nodes { new_per_s: 2000 burst: 2000 }",
        f"drain {{ grace_ms: {GRACE_S * 1000:.0f} margin_ms: 3000 }}",
        f'gate {{ name: "g" listen: "{listen}" slices: {SLICES} key_parameter: "key"',
        "  new_per_s: 2000 burst: 2000 }",
    ]
    lines += [f'line {{ slice: {number} owner: "n{owner}" }}' for number, owner in owners.items()]
    for number, node in enumerate(nodes):
        node_state = "READY" if number else state
        lines.append(f'node {{ id: "n{number}" address: "{node.address}" state: {node_state} }}')
    return "\n".join(lines)


def free_address() -> str:
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{found.getsockname()[1]}"


async def play(way: str, work_s: float, at_once: int, count: int, seed: int) -> None:
    """Plays one way and prints what was seen."""
    chance, nodes, asked = random.Random(seed), [Node(work_s) for _ in range(NODES)], Asked()
    for node in nodes:
        server = await serve(node.hold, "127.0.0.1", 0, compression=None, ping_interval=None, close_timeout=2)
        node.address = "{}:{}".format(*next(iter(server.sockets)).getsockname()[:2])
    owners = {number: number % NODES for number in range(SLICES)} if way == "owner" else {}
    listen = free_address()
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "gate.textproto"
        file.write_text(operator_file(listen, nodes, "READY", owners))
        gate = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "lapispass", "gate", "-o", str(file), stdout=-3, stderr=-3, env=os.environ
        )
        await asyncio.sleep(6)  # writes of an earlier process are over
        clients = []
        for number in range(count):
            url = f"ws://{listen}{PATHS[way]}?key=k{number}"
            clients.append(asyncio.create_task(ask_again_and_again(url, f"c{number}", at_once, asked)))
            await asyncio.sleep(2 / count)
        await asyncio.sleep(2 + chance.random())
        asked.waits.clear()
        leaving, begun = len(nodes[0].held), time.monotonic()
        if way == "stop":
            gate.send_signal(signal.SIGTERM)
            await gate.wait()
        else:
            moved = {number: owner or 1 for number, owner in owners.items()}
            file.write_text(operator_file(listen, nodes, "READY" if owners else "DRAINING", moved))
            gate.send_signal(signal.SIGHUP)
            while nodes[0].held and time.monotonic() - begun < GRACE_S + 10:
                await asyncio.sleep(0.01)
        took = time.monotonic() - begun
        await asyncio.sleep(GIVE_UP_S + 0.5)
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        if gate.returncode is None:
            gate.terminate()
            await gate.wait()
    taken = set().union(*(node.taken for node in nodes))
    waits = sorted(asked.waits) or [0.0]
    print(
        f"{way} work={work_s} at_once={at_once} clients={count} seed={seed}: "
        f"left={leaving} took={took:.2f} s "
        f"answered={len(asked.waits)} lost={len(taken & set(asked.lost))} "
        f"cut_in_work={len(taken & set(asked.cut))} cut_unsent={len(set(asked.cut) - taken)} "
        f"closed={dict(asked.codes)} slowest={waits[-1]:.2f} s "
        f"half_s_late={sum(wait > work_s + 0.5 for wait in waits)}"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("way", choices=PATHS)
    parser.add_argument("--work-s", type=float, default=0.5)
    parser.add_argument("--at-once", type=int, default=1)
    parser.add_argument("--clients", type=int, default=96)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    asyncio.run(play(arguments.way, arguments.work_s, arguments.at_once, arguments.clients, arguments.seed))


if __name__ == "__main__":
    main()
