"""Input cut off at every position or split into any chunks: only complete messages take effect."""

from __future__ import annotations

import asyncio
import json
from itertools import pairwise
from typing import Any

from hypothesis import given
from hypothesis import settings as drawing
from hypothesis import strategies as some
from parties import (
    CODEC,
    JOIN,
    KNOWN,
    LOAD_LINE,
    LOAD_REPORT,
    LOST,
    MEMBER,
    QUICK,
    SNAPSHOT_EVENTS,
    SNAPSHOT_LINES,
    change,
    play,
)

from lapispass import interface
from lapispass.net.collectors import Collectors
from lapispass.net.counters import Counters
from lapispass.net.registry import Registry
from lapispass.net.relay import Calls, EventStream
from lapispass.net.streams import Reader

drawn = drawing(derandomize=True, database=None, deadline=None, max_examples=60)


class ScriptedConnection:
    """A connection that receives these chunks and then ends."""

    address, usable, watch_from = "", True, 5

    def __init__(self, pieces: list[bytes], ends: Any = b"") -> None:
        self.pieces, self.ends, self.closed = list(pieces), ends, False

    async def send(self, *_: object, **__: object) -> None:
        pass

    async def answer(self) -> int:
        return 200

    async def read_chunk(self) -> bytes:
        await asyncio.sleep(0)
        if self.pieces:
            return self.pieces.pop(0)
        if isinstance(self.ends, Exception):
            raise self.ends
        return self.ends

    def close(self) -> None:
        self.closed = True


def cut(whole: bytes, positions: list[int]) -> list[bytes]:
    """The chunks between the given positions, none of them empty."""
    bounds = sorted({position % len(whole) for position in positions} | {0, len(whole)})
    return [whole[begin:end] for begin, end in pairwise(bounds) if begin < end]


def event_bytes(kind: str, data: str) -> bytes:
    return f"event: {kind}\r\ndata: {data}\r\n\r\n".encode()


EVENT_STREAM = (
    b"".join(event_bytes(*item) for item in SNAPSHOT_LINES)
    + b":\r\n"
    + event_bytes("ACK", "node=1&nonce=9&latency=2.5")
    + event_bytes("CLOSED", "node=1")
    + b":\r\n"
    + event_bytes("GRANT", "shard=4&set=0")
)
EXPECTED_EVENTS = [
    *SNAPSHOT_EVENTS,
    interface.BarrierAck(1, 9, 2500),
    interface.ProxyLeft(1),
    interface.SliceGrant(4, False),
]


async def events_of_stream(pieces: list[bytes], ends: Any) -> tuple[list[interface.Event], EventStream]:
    events: list[interface.Event] = []
    calls = Calls("", CODEC, QUICK, Counters())
    stream = EventStream("", calls, events.append, CODEC, QUICK, Counters())
    stream.endpoint.standby = ScriptedConnection(pieces, ends)
    await stream.stream()
    assert not calls.lock.locked() and stream.snapshot is None and stream.counters["news.lost"] == 1
    return events, stream


async def test_news_cut_off_at_every_position_leave_whole_events_and_free_calls() -> None:
    seen = set()
    for position in range(len(EVENT_STREAM) + 1):
        pieces = [EVENT_STREAM[:position]] if position else []
        events, _ = await events_of_stream(pieces, ConnectionResetError() if position % 2 else b"")
        assert events == EXPECTED_EVENTS[: len(events)] and len(events) in (
            0,
            *range(len(SNAPSHOT_EVENTS), len(EXPECTED_EVENTS) + 1),
        )
        seen.add(len(events))
    assert seen == {0, *range(len(SNAPSHOT_EVENTS), len(EXPECTED_EVENTS) + 1)}, (
        "an incomplete snapshot causes no event"
    )


@drawn
@given(some.lists(some.integers(0, 10_000), max_size=40))
def test_news_mean_the_same_in_any_pieces(positions: list[int]) -> None:
    async def test() -> None:
        events, _ = await events_of_stream(cut(EVENT_STREAM, positions), b"")
        assert events == EXPECTED_EVENTS

    play(test())


WATCH_LINES = (
    b"\n"
    + change(6, {**MEMBER, "id": "s-2"})
    + b"\n"
    + change(7, {**MEMBER, "id": "s-3"}, {**MEMBER, "phase": "Gone"})
)


async def events_of_watch(pieces: list[bytes]) -> tuple[list[interface.Event], Registry]:
    events: list[interface.Event] = []
    registry = Registry("", KNOWN, events.append, CODEC, QUICK, Counters())
    connection = registry.endpoint.standby = ScriptedConnection(pieces)
    await registry.watch()
    assert connection.closed and not registry.watch_open.is_set() and LOST not in events
    return events[1:], registry


async def test_a_watch_cut_off_at_every_position_goes_on_from_the_last_whole_line() -> None:
    for position in range(len(WATCH_LINES) + 1):
        events, registry = await events_of_watch([WATCH_LINES[:position]] if position else [])
        complete = [json.loads(line) for line in WATCH_LINES[:position].split(b"\n")[:-1] if line.strip()]
        assert len(events) == len(complete) and registry.version == (
            complete[-1]["revision"] if complete else 5
        )


@drawn
@given(some.lists(some.integers(0, 10_000), max_size=40))
def test_a_watch_means_the_same_in_any_pieces(positions: list[int]) -> None:
    async def test() -> None:
        events, registry = await events_of_watch(cut(WATCH_LINES, positions))
        assert [len(update.entries) for update in events] == [1, 2] and registry.version == 7

    play(test())


class Transport:
    """Collects what is written to a connection."""

    def __init__(self) -> None:
        self.written, self.aborted = b"", False

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high: int) -> None:
        pass

    def abort(self) -> None:
        self.aborted = True


class Writer:
    def __init__(self) -> None:
        self.transport = Transport()

    def get_extra_info(self, _: str) -> None:
        return None

    def write(self, data: bytes) -> None:
        self.transport.written += data

    async def drain(self) -> None:
        pass

    def is_closing(self) -> bool:
        return self.transport.aborted


REPORTS = b"PING\r\n" + JOIN + LOAD_LINE + b"PING\r\n" + LOAD_LINE * 2 + b"LATER kind=odd\r\n" + LOAD_LINE


@drawn
@given(some.lists(some.integers(0, 10_000), max_size=30), some.integers(0, len(REPORTS)), some.booleans())
def test_a_collectors_bytes_mean_the_same_in_any_pieces_and_half_a_line_is_none(
    positions: list[int], until: int, closing: bool
) -> None:
    async def test() -> None:
        events: list[interface.Event] = []
        collectors = Collectors(events.append, CODEC, QUICK, Counters())
        reader, writer = Reader(), Writer()
        life = asyncio.create_task(collectors.serve(reader, writer))  # type: ignore[arg-type]
        received = REPORTS[:until]
        for chunk in cut(received, positions) if received else []:
            reader.feed_data(chunk)
            await asyncio.sleep(0)
        if closing:
            collectors.close()
        reader.feed_eof()
        await life
        lines = received.split(b"\n")[:-1]
        assert events == [LOAD_REPORT] * lines.count(
            LOAD_LINE[:-1]
        ) and writer.transport.written == b"PONG\r\n" * lines.count(b"PING\r")
        assert writer.transport.aborted and not collectors.connections and not collectors.tasks

    play(test())
