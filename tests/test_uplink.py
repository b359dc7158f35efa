"""A gate's stream to its controller: the handshake that opens it."""

from __future__ import annotations

import asyncio
from functools import partial
from pathlib import Path

import pytest
from parties import Party, play
from support_gate import CLASSES, QUICK, until

from lapispass.gate import wire
from lapispass.gate.service import Gate
from lapispass.operator import read as operator

SECRET = b"a key of a test, long enough"


async def answer_slowly(pause_s: float, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A controller that pauses before each of its two messages of the handshake."""
    await asyncio.sleep(pause_s)
    writer.write(wire.line(wire.Challenge("nonce")))
    hello = wire.GATE.decode(await reader.readuntil(b"\n"))
    assert isinstance(hello, wire.Hello)
    await asyncio.sleep(pause_s)
    writer.write(wire.line(wire.Welcome(wire.proof(SECRET, hello.nonce, "controller"), QUICK.lease_us)))
    await reader.read()


@pytest.mark.parametrize(("share", "joins"), [(0.2, True), (0.7, False)])
def test_the_messages_of_a_handshake_share_one_deadline(tmp_path: Path, share: float, joins: bool) -> None:
    """Guards against a time for each message: a slow controller held a gate for twice `connect_us`."""

    async def test() -> None:
        (tmp_path / "key").write_bytes(SECRET)
        file = tmp_path / "gate.textproto"
        async with Party(partial(answer_slowly, share * QUICK.connect_us / 1e6)) as controller:
            file.write_text(
                f'{CLASSES} gate {{ name: "g0" listen: "127.0.0.1:0" controller: "{controller.address}" '
                f'slices: 12 secret_file: "key" }}'
            )
            gate = Gate(operator.read(file), 1, QUICK)
            running = asyncio.create_task(gate.run())
            await until(lambda: gate.counters["uplink.joined"] or gate.counters["uplink.lost"])
            joined = gate.counters["uplink.joined"]
            gate.stop()
            await running
            assert bool(joined) == joins

    play(test())
