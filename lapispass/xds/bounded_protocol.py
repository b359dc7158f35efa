"""An HTTP/2 connection of an xDS client, with bounds on what it may send and have held.

grpclib takes a connection's first settings from h2's defaults, closes it without a word for a protocol error,
and has no bound on the size of a message. Here the first settings state the bounds, a connection that breaks
them is told so by a GOAWAY frame, and messages are read in pieces that are counted.
"""

from __future__ import annotations

import asyncio
import struct
from typing import Any

import h2.exceptions
from google.protobuf.message import DecodeError
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.protocol import Connection, EventsProcessor, H2Protocol
from grpclib.server import Stream
from h2.connection import H2Connection
from h2.errors import ErrorCodes
from h2.settings import SettingCodes, Settings

from lapispass.core.memory_budget import MemoryBudget
from lapispass.net.http import within

MAX_MESSAGE_BYTES = 4 << 20  # the usual bound of gRPC
MAX_STREAMS = 8  # of a connection; a client needs one for resources and one for load reports
MAX_HEADER_BYTES = 8 << 10  # of a request's header fields, each of which counts 32 bytes more
WINDOW_BYTES = (1 << 16) - 1  # that a client may send before it is read, on a stream and on a connection
MAX_HEADER_BLOCK_BYTES = 4 << 10  # of these as they are sent, compressed, in all frames of the block
PREFACE_BYTES = 24  # by which a connection begins
FRAME_HEAD_BYTES = 9
HEADERS, CONTINUATION = 1, 9  # types of frames with header fields
MAX_UNSENT_BYTES = 256 << 10  # of answers to frames that ask for one; larger ones wait to be sent
READ_BYTES = 4 << 10  # at a time, before other connections are served
PIECE_BYTES = 16 << 10
MESSAGE_TIMEOUT_US = 2_000_000  # from a message's head to its end
LINGER_S = 0.2  # between a refusal and the close, for the client to read it
LATE_US = 100_000  # a timer that fires later than this shows that the process was paused
MESSAGE_HEAD = struct.Struct(">?I")  # whether it is compressed, and its length
SETTINGS = {
    SettingCodes.INITIAL_WINDOW_SIZE: WINDOW_BYTES,
    SettingCodes.MAX_CONCURRENT_STREAMS: MAX_STREAMS,
    SettingCodes.MAX_HEADER_LIST_SIZE: MAX_HEADER_BYTES,
}


class HeaderBlockTooLong(Exception):
    """A block of header fields is longer than allowed."""


class HeaderBlockCounter:
    """Counts the bytes of header blocks as they come, before they are kept or decoded."""

    def __init__(self) -> None:
        self._left = PREFACE_BYTES  # of the current frame
        self._head = b""  # of the next frame, as far as it has come
        self._block_bytes = 0

    def count(self, data: bytes) -> None:
        """Takes in the next bytes. Raises `HeaderBlockTooLong`."""
        position = 0
        while position < len(data):
            if self._left:
                skipped = min(self._left, len(data) - position)
                self._left -= skipped
                position += skipped
                continue
            missing = FRAME_HEAD_BYTES - len(self._head)
            self._head += data[position : position + missing]
            position += missing
            if len(self._head) == FRAME_HEAD_BYTES:
                self._begin_frame(self._head)
                self._head = b""

    def _begin_frame(self, head: bytes) -> None:
        self._left, kind = int.from_bytes(head[:3]), head[3]
        if kind not in (HEADERS, CONTINUATION):
            return
        self._block_bytes = self._left + (self._block_bytes if kind == CONTINUATION else 0)
        if self._block_bytes > MAX_HEADER_BLOCK_BYTES:
            raise HeaderBlockTooLong(f"a block of header fields has {self._block_bytes} bytes or more")


class BoundedProtocol(H2Protocol):
    """A connection whose settings are the bounds above from its first byte on."""

    def __init__(self, plain: H2Protocol) -> None:
        super().__init__(plain.handler, plain.config, plain.h2_config)
        self.header_blocks = HeaderBlockCounter()
        self.is_refused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        state = H2Connection(config=self.h2_config)
        state.local_settings = Settings(client=False, initial_values=SETTINGS)
        state.decoder.max_header_list_size = MAX_HEADER_BYTES
        state.initiate_connection()
        self.state, self.transport = state, transport
        self.connection = Connection(state, transport, config=self.config)
        self.connection.flush()
        self.connection.initialize()
        self.processor = EventsProcessor(self.handler, self.connection)

    def data_received(self, data: bytes) -> None:
        if self.is_refused:
            return
        try:
            self.header_blocks.count(data)
            events = self.connection.feed(data)
        except (HeaderBlockTooLong, h2.exceptions.ProtocolError) as error:
            self.refuse(str(error))
            return
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.transport.abort()  # it does not read, so it can be told nothing
            return
        self.connection.flush()
        for event in events:
            if type(event) in getattr(self.processor, "processors", ()):
                self.processor.process(event)
        if not self.connection.is_closing():
            self.connection.flush()

    def refuse(self, why: str) -> None:
        """Ends the connection with a GOAWAY frame.

        Further input is read and dropped for a moment: a close with unread input resets the connection, and
        the reset may overtake the frame.
        """
        self.is_refused = True
        try:
            self.state.close_connection(ErrorCodes.ENHANCE_YOUR_CALM)
        except h2.exceptions.ProtocolError:
            pass  # h2 has prepared one of its own
        if self.connection.is_closing():
            return
        self.connection.flush()
        for stream in list(self.processor.streams.values()):
            stream.__terminated__(why)
        asyncio.get_running_loop().call_later(LINGER_S, self.processor.close, why)


class MessageReader:
    """Reads the messages of one stream in pieces, and counts what is held of an incomplete one."""

    def __init__(self, stream: Stream[Any, Any], message_type: Any, memory: MemoryBudget) -> None:
        self.received = stream._stream  # grpclib offers no public way to read a message in pieces
        self.message_type, self.account = message_type, memory.open_account()
        self.is_identified = False  # its client has sent a first message that was accepted

    async def read(self) -> Any | None:
        """The next message; None at the end of the stream.

        Raises `GRPCError` for one that is malformed or too long, that is not complete in time, or for which
        there is no memory.
        """
        try:
            if not (head := await self.received.recv_data(MESSAGE_HEAD.size)):
                return None
            body = await within(MESSAGE_TIMEOUT_US, self.read_body(*MESSAGE_HEAD.unpack(head)), LATE_US)
            message = self.message_type.FromString(body)
        except TimeoutError:
            raise GRPCError(Status.DEADLINE_EXCEEDED, "a message was not completed in time") from None
        except (AssertionError, DecodeError):  # grpclib asserts that a message is complete at the end
            raise GRPCError(Status.INVALID_ARGUMENT, "malformed message") from None
        finally:
            self.account.hold(0)
        self.is_identified = True
        return message

    async def read_body(self, is_compressed: bool, length: int) -> bytes:
        """A message without its head."""
        if is_compressed:
            raise GRPCError(Status.UNIMPLEMENTED, "compressed messages are not supported")
        if length > MAX_MESSAGE_BYTES:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, f"a message has at most {MAX_MESSAGE_BYTES} bytes")
        body = bytearray()
        while len(body) < length:
            body += await self.received.recv_data(min(length - len(body), PIECE_BYTES))
            if not self.account.hold(len(body), self.is_identified):
                raise GRPCError(Status.RESOURCE_EXHAUSTED, "no memory for a longer message; retry in 1 s")
        return bytes(body)
