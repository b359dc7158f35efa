"""A standalone gate keeps one owner per slice, however its file changes; judged at its nodes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from async_tests import until
from support_gate import SHORT_LIMITS, StandaloneGate, standalone_file, standalone_gate
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed, InvalidStatus

from lapispass.core.slice_spread import spread_slices
from lapispass.core.tables import slice_of
from lapispass.gate.service import Gate
from lapispass.operator import read as operator
from lapispass.operator.read import BadFile

SLICES, WORK_MS, WRITE_LIFE_MS, TILLS = 12, 150, 300, 4
MOVED = 0  # the slice that is watched; n0 owns it at first
KEY = next(f"k{n}" for n in range(1000) if slice_of(f"k{n}", SLICES) == MOVED)


class Tills:
    """Clients that send one write after another to one slice, each once and on a connection of its own."""

    def __init__(self, env: StandaloneGate) -> None:
        self.env = env
        self.in_hand: dict[str, str] = {}  # write: node
        self.nodes: list[str] = []  # that have had a write, in the order of their first one
        self.breaks: list[str] = []
        self.refused_reads = 0
        self.closed_s = 0.0  # the longest time between two writes that began
        self.last_begun_at = 0.0
        self.stopping = False
        for name, node in env.nodes.items():
            node.on_message = lambda message, name=name: self.begun(name, message.split(" ")[2])

    def begun(self, node: str, write: str) -> None:
        for other, at in self.in_hand.items():
            if at != node and other not in {w.number for w in self.env.nodes[at].writes}:
                self.breaks.append(f"{node} begins {write} while {at} has {other} in hand")
        if node in self.nodes[:-1]:
            self.breaks.append(f"{node} gets {write} after {self.nodes[-1]} has taken over")
        if node not in self.nodes:
            self.nodes.append(node)
        self.in_hand[write] = node
        now = asyncio.get_running_loop().time()
        if self.last_begun_at:
            self.closed_s = max(self.closed_s, now - self.last_begun_at)
        self.last_begun_at = now

    async def run(self, name: str) -> None:
        chance, sent = random.Random(name), 0
        while not self.stopping:
            await asyncio.sleep(chance.uniform(0.0, 0.05))
            try:
                async with connect(self.env.url(f"/till?key={KEY}"), compression=None) as connection:
                    sent += 1
                    await connection.send(f"w {KEY} {name}-{sent} {WORK_MS}")
                    await asyncio.wait_for(connection.recv(), 2)
            except (ConnectionClosed, InvalidStatus, OSError, TimeoutError):
                pass


@asynccontextmanager
async def tills(tmp_path: Path, count: int = 3) -> AsyncIterator[Tills]:
    """A standalone gate with nodes, and clients whose writes n0 serves."""
    async with standalone_gate(tmp_path, count, write_life_ms=WRITE_LIFE_MS, grace_ms=3000) as env:
        sending = Tills(env)
        tasks = [asyncio.create_task(sending.run(f"till{n}")) for n in range(TILLS)]
        try:
            await until(lambda: len(sending.in_hand) > 2 * TILLS)
            assert sending.nodes == ["n0"]
            yield sending
        finally:
            sending.stopping = True  # a connection that is cancelled while it opens stays unclosed
            await asyncio.gather(*tasks)


def drain(env: StandaloneGate) -> None:
    env.set(n0="DRAINING")


def list_as_gone(env: StandaloneGate) -> None:
    env.set(n0="GONE")


def take_off_the_file(env: StandaloneGate) -> None:
    env.set(n0="UNLISTED")


def prefer_another(env: StandaloneGate) -> None:
    env.file_options["lines"] = {MOVED: "n1"}
    env.set()


def drain_and_let_in_again(env: StandaloneGate) -> None:
    env.set(n0="DRAINING")
    env.set(n0="READY")
    prefer_another(env)


@pytest.mark.parametrize(
    "change", [drain, list_as_gone, take_off_the_file, prefer_another, drain_and_let_in_again]
)
async def test_a_change_of_the_file_gives_no_slice_two_writers(
    tmp_path: Path, change: Callable[[StandaloneGate], None]
) -> None:
    """Guards against two owners: the next one had writes while the former one still worked on some."""
    async with tills(tmp_path) as sending:
        change(sending.env)
        await until(lambda: len(sending.nodes) > 1)
        begun = len(sending.in_hand)
        await until(lambda: len(sending.in_hand) > begun + 2 * TILLS)
        assert not sending.breaks


async def test_two_changes_of_the_file_in_a_row_hand_over_one_after_the_other(tmp_path: Path) -> None:
    """Guards against a slice that moves on before its last handover is over."""
    async with tills(tmp_path) as sending:
        sending.env.set(n0="DRAINING")
        await until(lambda: sending.env.gate.steering.tables.owner(MOVED) is None)
        sending.env.set(n1="DRAINING")
        await until(lambda: "n2" in sending.nodes)
        begun = len(sending.in_hand)
        await until(lambda: len(sending.in_hand) > begun + 2 * TILLS)
        assert not sending.breaks


async def test_a_slice_that_moves_is_read_at_its_next_owner_before_it_is_written_there(
    tmp_path: Path,
) -> None:
    """Guards against readers that wait as long as writers do, when nodes may work on writes for long."""
    async with standalone_gate(tmp_path, 2, write_life_ms=4000, grace_ms=3000) as env:
        steering = env.gate.steering
        assert steering.tables.owner(MOVED) == "n0"
        drained_at = asyncio.get_running_loop().time()
        env.set(n0="DRAINING")
        await until(lambda: steering.tables.owner(MOVED) == "n1")
        assert asyncio.get_running_loop().time() - drained_at < operator.GATE_UNSERVED_US / 1e6
        assert not steering.tables.may_write(MOVED, "n1")
        await until(lambda: steering.tables.may_write(MOVED, "n1"))
        assert asyncio.get_running_loop().time() - drained_at >= 4.0


async def test_a_restarted_gate_sends_no_write_while_one_of_its_earlier_process_may_live(
    tmp_path: Path,
) -> None:
    """Guards against two owners: a file that changed while the gate was down, and writes from before."""
    async with standalone_gate(tmp_path, 2, write_life_ms=600) as env:
        again = Gate(operator.read(env.file), 8, SHORT_LIMITS)
        running = asyncio.create_task(again.run())
        started_at = asyncio.get_running_loop().time()
        await until(lambda: again.address)
        async with connect(f"ws://{again.address}/board?key={KEY}") as board:  # reads are served at once
            await board.send("on")
            assert await board.recv() == "on"
        with pytest.raises(InvalidStatus) as refused:
            await connect(f"ws://{again.address}/till?key={KEY}")
        assert refused.value.response.status_code == 503
        assert int(refused.value.response.headers["Retry-After-Ms"]) > 0
        await until(lambda: again.steering.allows_writes(again.clock.now()))
        assert asyncio.get_running_loop().time() - started_at >= 0.5
        async with connect(f"ws://{again.address}/till?key={KEY}") as till:
            await till.send(f"w {KEY} 1")
            assert await till.recv() == "ok 1"
        again.stop()
        await running


def test_the_life_of_a_write_is_a_setting_of_standalone_gates_alone(tmp_path: Path) -> None:
    """Guards against a setting that is accepted and has no effect."""
    file = tmp_path / "gate.textproto"
    text = standalone_file({"n0": ("127.0.0.1:1", "READY")}, write_life_ms=0)
    file.write_text(text)
    with pytest.raises(BadFile, match=r"gate\.write_life_ms: expected a number above 0"):
        operator.read(file)
    node = 'node { id: "n0" address: "127.0.0.1:1" state: READY }'
    with_controller = text.replace(node, "").replace('name: "g"', 'name: "g" controller: "127.0.0.1:2"')
    file.write_text(with_controller.replace("write_life_ms: 0", "write_life_ms: 100"))
    with pytest.raises(BadFile, match=r"gate\.write_life_ms: only for a standalone gate"):
        operator.read(file)


def test_slices_are_dealt_out_in_turn_at_first() -> None:
    """Guards against a restart that gives unchanged files other owners."""
    assert spread_slices(5, ["a", "b"], {}, {}) == {0: "a", 1: "b", 2: "a", 3: "b", 4: "a"}
    assert spread_slices(3, [], {0: "a"}, {}) == {}


def test_a_changed_list_of_nodes_moves_as_few_slices_as_it_can() -> None:
    """Guards against a drain of one node that closes the writes of nearly all slices."""
    nodes = [f"n{n}" for n in range(8)]
    current = spread_slices(96, nodes, {}, {})
    without = spread_slices(96, nodes[1:], {}, current)
    assert all(without[number] == node for number, node in current.items() if node != "n0")
    back = spread_slices(96, nodes, {}, without)
    assert sum(back[number] != without[number] for number in range(96)) == 12
    assert sorted(back.values()).count("n0") == 12


def test_pinned_slices_go_to_their_node_while_it_is_ready() -> None:
    """Guards against an operator's order that the spread overrules."""
    assert spread_slices(4, ["a", "b"], {0: "b", 1: "gone"}, {0: "a", 2: "a"})[0] == "b"
    assert spread_slices(4, ["a", "b"], {1: "gone"}, {})[1] == "b"
