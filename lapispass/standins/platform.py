"""The platform's registry and relay, written from its protocol page; loopback, scripted faults.

The relay holds the store and its own proxies, which do what tables say and answer marks after `answer_s`.
Everything that was carried out is kept with its time, for the checkers of the rules. Both serve one
controller by default, and hundreds where each of them, or a group of them, is listened for by name.
"""

from __future__ import annotations

import asyncio
import json
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any
from urllib.parse import parse_qs, urlencode

from lapispass.rules.held import Published
from lapispass.standins.http import CHUNKED, HttpConnection, HttpServer, Request, chunk, response
from lapispass.standins.nodes import clock_us

INSTANCES = "/registry/instances"
CHANGES_KEPT = 1024  # a watch from an older revision begins with the whole list
NONCE = b"MARK"  # stands in prepared answers for the number
LISTS_AT_ONCE = 4  # whole lists under way; further callers wait their turn


@dataclass
class Member:
    """A node as the registry lists it."""

    id: str
    host_port: str
    locality: str = "east"
    phase: str = "Ready"
    size: float = 1.0
    up_since_ms: int = 0
    flavor: str = "m2"
    cell: int = 0

    def as_json(self) -> dict[str, Any]:
        return dict(vars(self))


class Registry(HttpServer):
    """Lists and watches. A watch gets a sign of life every `sign_s`."""

    def __init__(self, heartbeat_s: float = 1.0) -> None:
        super().__init__()
        self.heartbeat_s = heartbeat_s
        self.members: dict[str, Member] = {}
        self.revision = 1
        self.watches: set[HttpConnection] = set()
        self.changes: deque[tuple[int, list[dict[str, Any]]]] = deque(maxlen=CHANGES_KEPT)
        self.waiting: deque[tuple[HttpConnection, bytes]] = deque()  # whole lists, not begun yet
        self.sending: set[HttpConnection] = set()  # whole lists, not yet read
        self.cached: tuple[int, int, bytes] = (0, 0, b"")
        self.heartbeat_timer: asyncio.TimerHandle | None = None

    def encode_list(self, complete: bool, members: list[dict[str, Any]]) -> bytes:
        told = {"revision": self.revision, "complete": complete, "members": members}
        return json.dumps(told, separators=(",", ":")).encode()

    def full_list(self) -> bytes:
        """The list; made once for each revision."""
        key = (self.revision, len(self.members))
        if self.cached[:2] != key:
            self.cached = (
                *key,
                self.encode_list(True, [member.as_json() for member in self.members.values()]),
            )
        return self.cached[2]

    def since(self, revision: int) -> bytes:
        """What changed after a revision, or the whole list."""
        oldest = self.changes[0][0] - 1 if self.changes else self.revision
        if not oldest <= revision <= self.revision:
            return self.full_list()
        last = {told["id"]: told for at, members in self.changes if at > revision for told in members}
        return self.encode_list(False, list(last.values()))

    def serve(self, connection: HttpConnection, request: Request) -> None:
        if not request.target.startswith(INSTANCES):
            connection.write(response(b"", 404))
            return
        if "watch=1" not in request.target:
            self.waiting.append((connection, response(self.full_list())))
        else:
            query = parse_qs(request.target.partition("?")[2])
            known = query.get("from", [""])[0]
            self.waiting.append(
                (connection, CHUNKED + chunk(self.since(int(known) if known.isdigit() else -1) + b"\n"))
            )
            self.watches.add(connection)
            if self.heartbeat_timer is None:
                self.heartbeat_timer = asyncio.get_running_loop().call_later(
                    self.heartbeat_s, self.send_heartbeats
                )
        self.send_next()

    def send_next(self) -> None:
        """Answers callers in turn; a list that is not read yet holds up those behind it."""
        while self.waiting and len(self.sending) < LISTS_AT_ONCE:
            connection, data = self.waiting.popleft()
            connection.write(data)
            if connection.write_paused:
                self.sending.add(connection)

    def writing_resumed(self, connection: HttpConnection) -> None:
        self.sending.discard(connection)
        self.send_next()

    def connection_closed(self, connection: HttpConnection) -> None:
        self.watches.discard(connection)
        self.writing_resumed(connection)

    def send_heartbeats(self) -> None:
        """A sign of life on every watch, for as long as there is one."""
        unanswered = {connection for connection, _ in self.waiting}
        for watch in self.watches - unanswered:
            watch.write(chunk(b"\n"))
        again = asyncio.get_running_loop().call_later
        self.heartbeat_timer = again(self.heartbeat_s, self.send_heartbeats) if self.watches else None

    def change(self, *members: Member) -> None:
        """Tells a change to whoever watches; 'Gone' ones leave the list."""
        self.revision += 1
        for member in members:
            self.members[member.id] = member
            if member.phase == "Gone":
                del self.members[member.id]
        told = [member.as_json() for member in members]
        self.changes.append((self.revision, told))
        line = chunk(self.encode_list(False, told) + b"\n")
        unanswered = {connection for connection, _ in self.waiting}
        for watch in self.watches:
            if watch in unanswered:
                self.waiting.append((watch, line))
            else:
                watch.write(line)


