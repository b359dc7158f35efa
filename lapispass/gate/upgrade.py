"""The opening handshake of RFC 6455 on h11, both sides. No I/O: bytes in, bytes out."""

from __future__ import annotations

import base64
import binascii
import hashlib
import os
from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil

import h11

ACCEPT_GUID = b"258EAFA5-E914-47DA-95CA-C5AB0DC85B11"
# Hop by hop (RFC 9110 7.6.1) or made anew by the gate; extensions are not passed on: the gate reads every
# frame, so compression is negotiated away on both sides.
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


class BadUpgrade(Exception):
    """What came is no upgrade that can be served; `status` and `headers` are the answer."""

    def __init__(self, status: int, why: str, headers: tuple[tuple[str, str], ...] = ()) -> None:
        super().__init__(why)
        self.status, self.headers = status, headers


@dataclass(frozen=True, slots=True)
class UpgradeRequest:
    """An upgrade as a client asked for it."""

    target: str
    key: bytes
    protocols: tuple[str, ...]
    headers: tuple[tuple[bytes, bytes], ...]  # to be passed on
    host: bytes

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]


def tokens(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> list[str]:
    """The comma-separated words of all headers of a name."""
    return [
        word.strip().decode("latin-1")
        for key, value in headers
        if key == name
        for word in value.split(b",")
        if word.strip()
    ]


def parse_upgrade(request: h11.Request) -> UpgradeRequest:
    """The upgrade that a request asks for, or a `BadUpgrade`."""
    headers = list(request.headers)
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
        fits = len(keys) == 1 and len(base64.b64decode(keys[0], validate=True)) == 16
    except binascii.Error:
        fits = False
    if not fits:
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


def accept_response(state: h11.Connection, opening: UpgradeRequest, protocol: str | None) -> bytes:
    """101, with the subprotocol that the node has chosen."""
    headers = [
        (b"upgrade", b"websocket"),
        (b"connection", b"Upgrade"),
        (b"sec-websocket-accept", accept_value(opening.key)),
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
    """A final answer. When to come back is told in whole seconds, as RFC 9110 10.2.3 has it, and in
    milliseconds."""
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
    """The handshake with a node: the same target and headers, a key of its own."""

    def __init__(self, opening: UpgradeRequest, address: str, peer: str, head_bytes: int) -> None:
        self.key = base64.b64encode(os.urandom(16))
        self.protocols = opening.protocols
        self.state = h11.Connection(h11.CLIENT, max_incomplete_event_size=head_bytes)
        forwarded = [value for key, value in opening.headers if key == b"x-forwarded-for"]
        passed = [pair for pair in opening.headers if pair[0] != b"x-forwarded-for"]
        self.request = h11.Request(
            method="GET",
            target=opening.target,
            headers=[
                (b"host", opening.host or address.encode()),
                (b"upgrade", b"websocket"),
                (b"connection", b"Upgrade"),
                (b"sec-websocket-version", b"13"),
                (b"sec-websocket-key", self.key),
                *passed,
                (b"x-forwarded-for", b", ".join([*forwarded, peer.encode()])),
            ],
        )

    def request_bytes(self) -> bytes:
        return (self.state.send(self.request) or b"") + (self.state.send(h11.EndOfMessage()) or b"")

    def read(self, piece: bytes) -> NodeAnswer | None:
        """What the node answers, once its head is whole; h11 errors for what is no HTTP."""
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
                return NodeAnswer(502, None, b"", 0, "the node's answer fits no upgrade")
            return NodeAnswer(101, protocol[0] if protocol else None, self.state.trailing_data[0], 0, "")
        if isinstance(event, h11.Response):
            wait = next((value for key, value in event.headers if key == b"retry-after"), b"0")
            seconds = int(wait) if wait.isdigit() and len(wait) < 7 else 0
            return NodeAnswer(
                event.status_code, None, b"", seconds * 1_000_000, f"the node answered {event.status_code}"
            )
        if isinstance(event, h11.InformationalResponse):
            return None
        return NodeAnswer(502, None, b"", 0, "the node ended the connection")


@dataclass(frozen=True, slots=True)
class NodeAnswer:
    """A node's answer to an upgrade; 101 stands, all else is its refusal."""

    status: int
    protocol: str | None
    early: bytes  # what came behind the head
    retry_after_us: int
    why: str
