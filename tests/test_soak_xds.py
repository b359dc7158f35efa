"""Short runs of the xDS soak test, and tests of its checks; `soak_xds.py` says how to start long runs."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
import soak_xds
from parties import play
from soak import Verdict
from soak_xds import WRITE_LIFE_S, Requester, Writes, XdsDay, play_day


@pytest.mark.parametrize("seed", range(1, 3))
def test_every_xds_client_is_answered_or_freed_until_the_kill(tmp_path: Path, seed: int) -> None:
    async def test() -> None:
        verdict = await play_day(seed, tmp_path)
        assert not verdict.breaches, str(verdict)
        assert verdict.answered > 500, str(verdict)

    play(test(), 60)


@pytest.mark.parametrize(
    ("node", "after_s", "is_wrong"),
    [("n0", 0.0, False), ("n1", WRITE_LIFE_S * 1.01, False), ("n1", WRITE_LIFE_S * 0.99, True)],
)
def test_a_slice_that_is_written_at_two_servers_is_detected(
    node: str, after_s: float, is_wrong: bool
) -> None:
    writes = Writes()
    assert not writes.write(10.0, 3, "n0") and not writes.write(10.0, 4, "n1")
    assert bool(writes.write(10.0 + after_s, 3, node)) is is_wrong
    assert writes.count == 3 and writes.moves == (node != "n0")


class SilentStream:
    """A stream on which nothing is received."""

    async def send_message(self, message: Any) -> None:
        pass

    async def recv_message(self) -> Any:
        await asyncio.Event().wait()


def test_a_request_without_a_response_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr(soak_xds, "ANSWER_S", 0.3)
        running = SimpleNamespace(address=("127.0.0.1", 1), lines=[])
        day = XdsDay(running, random.Random(1), Verdict(1), is_crowded=False)  # type: ignore[arg-type]
        assert await Requester(day, "c").exchange(SilentStream(), None, "0.r") is None
        assert len(day.verdict.breaches) == 1 and "neither" in day.verdict.breaches[0]

    play(test())
