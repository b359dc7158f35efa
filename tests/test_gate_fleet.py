"""Gates, their controller and stand-in nodes together: drains, handovers and failures, judged by what the
nodes received."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import replace
from pathlib import Path

import pytest
from async_tests import cancel_and_wait
from parties import LoopbackServer
from support_gate import DEPLOYMENT, MS, SHORT_LIMITS, Fleet, fleet, take_upgrade, until
from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import ConnectionClosed

from lapispass.core.plans import Plan, Version
from lapispass.core.tables import slice_of
from lapispass.gate import wire
from lapispass.rules.checks import ConnectionEnd, check_cold_load, check_drains
from lapispass.standins.held_client import HeldClient
from lapispass.standins.nodes import Capacity, CounterNode, clock_us
from lapispass.standins.xds_client import XdsClient
from lapispass.xds.platform_server import PlatformXdsServer

pytestmark = pytest.mark.time_limit(30)
ROOMY = "connections: 5000 new_per_s: 400 burst: 40 cold_ms: 2000 cold_share: 0.2"


def key_at(env: Fleet, node: str, after: str = "") -> str:
    """A key whose slice a node owns."""
    keys = (f"k{n}" for n in range(1000))
    return next(key for key in keys if env.relay.owners.get(slice_of(key, 12)) == node and key != after)


async def open_boards(env: Fleet, count: int, gate: str = "g0") -> list[ClientConnection]:
    """Opens connections of the class "board" that send nothing, as fast as they are admitted."""
    held: list[ClientConnection] = []
    while len(held) < count:
        try:
            held.append(await connect(env.url(gate, "/board"), compression=None, ping_interval=None))
        except Exception:
            await asyncio.sleep(0.02)
    return held


def ends_at(env: Fleet, *names: str) -> list[ConnectionEnd]:
    return [ConnectionEnd(end.at_us, end.node, end.code) for name in names for end in env.nodes[name].ends]


async def test_a_drain_in_the_registry_moves_writers_after_the_handover(tmp_path: Path) -> None:
    async with fleet(tmp_path) as env:
        key = key_at(env, "n0")
        async with connect(env.url("g0", f"/desk?key={key}")) as desk:
            await desk.send(f"w {key} 1")
            assert await desk.recv() == "ok 1"
            assert env.nodes["n0"].writes
            env.list("n0", "Terminating")
            await until(lambda: env.relay.owners.get(slice_of(key, 12)) is None)
            await desk.send(f"w {key} 2")  # while the slice has no owner: the message waits for the new one
            assert await desk.recv() == "ok 2"
            assert not env.nodes["n0"].held
            assert sorted(write.number for node in env.nodes.values() for write in node.writes) == [
                "1",
                "2",
            ]
        assert env.breaches() == []


async def test_two_nodes_leave_together_spread_over_the_grace_and_with_a_close_frame_each(
    tmp_path: Path,
) -> None:
    async with fleet(tmp_path, 5, grace_ms=2500, bounds=ROOMY) as env:
        held = await open_boards(env, 200)
        leaving = sorted(env.nodes, key=lambda name: -len(env.nodes[name].held))[:2]
        held_there = sum(len(env.nodes[name].held) for name in leaving)
        assert held_there > 50
        begun = clock_us()
        for name in leaving:
            env.list(name, "Terminating")
        await until(lambda: not any(env.nodes[name].held for name in leaving))
        deadlines = dict.fromkeys(leaving, begun + 2_500 * MS)
        left = {name: len(env.nodes[name].held) for name in leaving}
        ends = ends_at(env, *leaving)
        assert check_drains(ends, left, deadlines, 0) == [] and len(ends) == held_there
        thirds = Counter(min(2, (end.at_us - begun) // (650 * MS)) for end in ends)
        assert min(thirds[0], thirds[1], thirds[2]) > held_there // 6, (
            thirds
        )  # spread, not at once or at the end
        assert env.gates["g0"].counters["moves.done"] == held_there
        assert all(board.state.name == "OPEN" for board in held)  # no client noticed
        for board in held:
            await board.close()


async def test_a_cold_node_is_not_pushed_over_by_what_moves_to_it(tmp_path: Path) -> None:
    strength = Capacity(connections=400, new_per_s=60, cold_us=2_000 * MS, cold_share=0.2, fall_multiple=2.0)
    nodes = {f"n{n}": CounterNode(f"n{n}", capacity=strength) for n in range(3)}
    bounds = "connections: 300 new_per_s: 50 burst: 4 cold_ms: 2000 cold_share: 0.2"
    async with fleet(tmp_path, nodes, grace_ms=4000, bounds=bounds) as env:
        held = await open_boards(env, 60)
        cold = CounterNode("n3", capacity=strength)
        await cold.start(cold=True)
        env.nodes["n3"] = cold
        env.list("n3", "Ready", up_since_ms=time.time_ns() // 1_000_000)
        for name in ("n0", "n1", "n2"):  # all nodes but the cold one leave
            env.list(name, "Terminating")
        await until(lambda: not any(nodes[name].held for name in ("n0", "n1", "n2")), 15)
        peaks = {name: max(node.peak_new, node.peak_held) for name, node in env.nodes.items()}
        fallen = [name for name, node in env.nodes.items() if node.overloaded_at]
        assert check_cold_load({"n3": peaks["n3"]}, fallen, 1.5) == []
        assert all(end.code != 1006 for end in ends_at(env, "n0", "n1", "n2"))
        for board in held:
            await board.close()


async def test_the_registry_takes_a_drain_back_and_the_rest_stays(tmp_path: Path) -> None:
    async with fleet(tmp_path, 3, grace_ms=6000, bounds=ROOMY) as env:
        held = await open_boards(env, 60)
        at_n0 = len(env.nodes["n0"].held)
        env.list("n0", "Terminating")
        await until(lambda: len(env.nodes["n0"].held) < at_n0)
        env.list("n0", "Ready")
        await until(lambda: not env.gates["g0"].steering.plan.ceilings)
        left = len(env.nodes["n0"].held)
        assert left > at_n0 // 2
        await asyncio.sleep(0.4)
        assert len(env.nodes["n0"].held) == left
        for board in held:
            await board.close()


async def test_a_gate_that_dies_in_the_middle_of_a_drain_does_not_stop_it(tmp_path: Path) -> None:
    async with fleet(tmp_path, 3, 2, grace_ms=3000, bounds=ROOMY) as env:
        await open_boards(env, 40, "g0")
        stays = await open_boards(env, 40, "g1")
        begun = clock_us()
        env.list("n0", "Terminating")
        await asyncio.sleep(0.5)
        await env.kill_gate("g0")
        await until(lambda: not env.nodes["n0"].held)
        assert clock_us() < begun + 3_000 * MS
        assert all(board.state.name == "OPEN" for board in stays)
        # the dead gate's lease has ended: handovers go on without it
        await until(lambda: all(o != "n0" for o in env.relay.owners.values()) and len(env.relay.owners) == 12)
        for board in stays:
            await board.close()


async def test_a_controller_that_restarts_in_the_middle_of_a_drain_goes_on_with_it(tmp_path: Path) -> None:
    async with fleet(tmp_path, 3, grace_ms=4000, bounds=ROOMY) as env:
        held = await open_boards(env, 90)
        begun = clock_us()
        env.list("n0", "Terminating")
        await until(lambda: env.gates["g0"].steering.plan.ceilings)
        await asyncio.sleep(0.8)
        before = env.gates["g0"].steering.plan
        await env.kill_controller()
        await asyncio.sleep(0.5)
        await env.controller()
        steering = env.gates["g0"].steering
        await until(lambda: steering.plan.version.incarnation > before.version.incarnation)
        assert abs(steering.plan.ceilings["n0"].deadline_us - before.ceilings["n0"].deadline_us) < 400 * MS
        await until(lambda: not env.nodes["n0"].held)
        assert clock_us() < begun + 4_000 * MS
        assert all(board.state.name == "OPEN" for board in held)
        for board in held:
            await board.close()


async def test_clients_that_are_closed_come_back_at_different_times_and_write_nothing_twice(
    tmp_path: Path,
) -> None:
    async with fleet(tmp_path, 3, 2, grace_ms=2500, bounds=ROOMY) as env:
        screens = [
            HeldClient(env.url(f"g{n % 2}", f"/till?key=k{n}"), f"s{n}", n, f"k{n}", 0.1) for n in range(40)
        ]
        running = [asyncio.create_task(screen.run()) for screen in screens]
        await until(lambda: all(screen.open for screen in screens))
        env.list("n0", "Terminating")
        await until(lambda: not env.nodes["n0"].held)
        await until(lambda: all(screen.open for screen in screens), 15)
        await asyncio.sleep(0.3)
        await until(lambda: sum(len(node.writes) for node in env.nodes.values()) > 40, 60)
        await cancel_and_wait(*running)
        assert env.breaches() == []
        ends = [end for screen in screens for end in screen.ends if end.reason]
        assert ends and all(end.code == 1012 for end in ends)
        back = sorted(end.at_us + 1000 * int(end.reason.rpartition("=")[2]) for end in ends)
        # Connections that wait to write are closed as soon as their slice has an owner, so several may be
        # closed together. The times at which their clients come back differ all the same.
        assert len(set(back)) >= 0.9 * len(back), back
        written = [write.number for node in env.nodes.values() for write in node.writes]
        assert len(written) == len(set(written)) > 40
        answered = set().union(*(screen.answered for screen in screens))
        assert answered <= set(written)


async def test_a_node_that_does_not_read_delays_the_barrier_until_it_is_cut(tmp_path: Path) -> None:
    """Rule 2 in a tunnel: bytes that wait in the kernel for a stalled node are dropped before the barrier is
    acknowledged."""

    async def stall(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Accepts the upgrade and reads no further."""
        if await take_upgrade(reader, writer):
            await asyncio.sleep(20)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    async with (
        LoopbackServer(stall) as silent,
        fleet(tmp_path, 3, limits=replace(SHORT_LIMITS, ping_us=60_000 * MS)) as env,
    ):
        key = key_at(env, "n0")
        env.nodes["n0"].address = silent.address
        env.list("n0", "Ready")
        await until(lambda: env.gates["g0"].steering.tables.nodes["n0"].address == env.nodes["n0"].address)
        async with connect(env.url("g0", f"/till?key={key}")) as till:
            await till.send(f"w {key} 1")
            gate = env.gates["g0"]
            await until(lambda: any(held.unconfirmed for held in gate.steering.connections))
            env.list("n0", "Terminating")
            await until(lambda: gate.steering.barriers.unconfirmed)
            await until(lambda: gate.counters["fences.cut"])
            with pytest.raises(ConnectionClosed):
                await till.recv()
            assert till.close_code == 1012
            await until(lambda: env.relay.owners.get(slice_of(key, 12)) not in (None, "n0"))
        assert env.breaches() == []


