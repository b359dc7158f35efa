"""The opening handshake of RFC 6455, on h11: as a server towards clients, as a client towards nodes.

This module does no I/O; it takes and returns bytes.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import os
import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil

import h11

ACCEPT_GUID = b"258EAFA5-E914-47DA-95CA-C5AB0DC85B11"
# Headers that apply to one hop (RFC 9110 7.6.1) or that the gate creates itself. Extensions are not
# forwarded: the gate reads every frame, so it declines compression on both sides.
NOT_FORWARDED = {
    b"connection",
    b"upgrade",
    b"host",
    b"keep-alive",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"proxy-connection",
    b"content-length",
    b"sec-websocket-key",
    b"sec-websocket-version",
    b"sec-websocket-extensions",
    b"proxy-authenticate",
    b"proxy-authorization",
}
HEAD_END = re.compile(rb"\n\r?\n")
# Header fields with comma-separated words that the gate reads.
LISTS = {b"upgrade", b"connection", b"sec-websocket-version", b"sec-websocket-protocol"}


class BadUpgrade(Exception):
    """The request is not an upgrade that can be served. `status` and `headers` are for the response."""

    def __init__(self, status: int, why: str, headers: tuple[tuple[str, str], ...] = ()) -> None:
        super().__init__(why)
        self.status, self.headers = status, headers


class HeadCounter:
    """Counts the lines of a request's head as it comes, before any of its fields is parsed."""

    def __init__(self, max_fields: int) -> None:
        self.max_fields, self.received_bytes, self.lines = max_fields, 0, 0
        self._tail = b""  # the last bytes, in which the end of the head may begin
        self._is_complete = False

    def count(self, piece: bytes) -> None:
        """Takes in the next bytes. Raises `BadUpgrade` for too many lines."""
        if self._is_complete:
            return
        joined = self._tail + piece
        match = HEAD_END.search(joined)
        end = match.end() if match else len(joined)
        self._is_complete = match is not None
        self.received_bytes += end - len(self._tail)
        self.lines += joined.count(b"\n", len(self._tail), end)
        self._tail = joined[-2:]
        if self.lines > self.max_fields + 2:  # the request line and the empty one at the end
            raise BadUpgrade(431, f"more than {self.max_fields} header fields")


@dataclass(frozen=True, slots=True)
class UpgradeRequest:
    """A client's upgrade request."""

    target: str
    key: bytes
    protocols: tuple[str, ...]
    headers: tuple[tuple[bytes, bytes], ...]  # to be forwarded to the node
    host: bytes

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]


