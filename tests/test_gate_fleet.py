"""Gates, their controller and counter nodes together: drains, handovers and failures, judged by what nodes
saw."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import replace
from pathlib import Path

import pytest
from async_tests import ended
from parties import Party
from support_gate import MS, QUICK, TOLD, Fleet, fleet, take_upgrade, until
from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import ConnectionClosed

from lapispass.core.plans import Plan, Version
from lapispass.core.tables import slice_of
from lapispass.gate import wire
from lapispass.rules.checks import ConnectionEnd, check_cold_load, check_drains
from lapispass.standins.nodes import CounterNode, Strength, clock_us
from lapispass.standins.screens import Screen
from lapispass.standins.xds_client import XdsClient
from lapispass.xds.beside import Beside

pytestmark = pytest.mark.time_limit(30)
ROOMY = "connections: 5000 new_per_s: 400 burst: 40 cold_ms: 2000 cold_share: 0.2"


def key_at(stand: Fleet, node: str, after: str = "") -> str:
    """A key whose slice a node owns."""
    keys = (f"k{n}" for n in range(1000))
    return next(key for key in keys if stand.relay.owners.get(slice_of(key, 12)) == node and key != after)


async def boards(stand: Fleet, count: int, gate: str = "g0") -> list[ClientConnection]:
    """Quiet screens, opened as fast as they are let in."""
    held: list[ClientConnection] = []
    while len(held) < count:
        try:
            held.append(await connect(stand.url(gate, "/board"), compression=None, ping_interval=None))
        except Exception:
            await asyncio.sleep(0.02)
    return held


def ends_at(stand: Fleet, *names: str) -> list[ConnectionEnd]:
    return [ConnectionEnd(end.at_us, end.node, end.code) for name in names for end in stand.nodes[name].ends]


async def test_a_drain_told_by_the_registry_moves_writers_after_the_handover(tmp_path: Path) -> None:
    async with fleet(tmp_path) as stand:
        key = key_at(stand, "n0")
        async with connect(stand.url("g0", f"/desk?key={key}")) as desk:
            await desk.send(f"w {key} 1")
            assert await desk.recv() == "ok 1"
            assert stand.nodes["n0"].writes
            stand.list("n0", "Terminating")
            await until(lambda: stand.relay.owners.get(slice_of(key, 12)) is None)
            await desk.send(f"w {key} 2")  # into the empty step: it waits for the new owner
            assert await desk.recv() == "ok 2"
            assert not stand.nodes["n0"].held
            assert sorted(write.number for node in stand.nodes.values() for write in node.writes) == [
                "1",
                "2",
            ]
        assert stand.breaches() == []


async def test_two_nodes_leave_together_spread_over_the_grace_and_with_a_close_frame_each(
    tmp_path: Path,
) -> None:
    async with fleet(tmp_path, 5, grace_ms=2500, bounds=ROOMY) as stand:
        held = await boards(stand, 200)
        leaving = sorted(stand.nodes, key=lambda name: -len(stand.nodes[name].held))[:2]
        standing = sum(len(stand.nodes[name].held) for name in leaving)
        assert standing > 50
        begun = clock_us()
        for name in leaving:
            stand.list(name, "Terminating")
        await until(lambda: not any(stand.nodes[name].held for name in leaving))
        deadlines = dict.fromkeys(leaving, begun + 2_500 * MS)
        left = {name: len(stand.nodes[name].held) for name in leaving}
        ends = ends_at(stand, *leaving)
        assert check_drains(ends, left, deadlines, 0) == [] and len(ends) == standing
        thirds = Counter(min(2, (end.at_us - begun) // (650 * MS)) for end in ends)
        assert min(thirds[0], thirds[1], thirds[2]) > standing // 6, (
            thirds
        )  # spread, not at once or at the end
        assert stand.gates["g0"].counters["moves.done"] == standing
        assert all(board.state.name == "OPEN" for board in held)  # no screen noticed
        for board in held:
            await board.close()


async def test_a_cold_node_is_not_pushed_over_by_what_moves_to_it(tmp_path: Path) -> None:
    strength = Strength(connections=400, new_per_s=60, cold_us=2_000 * MS, cold_share=0.2, fall_multiple=2.0)
    nodes = {f"n{n}": CounterNode(f"n{n}", strength=strength) for n in range(3)}
    bounds = "connections: 300 new_per_s: 50 burst: 4 cold_ms: 2000 cold_share: 0.2"
    async with fleet(tmp_path, nodes, grace_ms=4000, bounds=bounds) as stand:
        held = await boards(stand, 60)
        cold = CounterNode("n3", strength=strength)
        await cold.start(cold=True)
        stand.nodes["n3"] = cold
        stand.list("n3", "Ready", up_since_ms=time.time_ns() // 1_000_000)
        for name in ("n0", "n1", "n2"):  # all but the cold one leave
            stand.list(name, "Terminating")
        await until(lambda: not any(nodes[name].held for name in ("n0", "n1", "n2")), 15)
        peaks = {name: max(node.peak_new, node.peak_held) for name, node in stand.nodes.items()}
        fallen = [name for name, node in stand.nodes.items() if node.fell_at]
        assert check_cold_load({"n3": peaks["n3"]}, fallen, 1.5) == []
        assert all(end.code != 1006 for end in ends_at(stand, "n0", "n1", "n2"))
        for board in held:
            await board.close()


async def test_the_registry_takes_a_drain_back_and_the_rest_stays(tmp_path: Path) -> None:
    async with fleet(tmp_path, 3, grace_ms=6000, bounds=ROOMY) as stand:
        held = await boards(stand, 60)
        at_n0 = len(stand.nodes["n0"].held)
        stand.list("n0", "Terminating")
        await until(lambda: len(stand.nodes["n0"].held) < at_n0)
        stand.list("n0", "Ready")
        await until(lambda: not stand.gates["g0"].steering.plan.ceilings)
        left = len(stand.nodes["n0"].held)
        assert left > at_n0 // 2
        await asyncio.sleep(0.4)
        assert len(stand.nodes["n0"].held) == left
        for board in held:
            await board.close()


async def test_a_gate_that_dies_in_the_middle_of_a_drain_does_not_stop_it(tmp_path: Path) -> None:
    async with fleet(tmp_path, 3, 2, grace_ms=3000, bounds=ROOMY) as stand:
        await boards(stand, 40, "g0")
        stays = await boards(stand, 40, "g1")
        begun = clock_us()
        stand.list("n0", "Terminating")
        await asyncio.sleep(0.5)
        await stand.kill_gate("g0")
        await until(lambda: not stand.nodes["n0"].held)
        assert clock_us() < begun + 3_000 * MS
        assert all(board.state.name == "OPEN" for board in stays)
        # its lease has run out: handovers go on without it
        await until(
            lambda: all(o != "n0" for o in stand.relay.owners.values()) and len(stand.relay.owners) == 12
        )
        for board in stays:
            await board.close()


async def test_a_controller_that_restarts_in_the_middle_of_a_drain_goes_on_with_it(tmp_path: Path) -> None:
    async with fleet(tmp_path, 3, grace_ms=4000, bounds=ROOMY) as stand:
        held = await boards(stand, 90)
        begun = clock_us()
        stand.list("n0", "Terminating")
        await until(lambda: stand.gates["g0"].steering.plan.ceilings)
        await asyncio.sleep(0.8)
        before = stand.gates["g0"].steering.plan
        await stand.kill_controller()
        await asyncio.sleep(0.5)
        await stand.controller()
        steering = stand.gates["g0"].steering
        await until(lambda: steering.plan.version.life > before.version.life)
        assert abs(steering.plan.ceilings["n0"].deadline_us - before.ceilings["n0"].deadline_us) < 400 * MS
        await until(lambda: not stand.nodes["n0"].held)
        assert clock_us() < begun + 4_000 * MS
        assert all(board.state.name == "OPEN" for board in held)
        for board in held:
            await board.close()


async def test_screens_that_are_closed_come_back_at_different_times_and_write_nothing_twice(
    tmp_path: Path,
) -> None:
    async with fleet(tmp_path, 3, 2, grace_ms=2500, bounds=ROOMY) as stand:
        screens = [
            Screen(stand.url(f"g{n % 2}", f"/till?key=k{n}"), f"s{n}", n, f"k{n}", 0.1) for n in range(40)
        ]
        running = [asyncio.create_task(screen.run()) for screen in screens]
        await until(lambda: all(screen.open for screen in screens))
        stand.list("n0", "Terminating")
        await until(lambda: not stand.nodes["n0"].held)
        await until(lambda: all(screen.open for screen in screens), 15)
        await asyncio.sleep(0.3)
        await until(lambda: sum(len(node.writes) for node in stand.nodes.values()) > 40, 60)
        await ended(*running)
        assert stand.breaches() == []
        ends = [end for screen in screens for end in screen.ends if end.reason]
        assert ends and all(end.code == 1012 for end in ends)
        back = sorted(end.at_us + 1000 * int(end.reason.rpartition("=")[2]) for end in ends)
        # Tills that wait to write go as soon as their slice has an owner, so closes may come together;
        # the instants at which their screens come back differ all the same.
        assert len(set(back)) >= 0.9 * len(back), back
        written = [write.number for node in stand.nodes.values() for write in node.writes]
        assert len(written) == len(set(written)) > 40
        answered = set().union(*(screen.answered for screen in screens))
        assert answered <= set(written)


async def test_a_node_that_does_not_read_holds_up_the_mark_until_it_is_cut(tmp_path: Path) -> None:
    """Rule 2 through a tunnel: bytes that wait in the kernel for a stalled node are dropped before the
    answer."""

    async def stall(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Takes the upgrade, and reads no further."""
        if await take_upgrade(reader, writer):
            await asyncio.sleep(20)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    async with (
        Party(stall) as silent,
        fleet(tmp_path, 3, limits=replace(QUICK, ping_us=60_000 * MS)) as stand,
    ):
        key = key_at(stand, "n0")
        stand.nodes["n0"].address = silent.address
        stand.list("n0", "Ready")
        await until(
            lambda: stand.gates["g0"].steering.tables.nodes["n0"].address == stand.nodes["n0"].address
        )
        async with connect(stand.url("g0", f"/till?key={key}")) as till:
            await till.send(f"w {key} 1")
            gate = stand.gates["g0"]
            await until(lambda: any(held.unproven for held in gate.steering.book))
            stand.list("n0", "Terminating")
            await until(lambda: gate.steering.fences.unproven)
            await until(lambda: gate.counters["fences.cut"])
            with pytest.raises(ConnectionClosed):
                await till.recv()
            assert till.close_code == 1012
            await until(lambda: stand.relay.owners.get(slice_of(key, 12)) not in (None, "n0"))
        assert stand.breaches() == []


