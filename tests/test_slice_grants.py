"""What has to outlast a restart, or a change of the controller, for one owner to hold."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path

import apsw
import pytest
from async_tests import cancel_and_wait
from fleet import MS, SECOND, acknowledgements, deployment, events_to_running, server
from peer_fleet import running_fleet
from support_gate import until
from test_xds import clients

from lapispass import interface
from lapispass.controller import Controller
from lapispass.core.slice_grants import grant_events
from lapispass.core.table_snapshot import TableSnapshot
from lapispass.operator import read as operator
from lapispass.peers import records
from lapispass.standins.xds_client import XdsClient
from lapispass.store.assignments import Assignment, Assignments, fingerprint
from lapispass.xds.host import Host

STEP_US = 50 * MS
STARTED_AT = 100 * SECOND
NEVER = 1 << 62
WRITES = 2  # the mask of the class that writes
FILE = """
xds {{ listen: "127.0.0.1:0" late_ms: 400 new_per_s: 1000 burst: 1000 }}
alone {{ store_file: "store" slices: 6 lease_ms: 400 write_life_ms: 2500 bare_ms: 4000
  visit_class {{ name: "look" agreed_ms: 500 patience_ms: 1000 benefit: 1 }}
  visit_class {{ name: "trade-order" agreed_ms: 500 patience_ms: 1000 benefit: 3 writes: true }} }}
node {{ id: "n0" address: "127.0.0.1:9000" zone: "east" state: {n0} }}
node {{ id: "n1" address: "127.0.0.1:9001" zone: "west" state: {n1} }}
"""


def steps_after_grant(*granted: interface.Event) -> list[tuple[int, interface.Order]]:
    """The orders of a controller that is granted one slice, with the time since; proxies answer at once."""
    settings = deployment(slices=1)
    subject, now = Controller(settings, 1, STARTED_AT), STARTED_AT
    events = [*events_to_running([server(100), server(101)], settings.proxies, 0), *granted]
    found: list[tuple[int, interface.Order]] = []
    while now < STARTED_AT + 20 * SECOND:
        orders = subject.turn(now, events)
        found += [(now - STARTED_AT, order) for order in orders]
        now += STEP_US
        events = [interface.TimerFired(0), *acknowledgements(orders, settings.proxies, STEP_US)]
    return found


def writes_opened_at(steps: Sequence[tuple[int, interface.Order]], blocked: bool = False) -> int:
    """When the slice first has an owner that writes are admitted to, at the end of a turn."""
    has_owner = blocked
    for at in sorted({at for at, _ in steps}):
        for order in [order for when, order in steps if when == at]:
            match order:
                case interface.SetTableEntry():
                    has_owner, blocked = True, False
                case interface.ClearTable():
                    has_owner = False
                case interface.SetAdmission(0, class_mask, _, share) if class_mask & WRITES:
                    blocked = share == 0
        if has_owner and not blocked:
            return at
    return NEVER


def test_writes_that_were_blocked_stay_so_until_an_earlier_owner_can_hold_none() -> None:
    """Guards against writes at the new owner, right after a restart, while the former one works on some."""
    settings = deployment()
    steps = steps_after_grant(
        interface.SliceGrant(0, True), interface.StoredOwner(0, 100, writes_blocked=True)
    )
    earliest = settings.lease_us + settings.linger_us
    assert earliest <= writes_opened_at(steps, blocked=True) < earliest + SECOND
    assert not any(isinstance(order, interface.ClearTable) for _, order in steps)  # reads are not interrupted


def test_an_empty_table_gets_no_writes_before_those_by_older_tables_have_ended() -> None:
    """Guards against counting a write's life from an answer, while proxies still write by a lease."""
    settings = deployment()
    earliest = settings.lease_us + settings.linger_us
    assert earliest <= writes_opened_at(steps_after_grant(interface.SliceGrant(0, True))) < earliest + SECOND


def test_the_published_table_of_a_slice_says_from_the_grant_that_writes_are_blocked() -> None:
    """Guards against a first version after a start that has the write assignment open."""
    settings = deployment()
    snapshot = TableSnapshot(settings.slices, settings.classes, by_share=True)
    snapshot.apply_turn([*grant_events(0, "a", True), *grant_events(1, "b")], [], {})
    assert not snapshot.tables.may_write(0, "a") and snapshot.tables.owner(0) == "a"
    assert snapshot.tables.may_write(1, "b")


