"""Days of xDS clients that use a real controller process until it is killed.

As in `soak.py`, each day draws faults of system calls, steps of the wall clock, pauses, signals in series and
a crowd from its seed; a server drains and comes back meanwhile. Each request on a stream gets its response,
or the end of the stream, within `ANSWER_S`. The judge looks at where clients would write each slice: between
the last write to one server and the first to another lies the longest life of a write, whoever writes.

By hand: `PYTHONPATH=. python tests/soak_xds.py --seeds 20 --seed 1000 --at-once 2`; 1 where one is broken.
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
from soak import PING, Day, Verdict, life, main
from xds_process import SLICES, drain, xds_controller

from lapispass.standins.xds_client import ADS, GONE, URLS, XdsClient
from lapispass.standins.xds_client import Faults as ClientFaults

ANSWER_S = 3.0  # for a response or the end of its stream, of time in which the process runs
WRITE_LIFE_S = 0.1  # as the operator file says
PICK_S = 0.005  # between two looks at where clients would write
DROP_CHANCE = 0.003  # at each of these looks, of one client's stream
MOVE_S = 4.0  # for the move of most slices
ASKERS, CROWD = 6, 100
JUNK = (PING, b"odd\r\n" * 10, b"\x16\x03\x01" * 20, b"GET / HTTP/1.1\r\n\r\n" * 2, b"x" * 9000)


@dataclass
class Writes:
    """Where the slices were last written, by any client."""

    last: dict[int, tuple[float, str]] = field(default_factory=dict)
    count: int = 0
    moves: int = 0

    def write(self, now: float, number: int, node: str) -> str:
        """What is wrong with a write to this server now, if anything."""
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
class XdsDay(Day):
    """One controller's life, and where its clients and those of the former one have written."""

    folder: Path = Path()
    writes: Writes = field(default_factory=Writes)


class Asker:
    """A client that asks again and again on one stream."""

    def __init__(self, day: XdsDay, name: str) -> None:
        self.day, self.name = day, name
        host, port = day.running.address
        self.channel = Channel(host, port)

    async def live(self, most: int) -> None:
        """Opens a stream and asks until it ends, `most` times at the most."""
        method: Any = StreamStreamMethod(
            self.channel,
            ADS + "DeltaAggregatedResources",
            discovery_pb2.DeltaDiscoveryRequest,
            discovery_pb2.DeltaDiscoveryResponse,
        )
        try:
            async with method.open() as stream:
                await self.converse(stream, most)
                await stream.cancel()
        except GONE:
            pass
        finally:
            self.channel.close()

    async def converse(self, stream: Any, most: int) -> None:
        """Asks for a slice's servers, which the server sends anew each time."""
        request = discovery_pb2.DeltaDiscoveryRequest(type_url=URLS["eds"])
        request.node.id = self.name
        for number in range(most):
            name = f"{number % SLICES}.r"
            request.resource_names_subscribe.append(name)
            response = await self.ask(stream, request, name)
            if response is None:
                return
            request = discovery_pb2.DeltaDiscoveryRequest(type_url=URLS["eds"], response_nonce=response.nonce)
            await asyncio.sleep(self.day.chance.choice((0, 0, 0.01, 0.1)))

    async def ask(self, stream: Any, request: Any, name: str) -> Any:
        """The response that has the name; none where the stream has ended."""
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
            day.breach(f"{self.name}: neither a response nor an end within {ANSWER_S} s")
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


async def ask_on(day: XdsDay, name: str) -> None:
    """One stream after the other, each kept until its end, or for a few requests."""
    lives = 0
    while not day.told_to_end:
        lives += 1
        await Asker(day, f"{name}.{lives}").live(day.chance.choice((1, 5, 1_000_000)))
        await asyncio.sleep(0.01)