async def test_writes_stop_when_the_controller_is_not_heard_and_go_on_when_it_is(tmp_path: Path) -> None:
    async with fleet(tmp_path) as stand:
        key = key_at(stand, "n1")
        gate = stand.gates["g0"]
        async with (
            connect(stand.url("g0", f"/till?key={key}")) as till,
            connect(stand.url("g0", "/board")) as board,
        ):
            await till.send(f"w {key} 1")
            assert await till.recv() == "ok 1"
            await stand.kill_controller()
            await until(lambda: not gate.steering.writable)
            await till.send(f"w {key} 2")
            await board.send("still")  # reads and boards go on
            assert await board.recv() == "still"
            await until(lambda: any(held.waiting for held in gate.steering.book))
            assert len(stand.nodes["n1"].writes) == 1
            await stand.controller()
            assert await till.recv() == "ok 2"
        assert stand.breaches() == []


async def test_a_plan_that_comes_late_twice_or_spoilt_does_no_harm(tmp_path: Path) -> None:
    async with fleet(tmp_path, 2) as stand:
        gate = stand.gates["g0"]
        assert gate.uplink is not None
        held = await boards(stand, 10)
        now = gate.clock.now()
        old = Plan(Version(1, 1), {}, {})
        gate.uplink.take(wire.plan_told(old, now))
        assert gate.counters["uplink.plans_old"] == 1
        version = (gate.steering.plan.version.life, gate.steering.plan.version.number + 1)
        for points, place, returns in (
            ([(0, 0.5), (0, 0.4)], 0, 5.0),
            ([(0, 2.0)], 0, 5.0),
            ([(0, 0.5)], 1, 5.0),
            ([], 0, -1.0),
        ):
            bad = wire.PlanTold(version, [(1000, points)], {"n0": (place, 5, 0.5)}, {}, returns, (1, 2), [])
            gate.uplink.take(bad)
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
async def test_strangers_at_the_desk_are_turned_away(tmp_path: Path, line: bytes) -> None:
    async with fleet(tmp_path, 2) as stand:
        reader, writer = await asyncio.open_connection("127.0.0.1", stand.port)
        writer.write(line)
        writer.write_eof()
        answer = await reader.read()
        assert b"challenge" in answer and b"welcome" not in answer
        assert stand.service.counters["gates.turned_away"] == 1
        assert stand.gates["g0"].steering.lease is not None
        assert not stand.tasks["controller"].done()
        writer.transport.abort()


