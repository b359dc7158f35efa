"""The target sizes in the network code: 5,700 servers, 2,200 slices, 22,000 tenants, 720 controllers.

No list is cut. Every stand-in sits on loopback; what a list costs is measured by `benchmarks/capacity.py`.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from pathlib import Path

import h11
import pytest
from async_tests import cancel_and_wait
from configurations import CONFIG, SETTINGS, listing
from fleet import deployment
from parties import (
    CODEC,
    SMALL_DEPLOYMENT,
    LoopbackServer,
    listening,
    read_request,
    response_bytes,
    running,
    until,
)

from lapispass import interface
from lapispass.core.membership import Members
from lapispass.net.codec import Codec, RegistryMessage, WireError
from lapispass.net.counters import Counters
from lapispass.net.launch import BadStart, Launch
from lapispass.net.limits import Limits
from lapispass.net.probes import Probes
from lapispass.net.registry import Registry
from lapispass.net.relay import Calls
from lapispass.operator import read as operator
from lapispass.peers.coordination import CoordinationClient
from lapispass.standins.coordination import CoordinationServer

SERVERS = 5_700
SLICES = 2_200
TENANTS = 22_000
CONTROLLERS = 720
ZONES = 16
LIMITS = Limits()
EMPTY_LISTING = RegistryMessage(0, False, (), {}, 0)
CHUNK_BYTES = 16 << 10


def member(number: int, phase: str = "Ready", name: str = "") -> dict[str, object]:
    """An entry with every field of the protocol's specification."""
    return {
        "id": name or f"s-{number:08x}",
        "host_port": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:3000",
        "locality": "ab"[number % 2],
        "flavor": "m2",
        "cell": number >> 3,
        "phase": phase,
        "size": 1.0,
        "up_since_ms": 1_796_139_439_123,
    }


def whole_list(revision: int, name_bytes: int = 0) -> bytes:
    members = [
        member(number, name=f"{number:0{name_bytes}d}" if name_bytes else "") for number in range(SERVERS)
    ]
    return json.dumps(listing(revision, *members)).encode()


