"""Start, reload and shutdown of a real controller process while its system calls fail temporarily."""

from __future__ import annotations

import asyncio
import errno
import signal
from pathlib import Path

import pytest
from faulty_process import Call, Faults, controller, errno_name, free_address, process
from parties import RelayServer

PING, PONG = b"PING\r\n", b"PONG\r\n"
LOCAL_ERRORS = (errno.EADDRNOTAVAIL, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM)


async def pong(address: tuple[str, int]) -> bytes:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(PING)
    try:
        return await asyncio.wait_for(reader.readexactly(len(PONG)), 1)
    finally:
        writer.close()


@pytest.mark.time_limit(60)
async def test_a_start_goes_on_where_calls_fail_for_a_moment(tmp_path: Path) -> None:
    # Any error other than an address in use prevented the start.
    wrong = {}
    cases = [(Call.BIND, error) for error in LOCAL_ERRORS]
    cases += [(Call.SOCKET, error) for error in LOCAL_ERRORS[1:]]
    cases += [(Call.OPEN, error) for error in (errno.EIO, errno.ENFILE, errno.EMFILE, errno.ENOMEM)]
    for call, error in cases:
        folder = tmp_path / f"{call.name}-{error}"
        folder.mkdir()
        faults = Faults(folder / "faults")
        faults.set(call, error, times=3)
        environment = {"LAPISPASS_FAULTS_OPEN": str(folder / "config.json")}
        try:
            async with controller(folder, faults=faults, environment=environment) as running:
                if await pong(running.address) != PONG or faults.injected(call) < 3:
                    wrong[call.name, errno_name(error)] = faults.injected(call)
        except AssertionError as failure:
            wrong[call.name, errno_name(error)] = str(failure)
    assert not wrong


async def test_a_reload_goes_on_where_the_file_cannot_be_read_for_a_moment(tmp_path: Path) -> None:
    # The signal is sent once. After a failed read, the new address was never used.
    environment = {"LAPISPASS_FAULTS_OPEN": str(tmp_path / "config.json")}
    async with controller(tmp_path, environment=environment) as running:
        for error in (errno.EIO, errno.ENFILE):
            running.faults.set(Call.OPEN, error, times=3)
            after = len(running.lines)
            running.signal(signal.SIGHUP)
            await running.wait_for_log("configuration reloaded", after, limit_s=3)
            assert running.faults.injected(Call.OPEN)


async def test_a_process_that_is_told_to_end_answers_what_has_come(tmp_path: Path) -> None:
    async with controller(tmp_path) as running:
        clients = [await running.connect() for _ in range(8)]
        for reader, writer in clients[4:]:
            writer.write(PING)
            assert await reader.readexactly(len(PONG)) == PONG
        await asyncio.sleep(0.2)
        running.signal(signal.SIGSTOP)
        for _, writer in clients:
            writer.write(PING)
        await asyncio.sleep(0.1)
        running.signal(signal.SIGTERM)
        running.signal(signal.SIGCONT)
        said = []
        for reader, writer in clients:
            try:
                said.append(await asyncio.wait_for(reader.read(), 2))
            except OSError as failure:
                said.append(repr(failure).encode())
            writer.close()
        assert said == [PONG] * len(clients)
        assert await running.wait_for_exit() == 0


GATE_FILE = """
connection_class {{ name: "board" path_prefix: "/board" }}
gate {{ name: "g0" listen: "{listen}" slices: 2 }}
node {{ id: "n0" address: "127.0.0.1:1" zone: "east" state: {state} }}
"""


async def test_an_operator_file_that_cannot_be_read_for_a_moment_is_read_again(tmp_path: Path) -> None:
    # A gate did not start, or kept the old file for good.
    faults, address = Faults(tmp_path / "faults"), free_address()
    file, listen = tmp_path / "operator.textproto", "{}:{}".format(*address)
    file.write_text(GATE_FILE.format(listen=listen, state="READY"))
    faults.set(Call.OPEN, errno.EIO, times=3)
    watched = {"LAPISPASS_FAULTS_OPEN": str(file)}
    async with process(("gate", "-o", str(file)), faults, address, "event=listening", watched) as gate:
        assert faults.injected(Call.OPEN) == 3
        faults.set(Call.OPEN, errno.ENFILE, times=3)
        file.write_text("nothing of use")
        gate.signal(signal.SIGHUP)
        await gate.wait_for_log("operator file refused", limit_s=3)
        assert faults.injected(Call.OPEN) == 6
        assert (await gate.counters())["gate.reloads_refused"] == 1


async def test_a_process_that_stood_still_says_so_whatever_it_was_doing(tmp_path: Path) -> None:
    # A stall of the process during a relay call was not logged.
    relay = RelayServer()
    relay.faults += ["silent before"] * 99
    async with controller(tmp_path, relay=relay) as running:
        await running.wait_for_log("event stream open")
        after = len(running.lines)
        running.signal(signal.SIGSTOP)
        await asyncio.sleep(0.6)
        running.signal(signal.SIGCONT)
        line = await running.wait_for_log("event loop stalled", after)
        assert 150_000 < int(line.partition("late_us=")[2].split()[0]) < 5_000_000
