"""Nodes that work on each question, and clients that ask, for tests of what is owed to clients."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from async_tests import cancel_and_wait
from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import ConnectionClosed

from lapispass.gate.frames import RESET
from lapispass.standins.held_client import RECONNECT_HINT
from lapispass.standins.nodes import CounterNode


@dataclass(frozen=True)
class Work:
    """How a node treats its questions. Times are in seconds."""

    work_s: float = 0.2  # for one question, until the first part of its answer
    parts: int = 1
    part_s: float = 0.06  # between two parts of an answer
    push_s: float = 0.0  # between two messages that nobody asked for; 0: none
    takes_several: bool = False  # works on all questions at the same time


class WorkingNode(CounterNode):
    """A node that works for a while on each question and answers `QUESTION PART`, the last part `end`."""

    def __init__(self, name: str, work: Work) -> None:
        super().__init__(name)
        self.work = work
        self.taken: set[str] = set()
        self.runs = asyncio.Event()
        self.runs.set()

    async def handle_connection(self, connection: ServerConnection) -> None:
        """Serves one connection, from its upgrade until it closes."""
        self.held.add(connection)
        tasks = [asyncio.create_task(self.push(connection))] if self.work.push_s else []
        turn = asyncio.Semaphore(100 if self.work.takes_several else 1)
        try:
            while True:
                message = await connection.recv()
                self.taken.add(str(message))
                tasks.append(asyncio.create_task(self.answer_question(connection, str(message), turn)))
        except ConnectionClosed:
            pass
        finally:
            self.held.discard(connection)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def answer_question(
        self, connection: ServerConnection, question: str, turn: asyncio.Semaphore
    ) -> None:
        """Works on a question and sends its answer."""
        with contextlib.suppress(ConnectionClosed):
            async with turn:
                await asyncio.sleep(self.work.work_s)
                for part in range(1, self.work.parts):
                    await self.runs.wait()
                    await connection.send(f"{question} {part}")
                    await asyncio.sleep(self.work.part_s)
                await self.runs.wait()
                await connection.send(f"{question} end")

    async def push(self, connection: ServerConnection) -> None:
        """Sends messages that nobody has asked for."""
        with contextlib.suppress(ConnectionClosed):
            while True:
                await asyncio.sleep(self.work.push_s)
                await self.runs.wait()
                await connection.send("news")

    def stand_still(self, duration_s: float) -> None:
        """Neither reads nor sends for a while, as a process that is stopped."""
        self.runs.clear()
        transports = [connection.transport for connection in self.held]
        for transport in transports:
            transport.pause_reading()
        asyncio.get_running_loop().call_later(duration_s, self.run_on, transports)

    def run_on(self, transports: list[asyncio.Transport]) -> None:
        """Reads and sends again."""
        for transport in transports:
            if not transport.is_closing():
                transport.resume_reading()
        self.runs.set()

    def die(self) -> None:
        """Resets every connection, as the system does for a process that is gone."""
        for connection in self.held:
            raw_socket = connection.transport.get_extra_info("socket")
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.kill()

    async def stop(self) -> None:
        """Stops the node, also while it stands still."""
        self.runs.set()
        await super().stop()


class AskingClient:
    """A client that asks `at_once` questions, waits for all answers, and asks again after a pause."""

    def __init__(self, url: str, name: str, at_once: int = 1, pause_s: float = 0.1) -> None:
        self.url, self.name, self.at_once, self.pause_s = url, name, at_once, pause_s
        self.asked = 0
        self.waiting: dict[str, float] = {}  # questions without an answer: when they were asked
        self.waits: list[float] = []  # how long each answer took
        self.cut: list[str] = []  # questions whose connection was closed before their answer came
        self.close_code = 0
        self.close_reason = ""

    async def run(self) -> None:
        """Asks over one connection, until that is closed."""
        async with connect(self.url, compression=None, ping_interval=None) as connection:
            try:
                while True:
                    await self.ask(connection)
                    await asyncio.sleep(self.pause_s)
            except ConnectionClosed:
                self.cut += self.waiting
                self.waiting.clear()
                self.close_code = connection.close_code or 1006
                self.close_reason = connection.close_reason or ""

    async def ask(self, connection: ClientConnection) -> None:
        """Asks questions, and reads until all answers have come."""
        loop = asyncio.get_running_loop()
        for _ in range(self.at_once):
            question = f"{self.name}-{self.asked}"
            self.asked += 1
            self.waiting[question] = loop.time()
            await connection.send(question)
        while self.waiting:
            question, _, part = str(await connection.recv()).partition(" ")
            if part == "end":
                self.waits.append(loop.time() - self.waiting.pop(question))

    def is_told_when_to_return(self) -> bool:
        """Whether the close frame names a time to come back."""
        return RECONNECT_HINT.search(self.close_reason) is not None

    def longest_wait_s(self) -> float:
        """How long the oldest question without an answer has waited."""
        now = asyncio.get_running_loop().time()
        return max((now - asked for asked in self.waiting.values()), default=0.0)


@asynccontextmanager
async def asking(clients: Iterable[AskingClient]) -> AsyncIterator[list[asyncio.Task[None]]]:
    """Runs clients, and ends them on the way out."""
    tasks = [asyncio.create_task(client.run()) for client in clients]
    try:
        yield tasks
    finally:
        for task in tasks:
            await cancel_and_wait(task)
