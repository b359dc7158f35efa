"""One end of a tunnel: WebSocket frames (wsproto) over a stream. Each end also tracks whether its peer reads
and answers pings."""

from __future__ import annotations

import asyncio
import socket
import struct
from enum import StrEnum
from typing import Any

from wsproto.connection import Connection, ConnectionState, ConnectionType
from wsproto.events import CloseConnection, Event, Message, Ping, Pong
from wsproto.utilities import LocalProtocolError

from lapispass.core.shared_types import NEVER
from lapispass.gate.evented_reader import EventedReader
from lapispass.gate.limits import Limits

RESET = struct.pack("ii", 1, 0)  # SO_LINGER of zero: unsent bytes are dropped and the peer gets a reset


class PeerFailure(StrEnum):
    """Why a peer counts as gone. The member names appear in the counters' names."""

    STUCK = "never reads"
    SILENT = "answers no ping"


class Side:
    """A WebSocket connection to a client or to a node. Its name is 'screen' (a client) or 'node', as in the
    counters."""

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
        self.mid_message = False  # the peer is in the middle of a message
        self.message_size = 0  # bytes of that message so far
        self.sent_close = self.got_close = False
        self.pinged_at = 0  # when the oldest unanswered ping was sent; 0 if there is none
        self.last_read_at = now
        self.full_since = 0  # when its unsent bytes exceeded the bound; 0 if they do not
        self.token = 0
        self.acked_token = 0
        # The transport tells of room once it has been above `high`, so that must be where `full` begins.
        writer.transport.set_write_buffer_limits(high=buffer_bytes // 2, low=buffer_bytes // 4)

    def next_event(self) -> Event | None:
        """The next event in the bytes fed so far. An invalid frame gives a `CloseConnection` with its error
        code."""
        if self.got_close:
            return None
        event = next(iter(self.state.events()), None)
        if isinstance(event, CloseConnection):
            self.got_close = True
        return event

    def feed(self, piece: bytes, now: int) -> None:
        """Takes in bytes that were read. Bytes after a close frame are ignored."""
        self.last_read_at = now
        if not self.got_close and self.state.state in (ConnectionState.OPEN, ConnectionState.LOCAL_CLOSING):
            self.state.receive_data(piece)

    def count_fragment(self, event: Message[Any], limit: int) -> bool:
        """Counts a fragment of a message from the peer. False where the message is now too long."""
        self.message_size += len(event.data)
        if self.message_size > limit:
            return False
        self.mid_message = not event.message_finished
        if event.message_finished:
            self.message_size = 0
        return True

    @property
    def can_send(self) -> bool:
        """Whether anything may be sent: not after a close frame, nor on a lost connection."""
        return not self.sent_close and not self.writer.transport.is_closing()

    def send(self, event: Event) -> bool:
        """Sends an event and says whether that was possible."""
        if not self.can_send:
            return False
        try:
            data = self.state.send(event)
        except LocalProtocolError:
            return False
        self.sent_close = isinstance(event, CloseConnection)
        self.writer.write(data)
        return True

    def forward(self, event: Message[Any]) -> bool:
        """Forwards a message or a fragment from the other side. An empty fragment in the middle is left
        out."""
        if not event.data and not event.message_finished:
            return True
        return self.send(Message(data=event.data, message_finished=event.message_finished))

    def close(self, code: int, reason: str = "") -> bool:
        """Sends a close frame. Its reason is cut to 120 characters; a close frame has room for 123 bytes."""
        return self.send(CloseConnection(code=code, reason=reason[:120] or None))

    def ping(self, now: int) -> int:
        """Sends a ping and returns its token. The token comes back once the peer has read everything sent
        before the ping."""
        self.token += 1
        if self.send(Ping(payload=b"%d" % self.token)) and not self.pinged_at:
            self.pinged_at = now
        return self.token

    def on_pong(self, event: Pong) -> None:
        """Any pong shows that the peer is alive. The highest token answered counts, since a peer may answer
        only the last of several pings (RFC 6455 5.5.3)."""
        self.pinged_at = 0
        text = bytes(event.payload)
        if text.isdigit() and len(text) < 10 and int(text) <= self.token:
            self.acked_token = max(self.acked_token, int(text))

    @property
    def unsent_bytes(self) -> int:
        """What the system has not taken yet."""
        return self.writer.transport.get_write_buffer_size()

    @property
    def full(self) -> bool:
        """Whether so much is unsent that the other side must not be read now."""
        return self.unsent_bytes > self.buffer_bytes // 2

    @property
    def held_bytes(self) -> int:
        """What is held of it: input that is not handled, and output that is not sent."""
        return self.reader.unread + self.unsent_bytes

    def update_full_since(self, now: int) -> None:
        """Notes since when the peer has not been reading."""
        if not self.full:
            self.full_since = 0
        elif not self.full_since:
            self.full_since = now

    def check(self, now: int, limits: Limits) -> PeerFailure | None:
        """The reason why the peer counts as gone, or None. A peer that has been silent for `ping_us` is sent
        a ping."""
        self.update_full_since(now)
        if self.full_since and now - self.full_since > limits.stuck_us:
            return PeerFailure.STUCK
        if self.pinged_at and now - self.pinged_at > limits.pong_us:
            return PeerFailure.SILENT
        if now - self.last_read_at > limits.ping_us and not self.pinged_at and not self.sent_close:
            self.ping(now)
        return None

    def next_due(self, limits: Limits) -> int:
        """The time at which `check` has something to do even if nothing is received."""
        ping_at = self.pinged_at + limits.pong_us if self.pinged_at else self.last_read_at + limits.ping_us
        stuck_at = self.full_since + limits.stuck_us if self.full_since else NEVER
        return min(ping_at, stuck_at)

    @property
    def ended(self) -> bool:
        """The peer has ended the connection, or it broke, and all input has been read."""
        return self.reader.ended and not self.reader.unread

    def reset(self) -> None:
        """Ends the connection so that nothing more reaches the peer: unsent bytes are dropped here and in the
        kernel."""
        raw_socket: socket.socket | None = self.writer.get_extra_info("socket")
        if raw_socket is not None and not self.writer.transport.is_closing():
            try:
                raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            except OSError:
                pass
        self.writer.transport.abort()

    def close_after_flush(self, timeout_s: float) -> None:
        """Ends the connection after its unsent bytes have been sent. If the peer does not read, it is aborted
        after `timeout_s`."""
        transport = self.writer.transport
        if not transport.is_closing():
            transport.close()
        if transport.get_write_buffer_size():
            asyncio.get_running_loop().call_later(timeout_s, transport.abort)
