"""Requests to a real controller process are answered, whole and in time, whatever its system calls do."""

from __future__ import annotations

import asyncio
import errno
import signal
from pathlib import Path

from faulty_process import SHORT, Call, controller, errno_name

PING, PONG = b"PING\r\n", b"PONG\r\n"
DUE_S = 0.5  # for the answer to a request that a running process can read
# What Linux documents for accept, beside faults of the caller.
ACCEPT_ERRORS = (
    errno.ECONNABORTED,
    errno.ENFILE,
    errno.EMFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EINTR,
    errno.EPROTO,
    errno.ENETDOWN,
    errno.ENOPROTOOPT,
    errno.EHOSTDOWN,
    errno.ENONET,
    errno.EHOSTUNREACH,
    errno.EOPNOTSUPP,
    errno.ENETUNREACH,
    errno.EPERM,
    errno.EAGAIN,
    errno.ETIMEDOUT,
)
IDLE_S = 1.0  # from which on a connection that has not joined may be closed


async def answer(reader: asyncio.StreamReader, limit_s: float = DUE_S) -> bytes:
    """The next line, or what came of it until the connection ended or the time was over."""
    said = b""
    try:
        async with asyncio.timeout(limit_s):
            while not said.endswith(b"\n"):
                if not (piece := await reader.read(1)):
                    break
                said += piece
    except TimeoutError:
        return said + b" and then nothing in time"
    except OSError as error:
        return said + str(error).encode()
    return said


async def test_a_request_that_came_in_time_is_answered_by_a_process_that_stood_still(tmp_path: Path) -> None:
    # The timer of the idle second won over what had been read: the connection was ended without an answer.
    async with controller(tmp_path) as running:
        fresh, asked = await running.connect(), await running.connect()
        asked[1].write(PING)
        assert await answer(asked[0]) == PONG
        await asyncio.sleep(0.3)
        running.signal(signal.SIGSTOP)
        for _, writer in (fresh, asked):
            writer.write(PING)
        await asyncio.sleep(2 * IDLE_S)
        running.signal(signal.SIGCONT)
        got = [await answer(reader) for reader, _ in (fresh, asked)]
        for _, writer in (fresh, asked):
            writer.close()
        assert got == [PONG, PONG]


async def test_new_connections_are_served_soon_after_accept_has_failed(tmp_path: Path) -> None:
    # asyncio accepts nothing for a second after ENFILE: answers on new connections came that late.
    late = {}
    async with controller(tmp_path) as running:
        for error in ACCEPT_ERRORS:
            running.faults.set(Call.ACCEPT, error, times=3)
            reader, writer = await running.connect()
            writer.write(PING)
            if (got := await answer(reader)) != PONG:
                late[errno_name(error)] = got
            running.faults.clear(Call.ACCEPT)
            writer.close()
            await asyncio.sleep(0.05)
        assert running.faults.injected(Call.ACCEPT) >= len(ACCEPT_ERRORS)
    assert not late


async def test_answers_are_whole_where_transfers_are_short_or_interrupted(tmp_path: Path) -> None:
    # What was not yet sent was dropped with the connection: half an answer, or none.
    bad = {}
    async with controller(tmp_path) as running:
        for call, error in (
            (Call.SEND, SHORT),
            (Call.SEND, errno.EINTR),
            (Call.SEND, errno.EAGAIN),
            (Call.RECEIVE, SHORT),
            (Call.RECEIVE, errno.EINTR),
            (Call.WAIT, errno.EINTR),
        ):
            for said, expected in (
                (PING, PONG),
                (PING * 20, PONG * 20),
                (PING + b"\x00odd", PONG + b"NACK why=unreadable\r\n"),
                (PING + b"odd\r\n", PONG + b"NACK why=unreadable\r\n"),
            ):
                running.faults.set(call, error, thousandths=900 if error == SHORT else 500)
                reader, writer = await running.connect()
                writer.write(said)
                writer.write_eof()
                got = b""
                try:
                    got = await asyncio.wait_for(reader.read(), 2)
                except OSError as failure:  # a reset, or nothing in time
                    got = repr(failure).encode()
                if got != expected:
                    bad[call.name, errno_name(error), said[:20]] = got
                running.faults.clear(call)
                writer.close()
    assert not bad
