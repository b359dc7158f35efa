"""The processes of a run: stand-ins that are led, and real controllers that are only started and watched."""

from __future__ import annotations

import asyncio
import os
import socket
import sys
from asyncio.subprocess import DEVNULL, PIPE, Process
from collections.abc import Sequence
from pathlib import Path
from time import monotonic
from typing import TypeVar

import lapispass
from lapispass.lab.scale import messages as say
from lapispass.lab.scale import system
from lapispass.lab.scale.stand_in import LINE_BYTES

ROOT = Path(lapispass.__file__).parent.parent
CONTROLLER = (sys.executable, "-m", "lapispass")
STAND_IN = (sys.executable, "-m", "lapispass.lab.scale.stand_in")
ANSWER_S = 60.0  # within which a stand-in answers
END_S = 3.0  # from SIGTERM to SIGKILL
READY_POLL_S = 0.02
LOG_TAIL = 300  # bytes of a log that a failure shows

AnswerT = TypeVar("AnswerT", bound=say.Message)


class RunFailed(Exception):
    """The run could not be played to its end; the text says why in one line."""


async def end(process: Process) -> None:
    """SIGTERM, then SIGKILL; returns once the process is gone."""
    if process.returncode is not None:
        return
    try:
        process.terminate()
        async with asyncio.timeout(END_S):
            await process.wait()
    except TimeoutError:
        process.kill()
        await process.wait()
    except ProcessLookupError:
        pass


class StandInProcess:
    """A process of stand-ins."""

    def __init__(self, name: str, process: Process) -> None:
        self.name, self.process = name, process
        self.turn = asyncio.Lock()  # one command at a time

    @classmethod
    async def start(cls, name: str, kind: str, logs: Path) -> StandInProcess:
        with (logs / f"{name}.log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                *STAND_IN, kind, stdin=PIPE, stdout=PIPE, stderr=log, cwd=ROOT, limit=LINE_BYTES
            )
        return cls(name, process)

    async def ask(self, command: say.Command, kind: type[AnswerT]) -> AnswerT:
        """Its answer to a command; `RunFailed` where there is none or it is another."""
        assert self.process.stdin is not None and self.process.stdout is not None
        async with self.turn:
            try:
                async with asyncio.timeout(ANSWER_S):
                    self.process.stdin.write(say.encode(command) + b"\n")
                    await self.process.stdin.drain()
                    line = await self.process.stdout.readline()
            except (TimeoutError, OSError) as error:
                raise RunFailed(f"stand-in {self.name}: {type(error).__name__} {error}") from None
        if not line:
            raise RunFailed(f"stand-in {self.name} ended by itself")
        answer = say.answers.decode(line)
        if not isinstance(answer, kind):
            why = answer.why if isinstance(answer, say.Failed) else f"answered {type(answer).__name__}"
            raise RunFailed(f"stand-in {self.name}: {why}")
        return answer


def free_address(number: int) -> str:
    """An address that nobody listens at: each real controller has a loopback address of its own."""
    with socket.create_server((f"127.1.0.{number + 1}", 0)) as listener:
        return "{}:{}".format(*listener.getsockname())


class Controller:
    """A real controller, started as operators start one; `command` is theirs."""

    def __init__(self, name: str, address: str, process: Process, log: Path) -> None:
        self.name, self.address, self.process, self.log = name, address, process, log
        self.began = monotonic()
        self.ready_s: float | None = None  # from its start to its first answer

    @classmethod
    async def start(
        cls, name: str, address: str, registry: str, config: Path, logs: Path, command: Sequence[str]
    ) -> Controller:
        variables = {
            "LB_NAME": name,
            "LB_LISTEN": address,
            "LB_DISCOVERY": registry,
            "LB_CONFIG": str(config),
            "PYTHONPATH": str(ROOT),
        }
        path = logs / f"{name}.log"
        with path.open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                *command, stdin=DEVNULL, stdout=log, stderr=log, cwd=ROOT, env={**os.environ, **variables}
            )
        return cls(name, address, process, path)

    async def ready(self, within_s: float) -> float:
        """Seconds from its start until it answers PING; `RunFailed` where it does not in time."""
        host, _, port = self.address.rpartition(":")
        while monotonic() - self.began < within_s:
            self.check()
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(READY_POLL_S)
                continue
            try:
                async with asyncio.timeout(1.0):
                    writer.write(b"PING\r\n")
                    if await reader.readline() == b"PONG\r\n":
                        self.ready_s = monotonic() - self.began
                        return self.ready_s
            except (OSError, TimeoutError):
                pass
            finally:
                writer.transport.abort()
        raise RunFailed(f"controller {self.name} gave no answer within {within_s:g} s of its start")

    def check(self) -> None:
        """Raises `RunFailed` where it has ended."""
        if self.process.returncode is not None:
            tail = self.log.read_bytes()[-LOG_TAIL:].decode(errors="replace").strip()
            raise RunFailed(f"controller {self.name} ended with status {self.process.returncode}: {tail}")

    def usage(self) -> system.Usage:
        self.check()
        try:
            return system.usage(self.process.pid)
        except (ProcessLookupError, FileNotFoundError):
            raise RunFailed(f"controller {self.name} is gone") from None
