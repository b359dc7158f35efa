"""Collectors: one for each zone, which connects to every controller and forwards reports on its slices.

A report is written only where requests came. Requests are spread evenly over slices and zones; a zone that
is lost sends nothing, and what the others send to its servers fails.
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
SERVICE_MS = 20.0  # mean time of a try
RECONNECT_S = 0.5  # after a connection that could not be made


@dataclass(frozen=True, slots=True)
class Load:
    """Requests a second in the whole fleet, and the classes they are of, in equal parts."""

    requests: float
    classes: tuple[str, ...]
    interval_s: float = INTERVAL_S  # between the reports of a zone


class Collectors:
    """The collectors of all zones, beside the relay that knows each slice's owner."""

    def __init__(self, relay: Relay, load: Load, seed: int) -> None:
        self.relay, self.load, self.chance = relay, load, random.Random(seed)
        self.traffic: dict[str, Traffic] = {}
        self.lost_servers: set[str] = set()
        self.tasks: list[asyncio.Task[None]] = []

    def report_to(self, client: str, address: str) -> None:
        """Every zone's collector sends its reports to a controller from now on."""
        self.traffic[client] = Traffic()
        begin_at = asyncio.get_running_loop().time()
        for place, zone in enumerate(self.relay.zones):
            first_at = begin_at + self.load.interval_s * (1 + place / len(self.relay.zones))
            self.tasks.append(asyncio.create_task(self.collect(client, address, zone, first_at)))

    async def collect(self, client: str, address: str, zone: str, next_at: float) -> None:
        """The life of a zone's collector towards a controller.

        Reports keep to their times: after a moment in which this process stood still, zones that count from
        their last report would all report together, and cost the controller one wake-up in place of many.
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
        """A zone's reports over one interval: its requests for the client's slices, and what they met."""
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
        """Requests of one class for one slice from one zone, in an interval."""
        parts = self.relay.slices * len(self.relay.zones) * len(self.load.classes)
        mean = self.load.requests * self.load.interval_s / parts
        return int(mean + self.chance.random())

    def stop(self) -> None:
        for life in self.tasks:
            life.cancel()