async def crowd(day: XdsDay) -> None:
    """Many streams at once, each with a request."""
    while not day.told_to_end:
        await asyncio.gather(*(Asker(day, f"crowd.{number}").live(1) for number in range(CROWD)))
        await asyncio.sleep(0.1)


async def misbehave(day: XdsDay) -> None:
    """Connections that speak no HTTP/2: each is owed a close."""

    async def one(junk: bytes) -> None:
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
                day.breach(f"no close for {junk[:20]!r}")
        writer.close()

    while not day.told_to_end:
        await asyncio.gather(*(one(day.chance.choice(JUNK)) for _ in range(5)))
        await asyncio.sleep(0.05)


def writers(address: tuple[str, int]) -> list[XdsClient]:
    """Clients that stay for the whole day: sound ones, slow ones, and some that come back late."""
    faults = [
        ClientFaults(),
        ClientFaults(slow_s=0.05),
        ClientFaults(wait_s=1.5),
        ClientFaults(slow_eds_s=0.7),
        ClientFaults(wait_s=2.5),
        ClientFaults(late_s=0.2),
    ]
    return [
        XdsClient("{}:{}".format(*address), f"w{place}", place, place % 3 != 2, faults=fault)
        for place, fault in enumerate(faults)
    ]


async def write(
    clients: Sequence[XdsClient], verdict: Verdict, writes: Writes, chance: random.Random
) -> None:
    """Clients that write each slice again and again, whether there is a controller or not."""
    lives = [asyncio.create_task(client.run()) for client in clients]
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
        for task in lives:
            task.cancel()
        await asyncio.gather(*lives, return_exceptions=True)


async def deploy(day: XdsDay) -> None:
    """The server that has the slices drains, the other one is ready again; so again when they have moved."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(day.chance.uniform(0.3, 0.8))
    while not day.told_to_end:
        owner = day.writes.last.get(0, (0.0, "n0"))[1]
        drain(day.running, day.folder, owner)
        until, moves = loop.time() + MOVE_S, day.writes.moves
        while loop.time() < until and day.writes.moves < moves + SLICES // 2 and not day.told_to_end:
            await asyncio.sleep(0.05)
        await asyncio.sleep(day.chance.uniform(0.1, 0.5))


def clients_of(day: XdsDay, round_number: int) -> list[Coroutine[Any, Any, None]]:
    clients = [ask_on(day, f"{round_number}.{number}") for number in range(ASKERS)]
    clients += [misbehave(day), deploy(day)]
    if day.is_crowded:
        clients += [crowd(day)]
    return clients


async def play_day(seed: int, folder: Path) -> Verdict:
    """A day, with two controllers at one address and one store, one after the other."""
    chance, verdict, writes = random.Random(seed), Verdict(seed), Writes()
    faults, address = Faults(folder / "faults"), free_address()
    is_crowded = chance.random() < 0.4
    writing = asyncio.create_task(write(writers(address), verdict, writes, chance))
    for round_number in range(2):
        faults.clear(Call.PIPE)  # the log says when the controller listens
        before = writes.count
        try:
            async with xds_controller(folder, faults, address) as running:
                day = XdsDay(running, chance, verdict, is_crowded, folder=folder, writes=writes)
                await life(day, clients_of(day, round_number))
        except NotStarted as error:
            verdict.breaches.append(f"not started: {error}")
        if writes.count == before:
            verdict.breaches.append("no client could write")
    writing.cancel()
    await asyncio.gather(writing, return_exceptions=True)
    if not writing.cancelled():
        writing.result()
    verdict.figures = {"writes": writes.count, "moves": writes.moves}
    if not writes.moves:
        verdict.breaches.append("no slice has moved")
    return verdict


def play_seed(seed: int) -> Verdict:
    """A day on a loop of its own."""
    with TemporaryDirectory(prefix="lapispass-soak-") as folder:
        return asyncio.run(play_day(seed, Path(folder)))


if __name__ == "__main__":
    sys.exit(main(play_seed, __doc__))
