"""Stand-ins for the platform's registry and relay, as its protocol page describes them, with scripted faults.

The relay has the store and its own proxies, which follow the tables and acknowledge barriers after
`ack_delay_s`. Changes of owners are recorded with their times, for the checkers of the rules. Both serve one
controller by default. To serve hundreds, `listen` is called with the name of each controller or group.
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

from lapispass.rules.checks import PublishedStep
from lapispass.standins.http import CHUNKED, HttpConnection, HttpServer, Request, chunk, response
from lapispass.standins.nodes import clock_us

INSTANCES = "/registry/instances"
CHANGES_KEPT = 1024  # a watch from an older revision begins with the full list
NONCE = b"MARK"  # placeholder for the barrier's number in cached events
LISTS_AT_ONCE = 4  # full lists that are being sent; further callers wait in a queue


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
    """Serves the list of servers and watches on it. Each watch gets a heartbeat every `heartbeat_s`."""

    def __init__(self, heartbeat_s: float = 1.0) -> None:
        super().__init__()
        self.heartbeat_s = heartbeat_s
        self.members: dict[str, Member] = {}
        self.revision = 1
        self.watches: set[HttpConnection] = set()
        self.changes: deque[tuple[int, list[dict[str, Any]]]] = deque(maxlen=CHANGES_KEPT)
        self.waiting: deque[tuple[HttpConnection, bytes]] = deque()  # full lists that are not sent yet
        self.sending: set[HttpConnection] = set()  # connections that have not read their full list yet
        self.cached: tuple[int, int, bytes] = (0, 0, b"")
        self.heartbeat_timer: asyncio.TimerHandle | None = None

    def encode_list(self, complete: bool, members: list[dict[str, Any]]) -> bytes:
        document = {"revision": self.revision, "complete": complete, "members": members}
        return json.dumps(document, separators=(",", ":")).encode()

    def full_list(self) -> bytes:
        """The encoded full list; cached for each revision."""
        key = (self.revision, len(self.members))
        if self.cached[:2] != key:
            self.cached = (
                *key,
                self.encode_list(True, [member.as_json() for member in self.members.values()]),
            )
        return self.cached[2]

    def since(self, revision: int) -> bytes:
        """The changes after a revision, or the full list if they are not kept any more."""
        oldest = self.changes[0][0] - 1 if self.changes else self.revision
        if not oldest <= revision <= self.revision:
            return self.full_list()
        last = {member["id"]: member for at, members in self.changes if at > revision for member in members}
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
        """Answers callers in order. At most `LISTS_AT_ONCE` lists are unread; further callers wait."""
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
        """Sends a heartbeat on every watch, and again later while there are watches."""
        unanswered = {connection for connection, _ in self.waiting}
        for watch in self.watches - unanswered:
            watch.write(chunk(b"\n"))
        again = asyncio.get_running_loop().call_later
        self.heartbeat_timer = again(self.heartbeat_s, self.send_heartbeats) if self.watches else None

    def change(self, *members: Member) -> None:
        """Changes members and notifies all watches. A member with the phase 'Gone' leaves the list."""
        self.revision += 1
        for member in members:
            self.members[member.id] = member
            if member.phase == "Gone":
                del self.members[member.id]
        changed = [member.as_json() for member in members]
        self.changes.append((self.revision, changed))
        line = chunk(self.encode_list(False, changed) + b"\n")
        unanswered = {connection for connection, _ in self.waiting}
        for watch in self.watches:
            if watch in unanswered:
                self.waiting.append((watch, line))
            else:
                watch.write(line)


def event(kind: str, **fields: object) -> bytes:
    """Encodes one event of the relay's event stream."""
    return f"event: {kind}\ndata: {urlencode(fields)}\n\n".encode()


