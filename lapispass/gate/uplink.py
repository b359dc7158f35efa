"""The gate's side of its channel to the controller. One task keeps one connection at a time and reconnects
when it is lost."""

from __future__ import annotations

import asyncio
import secrets

from lapispass.gate import wire
from lapispass.gate.channel import STREAM_ENDS, read_line
from lapispass.gate.host import TableHost
from lapispass.net.http import split_address, within


class Uplink:
    """Joins the controller, keeps the lease, sends reports, and passes table changes and plans to the
    gate."""

    def __init__(self, gate: TableHost, address: str, secret: bytes) -> None:
        self.gate, self.address, self.secret = gate, address, secret
        self.writer: asyncio.StreamWriter | None = None  # set while the gate has joined
        self.heartbeats_sent: dict[int, int] = {}  # number: time sent
        self.heartbeat_number = self.serial = 0
        self.boot = secrets.token_hex(8)
        self.barriers_at: dict[int, int] = {}  # mark: time received

    async def run(self) -> None:
        """Joins again and again. The waits between attempts double and are randomised."""
        limits, gate = self.gate.limits, self.gate
        wait_us = limits.retry_min_us
        while True:
            started = gate.clock.now()
            try:
                await self.join()
            except STREAM_ENDS as error:
                gate.counters["uplink.lost"] += 1
                gate.log.rate_limited(
                    "controller connection lost", address=self.address, why=f"{type(error).__name__} {error}"
                )
            finally:
                if self.writer is not None:
                    self.writer.transport.abort()
                self.writer = None
                gate.steering.barriers.reset()
                self.barriers_at.clear()
            lasted = gate.clock.now() - started
            wait_us = (
                limits.retry_min_us
                if lasted > 10 * limits.heartbeat_us
                else min(limits.retry_max_us, 2 * wait_us)
            )
            await asyncio.sleep(wait_us * (0.5 + gate.steering.returns.draw()) / 1e6)

    async def join(self) -> None:
        """One connection: challenge, hello, welcome; then all further messages until it ends."""
        gate, limits = self.gate, self.gate.limits
        reader, writer = await within(
            limits.connect_us,
            asyncio.open_connection(*split_address(self.address), limit=limits.line_bytes),
            limits.late_us,
            lambda streams: streams[1].transport.abort(),
        )
        try:
            deadline = gate.clock.now() + limits.connect_us  # for both messages of the handshake
            challenge = await self.receive(reader, limits.connect_us)
            if not isinstance(challenge, wire.Challenge) or challenge.protocol != wire.PROTOCOL:
                raise ValueError("the controller sent no challenge of this protocol version")
            nonce, now = secrets.token_hex(16), gate.clock.now()
            steering, name = gate.steering, gate.settings.name
            hello = wire.hello_message(
                name,
                self.boot,
                gate.settings.zone,
                nonce,
                wire.proof(self.secret, challenge.nonce, name),
                steering.tables,
                steering.plan_version(),
                steering.drains(now),
            )
            writer.write(wire.encode_line(hello))
            welcome = await self.receive(reader, deadline - gate.clock.now())
            if isinstance(welcome, wire.Refusal):
                raise ValueError(f"refused by the controller: {welcome.why}")
            if not isinstance(welcome, wire.Welcome) or not wire.verify_proof(
                self.secret, welcome.proof, nonce, "controller"
            ):
                raise ValueError("the controller did not prove that it holds the key")
            if steering.lease is not None:
                steering.lease.length_us = min(limits.lease_us, welcome.lease_us)
            self.writer = writer
            self.heartbeats_sent.clear()
            gate.counters["uplink.joined"] += 1
            gate.log.info("joined controller", controller=self.address)
            sending = asyncio.get_running_loop().create_task(self.send_heartbeats(writer))
            try:
                while True:
                    # The controller answers each heartbeat, so four intervals without a message mean it is
                    # lost.
                    self.handle(await self.receive(reader, 4 * limits.heartbeat_us))
                    if sending.done():
                        sending.result()
            finally:
                sending.cancel()
        finally:
            writer.transport.abort()

    async def receive(self, reader: asyncio.StreamReader, wait_us: int) -> wire.FromController:
        """The next message from the controller."""
        return wire.CONTROLLER_DECODER.decode(await read_line(reader, wait_us, self.gate.limits.late_us))

    def handle(self, message: wire.FromController) -> None:
        """Handles a message of the controller. An invalid plan is refused as a whole and logged."""
        gate, now = self.gate, self.gate.clock.now()
        match message:
            case wire.Heartbeat(number):
                sent = self.heartbeats_sent.pop(number, None)
                if sent is not None and gate.steering.lease is not None:
                    gate.steering.lease.renew(sent)
            case wire.Turn():
                gate.counters["uplink.turns"] += 1
                if message.mark is not None:
                    self.barriers_at[message.mark] = now
                gate.apply_changes(wire.table_changes(message))
            case wire.PlanMessage():
                gate.counters["uplink.plans"] += 1
                try:
                    plan = wire.parse_plan(message, now)
                except ValueError as error:
                    gate.counters["uplink.plans_refused"] += 1
                    gate.log.rate_limited("plan refused", version=message.version, why=error)
                    return
                if not gate.follow_plan(plan):
                    gate.counters["uplink.plans_old"] += 1
            case _:
                raise ValueError(f"unexpected message {type(message).__name__}")

    async def send_heartbeats(self, writer: asyncio.StreamWriter) -> None:
        """Sends heartbeats and reports as long as the connection is open."""
        gate, limits = self.gate, self.gate.limits
        reported = 0
        while True:
            now = gate.clock.now()
            self.heartbeat_number += 1
            self.heartbeats_sent[self.heartbeat_number] = now
            while len(self.heartbeats_sent) > 32:
                self.heartbeats_sent.pop(next(iter(self.heartbeats_sent)))
            writer.write(wire.encode_line(wire.Heartbeat(self.heartbeat_number)))
            if now - reported >= limits.report_us:
                reported = now
                self.serial += 1
                rows = {
                    node: {
                        name: (row.held, row.opened, row.messages, row.octets)
                        for name, row in by_class.items()
                    }
                    for node, by_class in gate.steering.connections.report().items()
                }
                writer.write(wire.encode_line(wire.Report(self.serial, rows)))
            await writer.drain()
            await asyncio.sleep(limits.heartbeat_us / 1e6)

    def acknowledge(self, marks: list[int]) -> None:
        """Acknowledges barriers whose tables are in force now, if they were received on this connection."""
        now = self.gate.clock.now()
        acknowledged = [
            (mark, now - self.barriers_at.pop(mark)) for mark in marks if mark in self.barriers_at
        ]
        if acknowledged and self.writer is not None:
            self.gate.counters["uplink.answers"] += len(acknowledged)
            self.writer.write(wire.encode_line(wire.BarrierAcks(acknowledged)))
