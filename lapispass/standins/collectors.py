"""Stand-ins for collectors: one per zone, which connects to every controller and reports on its slices.

A report is sent only for slices that received requests. Requests are spread evenly over slices and zones. A
lost zone sends no reports, and requests from other zones to its servers fail.
"""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from lapispass.standins.http import Traffic
from lapispass.standins.platform import Relay

INTERVAL_S = 1.0
SERVICE_MS = 20.0  # mean duration of a try
RECONNECT_S = 0.5  # wait after a failed connection attempt


@dataclass(frozen=True, slots=True)
class Load:
    """Requests per second in the whole fleet, split evenly over the request classes."""

    requests: float
    classes: tuple[str, ...]
    interval_s: float = INTERVAL_S  # between two reports of a zone


class Collectors:
    """The collectors of all zones. The relay knows the owner of each slice."""

    def __init__(self, relay: Relay, load: Load, seed: int) -> None:
        self.relay, self.load, self.chance = relay, load, random.Random(seed)
        self.traffic: dict[str, Traffic] = {}
        self.lost_servers: set[str] = set()
        self.tasks: list[asyncio.Task[None]] = []

    def report_to(self, client: str, address: str) -> None:
        """Makes the collectors of all zones send their reports to a controller from now on."""
        self.traffic[client] = Traffic()
        begin_at = asyncio.get_running_loop().time()
        for index, zone in enumerate(self.relay.zones):
            first_at = begin_at + self.load.interval_s * (1 + index / len(self.relay.zones))
            self.tasks.append(asyncio.create_task(self.collect(client, address, zone, first_at)))

    async def collect(self, client: str, address: str, zone: str, next_at: float) -> None:
        """Runs one zone's collector for one controller: connects, reports, reconnects.

        Reports follow a fixed schedule. If the next report were timed from the last one, all zones would
        report together after a stall of this process, and would wake the controller once instead of many
        times.
        """
        host, _, port = address.rpartition(":")
        traffic = self.traffic[client]
        loop, interval_s = asyncio.get_running_loop(), self.load.interval_s
        while True:
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(RECONNECT_S)
                continue
            try:
                traffic.connections += 1
                self.send(writer, traffic, [f"SOURCE locality={zone}"])
                while not writer.is_closing():
                    await asyncio.sleep(max(0.0, next_at - loop.time()))
                    next_at += interval_s * max(1, int((loop.time() - next_at) / interval_s) + 1)
                    if zone not in self.relay.disconnected:
                        self.send(writer, traffic, self.lines(client, zone))
            finally:
                writer.transport.abort()

    @staticmethod
    def send(writer: asyncio.StreamWriter, traffic: Traffic, lines: Sequence[str]) -> None:
        data = "".join(f"{line}\r\n" for line in lines).encode()
        traffic.messages_out += len(lines)
        traffic.bytes_out += len(data)
        writer.write(data)

    def lines(self, client: str, zone: str) -> list[str]:
        """The report lines of a zone for one interval: requests for the client's slices and their results."""
        lines: list[str] = []
        tries: defaultdict[str, int] = defaultdict(int)
        for number in self.relay.granted.get(client, ()):
            owner = self.relay.owners.get(number)
            for route in self.load.classes:
                total = self.draw_count()
                errors = total if owner is None or owner in self.lost_servers else 0
                if total:
                    lines.append(
                        f"SHARD shard={number} route={route} total={total} errors={errors}"
                        f" interval={1000 * self.load.interval_s}"
                    )
                if owner is not None:
                    tries[owner] += total
        for owner, total in tries.items():
            if total:
                errors = total if owner in self.lost_servers else 0
                lines.append(
                    f"LOAD locality={zone} endpoint={owner} total={total} errors={errors}"
                    f" rtt={SERVICE_MS} interval={1000 * self.load.interval_s}"
                )
        return lines

    def draw_count(self) -> int:
        """Draws how many requests of one class one zone sends for one slice in an interval."""
        parts = self.relay.slices * len(self.relay.zones) * len(self.load.classes)
        mean = self.load.requests * self.load.interval_s / parts
        return int(mean + self.chance.random())

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
