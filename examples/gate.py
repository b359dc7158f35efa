"""Three counter nodes for `deploy/gate-alone.textproto`, and two screens that say what happens to them.

    python examples/gate.py                                          # in one terminal
    python -m lapispass gate -o deploy/gate-alone.textproto          # in another

Then set `state: DRAINING` for a node in a copy of the file, start the gate with the copy, and send it SIGHUP.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from lapispass.standins.held_client import HeldClient
from lapispass.standins.nodes import CounterNode


async def main() -> None:
    nodes = [await CounterNode(f"n{number}", tick_s=1).start(7410 + number) for number in range(3)]
    screens = [
        HeldClient("ws://127.0.0.1:7400/board", "board", 1),
        HeldClient("ws://127.0.0.1:7400/till?key=till-1", "till", 2, "till-1", 2.0),
    ]
    running = [asyncio.create_task(screen.run()) for screen in screens]
    print("nodes are up; start the gate")
    while all(not task.done() for task in running):
        await asyncio.sleep(1)
        held = {node.name: len(node.held) for node in nodes}
        closed = [(end.code, end.reason) for screen in screens for end in screen.ends][-2:]
        seen, written = screens[0].received[-1:], len(screens[1].answered)
        print("held:", held, "board saw:", seen, "till wrote:", written, "closed:", closed)


if __name__ == "__main__":
    asyncio.run(main())
