"""xDS at size, on loopback and in simulated time; every client and node is a stand-in.

    python benchmarks/xds_streams.py loopback [--clients 300] [--slices 300] [--seed 1]
    python benchmarks/xds_streams.py core [--clients 20000] [--slices 1000]
    python benchmarks/xds_streams.py kills [--times 500]

'loopback': half of the clients speak incremental, half state of the world, in the same run. A node drains;
printed are bytes and messages an update by protocol, the time from the drain to the last acknowledgement of
the empty step (median and 99th over clients), memory a client, and how long a storm of reconnects lasts
until all may write again. 'core': the pure part alone: what a turn costs, and the bytes of changes against
those of a full push. 'kills': a store is killed by SIGKILL in the middle of commits; nothing acknowledged
may be missing. The baseline without a store is what a start from nothing would have to publish anew:
everything.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import os
import random
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections import deque
from pathlib import Path

from lapispass.core import resources, tables
from lapispass.core.clients import Client, ClientLimits, ProxyNumbers
from lapispass.core.versions import KINDS, ResourceCache
from lapispass.operator import read as operator
from lapispass.standins.xds_client import Faults, XdsClient
from lapispass.store.assignments import Assignment, Assignments
from lapispass.xds import codec
from lapispass.xds.host import Host

WRITER = """
import sys
from lapispass.store.assignments import Assignment, Assignments
store = Assignments(sys.argv[1], 64)
turn = store.turn
print("open", turn, flush=True)
while True:
    turn += 1
    store.commit({number: Assignment(f"t{turn}") for number in range(64)})
    print(turn, flush=True)
