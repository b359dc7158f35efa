"""Opening a connection to a node, from the look-up of its address to its answer to the upgrade request."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import h11

from lapispass.core.steering import Admitted
from lapispass.gate import upgrade
from lapispass.gate.evented_reader import EventedReader, connect
from lapispass.gate.frames import Side
from lapispass.gate.host import GateHost
from lapispass.gate.upgrade import NodeHandshake, UpgradeRequest
from lapispass.net.http import within


class UpgradeFailed(Exception):
    """A node did not accept the upgrade. `final` is set where another node would give the same answer."""

    def __init__(self, why: str, status: int = 502, retry_after_us: int = 0) -> None:
        super().__init__(why)
        self.status, self.retry_after_us = status, retry_after_us
        self.final = 400 <= status < 500 and status not in (408, 425, 429)


@dataclass(frozen=True, slots=True)
class NodeOpener:
    """Opens connections to nodes for one client's upgrade request: the first one, and one for each move."""

    gate: GateHost
    upgrade_request: UpgradeRequest
    peer: str  # the client's address
    wake: asyncio.Event

    async def open(self, go: Admitted) -> tuple[Side, str | None]:
        """Connects to a node that answers 101. Raises `UpgradeFailed` otherwise."""
        gate, limits = self.gate, self.gate.limits
        address = gate.steering.tables.nodes.get(go.node)
        if address is None:
            raise UpgradeFailed("the node's address is not known")
        writer = None
        is_open = False
        try:
            async with gate.paced_work.turn():
                handshake = NodeHandshake(self.upgrade_request, address.address, self.peer, limits.head_bytes)
                request = handshake.request_bytes()
            reader, writer = await within(
                limits.connect_us,
                connect(address.address, limits.reader_bytes, self.wake, limits.read_bytes),
                limits.late_us,
                lambda streams: streams[1].transport.abort(),
            )
            writer.write(request)
            answering = read_answer(handshake, reader, limits.read_bytes)
            answer = await within(limits.upgrade_us, answering, limits.late_us)
            if answer.status != 101:
                raise UpgradeFailed(answer.why, answer.status, answer.retry_after_us)
            is_open = True
            side = Side("node", reader, writer, answer.early, gate.clock.now(), limits.buffer_bytes)
            return side, answer.protocol
        except (OSError, EOFError, h11.RemoteProtocolError, h11.LocalProtocolError) as error:
            raise UpgradeFailed(f"{type(error).__name__} {error}") from None
        finally:
            if writer is not None and not is_open:
                writer.transport.abort()


async def read_answer(handshake: NodeHandshake, reader: EventedReader, read_bytes: int) -> upgrade.NodeAnswer:
    """Reads a node's answer to an upgrade request."""
    while True:
        piece = await reader.read(read_bytes)
        if (answer := handshake.read(piece)) is not None:
            return answer
        if not piece:
            raise EOFError("the node closed the connection before it answered")
