"""Runs ("days") of clients that use a real controller process until it is killed, with checks of all answers.

Each run draws from its seed: faults of system calls, steps of the wall clock, pauses, series of signals, a
crowd of clients. Clients keep their connections and send requests until the kill, `KILL_S` after SIGTERM. A
second process then uses the same address. The fault shim counts the bytes that the process has read from each
client: a request that was read but not answered counts as lost.

By hand: `PYTHONPATH=. python tests/soak.py --seeds 50 --seed 1000 --at-once 3`; status 1 where one is broken.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import signal
import sys
import time
from collections.abc import Callable, Coroutine, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from faulty_process import Call, Controller, Faults, controller, free_address
from process_times import ProcessTimes

from lapispass.net import tcp_info

PING, PONG, NACK = b"PING\r\n", b"PONG\r\n", b"NACK why=unreadable\r\n"
KILL_S = 0.7  # from SIGTERM to SIGKILL
READY_S = 10.0  # limit for a start
LIFE_S = 4.0  # run time of each of the two processes
DUE_S = 0.5  # limit for an answer; pauses of the process do not count
OWED_S = 3.0  # limit for a rejection or a close
CLIENTS, CROWD, BAD = 12, 300, 40
PAUSE_S = 0.3
DURING = (signal.SIGHUP, signal.SIGUSR1, signal.SIGHUP, signal.SIGWINCH)
ENDING = (signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1, signal.SIGINT, signal.SIGTERM)
GARBAGE = (b"", b"PI", b"odd\r\n", b"\x16\x03\x01", b"GET / HTTP/1.1\r\n\r\n", PING + b"PI", b"x" * 9000)


@dataclass
class Verdict:
    """The result of a run."""

    seed: int
    breaches: list[str] = field(default_factory=list)
    asked: int = 0
    answered: int = 0
    killed: int = 0  # processes that had not exited before the kill
    slowest_s: float = 0.0  # slowest answer, without pauses of the process
    figures: dict[str, int] = field(default_factory=dict)  # further counts by name

    def __str__(self) -> str:
        figures = f"{self.asked} asked, {self.answered} answered, {self.killed} killed"
        figures += "".join(f", {name} {value}" for name, value in self.figures.items())
        return f"seed {self.seed}: {figures}, slowest {self.slowest_s:.3f} s, breaches {self.breaches[:5]}"


@dataclass
class ProcessRun:
    """The state of one process's run that its clients and checks share."""

    running: Controller
    chance: random.Random
    verdict: Verdict
    is_crowded: bool
    pauses: list[tuple[float, float]] = field(default_factory=list)
    is_stopping: bool = False
    due_s: float = DUE_S
    is_faulty: bool = True  # whether system calls fail and the clock is stepped
    times: ProcessTimes | None = None

    def paused_s(self, since: float) -> float:
        """For how long the process was paused since a time."""
        now = asyncio.get_running_loop().time()
        return sum(max(0.0, min(now, end) - max(since, begin)) for begin, end in self.pauses)

    def breach(self, text: str) -> None:
        self.verdict.breaches.append(text)

    def late(self, took_s: float, begun: float, unread_s: float, about: str) -> None:
        """Reports a late answer, which had arrived `unread_s` before it was read."""
        spent = f"; {self.times.since(begun)}" if self.times else ""
        faults = ", ".join(self.running.faults.active())
        self.breach(
            f"late: {took_s:.3f} s and {self.paused_s(begun):.3f} s of pauses, had come {unread_s:.3f} s "
            f"before it was read, at {datetime.now(UTC):%T.%f}, {about}; faults: {faults}{spent}"
        )

    def breach_lines(self) -> None:
        """Reports internal errors that the log contains."""
        for line in self.running.lines:
            if "trace=" in line:
                self.breach(line[:2000])


