"""Controllers that share a coordination service, all in the event loop of the test."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from async_tests import cancel_and_wait
from support_gate import until

from lapispass.operator import read as operator
from lapispass.peers.host import SharedHost
from lapispass.standins.coordination import CoordinationServer

FILE = """
xds {{ listen: "127.0.0.1:0" late_ms: 400 new_per_s: 1000 burst: 1000 }}
alone {{ slices: {slices} lease_ms: 400 write_life_ms: 100 bare_ms: 6000
  shared {{ name: "{name}" coordination: "{address}" session_s: 1 }}
  visit_class {{ name: "look" agreed_ms: 500 patience_ms: 1000 benefit: 1 }}
  visit_class {{ name: "trade-order" agreed_ms: 500 patience_ms: 1000 benefit: 3 writes: true }} }}
node {{ id: "n0" address: "127.0.0.1:9000" zone: "east" state: {n0} }}
node {{ id: "n1" address: "127.0.0.1:9001" zone: "west" }}
node {{ id: "n2" address: "127.0.0.1:9002" zone: "west" }}
"""


class Fleet:
    """Several controllers and their coordination service, in the event loop of the test."""

    def __init__(self, path: Path, slices: int = 12) -> None:
        self.slices = slices
        self.path, self.service = path, CoordinationServer()
        self.hosts: dict[str, SharedHost] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.n0 = "READY"

    def write_operator_file(self, name: str) -> Path:
        file = self.path / f"{name}.textproto"
        file.write_text(FILE.format(name=name, address=self.service.address, n0=self.n0, slices=self.slices))
        return file

    async def start(self, name: str) -> SharedHost:
        host = self.hosts[name] = SharedHost(operator.read(self.write_operator_file(name)), 5)
        self.tasks[name] = asyncio.create_task(host.run())
        await until(lambda: host.xds_server.address or self.tasks[name].done())
        return host

    async def kill(self, name: str) -> None:
        """Ends a controller without revoking its lease, which expires by itself."""
        self.hosts.pop(name)
        task = self.tasks.pop(name)
        await cancel_and_wait(task)

    def drain(self, state: str = "DRAINING") -> None:
        self.n0 = state
        for name, host in self.hosts.items():
            self.write_operator_file(name)
            host.read_again()

    def acting(self) -> Counter[int]:
        return Counter(number for host in self.hosts.values() for number in host.takeover.acting
                       if host.lease.is_valid())  # fmt: skip

    def is_complete(self) -> bool:
        """Whether each slice is held by exactly one controller and has an owner at all of them."""
        owners = [host.snapshot.owners for host in self.hosts.values()]
        return (
            set(self.acting().values()) == {1}
            and len(self.acting()) == self.slices
            and all(len(o) == self.slices for o in owners)
        )


@asynccontextmanager
async def running_fleet(path: Path, *names: str, slices: int = 12) -> AsyncIterator[Fleet]:
    fleet = Fleet(path, slices)
    await fleet.service.start()
    try:
        for name in names:
            await fleet.start(name)
        await until(fleet.is_complete, 15)
        yield fleet
    finally:
        for name in list(fleet.hosts):
            await fleet.kill(name)
        fleet.service.stop()
