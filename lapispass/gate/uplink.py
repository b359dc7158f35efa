"""The gate's side of its channel to the controller: one task, one connection at a time, from hello to its
loss."""

from __future__ import annotations

import asyncio
import secrets

from lapispass.gate import wire
from lapispass.gate.channel import STREAM_ENDS, read_line
from lapispass.gate.host import TableHost
from lapispass.net.http import split_address, within


class Uplink:
    """Joins, keeps the lease, reports, and hands on what is ordered."""

    def __init__(self, gate: TableHost, address: str, secret: bytes) -> None:
        self.gate, self.address, self.secret = gate, address, secret
        self.writer: asyncio.StreamWriter | None = None  # while it has joined
        self.beats: dict[int, int] = {}  # number: when it was sent
        self.beat = self.serial = 0
        self.boot = secrets.token_hex(8)
        self.asked: dict[int, int] = {}  # mark: when it came

    async def run(self) -> None:
        """Again and again, with waits that double and are spread by the gate's chance."""
        limits, gate = self.gate.limits, self.gate
        wait_us = limits.again_least_us
        while True:
            begun = gate.clock.now()
            try:
                await self.join()
            except STREAM_ENDS as error:
                gate.counters["uplink.lost"] += 1
                gate.log.rate_limited(
                    "no controller", address=self.address, why=f"{type(error).__name__} {error}"
                )
            finally:
                if self.writer is not None:
                    self.writer.transport.abort()
                self.writer = None
                gate.steering.fences.restart()
                self.asked.clear()
            lasted = gate.clock.now() - begun
            wait_us = (
                limits.again_least_us
                if lasted > 10 * limits.beat_us
                else min(limits.again_most_us, 2 * wait_us)
            )
            await asyncio.sleep(wait_us * (0.5 + gate.steering.returns.draw()) / 1e6)

    async def join(self) -> None:
        """One stream: challenge, hello, welcome; then whatever is told, until it ends."""
        gate, limits = self.gate, self.gate.limits
        reader, writer = await within(
            limits.connect_us,
            asyncio.open_connection(*split_address(self.address), limit=limits.line_bytes),
            limits.late_us,
            lambda streams: streams[1].transport.abort(),
        )
        try:
            deadline = gate.clock.now() + limits.connect_us  # for both messages of the handshake
            challenge = await self.hear(reader, limits.connect_us)
            if not isinstance(challenge, wire.Challenge) or challenge.protocol != wire.PROTOCOL:
                raise ValueError("it speaks another protocol")
            nonce, now = secrets.token_hex(16), gate.clock.now()
            steering, name = gate.steering, gate.settings.name
            hello = wire.hello(
                name,
                self.boot,
                gate.settings.zone,
                nonce,
                wire.proof(self.secret, challenge.nonce, name),
                steering.tables,
                steering.plan_version(),
                steering.drains(now),
            )
            writer.write(wire.line(hello))
            welcome = await self.hear(reader, deadline - gate.clock.now())
            if isinstance(welcome, wire.Refusal):
                raise ValueError(f"refused: {welcome.why}")
            if not isinstance(welcome, wire.Welcome) or not wire.proven(
                self.secret, welcome.proof, nonce, "controller"
            ):
                raise ValueError("it does not hold the key")
            if steering.lease is not None:
                steering.lease.length_us = min(limits.lease_us, welcome.lease_us)
            self.writer = writer
            self.beats.clear()
            gate.counters["uplink.joined"] += 1
            gate.log.say("joined", controller=self.address)
            telling = asyncio.get_running_loop().create_task(self.tell(writer))
            try:
                while True:
                    self.take(await self.hear(reader, 4 * limits.beat_us))  # beats are answered
                    if telling.done():
                        telling.result()
            finally:
                telling.cancel()
        finally:
            writer.transport.abort()

    async def hear(self, reader: asyncio.StreamReader, wait_us: int) -> wire.FromController:
        """The next message."""
        return wire.CONTROLLER.decode(await read_line(reader, wait_us, self.gate.limits.late_us))

    def take(self, message: wire.FromController) -> None:
        """What the controller says; a plan that makes no sense is refused whole, by name."""
        gate, now = self.gate, self.gate.clock.now()
        match message:
            case wire.Beat(number):
                sent = self.beats.pop(number, None)
                if sent is not None and gate.steering.lease is not None:
                    gate.steering.lease.renew(sent)
            case wire.Turn():
                gate.counters["uplink.turns"] += 1
                if message.mark is not None:
                    self.asked[message.mark] = now
                gate.carry_out(wire.changes(message))
            case wire.PlanTold():
                gate.counters["uplink.plans"] += 1
                try:
                    plan = wire.plan(message, now)
                except ValueError as error:
                    gate.counters["uplink.plans_refused"] += 1
                    gate.log.rate_limited("plan refused", version=message.version, why=error)
                    return
                if not gate.follow(plan):
                    gate.counters["uplink.plans_old"] += 1
            case _:
                raise ValueError(f"unasked {type(message).__name__}")

    async def tell(self, writer: asyncio.StreamWriter) -> None:
        """Beats and reports, as long as the stream stands."""
        gate, limits = self.gate, self.gate.limits
        reported = 0
        while True:
            now = gate.clock.now()
            self.beat += 1
            self.beats[self.beat] = now
            while len(self.beats) > 32:
                self.beats.pop(next(iter(self.beats)))
            writer.write(wire.line(wire.Beat(self.beat)))
            if now - reported >= limits.report_us:
                reported = now
                self.serial += 1
                rows = {
                    node: {
                        name: (row.held, row.opened, row.messages, row.octets)
                        for name, row in by_class.items()
                    }
                    for node, by_class in gate.steering.book.report().items()
                }
                writer.write(wire.line(wire.Report(self.serial, rows)))
            await writer.drain()
            await asyncio.sleep(limits.beat_us / 1e6)

    def answer(self, marks: list[int]) -> None:
        """Marks whose tables rule here now; none on a stream that did not ask them."""
        now = self.gate.clock.now()
        known = [(mark, now - self.asked.pop(mark)) for mark in marks if mark in self.asked]
        if known and self.writer is not None:
            self.gate.counters["uplink.answers"] += len(known)
            self.writer.write(wire.line(wire.Answer(known)))
