"""A node drains in order: does every question that it has taken get its answer?"""

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
WORK_S = 0.5  # the brief: 270 to 610 ms; a movable class has to answer within 1.5 s
PATIENCE_S = 5.0
BETWEEN_S = 0.5  # from an answer to the next question


class Screen:
    """A screen that asks one question after the other; each waits for its answer for the patience."""

    def __init__(self, address: str, number: int) -> None:
        self.address, self.number, self.asked = address, number, 0
        self.unanswered: list[tuple[str, float]] = []  # the question, and when it was asked
        self.closed: list[tuple[str, str]] = []  # the question, and how the connection ended meanwhile
        self.answered: list[tuple[str, float, float]] = []  # the question, and when it was asked and answered

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
                    while True:
                        await self.ask(held)
                        await asyncio.sleep(BETWEEN_S)
            except (OSError, ConnectionClosed, InvalidHandshake, EOFError):
                pass
            await asyncio.sleep(1.0)

    async def ask(self, held) -> None:
        """Asks one question, and reads until its answer has come."""
        question = f"question {self.asked} of screen {self.number}"
        self.asked, began = self.asked + 1, time.monotonic()
        try:
            await held.send(question)
            async with asyncio.timeout(PATIENCE_S + 0.5):
                while await held.recv() != f"ok {question}":
                    pass
            self.answered.append((question, began, time.monotonic()))
        except TimeoutError:
            self.unanswered.append((question, began))
        except ConnectionClosed as end:
            self.closed.append((question, f"{end.rcvd.code if end.rcvd else 1006}"))
            raise


async def play(bench: Bench) -> None:
    nodes = [await Node(f"n{number}").start() for number in range(NODES)]
    for node in nodes:
        node.work_s = WORK_S
    leaving = nodes[0]
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
    told = time.monotonic()
    if bench.trouble:
        file.write_text(operator_file(listen, nodes, SLICES, 5000, {leaving.name: "DRAINING"}))
        bench.signal("gate", signal.SIGHUP)
        bench.note(f"{leaving.name} is listed as draining")
    await asyncio.sleep(GRACE_S + 1.0)
    bench.note(f"held: { {node.name: len(node.held) for node in nodes} }")
    await asyncio.sleep(PATIENCE_S + 1.0)
    came = {item.text: item for node in nodes for item in node.received}
    for screen in screens:
        for question, began in screen.unanswered:
            where = f"came to {came[question].node}" if question in came else "came to no node"
            bench.broken(
                f"{question!r}, asked {began - told:.2f} s after the drain was told, {where}: "
                f"no answer within {PATIENCE_S + 0.5:g} s, and its connection stands"
            )
        for question, code in screen.closed:
            bench.note(f"{question!r}: its connection was closed with {code}")
    bench.note(f"questions asked: {sum(screen.asked for screen in screens)}")
    for question, asked, answered in sorted(item for screen in screens for item in screen.answered):
        bench.note(
            f"{question!r} asked {asked - told:.2f} s, came to {came[question].node}, "
            f"answered {answered - told:.2f} s after the drain was told"
        )
    for task in running:
        task.cancel()


main(Path(__file__).resolve().parent, play)
