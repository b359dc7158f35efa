"""A node dies while one of two gates stands still: does a message that came meanwhile get lost?"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed, InvalidHandshake

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from support.bench import Bench, NotRun, free_address, main
from support.gate import operator_file
from support.nodes import Node

SLICES, NODES, SCREENS = 12, 6, 24  # half of the screens at each of two gates
STILL_S = 1.5  # the pages: 1,500 to 2,000 ms
PATIENCE_S, WAIT_S = 5.0, 12.0


class Screen:
    """A screen that connects, asks once, and waits for the answer or for the end of its connection."""

    def __init__(self, bench: Bench, address: str, number: int) -> None:
        self.bench, self.address, self.number = bench, address, number
        self.question = f"question of screen {number}"
        self.ask = asyncio.Event()
        self.connected = False
        self.sent_at = self.settled_at = 0.0
        self.outcome = ""

    async def run(self) -> None:
        """Connects, asks when it is told to, and waits."""
        try:
            async with connect(
                f"ws://{self.address}/board",
                compression=None,
                ping_interval=None,
                open_timeout=10,
                close_timeout=2,
            ) as held:
                self.connected = True
                await self.ask.wait()
                await held.send(self.question)
                self.sent_at = time.monotonic()
                try:
                    self.outcome = f"answered {await held.recv()!r}"
                except ConnectionClosed as end:
                    self.outcome = f"closed with {end.rcvd.code if end.rcvd else 1006}"
                self.settled_at = time.monotonic()
                self.bench.note(f"screen {self.number}: {self.outcome}")
        except (OSError, InvalidHandshake, EOFError) as error:
            self.bench.note(f"screen {self.number}: {type(error).__name__} {error}")


async def play(bench: Bench) -> None:
    nodes = [await Node(f"n{number}").start() for number in range(NODES)]
    gates = {"gate-0": free_address(), "gate-1": free_address()}
    for name, listen in gates.items():
        file = bench.temporary / f"{name}.textproto"
        file.write_text(operator_file(listen, nodes, SLICES, 5000))
        bench.start(name, f"gate -o {file}")
    await bench.until("the gates listen", lambda: all(bench.log_has(name, "listening") for name in gates))
    await asyncio.sleep(1.0)
    addresses = list(gates.values())
    screens = [Screen(bench, addresses[number % 2], number) for number in range(SCREENS)]
    running = [asyncio.create_task(screen.run()) for screen in screens]
    await bench.until("all screens are held", lambda: all(screen.connected for screen in screens))
    await asyncio.sleep(0.5)
    dying = max(nodes, key=lambda node: len(node.held))
    bench.note(f"held: { {node.name: len(node.held) for node in nodes} }")
    if bench.trouble:
        bench.signal("gate-0", signal.SIGSTOP)
    await asyncio.sleep(STILL_S / 3)
    for screen in screens:
        screen.ask.set()
    bench.note("each screen asks")
    await asyncio.sleep(STILL_S / 3)
    if bench.trouble:
        dying.die()
        bench.note(f"{dying.name} dies: its connections are reset")
    await asyncio.sleep(STILL_S / 3)
    if bench.trouble:
        bench.signal("gate-0", signal.SIGCONT)
    await asyncio.wait(running, timeout=WAIT_S)
    asked = [screen for screen in screens if screen.sent_at]
    if len(asked) < SCREENS:
        raise NotRun(f"only {len(asked)} screens could ask")
    received = {item.text for node in nodes for item in node.received}
    for screen in asked:
        waited = (screen.settled_at or time.monotonic()) - screen.sent_at
        outcome = screen.outcome or "neither answered nor closed"
        if waited > PATIENCE_S + 0.5:
            came = "came to a node" if screen.question in received else "came to no node"
            bench.broken(f"{screen.question!r}: {outcome}, {waited:.1f} s after it was sent; it {came}")
    bench.note(f"held: { {node.name: len(node.held) for node in nodes} }")
    for task in running:
        task.cancel()


main(Path(__file__).resolve().parent, play)
