"""Soak test of xDS: clients use a real controller process, under random faults, until it is killed.

As in `soak.py`, each run draws faults of system calls, steps of the wall clock, pauses, series of signals and
a crowd of clients from its seed. Meanwhile servers drain and become ready again. Two rules are checked. Each
request on a stream gets its response, or the end of the stream, within `ANSWER_S`. And between the last write
of a slice to one server and the first to another, by any client, at least the longest lifetime of a write
passes.

By hand: `PYTHONPATH=. python tests/soak_xds.py --seeds 20 --seed 1000 --at-once 2`. The exit code is 1 if a
rule was broken.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import sys
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from envoy.service.discovery.v3 import discovery_pb2
from faulty_process import Call, Faults, NotStarted, free_address
from grpclib.client import Channel, StreamStreamMethod
from soak import PING, ProcessRun, Verdict, main, run_process
from xds_process import SLICES, drain, xds_controller

from lapispass.standins.xds_client import ADS, STREAM_ERRORS, URLS, XdsClient
from lapispass.standins.xds_client import Faults as ClientFaults

ANSWER_S = 3.0  # limit for a response or the end of its stream; pauses of the process do not count
WRITE_LIFE_S = 0.1  # `write_life_ms` of the operator file
PICK_S = 0.005  # between two samples of where clients would write
DROP_CHANCE = 0.003  # probability that one client's stream is cut, at each sample
MOVE_S = 4.0  # limit for most slices to move
REQUESTERS, CROWD = 6, 100
JUNK = (PING, b"odd\r\n" * 10, b"\x16\x03\x01" * 20, b"GET / HTTP/1.1\r\n\r\n" * 2, b"x" * 9000)


@dataclass
class Writes:
    """Where each slice was written last, by any client."""

    last: dict[int, tuple[float, str]] = field(default_factory=dict)  # (time, server) by slice
    count: int = 0
    moves: int = 0

    def write(self, now: float, number: int, node: str) -> str:
        """Records a write; returns a message if it breaks the rule, otherwise an empty text."""
        self.count += 1
        before_at, before = self.last.get(number, (now, node))
        self.last[number] = now, node
        if node == before:
            return ""
        self.moves += 1
        if now - before_at < WRITE_LIFE_S:
            return f"slice {number} at {node}, {now - before_at:.3f} s after a write at {before}"
        return ""


@dataclass
class XdsDay(ProcessRun):
    """One controller process, and where its clients and those of the previous process have written."""

    folder: Path = Path()
    writes: Writes = field(default_factory=Writes)


class Requester:
    """A client that sends one request after the other on one stream."""

    def __init__(self, day: XdsDay, name: str) -> None:
        self.day, self.name = day, name
        host, port = day.running.address
        self.channel = Channel(host, port)

    async def run(self, max_requests: int) -> None:
        """Opens a stream and sends up to `max_requests` requests, until it ends."""
        method: Any = StreamStreamMethod(
            self.channel,
            ADS + "DeltaAggregatedResources",
            discovery_pb2.DeltaDiscoveryRequest,
            discovery_pb2.DeltaDiscoveryResponse,
        )
        try:
            async with method.open() as stream:
                await self.send_requests(stream, max_requests)
                await stream.cancel()
        except STREAM_ERRORS:
            pass
        finally:
            self.channel.close()

    async def send_requests(self, stream: Any, max_requests: int) -> None:
        """Subscribes to a slice's assignment again and again; the server has to send it each time."""
        request = discovery_pb2.DeltaDiscoveryRequest(type_url=URLS["eds"])
        request.node.id = self.name
        for number in range(max_requests):
            name = f"{number % SLICES}.r"
            request.resource_names_subscribe.append(name)
            response = await self.exchange(stream, request, name)
            if response is None:
                return
            request = discovery_pb2.DeltaDiscoveryRequest(type_url=URLS["eds"], response_nonce=response.nonce)
            await asyncio.sleep(self.day.chance.choice((0, 0, 0.01, 0.1)))

    async def exchange(self, stream: Any, request: Any, name: str) -> Any:
        """Sends a request; returns the response that contains the name, or None if the stream has ended."""
        day, loop = self.day, asyncio.get_running_loop()
        begun = loop.time()
        day.verdict.asked += 1
        task = asyncio.create_task(self.response(stream, request, name))
        try:
            while loop.time() - begun - day.paused_s(begun) < ANSWER_S:
                if (await asyncio.wait((task,), timeout=0.1))[0]:
                    response = task.result()
                    if response is not None:
                        day.verdict.answered += 1
                        took_s = loop.time() - begun - day.paused_s(begun)
                        day.verdict.slowest_s = max(day.verdict.slowest_s, took_s)
                    return response
            day.breach(f"{self.name}: neither a response nor the end of its stream within {ANSWER_S} s")
            return None
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def response(self, stream: Any, request: Any, name: str) -> Any:
        await stream.send_message(request)
        while (response := await stream.recv_message()) is not None:
            if any(resource.name == name for resource in response.resources):
                return response
            await stream.send_message(
                discovery_pb2.DeltaDiscoveryRequest(type_url=URLS["eds"], response_nonce=response.nonce)
            )
        return None