class Client:
    """One connection of a well-behaved client."""

    def __init__(self, day: ProcessRun) -> None:
        self.day, self.answered = day, 0
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def connect(self) -> None:
        self.opened_at = asyncio.get_running_loop().time()
        self.accept_failed = self.day.running.faults.injected(Call.ACCEPT)
        self.reader, self.writer = await self.day.running.connect()
        self.port = self.writer.get_extra_info("sockname")[1]
        self.read_before = self.day.running.faults.bytes_read_from(self.port)

    async def ask(self, count: int) -> bool:
        """Sends `count` requests in two pieces and reads the answers. False if the connection has ended."""
        day, loop, chance = self.day, asyncio.get_running_loop(), self.day.chance
        message, expected = PING * count, PONG * count
        cut = chance.randrange(len(message))
        begun = loop.time()
        day.verdict.asked += count
        got = b""
        try:
            self.writer.write(message[:cut])
            await asyncio.sleep(chance.choice((0, 0, 0.05)))
            begun = loop.time()
            self.writer.write(message[cut:])
            while len(got) < len(expected):
                piece = await self.reader.read(len(expected) - len(got))
                if not piece:
                    raise EOFError
                got += piece
        except (EOFError, OSError):
            self.judge_end(got)
            return False
        finally:
            self.answered += got.count(PONG)
            day.verdict.answered += got.count(PONG)
        if got != expected:
            day.breach(f"unasked: {got[:40]!r}")
            return False
        took_s = loop.time() - begun - day.paused_s(begun)
        day.verdict.slowest_s = max(day.verdict.slowest_s, took_s)
        if took_s > day.due_s:
            day.late(took_s, begun, self.unread_s(), self.about())
        return True

    def about(self) -> str:
        """Details of the connection for a breach report."""
        now, faults = asyncio.get_running_loop().time(), self.day.running.faults
        failed = faults.injected(Call.ACCEPT) - self.accept_failed
        return (
            f"port {self.port}, {self.answered} answered on it, {now - self.opened_at:.3f} s old, "
            f"{failed} calls of accept failed meanwhile"
        )

    def unread_s(self) -> float:
        """How long ago the kernel received the last bytes."""
        return (tcp_info.since_last_data_us(self.writer.get_extra_info("socket")) or 0) / 1e6

    def judge_end(self, got: bytes) -> None:
        """Reports a connection that ended before the answer, unless that was to be expected."""
        day = self.day
        if not day.is_stopping and not day.is_crowded:
            day.breach(f"ended without a reason, {got!r} had come")
        if got.count(PONG) * len(PONG) != len(got):
            day.breach(f"half an answer, or another: {got[-40:]!r}")

    def judge(self) -> None:
        """Checks that every request read by the process was answered; called after the connection ended."""
        read = self.day.running.faults.bytes_read_from(self.port) - self.read_before
        if read // len(PING) > self.answered:
            self.day.breach(f"lost: {read // len(PING)} requests read, {self.answered} answered")
        self.writer.close()

    async def stays_silent(self, for_s: float) -> bool:
        """Waits without sending. False if the connection ends or unexpected data arrives."""
        try:
            async with asyncio.timeout(for_s):
                piece = await self.reader.read(100)
        except TimeoutError:
            return True
        except OSError:
            piece = b""
        if piece:
            self.day.breach(f"unasked: {piece!r}")
        elif not self.day.is_stopping and not self.day.is_crowded:
            self.day.breach("an idle connection was ended")
        return False


async def run_clients(day: ProcessRun, rounds: int, last_s: float) -> None:
    """Runs one client after another; each keeps its connection for some rounds."""
    chance = day.chance
    while not day.is_stopping:
        client = Client(day)
        try:
            await client.connect()
        except OSError:
            if day.is_stopping:
                return
            await asyncio.sleep(0.01)
            continue
        for _ in range(rounds):
            if not await client.ask(chance.choice((1, 1, 1, 50))):
                break
            pause_s = chance.choice((0, 0, 0.01, 0.1, 0.5, 0.99, 1.0, 1.01, 1.99, 2.01))
            if not await client.stays_silent(min(pause_s, last_s) + 0.001):
                break
        client.judge()


async def crowd(day: ProcessRun) -> None:
    """Runs hundreds of clients at once, each with one request and an idle time."""

    async def one() -> None:
        await asyncio.sleep(day.chance.uniform(0, 0.3))
        client = Client(day)
        try:
            await client.connect()
        except OSError:
            return
        if await client.ask(1):
            await client.stays_silent(day.chance.uniform(0, 1.0))
        client.judge()

    while not day.is_stopping:
        await asyncio.gather(*(one() for _ in range(CROWD)))


async def misbehave(day: ProcessRun) -> None:
    """Runs clients that send malformed data or nothing; each must be rejected or closed in time."""

    async def one(said: bytes) -> None:
        loop = asyncio.get_running_loop()
        try:
            reader, writer = await day.running.connect()
        except OSError:
            return
        begun, got, at_end = loop.time(), b"", False
        try:
            writer.write(said)
            async with asyncio.timeout(OWED_S + 2 * PAUSE_S):
                while NACK not in got:
                    piece = await reader.read(1000)
                    got += piece
                    if not piece:
                        at_end = True
                        break
        except OSError as error:
            at_end = not isinstance(error, TimeoutError)
        if not (at_end or NACK in got) or loop.time() - begun - day.paused_s(begun) > OWED_S + 0.2:
            day.breach(f"owed to {said[:20]!r}: neither rejection nor close, {got[:40]!r}")
        writer.close()

    while not day.is_stopping:
        await asyncio.gather(*(one(day.chance.choice(GARBAGE)) for _ in range(BAD)))


