"""What each role costs by count: base, slope and residual, for the tables of docs/CAPACITY.md.

    python benchmarks/capacity.py ROLE [--repeat 5]     one JSON line a cost; ROLE `all` takes each in turn

Roles: process, start, list, reports, news, orders, probes, gates, xds, shared, coordination, renewal.
Processor time is the least of the repeats (`time.process_time`); the sizes take turns, so that a machine that
slows down for a while strikes all of them. Memory is what `tracemalloc` says, or the system of a process.
A line holds the raw points and their straight fit; `straight` is false where a point lies further off it than
a tenth of the largest value, and then base and slope mean nothing. Everything runs on loopback, in a single
process but for `process` and the answering side of `probes`. The decision module takes no part here, but for
the few slices of `coordination`: `lapispass lab scale` measures it.
"""

from __future__ import annotations

import argparse
import array
import asyncio
import fcntl
import gc
import json
import logging
import multiprocessing
import os
import platform
import random
import socket
import subprocess
import sys
import tempfile
import termios
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from functools import partial
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

import h11

from lapispass import interface
from lapispass.core import resources, tables
from lapispass.core.clients import Client, ClientLimits
from lapispass.core.connection_controller import ConnectionController, ReportedCounts
from lapispass.core.memory_budget import MemoryBudget
from lapispass.core.plans import Version
from lapispass.core.shared_types import Bounds, ConnectionClass, DrainTerms, NodeView
from lapispass.core.takeover import Takeover
from lapispass.core.versions import KINDS, ResourceCache
from lapispass.gate import wire
from lapispass.net import codec as words
from lapispass.net.codec import Codec, RegistryMessage
from lapispass.net.collectors import ClientConnection, Collectors
from lapispass.net.counters import Counters
from lapispass.net.launch import Launch
from lapispass.net.limits import Limits
from lapispass.net.lines import LineSplitter
from lapispass.net.probes import Probes
from lapispass.net.registry import Registry
from lapispass.net.relay import Calls, EventStream
from lapispass.operator import read as operator
from lapispass.peers.host import SharedHost
from lapispass.standins import fleet_parties
from lapispass.standins.coordination import CoordinationServer
from lapispass.standins.stream_server import encode_response, read_request
from lapispass.xds import codec

SERVERS = (200, 1000, 2850, 5700)
SLICES = (100, 550, 1100, 2200)
ZONES = tuple(f"z{number:02d}" for number in range(16))
LIMITS = Limits()
LINES = (250, 1000, 4000, 16_000)
OFF = 0.1  # of the largest value: a point further off the fit than this makes it no straight line
SECOND = 1_000_000
LOOK_US = SECOND // 10  # between two looks for gates


@dataclass(frozen=True, slots=True)
class Cost:
    """One measured cost: what, in which unit, by which count, and the points."""

    role: str
    what: str
    unit: str
    by: str
    points: list[tuple[int, float]]

    def fit(self) -> tuple[float, float, float]:
        """Least squares: base, slope, and the largest distance of a point from the line."""
        count = len(self.points)
        mean_x = sum(x for x, _ in self.points) / count
        mean_y = sum(y for _, y in self.points) / count
        spread = sum((x - mean_x) ** 2 for x, _ in self.points)
        slope = sum((x - mean_x) * (y - mean_y) for x, y in self.points) / spread if spread else 0.0
        base = mean_y - slope * mean_x
        return base, slope, max(abs(base + slope * x - y) for x, y in self.points)

    def line(self, command: str) -> str:
        base, slope, residual = self.fit()
        largest = max(abs(y) for _, y in self.points)
        return json.dumps(
            {
                "role": self.role,
                "what": self.what,
                "unit": self.unit,
                "by": self.by,
                "base": float(f"{base:.4g}"),
                "slope": float(f"{slope:.4g}"),
                "residual": float(f"{residual:.3g}"),
                "straight": residual <= OFF * largest,
                "points": [(x, float(f"{y:.5g}")) for x, y in self.points],
                "command": command,
                "commit": commit(),
                "machine": f"{os.cpu_count()} cores, Python {platform.python_version()}",
            }
        )