def owners_only_file(path: Path) -> None:
    """A store as earlier versions wrote it, without `blocked`: slice 0 has an owner, slice 1 is empty."""
    file = apsw.Connection(str(path))
    file.execute(
        "CREATE TABLE line (slice INTEGER PRIMARY KEY, owner TEXT, turn INTEGER NOT NULL,"
        " sum INTEGER NOT NULL) STRICT;"
        "CREATE TABLE fact (name TEXT PRIMARY KEY, value INTEGER NOT NULL, sum INTEGER NOT NULL) STRICT;"
        "PRAGMA user_version=1"
    )
    for number, owner in ((0, "a"), (1, None)):
        file.execute("INSERT INTO line VALUES (?, ?, 7, ?)", (number, owner, fingerprint(number, owner, 7)))
    for name, value in (("turn", 7), ("slices", 4)):
        file.execute("INSERT INTO fact VALUES (?, ?, ?)", (name, value, fingerprint(name, value)))
    file.close()


def test_a_store_of_owners_alone_is_read_with_writes_blocked(tmp_path: Path) -> None:
    """Guards against a refused start, or open writes, with a file that an earlier version has written."""
    owners_only_file(tmp_path / "s")
    for _ in range(2):  # the file that was upgraded opens again
        store = Assignments(tmp_path / "s", 4)
        assert store.assignment(0) == Assignment("a", True) and store.assignment(1) == Assignment(None)
        assert store.turn == 7
        store.close()


@asynccontextmanager
async def running_host(file: Path) -> AsyncIterator[Host]:
    """A controller without the platform, which ends as at SIGTERM."""
    host = Host(operator.read(file), 5)
    running = asyncio.create_task(host.run())
    await until(lambda: host.xds_server.address or running.done())
    try:
        yield host
    finally:
        host.stop()
        await asyncio.wait_for(running, 10)


@pytest.mark.time_limit(60)
async def test_a_restart_keeps_blocked_writes_blocked(tmp_path: Path) -> None:
    """Guards against two nodes with one slice's writes where a controller is restarted in a handover."""
    file = tmp_path / "operator.textproto"
    file.write_text(FILE.format(n0="READY", n1="READY"))
    async with running_host(file) as host:
        prompt, late = (XdsClient(host.xds_server.address, name, n) for n, name in enumerate(("c0", "c1")))
        async with clients(prompt, late):
            await until(lambda: all(client.writes_to(0) for client in (prompt, late)))
            former = prompt.writes_to(0)
            late.faults.eds_read_delay_s = 60.0
            states = {"n0": "READY", "n1": "READY"} | {str(former): "DRAINING"}
            file.write_text(FILE.format(**states))
            host.read_again()
            await until(lambda: prompt.reads_from(0) not in (None, former))
            assert prompt.writes_to(0) is None
            owner = prompt.reads_from(0)
            assert host.store.owners()[0] == owner
        await cancel_and_wait(*late.delayed_tasks)
    async with running_host(file) as host:
        started_at = asyncio.get_running_loop().time()
        client = XdsClient(host.xds_server.address, "c2", 2)
        async with clients(client):
            await until(lambda: client.reads_from(0) == owner)
            assert asyncio.get_running_loop().time() - started_at < 1.0
            await until(lambda: client.writes_to(0) == owner)
            assert asyncio.get_running_loop().time() - started_at > 2.5  # the life of a write
            await until(lambda: host.store.assignment(0) == Assignment(owner, False))


@pytest.mark.time_limit(60)
async def test_a_takeover_keeps_blocked_writes_blocked_and_reads_served(tmp_path: Path) -> None:
    """Guards the same at shared controllers, where the record of the service is the store."""
    async with running_fleet(tmp_path, "a", "b") as fleet:
        number = min(fleet.hosts["a"].takeover.acting)
        record = fleet.hosts["a"].takeover.records[number]
        shut = record._replace(owner="n1", shut=True)
        await fleet.kill("a")
        state = fleet.service.state
        state.revision += 1
        state._put(records.slice_key(number).encode(), records.encode_slice(shut), 0)
        host = fleet.hosts["b"]
        client = XdsClient(host.xds_server.address, "c0", 1)
        async with clients(client):
            await until(lambda: number in host.takeover.acting)
            taken_at = asyncio.get_running_loop().time()
            seen: list[tuple[str | None, str | None]] = []
            while not seen or seen[-1][1] is None:
                seen.append((client.reads_from(number), client.writes_to(number)))
                await asyncio.sleep(0.01)
            assert asyncio.get_running_loop().time() - taken_at > 0.4  # the lease, and the life of a write
            reads = [read for read, _ in seen if read is not None]
            assert set(reads) == {"n1"} and reads == [read for read, _ in seen][-len(reads) :]
            await until(lambda: not host.takeover.records[number].shut)
