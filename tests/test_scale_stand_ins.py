"""Tests of the stand-ins of a scale run on loopback: events, acknowledgements, reports and limits."""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from itertools import pairwise
from statistics import median

import pytest
from async_tests import until

from lapispass.lab.scale.messages import Change, Told, WatchLeft
from lapispass.lab.scale.stand_in import CountedRelay, RegistryStandIn, RelayStandIn
from lapispass.standins.collectors import Collectors, Load
from lapispass.standins.nodes import clock_us
from lapispass.standins.placeholder import Endpoints, Pace, PlaceholderGroup, request
from lapispass.standins.platform import Member, Registry, Relay
from lapispass.standins.servers import Servers

ZONES = ("a", "b")
EVENT_STREAM_REQUEST = request("GET", "/events")


class Client:
    """A connection that keeps all received bytes."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writer, self.received = writer, b""
        self.task = asyncio.create_task(self.read(reader))

    @classmethod
    async def open(cls, address: str, request_bytes: bytes) -> Client:
        host, _, port = address.rpartition(":")
        client = cls(*await asyncio.open_connection(host, int(port)))
        client.writer.write(request_bytes)
        return client

    async def read(self, reader: asyncio.StreamReader) -> None:
        while piece := await reader.read(65536):
            self.received += piece

    def close(self) -> None:
        self.task.cancel()
        self.writer.transport.abort()


async def test_answers_to_a_mark_of_one_controller_of_many_go_to_one_stream_in_turn() -> None:
    relay = Relay(4, proxies=4, ack_delay_s=0.001, zones=ZONES)
    relay.shared.add("many")
    address = await relay.listen("many")
    clients = [await Client.open(address, EVENT_STREAM_REQUEST) for _ in range(2)]
    await until(lambda: len(relay.event_streams.get("many", [])) == 2)
    call = request("POST", "/", b"Action=ApplyOrders&orders=SYNC%2C7%2C1%3BSYNC%2C8%2C1")
    caller = await Client.open(address, call)
    await until(lambda: all(each.received.count(b"event: ACK") == 4 for each in clients))
    assert sorted(b"nonce=7" in each.received for each in clients) == [False, True]
    assert b"<ok_count>2</ok_count>" in caller.received
    for each in (*clients, caller):
        each.close()
    relay.stop()


async def test_proxies_of_a_lost_zone_leave_answer_nothing_and_come_back_cold() -> None:
    relay = Relay(1, proxies=4, ack_delay_s=0.001, zones=ZONES)
    address = await relay.listen("one")
    client = await Client.open(address, EVENT_STREAM_REQUEST)
    await until(lambda: client.received.count(b"event: SUBSCRIBE") == 4)
    relay.disconnect_zone("b")
    relay.carry_out(["SYNC", "7", "1"], "one")
    await until(lambda: client.received.count(b"event: ACK") == 2)
    relay.rejoin_cold("b")
    await until(lambda: client.received.count(b"cold=1") == 2)
    assert client.received.count(b"event: CLOSED") == 2
    closed = [line for line in client.received.split(b"\n") if line.startswith(b"data: node=")]
    assert b"data: node=1" in closed and b"data: node=3" in closed  # the proxies of the second zone
    client.close()
    relay.stop()


async def test_a_stream_that_is_left_unread_is_reset() -> None:
    relay = Relay(1)
    relay.unread_limit = 100_000
    host, _, port = (await relay.listen("one")).rpartition(":")
    _, writer = await asyncio.open_connection(host, int(port), limit=1000)
    writer.write(EVENT_STREAM_REQUEST)
    await until(lambda: relay.event_streams.get("one"))
    for _ in range(200):
        relay.send_events([b"x" * 100_000], "one")
        await asyncio.sleep(0)
    await until(lambda: not relay.open_connections)
    assert not relay.event_streams["one"]
    writer.transport.abort()
    relay.stop()


async def test_a_withdrawal_and_its_end_are_noted_at_the_client_that_is_watched() -> None:
    stand_in = RelayStandIn()
    stand_in.relay = relay = CountedRelay(4, 0, ZONES)
    relay.granted.update({"one": [0, 1], "other": [2]})
    for number in range(3):
        relay.carry_out(["SET", str(number), "s-0", "1"], "one" if number < 2 else "other")
    await stand_in.carry_out(WatchLeft({"one": "s-0", "other": "s-0"}))
    relay.carry_out(["DEL", "0"], "one")
    assert not relay.left_us
    relay.carry_out(["SET", "1", "s-1", "1"], "one")
    assert relay.left_us.keys() == {"one"} and not relay.owned_us  # slice 0 has no owner yet
    relay.carry_out(["SET", "0", "s-1", "1"], "one")
    assert relay.owned_us.keys() == {"one"}
    assert relay.counts["one"] == {"SET": 4, "DEL": 1} and not relay.orders and not relay.published


def test_collectors_report_requests_by_zone_and_failures_where_servers_are_lost() -> None:
    relay = Relay(4, zones=ZONES)
    relay.granted["one"] = [0, 1]
    relay.owners.update({0: "s-0", 1: "s-0"})
    collectors = Collectors(relay, Load(800.0, ("look", "pay")), 1)
    lines = collectors.lines("one", "a")  # 800 over 4 slices, 2 zones, 2 classes
    assert [line.split(" interval")[0] for line in lines] == [
        "SHARD shard=0 route=look total=50 errors=0",
        "SHARD shard=0 route=pay total=50 errors=0",
        "SHARD shard=1 route=look total=50 errors=0",
        "SHARD shard=1 route=pay total=50 errors=0",
        "LOAD locality=a endpoint=s-0 total=200 errors=0 rtt=20.0",
    ]
    collectors.lost_servers.add("s-0")
    assert all("total=50 errors=50" in line or "errors=200" in line for line in collectors.lines("one", "a"))
    collectors.load = Load(0.0, ("look", "pay"))
    assert not collectors.lines("one", "a")
    collectors.load = Load(
        8.0, ("look", "pay")
    )  # on average one request in two intervals, for each slice and class
    seen = sum(len(collectors.lines("one", "a")) > 0 for _ in range(200))
    assert 150 < seen <= 200


def phase_of(times: list[float], interval: float) -> float:
    """The median of times modulo an interval. With an interval of 0.2, 0.199 and 0.001 are close."""
    first = times[0]
    offsets = [(at - first + interval / 2) % interval - interval / 2 for at in times]
    return (first + median(offsets)) % interval


@pytest.mark.parametrize(
    ("times", "middle"),
    [
        ([0.001, 0.199, 0.0, 0.198, 0.002], 0.0),
        ([0.198, 0.001, 0.199, 0.002, 0.199, 0.001], 0.0),  # a plain median gives 0.1
        ([0.11, 0.1, 0.12], 0.11),
    ],
)
def test_the_middle_of_times_around_the_end_of_an_interval_lies_there(
    times: list[float], middle: float
) -> None:
    apart = abs(phase_of(times, 0.2) - middle)
    assert min(apart, 0.2 - apart) < 1e-9


async def test_zones_report_at_their_own_times_also_after_the_process_stood_still() -> None:
    writers: list[asyncio.StreamWriter] = []
    taken = await asyncio.start_server(lambda reader, writer: writers.append(writer), "127.0.0.1", 0)
    relay = Relay(4, zones=tuple("abcd"))
    relay.granted["one"] = [0]
    collectors = Collectors(relay, Load(800.0, ("look",), interval_s=0.2), 1)
    loop, sent = asyncio.get_running_loop(), defaultdict(list)

    def lines(client: str, zone: str) -> list[str]:
        sent[zone].append(loop.time() % 0.2)
        return []

    collectors.lines = lines  # type: ignore[method-assign]
    collectors.report_to("one", "{}:{}".format(*taken.sockets[0].getsockname()))
    await asyncio.sleep(0.3)
    time.sleep(0.5)  # noqa: ASYNC251
    sent.clear()
    await until(lambda: len(sent) == 4 and min(map(len, sent.values())) >= 5)
    collectors.stop()
    await asyncio.gather(*collectors.tasks, return_exceptions=True)
    taken.close()
    for writer in writers:
        writer.transport.abort()
    phases = sorted(phase_of(times, 0.2) for times in sent.values())
    gaps = [after - before for before, after in pairwise([*phases, phases[0] + 0.2])]
    assert min(gaps) > 0.02, phases  # 0.05 each if nothing is late; 0 if all zones report together


async def test_hollow_controllers_hold_watch_and_news_and_keep_their_pace() -> None:
    registry, relay, servers = Registry(), Relay(4, proxies=2), Servers()
    relay.shared.add("hollow")
    addresses = await servers.listen_all(0, ["s-0", "s-1"])
    registry.members = {name: Member(name, address) for name, address in addresses.items()}
    endpoints = Endpoints(
        await registry.listen("hollow"), await relay.listen("hollow"), tuple(addresses.values())
    )
    group = PlaceholderGroup(5, endpoints, seed=1)
    group.begin(0.05)
    await until(lambda: len(group.connected_times()) == 5)
    assert len(registry.watches) == 5 and len(relay.event_streams["hollow"]) == 5
    registry.change(Member("s-0", addresses["s-0"], phase="Terminating"))
    await until(lambda: len(group.update_times(registry.revision)) == 5)
    group.pace = Pace(calls=10.0, marks=1.0, orders=2.0, probes=20.0, watches=2.0)
    began, seen = asyncio.get_running_loop().time(), registry.traffic["hollow"].calls
    await until(lambda: servers.placeholder.probes >= 100)
    took_s = asyncio.get_running_loop().time() - began
    assert took_s >= 0.9  # 100 probes by 5 controllers at 20 per second each
    assert registry.traffic["hollow"].calls > seen and "SYNC" in relay.orders[-1]
    assert any(order.startswith("LIMIT") for order in relay.orders)
    assert servers.real.probes == 0 and not servers.probed
    registry.reset()  # a controller that loses its watch opens a new one
    await until(lambda: len(registry.watches) == 5)
    group.close()
    for host in (registry, relay, servers):
        host.stop()
    await asyncio.sleep(0.05)


def test_chance_of_hollow_controllers_follows_the_seed() -> None:
    groups = [PlaceholderGroup(3, Endpoints("", "", ()), seed=7) for _ in range(2)]
    for group in groups:
        group.pace = Pace(calls=100.0, marks=0.5, orders=1.5)
    first, second = ([group.make_orders() for _ in range(20)] for group in groups)
    assert first == second


async def test_a_change_counts_as_told_before_its_first_watch_is_written() -> None:
    stand_in = RegistryStandIn()
    stand_in.registry.change = lambda *members: time.sleep(0.02)  # type: ignore[method-assign]
    before_us = clock_us()
    told = await stand_in.carry_out(Change([]))
    assert isinstance(told, Told) and before_us <= told.at_us < clock_us() - 15_000
