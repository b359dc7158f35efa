"""The controller as a process: start, signals, configuration and shutdown."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import h11
import pytest
from configurations import GRADES, listing, write_config
from parties import MEMBER, LoopbackServer, RelayServer, next_request, response_bytes, silent

COMMAND = [sys.executable, "-B", "-m", "lapispass"]
CONFIG = {
    "name": "n",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:1",
    "seed": "1",
    "settings": {"grades": GRADES, "extra": {"key-ranges": 2, "data-plane-size": 3}},
    "store": {"address": "127.0.0.1:1"},
}


def environment_of(file: Path, **changes: object) -> dict[str, str]:
    """Writes the configuration to `file`; returns the environment of a process that reads it."""
    return {**os.environ, **write_config(file, {**CONFIG, **changes})}


def test_a_process_prints_its_counters_and_ends_in_time(tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    environment = environment_of(file)
    with subprocess.Popen(COMMAND, env=environment, stderr=subprocess.PIPE, text=True) as process:

        def says(what: str) -> None:
            assert any(what in line for line in process.stderr), f"the process ended without logging {what}"

        says("event=listening")
        process.send_signal(signal.SIGUSR1)
        says("event=counters")
        for text, said in (
            ("{", "configuration rejected"),
            (json.dumps({**CONFIG, "discovery": "127.0.0.1:2"}), "registry=127.0.0.1:2"),
            (None, "configuration rejected"),
        ):
            file.unlink()
            if text is None:
                os.mkfifo(file)  # must not block the reload
            else:
                file.write_text(text)
            process.send_signal(signal.SIGHUP)
            says(said)
        file.unlink()
        file.write_text(json.dumps(CONFIG))
        for number in (signal.SIGUSR2, signal.SIGALRM, signal.SIGRTMIN, signal.SIGHUP, signal.SIGHUP):
            process.send_signal(number)  # also once just before the process ends
        process.send_signal(signal.SIGTERM)
        _, said = process.communicate(timeout=5)
        assert process.returncode == 0 and "event=counters" in said.splitlines()[-1]
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        for odd, named in (({"LB_CONFIG": ""}, "LB_CONFIG"), ({"LB_LISTEN": address}, address)):
            bad = subprocess.run(
                COMMAND, env={**environment, **odd}, capture_output=True, text=True, timeout=20
            )
            assert bad.returncode == 2 and bad.stderr.count("\n") == 1 and named in bad.stderr


@pytest.mark.parametrize(
    "numbers", [[signal.SIGTERM], [signal.SIGHUP], [signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1]]
)
def test_signals_that_keep_coming_until_the_last_moment_change_no_status(
    tmp_path, numbers: list[int]
) -> None:
    with subprocess.Popen(
        COMMAND, env=environment_of(tmp_path / "config.json"), stderr=subprocess.PIPE, text=True
    ) as process:
        assert any("event=listening" in line for line in process.stderr)
        process.send_signal(signal.SIGTERM)
        until_ = time.monotonic() + 5
        while process.poll() is None and time.monotonic() < until_:
            for number in numbers:
                process.send_signal(number)
            time.sleep(0.0002)
        process.stderr.read()
    assert process.returncode == 0


def test_a_process_told_to_end_while_it_starts_ends_in_order(tmp_path) -> None:
    environment = environment_of(tmp_path / "config.json")
    for delay_s in (0.03, 0.06, 0.1, 0.15, 0.2, 0.3):
        ready, tell = os.pipe()
        # The first line of its code prints that its signal handlers are set.
        code = (
            "import os, sys; from lapispass.net import signals; signals.ignore_all(); "
            f"os.write({tell}, b'x'); "
            "from lapispass.net.service import main; status = main(); signals.block_all(); sys.exit(status)"
        )
        with subprocess.Popen(
            [sys.executable, "-B", "-c", code],
            env=environment,
            stderr=subprocess.PIPE,
            text=True,
            pass_fds=(tell,),
        ) as process:
            os.close(tell)
            assert os.read(ready, 1) == b"x"
            os.close(ready)
            time.sleep(delay_s)
            process.send_signal(signal.SIGTERM)
            _, said = process.communicate(timeout=60)  # checks that it ends, not how soon
        assert process.returncode == 0 and "Traceback" not in said


async def test_a_large_deployment_is_ready_in_time_and_its_picture_comes_whole(tmp_path) -> None:
    """5,700 known servers, a snapshot of 5,000 proxies and 15,000 slices, and a silent registry."""
    proxies, slices, servers = 5000, 15_000, 5700

    class Large(RelayServer):
        async def relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> str | None:
            state = h11.Connection(h11.SERVER)
            if (request := await next_request(reader, state)) is None:
                return None  # the process ended before its request
            if request[0] == "POST":
                await reader.read()
            writer.write(response_bytes(state, 200, None))
            text = "".join(
                [f"event: SUBSCRIBE\ndata: node={n}&locality=a&w=1&cold=0\n\n" for n in range(proxies)]
                + [
                    f"event: GRANT\ndata: shard={n}&set=1\n\n"
                    f"event: ROW\ndata: shard={n}&endpoint=s-{n % servers}&w=1\n\n"
                    for n in range(slices)
                ]
            ).encode()
            for begin in range(0, len(text), 50_000):
                writer.write(state.send(h11.Data(data=text[begin : begin + 50_000])))
                await writer.drain()
            while not reader.at_eof():
                writer.write(state.send(h11.Data(data=b":\n")))
                try:
                    await asyncio.wait_for(reader.read(1), 1)
                except TimeoutError:
                    pass
            return None

    async with Large() as relay, LoopbackServer(silent) as registry:
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            listen = f"127.0.0.1:{free.getsockname()[1]}"
        known = listing(1, *({**MEMBER, "id": f"s-{n}"} for n in range(servers)))
        extra = {
            "key-ranges": slices,
            "data-plane-size": proxies,
            "lease-us": 1_500_000,
            "lines-per-s": 1e6,
            "queue-cap": 2e6,
            "report-every-us": 2_000_000,
            "lingers-us": 5_000_000,
            "blackhole-us": 14_000_000,
        }
        environment = environment_of(
            tmp_path / "config.json",
            listen=listen,
            discovery=registry.address,
            known=known,
            settings={"grades": GRADES, "zones": ["a"], "extra": extra},
            store={"address": relay.address},
        )
        began = time.monotonic()
        process = await asyncio.create_subprocess_exec(
            *COMMAND, env=environment, stderr=asyncio.subprocess.PIPE
        )
        try:
            while True:
                try:
                    reader, writer = await asyncio.open_connection(*listen.split(":"))
                    writer.write(b"PING\r\n")
                    assert await reader.readexactly(6) == b"PONG\r\n"
                    break
                except OSError:
                    await asyncio.sleep(0.01)
            assert time.monotonic() - began < 10
            writer.transport.abort()
            while True:
                line = (await process.stderr.readline()).decode()
                assert line, "the process ended"
                if "snapshot complete" in line:
                    break
            assert f"joined={proxies} slices={slices}" in line and time.monotonic() - began < 15
            process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(process.wait(), 10) == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