def commit() -> str:
    found = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=False
    )
    return found.stdout.strip() or "unknown"


def deployment(slices: int = 2200, proxies: int = 320) -> interface.Deployment:
    """The stand-in fleet's settings, with two classes, the target's zones and reports that tell of load."""
    return replace(
        fleet_parties.deployment(fleet_parties.Size()),
        classes=(
            interface.RequestClass("look", 1_500_000, 5_000_000, 1.0, False, False),
            interface.RequestClass("pay", 1_500_000, 5_000_000, 2.0, True, False),
        ),
        zones=ZONES,
        proxies=proxies,
        slices=slices,
        load_fields=("held", "busy"),
    )


CODEC = Codec(deployment(), LIMITS.id_bytes)


def least_ms(works: dict[int, Callable[[], Any]], repeat: int) -> list[tuple[int, float]]:
    """Processor time of each piece of work, ms: the least of several rounds."""
    best = dict.fromkeys(works, float("inf"))
    for _ in range(repeat):
        for count, work in works.items():
            began = time.process_time()
            work()
            best[count] = min(best[count], 1000 * (time.process_time() - began))
    return list(best.items())


def held(make: Callable[[], Any]) -> tuple[float, float]:
    """Bytes that what is made keeps, and the most that stood while it was made."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    now, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(now), float(peak)


# the process


def process(repeat: int) -> Iterator[Cost]:
    """Memory of an interpreter with all that a program imports, before it has read anything."""
    modules = {
        "controller": "lapispass.net.service",
        "gate": "lapispass.gate.service",
        "xds": "lapispass.xds.host",
        "shared": "lapispass.peers.host",
    }
    for role, module in modules.items():
        code = f"import {module}; print(open('/proc/self/status').read())"
        sizes = []
        for _ in range(repeat):
            done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
            sizes.append(int(done.stdout.partition("VmRSS:")[2].split()[0]) / 1024)
        yield Cost(role, "memory of the process before its start", "MB", "-", [(0, min(sizes))])


def start(repeat: int) -> Iterator[Cost]:
    """Reading the start file, and an operator file with its nodes, as at a start and at each SIGHUP."""
    folder = Path(tempfile.mkdtemp())
    settings = {
        "grades": [{"name": "look", "target-us": 10, "hard-limit-us": 20, "worth": 2.0}],
        "zones": list(ZONES),
        "extra": {"key-ranges": 2200, "data-plane-size": 320},
    }
    for count in SERVERS:
        told = {"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "seed": "1"}
        told |= {"store": {"address": "127.0.0.1:2"}, "settings": settings}  # type: ignore[dict-item]
        told["known"] = json.loads(page(count))
        (folder / f"{count}.json").write_text(json.dumps(told))
        nodes = [
            f'node {{ id: "s-{n:08x}" address: "10.0.12.120:3000" zone: "z01" weight: 1 }}'
            for n in range(count)
        ]
        head = [
            'gate { name: "g" listen: "127.0.0.1:0" slices: 2200 }',
            'connection_class { name: "a" path_prefix: "/" }',
        ]
        (folder / f"{count}.textproto").write_text("\n".join([*head, *nodes]))
    launches = {n: partial(Launch.read, {"LB_CONFIG": str(folder / f"{n}.json")}) for n in SERVERS}
    files = {n: partial(operator.read, folder / f"{n}.textproto") for n in SERVERS}
    yield Cost(
        "controller", "reading the start file, processor time", "ms", "servers", least_ms(launches, repeat)
    )
    yield Cost("xds", "reading an operator file, processor time", "ms", "nodes", least_ms(files, repeat))


# the list


def members(count: int, phase: str = "Ready") -> list[dict[str, Any]]:
    """Entries with every field of the protocol's page."""
    return [
        {
            "id": f"s-{number:08x}",
            "host_port": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:3000",
            "locality": ZONES[number % len(ZONES)],
            "flavor": "m2",
            "cell": number >> 3,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": 1_796_139_439_123,
        }
        for number in range(count)
    ]


def page(count: int, spaces: bool = True) -> bytes:
    told = {"revision": 5, "complete": True, "members": members(count)}
    return json.dumps(told, separators=None if spaces else (",", ":")).encode()


