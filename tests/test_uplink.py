"""The handshake of a gate's connection to its controller."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path

import pytest
from parties import LoopbackServer, play
from support_gate import CLASSES, SHORT_LIMITS, until

from lapispass.gate import wire
from lapispass.gate.service import Gate
from lapispass.operator import read as operator

SECRET = b"a key of a test, long enough"


@asynccontextmanager
async def gate_at(controller: str, folder: Path) -> AsyncIterator[Gate]:
    """A gate that joins the controller at this address. It runs until the block ends and is stopped in
    order."""
    (folder / "key").write_bytes(SECRET)
    file = folder / "gate.textproto"
    file.write_text(
        f'{CLASSES} gate {{ name: "g0" listen: "127.0.0.1:0" controller: "{controller}" '
        f'slices: 12 secret_file: "key" }}'
    )
    gate = Gate(operator.read(file), 1, SHORT_LIMITS)
    running = asyncio.create_task(gate.run())
    try:
        yield gate
    finally:
        gate.stop()
        await running


async def answer_slowly(pause_s: float, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A controller that pauses before each of its two messages of the handshake."""
    await asyncio.sleep(pause_s)
    writer.write(wire.encode_line(wire.Challenge("nonce")))
    hello = wire.GATE_DECODER.decode(await reader.readuntil(b"\n"))
    assert isinstance(hello, wire.Hello)
    await asyncio.sleep(pause_s)
    writer.write(
        wire.encode_line(wire.Welcome(wire.proof(SECRET, hello.nonce, "controller"), SHORT_LIMITS.lease_us))
    )
    await reader.read()


@pytest.mark.parametrize(("share", "joins"), [(0.2, True), (0.7, False)])
def test_the_messages_of_a_handshake_share_one_deadline(tmp_path: Path, share: float, joins: bool) -> None:
    """With a time limit for each message, a slow controller could hold a gate for twice `connect_us`."""

    async def test() -> None:
        pause_s = share * SHORT_LIMITS.connect_us / 1e6
        async with (
            LoopbackServer(partial(answer_slowly, pause_s)) as controller,
            gate_at(controller.address, tmp_path) as gate,
        ):
            await until(lambda: gate.counters["uplink.joined"] or gate.counters["uplink.lost"])
            assert bool(gate.counters["uplink.joined"]) == joins

    play(test())


async def never_end_a_line(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A controller whose first message never ends."""
    try:
        while True:
            writer.write(bytes(1 << 20))
            await writer.drain()
    except OSError:
        pass


def test_a_line_without_end_costs_a_gate_its_stream_alone(tmp_path: Path) -> None:
    """A line longer than `line_bytes` from the controller once ended the whole gate with all its
    connections."""

    async def test() -> None:
        async with (
            LoopbackServer(never_end_a_line) as controller,
            gate_at(controller.address, tmp_path) as gate,
        ):
            await until(lambda: gate.counters["uplink.lost"] >= 2)
            assert not gate.counters["uplink.joined"]

    play(test())
