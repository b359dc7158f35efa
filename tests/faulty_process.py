"""Runs a real controller process whose system calls fail on demand, with stand-ins for relay and registry.

The faults are injected by `fault_shim.c`, which is compiled once per test run and preloaded into the process.
"""

from __future__ import annotations

import asyncio
import errno
import json
import mmap
import os
import random
import signal
import socket
import struct
import subprocess
import sys
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from enum import IntEnum
from functools import cache
from pathlib import Path
from tempfile import mkdtemp

from parties import LoopbackServer, RegistryServer, RelayServer

SHIM = Path(__file__).with_name("fault_shim.c")
SHORT = 10000  # in place of an errno: the transfer moves one byte only
RECORD = struct.Struct("=4i")
ALWAYS = 1000  # thousandths
PORT_COUNT = struct.Struct("=I")  # after the records: the bytes read from each client port
PORTS = 1 << 16
HOST = "127.0.0.2"  # of the process under test; stand-ins use 127.0.0.1
SETTINGS = {
    "grades": [{"name": "pay", "target-us": 10, "hard-limit-us": 20, "worth": 2.0}],
    "extra": {"key-ranges": 2, "data-plane-size": 3},
}


class Call(IntEnum):
    """The system calls that can be made to fail, in the order of `fault_shim.c`."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    SEND = 3
    RECEIVE = 4
    WAIT = 5
    WRITE = 6
    SYNC = 7
    BIND = 8
    OPEN = 9
    CLOCK = 10
    PIPE = 11
    READ = 12  # never fails: counts the bytes read from accepted connections
    EPOLL_CTL = 13  # ENOSPC applies to additions only, other errors to all operations
    CLOSE = 14  # of sockets, which are closed nevertheless
    SETSOCKOPT = 15
    GETSOCKOPT = 16
    GETPEERNAME = 17
    GETSOCKNAME = 18
    SHUTDOWN = 19
    LISTEN = 20
    IOCTL = 21  # FIONBIO, by which the interpreter makes a socket non-blocking
    FCNTL = 22  # F_SETLK, file locks
    POLL = 23
    SOCKETPAIR = 24
    EPOLL_CREATE = 25
    READ_FILE = 26  # of the file named by `LAPISPASS_FAULTS_OPEN`
    READ_STORE = 27
    TRUNCATE = 28
    STAT = 29  # of open files, and by path of the file named by `LAPISPASS_FAULTS_OPEN`
    UNLINK = 30
    SLEEP = 31
    RANDOM = 32
    CLOSED_TWICE = 33  # never fails: counts calls of close with a descriptor that is not open


# Errors that are transient according to the Linux manual pages, and that cost no connection.
MOMENTARY = (
    *((Call.ACCEPT, error) for error in (errno.ENFILE, errno.ENOBUFS, errno.ECONNABORTED, errno.EINTR)),
    *((Call.SOCKET, error) for error in (errno.ENFILE, errno.ENOBUFS)),
    *((Call.CONNECT, error) for error in (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EINTR)),
    *((Call.SEND, error) for error in (SHORT, errno.EINTR, errno.EAGAIN)),
    *((Call.RECEIVE, error) for error in (SHORT, errno.EINTR, errno.EAGAIN)),
    (Call.WAIT, errno.EINTR),
    *((Call.PIPE, error) for error in (SHORT, errno.EAGAIN, errno.ENOSPC)),
    *((Call.EPOLL_CTL, error) for error in (errno.ENOMEM, errno.ENOSPC)),
    *((Call.CLOSE, error) for error in (errno.EINTR, errno.EIO)),
    *((Call.SEND, error) for error in (errno.ENOBUFS, errno.ENOMEM)),
    *((Call.SETSOCKOPT, error) for error in (errno.ENOBUFS, errno.ENOMEM)),
    *((Call.GETSOCKOPT, error) for error in (errno.ENOBUFS, errno.ENOMEM)),
    *((Call.GETPEERNAME, error) for error in (errno.ENOBUFS, errno.ENOTCONN)),
    (Call.GETSOCKNAME, errno.ENOBUFS),
    (Call.SHUTDOWN, errno.ENOTCONN),
    *((Call.POLL, error) for error in (errno.EINTR, errno.ENOMEM)),
)


@cache
def shim() -> Path:
    """Compiles the library and returns its path."""
    library = Path(mkdtemp(prefix="lapispass-shim-")) / "shim.so"
    subprocess.run(["cc", "-shared", "-fPIC", "-O1", "-o", library, SHIM, "-ldl"], check=True)
    return library


class Faults:
    """The fault records of a process, in a file that the process maps."""

    def __init__(self, path: Path) -> None:
        self.path = path
        path.write_bytes(bytes(RECORD.size * len(Call) + PORT_COUNT.size * PORTS))
        with path.open("r+b") as file:
            self.records = mmap.mmap(file.fileno(), 0)

    def set(self, call: Call, error: int, times: int = -1, thousandths: int = ALWAYS) -> None:
        """Makes the next `times` calls (-1: all until `clear`) fail, each with this probability."""
        injected = self.injected(call)
        RECORD.pack_into(self.records, call * RECORD.size, times, thousandths, error, injected)

    def clear(self, call: Call) -> None:
        self.set(call, 0, times=0)

    def step_clock(self, seconds: int) -> None:
        """Sets the wall clock of the process ahead by this many seconds."""
        self.set(Call.CLOCK, seconds, times=0)

    def inject_random(self, chance: random.Random) -> list[Call]:
        """Makes three random calls fail transiently and may step the wall clock; returns these calls."""
        chosen = chance.sample(MOMENTARY, 3)
        for call, error in chosen:
            self.set(call, error, thousandths=chance.choice((50, 300, 600)))
        self.step_clock(chance.choice((0, 0, 3600, -3600, 5, -5)))
        return [call for call, _ in chosen]

    def active(self) -> list[str]:
        """The faults that are active, each with its error and rate per thousand."""
        found = []
        for call in Call:
            left, thousandths, error, injected = RECORD.unpack_from(self.records, call * RECORD.size)
            if left:
                found.append(f"{call.name} {errno_name(error)} {thousandths} ({injected} so far)")
        return found

    def injected(self, call: Call) -> int:
        """The number of failures injected so far."""
        return RECORD.unpack_from(self.records, call * RECORD.size)[3]

    def closed_twice(self) -> int:
        """How often the process has closed a descriptor that was not open (a double close)."""
        return self.injected(Call.CLOSED_TWICE)

    def bytes_read(self) -> int:
        """The bytes that the process has read from connections that it accepted."""
        return self.injected(Call.READ)

    def bytes_read_from(self, port: int) -> int:
        """The bytes that the process has read from all clients with this port."""
        return PORT_COUNT.unpack_from(self.records, RECORD.size * len(Call) + PORT_COUNT.size * port)[0]


class NotStarted(AssertionError):
    """A process ended or timed out before it was ready."""


class Controller:
    """A running controller process."""

    def __init__(self, process: asyncio.subprocess.Process, faults: Faults, address: tuple[str, int]) -> None:
        self.process, self.faults, self.address = process, faults, address
        self.lines: list[str] = []

    async def wait_for_log(self, text: str, after: int = 0, limit_s: float = 10) -> str:
        """The first log line with `text`, from line `after` on; raises TimeoutError with the whole log."""
        try:
            async with asyncio.timeout(limit_s):
                return await self._next_line(text, after)
        except TimeoutError:
            report = [
                f"not logged within {limit_s} s: {text}",
                *self.faults.active(),
                "the log:",
                *self.lines,
            ]
            raise TimeoutError("\n".join(report)) from None

    async def _next_line(self, text: str, after: int) -> str:
        while True:
            for line in self.lines[after:]:
                if text in line:
                    return line
            after = len(self.lines)
            line = await self.process.stderr.readline()
            assert line, "\n".join(["the process has ended:", *self.lines])
            self.lines.append(line.decode().rstrip("\n"))

    async def wait_for_answer(self, limit_s: float = 10) -> None:
        """Waits for its first answer to a PING, after which the platform starts to use a controller."""
        async with asyncio.timeout(limit_s):
            while self.process.returncode is None:
                try:
                    reader, writer = await self.connect()
                    writer.write(b"PING\r\n")
                    answer = await reader.read(100)
                    writer.close()
                except OSError:
                    answer = b""
                if answer:
                    return
                await asyncio.sleep(0.01)
        raise AssertionError(f"the process has ended with status {self.process.returncode}")

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*self.address)

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal; raises ProcessLookupError if the process has ended.

        `Process.send_signal` polls first: it takes the status of a process that has just ended before
        asyncio's watcher does, which then reports 255.
        """
        if self.process.returncode is not None:
            raise ProcessLookupError(self.process.pid)
        os.kill(self.process.pid, number)

    async def counters(self) -> dict[str, int]:
        after = len(self.lines)
        self.signal(signal.SIGUSR1)
        line = await self.wait_for_log("event=counters", after)
        words = (word.partition("=") for word in line.split())
        return {name: int(value) for name, _, value in words if "." in name}

    async def wait_for_exit(self) -> int:
        """Waits for the end of the process; returns its exit status."""
        self.lines += (await self.process.stderr.read()).decode().splitlines()
        return await asyncio.wait_for(self.process.wait(), 10)