class ListServer(LoopbackServer):
    """A registry that answers every call with a whole list, followed by one change."""

    def __init__(self, body: bytes, change: bytes) -> None:
        super().__init__(self.listed)
        self.body, self.change, self.targets = body, change, []

    async def listed(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> str | None:
        state = h11.Connection(h11.SERVER)
        _, target, _ = await read_request(reader, state)
        self.targets.append(target)
        if "watch=1" not in target:
            writer.write(response_bytes(state, 200, self.body))
            await writer.drain()
            return None
        writer.write(response_bytes(state, 200, None))
        for begin in range(0, len(self.body), CHUNK_BYTES):  # a watch line arrives in many chunks
            writer.write(state.send(h11.Data(data=self.body[begin : begin + CHUNK_BYTES])))
            await writer.drain()
        writer.write(state.send(h11.Data(data=b"\n" + self.change + b"\n")))
        await writer.drain()
        await reader.read()
        return None


@pytest.mark.parametrize("name_bytes", [0, LIMITS.id_bytes])
async def test_a_whole_list_is_fetched_and_watched_over_a_socket(name_bytes: int) -> None:
    """Also if each id has the maximum length."""
    body = whole_list(5, name_bytes)
    assert len(body) > 900_000
    gone = {**member(7), "id": f"{7:0{name_bytes}d}" if name_bytes else "s-00000007", "phase": "Gone"}
    change = json.dumps(listing(6, gone, complete=False)).encode()
    async with ListServer(body, change) as server:
        heard: list[interface.RegistryUpdate] = []
        counters = Counters()
        registry = Registry(server.address, EMPTY_LISTING, heard.append, CODEC, LIMITS, counters)
        async with running(registry.run()):
            registry.follow()
            await until(lambda: len(heard) == 4)
        assert [(update.kind, len(update.entries)) for update in heard] == [
            ("remembered", 0),
            ("whole", SERVERS),  # fetched: there was no version to start a watch from
            ("whole", SERVERS),  # the first line of the watch
            ("changes", 1),
        ]
        assert server.targets == ["/registry/instances", "/registry/instances?watch=1&from=5"]
        assert len(registry.addresses) == len(registry.start_times) == SERVERS
        assert not counters["registry.too_many"] and not counters["registry.unreadable"]


def test_a_start_file_of_the_target_is_read_whole(tmp_path: Path) -> None:
    """The file is indented and has a setting for each tenant, which the controller ignores."""
    settings = {
        **SETTINGS,
        "zones": ["a", "b"],
        "extra": {**SETTINGS["extra"], "key-ranges": TENANTS, "data-plane-size": 5000},
        "tenants": [{"name": f"tenant-{number:05d}", "share": 1.0} for number in range(TENANTS)],
    }
    known = json.loads(whole_list(5))
    text = json.dumps({**CONFIG, "settings": settings, "known": known}, indent=4)
    assert len(text) > 3_000_000
    (tmp_path / "config.json").write_text(text)
    launch = Launch.read({"LB_CONFIG": str(tmp_path / "config.json")})
    assert len(launch.known.entries) == len(launch.known.addresses) == SERVERS
    assert launch.deployment.slices == TENANTS and launch.known.unreadable == 0
    assert launch.limits.events >= 2 * 5000 + 3 * TENANTS, "a whole snapshot must fit one turn"


def test_a_start_file_beyond_its_bound_is_refused_unread(tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    with file.open("wb") as sparse:
        sparse.truncate(LIMITS.config_bytes + 1)
    with pytest.raises(BadStart, match=f"expected a regular file of at most {LIMITS.config_bytes} bytes"):
        Launch.read({"LB_CONFIG": str(file)})


async def test_a_list_beyond_the_bound_is_still_cut_and_never_passes_for_whole() -> None:
    heard: list[interface.RegistryUpdate] = []
    registry = Registry("", EMPTY_LISTING, heard.append, CODEC, LIMITS, Counters())
    entries = tuple(
        interface.RegistryEntry(f"s-{n}", "a", "ready", 1.0, None) for n in range(LIMITS.servers + 3)
    )
    registry.take(RegistryMessage(2, True, entries, {}, 0))
    assert heard[-1].kind == "changes" and len(heard[-1].entries) == LIMITS.servers
    assert registry.counters["registry.too_many"] == 3


async def test_what_the_registry_client_keeps_is_bounded_over_a_long_churn() -> None:
    registry = Registry(
        "", EMPTY_LISTING, lambda event: None, CODEC, replace(LIMITS, servers=SERVERS), Counters()
    )
    for round_ in range(5):
        entries = tuple(
            interface.RegistryEntry(f"s-{round_}-{n}", "a", "ready", 1.0, None) for n in range(SERVERS)
        )
        addresses = {entry.backend: "127.0.0.1:9" for entry in entries}
        registry.take(RegistryMessage(2 + round_, True, entries, addresses, 0))
        assert all(entry.backend in registry.addresses for entry in entries)
    assert len(registry.addresses) == len(registry.start_times) == 2 * SERVERS


async def test_every_server_may_wait_for_its_probe() -> None:
    counters = Counters()
    probes = Probes(lambda event: None, CODEC, LIMITS, counters)
    for number in range(SERVERS):
        probes.start(f"s-{number}", "127.0.0.1:9")
    assert len(probes.queue) + len(probes.under_way) == SERVERS and not counters["probes.left_out"]
    await cancel_and_wait(*probes.close())


def test_orders_for_every_slice_go_out_in_calls_of_bounded_size() -> None:
    codec = Codec(deployment(slices=SLICES), LIMITS.id_bytes)
    calls = Calls("127.0.0.1:1", codec, LIMITS, Counters())
    orders: list[interface.Order] = [interface.SetTableEntry(n, f"s-{n:08x}", 1.0) for n in range(SLICES)]
    orders += [interface.SetAdmission(n, 1, 0, 0.9) for n in range(SLICES)]
    parts = list(calls.split_into_calls([*orders, interface.Barrier(1, True)]))
    written = [item.text for part in parts for item in part]
    assert written == [codec.format_order(order) for order in [*orders, interface.Barrier(1, True)]]
    assert len(parts) > 1
    assert all(len(";".join(item.text for item in part)) <= LIMITS.call_bytes for part in parts)


async def test_a_collector_may_report_every_server_in_one_interval() -> None:
    async with listening(LIMITS) as (collectors, heard, connect):
        _, writer = await connect()
        for number in range(SERVERS):
            writer.write(
                b"LOAD locality=a endpoint=s-%08x total=25 errors=0 rtt=41.7 interval=1000.0\r\n" % number
            )
            if number % 500 == 0:
                await writer.drain()
        await until(lambda: len(heard) == SERVERS)
        assert len({report.backend for report in heard}) == SERVERS
        assert not collectors.counters["collectors.unreadable"]


async def test_a_collector_of_each_zone_has_a_connection_beside_strangers() -> None:
    async with listening(LIMITS) as (collectors, _, connect):
        for _ in range(ZONES):
            await connect()
        await until(lambda: sum(guest.zone is not None for guest in collectors.connections) == ZONES)
        for _ in range(LIMITS.connections):
            await connect(b"")
        await until(lambda: collectors.counters["collectors.opened"] == ZONES + LIMITS.connections)
        assert sum(guest.zone is not None for guest in collectors.connections) == ZONES


def test_an_operator_file_of_the_target_is_read_and_its_findings_named(tmp_path: Path) -> None:
    lines = [
        'gates { listen: "127.0.0.1:0"',
        *(f'name: "g{n}"' for n in range(CONTROLLERS)),
        "}",
        'connection_class { name: "board" path_prefix: "/board" }',
        f'gate {{ name: "g0" listen: "127.0.0.1:0" slices: {TENANTS} }}',
        *(
            f'node {{ id: "s-{n:08x}" address: "10.0.{n >> 8}.{n & 255}:3000" zone: "z{n % ZONES}" weight: 1 '
            f"started_unix_ms: 1796139439123 }}"
            for n in range(SERVERS)
        ),
        *(f'line {{ slice: {n} owner: "s-{n % SERVERS:08x}" }}' for n in range(SLICES)),
    ]
    file = tmp_path / "target.textproto"
    file.write_text("\n".join(lines))
    assert file.stat().st_size > 600_000
    settings = operator.read(file).settings
    assert (
        len(settings.node) == SERVERS
        and len(settings.line) == SLICES
        and len(settings.gates.name) == CONTROLLERS
    )
    file.write_text("\n".join(lines).replace('name: "g719"', 'name: "g7"'))
    with pytest.raises(operator.BadFile, match=r":721: gates.name\[719\]: 'g7' is listed twice"):
        operator.read(file)


async def test_720_controllers_and_all_slices_are_read_from_the_coordination_service() -> None:
    service = CoordinationServer()
    await service.start()
    record = b'{"epoch":3,"holder":"n-007/1796139439123","owner":"s-0000162b","share":1.0,"shut":[]}'
    keys = {f"/lapispass/members/n-{n:03d}".encode(): b'{"weight":1.0}' for n in range(CONTROLLERS)}
    keys |= {f"/lapispass/slices/{n:06d}".encode(): record for n in range(SLICES)}
    keys |= {f"/lapispass/out/n-000/s-{n:08x}".encode(): b"1" for n in range(SERVERS)}
    for key, value in keys.items():
        service.state._put(key, value, 0)
    client = CoordinationClient(service.address)
    try:
        _, read = await client.read_prefix("/lapispass/")
        assert len(read) == CONTROLLERS + SLICES + SERVERS
    finally:
        client.close()
        service.stop()
    known = Members()
    come, _ = known.update({f"n-{n:03d}": (1.0, "1") for n in range(CONTROLLERS)}, 5)
    assert len(come) == CONTROLLERS


@pytest.mark.parametrize("odd", [",", ";", "\r", "\n", "a,b", "a;", "\na"])
def test_an_id_that_holds_what_separates_is_none(odd: str) -> None:
    with pytest.raises(WireError, match="expected a short id without separators"):
        Codec(SMALL_DEPLOYMENT, LIMITS.id_bytes)._parse_id(odd)
