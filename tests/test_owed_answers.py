"""Whatever makes a held connection leave its node: what the node has taken is answered, or the client is
closed with a time to come back. Each test guards against an answer that was cut off or never came."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path

import pytest
from support_gate import MS, SHORT_LIMITS, StandaloneGate, standalone_file, standalone_gate, until
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed
from working_nodes import AskingClient, Work, WorkingNode, asking

from lapispass.core.tables import slice_of
from lapispass.gate.tunnel import Tunnel
from lapispass.operator import read as operator

pytestmark = pytest.mark.time_limit(30)
ANSWER_MS = 400
CLASSES = f"""
connection_class {{ name: "board" path_prefix: "/board" movable: true answer_ms: {ANSWER_MS} }}
connection_class {{ name: "till" path_prefix: "/till" answer_ms: {ANSWER_MS} }}
connection_class {{ name: "desk" path_prefix: "/desk" writes: true movable: true answer_ms: {ANSWER_MS} }}
"""
CLIENTS = 6
STAND_STILL_S = 0.5
GRACE_S, MARGIN_S = 2.7, 0.5
LIMITS = replace(SHORT_LIMITS, ping_us=5_000 * MS, pong_us=2_000 * MS, fence_us=800 * MS)
WORKS = {
    "one question": (Work(), 1),
    "two at once": (Work(takes_several=True), 2),
    "one after the other": (Work(work_s=0.15), 2),
    "in parts": (Work(work_s=0.1, parts=4), 1),
    "news between": (Work(push_s=0.02), 1),
    "stands still": (Work(push_s=0.02), 1),
}


@asynccontextmanager
async def working_gate(
    folder: Path, work: Work, grace_s: float = GRACE_S, lines: dict[int, str] | None = None
) -> AsyncIterator[StandaloneGate]:
    """A gate before two nodes that work like this."""
    nodes = {name: WorkingNode(name, work) for name in ("n0", "n1")}
    async with standalone_gate(
        folder,
        limits=LIMITS,
        nodes=nodes,  # type: ignore[arg-type]
        classes=CLASSES,
        grace_ms=round(grace_s * 1000),
        margin_ms=round(MARGIN_S * 1000),
        lines=lines,
    ) as env:
        yield env


def clients_of(env: StandaloneGate, path: str, at_once: int = 1, count: int = CLIENTS) -> list[AskingClient]:
    """Clients of one class, with keys of slice 0 where the class needs one."""
    keys = (f"k{number}" for number in range(1000))
    key = next(key for key in keys if slice_of(key, 12) == 0)
    return [AskingClient(env.url(f"{path}?key={key}"), f"c{number}", at_once) for number in range(count)]


def boards(env: StandaloneGate, at_once: int = 1, count: int = CLIENTS) -> list[AskingClient]:
    """Clients of a class that has no key, so that any node may serve them."""
    return [AskingClient(env.url("/board"), f"c{number}", at_once) for number in range(count)]


def serving(env: StandaloneGate) -> str:
    """The first node that holds a connection."""
    return next(name for name, node in env.nodes.items() if node.held)


def taken(env: StandaloneGate) -> set[str]:
    return {question for node in env.nodes.values() for question in node.taken}  # type: ignore[attr-defined]


def check_answered(env: StandaloneGate, clients: list[AskingClient]) -> None:
    """No question that a node has taken is without its answer, nor was one cut off."""
    assert sum(len(client.waits) for client in clients) >= len(clients)
    cut = {question for client in clients for question in client.cut}
    assert not cut & taken(env)
    assert max(client.longest_wait_s() for client in clients) < 2 * ANSWER_MS / 1000 + STAND_STILL_S


async def begin(env: StandaloneGate, clients: list[AskingClient], behaviour: str) -> None:
    """Waits until all clients have questions under way; has the nodes stand still if that is meant."""
    await until(lambda: all(client.waits for client in clients))
    await until(lambda: sum(bool(client.waiting) for client in clients) > CLIENTS // 2)
    if behaviour == "stands still":
        for node in env.nodes.values():
            node.stand_still(STAND_STILL_S)  # type: ignore[attr-defined]


@pytest.mark.parametrize("behaviour", WORKS)
@pytest.mark.parametrize("state", ["DRAINING", "UNLISTED"])
async def test_a_move_waits_for_the_answers_of_the_old_node(
    tmp_path: Path, state: str, behaviour: str
) -> None:
    work, at_once = WORKS[behaviour]
    async with working_gate(tmp_path, work) as env:
        clients = boards(env, at_once)
        async with asking(clients):
            await begin(env, clients, behaviour)
            env.set(n0=state)
            await until(lambda: not env.nodes["n0"].held)
            await asyncio.sleep(0.6)
            check_answered(env, clients)
        assert env.gate.counters["moves.done"] and not env.gate.counters["screens.closed_1012"]


@pytest.mark.parametrize("behaviour", WORKS)
async def test_a_close_in_order_waits_for_the_answers_of_the_node(tmp_path: Path, behaviour: str) -> None:
    work, at_once = WORKS[behaviour]
    async with working_gate(tmp_path, work, lines={0: "n0"}) as env:
        clients = clients_of(env, "/till", at_once)
        async with asking(clients) as tasks:
            await begin(env, clients, behaviour)
            env.set(n0="DRAINING")
            await asyncio.wait(tasks, timeout=GRACE_S + 1)
            check_answered(env, clients)
        assert {client.close_code for client in clients} == {1012}
        assert all(client.is_told_when_to_return() for client in clients)


@pytest.mark.parametrize("behaviour", WORKS)
async def test_a_gate_that_ends_waits_for_the_answers_of_its_nodes(tmp_path: Path, behaviour: str) -> None:
    work, at_once = WORKS[behaviour]
    async with working_gate(tmp_path, work) as env:
        clients = boards(env, at_once)
        async with asking(clients) as tasks:
            await begin(env, clients, behaviour)
            env.gate.stop()
            await asyncio.wait(tasks, timeout=LIMITS.stop_us / 1e6)
            check_answered(env, clients)
        assert {client.close_code for client in clients} == {1001}
        assert all(client.is_told_when_to_return() for client in clients)


@pytest.mark.parametrize("behaviour", ["one question", "stands still"])
async def test_a_new_owner_takes_over_after_the_answers_of_the_former_one(
    tmp_path: Path, behaviour: str
) -> None:
    work, at_once = WORKS[behaviour]
    async with working_gate(tmp_path, work, lines={0: "n0"}) as env:
        clients = clients_of(env, "/desk", at_once)
        async with asking(clients):
            await begin(env, clients, behaviour)
            env.file_options["lines"] = {0: "n1"}
            env.set()
            await until(lambda: not env.nodes["n0"].held)
            await asyncio.sleep(0.6)
            check_answered(env, clients)
            assert env.gate.counters["moves.done"] == CLIENTS


@pytest.mark.parametrize("behaviour", ["works on", "stands still"])
@pytest.mark.parametrize("path", ["/board", "/till"])
async def test_what_is_not_answered_by_the_deadline_is_closed_with_when_to_return(
    tmp_path: Path, path: str, behaviour: str
) -> None:
    """A move that waited for a node that stood still once lasted beyond the grace."""
    loop = asyncio.get_running_loop()
    async with working_gate(tmp_path, Work(work_s=30), grace_s=1.3, lines={0: "n0"}) as env:
        clients = boards(env) if path == "/board" else clients_of(env, path)
        async with asking(clients) as tasks:
            await until(lambda: len(taken(env)) == CLIENTS)
            if behaviour == "stands still":
                env.nodes["n0"].stand_still(5)  # type: ignore[attr-defined]
            begun = loop.time()
            env.set(n0="DRAINING", n1="DRAINING" if path == "/board" else "READY")
            await asyncio.wait(tasks, timeout=5)
            assert loop.time() - begun < 1.3
        assert {client.close_code for client in clients} == {1012}
        assert all(client.is_told_when_to_return() for client in clients)
        assert not env.gate.counters["moves.done"]


@pytest.mark.parametrize("how", ["reset", "closed"])
async def test_a_node_that_ends_while_it_works_has_its_clients_closed(tmp_path: Path, how: str) -> None:
    """Also where the node is known to have read the question, as after a change of the tables."""
    async with working_gate(tmp_path, Work(work_s=10)) as env:
        clients = boards(env)
        async with asking(clients) as tasks:
            await until(lambda: len(taken(env)) == CLIENTS)
            for tunnel in env.gate.tunnels.values():
                tunnel.start_fence(env.gate.clock.now())
            await until(lambda: not any(held.unconfirmed for held in env.gate.steering.connections))
            for node in env.nodes.values():
                if how == "reset":
                    node.kill()
                else:
                    for connection in list(node.held):
                        await connection.close(1001)
            await asyncio.wait(tasks, timeout=5)
        assert {client.close_code for client in clients} == {1012}
        assert all(client.is_told_when_to_return() for client in clients)


async def test_a_late_answer_still_comes_and_the_client_is_closed_then(tmp_path: Path) -> None:
    """A node that takes longer than the answer time of the class was once left with the answer unsent."""
    async with working_gate(tmp_path, Work(work_s=1.2, parts=2, part_s=0.2)) as env:
        clients = boards(env, count=1)
        async with asking(clients) as tasks:
            await until(lambda: taken(env))
            env.set(**{serving(env): "DRAINING"})
            await asyncio.wait(tasks, timeout=5)
        assert len(clients[0].waits) == 1 and clients[0].close_code == 1012
        assert not {question for question in clients[0].cut if question in taken(env)}


async def test_a_connection_whose_question_was_never_answered_is_closed_and_not_moved(tmp_path: Path) -> None:
    """Guards against a client that waits for good for an answer which its node gave up."""
    async with working_gate(tmp_path, Work(work_s=30), grace_s=1.3) as env:
        async with connect(env.url("/board")) as connection:
            await connection.send("x")
            await asyncio.sleep(1.0)  # longer than a drain may last
            env.set(**{serving(env): "DRAINING"})
            with pytest.raises(ConnectionClosed):
                await asyncio.wait_for(connection.recv(), 3)
            assert connection.close_code == 1012 and "come-back-ms=" in (connection.close_reason or "")
        assert not env.gate.counters["moves.done"]


async def test_an_idle_connection_is_moved_at_once(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The price of the wait: none where the client has asked for nothing lately."""
    times: dict[str, float] = {}

    def record(name: str) -> None:
        original = getattr(Tunnel, name)

        def recording(*arguments: object) -> object:
            times[name] = asyncio.get_running_loop().time()
            return original(*arguments)

        monkeypatch.setattr(Tunnel, name, recording)

    record("begin_move")
    record("switch")
    async with working_gate(tmp_path, Work(work_s=0.01)) as env, connect(env.url("/board")) as connection:
        await connection.send("x")
        assert await connection.recv() == "x end"
        await asyncio.sleep(1.5 * ANSWER_MS / 1000)
        former = serving(env)
        env.set(**{former: "DRAINING"})
        await until(lambda: not env.nodes[former].held)
        assert times["switch"] - times["begin_move"] < ANSWER_MS / 2000


