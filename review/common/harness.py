"""Starts the project's programs by the deploy file's command, and writes what was seen to a record."""

from __future__ import annotations

import asyncio
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


class CouldNotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


def free_port() -> int:
    """A port that is free now."""
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return int(found.getsockname()[1])


class Case:
    """One run of a case: its processes, its temporary folder and its record."""

    def __init__(self, folder: Path, temporary: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temporary, self.began = temporary, time.monotonic()
        self.record = (folder / "record.txt").open("w", encoding="utf-8")
        self.programs: dict[str, subprocess.Popen[bytes]] = {}
        self.breaks: list[str] = []
        self.note(f"trouble={'yes' if self.trouble else 'no'}")

    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self.began

    def note(self, text: str) -> None:
        """Writes one line to the record."""
        self.record.write(f"{self.now():9.3f} {text}\n")
        self.record.flush()

    def broken(self, text: str) -> None:
        """Notes that the rule was broken; the first twenty breaks go to the record."""
        self.breaks.append(text)
        if len(self.breaks) <= 20:
            self.note(f"RULE BROKEN: {text}")

    def start(self, name: str, arguments: str = "", **environment: str) -> None:
        """Starts one of the project's programs by the deploy file's `run`, from the root."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        log = (self.temporary / f"{name}.log").open("ab")
        self.programs[name] = subprocess.Popen(
            ["/bin/sh", "-c", f"{run} {arguments}".strip()],
            cwd=ROOT,
            env={**os.environ, **environment},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.note(f"started {name}: {run.removeprefix('exec ')} {arguments}".rstrip())

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a program that this case started."""
        self.programs[name].send_signal(number)
        self.note(f"{number.name} to {name}")

    def end(self) -> None:
        """Ends all programs and adds the ends of their logs to the record."""
        for program in self.programs.values():
            if program.poll() is None:
                program.send_signal(signal.SIGCONT)
                program.kill()
            program.wait()
        for name in self.programs:
            lines = (self.temporary / f"{name}.log").read_text(errors="replace").splitlines()
            for line in lines[:200]:
                self.record.write(f"log {name}: {line}\n")
        self.record.close()

    def check_running(self) -> None:
        """Raises `CouldNotRun` if a program has ended by itself."""
        for name, program in self.programs.items():
            if program.poll() is not None:
                raise CouldNotRun(f"{name} has ended with status {program.returncode}")


async def until(what: str, condition: Callable[[], bool], seconds: float = 30.0) -> None:
    """Waits until a condition holds; raises `CouldNotRun` if that takes too long."""
    ends = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > ends:
            raise CouldNotRun(f"not within {seconds:g} s: {what}")
        await asyncio.sleep(0.02)


def main(folder: Path, play: Callable[[Case], Awaitable[None]]) -> None:
    """Plays a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # the programs are ended on the way out
    status = NOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        case = Case(folder, Path(temporary))
        try:
            asyncio.run(asyncio.wait_for(play(case), 110))
            case.check_running()
            status = BROKEN if case.breaks else HELD
        except (CouldNotRun, TimeoutError, OSError) as error:
            case.note(f"could not run: {type(error).__name__} {error}")
            print(f"could not run: {type(error).__name__} {error}", file=sys.stderr)
        finally:
            said = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}
            case.note(f"{said[status]}; breaks seen: {len(case.breaks)}; exit {status}")
            case.end()
    print(f"{folder.name}: {said[status]} ({len(case.breaks)} breaks)")
    sys.exit(status)