@asynccontextmanager
async def process(
    arguments: Sequence[str],
    faults: Faults,
    address: tuple[str, int],
    ready: str | None,
    environment: Mapping[str, str],
) -> AsyncIterator[Controller]:
    """Runs `python -m lapispass` with these arguments, and kills it at the end if it still runs.

    The process is ready once its log contains `ready` or, if that is None, once it has answered a PING.
    """
    child = await asyncio.create_subprocess_exec(
        *(sys.executable, "-B", "-m", "lapispass", *arguments),
        env={
            **os.environ,
            "LD_PRELOAD": str(shim()),
            "LAPISPASS_FAULTS": str(faults.path),
            **environment,
        },
        stderr=subprocess.PIPE,
    )
    running = Controller(child, faults, address)
    try:
        try:
            if ready is None:
                await running.wait_for_answer()
            else:
                await running.wait_for_log(ready)
        except (AssertionError, TimeoutError) as error:
            raise NotStarted(str(error) or f"no log line {ready!r} in time") from error
        yield running
    finally:
        if child.returncode is None:
            child.kill()
        await child.communicate()


def free_address() -> tuple[str, int]:
    """An unused address of this machine.

    It is not at 127.0.0.1, where the stand-ins listen: one of them could get the port while a controller is
    being restarted.
    """
    with socket.create_server((HOST, 0)) as free:
        return free.getsockname()