def registry_client() -> Registry:
    return Registry(
        "127.0.0.1:1", RegistryMessage(0, False, (), {}, 0), lambda event: None, CODEC, LIMITS, Counters()
    )


def lists(repeat: int) -> Iterator[Cost]:
    pages = {count: page(count) for count in SERVERS}
    yield Cost("registry", "bytes of the whole list, as Python's json writes it", "B", "servers",
               [(count, len(text)) for count, text in pages.items()])  # fmt: skip
    yield Cost("registry", "bytes of the whole list, without spaces", "B", "servers",
               [(count, len(page(count, False))) for count in SERVERS])  # fmt: skip
    told = {count: CODEC.parse_registry_text(text) for count, text in pages.items()}

    async def taking() -> list[tuple[int, float]]:
        clients = {count: registry_client() for count in SERVERS}
        return least_ms({n: partial(clients[n].take, told[n]) for n in SERVERS}, repeat)

    async def keeping(count: int) -> tuple[float, float]:
        def one() -> Registry:
            client = registry_client()
            client.take(CODEC.parse_registry_text(pages[count]))
            return client

        return held(one)

    reading = least_ms({n: partial(CODEC.parse_registry_text, pages[n]) for n in SERVERS}, repeat)
    yield Cost("controller", "reading a whole list, processor time", "ms", "servers", reading)
    yield Cost("controller", "taking it in the registry client, processor time", "ms", "servers",
               asyncio.run(taking()))  # fmt: skip
    sizes = {count: asyncio.run(keeping(count)) for count in SERVERS}
    yield Cost("controller", "memory that the registry client keeps of the list", "B", "servers",
               [(count, kept) for count, (kept, _) in sizes.items()])  # fmt: skip
    yield Cost("controller", "most memory while a whole list is read", "B", "servers",
               [(count, peak) for count, (_, peak) in sizes.items()])  # fmt: skip


# reports, news and orders


def load_line(number: int) -> bytes:
    return (
        f"LOAD locality={ZONES[number % len(ZONES)]} endpoint=s-{number:08x} total=2512 errors=3 rtt=41.7 "
        f"interval=1000.0 metrics=inflight:7,util:0.61\r\n"
    ).encode()


def slice_line(number: int) -> bytes:
    return f"SHARD shard={number % 2200} route=look total=640 errors=1 interval=1000.0\r\n".encode()


def cut_up(text: bytes) -> Iterator[memoryview]:
    """The lines of a text as they come in reads of the usual size."""
    lines = LineSplitter(LIMITS.message_bytes)
    for begin in range(0, len(text), LIMITS.read_bytes):
        yield from lines.split(text[begin : begin + LIMITS.read_bytes])


def texts(write: Callable[[int], bytes]) -> dict[int, bytes]:
    return {count: b"".join(write(number) for number in range(count)) for count in LINES}


def reports(repeat: int) -> Iterator[Cost]:
    """What a collector's lines cost from the read buffer to the inbox."""

    async def reading(told: dict[int, bytes]) -> list[tuple[int, float]]:
        heard: list[interface.Event] = []
        collectors = Collectors(heard.append, CODEC, LIMITS, Counters())
        account = MemoryBudget(LIMITS.client_bytes).open_account()
        client = ClientConnection(1, None, None, LIMITS, account)  # type: ignore[arg-type]  # nothing is written to it
        client.zone = ZONES[0]

        def read(text: bytes) -> None:
            for line in cut_up(text):
                collectors.handle_line(line, client)
            heard.clear()

        return least_ms({count: partial(read, text) for count, text in told.items()}, repeat)

    for kind, write in (("LOAD, with two load figures", load_line), ("SHARD", slice_line)):
        told = texts(write)
        yield Cost("collector", f"bytes of {kind}", "B", "lines", [(n, len(t)) for n, t in told.items()])
        yield Cost("controller", f"reading {kind}, processor time", "ms", "lines",
                   asyncio.run(reading(told)))  # fmt: skip


def joined_event(number: int) -> bytes:
    return b"event: SUBSCRIBE\ndata: node=%d&locality=z01&w=21.5&cold=0\n\n" % (number % 320)


