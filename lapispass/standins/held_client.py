"""Screens that hold a connection all day and come back as browsers do: after a close, with back-off, or as
told."""

from __future__ import annotations

import asyncio
import random
import re
from dataclasses import dataclass, field
from typing import NamedTuple

from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import ConnectionClosed, InvalidHandshake, InvalidMessage, InvalidStatus

from lapispass.standins.nodes import clock_us

COME_BACK = re.compile(r"come-back-ms=(\d+)")


class ConnectionEnd(NamedTuple):
    """How one of a screen's connections ended, as the screen saw it."""

    at_us: int
    code: int
    reason: str


class RefusedUpgrade(NamedTuple):
    """An upgrade that was answered otherwise."""

    at_us: int
    status: int
    retry_after_ms: int


@dataclass
class HeldClient:
    """One screen. With `writes_every_s` it writes to its key, each write numbered, and never sends one
    twice."""

    url: str
    name: str
    seed: int
    key: str = ""
    writes_every_s: float = 0.0
    obeys_hints: bool = True  # comes back when it is told, else after its own back-off alone
    connected_count: int = 0  # connections that stood
    ends: list[ConnectionEnd] = field(default_factory=list)
    refusals: list[RefusedUpgrade] = field(default_factory=list)
    sent: dict[str, int] = field(default_factory=dict)  # number of each write: when it was sent
    answered: set[str] = field(default_factory=set)
    received: list[str] = field(default_factory=list)
    open: bool = False
    back_off_s: float = 0.2
    message_limit: int = 1000  # messages

    async def run(self) -> None:
        """Connects, stays, comes back; until it is cancelled."""
        chance = random.Random(self.seed)
        failed = 0
        while True:
            wait_s = min(10.0, self.back_off_s * 2 ** min(failed, 6)) * (0.5 + chance.random())
            try:
                async with connect(
                    self.url,
                    compression=None,
                    ping_interval=None,
                    max_size=None,
                    close_timeout=2,
                    open_timeout=10,
                ) as connection:
                    self.connected_count, self.open, failed = self.connected_count + 1, True, 0
                    try:
                        await self.stay(connection, chance)
                    finally:
                        self.open = False
                        self.ends.append(
                            ConnectionEnd(
                                clock_us(), connection.close_code or 1006, connection.close_reason or ""
                            )
                        )
            except InvalidStatus as error:
                failed += 1
                told = int(error.response.headers.get("Retry-After-Ms", "0"))
                self.refusals.append(RefusedUpgrade(clock_us(), error.response.status_code, told))
                wait_s = told / 1000 if told and self.obeys_hints else wait_s
            except (OSError, ConnectionClosed, InvalidHandshake, InvalidMessage, EOFError):
                failed += 1
            else:
                told_back = COME_BACK.search(self.ends[-1].reason)
                wait_s = int(told_back[1]) / 1000 if told_back and self.obeys_hints else wait_s
            await asyncio.sleep(wait_s)

    async def stay(self, connection: ClientConnection, chance: random.Random) -> None:
        """Until it is closed: takes what comes, and writes now and then."""
        writing = asyncio.create_task(self.write(connection, chance)) if self.writes_every_s else None
        try:
            while True:
                message = await connection.recv()
                if isinstance(message, str):
                    if message.startswith("ok "):
                        self.answered.add(message[3:])
                    elif len(self.received) < self.message_limit:
                        self.received.append(message)
        except ConnectionClosed:
            pass
        finally:
            if writing is not None:
                writing.cancel()
                await asyncio.gather(writing, return_exceptions=True)

    async def write(self, connection: ClientConnection, chance: random.Random) -> None:
        while True:
            await asyncio.sleep(self.writes_every_s * (0.5 + chance.random()))
            number = f"{self.name}-{len(self.sent)}"
            self.sent[number] = clock_us()
            await connection.send(f"w {self.key} {number}")
