"""xDS clients that stand still between the arrival of a response and its reading."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest
from support_gate import play, until
from test_xds import clients, controller, drain

from lapispass.core.clients import WRITES
from lapispass.standins.xds_client import KINDS, XdsClient
from lapispass.xds.host import Host

SLICES = range(6)


class StoppedAtGrant(XdsClient):
    """A client whose second stream stops after it has received the write listener, before it is read."""

    is_stopped = False
    picks: tuple[str | None, ...] = ()  # where writes went once the listener had been read

    async def take(self, stream: Any, message: Any) -> None:
        grants = [one.name for one in message.resources if one.HasField("resource")]
        is_grant = KINDS[message.type_url] == "lds" and WRITES in grants
        if is_grant and self.streams == 2:
            self.is_stopped = self.frozen = True
            while self.frozen:
                await asyncio.sleep(0.005)
            self.applied = self.record_picks
        await super().take(stream, message)

    def record_picks(self, _: XdsClient) -> None:
        self.picks = tuple(self.writes_to(number) for number in SLICES)
        self.applied = lambda _: None


async def stop_at_grant(host: Host, client: StoppedAtGrant) -> None:
    """The client has the grant unread when its stream is cut, and a server that it writes to drains."""
    await until(lambda: {client.writes_to(number) for number in SLICES} == {"n0", "n1"})
    client.drop()
    await until(lambda: client.is_stopped)
    client.drop()
    await until(lambda: not host.xds_server.clients)
    drain(host)


@pytest.mark.parametrize("stopped_s", [0.0, 0.3])
def test_a_grant_read_within_the_allowed_time_after_its_stream_was_cut_writes_at_no_former_owner(
    tmp_path: Path, stopped_s: float
) -> None:
    """Guards rule 2 where a grant is read within `late_ms` of the end of its stream."""

    async def test() -> None:
        async with controller(tmp_path) as host:
            client = StoppedAtGrant(host.xds_server.address, "c0", 1)
            async with clients(client):
                await stop_at_grant(host, client)
                await asyncio.sleep(stopped_s)
                client.frozen = False
                await until(lambda: client.picks)
                late: set[str | None] = set()

                def is_handed_over() -> bool:
                    owners = host.store.owners()
                    for number in SLICES:
                        if owners.get(number) == "n1":
                            late.add(client.writes_to(number))
                    return set(owners.values()) == {"n1"}

                await until(is_handed_over)
                assert late <= {None, "n1"}

    play(test())


def test_a_grant_read_long_after_its_stream_was_cut_writes_at_no_former_owner(tmp_path: Path) -> None:
    """Guards rule 2 where a stopped client reads its grant after the slices have new owners."""

    async def test() -> None:
        async with controller(tmp_path) as host:
            client = StoppedAtGrant(host.xds_server.address, "c0", 1)
            async with clients(client):
                await stop_at_grant(host, client)
                await until(lambda: set(host.store.owners().values()) == {"n1"})
                client.frozen = False
                await until(lambda: client.picks)
                assert set(client.picks) <= {None, "n1"}

    play(test())
