"""Log lines are written completely and in order, or dropped, and never block the process."""

from __future__ import annotations

import contextlib
import errno
import logging
import os
import random
import re
from types import SimpleNamespace

import pytest

from lapispass.net import log
from lapispass.net.log import KeyValueFormatter, NonBlockingHandler, PartLogger


def record(text: str) -> logging.LogRecord:
    return logging.LogRecord("lapispass.part", logging.INFO, "", 0, text, None, None)


def test_a_line_that_is_written_in_parts_is_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    # After a short write, the next line used to begin in the middle of the previous one.
    reader, writer = os.pipe()
    write_all, left = os.write, [3, 0, 5]

    def write(descriptor: int, line: bytes) -> int:
        if not left:
            return write_all(descriptor, line)
        if (size := left.pop(0)) == 0:
            raise BlockingIOError
        return write_all(descriptor, line[:size])

    handler = NonBlockingHandler(writer)
    monkeypatch.setattr(os, "write", write)
    for number in range(4):
        handler.emit(record(f"event {number}"))
    monkeypatch.undo()
    assert os.read(reader, 1000) == b"event 0\nevent 1\nevent 2\nevent 3\n" and handler.lost == 0
    os.close(reader)
    os.close(writer)


@pytest.mark.parametrize("call", ["poll", "write"])
def test_a_line_whose_system_call_fails_for_a_moment_is_not_lost(
    monkeypatch: pytest.MonkeyPatch, call: str
) -> None:
    """Guards against lines that are dropped since the one before waits: 'listening' was among them."""
    reader, writer = os.pipe()
    handler, chance = NonBlockingHandler(writer), random.Random(1)

    def failing(original):
        def attempt(*arguments):
            if chance.random() < 0.6:
                raise OSError(errno.ENOMEM, "no memory for a moment")
            return original(*arguments)

        return attempt

    if call == "poll":
        monkeypatch.setattr(handler, "poll", SimpleNamespace(poll=failing(handler.poll.poll)))
    else:
        monkeypatch.setattr(os, "write", failing(os.write))
    for number in range(100):
        handler.emit(record(f"line {number}"))
    monkeypatch.undo()
    os.close(writer)
    with os.fdopen(reader) as lines:
        assert len(lines.readlines()) == 100 and handler.lost == 0


def test_lines_for_which_there_is_no_room_are_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    reader, writer = os.pipe()
    handler = NonBlockingHandler(writer)

    def full(descriptor: int, line: bytes) -> int:
        raise BlockingIOError

    monkeypatch.setattr(os, "write", full)
    for number in range(4):
        handler.emit(record(f"event {number}"))
    monkeypatch.undo()
    handler.emit(record("later"))
    assert os.read(reader, 1000) == b"event 0\nlater\n" and handler.lost == 3
    os.close(reader)
    os.close(writer)


def test_a_line_tells_the_time_since_the_start_beside_the_wall_clock() -> None:
    line = KeyValueFormatter().format(record("event"))
    assert line.startswith("time=") and float(line.rpartition(" up=")[2]) >= 0


def test_a_log_line_is_key_value_and_never_waits() -> None:
    read, write = os.pipe()
    os.set_blocking(read, False)
    handler = NonBlockingHandler(write)
    handler.setFormatter(KeyValueFormatter())
    record = logging.makeLogRecord(
        {
            "name": "lapispass.news",
            "msg": "news lost",
            "levelname": "INFO",
            "fields": {"why": 'a "b"\nc', "count": 3, "part_of": 0.25},
        }
    )
    handler.handle(record)
    line, _, up = os.read(read, 10_000).decode().rpartition(" up=")
    assert line.endswith(' level=info part=news event="news lost" why="a \\"b\\"\\nc" count=3 part_of=0.25')
    assert re.fullmatch(r"\d+\.\d{3}\n", up)
    for _ in range(2000):  # without a reader the pipe fills up
        handler.handle(record)
    assert handler.lost > 0
    os.close(read)
    handler.handle(record)  # a reader that has gone away does no harm either
    os.close(write)


def test_lines_that_a_peer_can_cause_are_few(caplog: pytest.LogCaptureFixture) -> None:
    part = PartLogger("some", 3_600_000_000)
    for _ in range(50):
        part.rate_limited("odd", why=1)
        part.rate_limited("odd", kind="rare")
    part.rate_limited("other")
    assert [record.getMessage() for record in caplog.records] == ["odd", "odd", "other"]
    assert part.last["odd", ""][1] == part.last["odd", "rare"][1] == 49


def test_a_line_that_had_to_wait_is_written_without_a_further_one() -> None:
    """The last line of a start or an end must not stay buffered until the next one."""
    read, write = os.pipe()
    os.set_blocking(write, False)
    filled = 0
    with contextlib.suppress(BlockingIOError):
        while True:
            filled += os.write(write, b"x" * 4096)
    before = logging.getLogger().handlers[:]
    handler = log.start(write)
    try:
        PartLogger("test").info("last line")
        while filled > 0:
            filled -= len(os.read(read, 1 << 16))
        log.flush_pending()
        assert b'event="last line"' in os.read(read, 1 << 16)
        assert not handler.lost
    finally:
        logging.getLogger().handlers[:] = before
        os.close(read)
        os.close(write)