async def test_writes_stop_when_the_controller_is_not_heard_and_go_on_when_it_is(tmp_path: Path) -> None:
    async with fleet(tmp_path) as env:
        key = key_at(env, "n1")
        gate = env.gates["g0"]
        async with (
            connect(env.url("g0", f"/till?key={key}")) as till,
            connect(env.url("g0", "/board")) as board,
        ):
            await till.send(f"w {key} 1")
            assert await till.recv() == "ok 1"
            await env.kill_controller()
            await until(lambda: not gate.steering.writable)
            await till.send(f"w {key} 2")
            await board.send("still")  # connections of a class that does not write go on
            assert await board.recv() == "still"
            await until(lambda: any(held.write_blocked for held in gate.steering.connections))
            assert len(env.nodes["n1"].writes) == 1
            await env.controller()
            assert await till.recv() == "ok 2"
        assert env.breaches() == []


async def test_an_outdated_or_malformed_plan_does_no_harm(tmp_path: Path) -> None:
    async with fleet(tmp_path, 2) as env:
        gate = env.gates["g0"]
        assert gate.uplink is not None
        held = await open_boards(env, 10)
        now = gate.clock.now()
        old = Plan(Version(1, 1), {}, {})
        gate.uplink.handle(wire.plan_message(old, now))
        assert gate.counters["uplink.plans_old"] == 1
        version = (gate.steering.plan.version.incarnation, gate.steering.plan.version.number + 1)
        for points, index, returns in (
            ([(0, 0.5), (0, 0.4)], 0, 5.0),
            ([(0, 2.0)], 0, 5.0),
            ([(0, 0.5)], 1, 5.0),
            ([], 0, -1.0),
        ):
            bad = wire.PlanMessage(
                version, [(1000, points)], {"n0": (index, 5, 0.5)}, {}, returns, (1, 2), []
            )
            gate.uplink.handle(bad)
        assert gate.counters["uplink.plans_refused"] == 4 and not gate.steering.plan.ceilings
        assert all(board.state.name == "OPEN" for board in held)
        for board in held:
            await board.close()


