"""Short runs of the gate's soak test, and tests of its checks. `soak_gate.py` says how to start a long
run."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
import soak_gate
from faulty_process import PORT_COUNT, RECORD, Call, Faults
from parties import LoopbackServer, play
from soak import Verdict
from soak_gate import Client, GateDay, duplicate_writes, play_day

from lapispass.standins.nodes import CounterNode, Write

GRANTED = b"HTTP/1.1 101 Switching Protocols\r\n\r\n"
OK = b"ok c-0"


@pytest.mark.parametrize("seed", range(1, 3))
def test_every_client_of_a_gate_is_answered_or_freed_until_the_kill(tmp_path: Path, seed: int) -> None:
    async def test() -> None:
        verdict = await play_day(seed, tmp_path)
        assert not verdict.breaches, str(verdict)
        assert verdict.answered > 200, str(verdict)

    play(test(), 60)


def make_client(folder: Path, connect: Callable[[], Any] | None = None) -> Client:
    running = SimpleNamespace(faults=Faults(folder / "faults"), lines=[], connect=connect)
    day = GateDay(running, random.Random(1), Verdict(1), is_crowded=False)  # type: ignore[arg-type]
    return Client(day, "c")


def test_the_judge_sees_an_upgrade_that_was_read_whole_and_got_no_status(tmp_path: Path) -> None:
    client = make_client(tmp_path)
    client.port, client.read_before = 40_000, 0
    offset = RECORD.size * len(Call) + PORT_COUNT.size * client.port
    for read, status, breaches in (
        (len(client.request) - 1, b"", 0),
        (len(client.request), GRANTED, 0),
        (len(client.request), b"", 1),
    ):
        PORT_COUNT.pack_into(client.day.running.faults.records, offset, read)
        client.status = status
        client.check_upgrade_answered()
        assert len(client.day.verdict.breaches) == breaches


@pytest.mark.parametrize(
    ("sent", "breach"),
    [
        (GRANTED + bytes((0x81, len(OK))) + OK, ""),
        (GRANTED + bytes((0x01, 2)) + OK[:2] + bytes((0x80, len(OK) - 2)) + OK[2:], ""),
        (GRANTED + bytes((0x81, 3)) + b"odd", "another answer"),
        (GRANTED + bytes((0x82, 1)) + b"x" + bytes((0x81, len(OK))) + OK, "a frame"),
        (GRANTED, "message: neither"),
        (b"HTTP/1.1 101", "upgrade: neither"),
    ],
)
def test_the_judge_sees_what_a_client_gets(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, sent: bytes, breach: str
) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(sent)
        await reader.read()

    async def test() -> None:
        monkeypatch.setattr(soak_gate, "ANSWER_S", 0.3)
        async with LoopbackServer(serve) as party:
            address = party.address.split(":")
            client = make_client(tmp_path, lambda: asyncio.open_connection(*address))
            running_client = asyncio.create_task(client.run(pauses_s=(10.0,)))
            await asyncio.wait((running_client,), timeout=1.0)
            running_client.cancel()
            await asyncio.gather(running_client, return_exceptions=True)
        assert len(client.day.verdict.breaches) == bool(breach)
        assert all(breach in text for text in client.day.verdict.breaches)

    play(test())


def test_the_judge_sees_a_write_that_two_servers_have_carried_out() -> None:
    nodes = [CounterNode("n0"), CounterNode("n1")]
    nodes[0].writes += [Write(1, "n0", "k", "c-0"), Write(2, "n0", "k", "c-1")]
    assert not duplicate_writes(nodes)
    nodes[1].writes.append(Write(3, "n1", "k", "c-0"))
    assert duplicate_writes(nodes) == {"c-0": 2}