@asynccontextmanager
async def controller(
    folder: Path,
    *,
    faults: Faults | None = None,
    settings: Mapping[str, object] = SETTINGS,
    members: Sequence[object] = (),
    relay: RelayServer | None = None,
    registry: LoopbackServer | None = None,
    environment: Mapping[str, str] | None = None,
    address: tuple[str, int] | None = None,
    limits: Mapping[str, int] | None = None,
    ready: str | None = "event=listening",
    arguments: Sequence[str] = (),
) -> AsyncIterator[Controller]:
    """Runs the platform's controller with its stand-ins.

    `ready` must be None if writes to the log's pipe fail at the start, since the line may be lost then.
    """
    faults = faults or Faults(folder / "faults")
    address = address or free_address()
    async with relay or RelayServer() as store, registry or RegistryServer() as discovery:
        config = {
            "name": "n",
            "listen": "{}:{}".format(*address),
            "discovery": discovery.address,
            "seed": "1",
            "settings": settings,
            "store": {"address": store.address},
            "known": {"revision": 1, "complete": True, "members": list(members)},
            "limits": dict(limits or {}),
        }
        path = folder / "config.json"
        path.write_text(json.dumps(config))
        variables = {"LB_CONFIG": str(path), **(environment or {})}
        async with process(arguments, faults, address, ready, variables) as running:
            yield running


def errno_name(error: int) -> str:
    """The name of an errno, for assertion messages."""
    return errno.errorcode.get(error, str(error))
