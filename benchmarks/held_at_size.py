"""Held connections at full size, in simulated time: the same core as a gate and a controller run, no sockets.

    python benchmarks/held_at_size.py [--connections 200000] [--nodes 500] [--gates 20] [--seed 1]

Five zones; two of them leave at the same moment, and a part of the nodes that stay has just been started.
Three ways of closing are played on the same seed: 'plan' (ours), 'fixed' (each gate closes evenly over the
grace, and screens come back after their own back-off of 0.5 to 1.5 s) and 'at once'. What the simulation
leaves out: bytes, latency, and that gates and nodes share processors. Every figure is from simulated nodes.
"""

from __future__ import annotations

import argparse
import heapq
import time
from collections import deque
from dataclasses import dataclass, field

import numpy as np

from lapispass.core.connection_controller import ConnectionController, ReportedCounts
from lapispass.core.plans import Ceiling, Curve, Plan, Version
from lapispass.core.shared_types import SECOND, Bounds, ConnectionClass, DrainTerms, NodeView
from lapispass.core.steering import Admitted, Steering
from lapispass.core.tables import Address, SetNode, SetOwner, SetWithdrawn

TICK = SECOND // 10
KINDS = (
    ConnectionClass("board", "/b", False, True, 1.0, 0.05),
    ConnectionClass("till", "/t", True, False, 3.0, 0.05),
)


@dataclass
class Node:
    """What a simulated node takes, and what it was sent."""

    view: NodeView
    held: int = 0
    recent: deque[int] = field(default_factory=deque)
    peak_new: float = 0.0  # most within a second, as a share of what it can take
    peak_held: float = 0.0
    fell: bool = False

    def open(self, now: int, bounds: Bounds) -> bool:
        """One more; False where it has fallen over."""
        warmth = self.view.warmth(now, bounds)
        self.recent.append(now)
        while self.recent[0] <= now - SECOND:
            self.recent.popleft()
        self.held += 1
        self.peak_new = max(self.peak_new, len(self.recent) / (bounds.new_per_s * warmth + bounds.burst))
        self.peak_held = max(self.peak_held, self.held / (bounds.connections * warmth))
        if max(self.peak_new, self.peak_held) > 2.5:
            self.fell = True
        return not self.fell


