"""A controller writes each of its decisions to the store, even if the disk fails for a while."""

from __future__ import annotations

import asyncio
import errno
import signal
from pathlib import Path

import pytest
from faulty_process import Call, Controller, Faults, free_address, process

from lapispass.store.assignments import Assignments

SLICES = 6
FILE = """
xds {{ listen: "{listen}" late_ms: 400 }}
alone {{ store_file: "store" slices: 6 lease_ms: 400 write_life_ms: 100 bare_ms: 4000
  visit_class {{ name: "look" agreed_ms: 500 patience_ms: 1000 benefit: 1 }}
  visit_class {{ name: "trade-order" agreed_ms: 500 patience_ms: 1000 benefit: 3 writes: true }} }}
node {{ id: "n0" address: "127.0.0.1:9000" zone: "east" state: {n0} }}
node {{ id: "n1" address: "127.0.0.1:9001" zone: "west" }}
"""


async def wait_for_commits(running: Controller, least: int) -> None:
    async with asyncio.timeout(10):
        while (await running.counters()).get("host.commits", 0) < least:
            await asyncio.sleep(0.1)


async def owners_after_drain(folder: Path, call: Call, error: int) -> dict[int, str | None]:
    """The owners in the store after a node was drained while the disk failed."""
    folder.mkdir()
    faults, address = Faults(folder / "faults"), free_address()
    file, listen = folder / "operator.textproto", "{}:{}".format(*address)
    file.write_text(FILE.format(n0="READY", listen=listen))
    async with process(("run", "-o", str(file)), faults, address, "listening", {}) as running:
        await wait_for_commits(running, 1)
        faults.set(call, error)
        file.write_text(FILE.format(n0="DRAINING", listen=listen))
        running.signal(signal.SIGHUP)
        await asyncio.sleep(1.5)
        assert faults.injected(call) and running.process.returncode is None, running.lines
        before = (await running.counters())["host.commits"]
        faults.clear(call)
        await wait_for_commits(running, before + 1)
        await asyncio.sleep(1.5)
        running.signal(signal.SIGTERM)
        assert await running.wait_for_exit() == 0
    store = Assignments(folder / "store", SLICES)
    owners = store.owners()
    store.close()
    return owners


@pytest.mark.time_limit(60)
async def test_decisions_wait_for_a_disk_that_fails_for_a_while(tmp_path: Path) -> None:
    # The controller used to exit when the disk was full.
    for call in (Call.WRITE, Call.SYNC):
        for error in (errno.ENOSPC, errno.EIO):
            owners = await owners_after_drain(tmp_path / f"{call.name}-{error}", call, error)
            assert owners == dict.fromkeys(range(SLICES), "n1"), (call, error)
