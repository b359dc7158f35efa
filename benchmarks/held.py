"""Held connections on real sockets: drains under a real gate and controller process, all on loopback.

    python benchmarks/held.py [--connections 2000] [--nodes 6] [--grace 30] [--seed 1] [--baseline at-once]

Processes: this one (the platform's registry and relay), stand-in counter nodes, screens, `lapispass gate`
and `lapispass run`. Two nodes leave together while a cold one joins. Printed: closes a second over the
grace, the most at the cold node against what it can take, connections that ended without a close frame,
memory a connection, and the time of an echo through the gate against a direct one, interleaved in the same
run. All figures are from stand-in nodes.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing
import os
import re
import statistics
import subprocess
import sys
import tempfile
import time
from collections import Counter
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

from websockets.asyncio.client import connect

from lapispass.standins.held_client import HeldClient
from lapispass.standins.nodes import Capacity, CounterNode, clock_us
from lapispass.standins.platform import Member, Registry, Relay

SLICES = 60
SETTINGS = {
    "discovery": "subscribe", "period-us": 5000, "zones": ["east", "west"],
    "grades": [{"name": "look", "target-us": 1500000, "hard-limit-us": 5000000, "worth": 1.0},
               {"name": "pay", "target-us": 3000000, "hard-limit-us": 5000000, "worth": 2.0}],
    "extra": {"data-plane-size": 1, "key-ranges": SLICES, "class-writes": [False, True], "admit": "fraction",
              "lease-us": 1500000, "lingers-us": 2000000, "blackhole-us": 14000000, "lines-per-s": 100000.0,
              "fixed-cost": 2.0, "queue-cap": 100000.0, "report-every-us": 1000000, "usual-how": 1,
              "pushes-allowed": 500, "update-window-us": 10000000},
    "limits": {"probes": True},
    "rules": {"cold-us": 10000000, "start-capacity": 0.2, "fall-multiple": 2.5},
    "stats": {"fields": [], "how": "silent"},
}  # fmt: skip


def nodes_process(pipe: Connection, names: list[str], strength: Capacity) -> None:
    """Counter nodes, told by the pipe: a name starts that node cold, 'figures' asks for what they saw."""

    async def life() -> None:
        nodes = {name: await CounterNode(name, capacity=strength).start() for name in names}
        pipe.send({name: node.address for name, node in nodes.items()})
        loop = asyncio.get_running_loop()
        while (asked := await loop.run_in_executor(None, pipe.recv)) != "end":
            if asked == "figures":
                pipe.send({name: {"held": len(node.held), "peak": node.peak, "peak_new": node.peak_new,
                                  "peak_held": node.peak_held, "fell": bool(node.overloaded_at),
                                  "ends": [(end.at_us, end.code) for end in node.ends]}
                           for name, node in nodes.items()})  # fmt: skip
            elif asked == "counts":
                pipe.send({name: len(node.held) for name, node in nodes.items()})
            else:
                nodes[asked] = await CounterNode(asked, capacity=strength).start(cold=True)
                pipe.send(nodes[asked].address)

    asyncio.run(life())


def screens_process(pipe: Connection, url: str, count: int, seed: int) -> None:
    """Screens; one in five is a till that writes now and then."""

    async def life() -> None:
        screens = [HeldClient(f"{url}/till?key=k{seed}-{n}" if n % 5 == 0 else f"{url}/board", f"s{seed}-{n}",
                          seed * 100_000 + n, f"k{seed}-{n}", 5.0 if n % 5 == 0 else 0.0)
                   for n in range(count)]  # fmt: skip
        tasks = []
        for screen in screens:
            tasks.append(asyncio.create_task(screen.run()))
            await asyncio.sleep(0.004)
        loop = asyncio.get_running_loop()
        while (asked := await loop.run_in_executor(None, pipe.recv)) != "end":
            if asked == "open":
                pipe.send(sum(screen.open for screen in screens))
            else:
                pipe.send({"ends": [(end.at_us, end.code) for s in screens for end in s.ends],
                           "refusals": sum(len(s.refusals) for s in screens),
                           "sent": sum(len(s.sent) for s in screens),
                           "answered": sum(len(s.answered) for s in screens)})  # fmt: skip
        for task in tasks:
            task.cancel()

    asyncio.run(life())


def start(target: Any, *told: Any) -> tuple[Connection, multiprocessing.Process]:
    """A process of its own, and the pipe to it."""
    here, there = multiprocessing.Pipe()
    process = multiprocessing.get_context("spawn").Process(target=target, args=(there, *told), daemon=True)
    process.start()
    return here, process


async def ask(pipe: Connection, what: str) -> Any:
    pipe.send(what)
    return await asyncio.get_running_loop().run_in_executor(None, pipe.recv)


def memory_kb(process: int) -> int:
    return int(re.search(r"VmRSS:\s+(\d+)", Path(f"/proc/{process}/status").read_text())[1])  # type: ignore[index]


async def echoes(url: str, direct: str, count: int) -> tuple[list[float], list[float]]:
    """Times of echoes in us, through the gate and direct, one after the other in turn."""
    times: tuple[list[float], list[float]] = ([], [])
    async with (
        connect(f"{url}/board", compression=None) as one,
        connect(f"ws://{direct}/board", compression=None) as two,
    ):
        for number in range(count):
            for place, connection in enumerate((one, two)):
                begun = time.perf_counter_ns()
                await connection.send(f"echo {number}")
                await connection.recv()
                times[place].append((time.perf_counter_ns() - begun) / 1000)
    return times


async def main(told: argparse.Namespace) -> None:
    folder = Path(tempfile.mkdtemp())
    strength = Capacity(
        connections=told.connections, new_per_s=told.new_per_s, cold_us=10_000_000, cold_share=0.2
    )
    names = [f"n{number}" for number in range(told.nodes)]
    pipe, _ = start(nodes_process, names, strength)
    addresses = await asyncio.get_running_loop().run_in_executor(None, pipe.recv)
    registry, relay = Registry(), Relay(SLICES, 1)
    for name, address in addresses.items():
        registry.members[name] = Member(name, address)
    relay.owners = {number: names[number % len(names)] for number in range(SLICES)}
    await registry.start()
    await relay.start()
    grace_ms = told.grace * 1000 if told.baseline == "plan" else 1001
    common = (
        'connection_class { name: "board" path_prefix: "/board" movable: true }\n'
        'connection_class { name: "till" path_prefix: "/till" writes: true benefit: 3 }\n'
        f"nodes {{ connections: {told.connections} new_per_s: {told.new_per_s} burst: 10 }}\n"
        f"drain {{ grace_ms: {grace_ms} margin_ms: 1000 come_back_most_ms: 60000 }}\n"
    )
    gate_port, desk_port = 7480, 7481
    (folder / "controller.textproto").write_text(
        common + f'gates {{ listen: "127.0.0.1:{desk_port}" name: "g0" }}\n')  # fmt: skip
    (folder / "gate.textproto").write_text(
        common + f'gate {{ name: "g0" zone: "east" listen: "127.0.0.1:{gate_port}" '
        f'controller: "127.0.0.1:{desk_port}" slices: {SLICES} key_parameter: "key" }}\n')  # fmt: skip
    (folder / "config.json").write_text(json.dumps({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": registry.address, "seed": f"{told.seed:016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "store": {"address": relay.address},
        "known": {"revision": 0, "complete": False, "members": []}, "settings": SETTINGS}))  # fmt: skip
    log = (folder / "log").open("wb")
    environment = {**os.environ, "LB_CONFIG": str(folder / "config.json")}
    run = [sys.executable, "-m", "lapispass"]
    controller = subprocess.Popen(  # noqa: ASYNC220
        [*run, "run", "-o", str(folder / "controller.textproto")], env=environment, stderr=log
    )
    gate = subprocess.Popen(  # noqa: ASYNC220
        [*run, "gate", "-o", str(folder / "gate.textproto"), "--seed", str(told.seed)], stderr=log
    )
    try:
        await asyncio.sleep(3)
        url = f"ws://127.0.0.1:{gate_port}"
        empty_kb = memory_kb(gate.pid)
        parts = [start(screens_process, url, told.connections // 2, told.seed + part)[0] for part in range(2)]
        for _ in range(600):
            await asyncio.sleep(0.5)
            if sum([await ask(part, "open") for part in parts]) >= told.connections // 2 * 2:
                break
        full_kb = memory_kb(gate.pid)
        counts = await ask(pipe, "counts")
        through, direct = await echoes(url, addresses[names[-1]], 500)
        registry.change(Member("cold", await ask(pipe, "cold"), up_since_ms=time.time_ns() // 1_000_000))
        await asyncio.sleep(0.5)
        leaving = names[:2]
        begun = clock_us()
        registry.change(*(Member(name, addresses[name], phase="Terminating") for name in leaving))
        await asyncio.sleep(told.grace + 3)
        figures = await ask(pipe, "figures")
        await asyncio.sleep(3)
        back = sum([await ask(part, "open") for part in parts])
        seen = [await ask(part, "figures") for part in parts]
    finally:
        for process in (gate, controller):
            process.terminate()
            process.wait(10)
        pipe.send("end")
        registry.stop()
        relay.stop()
    ends = [end for name in leaving for end in figures[name]["ends"] if end[0] >= begun]
    seconds = Counter((at - begun) // 1_000_000 for at, _ in ends)
    print("stand-in nodes on loopback,", vars(told))
    print("held before:", counts)
    print("ends a second at the two that left:", [seconds[second] for second in range(told.grace + 2)])
    print("left there at the end:", sum(figures[name]["held"] for name in leaving))
    print("last one gone after s:", round((max(at for at, _ in ends) - begun) / 1e6, 2) if ends else "-")
    print("ends by code, at the nodes:", dict(Counter(code for _, code in ends)))
    print("ends by code, at the screens:", dict(Counter(c for part in seen for _, c in part["ends"])))
    cold = figures["cold"]
    print(
        f"cold node: most held {cold['peak']}, {cold['peak_held']:.2f} of what it could hold then; "
        f"most new a second {cold['peak_new']:.2f} of what it could take then; fell over: {cold['fell']}"
    )
    print("screens open at the end:", back, "of", told.connections // 2 * 2)
    print(
        "refused upgrades:",
        sum(part["refusals"] for part in seen),
        "writes sent:",
        sum(p["sent"] for p in seen),
        "answered:",
        sum(p["answered"] for p in seen),
    )
    print(f"memory a connection: {(full_kb - empty_kb) / told.connections:.1f} kB ({empty_kb} kB empty)")
    for name, times in (("through the gate", through), ("direct", direct)):
        print(
            f"echo {name}: median {statistics.median(times):.0f} us, "
            f"99th {statistics.quantiles(times, n=100)[98]:.0f} us"
        )
    print(f"ratio of the medians: {statistics.median(through) / statistics.median(direct):.2f}")
    print("log:", folder / "log")


if __name__ == "__main__":
    asker = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    asker.add_argument("--connections", type=int, default=2000)
    asker.add_argument("--nodes", type=int, default=6)
    asker.add_argument("--grace", type=int, default=30, help="seconds")
    asker.add_argument("--new-per-s", type=float, default=100.0, help="of a warm node")
    asker.add_argument("--seed", type=int, default=1)
    asker.add_argument("--baseline", choices=["plan", "at-once"], default="plan")
    asyncio.run(main(asker.parse_args()))
