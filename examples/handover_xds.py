"""Watch a handover through xDS: a controller, two clients of both protocols, and a node that drains.

    python examples/handover_xds.py

Everything is on loopback and ends by itself after some 20 seconds. Each line says what a client may write to
now.
"""

from __future__ import annotations

import asyncio
import logging
import re
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from lapispass.operator import read as operator
from lapispass.standins.xds_client import XdsClient
from lapispass.xds.host import Host


async def main() -> None:
    logging.getLogger("lapispass").setLevel(logging.WARNING)
    folder = Path(tempfile.mkdtemp())
    file = folder / "xds.textproto"
    text = (Path(__file__).parent.parent / "deploy" / "xds.textproto").read_text()
    text = re.sub(r'store_file: "[^"]*"', 'store_file: "store"', text).replace(
        "127.0.0.1:7500", "127.0.0.1:0"
    )
    file.write_text(text)
    host = Host(operator.read(file), 1)
    running = asyncio.create_task(host.run())
    while not host.xds_server.address:
        await asyncio.sleep(0.01)
    clients = [
        XdsClient(host.xds_server.address, "incremental", 1),
        XdsClient(host.xds_server.address, "whole", 2, False),
    ]
    lives = [asyncio.create_task(client.run()) for client in clients]
    last: dict[str, str] = {}
    begun = asyncio.get_running_loop().time()
    drained = False
    while (now := asyncio.get_running_loop().time() - begun) < 20:
        for client in clients:
            seen = " ".join(f"{n}:{client.writes_to(n) or '--'}" for n in range(12))
            if last.get(client.name) != seen:
                print(f"{now:6.2f} s  {client.name:<12} {seen}")
                last[client.name] = seen
        if not drained and now > 9:
            print(f"{now:6.2f} s  n0 drains")
            file.write_text(text.replace('id: "n0"', 'id: "n0" state: DRAINING'))
            host.read_again()
            drained = True
        await asyncio.sleep(0.01)
    for life in lives:
        life.cancel()
    host.stop()
    await asyncio.gather(running, *lives, return_exceptions=True)


if __name__ == "__main__":
    asyncio.run(main())
