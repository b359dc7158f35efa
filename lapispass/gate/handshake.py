"""The opening of a held connection: the gate reads the client's upgrade request and finds a node that accepts
it, or refuses it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol
from urllib.parse import parse_qsl

import h11

from lapispass.core.admission import Refused
from lapispass.core.memory_budget import MemoryAccount
from lapispass.core.shared_types import ConnectionClass
from lapispass.core.steering import MAX_NODE_TRIES, Admitted, Unsupported
from lapispass.gate import upgrade
from lapispass.gate.evented_reader import EventedReader
from lapispass.gate.frames import Side
from lapispass.gate.host import GateHost
from lapispass.gate.node_connection import NodeOpener, UpgradeFailed
from lapispass.gate.upgrade import BadUpgrade, HeadCounter, UpgradeRequest
from lapispass.net.streams import flush, has_input, read_arrived

MAX_READS_AFTER_REFUSAL = 64  # of further input, which is discarded


class Refusal(Exception):
    """The upgrade is refused with an HTTP status."""

    def __init__(self, status: int, why: str, retry_after_us: int = 0) -> None:
        super().__init__(why)
        self.status, self.retry_after_us = status, retry_after_us


class NoRequest(Exception):
    """The connection ended before its first byte, so nobody waits for an answer on it."""


class HandshakeHost(GateHost, Protocol):
    """What a handshake needs from its gate."""

    key_parameter: str

    def upgrade_finished(self) -> None:
        """The upgrade that the current task serves has its final answer."""


@dataclass(frozen=True, slots=True)
class Accepted:
    """An upgrade that a node has accepted and that has been confirmed to the client."""

    kind: ConnectionClass
    key: str | None
    go: Admitted
    node: Side
    protocol: str | None
    opener: NodeOpener
    early: bytes  # bytes received after the head
    head_bytes: int  # of the request, which is kept for moves to other nodes


class Handshake:
    """The upgrade handshake with one client."""

    def __init__(
        self,
        gate: HandshakeHost,
        reader: EventedReader,
        writer: asyncio.StreamWriter,
        account: MemoryAccount,
    ) -> None:
        self.gate, self.limits, self.clock = gate, gate.limits, gate.clock
        self.reader, self.writer = reader, writer
        self.state = h11.Connection(h11.SERVER, max_incomplete_event_size=self.limits.head_bytes)
        self.account = account
        self.head = HeadCounter(self.limits.head_fields)
        self.has_input_begun = False  # whether a byte has been received
        name = writer.get_extra_info("peername")
        self.peer = str(name[0]) if name else "unknown"

    async def run(self) -> Accepted | None:
        """Runs the handshake from the first byte to the answer. None if the upgrade was refused or the
        connection ended before."""
        gate = self.gate
        try:
            upgrade_request = await self.read_head()
            kind, key = self.classify(upgrade_request)
            opener = NodeOpener(gate, upgrade_request, self.peer, self.reader.wake)
            go, node, protocol = await self.open_node(kind, key, opener)
        except NoRequest:
            gate.counters["screens.never_asked"] += 1
            self.writer.transport.abort()
            return None
        except (Refusal, BadUpgrade) as error:
            await self.refuse(error)
            return None
        except (OSError, EOFError, h11.RemoteProtocolError) as error:
            gate.counters["screens.unfit"] += 1
            gate.log.rate_limited("invalid upgrade request", peer=self.peer, why=error)
            await self.refuse(BadUpgrade(400, "unreadable"))
            return None
        except asyncio.CancelledError:  # the gate stops; a client that has sent a request is answered first
            if self.has_input_begun or has_input(self.reader, self.writer):
                await self.refuse(Refusal(503, "the gate ends", return_delay_us(gate)))
            raise
        # The client may have left while the connection to its node was being opened.
        if self.reader.ended or self.writer.transport.is_closing():
            gate.steering.admission_failed(go.node)
            node.close_after_flush(0.0)
            gate.counters["screens.gone_early"] += 1
            return None
        self.writer.write(upgrade.accept_response(self.state, upgrade_request, protocol))
        early = self.state.trailing_data[0]
        return Accepted(kind, key, go, node, protocol, opener, early, self.head.received_bytes)

    async def read_head(self) -> UpgradeRequest:
        """Reads the whole head of the upgrade request within the time limit."""
        until = asyncio.get_running_loop().time() + self.limits.handshake_us / 1e6
        while True:
            piece = await self.read_head_piece(until)
            self.head.count(piece)
            if not self.account.hold(self.head.received_bytes, is_identified=False):
                raise Refusal(503, "no memory for a longer head", return_delay_us(self.gate))
            self.state.receive_data(piece)
            async with self.gate.paced_work.turn():
                if (upgrade_request := self.parse_received()) is not None:
                    return upgrade_request

    def parse_received(self) -> UpgradeRequest | None:
        """The request, once its head is complete; None before that."""
        event = self.state.next_event()
        if event is h11.NEED_DATA:
            return None
        if not isinstance(event, h11.Request):
            raise BadUpgrade(400, "an upgrade has no body")
        upgrade_request = upgrade.parse_upgrade(event, self.limits.list_words)
        if not isinstance(self.state.next_event(), h11.EndOfMessage):
            raise BadUpgrade(400, "an upgrade has no body")
        return upgrade_request

    async def read_head_piece(self, until: float) -> bytes:
        """The next bytes, until this time of the loop's clock. Bytes that arrived while the process was
        stalled are read even if the time is over."""
        limits = self.limits
        piece: bytes | None
        try:
            async with asyncio.timeout_at(until):
                piece = await self.reader.read(limits.read_bytes)
        except TimeoutError:
            piece = await read_arrived(self.reader, self.writer, limits.read_bytes, limits.late_us)
        if piece is None:
            raise self.head_timeout_error()
        if not piece:
            raise EOFError("connection closed within the request head") if self.has_input_begun else NoRequest
        self.has_input_begun = True
        return piece

    def head_timeout_error(self) -> Exception:
        """The error for a late head. Only a client that has begun to send a request is answered."""
        if not self.has_input_begun:
            return NoRequest()
        return BadUpgrade(408, "the head of the upgrade did not come in time")

    def classify(self, upgrade_request: UpgradeRequest) -> tuple[ConnectionClass, str | None]:
        """The class and the key of the connection that is requested."""
        kind = self.gate.steering.class_of(upgrade_request.path)
        if kind is None:
            raise Refusal(404, "no class has this path")
        name = self.gate.key_parameter
        query = upgrade_request.target.partition("?")[2]
        try:
            parameters = parse_qsl(query, max_num_fields=self.limits.query_fields)
        except ValueError:
            raise Refusal(400, "too many parameters") from None
        keys = [value for key, value in parameters if name and key == name]
        if len(keys) > 1 or (keys and len(keys[0]) > self.limits.key_bytes):
            raise Refusal(400, f"{name} stands twice, or is too long")
        return kind, keys[0] if keys and keys[0] else None

    async def open_node(
        self, kind: ConnectionClass, key: str | None, opener: NodeOpener
    ) -> tuple[Admitted, Side, str | None]:
        """Opens a connection to a node that accepts the upgrade. Raises a `Refusal` with a time to wait if
        none does."""
        steering, tried = self.gate.steering, []
        choice = steering.admit(self.clock.now(), kind, key)
        while True:
            if isinstance(choice, Unsupported):
                raise Refusal(400, choice.why)
            if isinstance(choice, Refused):
                raise Refusal(503, choice.why, choice.retry_after_us)
            tried.append(choice.node)
            try:
                side, protocol = await opener.open(choice)
                return choice, side, protocol
            except UpgradeFailed as error:
                steering.admission_failed(choice.node)
                self.gate.counters["nodes.refused"] += 1
                self.gate.log.rate_limited("node refused upgrade", node=choice.node, why=error)
                now = self.clock.now()
                if error.final:
                    raise Refusal(error.status, str(error)) from None
                if key is not None or len(tried) >= MAX_NODE_TRIES:
                    wait = steering.admission.refuse(now, "node took no upgrade", error.retry_after_us)
                    raise Refusal(503, wait.why, wait.retry_after_us) from None
                # Nothing is held or written yet, so another node may be tried.
                choice = steering.choose_node(now, tried)
            except BaseException:
                steering.admission_failed(choice.node)
                raise

    async def refuse(self, error: Refusal | BadUpgrade) -> None:
        """Sends the refusal at once, with the time to wait before a retry where that helps."""
        self.gate.upgrade_finished()
        self.gate.counters[f"screens.refused_{error.status}"] += 1
        headers = error.headers if isinstance(error, BadUpgrade) else ()
        wait = error.retry_after_us if isinstance(error, Refusal) else 0
        try:
            self.writer.write(upgrade.refusal_response(self.state, error.status, str(error), headers, wait))
            self.writer.write_eof()
            # If the connection were closed with unread input, the kernel would reset it and the answer
            # could be lost on its way (RFC 9112 9.6). So further input is read and discarded for a while.
            async with asyncio.timeout(self.limits.close_us / 1e6):
                for _ in range(MAX_READS_AFTER_REFUSAL):
                    if not await self.reader.read(self.limits.read_bytes):
                        break
        except (h11.LocalProtocolError, OSError):
            pass  # the input was not HTTP, or the client is gone: no answer is possible
        await flush(self.writer, self.limits.flush_us)
        self.writer.transport.abort()

    async def refuse_unread(self, why: str) -> None:
        """Refuses the request before it is read. A client that sends nothing within `Limits.flush_us` is
        disconnected without an answer."""
        if not await self.has_input_soon():
            self.gate.counters["screens.never_asked"] += 1
            self.writer.transport.abort()
            return
        await self.refuse(Refusal(503, why, return_delay_us(self.gate)))

    async def has_input_soon(self) -> bool:
        """Whether input arrives within `Limits.flush_us`. The input is not read."""
        until = self.clock.now() + self.limits.flush_us
        while not has_input(self.reader, self.writer):
            if self.reader.ended or self.clock.now() >= until:
                return False
            await asyncio.sleep(self.limits.tick_us / 1e6 / 10)
        return True


def return_delay_us(gate: GateHost) -> int:
    """The time from now after which a client may come back. Each client is given a different time."""
    return gate.steering.returns.delay_us(gate.clock.now())
