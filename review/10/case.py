"""A slice moves while a node that hangs still owes the answer to an upgrade: is the write ever answered?"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed, InvalidHandshake, InvalidStatus

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from support.bench import Bench, NotRun, free_address, main
from support.gate import keys_of, operator_file
from support.nodes import Node

SLICES, NODES, WRITE_LIFE_MS = 12, 6, 2000
HANG_S = 5.4  # the shortest hang of the pages
ASKED_AFTER_S = 0.9  # after the hang began: the gate waits 5 s for the answer to an upgrade
MOVED_AFTER_S = 1.0
WAIT_S = 45.0  # for the answer to a write; the clients' patience is 5 s
PATIENCE_S = 5.0


class Till:
    """A till: it connects once, writes once, and waits for the answer or for the end of its connection."""

    def __init__(self, bench: Bench, address: str, key: str) -> None:
        self.bench, self.address, self.key = bench, address, key
        self.connected_at = self.sent_at = self.settled_at = 0.0
        self.outcome = ""

    async def run(self) -> None:
        """Connects, writes and waits; a refused upgrade is tried again, as the refusal says."""
        while True:
            try:
                async with connect(
                    f"ws://{self.address}/till?key={self.key}",
                    compression=None,
                    ping_interval=None,
                    open_timeout=15,
                    close_timeout=2,
                ) as held:
                    self.connected_at = time.monotonic()
                    self.bench.note(f"till {self.key}: its upgrade was accepted")
                    await held.send(f"write of {self.key}")
                    self.sent_at = time.monotonic()
                    try:
                        self.outcome = f"answered {await held.recv()!r}"
                    except ConnectionClosed as end:
                        self.outcome = f"closed with {end.rcvd.code if end.rcvd else 1006}"
                    self.settled_at = time.monotonic()
                    self.bench.note(f"till {self.key}: {self.outcome}")
                    return
            except InvalidStatus as refused:
                self.bench.note(f"till {self.key}: its upgrade was refused: {refused.response.status_code}")
            except (OSError, InvalidHandshake, EOFError) as error:
                self.bench.note(f"till {self.key}: {type(error).__name__} {error}")
            await asyncio.sleep(1.0)


async def play(bench: Bench) -> None:
    nodes = [await Node(f"n{number}").start() for number in range(NODES)]
    n0, n1 = nodes[0], nodes[1]
    listen, file = free_address(), bench.temporary / "gate.textproto"
    file.write_text(operator_file(listen, nodes, SLICES, WRITE_LIFE_MS))
    bench.start("gate", f"gate -o {file}")
    await bench.until("the gate listens", lambda: bench.log_has("gate", "listening"))
    await asyncio.sleep(4.0)  # writes are let in a write's longest life after the gate's start
    tills = [Till(bench, listen, key) for key in keys_of(0, SLICES, 4, "till")]
    if bench.trouble:
        n0.hang()
        bench.note("n0 hangs: it takes connections and answers none")
    await asyncio.sleep(ASKED_AFTER_S)
    running = [asyncio.create_task(till.run()) for till in tills[:3]]
    await bench.until("the upgrades have come to n0", lambda: n0.upgrades >= 3, 3)
    await asyncio.sleep(MOVED_AFTER_S - ASKED_AFTER_S)
    # At the start slices are dealt out in turn, so n0 has slice 0. The operator now pins it to n1.
    file.write_text(operator_file(listen, nodes, SLICES, WRITE_LIFE_MS, owners={0: "n1"}))
    bench.signal("gate", signal.SIGHUP)
    bench.note("the operator's file has slice 0 at n1 now")
    await asyncio.sleep(HANG_S - MOVED_AFTER_S)
    n0.resume()
    bench.note("n0 answers again")
    # A till that comes later shows that the slice is served at n1 by now.
    await asyncio.sleep(2.0)
    running.append(asyncio.create_task(tills[3].run()))
    await asyncio.wait(running, timeout=WAIT_S)
    if not tills[3].outcome.startswith("answered"):
        raise NotRun(f"the slice is not served: {tills[3].outcome or 'no answer'}")
    for till in tills:
        if not till.connected_at:
            bench.note(f"till {till.key}: never accepted")
        else:
            waited = (till.settled_at or time.monotonic()) - till.sent_at
            outcome = till.outcome or "neither answered nor closed"
            if waited > PATIENCE_S + 0.5:
                bench.broken(f"the write of {till.key}: {outcome}, {waited:.1f} s after it was sent")
    for node in (n0, n1):
        bench.note(f"{node.name} received: {[item.text for item in node.received]}")
    for task in running:
        task.cancel()


main(Path(__file__).resolve().parent, play)