def tokens(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> list[str]:
    """The comma-separated words in all headers with this name."""
    return [
        word.strip().decode("latin-1")
        for key, value in headers
        if key == name
        for word in value.split(b",")
        if word.strip()
    ]


def parse_upgrade(request: h11.Request, max_words: int) -> UpgradeRequest:
    """The upgrade that an HTTP request asks for. Raises `BadUpgrade` if it is not valid.

    `max_words`: comma-separated words that all fields of a name which the gate reads may have together.
    """
    headers = list(request.headers)
    words: Counter[bytes] = Counter()
    for key, value in headers:
        words[key] += value.count(b",") + 1
    if max(words[name] for name in LISTS) > max_words:
        raise BadUpgrade(431, f"more than {max_words} words in a header field")
    if "websocket" not in (word.lower() for word in tokens(headers, b"upgrade")) or "upgrade" not in (
        word.lower() for word in tokens(headers, b"connection")
    ):
        raise BadUpgrade(426, "no upgrade to websocket", (("Upgrade", "websocket"),))
    if request.method != b"GET" or request.http_version != b"1.1":
        raise BadUpgrade(400, "an upgrade is a GET of HTTP/1.1")
    if any(
        (key == b"content-length" and value != b"0") or key == b"transfer-encoding" for key, value in headers
    ):
        raise BadUpgrade(400, "an upgrade has no body")
    if tokens(headers, b"sec-websocket-version") != ["13"]:
        raise BadUpgrade(426, "only version 13", (("Sec-WebSocket-Version", "13"), ("Upgrade", "websocket")))
    keys = [value for key, value in headers if key == b"sec-websocket-key"]
    try:
        is_valid = len(keys) == 1 and len(base64.b64decode(keys[0], validate=True)) == 16
    except binascii.Error:
        is_valid = False
    if not is_valid:
        raise BadUpgrade(400, "Sec-WebSocket-Key is not 16 bytes in base64")
    host = next((value for key, value in headers if key == b"host"), b"")
    return UpgradeRequest(
        request.target.decode("latin-1"),
        keys[0],
        tuple(tokens(headers, b"sec-websocket-protocol")),
        tuple((key, value) for key, value in headers if key not in NOT_FORWARDED),
        host,
    )


def accept_value(key: bytes) -> bytes:
    return base64.b64encode(hashlib.sha1(key + ACCEPT_GUID, usedforsecurity=False).digest())


def accept_response(state: h11.Connection, upgrade_request: UpgradeRequest, protocol: str | None) -> bytes:
    """The 101 response, with the subprotocol that the node has chosen."""
    headers = [
        (b"upgrade", b"websocket"),
        (b"connection", b"Upgrade"),
        (b"sec-websocket-accept", accept_value(upgrade_request.key)),
    ]
    if protocol:
        headers.append((b"sec-websocket-protocol", protocol.encode("latin-1")))
    return state.send(h11.InformationalResponse(status_code=101, headers=headers)) or b""


def refusal_response(
    state: h11.Connection,
    status: int,
    why: str,
    headers: Iterable[tuple[str, str]] = (),
    retry_after_us: int = 0,
) -> bytes:
    """A final response that refuses the upgrade. The time to wait before a retry is given in whole seconds
    (RFC 9110 10.2.3) and in milliseconds."""
    body = (why + "\n").encode()
    fields = [
        ("Content-Type", "text/plain"),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
        *headers,
    ]
    if retry_after_us:
        fields += [
            ("Retry-After", str(ceil(retry_after_us / 1e6))),
            ("Retry-After-Ms", str(retry_after_us // 1000)),
        ]
    out = state.send(h11.Response(status_code=status, headers=fields)) or b""
    return out + (state.send(h11.Data(data=body)) or b"") + (state.send(h11.EndOfMessage()) or b"")


class NodeHandshake:
    """The upgrade handshake with a node: the client's target and headers, with a key of the gate's own."""

    def __init__(self, upgrade_request: UpgradeRequest, address: str, peer: str, head_bytes: int) -> None:
        self.key = base64.b64encode(os.urandom(16))
        self.protocols = upgrade_request.protocols
        self.state = h11.Connection(h11.CLIENT, max_incomplete_event_size=head_bytes)
        forwarded_for = [value for key, value in upgrade_request.headers if key == b"x-forwarded-for"]
        others = [pair for pair in upgrade_request.headers if pair[0] != b"x-forwarded-for"]
        self.request = h11.Request(
            method="GET",
            target=upgrade_request.target,
            headers=[
                (b"host", upgrade_request.host or address.encode()),
                (b"upgrade", b"websocket"),
                (b"connection", b"Upgrade"),
                (b"sec-websocket-version", b"13"),
                (b"sec-websocket-key", self.key),
                *others,
                (b"x-forwarded-for", b", ".join([*forwarded_for, peer.encode()])),
            ],
        )

    def request_bytes(self) -> bytes:
        return (self.state.send(self.request) or b"") + (self.state.send(h11.EndOfMessage()) or b"")

    def read(self, piece: bytes) -> NodeAnswer | None:
        """The node's answer, once its head is complete; None before that. Raises h11's errors for invalid
        HTTP."""
        self.state.receive_data(piece)
        event = self.state.next_event()
        if event is h11.NEED_DATA:
            return None
        if isinstance(event, h11.InformationalResponse) and event.status_code == 101:
            headers = list(event.headers)
            protocol = tokens(headers, b"sec-websocket-protocol")
            accepts = [value for key, value in headers if key == b"sec-websocket-accept"]
            if (
                accepts != [accept_value(self.key)]
                or tokens(headers, b"sec-websocket-extensions")
                or (protocol and (len(protocol) > 1 or protocol[0] not in self.protocols))
            ):
                return NodeAnswer(
                    502, None, b"", 0, "the node's 101 response does not match the upgrade request"
                )
            return NodeAnswer(101, protocol[0] if protocol else None, self.state.trailing_data[0], 0, "")
        if isinstance(event, h11.Response):
            wait = next((value for key, value in event.headers if key == b"retry-after"), b"0")
            seconds = int(wait) if wait.isdigit() and len(wait) < 7 else 0
            return NodeAnswer(
                event.status_code, None, b"", seconds * 1_000_000, f"the node answered {event.status_code}"
            )
        if isinstance(event, h11.InformationalResponse):
            return None
        return NodeAnswer(502, None, b"", 0, "the node closed the connection before it answered")


@dataclass(frozen=True, slots=True)
class NodeAnswer:
    """A node's answer to an upgrade request: 101 accepts it, any other status refuses it."""

    status: int
    protocol: str | None
    early: bytes  # bytes received after the head
    retry_after_us: int
    why: str