@pytest.mark.parametrize(
    "line",
    [
        b"junk\n",
        b"{}\n",
        b'{"type":"beat","number":1}\n',
        b"x" * 300_000,
        b"\n",
        b'{"type":"hello","name":"g9"}\n',
    ],
)
async def test_unidentified_connections_to_the_gate_server_are_rejected(tmp_path: Path, line: bytes) -> None:
    async with fleet(tmp_path, 2) as env:
        reader, writer = await asyncio.open_connection("127.0.0.1", env.port)
        writer.write(line)
        writer.write_eof()
        answer = await reader.read()
        assert b"challenge" in answer and b"welcome" not in answer
        assert env.service.counters["gates.turned_away"] == 1
        assert env.gates["g0"].steering.lease is not None
        assert not env.tasks["controller"].done()
        writer.transport.abort()


async def test_a_gate_without_the_key_may_not_join(tmp_path: Path) -> None:
    async with fleet(tmp_path, 2, gates=0) as env:
        env.secret.write_bytes(b"another key, as long as the one")
        joining = asyncio.create_task(env.gate("g0"))
        await until(lambda: env.service.counters["gates.turned_away"] >= 2)  # it tries again
        joining.cancel()
        assert env.service.counters["gates.joined"] == 0


async def test_held_load_reaches_the_controller_and_that_of_a_dead_gate_is_forgotten(tmp_path: Path) -> None:
    async with fleet(tmp_path, 2, 2, bounds="connections: 40 new_per_s: 1000 burst: 100") as env:
        held = await open_boards(env, 30, "g0")
        controller = env.service.controller
        await until(lambda: sum(status.held_load for status in controller.server_statuses()) > 0.5)
        await until(lambda: sum(env.gate_server.connection_controller.held().values()) == 30)
        await env.kill_gate("g0")
        env.gate_server.connection_controller.gate_left(env.service.clock.now() - 6_000 * MS, "g0")
        await until(lambda: "g0" not in env.gate_server.connection_controller.gates)
        await until(lambda: sum(status.held_load for status in controller.server_statuses()) == 0)
        for board in held:
            await board.close()


