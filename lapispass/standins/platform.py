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

from lapispass.rules.checks import PublishedStep
from lapispass.standins.http import CHUNKED, Conversation, Host, Request, chunk, response
from lapispass.standins.nodes import clock_us

INSTANCES = "/registry/instances"
CHANGES_KEPT = 1024  # a watch from an older revision begins with the whole list
MARK = b"MARK"  # stands in prepared answers for the number
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

    def told(self) -> dict[str, Any]:
        return dict(vars(self))


class Registry(Host):
    """Lists and watches. A watch gets a sign of life every `sign_s`."""

    def __init__(self, sign_s: float = 1.0) -> None:
        super().__init__()
        self.sign_s = sign_s
        self.members: dict[str, Member] = {}
        self.revision = 1
        self.watches: set[Conversation] = set()
        self.changes: deque[tuple[int, list[dict[str, Any]]]] = deque(maxlen=CHANGES_KEPT)
        self.waiting: deque[tuple[Conversation, bytes]] = deque()  # whole lists, not begun yet
        self.sending: set[Conversation] = set()  # whole lists, not yet read
        self.cached: tuple[int, int, bytes] = (0, 0, b"")
        self.signs: asyncio.TimerHandle | None = None

    def page(self, complete: bool, members: list[dict[str, Any]]) -> bytes:
        told = {"revision": self.revision, "complete": complete, "members": members}
        return json.dumps(told, separators=(",", ":")).encode()

    def whole(self) -> bytes:
        """The list; made once for each revision."""
        key = (self.revision, len(self.members))
        if self.cached[:2] != key:
            self.cached = (*key, self.page(True, [member.told() for member in self.members.values()]))
        return self.cached[2]

    def since(self, revision: int) -> bytes:
        """What changed after a revision, or the whole list."""
        oldest = self.changes[0][0] - 1 if self.changes else self.revision
        if not oldest <= revision <= self.revision:
            return self.whole()
        last = {told["id"]: told for at, members in self.changes if at > revision for told in members}
        return self.page(False, list(last.values()))

    def serve(self, conversation: Conversation, request: Request) -> None:
        if not request.target.startswith(INSTANCES):
            conversation.write(response(b"", 404))
            return
        if "watch=1" not in request.target:
            self.waiting.append((conversation, response(self.whole())))
        else:
            query = parse_qs(request.target.partition("?")[2])
            known = query.get("from", [""])[0]
            self.waiting.append(
                (conversation, CHUNKED + chunk(self.since(int(known) if known.isdigit() else -1) + b"\n"))
            )
            self.watches.add(conversation)
            if self.signs is None:
                self.signs = asyncio.get_running_loop().call_later(self.sign_s, self.sign)
        self.send_next()

    def send_next(self) -> None:
        """Answers callers in turn; a list that is not read yet holds up those behind it."""
        while self.waiting and len(self.sending) < LISTS_AT_ONCE:
            conversation, data = self.waiting.popleft()
            conversation.write(data)
            if conversation.full:
                self.sending.add(conversation)

    def drained(self, conversation: Conversation) -> None:
        self.sending.discard(conversation)
        self.send_next()

    def lost(self, conversation: Conversation) -> None:
        self.watches.discard(conversation)
        self.drained(conversation)

    def sign(self) -> None:
        """A sign of life on every watch, for as long as there is one."""
        unanswered = {conversation for conversation, _ in self.waiting}
        for watch in self.watches - unanswered:
            watch.write(chunk(b"\n"))
        again = asyncio.get_running_loop().call_later
        self.signs = again(self.sign_s, self.sign) if self.watches else None

    def change(self, *members: Member) -> None:
        """Tells a change to whoever watches; 'Gone' ones leave the list."""
        self.revision += 1
        for member in members:
            self.members[member.id] = member
            if member.phase == "Gone":
                del self.members[member.id]
        told = [member.told() for member in members]
        self.changes.append((self.revision, told))
        line = chunk(self.page(False, told) + b"\n")
        unanswered = {conversation for conversation, _ in self.waiting}
        for watch in self.watches:
            if watch in unanswered:
                self.waiting.append((watch, line))
            else:
                watch.write(line)


def event(kind: str, **fields: object) -> bytes:
    """One piece of news, as its stream carries it."""
    return f"event: {kind}\ndata: {urlencode(fields)}\n\n".encode()