async def request_on_streams(day: XdsDay, name: str) -> None:
    """Opens one stream after the other; each ends by itself or after a few requests."""
    streams = 0
    while not day.is_stopping:
        streams += 1
        await Requester(day, f"{name}.{streams}").run(day.chance.choice((1, 5, 1_000_000)))
        await asyncio.sleep(0.01)


async def crowd(day: XdsDay) -> None:
    """Opens many streams at once, each for one request."""
    while not day.is_stopping:
        await asyncio.gather(*(Requester(day, f"crowd.{number}").run(1) for number in range(CROWD)))
        await asyncio.sleep(0.1)


async def send_junk(day: XdsDay) -> None:
    """Opens connections that do not speak HTTP/2; the server has to close each."""

    async def send(junk: bytes) -> None:
        try:
            reader, writer = await day.running.connect()
        except OSError:
            return
        begun = asyncio.get_running_loop().time()
        try:
            writer.write(junk)
            async with asyncio.timeout(ANSWER_S + 1):
                while await reader.read(1000):
                    pass
        except OSError as error:
            if isinstance(error, TimeoutError) and not day.paused_s(begun):
                day.breach(f"a connection that sent {junk[:20]!r} was not closed")
        writer.close()

    while not day.is_stopping:
        await asyncio.gather(*(send(day.chance.choice(JUNK)) for _ in range(5)))
        await asyncio.sleep(0.05)


def writers(address: tuple[str, int]) -> list[XdsClient]:
    """Clients that exist for the whole run: some without faults, some slow, some that reconnect late."""
    faults = [
        ClientFaults(),
        ClientFaults(read_delay_s=0.05),
        ClientFaults(reconnect_delay_s=1.5),
        ClientFaults(eds_read_delay_s=0.7),
        ClientFaults(reconnect_delay_s=2.5),
        ClientFaults(ack_delay_s=0.2),
    ]
    return [
        XdsClient("{}:{}".format(*address), f"w{index}", index, index % 3 != 2, faults=fault)
        for index, fault in enumerate(faults)
    ]


async def write(
    clients: Sequence[XdsClient], verdict: Verdict, writes: Writes, chance: random.Random
) -> None:
    """Has each client write each slice again and again, whether the controller runs or not."""
    tasks = [asyncio.create_task(client.run()) for client in clients]
    loop = asyncio.get_running_loop()
    try:
        while True:
            await asyncio.sleep(PICK_S)
            if chance.random() < DROP_CHANCE:
                chance.choice(clients).drop()
            for client, number in itertools.product(clients, range(SLICES)):
                node = client.writes_to(number)
                wrong = writes.write(loop.time(), number, node) if node else ""
                if wrong:
                    verdict.breaches.append(f"rule 2: {client.name}: {wrong}")
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def deploy(day: XdsDay) -> None:
    """Drains the server that owns the slices and makes the other ready, each time when they have moved."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(day.chance.uniform(0.3, 0.8))
    while not day.is_stopping:
        owner = day.writes.last.get(0, (0.0, "n0"))[1]
        drain(day.running, day.folder, owner)
        until, moves = loop.time() + MOVE_S, day.writes.moves
        while loop.time() < until and day.writes.moves < moves + SLICES // 2 and not day.is_stopping:
            await asyncio.sleep(0.05)
        await asyncio.sleep(day.chance.uniform(0.1, 0.5))


def clients_of(day: XdsDay, round_number: int) -> list[Coroutine[Any, Any, None]]:
    """The tasks of a run that depend on its controller process."""
    clients = [request_on_streams(day, f"{round_number}.{number}") for number in range(REQUESTERS)]
    clients += [send_junk(day), deploy(day)]
    if day.is_crowded:
        clients += [crowd(day)]
    return clients


async def play_day(seed: int, folder: Path) -> Verdict:
    """A run with two controller processes, one after the other, at the same address and with one store."""
    chance, verdict, writes = random.Random(seed), Verdict(seed), Writes()
    faults, address = Faults(folder / "faults"), free_address()
    is_crowded = chance.random() < 0.4
    writing = asyncio.create_task(write(writers(address), verdict, writes, chance))
    for round_number in range(2):
        faults.clear(Call.PIPE)  # the log has to arrive, as it shows when the controller listens
        before = writes.count
        try:
            async with xds_controller(folder, faults, address) as running:
                day = XdsDay(running, chance, verdict, is_crowded, folder=folder, writes=writes)
                await run_process(day, clients_of(day, round_number))
        except NotStarted as error:
            verdict.breaches.append(f"the controller did not start: {error}")
        if writes.count == before:
            verdict.breaches.append("no client could write")
    writing.cancel()
    await asyncio.gather(writing, return_exceptions=True)
    if not writing.cancelled():
        writing.result()
    verdict.figures = {"writes": writes.count, "moves": writes.moves}
    if not writes.moves:
        verdict.breaches.append("no slice moved to another server")
    return verdict


def play_seed(seed: int) -> Verdict:
    """Plays a run in an event loop and a folder of its own."""
    with TemporaryDirectory(prefix="lapispass-soak-") as folder:
        return asyncio.run(play_day(seed, Path(folder)))


if __name__ == "__main__":
    sys.exit(main(play_seed, __doc__))