async def test_a_second_process_of_a_gates_name_waits_for_the_lease_of_the_first(tmp_path: Path) -> None:
    async with fleet(tmp_path, 2) as env:
        first = env.gates["g0"]
        again = asyncio.create_task(env.gate("g0"))
        await until(lambda: env.service.counters["gates.turned_away"] >= 2)
        assert env.service.counters["gates.joined"] == 1 and first.uplink and first.uplink.writer
        first.stop()
        left = asyncio.get_running_loop().time()
        await again
        assert asyncio.get_running_loop().time() - left > DEPLOYMENT.lease_us / 1e6
        assert env.service.counters["gates.joined"] == 2


async def test_xds_clients_beside_the_platforms_controller(tmp_path: Path) -> None:
    """The same turns of the controller reach the relay's proxies, gates and xDS clients."""
    async with fleet(tmp_path, 2, extra='xds { listen: "127.0.0.1:0" }') as env:
        front = next(front for front in env.service.additional_fronts if isinstance(front, PlatformXdsServer))
        await until(lambda: front.xds_server.address)
        client = XdsClient(front.xds_server.address, "c0", 1)
        running = asyncio.create_task(client.run())
        env.list("n0", "Terminating")
        await until(lambda: env.relay.owners == dict.fromkeys(range(12), "n1"), 15)
        await until(lambda: client.writes_to(0) == "n1")
        await until(lambda: len(env.gates["g0"].steering.tables.owners) == 12)
        assert set(env.gates["g0"].steering.tables.owners.values()) == {"n1"}
        await cancel_and_wait(running)


async def test_a_till_whose_message_waits_is_closed_in_order_and_at_once(tmp_path: Path) -> None:
    """The client's close frame was once read only after the waiting message, which could not be sent any
    more."""
    async with fleet(tmp_path) as env:
        key = key_at(env, "n0")
        async with connect(env.url("g0", f"/till?key={key}")) as till:
            env.list("n0", "Terminating")
            await until(lambda: env.gates["g0"].steering.tables.owners.get(slice_of(key, 12)) is None)
            await till.send(f"w {key} 1")
            with pytest.raises(ConnectionClosed):
                await till.recv()
            assert till.close_code == 1012
            await until(lambda: not env.gates["g0"].tunnels)
        assert env.gates["g0"].counters["screens.close_unanswered"] == 0
        assert not any(node.writes for node in env.nodes.values())