def play(how: str, told: argparse.Namespace) -> dict[str, float]:
    """One day, and what it came to."""
    chance = np.random.default_rng(told.seed)
    bounds = Bounds(
        connections=2 * told.connections // told.nodes * 2,
        new_per_s=told.new_per_s,
        burst=5,
        cold_us=30 * SECOND,
        cold_share=0.2,
    )
    terms = DrainTerms(told.grace * SECOND, 3 * SECOND, SECOND // 2, 120 * SECOND)
    now = 1_000 * SECOND
    names = [f"n{number}" for number in range(told.nodes)]
    nodes = {}
    for number, name in enumerate(names):
        zone = number % 5
        cold = zone >= 2 and chance.random() < told.cold
        nodes[name] = Node(NodeView(name, f"z{zone}", "ready", 1.0, now if cold else 0))
    gates = [f"g{number}" for number in range(told.gates)]
    slices = 4 * told.nodes
    made = {
        gate: Steering(KINDS, slices, 10**6, 1e6, 10**6, 7 + place, 0, 0, (SECOND // 2, 120 * SECOND))
        for place, gate in enumerate(gates)
    }
    owners = {number: names[number % told.nodes] for number in range(slices)}
    for gate in gates:
        made[gate].apply_changes([SetNode(name, Address("x:1", "")) for name in names])
        made[gate].apply_changes([SetOwner(number, owner) for number, owner in owners.items()])
    warm = [name for name in names if not nodes[name].view.started_us]
    for place in range(told.connections):  # what stands when the day begins
        steering = made[gates[place % told.gates]]
        kind = KINDS[int(chance.random() < 0.2)]
        name = warm[place % len(warm)]
        held = steering.established(now, kind, Admitted(name, None), None)
        held.last_message_us = now - int(chance.integers(0, 60 * SECOND))
        nodes[name].held += 1
    keeper = ConnectionController(KINDS, bounds, terms, now - 10 * SECOND)
    serial = 0

    def report(now: int) -> None:
        nonlocal serial
        serial += 1
        for gate in gates:
            rows = {
                node: {kind: ReportedCounts(row.held, row.opened) for kind, row in by_class.items()}
                for node, by_class in made[gate].connections.report().items()
            }
            keeper.report_received(now, gate, serial, rows)

    for gate in gates:
        keeper.gate_joined(now, gate, "", Version(-1, -1), {})
    report(now)
    keeper.update_nodes(now, [node.view for node in nodes.values()])
    for gate, plan in keeper.evaluate(now).plans.items():
        made[gate].apply_plan(now, plan)

    leaving = [name for name in names if nodes[name].view.zone in ("z0", "z1")]
    begun, costs = now, []
    for name in leaving:
        nodes[name].view.state = "draining"
    for gate in gates:
        made[gate].apply_changes([SetWithdrawn(name, True) for name in leaving])
    returning: list[tuple[int, int, str]] = []
    order, refusals, most_closed, moved, closed, back = 0, 0, 0, 0, 0, 0
    waits: list[int] = []
    deadline = begun + terms.grace_us
    end = deadline + 120 * SECOND
    done_at = 0
    stays = [n for n in names if nodes[n].view.state == "ready"]
    while now < end and (returning or now < deadline + SECOND):
        now += TICK
        if (now - begun) % SECOND == 0 and now <= deadline:
            report(now)
        if now <= deadline + SECOND:
            keeper.update_nodes(now, [node.view for node in nodes.values()])
            before = time.perf_counter()
            plans = keeper.evaluate(now).plans
            if plans:
                costs.append(time.perf_counter() - before)
            for gate, plan in plans.items():
                made[gate].apply_plan(
                    now, plan if how == "plan" else other_plan(how, plan, made[gate], now, deadline, terms)
                )
        this_tick = 0
        stays = [n for n in stays if not nodes[n].fell]
        for gate in gates:
            steering = made[gate]
            for release in steering.tick(now, TICK):
                held = steering.connections.by_number[release.number]
                this_tick += 1
                nodes[held.node].held -= 1
                target = steering.move_target(now, held) if release.how == "move" and how == "plan" else None
                if isinstance(target, Admitted):
                    nodes[target.node].open(now, bounds)
                    steering.moved(now, held, target)
                    moved += 1
                    continue
                wait = (
                    steering.returns.delay_us(now)
                    if how == "plan"
                    else int(chance.uniform(0.5, 1.5) * SECOND)
                )
                waits.append(wait)
                closed += 1
                order += 1
                heapq.heappush(returning, (now + wait, order, gate))
                steering.closed(held)
        if this_tick:
            done_at = now
        most_closed = max(most_closed, this_tick)
        while returning and returning[0][0] <= now:
            _, _, gate = heapq.heappop(returning)
            steering = made[gate]
            if how == "plan":
                go = steering.choose_node(now, ())
            else:
                go = Admitted(stays[int(chance.integers(len(stays)))], None) if stays else None
            if not isinstance(go, Admitted):
                refusals += 1
                order += 1
                wait = go.retry_after_us if go is not None else SECOND
                heapq.heappush(returning, (now + max(wait, TICK), order, gate))
                continue
            if how != "plan":
                steering.opening[go.node] = steering.opening.get(go.node, 0) + 1
            steering.established(now, KINDS[1], go, None)
            nodes[go.node].open(now, bounds)
            back += 1
    ready = [node for node in nodes.values() if node.view.state == "ready"]
    cold = [node for node in ready if node.view.started_us]
    return {
        "nodes leaving": len(leaving),
        "held there": moved + closed,
        "moved": moved,
        "closed": closed,
        "all gone after s": (done_at - begun) / SECOND,
        "left at the deadline": sum(made[g].connections.count(n) for g in gates for n in leaving),
        "most ends in 0.1 s": most_closed,
        "peak new at a cold node, share of what it takes": max((n.peak_new for n in cold), default=0.0),
        "peak new at a warm node, share": max(
            (n.peak_new for n in ready if not n.view.started_us), default=0.0
        ),
        "peak held, share": max(n.peak_held for n in ready),
        "nodes fallen over": sum(n.fell for n in ready),
        "refused on return": refusals,
        "last one back after s": (now - begun) / SECOND,
        "not back": len(returning),
        "plan cost ms, median": 1000 * float(np.median(costs)) if costs else 0.0,
        "plan cost ms, most": 1000 * max(costs, default=0.0),
    }


def other_plan(how: str, plan: Plan, steering: Steering, now: int, deadline: int, terms: DrainTerms) -> Plan:
    """The baselines: everything now, or evenly without a look at the destinations."""
    ceilings = {}
    for name in plan.ceilings:
        count = steering.connections.count(name)
        old = steering.plan.ceilings.get(name)
        end = now if how == "at once" else deadline - terms.margin_us
        begun = max(end, now + 1)
        curve = Curve(((now, 1.0), (begun, 0.0)), begun)
        ceilings[name] = old if old is not None else Ceiling(curve, count, 0.5)
    return Plan(plan.version, ceilings, plan.allotted, plan.returns_per_s)


def main() -> None:
    ask = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    ask.add_argument("--connections", type=int, default=200_000)
    ask.add_argument("--nodes", type=int, default=500)
    ask.add_argument("--gates", type=int, default=20)
    ask.add_argument("--grace", type=int, default=60, help="seconds")
    ask.add_argument("--new-per-s", type=float, default=20.0, help="of a warm node")
    ask.add_argument("--cold", type=float, default=0.3, help="share of the nodes that stay")
    ask.add_argument("--seed", type=int, default=1)
    ask.add_argument("--how", nargs="*", default=["plan", "fixed", "at once"])
    told = ask.parse_args()
    results = {}
    for how in told.how:
        begun = time.perf_counter()
        results[how] = play(how, told)
        results[how]["seconds of computing"] = time.perf_counter() - begun
        print(how, results[how], flush=True)
    print("simulated nodes,", vars(told))
    width = max(len(name) for name in next(iter(results.values())))
    print(" " * width, *(f"{how:>10}" for how in results))
    for name in next(iter(results.values())):
        print(f"{name:<{width}}", *(f"{result[name]:>10.4g}" for result in results.values()))


if __name__ == "__main__":
    main()