class Relay(Host):
    """The store, and the streams of its own proxies. A stream of news gets a sign of life every `sign_s`."""

    unread_most = 1 << 20  # as the platform's relay

    def __init__(
        self,
        slices: int,
        proxies: int = 0,
        answer_s: float = 0.01,
        zones: Sequence[str] = ("east",),
        sign_s: float = 0.5,
    ) -> None:
        super().__init__()
        self.slices, self.proxies, self.answer_s = slices, proxies, answer_s
        self.zones, self.sign_s = zones, sign_s
        self.charges: dict[str, Sequence[int]] = {}  # the slices of a client; all where nothing is said
        self.owners: dict[int, str] = {}
        self.published: list[PublishedStep] = []
        self.orders: list[str] = []
        self.news: dict[str, list[Conversation]] = {}  # by client
        self.refuses = False  # every call is turned back as throttled
        self.away: set[str] = set()  # zones whose proxies have no stream
        self.shared: set[str] = set()  # clients that stand for many controllers, as of one's own stream each
        self.signs: asyncio.TimerHandle | None = None
        self.answers: dict[tuple[str, str], list[bytes]] = {}  # to a mark, by zone and time taken

    def serve(self, conversation: Conversation, request: Request) -> None:
        if (request.method, request.target) == ("GET", "/events"):
            self.tell_all(conversation)
            return
        orders = parse_qs(request.body.decode())["orders"][0].split(";")
        if self.refuses:
            told = "<Response><Errors><Error><Code>throttled</Code></Error></Errors></Response>"
        else:
            for order in orders:
                self.carry_out(order.split(","), conversation.client)
            told = f"<Response><entries><item><ok_count>{len(orders)}</ok_count></item></entries></Response>"
        conversation.write(response(f'<?xml version="1.0"?>\n{told}'.encode()))

    def zone_of(self, proxy: int) -> str:
        return self.zones[proxy % len(self.zones)]

    def joining(self, proxy: int, cold: int = 0) -> bytes:
        return event("SUBSCRIBE", node=proxy, locality=self.zone_of(proxy), w=20, cold=cold)

    def tell_all(self, stream: Conversation) -> None:
        """News: what stands, then what happens, with signs of life."""
        lines = [self.joining(proxy) for proxy in range(self.proxies) if self.zone_of(proxy) not in self.away]
        for number in self.charges.get(stream.client, range(self.slices)):
            lines.append(event("GRANT", shard=number, set=1))
            if number in self.owners:
                lines.append(event("ROW", shard=number, endpoint=self.owners[number], w=1))
        stream.write(CHUNKED + chunk(b"".join(lines) + b":\n\n"), len(lines))
        self.news.setdefault(stream.client, []).append(stream)
        if self.signs is None:
            self.signs = asyncio.get_running_loop().call_later(self.sign_s, self.sign)

    def lost(self, conversation: Conversation) -> None:
        if conversation in (streams := self.news.get(conversation.client, [])):
            streams.remove(conversation)

    def sign(self) -> None:
        """A sign of life on every stream, for as long as there is one."""
        streams = [stream for several in self.news.values() for stream in several]
        for stream in streams:
            stream.write(chunk(b":\n\n"))
        again = asyncio.get_running_loop().call_later
        self.signs = again(self.sign_s, self.sign) if streams else None

    def say(self, lines: Sequence[bytes], client: str | None = None) -> None:
        """Tells news to one client, or to all."""
        if not lines:
            return
        data = chunk(b"".join(lines))
        for name in self.news if client is None else [client]:
            for stream in self.news.get(name, []):
                stream.write(data, len(lines))

    def part(self, zone: str) -> None:
        """A zone's proxies lose their streams."""
        self.away.add(zone)
        self.say([event("CLOSED", node=proxy) for proxy in self.within(zone)])

    def join_cold(self, zone: str) -> None:
        """They join again, without a table."""
        self.away.discard(zone)
        self.say([self.joining(proxy, cold=1) for proxy in self.within(zone)])

    def within(self, zone: str) -> range:
        """The proxies of a zone."""
        return range(self.zones.index(zone), self.proxies, len(self.zones))

    def carry_out(self, order: list[str], client: str = "") -> None:
        """One order; the store keeps lines, and proxies answer marks a little later."""
        self.orders.append(",".join(order))
        match order:
            case ["SET", number, node, _]:
                self.owners[int(number)] = node
                self.published.append(PublishedStep(clock_us(), int(number), node))
            case ["DEL", number]:
                self.owners.pop(int(number), None)
                self.published.append(PublishedStep(clock_us(), int(number), None))
            case ["SYNC", mark, _] if client in self.shared:
                later_s = 1.5 * self.answer_s
                asyncio.get_running_loop().call_later(later_s, self.acknowledge_one, mark, client, later_s)
            case ["SYNC", mark, _]:
                loop = asyncio.get_running_loop()
                for place, zone in enumerate(self.zones):
                    later_s = self.answer_s * (1 + place / len(self.zones))
                    loop.call_later(later_s, partial(self.acknowledge, zone, mark, client, later_s))

    def acknowledge(self, zone: str, mark: str, client: str, later_s: float) -> None:
        """The proxies of a zone have applied everything up to a mark."""
        if zone in self.away:
            return
        self.say([line.replace(MARK, mark.encode()) for line in self.answering(zone, later_s)], client)

    def acknowledge_one(self, mark: str, client: str, later_s: float) -> None:
        """All proxies have applied a mark of one controller of many, who gets the answers in its turn."""
        streams = self.news.get(client)
        if not streams:
            return
        stream = streams.pop(0)
        streams.append(stream)
        lines = [
            line for zone in self.zones if zone not in self.away for line in self.answering(zone, later_s)
        ]
        stream.write(chunk(b"".join(lines).replace(MARK, mark.encode())), len(lines))

    def answering(self, zone: str, later_s: float) -> list[bytes]:
        """What the proxies of a zone answer to any mark; hundreds of controllers send marks all the time."""
        key = (zone, f"{1000 * later_s:.1f}")
        if key not in self.answers:
            self.answers[key] = [
                event("ACK", node=proxy, nonce=MARK.decode(), latency=key[1]) for proxy in self.within(zone)
            ]
        return self.answers[key]
