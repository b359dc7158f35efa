"""Short soak runs; `soak.py` says how to start the long run by hand."""

from __future__ import annotations

import asyncio
import random
import signal
import subprocess
from pathlib import Path
from types import SimpleNamespace

import pytest
from faulty_process import PORT_COUNT, RECORD, Call, Controller, Faults
from parties import LoopbackServer, play
from soak import PING, PONG, Client, ProcessRun, Verdict, play_day


@pytest.mark.parametrize("seed", range(1, 6))
def test_no_request_is_lost_on_a_day_until_the_kill(tmp_path: Path, seed: int) -> None:
    async def test() -> None:
        verdict = await play_day(seed, tmp_path)
        assert not verdict.breaches, str(verdict)
        assert verdict.answered > 500, str(verdict)

    play(test(), 90)


async def test_a_signal_leaves_the_status_of_an_ended_process_to_the_watcher(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against runs that end with a status of 255 though the process ended in order."""
    process = await asyncio.create_subprocess_exec("sh", "-c", "read line; exit 3", stdin=subprocess.PIPE)
    running = Controller(process, Faults(tmp_path / "faults"), ("127.0.0.1", 1))
    monkeypatch.setattr(subprocess.Popen, "poll", lambda popen: pytest.fail("the status was asked for"))
    running.signal(signal.SIGCONT)
    monkeypatch.undo()
    await process.communicate(b"\n")
    assert process.returncode == 3
    with pytest.raises(ProcessLookupError):
        running.signal(signal.SIGCONT)


def day(faults: Faults, due_s: float = 1.0) -> ProcessRun:
    running = SimpleNamespace(faults=faults, lines=[])
    return ProcessRun(running, random.Random(1), Verdict(1), False, due_s=due_s)  # type: ignore[arg-type]


def test_the_judge_sees_a_request_that_was_read_and_not_answered(tmp_path: Path) -> None:
    faults = Faults(tmp_path / "faults")
    client = Client(judged := day(faults))
    client.port, client.read_before, client.answered = 40_000, 0, 2
    client.writer = SimpleNamespace(close=lambda: None)  # type: ignore[assignment]
    offset = RECORD.size * len(Call) + PORT_COUNT.size * client.port
    for read, breaches in ((2 * len(PING) + 3, 0), (3 * len(PING), 1)):
        PORT_COUNT.pack_into(faults.records, offset, read)
        client.judge()
        assert len(judged.verdict.breaches) == breaches


@pytest.mark.parametrize(
    ("said", "due_s", "breach"),
    [
        (PONG, 1.0, ""),
        (PONG, 0.05, "late"),
        (PONG + b"NACK why=unreadable\r\n", 1.0, "unasked"),
        (b"NACK why=unreadable\r\n", 1.0, "unasked"),
        (PONG[:4], 1.0, "half an answer"),
        (b"", 1.0, "ended without a reason"),
    ],
)
def test_the_judge_sees_what_a_client_gets(tmp_path: Path, said: bytes, due_s: float, breach: str) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(len(PING))
        await asyncio.sleep(0.1)
        writer.write(said)
        if said.endswith(b"\n"):
            await reader.read()

    async def test() -> None:
        judged = day(Faults(tmp_path / "faults"), due_s)
        async with LoopbackServer(serve) as server:
            address = server.address.split(":")
            judged.running.connect = lambda: asyncio.open_connection(*address)  # type: ignore[method-assign]
            client = Client(judged)
            await client.connect()
            if await client.ask(1):
                await client.stays_silent(0.05)
            client.judge()
        found = " ".join(judged.verdict.breaches)
        assert breach in found if breach else not found

    play(test())
