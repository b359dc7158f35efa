"""The platform's relay with proxies that each have a stream of their own, written from its protocol page.

A proxy reads the store a moment after it has joined, takes messages late and in order, and answers their
marks. Streams break and are made anew; a proxy that stands still takes nothing and keeps its stream. What
each proxy could pick is told to a checker of the rules; no controller is asked what it believes.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from lapispass.rules.checker import Checker
from lapispass.standins.http import CHUNKED, Conversation, chunk
from lapispass.standins.nodes import clock_us
from lapispass.standins.platform import Relay, event

READ_LEAST_S, READ_MOST_S = 0.05, 0.5  # from joining until a proxy has read the store
HEAD_LINES = 12  # of each message


class Pace(NamedTuple):
    """How fast orders travel, and how long writes last; times in seconds."""

    lines_per_s: float  # of the channel to all proxies
    least_s: float  # from leaving the channel until a proxy has applied a message
    most_s: float
    lease_s: float  # a proxy goes on with writes for so long after its stream broke
    linger_s: float  # a write may stay in hand for so long
    writes: str  # the class of requests that write
    notice_s: float = 0.3  # until the relay has noticed that a stream broke


class Row(NamedTuple):
    """A slice's table: its owner, the count of changes so far, and whether writes are let in."""

    owner: str | None = None
    step: int = 0
    writes: bool = True
    version: int = 0  # of the last order that concerned it


@dataclass
class Message:
    """The orders of one turn."""

    orders: list[tuple[list[str], Row | None]] = field(default_factory=list)  # and the table that it made
    mark: str = ""
    issued: float = 0.0


@dataclass
class Proxy:
    """One proxy: its stream, what it holds, and what it has been told to shut out."""

    joined: bool = False
    stream: int = 0  # how many it has had
    has_read: bool = False  # the store, on this stream
    joined_us: int = 0
    broken_at: float = 0.0  # the last stream on which it had read the store
    stalled_until: float = 0.0
    last_at: float = 0.0  # when the last message that was sent to it comes
    rows: dict[int, Row] = field(default_factory=dict)
    out: set[str] = field(default_factory=set)
    inbox: deque[Message] = field(default_factory=deque)  # come on this stream, not applied yet


