"""Starts a real controller process that serves xDS clients, with its operator file."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from faulty_process import Controller, Faults, free_address, process

SLICES = 6
FILE = """
xds {{ listen: "{listen}" late_ms: 400 new_per_s: 1000 burst: 1000 }}
alone {{ store_file: "store" slices: 6 lease_ms: 700 write_life_ms: 100 bare_ms: 4000
  visit_class {{ name: "look" agreed_ms: 500 patience_ms: 1000 benefit: 1 }}
  visit_class {{ name: "trade-order" agreed_ms: 500 patience_ms: 1000 benefit: 3 writes: true }} }}
node {{ id: "n0" address: "127.0.0.1:9000" zone: "east" state: {n0} }}
node {{ id: "n1" address: "127.0.0.1:9001" zone: "west" state: {n1} }}
"""


def write_file(folder: Path, address: tuple[str, int], draining: str = "") -> Path:
    """Writes the operator file, in which at most one server drains."""
    file = folder / "operator.textproto"
    states = {name: "DRAINING" if name == draining else "READY" for name in ("n0", "n1")}
    file.write_text(FILE.format(listen="{}:{}".format(*address), **states))
    return file


def drain(running: Controller, folder: Path, name: str) -> None:
    """Drains this server and makes the other ready, and has the running process read the file again."""
    write_file(folder, running.address, name)
    running.signal(signal.SIGHUP)


@asynccontextmanager
async def xds_controller(
    folder: Path, faults: Faults | None = None, address: tuple[str, int] | None = None
) -> AsyncIterator[Controller]:
    """Starts the process and waits until it listens; ends it afterwards."""
    faults, address = faults or Faults(folder / "faults"), address or free_address()
    file = write_file(folder, address)
    async with process(("run", "-o", str(file)), faults, address, "listening", {}) as running:
        yield running
