"""A node drains and leaves the list before its grace is over: is anything sent to it after the grace?"""

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

from support.bench import Bench, free_address, main
from support.gate import GRACE_S, operator_file
from support.nodes import Node

SLICES, NODES, SCREENS = 16, 8, 96
REMOVED_AFTER_S = 5.0  # after the drain was told
ENDS_AFTER_S = GRACE_S + 5.0  # the node ends its process, as it may after the grace
SLACK_S = 0.8  # 0.3 s by the protocol's page, and 0.5 s for the signal to be handled
EVERY_S = 0.3  # between two messages of a screen


class Screen:
    """A screen that holds a connection, asks now and then, and comes back when it was closed."""

    def __init__(self, address: str, number: int) -> None:
        self.address, self.number, self.serial = address, number, 0
        self.answered: set[str] = set()

    async def run(self) -> None:
        """Connects and asks, again and again."""
        while True:
            try:
                async with connect(
                    f"ws://{self.address}/board",
                    compression=None,
                    ping_interval=None,
                    open_timeout=10,
                    close_timeout=2,
                ) as held:
                    reading = asyncio.create_task(self.read(held))
                    try:
                        while not reading.done():
                            await held.send(f"screen {self.number} question {self.serial}")
                            self.serial += 1
                            await asyncio.sleep(EVERY_S)
                    finally:
                        reading.cancel()
            except (OSError, ConnectionClosed, InvalidHandshake, EOFError):
                pass
            await asyncio.sleep(1.0)

    async def read(self, held) -> None:
        """Notes the answers, until the connection ends."""
        try:
            while True:
                self.answered.add(str(await held.recv()).removeprefix("ok "))
        except ConnectionClosed:
            pass


async def play(bench: Bench) -> None:
    nodes = [await Node(f"n{number}").start() for number in range(NODES)]
    leaving = nodes[0]
    leaving.work_s = 0.2
    listen, file = free_address(), bench.temporary / "gate.textproto"
    file.write_text(operator_file(listen, nodes, SLICES, 5000))
    bench.start("gate", f"gate -o {file}")
    await bench.until("the gate listens", lambda: bench.log_has("gate", "listening"))
    await asyncio.sleep(1.0)
    screens = [Screen(listen, number) for number in range(SCREENS)]
    running = []
    for screen in screens:
        running.append(asyncio.create_task(screen.run()))
        await asyncio.sleep(0.02)
    await bench.until("all screens are held", lambda: sum(len(node.held) for node in nodes) == SCREENS)
    bench.note(f"held: { {node.name: len(node.held) for node in nodes} }")

    file.write_text(operator_file(listen, nodes, SLICES, 5000, {leaving.name: "DRAINING"}))
    told = time.monotonic()
    bench.signal("gate", signal.SIGHUP)
    bench.note(f"{leaving.name} is listed as draining")
    await asyncio.sleep(REMOVED_AFTER_S)
    bench.note(f"held: { {node.name: len(node.held) for node in nodes} }")
    if bench.trouble:
        file.write_text(operator_file(listen, nodes[1:], SLICES, 5000))
        bench.signal("gate", signal.SIGHUP)
        bench.note(f"{leaving.name} is no longer in the list")
    while time.monotonic() < told + ENDS_AFTER_S:
        await asyncio.sleep(2.0)
        bench.note(f"{time.monotonic() - told:4.1f} s after the drain: {len(leaving.held)} held there")
    late = [item for item in leaving.received if item.at > told + GRACE_S + SLACK_S]
    leaving.die()
    bench.note(f"{leaving.name} ends its process")
    await asyncio.sleep(3.0)
    answered = {text for screen in screens for text in screen.answered}
    lost = [item.text for item in leaving.received if item.text not in answered]
    bench.note(f"held: { {node.name: len(node.held) for node in nodes} }")
    bench.note(f"questions that came to {leaving.name}: {len(leaving.received)}, never answered: {lost}")
    for item in late[:20]:
        bench.broken(f"{item.text!r} came to {leaving.name} {item.at - told:.2f} s after its drain was told")
    bench.note(f"questions that came to {leaving.name} after the grace: {len(late)}")
    for task in running:
        task.cancel()


main(Path(__file__).resolve().parent, play)