def event(kind: str, **fields: object) -> bytes:
    """One piece of news, as its stream carries it."""
    return f"event: {kind}\ndata: {urlencode(fields)}\n\n".encode()


class Relay(HttpServer):
    """The store, and the streams of its own proxies. A stream of news gets a sign of life every `sign_s`."""

    unread_limit = 1 << 20  # as the platform's relay

    def __init__(
        self,
        slices: int,
        proxies: int = 0,
        ack_delay_s: float = 0.01,
        zones: Sequence[str] = ("east",),
        heartbeat_s: float = 0.5,
    ) -> None:
        super().__init__()
        self.slices, self.proxies, self.ack_delay_s = slices, proxies, ack_delay_s
        self.zones, self.heartbeat_s = zones, heartbeat_s
        self.granted: dict[str, Sequence[int]] = {}  # the slices of a client; all where nothing is said
        self.owners: dict[int, str] = {}
        self.published: list[Published] = []
        self.orders: list[str] = []
        self.event_streams: dict[str, list[HttpConnection]] = {}  # by client
        self.throttles = False  # every call is turned back as throttled
        self.disconnected: set[str] = set()  # zones whose proxies have no stream
        self.shared: set[str] = set()  # clients that stand for many controllers, as of one's own stream each
        self.heartbeat_timer: asyncio.TimerHandle | None = None
        self.ack_cache: dict[tuple[str, str], list[bytes]] = {}  # to a mark, by zone and time taken

    def serve(self, connection: HttpConnection, request: Request) -> None:
        if (request.method, request.target) == ("GET", "/events"):
            self.start_event_stream(connection)
            return
        orders = parse_qs(request.body.decode())["orders"][0].split(";")
        if self.throttles:
            told = "<Response><Errors><Error><Code>throttled</Code></Error></Errors></Response>"
        else:
            for order in orders:
                self.carry_out(order.split(","), connection.client)
            told = f"<Response><entries><item><ok_count>{len(orders)}</ok_count></item></entries></Response>"
        connection.write(response(f'<?xml version="1.0"?>\n{told}'.encode()))

    def zone_of(self, proxy: int) -> str:
        return self.zones[proxy % len(self.zones)]

    def subscribe_event(self, proxy: int, cold: int = 0) -> bytes:
        return event("SUBSCRIBE", node=proxy, locality=self.zone_of(proxy), w=20, cold=cold)

    def start_event_stream(self, stream: HttpConnection) -> None:
        """News: what stands, then what happens, with signs of life."""
        lines = [
            self.subscribe_event(proxy)
            for proxy in range(self.proxies)
            if self.zone_of(proxy) not in self.disconnected
        ]
        for number in self.granted.get(stream.client, range(self.slices)):
            lines.append(event("GRANT", shard=number, set=1))
            if number in self.owners:
                lines.append(event("ROW", shard=number, endpoint=self.owners[number], w=1))
        stream.write(CHUNKED + chunk(b"".join(lines) + b":\n\n"), len(lines))
        self.event_streams.setdefault(stream.client, []).append(stream)
        if self.heartbeat_timer is None:
            self.heartbeat_timer = asyncio.get_running_loop().call_later(
                self.heartbeat_s, self.send_heartbeats
            )

    def connection_closed(self, connection: HttpConnection) -> None:
        if connection in (streams := self.event_streams.get(connection.client, [])):
            streams.remove(connection)

    def send_heartbeats(self) -> None:
        """A sign of life on every stream, for as long as there is one."""
        streams = [stream for several in self.event_streams.values() for stream in several]
        for stream in streams:
            stream.write(chunk(b":\n\n"))
        again = asyncio.get_running_loop().call_later
        self.heartbeat_timer = again(self.heartbeat_s, self.send_heartbeats) if streams else None

    def send_events(self, lines: Sequence[bytes], client: str | None = None) -> None:
        """Tells news to one client, or to all."""
        if not lines:
            return
        data = chunk(b"".join(lines))
        for name in self.event_streams if client is None else [client]:
            for stream in self.event_streams.get(name, []):
                stream.write(data, len(lines))

    def disconnect_zone(self, zone: str) -> None:
        """A zone's proxies lose their streams."""
        self.disconnected.add(zone)
        self.send_events([event("CLOSED", node=proxy) for proxy in self.proxies_in(zone)])

    def rejoin_cold(self, zone: str) -> None:
        """They join again, without a table."""
        self.disconnected.discard(zone)
        self.send_events([self.subscribe_event(proxy, cold=1) for proxy in self.proxies_in(zone)])

    def proxies_in(self, zone: str) -> range:
        """The proxies of a zone."""
        return range(self.zones.index(zone), self.proxies, len(self.zones))

    def carry_out(self, order: list[str], client: str = "") -> None:
        """One order; the store keeps lines, and proxies answer marks a little later."""
        self.orders.append(",".join(order))
        match order:
            case ["SET", number, node, _]:
                self.owners[int(number)] = node
                self.published.append(Published(clock_us(), int(number), node))
            case ["DEL", number]:
                self.owners.pop(int(number), None)
                self.published.append(Published(clock_us(), int(number), None))
            case ["SYNC", mark, _] if client in self.shared:
                later_s = 1.5 * self.ack_delay_s
                asyncio.get_running_loop().call_later(
                    later_s, self.acknowledge_to_one_stream, mark, client, later_s
                )
            case ["SYNC", mark, _]:
                loop = asyncio.get_running_loop()
                for place, zone in enumerate(self.zones):
                    later_s = self.ack_delay_s * (1 + place / len(self.zones))
                    loop.call_later(later_s, partial(self.acknowledge, zone, mark, client, later_s))

    def acknowledge(self, zone: str, mark: str, client: str, later_s: float) -> None:
        """The proxies of a zone have applied everything up to a mark."""
        if zone in self.disconnected:
            return
        self.send_events(
            [line.replace(NONCE, mark.encode()) for line in self.ack_events(zone, later_s)], client
        )

    def acknowledge_to_one_stream(self, mark: str, client: str, later_s: float) -> None:
        """All proxies have applied a mark of one controller of many, who gets the answers in its turn."""
        streams = self.event_streams.get(client)
        if not streams:
            return
        stream = streams.pop(0)
        streams.append(stream)
        lines = [
            line
            for zone in self.zones
            if zone not in self.disconnected
            for line in self.ack_events(zone, later_s)
        ]
        stream.write(chunk(b"".join(lines).replace(NONCE, mark.encode())), len(lines))

    def ack_events(self, zone: str, later_s: float) -> list[bytes]:
        """What the proxies of a zone answer to any mark; hundreds of controllers send marks all the time."""
        key = (zone, f"{1000 * later_s:.1f}")
        if key not in self.ack_cache:
            self.ack_cache[key] = [
                event("ACK", node=proxy, nonce=NONCE.decode(), latency=key[1])
                for proxy in self.proxies_in(zone)
            ]
        return self.ack_cache[key]
