"""Requests to a real controller process are answered completely and in time while its system calls fail."""

from __future__ import annotations

import asyncio
import errno
import signal
from pathlib import Path

from faulty_process import SHORT, Call, controller, errno_name

PING, PONG = b"PING\r\n", b"PONG\r\n"
ANSWER_LIMIT_S = 0.5  # for the answer to a request that a running process can read
# The errors that Linux documents for accept, except errors of the caller.
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
IDLE_LIMIT_S = 1.0  # a connection that has not joined may be closed after this time


async def read_answer(reader: asyncio.StreamReader, limit_s: float = ANSWER_LIMIT_S) -> bytes:
    """The next line, or the part of it that arrived before the connection ended or the time was over."""
    received = b""
    try:
        async with asyncio.timeout(limit_s):
            while not received.endswith(b"\n"):
                if not (piece := await reader.read(1)):
                    break
                received += piece
    except TimeoutError:
        return received + b" and then nothing in time"
    except OSError as error:
        return received + str(error).encode()
    return received


async def test_a_request_that_came_in_time_is_answered_by_a_process_that_stood_still(tmp_path: Path) -> None:
    # Guards against an idle time-out that takes precedence over a request already received: after a pause of
    # the process, the connection was closed without an answer.
    async with controller(tmp_path) as running:
        fresh, answered = await running.connect(), await running.connect()
        answered[1].write(PING)
        assert await read_answer(answered[0]) == PONG
        await asyncio.sleep(0.3)
        running.signal(signal.SIGSTOP)
        for _, writer in (fresh, answered):
            writer.write(PING)
        await asyncio.sleep(2 * IDLE_LIMIT_S)
        running.signal(signal.SIGCONT)
        answers = [await read_answer(reader) for reader, _ in (fresh, answered)]
        for _, writer in (fresh, answered):
            writer.close()
        assert answers == [PONG, PONG]


async def test_new_connections_are_served_soon_after_accept_has_failed(tmp_path: Path) -> None:
    # Guards against asyncio's pause of one second in accepting after ENFILE: answers on new connections were
    # late by that time.
    late = {}
    async with controller(tmp_path) as running:
        for error in ACCEPT_ERRORS:
            running.faults.set(Call.ACCEPT, error, times=3)
            reader, writer = await running.connect()
            writer.write(PING)
            if (answer := await read_answer(reader)) != PONG:
                late[errno_name(error)] = answer
            running.faults.clear(Call.ACCEPT)
            writer.close()
            await asyncio.sleep(0.05)
        assert running.faults.injected(Call.ACCEPT) >= len(ACCEPT_ERRORS)
    assert not late


async def test_answers_are_whole_where_transfers_are_short_or_interrupted(tmp_path: Path) -> None:
    # Guards against output that is dropped with its connection before it is sent: clients received half an
    # answer, or none.
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
            for sent, expected in (
                (PING, PONG),
                (PING * 20, PONG * 20),
                (PING + b"\x00odd", PONG + b"NACK why=unreadable\r\n"),
                (PING + b"odd\r\n", PONG + b"NACK why=unreadable\r\n"),
            ):
                running.faults.set(call, error, thousandths=900 if error == SHORT else 500)
                reader, writer = await running.connect()
                writer.write(sent)
                writer.write_eof()
                answer = b""
                try:
                    answer = await asyncio.wait_for(reader.read(), 2)
                except OSError as failure:  # a reset or a time-out
                    answer = repr(failure).encode()
                if answer != expected:
                    bad[call.name, errno_name(error), sent[:20]] = answer
                running.faults.clear(call)
                writer.close()
    assert not bad