async def test_a_gate_without_the_key_may_not_join(tmp_path: Path) -> None:
    async with fleet(tmp_path, 2, gates=0) as stand:
        stand.secret.write_bytes(b"another key, as long as the one")
        joining = asyncio.create_task(stand.gate("g0"))
        await until(lambda: stand.service.counters["gates.turned_away"] >= 2)  # it tries again
        joining.cancel()
        assert stand.service.counters["gates.joined"] == 0


async def test_the_held_work_reaches_the_module_and_a_dead_gates_is_forgotten(tmp_path: Path) -> None:
    async with fleet(tmp_path, 2, 2, bounds="connections: 40 new_per_s: 1000 burst: 100") as stand:
        held = await boards(stand, 30, "g0")
        controller = stand.service.controller
        await until(lambda: sum(standing.held_load for standing in controller.server_statuses()) > 0.5)
        await until(lambda: sum(stand.desk.keeper.held().values()) == 30)
        await stand.kill_gate("g0")
        stand.desk.keeper.left(stand.service.clock.now() - 6_000 * MS, "g0")
        await until(lambda: "g0" not in stand.desk.keeper.gates)
        await until(lambda: sum(standing.held_load for standing in controller.server_statuses()) == 0)
        for board in held:
            await board.close()


async def test_a_second_process_of_a_gates_name_waits_for_the_lease_of_the_first(tmp_path: Path) -> None:
    async with fleet(tmp_path, 2) as stand:
        first = stand.gates["g0"]
        again = asyncio.create_task(stand.gate("g0"))
        await until(lambda: stand.service.counters["gates.turned_away"] >= 2)
        assert stand.service.counters["gates.joined"] == 1 and first.uplink and first.uplink.writer
        first.stop()
        left = asyncio.get_running_loop().time()
        await again
        assert asyncio.get_running_loop().time() - left > TOLD.lease_us / 1e6
        assert stand.service.counters["gates.joined"] == 2


