"""xDS clients that pause between the arrival of a response and reading it."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest
from support_gate import play, until
from test_xds import clients, controller, drain

from lapispass.core.clients import WRITES
from lapispass.standins.xds_client import KIND_BY_URL, XdsClient
from lapispass.xds.host import Host

SLICES = range(6)


class PausedAtGrant(XdsClient):
    """A client that pauses on its second stream when the write listener has arrived and is not read yet."""

    is_paused = False
    picks: tuple[str | None, ...] = ()  # the servers that writes go to, right after the listener was read

    async def take(self, stream: Any, message: Any) -> None:
        grants = [resource.name for resource in message.resources if resource.HasField("resource")]
        is_grant = KIND_BY_URL[message.type_url] == "lds" and WRITES in grants
        if is_grant and self.streams == 2:
            self.is_paused = self.frozen = True
            while self.frozen:
                await asyncio.sleep(0.005)
            self.on_applied = self.record_picks
        await super().take(stream, message)

    def record_picks(self, _: XdsClient) -> None:
        self.picks = tuple(self.writes_to(number) for number in SLICES)
        self.on_applied = lambda _: None


async def pause_at_grant(host: Host, client: PausedAtGrant) -> None:
    """Cuts the client's stream while it has not read the grant, and drains a server that it writes to."""
    await until(lambda: {client.writes_to(number) for number in SLICES} == {"n0", "n1"})
    client.drop()
    await until(lambda: client.is_paused)
    client.drop()
    await until(lambda: not host.xds_server.clients)
    drain(host)


@pytest.mark.parametrize("paused_s", [0.0, 0.3])
def test_a_grant_read_within_the_allowed_time_after_its_stream_was_cut_writes_at_no_former_owner(
    tmp_path: Path, paused_s: float
) -> None:
    """Rule 2 holds if the grant is read within `late_ms` of the end of its stream."""

    async def test() -> None:
        async with controller(tmp_path) as host:
            client = PausedAtGrant(host.xds_server.address, "c0", 1)
            async with clients(client):
                await pause_at_grant(host, client)
                await asyncio.sleep(paused_s)
                client.frozen = False
                await until(lambda: client.picks)
                targets: set[str | None] = set()

                def is_handed_over() -> bool:
                    owners = host.store.owners()
                    for number in SLICES:
                        if owners.get(number) == "n1":
                            targets.add(client.writes_to(number))
                    return set(owners.values()) == {"n1"}

                await until(is_handed_over)
                assert targets <= {None, "n1"}

    play(test())


def test_a_grant_read_long_after_its_stream_was_cut_writes_at_no_former_owner(tmp_path: Path) -> None:
    """Rule 2 holds if a paused client reads its grant after the slices have new owners."""

    async def test() -> None:
        async with controller(tmp_path) as host:
            client = PausedAtGrant(host.xds_server.address, "c0", 1)
            async with clients(client):
                await pause_at_grant(host, client)
                await until(lambda: set(host.store.owners().values()) == {"n1"})
                client.frozen = False
                await until(lambda: client.picks)
                assert set(client.picks) <= {None, "n1"}

    play(test())
