"""One end of a tunnel: wsproto's frames over a stream, with what is known of the peer's reading and
answering."""

from __future__ import annotations

import asyncio
import socket
import struct
from enum import StrEnum
from typing import Any

from wsproto.connection import Connection, ConnectionState, ConnectionType
from wsproto.events import CloseConnection, Event, Message, Ping, Pong
from wsproto.utilities import LocalProtocolError

from lapispass.core.facts import NEVER
from lapispass.gate.evented_reader import EventedReader
from lapispass.gate.limits import Limits

RESET = struct.pack("ii", 1, 0)  # SO_LINGER with no time: what is unsent is dropped, the peer gets a reset


class PeerFailure(StrEnum):
    """Why a peer counts as gone. The names are those of the counters."""

    STUCK = "never reads"
    SILENT = "answers no ping"


class Side:
    """A WebSocket connection to a client or to a node; named 'screen' or 'node', as in the counters."""

    __slots__ = (
        "acked_token",
        "buffer_bytes",
        "full_since",
        "got_close",
        "last_read_at",
        "message_size",
        "mid_message",
        "name",
        "pinged_at",
        "reader",
        "sent_close",
        "state",
        "token",
        "writer",
    )

    def __init__(
        self,
        name: str,
        reader: EventedReader,
        writer: asyncio.StreamWriter,
        early: bytes,
        now: int,
        buffer_bytes: int,
    ) -> None:
        self.name, self.reader, self.writer, self.buffer_bytes = name, reader, writer, buffer_bytes
        kind = ConnectionType.SERVER if name == "screen" else ConnectionType.CLIENT
        self.state = Connection(kind, trailing_data=early)
        self.mid_message = False  # in the middle of a message that it sends
        self.message_size = 0  # of that message
        self.sent_close = self.got_close = False
        self.pinged_at = 0  # a ping of ours is out since then
        self.last_read_at = now
        self.full_since = 0  # its unsent bytes have been over the bound since then
        self.token = 0
        self.acked_token = 0
        writer.transport.set_write_buffer_limits(high=buffer_bytes, low=buffer_bytes // 2)

    def next_event(self) -> Event | None:
        """The next event of what has been read; a junk frame shows as a `CloseConnection` with its code."""
        if self.got_close:
            return None
        event = next(iter(self.state.events()), None)
        if isinstance(event, CloseConnection):
            self.got_close = True
        return event

    def feed(self, piece: bytes, now: int) -> None:
        """What was read; behind a close nothing counts."""
        self.last_read_at = now
        if not self.got_close and self.state.state in (ConnectionState.OPEN, ConnectionState.LOCAL_CLOSING):
            self.state.receive_data(piece)

    def count_fragment(self, event: Message[Any], most: int) -> bool:
        """Counts a piece of a message that it sends; False where the message is too long by now."""
        self.message_size += len(event.data)
        if self.message_size > most:
            return False
        self.mid_message = not event.message_finished
        if event.message_finished:
            self.message_size = 0
        return True

    def send(self, event: Event) -> bool:
        """Whether it could be sent; nothing can behind a close, or into a connection that is lost."""
        if self.sent_close or self.writer.transport.is_closing():
            return False
        try:
            data = self.state.send(event)
        except LocalProtocolError:
            return False
        self.sent_close = isinstance(event, CloseConnection)
        self.writer.write(data)
        return True

    def forward(self, event: Message[Any]) -> bool:
        """A message, or a piece of one, from the other side. An empty piece in the middle is left out."""
        if not event.data and not event.message_finished:
            return True
        return self.send(Message(data=event.data, message_finished=event.message_finished))

    def close(self, code: int, reason: str = "") -> bool:
        """A close frame; its reason is cut to the 123 bytes that fit."""
        return self.send(CloseConnection(code=code, reason=reason[:120] or None))

    def ping(self, now: int) -> int:
        """A ping; its token, which comes back once the peer has read all that was sent before."""
        self.token += 1
        if self.send(Ping(payload=b"%d" % self.token)) and not self.pinged_at:
            self.pinged_at = now
        return self.token

    def on_pong(self, event: Pong) -> None:
        """Any answer is a sign of life; the highest token answered counts, since a peer may answer only the
        last."""
        self.pinged_at = 0
        text = bytes(event.payload)
        if text.isdigit() and len(text) < 10 and int(text) <= self.token:
            self.acked_token = max(self.acked_token, int(text))

    @property
    def full(self) -> bool:
        """Whether so much is unsent that the other side is read no further."""
        return self.writer.transport.get_write_buffer_size() > self.buffer_bytes // 2

    def update_full_since(self, now: int) -> None:
        """Notes since when it has not been reading."""
        if not self.full:
            self.full_since = 0
        elif not self.full_since:
            self.full_since = now

    def check(self, now: int, limits: Limits) -> PeerFailure | None:
        """Why the peer counts as gone; one that has been silent for a while is sent a ping."""
        self.update_full_since(now)
        if self.full_since and now - self.full_since > limits.stuck_us:
            return PeerFailure.STUCK
        if self.pinged_at and now - self.pinged_at > limits.pong_us:
            return PeerFailure.SILENT
        if now - self.last_read_at > limits.ping_us and not self.pinged_at and not self.sent_close:
            self.ping(now)
        return None

    def next_due(self, limits: Limits) -> int:
        """When `check` has something to do without anything coming."""
        ping_at = self.pinged_at + limits.pong_us if self.pinged_at else self.last_read_at + limits.ping_us
        stuck_at = self.full_since + limits.stuck_us if self.full_since else NEVER
        return min(ping_at, stuck_at)

    @property
    def ended(self) -> bool:
        """Ended by the peer, or broken, and all that came has been read."""
        return self.reader.ended and not self.reader.unread

    def reset(self) -> None:
        """Ends it so that nothing more reaches the peer: unsent bytes are dropped here and in the kernel."""
        opened: socket.socket | None = self.writer.get_extra_info("socket")
        if opened is not None and not self.writer.transport.is_closing():
            try:
                opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            except OSError:
                pass
        self.writer.transport.abort()

    def close_after_flush(self, timeout_s: float) -> None:
        """Ends it after what is unsent has gone out; a peer that does not read is not waited for longer
        than that."""
        transport = self.writer.transport
        if not transport.is_closing():
            transport.close()
        if transport.get_write_buffer_size():
            asyncio.get_running_loop().call_later(timeout_s, transport.abort)