async def test_xds_clients_beside_the_platforms_controller(tmp_path: Path) -> None:
    """The same turns reach the relay's proxies, gates and xDS clients."""
    async with fleet(tmp_path, 2, extra='xds { listen: "127.0.0.1:0" }') as stand:
        front = next(front for front in stand.service.beside if isinstance(front, Beside))
        await until(lambda: front.desk.address)
        one = XdsClient(front.desk.address, "c0", 1)
        running = asyncio.create_task(one.run())
        stand.list("n0", "Terminating")
        await until(lambda: stand.relay.owners == dict.fromkeys(range(12), "n1"), 15)
        await until(lambda: one.writes_to(0) == "n1")
        await until(lambda: len(stand.gates["g0"].steering.tables.owners) == 12)
        assert set(stand.gates["g0"].steering.tables.owners.values()) == {"n1"}
        await ended(running)


async def test_a_till_whose_message_waits_is_closed_in_order_and_at_once(tmp_path: Path) -> None:
    """Found by reading: its close was read only behind the message, which went nowhere any more."""
    async with fleet(tmp_path) as stand:
        key = key_at(stand, "n0")
        async with connect(stand.url("g0", f"/till?key={key}")) as till:
            stand.list("n0", "Terminating")
            await until(lambda: stand.gates["g0"].steering.tables.owners.get(slice_of(key, 12)) is None)
            await till.send(f"w {key} 1")
            with pytest.raises(ConnectionClosed):
                await till.recv()
            assert till.close_code == 1012
            await until(lambda: not stand.gates["g0"].tunnels)
        assert stand.gates["g0"].counters["screens.close_unanswered"] == 0
        assert not any(node.writes for node in stand.nodes.values())
