"""What parties write, cut at every position, in any pieces: whole messages count, and half of one is none."""

from __future__ import annotations

import asyncio
import json
from itertools import pairwise
from typing import Any

from hypothesis import given
from hypothesis import settings as drawing
from hypothesis import strategies as some
from parties import CODEC, JOIN, KNOWN, LINE, LOST, MEMBER, MET, PICTURE, QUICK, STANDS, change, play

from lapispass import interface
from lapispass.net.collectors import Collectors
from lapispass.net.counters import Counters
from lapispass.net.registry import Registry
from lapispass.net.relay import Calls, News
from lapispass.net.streams import Reader

drawn = drawing(derandomize=True, database=None, deadline=None, max_examples=60)


class Said:
    """A connection that says these pieces and then ends."""

    address, usable, since = "", True, 5

    def __init__(self, pieces: list[bytes], ends: Any = b"") -> None:
        self.pieces, self.ends, self.closed = list(pieces), ends, False

    async def send(self, *_: object, **__: object) -> None:
        pass

    async def answer(self) -> int:
        return 200

    async def piece(self) -> bytes:
        await asyncio.sleep(0)
        if self.pieces:
            return self.pieces.pop(0)
        if isinstance(self.ends, Exception):
            raise self.ends
        return self.ends

    def close(self) -> None:
        self.closed = True


def cut(whole: bytes, places: list[int]) -> list[bytes]:
    """The pieces between the places, none of them empty."""
    marks = sorted({place % len(whole) for place in places} | {0, len(whole)})
    return [whole[begin:end] for begin, end in pairwise(marks) if begin < end]


def event(kind: str, data: str) -> bytes:
    return f"event: {kind}\r\ndata: {data}\r\n\r\n".encode()


NEWS = (
    b"".join(event(*stands) for stands in STANDS)
    + b":\r\n"
    + event("ACK", "node=1&nonce=9&latency=2.5")
    + event("CLOSED", "node=1")
    + b":\r\n"
    + event("GRANT", "shard=4&set=0")
)
HEARD = [*PICTURE, interface.BarrierAck(1, 9, 2500), interface.ProxyLeft(1), interface.SliceGrant(4, False)]


async def news_heard(pieces: list[bytes], ends: Any) -> tuple[list[interface.Event], News]:
    heard: list[interface.Event] = []
    calls = Calls("", CODEC, QUICK, Counters())
    news = News("", calls, heard.append, CODEC, QUICK, Counters())
    news.place.ready = Said(pieces, ends)
    await news.stream()
    assert not calls.quiet.locked() and news.picture is None and news.counters["news.lost"] == 1
    return heard, news


async def test_news_cut_off_at_every_position_leave_whole_events_and_free_calls() -> None:
    seen = set()
    for place in range(len(NEWS) + 1):
        pieces = [NEWS[:place]] if place else []
        heard, _ = await news_heard(pieces, ConnectionResetError() if place % 2 else b"")
        assert heard == HEARD[: len(heard)] and len(heard) in (0, *range(len(PICTURE), len(HEARD) + 1))
        seen.add(len(heard))
    assert seen == {0, *range(len(PICTURE), len(HEARD) + 1)}, "half a picture tells nothing"


@drawn
@given(some.lists(some.integers(0, 10_000), max_size=40))
def test_news_mean_the_same_in_any_pieces(places: list[int]) -> None:
    async def test() -> None:
        heard, _ = await news_heard(cut(NEWS, places), b"")
        assert heard == HEARD

    play(test())


LINES = (
    b"\n"
    + change(6, {**MEMBER, "id": "s-2"})
    + b"\n"
    + change(7, {**MEMBER, "id": "s-3"}, {**MEMBER, "phase": "Gone"})
)


async def list_heard(pieces: list[bytes]) -> tuple[list[interface.Event], Registry]:
    heard: list[interface.Event] = []
    registry = Registry("", KNOWN, heard.append, CODEC, QUICK, Counters())
    said = registry.place.ready = Said(pieces)
    await registry.watch()
    assert said.closed and not registry.open.is_set() and LOST not in heard
    return heard[1:], registry


async def test_a_watch_cut_off_at_every_position_goes_on_from_the_last_whole_line() -> None:
    for place in range(len(LINES) + 1):
        heard, registry = await list_heard([LINES[:place]] if place else [])
        whole = [json.loads(line) for line in LINES[:place].split(b"\n")[:-1] if line.strip()]
        assert len(heard) == len(whole) and registry.version == (whole[-1]["revision"] if whole else 5)


@drawn
@given(some.lists(some.integers(0, 10_000), max_size=40))
def test_a_watch_means_the_same_in_any_pieces(places: list[int]) -> None:
    async def test() -> None:
        heard, registry = await list_heard(cut(LINES, places))
        assert [len(told.entries) for told in heard] == [1, 2] and registry.version == 7

    play(test())


class Transport:
    """Where a connection's answers go."""

    def __init__(self) -> None:
        self.said, self.aborted = b"", False

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
        self.transport.said += data

    async def drain(self) -> None:
        pass

    def is_closing(self) -> bool:
        return self.transport.aborted


REPORTS = b"PING\r\n" + JOIN + LINE + b"PING\r\n" + LINE * 2 + b"LATER kind=odd\r\n" + LINE


@drawn
@given(some.lists(some.integers(0, 10_000), max_size=30), some.integers(0, len(REPORTS)), some.booleans())
def test_a_collectors_bytes_mean_the_same_in_any_pieces_and_half_a_line_is_none(
    places: list[int], until: int, closing: bool
) -> None:
    async def test() -> None:
        heard: list[interface.Event] = []
        collectors = Collectors(heard.append, CODEC, QUICK, Counters())
        reader, writer = Reader(), Writer()
        life = asyncio.create_task(collectors.serve(reader, writer))  # type: ignore[arg-type]
        said = REPORTS[:until]
        for piece in cut(said, places) if said else []:
            reader.feed_data(piece)
            await asyncio.sleep(0)
        if closing:
            collectors.close()
        reader.feed_eof()
        await life
        lines = said.split(b"\n")[:-1]
        assert heard == [MET] * lines.count(LINE[:-1]) and writer.transport.said == b"PONG\r\n" * lines.count(
            b"PING\r"
        )
        assert writer.transport.aborted and not collectors.open and not collectors.tasks

    play(test())
