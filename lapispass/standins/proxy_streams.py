"""A stand-in relay whose proxies each have a stream of their own, as the platform's protocol page describes.

A proxy reads the store shortly after it has joined, applies messages late but in order, and acknowledges
their barriers. Streams break and are opened again. A stalled proxy applies nothing and keeps its stream. A
checker of the rules gets what each proxy could pick; no controller is asked for its view.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from lapispass.rules.checker import Checker
from lapispass.standins.http import CHUNKED, HttpConnection, chunk
from lapispass.standins.nodes import clock_us
from lapispass.standins.platform import Relay, event

READ_MIN_S, READ_MAX_S = 0.05, 0.5  # time from joining until the proxy has read the store
HEAD_LINES = 12  # overhead of each message, in lines


class Pace(NamedTuple):
    """Speed of the channel, delays of messages, and lifetime of writes."""

    lines_per_s: float  # rate of the channel, for all proxies together
    min_delay_s: float  # shortest time from leaving the channel to being applied
    max_delay_s: float
    lease_s: float  # a proxy continues to send writes for this time after its stream broke
    linger_s: float  # longest time that a write may take to finish
    writes: str  # the request class of writes
    notice_s: float = 0.3  # longest time until the relay notices a broken stream


class Row(NamedTuple):
    """The table of a slice: its owner, the number of changes so far, and whether writes are admitted."""

    owner: str | None = None
    step: int = 0
    writes: bool = True
    version: int = 0  # of the last order that changed it


@dataclass
class Message:
    """The orders of one turn, on the way to the proxies."""

    orders: list[tuple[list[str], Row | None]] = field(
        default_factory=list
    )  # each with the table that it results in, if any
    barrier: str = ""
    issued: float = 0.0


@dataclass
class Proxy:
    """One proxy: its stream, its tables, and the servers that are withdrawn from it."""

    joined: bool = False
    stream: int = 0  # number of streams so far
    has_read: bool = False  # whether it has read the store on this stream
    joined_us: int = 0
    broken_at: float = 0.0  # when the last stream on which it had read the store broke
    stalled_until: float = 0.0
    last_at: float = 0.0  # arrival time of the last message sent to it
    rows: dict[int, Row] = field(default_factory=dict)
    withdrawn: set[str] = field(default_factory=set)
    inbox: deque[Message] = field(
        default_factory=deque
    )  # messages that arrived on this stream and are not applied yet


class ProxyStreams(Relay):
    """One controller's relay, store and proxies."""

    def __init__(
        self, slices: Sequence[int], proxies: int, pace: Pace, checker: Checker, chance: random.Random
    ) -> None:
        super().__init__(len(slices), proxies, zones=("east", "west"))
        self.granted[""] = slices
        self.pace, self.checker, self.chance = pace, checker, chance
        self.store: dict[int, Row] = {number: Row() for number in slices}
        self.proxy_states = [Proxy() for _ in range(proxies)]
        self.message, self.version = Message(), 0
        self.channel_free_at = 0.0
        self.checked_since_us = 0

    def set_owners(self, servers: Sequence[str]) -> None:
        """Sets the state before the first controller starts: owners of all slices, known to all proxies."""
        for index, number in enumerate(self.store):
            self.store[number] = Row(servers[index % len(servers)])
            self.owners[number] = servers[index % len(servers)]
        for proxy in self.proxy_states:
            proxy.joined, proxy.has_read, proxy.rows = True, True, dict(self.store)

    # Relay and store

    def start_event_stream(self, stream: HttpConnection) -> None:
        """Sends the snapshot: the joined proxies, and the slices with their owners."""
        lines = [
            self.subscribe_event(number) for number, proxy in enumerate(self.proxy_states) if proxy.joined
        ]
        for number, row in self.store.items():
            lines.append(event("GRANT", shard=number, set=1))
            if row.owner is not None:
                lines.append(event("ROW", shard=number, endpoint=row.owner, w=1))
        stream.write(CHUNKED + chunk(b"".join(lines) + b":\n\n"), len(lines))
        self.event_streams.setdefault(stream.client, []).append(stream)
        if self.heartbeat_timer is None:
            self.heartbeat_timer = asyncio.get_running_loop().call_later(
                self.heartbeat_s, self.send_heartbeats
            )

    def carry_out(self, order: list[str], client: str = "") -> None:
        """Applies an order to the store. The barrier, the last order of a turn, sends the message."""
        if order[0] == "SYNC":
            self.orders.append(",".join(order))
            self.send(order[1])
            return
        self.version += 1
        table = self.table_after(order)
        if table is not None:
            self.store[int(order[1])] = table
        self.message.orders.append((order, table))
        super().carry_out(order, client)

    def table_after(self, order: list[str]) -> Row | None:
        """The table of a slice after an order, or None if the order changes no table."""
        match order:
            case ["SET", number, owner, _]:
                row = self.store[int(number)]
                return Row(owner, row.step + 1, row.writes, self.version)
            case ["DEL", number]:
                return Row(None, self.store[int(number)].step + 1, version=self.version)
            case ["LIMIT", number, classes, share, _] if self.shuts_writes(number, classes):
                return self.store[int(number)]._replace(writes=float(share) > 0, version=self.version)
        return None

    def send(self, barrier: str) -> None:
        """Sends a message to each joined proxy. The channel sends one copy after another."""
        message, self.message = self.message, Message()
        loop = asyncio.get_running_loop()
        message.barrier, message.issued = barrier, loop.time()
        self.channel_free_at = max(self.channel_free_at, message.issued)
        lines = len(message.orders) + 1 + HEAD_LINES
        for number, proxy in enumerate(self.proxy_states):
            if not proxy.joined:
                continue
            self.channel_free_at += lines / self.pace.lines_per_s
            travels_s = self.chance.uniform(self.pace.min_delay_s, self.pace.max_delay_s)
            proxy.last_at = max(proxy.last_at + 1e-6, self.channel_free_at + travels_s)
            loop.call_at(proxy.last_at, self.arrive, number, proxy.stream, message)

    def shuts_writes(self, number: str, classes: str) -> bool:
        """Whether an admission level applies to the writes of one slice."""
        return number != "*" and self.pace.writes in classes.split("+")

    # Proxies

    def arrive(self, number: int, stream: int, message: Message) -> None:
        """A message arrives at a proxy. It is lost if its stream has broken meanwhile."""
        if self.proxy_states[number].stream == stream:
            self.proxy_states[number].inbox.append(message)
            self.apply_inbox(number, stream)

    def apply_inbox(self, number: int, stream: int) -> None:
        """Applies arrived messages in order, if the proxy has read the store and is not stalled."""
        proxy, loop = self.proxy_states[number], asyncio.get_running_loop()
        if not proxy.joined or proxy.stream != stream or not proxy.has_read or not proxy.inbox:
            return
        if loop.time() < proxy.stalled_until:
            loop.call_at(proxy.stalled_until, self.apply_inbox, number, stream)
            return
        while proxy.inbox:
            message = proxy.inbox.popleft()
            for order, table in message.orders:
                self.apply(proxy, order, table)
            took_ms = 1000 * (loop.time() - message.issued)
            self.send_events([event("ACK", node=number, nonce=message.barrier, latency=f"{took_ms:.1f}")])
        self.check_picks(clock_us(), number, proxy)

    def apply(self, proxy: Proxy, order: list[str], table: Row | None) -> None:
        """Applies one order. A table that was read from the store in a later version stays."""
        match order:
            case ["OUT", server]:
                proxy.withdrawn.add(server)
            case ["IN", server]:
                proxy.withdrawn.discard(server)
            case [_, number, *_] if table is not None and table.version > proxy.rows[int(number)].version:
                proxy.rows[int(number)] = table

    def join(self, number: int, restarted: bool = False) -> None:
        """Opens a proxy's stream; the proxy reads the store shortly after."""
        proxy = self.proxy_states[number]
        if proxy.joined:
            return
        proxy.joined, proxy.has_read, proxy.joined_us = True, False, clock_us()
        proxy.stream += 1
        proxy.inbox.clear()
        if restarted:
            proxy.rows, proxy.withdrawn = {slice_: Row(version=-1) for slice_ in self.store}, set()
        self.send_events([self.subscribe_event(number, cold=int(restarted))])
        read_s = self.chance.uniform(READ_MIN_S, READ_MAX_S)
        asyncio.get_running_loop().call_later(read_s, self.read_store, number, proxy.stream)

    def read_store(self, number: int, stream: int) -> None:
        """The proxy has read the tables of all slices."""
        proxy, loop = self.proxy_states[number], asyncio.get_running_loop()
        if not proxy.joined or proxy.stream != stream:
            return
        if loop.time() < proxy.stalled_until:
            loop.call_at(proxy.stalled_until, self.read_store, number, stream)
            return
        proxy.has_read, proxy.rows = True, dict(self.store)
        self.apply_inbox(number, stream)

    def leave(self, number: int) -> None:
        """Breaks a proxy's stream; the relay notices it with a delay."""
        proxy, loop = self.proxy_states[number], asyncio.get_running_loop()
        if not proxy.joined:
            return
        proxy.joined = False
        if proxy.has_read:  # else the lease of an earlier stream decides when its writes end
            proxy.broken_at = loop.time()
        self.checker.party_left(f"p{number}")
        notice_s = self.chance.uniform(0, self.pace.notice_s)
        loop.call_later(notice_s, self.send_events, [event("CLOSED", node=number)])

    def rejoin(self, number: int, restarted: bool, away_s: float) -> None:
        """Breaks a joined proxy's stream and opens a new one, after the relay has noticed the break."""
        if not self.proxy_states[number].joined:
            return
        self.leave(number)
        later_s = self.pace.notice_s + away_s
        asyncio.get_running_loop().call_later(later_s, self.join, number, restarted)

    # Checks of the rules

    def check(self, draining_since_us: Mapping[str, int], since_us: int) -> None:
        """Passes to the checker what each proxy could pick now. Time limits start at `since_us` or later."""
        self.checked_since_us = since_us
        for server, at_us in draining_since_us.items():
            if server not in self.checker.draining_since:
                self.checker.set_draining(at_us, server, True)
        now = clock_us()
        for number, proxy in enumerate(self.proxy_states):
            if asyncio.get_running_loop().time() < proxy.stalled_until:
                self.checker.party_left(f"p{number}")  # a stalled proxy picks and sends nothing
                continue
            self.apply_inbox(
                number, proxy.stream
            )  # messages that arrived during a stall are applied before the next request
            if proxy.joined:
                self.check_picks(now, number, proxy)
            self.check_writes(now, number, proxy)

    def check_picks(self, now: int, number: int, proxy: Proxy) -> None:
        """Checks rules 1 and 3 for a joined proxy."""
        since_us = max(self.checked_since_us, proxy.joined_us)
        for slice_, row in proxy.rows.items():
            reached = None if row.owner in proxy.withdrawn else row.owner
            self.checker.pick(now, f"p{number}", slice_, reached, since_us)

    def check_writes(self, now: int, number: int, proxy: Proxy) -> None:
        """Checks rule 2.

        Writes continue for a lease after the stream broke, then stop until the store has been read.
        """
        lease_ends_at = proxy.broken_at + self.pace.lease_s
        if not (proxy.joined and proxy.has_read) and asyncio.get_running_loop().time() > lease_ends_at:
            return
        until_us = now + int(self.pace.linger_s * 1e6)
        for slice_, row in proxy.rows.items():
            if row.owner is not None and row.owner not in proxy.withdrawn and row.writes:
                self.checker.write_sent(now, f"p{number}", slice_, row.owner, row.step, until_us)