async def trouble(day: ProcessRun, until: float) -> None:
    """Injects a few faults at a time, clock steps, signals and short pauses."""
    loop, running, chance = asyncio.get_running_loop(), day.running, day.chance
    while loop.time() < until:
        chosen = running.faults.inject_random(chance) if day.is_faulty else []
        if chance.random() < 0.3:
            await pause(day)
        if chance.random() < 0.5:
            for number in chance.sample(DURING, 2):
                running.signal(number)
        await asyncio.sleep(0.25)
        if chance.random() < 0.8:  # other faults continue until the next ones or the end
            for call in chosen:
                running.faults.clear(call)


async def pause(day: ProcessRun) -> None:
    """Stops the process with SIGSTOP for `PAUSE_S`."""
    loop = asyncio.get_running_loop()
    begun = loop.time()
    day.running.signal(signal.SIGSTOP)
    day.pauses.append((begun, begun + PAUSE_S))
    await asyncio.sleep(PAUSE_S)
    day.running.signal(signal.SIGCONT)
    day.pauses[-1] = (begun, loop.time())


async def end(day: ProcessRun, ending: Sequence[signal.Signals] = ENDING) -> None:
    """Sends SIGTERM among other signals, and kills the process `KILL_S` after the first SIGTERM."""
    loop, running = asyncio.get_running_loop(), day.running
    begun = loop.time()
    for number in ending:
        if number is signal.SIGTERM and not day.is_stopping:
            day.is_stopping, begun = True, loop.time()
        if running.process.returncode is None:
            running.signal(number)
        await asyncio.sleep(day.chance.choice((0, 0, 0.01, 0.05)))
    await asyncio.sleep(max(0.0, begun + KILL_S - loop.time()))
    if running.process.returncode is None:
        day.verdict.killed += 1
        running.process.kill()
    status = await running.wait_for_exit()
    if status not in (0, -signal.SIGKILL):
        day.breach(f"status {status}")
    day.breach_lines()


def controllers_clients(day: ProcessRun) -> list[Coroutine[Any, Any, None]]:
    """All clients of a controller's address."""
    rounds = (day.chance.randint(1, 4), 1000)
    clients = [run_clients(day, day.chance.choice(rounds), 1.2) for _ in range(CLIENTS)]
    clients += [misbehave(day)]
    if day.is_crowded:
        clients += [crowd(day)]
    return clients


async def run_process(
    day: ProcessRun,
    clients: Sequence[Coroutine[Any, Any, None]],
    life_s: float = LIFE_S,
    ending: Sequence[signal.Signals] = ENDING,
) -> None:
    """Runs one process with its clients to the end. The clients end when the process does."""
    loop = asyncio.get_running_loop()
    until = loop.time() + life_s
    day.times = ProcessTimes(day.running.process.pid)
    watching = asyncio.create_task(day.times.run())
    reading = asyncio.create_task(read_log(day))
    tasks = [asyncio.create_task(client) for client in clients]
    await trouble(day, until)
    reading.cancel()
    await asyncio.gather(reading, return_exceptions=True)
    await end(day, ending)
    await asyncio.gather(*tasks)
    watching.cancel()
    await asyncio.gather(watching, return_exceptions=True)


async def read_log(day: ProcessRun) -> None:
    """Reads the process's log, so that its pipe does not fill up."""
    while line := await day.running.process.stderr.readline():
        day.running.lines.append(line.decode().rstrip("\n"))


async def play_day(seed: int, folder: Path) -> Verdict:
    """One run, with two processes one after another at one address."""
    chance, verdict = random.Random(seed), Verdict(seed)
    faults, address = Faults(folder / "faults"), free_address()
    is_crowded = chance.random() < 0.4
    for _ in range(2):
        begun = time.monotonic()
        async with controller(folder, faults=faults, address=address, ready=None) as running:
            if time.monotonic() - begun > READY_S:
                verdict.breaches.append(f"ready after {time.monotonic() - begun:.1f} s")
            day = ProcessRun(running, chance, verdict, is_crowded)
            await run_process(day, controllers_clients(day))
    return verdict


def play_seed(seed: int) -> Verdict:
    """One run on an event loop of its own."""
    with TemporaryDirectory(prefix="lapispass-soak-") as folder:
        return asyncio.run(play_day(seed, Path(folder)))


def main(play: Callable[[int], Any], about: str | None) -> int:
    """The long run, started by hand. Prints the result of each seed; returns 1 if any has a breach."""
    parser = argparse.ArgumentParser(description=about)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--seed", type=int, default=1000)
    parser.add_argument("--at-once", type=int, default=3)
    given = parser.parse_args()
    broken = 0
    with ProcessPoolExecutor(given.at_once) as pool:
        for verdict in pool.map(play, range(given.seed, given.seed + given.seeds)):
            print(verdict, flush=True)
            broken += bool(verdict.breaches)
    print(f"{given.seeds} days, {broken} broken")
    return min(1, broken)


if __name__ == "__main__":
    sys.exit(main(play_seed, __doc__))