class Relay(HttpServer):
    """The store and its proxies. Each event stream gets a heartbeat every `heartbeat_s`."""

    unread_limit = 1 << 20  # the limit of the platform's relay

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
        self.granted: dict[
            str, Sequence[int]
        ] = {}  # the slices of each client; a client that is missing here has all
        self.owners: dict[int, str] = {}
        self.published: list[PublishedStep] = []
        self.orders: list[str] = []
        self.event_streams: dict[str, list[HttpConnection]] = {}  # by client
        self.throttles = False  # rejects every call as throttled
        self.answers_calls = True  # otherwise calls are neither carried out nor answered
        self.sends_events = True  # otherwise event streams stay open and silent, new ones too
        self.disconnected: set[str] = set()  # zones whose proxies have lost their streams
        self.shared: set[str] = (
            set()
        )  # clients that stand for many controllers, each with a stream of its own
        self.heartbeat_timer: asyncio.TimerHandle | None = None
        self.ack_cache: dict[
            tuple[str, str], list[bytes]
        ] = {}  # acknowledgements of a barrier, by zone and latency

    def serve(self, connection: HttpConnection, request: Request) -> None:
        if (request.method, request.target) == ("GET", "/events"):
            if self.sends_events:
                self.start_event_stream(connection)
            return
        if not self.answers_calls:
            return
        orders = parse_qs(request.body.decode())["orders"][0].split(";")
        if self.throttles:
            body = "<Response><Errors><Error><Code>throttled</Code></Error></Errors></Response>"
        else:
            for order in orders:
                self.carry_out(order.split(","), connection.client)
            body = f"<Response><entries><item><ok_count>{len(orders)}</ok_count></item></entries></Response>"
        connection.write(response(f'<?xml version="1.0"?>\n{body}'.encode()))

    def cut_off(self) -> None:
        """Goes silent in both directions, as the relay of a controller in another partition."""
        self.answers_calls = self.sends_events = False

    def reconnect(self) -> None:
        """Ends the silence: connections from before are reset, and new ones are served."""
        self.answers_calls = self.sends_events = True
        self.reset()

    def take_away(self, number: int, client: str = "") -> None:
        """Gives a slice to another controller, and tells the one that held it."""
        self.granted[client] = [n for n in self.granted.get(client, range(self.slices)) if n != number]
        self.send_events([event("GRANT", shard=number, set=0)], client)

    def zone_of(self, proxy: int) -> str:
        return self.zones[proxy % len(self.zones)]

    def subscribe_event(self, proxy: int, cold: int = 0) -> bytes:
        return event("SUBSCRIBE", node=proxy, locality=self.zone_of(proxy), w=20, cold=cold)

    def start_event_stream(self, stream: HttpConnection) -> None:
        """Sends the snapshot; events and heartbeats follow on the same stream."""
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
        if self.sends_events:
            for stream in streams:
                stream.write(chunk(b":\n\n"))
        again = asyncio.get_running_loop().call_later
        self.heartbeat_timer = again(self.heartbeat_s, self.send_heartbeats) if streams else None

    def send_events(self, lines: Sequence[bytes], client: str | None = None) -> None:
        """Sends events to one client, or to all."""
        if not lines or not self.sends_events:
            return
        data = chunk(b"".join(lines))
        for name in self.event_streams if client is None else [client]:
            for stream in self.event_streams.get(name, []):
                stream.write(data, len(lines))

    def disconnect_zone(self, zone: str) -> None:
        """Breaks the streams of all proxies of a zone."""
        self.disconnected.add(zone)
        self.send_events([event("CLOSED", node=proxy) for proxy in self.proxies_in(zone)])

    def rejoin_cold(self, zone: str) -> None:
        """Makes the proxies of a zone join again, without a table."""
        self.disconnected.discard(zone)
        self.send_events([self.subscribe_event(proxy, cold=1) for proxy in self.proxies_in(zone)])

    def proxies_in(self, zone: str) -> range:
        """The numbers of the proxies of a zone."""
        return range(self.zones.index(zone), self.proxies, len(self.zones))

    def carry_out(self, order: list[str], client: str = "") -> None:
        """Carries out one order. The store keeps table entries; proxies acknowledge barriers with a delay."""
        self.orders.append(",".join(order))
        match order:
            case ["SET", number, node, _]:
                self.owners[int(number)] = node
                self.published.append(PublishedStep(clock_us(), int(number), node))
            case ["DEL", number]:
                self.owners.pop(int(number), None)
                self.published.append(PublishedStep(clock_us(), int(number), None))
            case ["SYNC", barrier, _] if client in self.shared:
                delay_s = 1.5 * self.ack_delay_s
                asyncio.get_running_loop().call_later(
                    delay_s, self.acknowledge_to_one_stream, barrier, client, delay_s
                )
            case ["SYNC", barrier, _]:
                loop = asyncio.get_running_loop()
                for index, zone in enumerate(self.zones):
                    delay_s = self.ack_delay_s * (1 + index / len(self.zones))
                    loop.call_later(delay_s, partial(self.acknowledge, zone, barrier, client, delay_s))

    def acknowledge(self, zone: str, barrier: str, client: str, delay_s: float) -> None:
        """The proxies of a zone acknowledge a barrier, unless they are disconnected."""
        if zone in self.disconnected:
            return
        self.send_events(
            [line.replace(NONCE, barrier.encode()) for line in self.ack_events(zone, delay_s)], client
        )

    def acknowledge_to_one_stream(self, barrier: str, client: str, delay_s: float) -> None:
        """All proxies acknowledge a barrier from a client that stands for many controllers.

        The acknowledgements go to one of the client's streams, in rotation.
        """
        streams = self.event_streams.get(client)
        if not streams:
            return
        stream = streams.pop(0)
        streams.append(stream)
        lines = [
            line
            for zone in self.zones
            if zone not in self.disconnected
            for line in self.ack_events(zone, delay_s)
        ]
        stream.write(chunk(b"".join(lines).replace(NONCE, barrier.encode())), len(lines))

    def ack_events(self, zone: str, delay_s: float) -> list[bytes]:
        """The acknowledgements of a zone's proxies, with `NONCE` for the barrier's number.

        They are cached because hundreds of controllers send barriers all the time.
        """
        key = (zone, f"{1000 * delay_s:.1f}")
        if key not in self.ack_cache:
            self.ack_cache[key] = [
                event("ACK", node=proxy, nonce=NONCE.decode(), latency=key[1])
                for proxy in self.proxies_in(zone)
            ]
        return self.ack_cache[key]