def answered_event(number: int) -> bytes:
    return b"event: ACK\ndata: node=%d&nonce=%d&latency=310.4\n\n" % (number % 320, number)


def given_events(number: int) -> bytes:
    shard = number % 2200
    given = b"event: GRANT\ndata: shard=%d&set=1\n\n" % shard
    return given + b"event: ROW\ndata: shard=%d&endpoint=s-%08x&w=1.0\n\n" % (shard, number)


def news(repeat: int) -> Iterator[Cost]:
    """What the relay's news cost from the read buffer to the inbox, and their bytes."""

    async def reading(told: dict[int, bytes]) -> list[tuple[int, float]]:
        heard: list[interface.Event] = []
        calls = Calls("127.0.0.1:1", CODEC, LIMITS, Counters())
        stream = EventStream("127.0.0.1:1", calls, heard.append, CODEC, LIMITS, Counters())

        def read(text: bytes) -> None:
            name, data = "", ""
            for line in cut_up(text):
                if line[:6] == b"event:":
                    name = str(line[6:], "utf-8").strip()
                elif line[:5] == b"data:":
                    data = str(line[5:], "utf-8").strip()
                elif not line:
                    stream.take(name, data)
            heard.clear()

        return least_ms({count: partial(read, text) for count, text in told.items()}, repeat)

    kinds = {"SUBSCRIBE": joined_event, "ACK": answered_event, "GRANT and ROW of a slice": given_events}
    for kind, write in kinds.items():
        told = texts(write)
        yield Cost("relay", f"bytes of {kind}", "B", "events", [(n, len(t)) for n, t in told.items()])
        yield Cost("controller", f"reading {kind}, processor time", "ms", "events",
                   asyncio.run(reading(told)))  # fmt: skip


def orders(repeat: int) -> Iterator[Cost]:
    """Orders for slices as they go into calls."""

    def write(count: int) -> list[bytes]:
        calls = Calls("127.0.0.1:1", CODEC, LIMITS, Counters())
        lines: list[interface.Order] = [
            interface.SetTableEntry(number, f"s-{number:08x}", 1.0) for number in range(count)
        ]
        return [words.call_body(item.text for item in part) for part in calls.split_into_calls(lines)]

    yield Cost("relay", "bytes of the calls that set a line for each slice, escaped", "B", "slices",
               [(count, sum(map(len, write(count)))) for count in SLICES])  # fmt: skip
    yield Cost("controller", "writing these calls, processor time", "ms", "slices",
               least_ms({count: partial(write, count) for count in SLICES}, repeat))  # fmt: skip


# probes


def answering(pipe: Connection) -> None:
    """The servers' side, in a process of its own: answers GET, counts bytes, until told to end."""
    counted = {"in": 0, "out": 0}

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        state = h11.Connection(h11.SERVER)
        while state.next_event() is h11.NEED_DATA:
            piece = await reader.read(65536)
            counted["in"] += len(piece)
            state.receive_data(piece)
        said = encode_response(state, 200, "inflight=7,util=0.61")
        counted["out"] += len(said)
        writer.write(said)
        await writer.drain()
        writer.close()

    async def life() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0, backlog=1024)
        pipe.send(server.sockets[0].getsockname()[1])
        while await asyncio.get_running_loop().run_in_executor(None, pipe.recv) != "end":
            pipe.send(dict(counted))
        server.close()

    asyncio.run(life())


