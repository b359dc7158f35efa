"""When the right to write of gates and xDS clients ends, if their controller loses the store or a slice.

The successor of a controller that is cut off hands its slices over from a lease after it was given them.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path

import pytest
from async_tests import cancel_and_wait, until
from support_gate import DEPLOYMENT, MS, SHORT_LIMITS, Fleet, fleet

from lapispass.core.store_contact import TAKEOVER_MIN_US
from lapispass.standins.platform import Relay
from lapispass.standins.xds_client import Faults, XdsClient
from lapispass.xds.platform_server import PlatformXdsServer

pytestmark = pytest.mark.time_limit(30)
LEASE_S = 2.0
TAKEOVER_MIN_S = TAKEOVER_MIN_US / 1e6
SLICES = range(DEPLOYMENT.slices)
RIGHTS_DEPLOYMENT = replace(DEPLOYMENT, lease_us=int(LEASE_S * 1e6))
GATE_LIMITS = replace(SHORT_LIMITS, lease_us=4_000 * MS)


class Fronts:
    """A controller with one gate and one xDS client, both of which may write."""

    def __init__(self, env: Fleet, client: XdsClient) -> None:
        self.env, self.client, self.gate = env, client, env.gates["g0"]

    def writing(self, number: int = 0) -> list[str]:
        """Which of the two would send a write of a slice now."""
        lease = self.gate.steering.lease
        assert lease is not None
        owner = self.gate.steering.tables.owner(number)
        gate_writes = owner is not None and lease.allows_writes(self.gate.clock.now())
        return ["gate"] * gate_writes + ["xds"] * (self.client.writes_to(number) is not None)

    def without_reads(self) -> list[tuple[str, int]]:
        """The slices for which a read finds no node, by front."""
        tables = self.gate.steering.tables
        return [("gate", n) for n in SLICES if tables.owner(n) is None] + [
            ("xds", n) for n in SLICES if self.client.reads_from(n) is None
        ]


@asynccontextmanager
async def fronts(tmp_path: Path, faults: Faults | None = None) -> AsyncIterator[Fronts]:
    async with fleet(
        tmp_path, 2, deployment=RIGHTS_DEPLOYMENT, limits=GATE_LIMITS, extra='xds { listen: "127.0.0.1:0" }'
    ) as env:
        front = next(front for front in env.service.additional_fronts if isinstance(front, PlatformXdsServer))
        await until(lambda: front.xds_server.address)
        client = XdsClient(front.xds_server.address, "c0", 1, faults=faults or Faults())
        running = asyncio.create_task(client.run())
        both = Fronts(env, client)
        try:
            await until(lambda: both.writing() == ["gate", "xds"])
            yield both
        finally:
            await cancel_and_wait(running, *client.delayed_tasks)


async def wait_until(at: float) -> None:
    await asyncio.sleep(max(0.0, at - asyncio.get_running_loop().time()))


def silence_calls(relay: Relay) -> None:
    relay.answers_calls = False


def silence_stream(relay: Relay) -> None:
    relay.sends_events = False


@pytest.mark.parametrize("lose", [Relay.cut_off, silence_calls, silence_stream])
async def test_a_controller_without_contact_to_the_store_ends_its_clients_writes_in_time(
    tmp_path: Path, lose: Callable[[Relay], None]
) -> None:
    """Guards against two owners: a controller that is cut off renewed writes while its slices moved on."""
    async with fronts(tmp_path) as both:
        lost_at = asyncio.get_running_loop().time()
        lose(both.env.relay)
        await wait_until(lost_at + TAKEOVER_MIN_S + LEASE_S)
        assert both.writing() == []
        assert both.without_reads() == []  # only writes are closed
        await asyncio.sleep(0.5)
        assert both.writing() == []
        both.env.relay.reconnect()
        await until(lambda: both.writing() == ["gate", "xds"])


async def test_writes_go_on_beside_a_store_that_answers(tmp_path: Path) -> None:
    """Guards against a right to write that lapses between two heartbeats without any trouble."""
    async with fronts(tmp_path) as both:
        ends = asyncio.get_running_loop().time() + 2 * LEASE_S
        while asyncio.get_running_loop().time() < ends:
            assert both.writing() == ["gate", "xds"]
            await asyncio.sleep(0.02)


async def test_a_change_of_hands_that_waits_for_a_stuck_turn_ends_writes(tmp_path: Path) -> None:
    """Guards against two owners: a turn waited for its call, and the loss of a slice waited behind it."""
    async with fronts(tmp_path) as both:
        relay = both.env.relay
        relay.throttles = True
        both.env.list("n1", "Terminating")  # its orders are rejected again and again
        await until(lambda: both.env.service.counters["relay.throttled"] >= 2)
        given_at = asyncio.get_running_loop().time()
        relay.take_away(0)
        await wait_until(given_at + LEASE_S)
        assert both.writing() == []


@pytest.mark.parametrize(
    "faults",
    [Faults(eds_read_delay_s=20.0), Faults(rejects_eds=True)],
    ids=["reads assignments late", "rejects assignments"],
)
async def test_a_client_that_does_not_apply_the_loss_of_a_slice_stops_in_time(
    tmp_path: Path, faults: Faults
) -> None:
    """Guards against two owners: renewals went on for two seconds to a client that kept an old assignment."""
    async with fronts(tmp_path) as both:
        both.client.faults = faults
        given_at = asyncio.get_running_loop().time()
        both.env.relay.take_away(0)
        await wait_until(given_at + LEASE_S)
        assert both.writing() == []


async def test_a_client_that_was_given_no_renewal_for_a_while_writes_again(tmp_path: Path) -> None:
    """Guards against a client that never writes again: a renewal does not restore an expired listener."""
    async with fronts(tmp_path, Faults(eds_read_delay_s=LEASE_S)) as both:
        both.env.relay.take_away(0)
        await until(lambda: both.client.writes_to(1) is None)
        await until(lambda: both.client.writes_to(1) is not None)
        assert both.client.writes_to(0) is None