"""


def rss_kb() -> int:
    text = Path("/proc/self/status").read_text()
    return int(next(line.split()[1] for line in text.split("\n") if line.startswith("VmRSS")))


def file_of(slices: int, drained: str) -> str:
    nodes = "\n".join(
        f'node {{ id: "n{n}" address: "127.0.0.1:{9000 + n}" zone: "east" '
        f"state: {'DRAINING' if drained == f'n{n}' else 'READY'} }}"
        for n in range(10)
    )
    return (
        'xds { listen: "127.0.0.1:0" new_per_s: 200 burst: 50 clients: 5000 }\n'
        f'alone {{ store_file: "store" slices: {slices} lease_ms: 8000 write_life_ms: 500 bare_ms: 20000 '
        'visit_class { name: "look" agreed_ms: 500 patience_ms: 1000 benefit: 1 } '
        f'visit_class {{ name: "pay" agreed_ms: 500 patience_ms: 1000 benefit: 1 writes: true }} }}\n{nodes}'
    )


async def loopback(told: argparse.Namespace) -> None:
    folder = Path(tempfile.mkdtemp())
    file = folder / "operator.textproto"
    file.write_text(file_of(told.slices, ""))
    store = Assignments(folder / "store", told.slices)
    store.commit({number: Assignment(f"n{number % 10}") for number in range(told.slices)})
    store.close()
    host = Host(operator.read(file), told.seed)
    running = asyncio.create_task(host.run())
    while not host.xds_server.address:
        await asyncio.sleep(0.01)
    before_kb = rss_kb()
    clients = [
        XdsClient(
            host.xds_server.address, f"c{n}", told.seed + n, n % 2 == 0, faults=Faults(reconnect_delay_s=0.2)
        )
        for n in range(told.clients)
    ]
    lives = [asyncio.create_task(client.run()) for client in clients]
    begun = time.perf_counter()
    await all_write(clients)
    print(f"all may write after s: {time.perf_counter() - begun:.2f}")
    print(
        f"memory a client, server and stand-in in one process: {(rss_kb() - before_kb) / told.clients:.0f} kB"
    )
    await asyncio.sleep(9)  # the module keeps the store's table for one lease
    sizes: dict[bool, list[int]] = {True: [], False: []}
    counts = {True: 0, False: 0}
    for client in clients:
        watch(client, sizes, counts)
    mine = [f"{n}.w" for n in range(told.slices) if host.store.owners()[n] == "n0"]
    file.write_text(file_of(told.slices, "n0"))
    begun = time.perf_counter()
    emptied: dict[str, float] = {}
    host.read_again()
    while len(emptied) < len(clients):
        await asyncio.sleep(0.005)
        for client in clients:
            held = host.xds_server.clients.get(client.name)
            if (
                client.name not in emptied
                and held is not None
                and held[0].watches["eds"].acked_turn >= host.xds_server.turn
                and (not any(client.endpoints.get(name) == ("n0",) for name in mine))
            ):
                emptied[client.name] = time.perf_counter() - begun
        if time.perf_counter() - begun > 60:
            break
    times = sorted(emptied.values())
    print(
        f"drain to acknowledged, s: median {statistics.median(times):.3f} "
        f"99th {times[int(0.99 * (len(times) - 1))]:.3f} last {times[-1]:.3f}, {len(times)} of {len(clients)}"
    )
    while any(owner in (None, "n0") for owner in host.store.owners().values()):
        await asyncio.sleep(0.05)
    print(f"all slices of the drained node moved after s: {time.perf_counter() - begun:.2f}")
    await asyncio.sleep(1)
    for incremental, name in ((True, "incremental"), (False, "state of the world")):
        total = sum(sizes[incremental])
        print(
            f"{name}: {counts[incremental]} messages, {total / max(1, counts[incremental]):.0f} bytes each, "
            f"{total / (told.clients / 2):.0f} bytes a client for the whole drain"
        )
    full = sum(
        len(codec.packed(item.body).SerializeToString())
        for kind in KINDS
        for item in host.xds_server.cache.by_kind[kind].values()
    )
    print(
        f"a full push of everything: {full} bytes a client; of all assignments: "
        f"""{
            sum(
                len(codec.packed(i.body).SerializeToString())
                for i in host.xds_server.cache.by_kind["eds"].values()
            )
        }"""
    )
    begun = time.perf_counter()
    sent = host.counters["xds.resources"]
    for client in clients:
        client.drop()
        client.held["lds"].pop("writes", None)
    await all_write(clients)
    print(
        f"reconnect storm, until all may write again, s: {time.perf_counter() - begun:.2f}; resources sent "
        f"{host.counters['xds.resources'] - sent}, refused meanwhile {host.counters['xds.refused']}"
    )
    for life in lives:
        life.cancel()
    await asyncio.gather(*lives, return_exceptions=True)
    host.stop()
    await asyncio.gather(running, return_exceptions=True)


def watch(client: XdsClient, sizes: dict[bool, list[int]], counts: dict[bool, int]) -> None:
    """Counts the bytes of assignments that come to a client."""
    take = client.take

    async def counted(stream: object, message: object) -> None:
        if message.type_url.endswith("ClusterLoadAssignment"):  # type: ignore[attr-defined]
            sizes[client.incremental].append(message.ByteSize())  # type: ignore[attr-defined]
            counts[client.incremental] += 1
        await take(stream, message)

    client.take = counted  # type: ignore[method-assign]


async def all_write(clients: list[XdsClient]) -> None:
    while not all("writes" in client.held["lds"] for client in clients):
        await asyncio.sleep(0.02)


def core(told: argparse.Namespace) -> None:
    """Turns, clients and acknowledgements without sockets."""
    chance, terms, now = random.Random(told.seed), ClientLimits(3_000_000, max_clients=told.clients), 10**9
    cache, numbers = ResourceCache(), ProxyNumbers(2, 3_000_000)
    resources.put_static_resources(cache, told.slices, 1, terms.ttl_us)
    stands = tables.Tables(told.slices)
    stands.nodes = {f"n{n}": tables.Address(f"127.0.0.1:{9000 + n}", "east") for n in range(100)}
    changes: list[tables.TableChange] = []
    for number in range(told.slices):
        stands.apply(tables.SetOwner(number, f"n{number % 100}"))
        changes.append(tables.SetOwner(number, f"n{number % 100}"))
    resources.update_assignments(cache, stands, changes, 0)
    clients = []
    mine = told.names  # each client knows so many slices
    for place in range(told.clients):
        client = Client(f"c{place}", "east", False, True, cache, terms, now)
        names = {f"{number}.{kind}" for number in chance.sample(range(told.slices), mine) for kind in "rw"}
        for kind in KINDS:
            client.watch(kind).begin(names if kind in ("cds", "eds") else None, {})
        clients.append(client)
    marks: deque[tuple[int, int, int]] = deque(maxlen=4096)
    begun = time.perf_counter()
    settle(clients, now, 0, marks, numbers)
    print(
        f"{told.clients} clients of {mine} slices each, {told.slices} slices: all may write after "
        f"{time.perf_counter() - begun:.2f} s of computing"
    )
    costs, sent, answered = [], [], 0
    for turn in range(1, told.turns + 1):
        node = f"n{turn % 100}"
        moved = [number for number, owner in stands.owners.items() if owner == node][:10]
        changes = [tables.SetOwner(number, None if turn % 2 else f"n{(turn + 50) % 100}") for number in moved]
        for change in changes:
            stands.apply(change)
        marks.append((turn, turn, now))
        begun = time.perf_counter()
        resources.update_assignments(cache, stands, changes, turn)
        count, marked = settle(clients, now + turn, turn, marks, numbers)
        costs.append(time.perf_counter() - begun)
        sent.append(count)
        answered += marked
    full = told.clients * 2 * mine
    print(
        f"a turn of 10 slices: median {1000 * statistics.median(costs):.0f} ms of computing for all, "
        f"{statistics.mean(sent):.0f} resources sent, of a full push {full}: "
        f"{full / max(1.0, statistics.mean(sent)):.0f} times as many; marks answered {answered}"
    )


def settle(
    clients: list[Client], now: int, turn: int, marks: deque[tuple[int, int, int]], numbers: ProxyNumbers
) -> tuple[int, int]:
    """Every client acknowledges at once; resources sent, marks answered."""
    sent = answered = 0
    for client in clients:
        while True:
            step = client.advance(now, turn, marks, numbers)
            answered += len(step.acked_barriers)
            if not step.updates:
                break
            for update in step.updates:
                sent += len(update.resources)
                client.watches[update.kind].handle_answer(update.nonce, False, now)
    return sent, answered


def kills(told: argparse.Namespace) -> None:
    folder = Path(tempfile.mkdtemp())
    chance, acknowledged, torn, commits = random.Random(told.seed), 0, 0, 0
    begun = time.perf_counter()
    for _ in range(told.times):
        process = subprocess.Popen(
            [sys.executable, "-c", WRITER, str(folder / "store")],
            stdout=subprocess.PIPE,
            text=True,
            env={**os.environ, "PYTHONPATH": str(Path(__file__).parent.parent)},
        )
        assert process.stdout is not None
        assert process.stdout.readline().startswith("open")
        time.sleep(chance.uniform(0.0, 0.03))
        process.send_signal(signal.SIGKILL)
        last = [line for line in process.stdout.read().split("\n") if line.strip().isdigit()]
        process.wait()
        store = Assignments(folder / "store", 64)
        said = int(last[-1]) if last else acknowledged
        if store.turn < said or set(store.owners().values()) - {f"t{store.turn}"}:
            torn += 1
        commits += store.turn - acknowledged
        acknowledged = store.turn
        store.close()
    print(
        f"{told.times} kills, {commits} commits of 64 lines, {torn} with anything acknowledged missing, "
        f"{time.perf_counter() - begun:.0f} s"
    )


def main() -> None:
    ask = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    ask.add_argument("what", choices=["loopback", "core", "kills"])
    ask.add_argument("--clients", type=int, default=0)
    ask.add_argument("--slices", type=int, default=0)
    ask.add_argument("--names", type=int, default=20, help="core: slices a client knows")
    ask.add_argument("--turns", type=int, default=10)
    ask.add_argument("--times", type=int, default=500)
    ask.add_argument("--seed", type=int, default=1)
    told = ask.parse_args()
    logging.getLogger("lapispass").setLevel(logging.ERROR)
    if told.what == "loopback":
        told.clients, told.slices = told.clients or 300, told.slices or 300
        asyncio.run(loopback(told))
    elif told.what == "core":
        told.clients, told.slices = told.clients or 20_000, told.slices or 1000
        core(told)
    else:
        kills(told)


if __name__ == "__main__":
    main()