def probes(repeat: int) -> Iterator[Cost]:
    """Real probes over loopback: processor time of the asking side, bytes of both."""
    here, there = multiprocessing.Pipe()
    other = multiprocessing.get_context("spawn").Process(target=answering, args=(there,), daemon=True)
    other.start()
    address = f"127.0.0.1:{here.recv()}"
    counts, cost, wall = (200, 1000, 2850), [], []

    async def all_of(count: int) -> tuple[float, float]:
        heard: list[interface.Event] = []
        running = Probes(heard.append, CODEC, LIMITS, Counters())
        began, began_wall = time.process_time(), time.perf_counter()
        for number in range(count):
            running.start(f"s-{number}", address)
        while len(heard) < count:
            await asyncio.sleep(0.005)
        assert all(isinstance(event, interface.ProbeResult) and event.reason == 0 for event in heard), (
            "a probe failed"
        )
        return time.process_time() - began, time.perf_counter() - began_wall

    total = 0
    for count in counts:
        rounds = [asyncio.run(all_of(count)) for _ in range(max(2, repeat // 2))]
        total += count * len(rounds)
        cost.append((count, 1000 * min(took for took, _ in rounds)))
        wall.append((count, 1000 * min(took for _, took in rounds)))
    here.send("figures")
    counted = here.recv()
    here.send("end")
    other.join(5)
    yield Cost("controller", "probes, processor time", "ms", "probes", cost)
    yield Cost(
        "controller", "probes, wall time with so many at once as the limit allows", "ms", "probes", wall
    )
    yield Cost("server", "bytes that come for a probe", "B", "-", [(0, counted["in"] / total)])
    yield Cost("server", "bytes that answer a probe", "B", "-", [(0, counted["out"] / total)])


# gates


def gates(repeat: int) -> Iterator[Cost]:
    """The controller's part for a gate: bytes of messages, and its look at all servers ten times a second."""
    nothing = Version(-1, -1)

    def names(count: int) -> list[str]:
        return [f"s-{number:08x}" for number in range(count)]

    def hello(count: int) -> int:
        stands = tables.Tables(2200)
        stands.nodes = {name: tables.Address("10.0.12.120:3000", "z01") for name in names(count)}
        stands.owners = {number: f"s-{number % count:08x}" for number in range(2200)}
        return len(wire.encode_line(wire.hello_message("g0", "1", "z01", "0", "", stands, nothing, {})))

    def report(count: int) -> int:
        return len(
            wire.encode_line(wire.Report(1, {name: {"board": (30, 1, 20, 4000)} for name in names(count)}))
        )

    def looking(count: int) -> Callable[[], None]:
        kinds = [ConnectionClass("board", "/board", False, True, 1.0, 0.05)]
        keeper, clock = (
            ConnectionController(kinds, Bounds(), DrainTerms(), 0),
            iter(range(100 * SECOND, 1 << 60, LOOK_US)),
        )
        views = [NodeView(name, "z01", "ready", 1.0, 0) for name in names(count)]
        keeper.gate_joined(next(clock), "g0", "z01", nothing, {})
        keeper.report_received(
            next(clock), "g0", 1, {name: {"board": ReportedCounts(30, 1, 20, 4000)} for name in names(count)}
        )

        def ten() -> None:
            for _ in range(10):
                now = next(clock)
                keeper.update_nodes(now, views)
                keeper.evaluate(now)

        return ten

    yield Cost("gate", "bytes of its first message, with 2,200 slices", "B", "servers",
               [(count, hello(count)) for count in SERVERS])  # fmt: skip
    yield Cost("gate", "bytes of its report, two a second, connections at every server", "B", "servers",
               [(count, report(count)) for count in SERVERS])  # fmt: skip
    yield Cost("controller", "ten looks for gates, as many as a second has, processor time", "ms", "servers",
               least_ms({count: looking(count) for count in SERVERS}, repeat))  # fmt: skip


# xDS


def xds(repeat: int) -> Iterator[Cost]:
    """Memory of what is published, and of clients' books, without sockets and streams."""
    cache, terms, chance = cache_of(2200), ClientLimits(3 * SECOND, max_clients=10_000), random.Random(1)

    def push(count: int) -> int:
        items = [item for kind in KINDS for item in cache_of(count).by_kind[kind].values()]
        return sum(len(codec.packed(item.body).SerializeToString()) for item in items)

    def books(count: int) -> list[Client]:
        made = [Client(f"c{n}", "z01", False, True, cache, terms, 10**9) for n in range(count)]
        for client in made:
            names = {f"{number}.{kind}" for number in chance.sample(range(2200), 20) for kind in "rw"}
            for kind in KINDS:
                client.watch(kind).begin(names if kind in ("cds", "eds") else None, {})
        return made

    yield Cost("xds", "memory of what is published", "B", "slices",
               [(count, held(partial(cache_of, count))[0]) for count in SLICES])  # fmt: skip
    yield Cost("xds", "bytes of everything to one client", "B", "slices",
               [(count, push(count)) for count in SLICES])  # fmt: skip
    yield Cost("xds", "memory of clients' books, 20 slices each, streams left out", "B", "clients",
               [(count, held(partial(books, count))[0]) for count in (100, 500, 2000)])  # fmt: skip


def cache_of(slices: int) -> ResourceCache:
    cache, stands = ResourceCache(), tables.Tables(slices)
    resources.put_static_resources(cache, slices, 2, 3 * SECOND)
    stands.nodes = {f"s-{n}": tables.Address(f"10.0.{n >> 8}.{n & 255}:3000", "z01") for n in range(slices)}
    changes: list[tables.TableChange] = [tables.SetOwner(number, f"s-{number}") for number in range(slices)]
    for change in changes:
        stands.apply(change)
    resources.update_assignments(cache, stands, changes, 0)
    return cache


# controllers that share nodes


def shared(repeat: int) -> Iterator[Cost]:
    """A look for slices to claim or let go, which each of several controllers takes every 30 ms."""

    def looking(slices: int, controllers: int) -> Callable[[], Any]:
        takeover = Takeover(slices, "n-000/1", linger_us=300_000)
        alive = {f"n-{number:03d}": 1.0 for number in range(controllers)}
        return partial(takeover.evaluate, 0, alive, {}, True, lambda number: False)

    for slices in (200, 2200):
        works = {count: looking(slices, count) for count in (5, 20, 60, 110)}
        yield Cost("shared", f"a look at {slices} slices, processor time", "ms", "controllers",
                   least_ms(works, repeat))  # fmt: skip
    works = {720: looking(2200, 720)}
    yield Cost("shared", "a look at 2,200 slices at 720 controllers, processor time", "ms", "-",
               least_ms(works, 2))  # fmt: skip


class Counting(CoordinationServer):
    """The stand-in, with the bytes that pass."""

    def __init__(self) -> None:
        super().__init__()
        self.bytes_in = self.bytes_out = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        read, write = reader.read, writer.write

        async def counted(n: int = -1) -> bytes:
            piece = await read(n)
            self.bytes_in += len(piece)
            return piece

        def written(data: bytes) -> None:
            self.bytes_out += len(data)
            write(data)

        reader.read, writer.write = counted, written  # type: ignore[method-assign]
        await super().serve(reader, writer)


SHARED_FILE = """
xds {{ listen: "127.0.0.1:0" }}
alone {{
  slices: 12 lease_ms: 1000 write_life_ms: 300 bare_ms: 8000
  visit_class {{ name: "look" agreed_ms: 500 patience_ms: 1000 benefit: 1 }}
  shared {{ name: "{name}" coordination: "{address}" session_s: 3 }}
}}
node {{ id: "n0" address: "127.0.0.1:9000" zone: "east" state: {state} }}
node {{ id: "n1" address: "127.0.0.1:9001" zone: "east" }}
node {{ id: "n2" address: "127.0.0.1:9002" zone: "east" }}
"""


@asynccontextmanager
async def hosts(count: int) -> Any:
    """Controllers that share three nodes and twelve slices, settled."""
    folder, service = Path(tempfile.mkdtemp()), Counting()
    await service.start()
    files = [folder / f"c{number}.textproto" for number in range(count)]

    def write(state: str) -> None:
        for number, file in enumerate(files):
            file.write_text(SHARED_FILE.format(name=f"c{number}", address=service.address, state=state))

    write("READY")
    made = [SharedHost(operator.read(file), 5 + place) for place, file in enumerate(files)]
    tasks = [asyncio.create_task(host.run()) for host in made]
    try:
        until = time.monotonic() + 60
        while not all(len(host.snapshot.owners) == 12 for host in made):
            assert time.monotonic() < until, "the controllers did not settle"
            await asyncio.sleep(0.1)
        await asyncio.sleep(6)
        yield made, service, write
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        service.stop()


def coordination(repeat: int) -> Iterator[Cost]:
    """Calls and bytes at the coordination service: over a quiet 10 s, and for one drain of a node."""
    calls, size, writes, told = [], [], [], []

    async def one(count: int) -> None:
        async with hosts(count) as (made, service, write):
            seconds = 10
            before = service.calls, service.bytes_in + service.bytes_out
            await asyncio.sleep(seconds)
            calls.append((count, (service.calls - before[0]) / seconds))
            size.append((count, (service.bytes_in + service.bytes_out - before[1]) / seconds))
            idle = calls[-1][1], size[-1][1]
            before = service.calls, service.bytes_in + service.bytes_out
            write("DRAINING")
            began = time.monotonic()
            for host in made:
                host.read_again()
            while any("n0" in host.snapshot.owners.values() for host in made):
                assert time.monotonic() - began < 60, "the drain did not end"
                await asyncio.sleep(0.05)
            await asyncio.sleep(3)
            took = time.monotonic() - began
            passed = service.bytes_in + service.bytes_out - before[1]
            writes.append((count, (service.calls - before[0] - idle[0] * took) / count))
            told.append((count, (passed - idle[1] * took) / count))

    for count in (2, 4, 8, 12):
        asyncio.run(one(count))
    yield Cost("coordination", "calls a second, quiet", "1/s", "controllers", calls)
    yield Cost("coordination", "bytes a second at the service, quiet", "B/s", "controllers", size)
    yield Cost(
        "coordination",
        "calls of each controller for the drain of one of three nodes, 12 slices",
        "calls",
        "controllers",
        writes,
    )
    yield Cost("coordination", "bytes of each controller for that drain", "B", "controllers", told)


# a watch that is opened anew although nothing was told


def renewal(repeat: int) -> Iterator[Cost]:
    """Bytes of a watch that a registry answers with the whole list of 5,700 servers, and that the caller ends
    where the revision at the list's head is the one that it knows, by the caller's receive buffer.
    """
    body = page(5700)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        state = h11.Connection(h11.SERVER)
        await read_request(reader, state)
        writer.write(encode_response(state, 200, None) + (state.send(h11.Data(data=body + b"\n")) or b""))
        try:
            await reader.read()
        except OSError:
            pass  # it is cut with much of the list unread
        writer.close()

    async def arrived(buffer_bytes: int) -> float:
        """What the system of the caller has taken when 0.3 s have passed, read or not."""
        server, loop = await asyncio.start_server(serve, "127.0.0.1", 0), asyncio.get_running_loop()
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
            caller.setblocking(False)
            await loop.sock_connect(caller, server.sockets[0].getsockname())
            await loop.sock_sendall(caller, b"GET /?watch=1&from=5 HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await loop.sock_recv(caller, 2048)
            await asyncio.sleep(0.3)
            waiting = array.array("i", [0])
            fcntl.ioctl(caller, termios.FIONREAD, waiting)
        await asyncio.sleep(0.05)
        server.close()
        return float(len(head) + waiting[0])

    for buffer_bytes in (4096, 16_384, 65_536):
        most = max(asyncio.run(arrived(buffer_bytes)) for _ in range(max(2, repeat // 2)))
        yield Cost("registry", f"bytes of a renewal that is cut, receive buffer {buffer_bytes}", "B", "-",
                   [(5700, most)])  # fmt: skip


ROLES: dict[str, Callable[[int], Iterator[Cost]]] = {
    "process": process,
    "start": start,
    "list": lists,
    "reports": reports,
    "news": news,
    "orders": orders,
    "probes": probes,
    "gates": gates,
    "xds": xds,
    "shared": shared,
    "coordination": coordination,
    "renewal": renewal,
}


def main() -> None:
    ask = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    ask.add_argument("role", choices=[*ROLES, "all"])
    ask.add_argument("--repeat", type=int, default=5, help="the least of so many runs counts")
    given = ask.parse_args()
    logging.getLogger("lapispass").setLevel(logging.ERROR)
    for role in ROLES if given.role == "all" else [given.role]:
        command = f"python benchmarks/capacity.py {role} --repeat {given.repeat}"
        for cost in ROLES[role](given.repeat):
            print(cost.line(command), flush=True)


if __name__ == "__main__":
    main()
