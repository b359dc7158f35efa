"""One bound on what a process holds for its clients, at each listener."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from faulty_process import Controller, controller, free_address
from half_requests import MAX_ANSWER_S, peak_memory_mb, stop_half_way

from lapispass.core.memory_budget import FREE_BYTES, MIB, MemoryBudget, needed_memory_mb, plan_memory
from lapispass.net.limits import Limits
from lapispass.net.streams import CountedReader, OverMemory

pytestmark = pytest.mark.time_limit(60)


def test_small_requests_are_held_even_when_large_ones_have_used_the_sum() -> None:
    budget = MemoryBudget(10 * FREE_BYTES)
    large, second, small = (budget.open_account() for _ in range(3))
    assert large.hold(10 * FREE_BYTES) and not second.hold(3 * FREE_BYTES)
    assert second.counted == 0 and small.hold(FREE_BYTES)
    large.close()
    assert second.hold(3 * FREE_BYTES) and budget.used_bytes == 2 * FREE_BYTES
    assert second.hold(0) and budget.used_bytes == 0


async def test_input_that_comes_while_its_connection_ends_is_not_counted() -> None:
    """Guards against a sum that rejected clients use up for good."""
    budget = MemoryBudget(10 * FREE_BYTES)
    reader = CountedReader(1 << 20, budget.open_account())
    reader.feed_data(bytes(3 * FREE_BYTES))
    assert budget.used_bytes == 2 * FREE_BYTES
    reader.account.close()
    reader.feed_data(bytes(4 * FREE_BYTES))
    assert budget.used_bytes == 0
    with pytest.raises(OverMemory):
        await reader.readuntil(b"\n")


def test_unidentified_clients_leave_half_of_the_sum_to_others() -> None:
    budget = MemoryBudget(10 * FREE_BYTES)
    stranger, gate = budget.open_account(), budget.open_account()
    assert not stranger.hold(7 * FREE_BYTES, is_identified=False)
    assert stranger.hold(6 * FREE_BYTES, is_identified=False) and gate.hold(6 * FREE_BYTES)
    assert stranger.hold(2 * FREE_BYTES, is_identified=False)  # less than before is always held


@pytest.mark.parametrize("memory_mb", [32, 48, 64, 192, 2048])
def test_the_sum_of_the_bounds_is_within_the_memory(memory_mb: int) -> None:
    limits = Limits.for_sockets(4096, memory_mb=memory_mb)
    plan = plan_memory(memory_mb, 26, 512, 10 << 10)
    assert limits.connections == plan.connections and limits.client_bytes == plan.client_bytes
    held = limits.connections * (10 * 1024 + FREE_BYTES) + limits.client_bytes
    assert 26 + held / MIB <= memory_mb
    assert plan_memory(needed_memory_mb(26, 512, 10 << 10), 26, 512, 10 << 10).connections == 512


async def test_half_lines_before_a_gate_is_proven_pass_no_memory_limit(tmp_path: Path) -> None:
    """Guards against lines of 4 MiB that any client may begin at the listener for gates."""
    listen, file = free_address(), tmp_path / "gates.textproto"
    (tmp_path / "secret").write_text("0123456789abcdef")
    kind = 'connection_class { name: "board" path_prefix: "/board" }'
    file.write_text(f'{kind} gates {{ listen: "{listen[0]}:{listen[1]}" name: "g" secret_file: "secret" }}')
    arguments = ("run", "-o", str(file))
    limits = {"memory_mb": 64, "sockets": 1024}
    async with controller(tmp_path, limits=limits, arguments=arguments) as running:
        await running.wait_for_log("listening for gates")
        request = b'{"x":"' + b"x" * (2 << 20)
        clients, slowest = await stop_half_way(listen, 200, request, 2.5, lambda: ping_time(running))
        assert peak_memory_mb(running.process.pid) < 64
        assert slowest < MAX_ANSWER_S
        assert not any(client.has_stayed for client in clients)
        assert sum(b"no memory" in client.answer for client in clients) > 150


async def ping_time(running: Controller) -> float:
    """How long a new client waits for its answer."""
    loop = asyncio.get_running_loop()
    begun = loop.time()
    reader, writer = await running.connect()
    writer.write(b"PING\r\n")
    assert await reader.read(100) == b"PONG\r\n"
    writer.transport.abort()
    return loop.time() - begun


@pytest.mark.parametrize("first", [b"", b"SOURCE zone=a\r\n"])
async def test_half_lines_of_hundreds_of_clients_pass_no_memory_limit(tmp_path: Path, first: bytes) -> None:
    """Guards against a process that is killed for memory while clients stop half way through a line."""
    async with controller(tmp_path, limits={"memory_mb": 48, "sockets": 1024}) as running:
        request = first + b"LOAD endpoint=" + b"x" * (1 << 20)
        clients, slowest = await stop_half_way(running.address, 300, request, 2.5, lambda: ping_time(running))
        assert peak_memory_mb(running.process.pid) < 48
        assert slowest < MAX_ANSWER_S
        assert not any(client.has_stayed for client in clients)  # refused, or too slow with their line
        counters = await running.counters()
        assert counters["collectors.ended.over_memory"] > 200
