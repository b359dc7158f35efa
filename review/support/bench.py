"""Starts the project's programs by the deploy file's command, and keeps the record of a case."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
LONGEST_S = 112.0


class NotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


def free_address() -> str:
    """A loopback address whose port is free now."""
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{found.getsockname()[1]}"


class Bench:
    """One run of a case: its programs, its temporary folder and its record."""

    def __init__(self, folder: Path, temporary: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temporary, self.began = temporary, time.monotonic()
        self.record = (folder / "record.txt").open("w", encoding="utf-8")
        self.programs: dict[str, subprocess.Popen[bytes]] = {}
        self.expected_ends: set[str] = set()
        self.breaks: list[str] = []
        self.note(f"disruption: {'yes' if self.trouble else 'no'}")

    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self.began

    def note(self, text: str) -> None:
        """Writes a line with the time to the record."""
        self.record.write(f"{self.now():9.3f} {text}\n")
        self.record.flush()

    def broken(self, text: str) -> None:
        """Notes that the rule was broken."""
        self.breaks.append(text)
        self.note(f"RULE BROKEN: {text}")

    def start(self, name: str, arguments: str) -> None:
        """Starts one of the project's programs by the `run` command of the deploy file."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        log = (self.temporary / f"{name}.log").open("ab")
        self.programs[name] = subprocess.Popen(
            ["/bin/sh", "-c", f"{run} {arguments}"],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.note(f"started {name}: {run.removeprefix('exec ')} {arguments}")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a program that this case started."""
        self.programs[name].send_signal(number)
        self.note(f"{number.name} to {name}")

    def log_has(self, name: str, text: str) -> bool:
        """Whether a program's log has this text by now."""
        return text in (self.temporary / f"{name}.log").read_text(errors="replace")

    async def until(self, what: str, condition: Callable[[], bool], seconds: float = 20.0) -> None:
        """Waits until a condition holds; raises `NotRun` if that takes too long."""
        ends = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > ends:
                raise NotRun(f"not within {seconds:g} s: {what}")
            await asyncio.sleep(0.02)

    def check_running(self) -> None:
        """Raises `NotRun` if a program has ended by itself."""
        for name, program in self.programs.items():
            if program.poll() is not None and name not in self.expected_ends:
                raise NotRun(f"{name} has ended with status {program.returncode}")

    def end(self) -> None:
        """Ends all programs, and adds their logs to the record."""
        for program in self.programs.values():
            if program.poll() is None:
                program.send_signal(signal.SIGCONT)
                program.send_signal(signal.SIGTERM)
        for program in self.programs.values():
            try:
                program.wait(5)
            except subprocess.TimeoutExpired:
                program.kill()
                program.wait()
        for name in self.programs:
            lines = (self.temporary / f"{name}.log").read_text(errors="replace").splitlines()
            for line in lines[:120]:
                self.record.write(f"log {name}: {line}\n")
        self.record.close()


async def play_to_end(play: Callable[[Bench], Awaitable[None]], bench: Bench) -> None:
    """Plays a case; then ends what it left running, and closes its streams while the loop still runs."""
    try:
        await asyncio.wait_for(play(bench), LONGEST_S)
    finally:
        left = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)
        del left
        gc.collect()
        await asyncio.sleep(0)


def main(folder: Path, play: Callable[[Bench], Awaitable[None]]) -> None:
    """Plays a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # the programs are ended on the way out
    status = NOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        bench = Bench(folder, Path(temporary))
        try:
            asyncio.run(play_to_end(play, bench))
            bench.check_running()
            status = BROKEN if bench.breaks else HELD
        except (NotRun, TimeoutError, OSError) as error:
            bench.note(f"could not run: {type(error).__name__} {error}")
            print(f"could not run: {type(error).__name__} {error}", file=sys.stderr)
        finally:
            said = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}
            bench.note(f"{said[status]}; breaks seen: {len(bench.breaks)}; exit {status}")
            bench.end()
    print(f"{folder.name}: {said[status]} ({len(bench.breaks)} breaks)")
    sys.exit(status)
