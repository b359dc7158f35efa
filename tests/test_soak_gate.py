"""Short days of the gate's soak; `soak_gate.py` says how to start the long run by hand."""

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
from soak_gate import Client, GateDay, carried_twice, play_day

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


def client(folder: Path, connect: Callable[[], Any] | None = None) -> Client:
    running = SimpleNamespace(faults=Faults(folder / "faults"), lines=[], connect=connect)
    day = GateDay(running, random.Random(1), Verdict(1), is_crowded=False)  # type: ignore[arg-type]
    return Client(day, "c")


def test_the_judge_sees_an_upgrade_that_was_read_whole_and_got_no_status(tmp_path: Path) -> None:
    one = client(tmp_path)
    one.port, one.read_before = 40_000, 0
    place = RECORD.size * len(Call) + PORT_COUNT.size * one.port
    for read, status, breaches in (
        (len(one.ask) - 1, b"", 0),
        (len(one.ask), GRANTED, 0),
        (len(one.ask), b"", 1),
    ):
        PORT_COUNT.pack_into(one.day.running.faults.records, place, read)
        one.status = status
        one.judge()
        assert len(one.day.verdict.breaches) == breaches


@pytest.mark.parametrize(
    ("said", "breach"),
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
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, said: bytes, breach: str
) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(said)
        await reader.read()

    async def test() -> None:
        monkeypatch.setattr(soak_gate, "ANSWER_S", 0.3)
        async with LoopbackServer(serve) as party:
            address = party.address.split(":")
            one = client(tmp_path, lambda: asyncio.open_connection(*address))
            living = asyncio.create_task(one.live(pauses_s=(10.0,)))
            await asyncio.wait((living,), timeout=1.0)
            living.cancel()
            await asyncio.gather(living, return_exceptions=True)
        assert len(one.day.verdict.breaches) == bool(breach)
        assert all(breach in text for text in one.day.verdict.breaches)

    play(test())


def test_the_judge_sees_a_write_that_two_servers_have_carried_out() -> None:
    nodes = [CounterNode("n0"), CounterNode("n1")]
    nodes[0].writes += [Write(1, "n0", "k", "c-0"), Write(2, "n0", "k", "c-1")]
    assert not carried_twice(nodes)
    nodes[1].writes.append(Write(3, "n1", "k", "c-0"))
    assert carried_twice(nodes) == {"c-0": 2}