class ProxyStreams(Relay):
    """One controller's relay, store and proxies."""

    def __init__(
        self, slices: Sequence[int], proxies: int, pace: Pace, checker: Checker, chance: random.Random
    ) -> None:
        super().__init__(len(slices), proxies, zones=("east", "west"))
        self.charges[""] = slices
        self.pace, self.checker, self.chance = pace, checker, chance
        self.store: dict[int, Row] = {number: Row() for number in slices}
        self.parties = [Proxy() for _ in range(proxies)]
        self.message, self.version = Message(), 0
        self.channel_free_at = 0.0
        self.judged_since_us = 0

    def own(self, servers: Sequence[str]) -> None:
        """What stands before the first controller; all proxies have joined and hold it."""
        for place, number in enumerate(self.store):
            self.store[number] = Row(servers[place % len(servers)])
            self.owners[number] = servers[place % len(servers)]
        for proxy in self.parties:
            proxy.joined, proxy.has_read, proxy.rows = True, True, dict(self.store)

    # the relay's side

    def tell_all(self, stream: Conversation) -> None:
        """News: the proxies whose streams stand, the slices and their owners."""
        lines = [self.joining(number) for number, proxy in enumerate(self.parties) if proxy.joined]
        for number, row in self.store.items():
            lines.append(event("GRANT", shard=number, set=1))
            if row.owner is not None:
                lines.append(event("ROW", shard=number, endpoint=row.owner, w=1))
        stream.write(CHUNKED + chunk(b"".join(lines) + b":\n\n"), len(lines))
        self.news.setdefault(stream.client, []).append(stream)
        if self.signs is None:
            self.signs = asyncio.get_running_loop().call_later(self.sign_s, self.sign)

    def carry_out(self, order: list[str], client: str = "") -> None:
        """The store takes an order; the mark, which is a turn's last order, sends the message off."""
        if order[0] == "SYNC":
            self.orders.append(",".join(order))
            self.send(order[1])
            return
        self.version += 1
        made = self.changed(order)
        if made is not None:
            self.store[int(order[1])] = made
        self.message.orders.append((order, made))
        super().carry_out(order, client)

    def changed(self, order: list[str]) -> Row | None:
        """A slice's table as an order leaves it in the store; None for an order of another kind."""
        match order:
            case ["SET", number, owner, _]:
                row = self.store[int(number)]
                return Row(owner, row.step + 1, row.writes, self.version)
            case ["DEL", number]:
                return Row(None, self.store[int(number)].step + 1, version=self.version)
            case ["LIMIT", number, classes, share, _] if self.shuts_writes(number, classes):
                return self.store[int(number)]._replace(writes=float(share) > 0, version=self.version)
        return None

    def send(self, mark: str) -> None:
        """A message for each proxy whose stream stands leaves the channel, one after the other."""
        message, self.message = self.message, Message()
        loop = asyncio.get_running_loop()
        message.mark, message.issued = mark, loop.time()
        self.channel_free_at = max(self.channel_free_at, message.issued)
        lines = len(message.orders) + 1 + HEAD_LINES
        for number, proxy in enumerate(self.parties):
            if not proxy.joined:
                continue
            self.channel_free_at += lines / self.pace.lines_per_s
            travels_s = self.chance.uniform(self.pace.least_s, self.pace.most_s)
            proxy.last_at = max(proxy.last_at + 1e-6, self.channel_free_at + travels_s)
            loop.call_at(proxy.last_at, self.arrive, number, proxy.stream, message)

    def shuts_writes(self, number: str, classes: str) -> bool:
        """Whether a level is that of a slice's writes."""
        return number != "*" and self.pace.writes in classes.split("+")

    # a proxy's side

    def arrive(self, number: int, stream: int, message: Message) -> None:
        """A message has come to a proxy; what came on an earlier stream is lost with it."""
        if self.parties[number].stream == stream:
            self.parties[number].inbox.append(message)
            self.take(number, stream)

    def take(self, number: int, stream: int) -> None:
        """A proxy applies what has come, in order, once it has read the store and does not stand still."""
        proxy, loop = self.parties[number], asyncio.get_running_loop()
        if not proxy.joined or proxy.stream != stream or not proxy.has_read or not proxy.inbox:
            return
        if loop.time() < proxy.stalled_until:
            loop.call_at(proxy.stalled_until, self.take, number, stream)
            return
        while proxy.inbox:
            message = proxy.inbox.popleft()
            for order, made in message.orders:
                self.apply(proxy, order, made)
            took_ms = 1000 * (loop.time() - message.issued)
            self.say([event("ACK", node=number, nonce=message.mark, latency=f"{took_ms:.1f}")])
        self.look_at_picks(clock_us(), number, proxy)

    def apply(self, proxy: Proxy, order: list[str], made: Row | None) -> None:
        """One order; a table that the store gave in a later version stays."""
        match order:
            case ["OUT", server]:
                proxy.out.add(server)
            case ["IN", server]:
                proxy.out.discard(server)
            case [_, number, *_] if made is not None and made.version > proxy.rows[int(number)].version:
                proxy.rows[int(number)] = made

    def join(self, number: int, restarted: bool = False) -> None:
        """A proxy's stream stands; it reads the store a moment later."""
        proxy = self.parties[number]
        if proxy.joined:
            return
        proxy.joined, proxy.has_read, proxy.joined_us = True, False, clock_us()
        proxy.stream += 1
        proxy.inbox.clear()
        if restarted:
            proxy.rows, proxy.out = {slice_: Row(version=-1) for slice_ in self.store}, set()
        self.say([self.joining(number, cold=int(restarted))])
        read_s = self.chance.uniform(READ_LEAST_S, READ_MOST_S)
        asyncio.get_running_loop().call_later(read_s, self.read_store, number, proxy.stream)

    def read_store(self, number: int, stream: int) -> None:
        """A proxy has read all slices' tables."""
        proxy, loop = self.parties[number], asyncio.get_running_loop()
        if not proxy.joined or proxy.stream != stream:
            return
        if loop.time() < proxy.stalled_until:
            loop.call_at(proxy.stalled_until, self.read_store, number, stream)
            return
        proxy.has_read, proxy.rows = True, dict(self.store)
        self.take(number, stream)

    def leave(self, number: int) -> None:
        """A proxy's stream breaks; the relay notices a little later."""
        proxy, loop = self.parties[number], asyncio.get_running_loop()
        if not proxy.joined:
            return
        proxy.joined = False
        if proxy.has_read:  # else its writes have ended, or end, by the lease of an earlier stream
            proxy.broken_at = loop.time()
        self.checker.party_left(f"p{number}")
        notice_s = self.chance.uniform(0, self.pace.notice_s)
        loop.call_later(notice_s, self.say, [event("CLOSED", node=number)])

    def rejoin(self, number: int, restarted: bool, away_s: float) -> None:
        """A proxy's stream breaks and is made anew, where it stands; the relay tells one after the other."""
        if not self.parties[number].joined:
            return
        self.leave(number)
        later_s = self.pace.notice_s + away_s
        asyncio.get_running_loop().call_later(later_s, self.join, number, restarted)

    # what is judged

    def look(self, told_us: Mapping[str, int], since_us: int) -> None:
        """Tells the checker what each proxy could pick now; no time limit runs before `since_us`."""
        self.judged_since_us = since_us
        for server, at_us in told_us.items():
            if server not in self.checker.draining_since:
                self.checker.set_draining(at_us, server, True)
        now = clock_us()
        for number, proxy in enumerate(self.parties):
            if asyncio.get_running_loop().time() < proxy.stalled_until:
                self.checker.party_left(f"p{number}")  # it picks nothing, and sends nothing
                continue
            self.take(number, proxy.stream)  # what came while it stood still goes before its next request
            if proxy.joined:
                self.look_at_picks(now, number, proxy)
            self.look_at_writes(now, number, proxy)

    def look_at_picks(self, now: int, number: int, proxy: Proxy) -> None:
        """Rules 1 and 3, for a proxy that has joined."""
        since_us = max(self.judged_since_us, proxy.joined_us)
        for slice_, row in proxy.rows.items():
            reached = None if row.owner in proxy.out else row.owner
            self.checker.pick(now, f"p{number}", slice_, reached, since_us)

    def look_at_writes(self, now: int, number: int, proxy: Proxy) -> None:
        """Rule 2: writes go on for a lease after the stream broke, then none until the store is read."""
        lease_ends_at = proxy.broken_at + self.pace.lease_s
        if not (proxy.joined and proxy.has_read) and asyncio.get_running_loop().time() > lease_ends_at:
            return
        until_us = now + int(self.pace.linger_s * 1e6)
        for slice_, row in proxy.rows.items():
            if row.owner is not None and row.owner not in proxy.out and row.writes:
                self.checker.write_sent(now, f"p{number}", slice_, row.owner, row.step, until_us)