async def test_a_client_whose_message_waits_too_long_is_closed_with_when_to_return(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a client that was dropped as silent, since the gate read no pong behind its message."""
    async with standalone_gate(tmp_path, 1) as env, connect(env.url("/till?key=a")) as till:
        monkeypatch.setattr(env.gate.steering, "may_write", lambda now, held: False)
        await till.send("w a 1")
        with pytest.raises(ConnectionClosed):
            await asyncio.wait_for(till.recv(), 3)
        assert till.close_code == 1012 and "come-back-ms=" in (till.close_reason or "")


@pytest.mark.parametrize(("answer_ms", "is_refused"), [(0, False), (2_199, False), (2_200, True)])
def test_an_answer_time_that_no_drain_allows_is_refused(
    tmp_path: Path, answer_ms: int, is_refused: bool
) -> None:
    """Guards against drains that close every connection because none can be waited for."""
    classes = CLASSES.replace(f"answer_ms: {ANSWER_MS}", f"answer_ms: {answer_ms}", 1)
    file = tmp_path / "gate.textproto"
    file.write_text(standalone_file({"n0": ("127.0.0.1:1", "READY")}, 2_700, classes=classes, margin_ms=500))
    if not is_refused:
        assert operator.classes(operator.read(file).settings)[0].answer_us == answer_ms * MS
        return
    with pytest.raises(operator.BadFile) as caught:
        operator.read(file)
    assert f"{file}:2: connection_class.answer_ms: 2200 is not shorter" in str(caught.value)


@pytest.mark.parametrize("steps", range(5))
async def test_a_message_that_comes_as_its_node_dies_is_answered_or_closed(
    tmp_path: Path, steps: int
) -> None:
    """Guards against a message that was dropped since the node's connection had just been lost, in any order
    of the two events."""
    async with working_gate(tmp_path, Work(work_s=0.05)) as env:
        connections = [await connect(env.url("/board"), compression=None) for _ in range(CLIENTS)]
        dying = env.nodes[serving(env)]
        dying.die()  # type: ignore[attr-defined]
        for _ in range(steps):
            await asyncio.sleep(0)
        for connection in connections:
            await connection.send("question")
        for connection in connections:
            async with asyncio.timeout(3):
                try:
                    assert str(await connection.recv()).endswith(" end")
                except ConnectionClosed:
                    assert connection.close_code == 1012
            await connection.close()
