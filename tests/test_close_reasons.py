"""The reason of a close, as its counter and its log line report it."""

from __future__ import annotations

import logging

import pytest
from parties import listening, play, until

from lapispass.net.client_connection import CloseReason


def test_a_connection_cancelled_with_the_process_is_no_fault(caplog: pytest.LogCaptureFixture) -> None:
    """A connection cancelled by the shutdown must not be reported as a fault or logged as a warning."""

    async def test() -> None:
        async with listening() as (collectors, _, connect):
            await connect()
            await until(lambda: collectors.connections)
            for task in collectors.tasks:  # as the loop does with remaining tasks at the end of the process
                task.cancel()
            await until(lambda: not collectors.tasks)
            assert collectors.counters["collectors.ended.process_ends"] == 1
            assert collectors.counters["collectors.ended.fault"] == 0

    with caplog.at_level(logging.INFO):
        play(test())
    ended = [record for record in caplog.records if "connection ended" in record.getMessage()]
    assert [record.levelno for record in ended] == [logging.INFO]
    assert ended[0].fields["why"] == CloseReason.PROCESS_ENDS
