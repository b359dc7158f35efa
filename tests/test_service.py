"""The service with relay, registry and collectors on loopback: turns, handovers, moves and ends."""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import asynccontextmanager
from dataclasses import replace
from itertools import pairwise

import pytest
from fleet import MS, SECOND
from parties import (
    CODEC,
    LOAD_REPORT,
    LOST,
    MEMBER,
    QUICK,
    SMALL_DEPLOYMENT,
    SNAPSHOT_LINES,
    RegistryServer,
    RelayServer,
    change,
    launch,
    running,
    until,
)

from lapispass import interface
from lapispass.net.http import InboxFull
from lapispass.net.launch import BadStart
from lapispass.net.service import Service


@pytest.mark.parametrize(
    "faults", [[], ["reset after", "unreadable", "", "silent after", "reset before"] * 3]
)
async def test_a_handover_through_sockets_goes_step_by_step(faults: list[str]) -> None:
    drained = {**MEMBER, "phase": "Terminating"}
    async with RelayServer() as relay, RegistryServer([b"\n", 0.2, change(2, drained), 3600.0]) as book:
        relay.snapshot, relay.acknowledges = list(SNAPSHOT_LINES[:4]), True
        relay.faults += faults
        async with running(Service(launch(relay.address, book.address)).run()):
            await until(lambda: any(text.startswith("SET,3,s-2") for text in relay.orders_done))
        done = [text.split(",") for text in relay.orders_done]
        assert relay.streams and relay.written_after == b""
        empty, own = (
            next(n for n, text in enumerate(relay.orders_done) if text.startswith(start))
            for start in ("DEL,3", "SET,3,s-2")
        )
        marks = [n for n, parts in enumerate(done) if parts[0] == "SYNC"]
        assert empty < next(n for n in marks if n > empty) < own, "a mark stands between the steps"
        numbers = [int(done[n][1]) for n in marks]
        assert numbers == sorted(numbers), "no turn overtakes another"


async def test_no_owner_is_published_while_a_proxy_has_not_answered() -> None:
    async with (
        RelayServer() as relay,
        RegistryServer([b"\n", 0.2, change(2, {**MEMBER, "phase": "Gone"}), 3600.0]) as book,
    ):
        relay.snapshot = list(SNAPSHOT_LINES[:4])
        service = Service(launch(relay.address, book.address))
        async with running(service.run()):
            await until(lambda: "DEL,3" in relay.orders_done)
            mark = next(text for text in reversed(relay.orders_done) if text.startswith("SYNC"))
            turns = service.counters["service.turns"]
            await until(lambda: service.counters["service.turns"] > turns + 12)
            relay.send_event("ACK", f"node=0&nonce={mark.split(',')[1]}&latency=5")
            await until(lambda: service.counters["service.turns"] > turns + 24)
            assert not any(text.startswith("SET,3") for text in relay.orders_done)
            relay.send_event("ACK", f"node=1&nonce={mark.split(',')[1]}&latency=5")
            await until(lambda: "SET,3,s-2,1" in relay.orders_done)


async def test_a_fault_in_the_module_ends_the_service() -> None:
    async with RelayServer() as relay, RegistryServer() as book:
        service = Service(launch(relay.address, book.address))
        service.controller.turn = lambda *_: 1 // 0
        with pytest.raises(ZeroDivisionError):
            await service.run()


async def test_turns_keep_their_distance_and_wake_ups_never_come_in_the_turn_that_asked() -> None:
    async with RelayServer() as relay, RegistryServer() as book:
        service = Service(launch(relay.address, book.address))
        seen: list[tuple[int, list]] = []

        def turn(now: int, events: list[interface.Event]) -> list[interface.Order]:
            seen.append((now, events))
            return [interface.SetTimer(5, now)]

        service.controller.turn = turn
        async with running(service.run()):
            await until(lambda: len(seen) > 20)
        gaps = [after[0] - before[0] for before, after in pairwise(seen)]
        assert min(gaps) >= SMALL_DEPLOYMENT.turn_interval_us and interface.TimerFired(5) not in seen[0][1]
        assert all(interface.TimerFired(5) in events for _, events in seen[1:])


async def test_a_turn_is_late_when_the_process_stood_still_and_not_when_a_call_took_long() -> None:
    async with RelayServer() as relay, RegistryServer() as book:
        service = Service(launch(relay.address, book.address))
        turns: list[int] = []

        async def carry_out(orders: list[interface.Order]) -> None:
            turns.append(service.counters["service.late_turns"])
            service.wakes[0] = service.clock.now() + 20 * MS
            if len(turns) == 3:
                await asyncio.sleep(0.2)  # a call
            elif len(turns) == 5:
                asyncio.get_running_loop().call_later(0.001, time.sleep, 0.2)

        service.carry_out = carry_out
        async with running(service.turns()):
            await until(lambda: len(turns) > 6)
        assert turns[:7] == [0, 0, 0, 0, 0, 1, 1]


async def test_a_full_inbox_leaves_out_sums_and_nothing_else() -> None:
    service = Service(launch("127.0.0.1:1", "127.0.0.1:1", limits=replace(QUICK, events=3)))
    for event in (LOAD_REPORT, LOAD_REPORT, LOAD_REPORT, LOAD_REPORT, interface.ProxyLeft(1)):
        service.tell(event)
    assert (
        service.inbox[1:] == [LOAD_REPORT, LOAD_REPORT, interface.ProxyLeft(1)]
        and service.counters["service.events_left_out"] == 2
    )
    service.tell(interface.ProxyLeft(2))
    service.tell(interface.ProxyLeft(3))
    with pytest.raises(InboxFull):  # the news end, and the next ones begin with all that stands
        service.news.pass_on(interface.SliceGrant(7, True))
    assert 7 not in service.calls.rows, "what was not taken in does not count as known"
    with pytest.raises(InboxFull):
        service.registry.take(CODEC.listing(change(9, MEMBER)))
    assert service.registry.version is None
    service.tell(LOST)
    assert service.inbox[-1] == LOST


async def test_a_replaced_configuration_moves_relay_and_registry_while_a_handover_goes_on() -> None:
    drained = change(2, {**MEMBER, "phase": "Terminating"})
    async with (
        RelayServer() as old,
        RelayServer() as new,
        RegistryServer([b"\n", 0.1, drained, *[b"\n", 0.1] * 99]) as was,
        RegistryServer([b"\n", 0.1] * 99) as book,
    ):
        old.snapshot, old.acknowledges = list(SNAPSHOT_LINES[:4]), False
        new.snapshot, new.acknowledges = [*SNAPSHOT_LINES[:3]], True
        began = launch(old.address, was.address)
        service = Service(began)
        async with running(service.run()):
            await until(lambda: "DEL,3" in old.orders_done)  # the empty step is under way
            await service.follow(replace(began, relay=new.address, registry=book.address, told=CODEC.told))
            await until(lambda: "SET,3,s-2,1" in new.orders_done)
            steps = [text for text in old.orders_done + new.orders_done if text.startswith(("SET", "DEL"))]
            assert steps == ["DEL,3", "SET,3,s-2,1"], "nothing is lost or said twice"
            assert book.targets == ["/registry/instances?watch=1&from=2"] and len(was.targets) == 1
            assert service.counters["registry.lost"] == 0 and new.written_after == b""
            connections = len(new.writers), len(book.writers)
            await service.follow(replace(began, relay=new.address, registry=book.address))  # nothing new
            await service.follow(replace(began, relay="127.0.0.1:1", registry="127.0.0.1:1"))  # nobody there
            assert (len(new.writers), len(book.writers)) == connections and not new.streams[0][1].is_closing()
            await service.follow(replace(began, relay=old.address, registry=was.address))
            await until(lambda: len(old.streams) == 2 and len(was.targets) == 2)
        assert not service.news.place.standby and not service.registry.place.standby


async def test_an_address_that_cannot_be_bound_is_a_bad_start() -> None:
    async with RelayServer() as relay, RegistryServer() as book:
        with pytest.raises(BadStart, match="LB_LISTEN"):
            await Service(launch(relay.address, book.address, listen=relay.address)).run()


@asynccontextmanager
async def at_the_point(point: str):
    """A service that has come to a point of its life, with its stand-ins."""
    drained = change(2, {**MEMBER, "phase": "Terminating"})
    async with RelayServer() as relay, RegistryServer([b"\n", 0.1, drained, *[b"\n", 0.1] * 99]) as book:
        relay.snapshot, relay.acknowledges = list(SNAPSHOT_LINES[:4]), point == "owner"
        relay.sends_heartbeats = point != "picture"
        limits = replace(
            QUICK,
            answer_us=10 * SECOND,
            snapshot_gap_us=10 * SECOND if point == "picture" else QUICK.snapshot_gap_us,
        )
        relay.faults += {
            "call sent": ["held"],
            "call unsettled": ["reset after"] * 999,
            "silent relay": ["silent before"],
        }.get(point, [])
        service = Service(launch(relay.address, book.address, limits=limits))
        life = asyncio.create_task(service.run())
        await until(
            {
                "start": lambda: True,
                "listening": lambda: service.collectors.acceptor,
                "picture": lambda: service.news.picture,
                "call sent": lambda: relay.calls,
                "call unsettled": lambda: service.counters["relay.unknown"] > 1,
                "silent relay": lambda: relay.calls,
                "told": lambda: (
                    any(
                        isinstance(event, interface.RegistryUpdate) and event.kind == "changes"
                        for event in service.inbox
                    )
                    or service.counters["registry.messages"]
                ),
                "empty": lambda: "DEL,3" in relay.orders_done,
                "owner": lambda: any(text.startswith("SET,3") for text in relay.orders_done),
            }[point]
        )
        yield service, life, relay, book
        life.cancel()


POINTS = "start, listening, picture, call sent, call unsettled, silent relay, told, empty, owner"


@pytest.mark.parametrize("point", POINTS.split(", "))
@pytest.mark.parametrize("reload", [False, True])
async def test_a_service_told_to_end_at_any_point_ends_in_time_and_leaves_nothing(
    point: str, reload: bool
) -> None:
    async with at_the_point(point) as (service, life, relay, book):
        if reload:
            await service.follow(replace(service.launch, relay="127.0.0.1:1", registry="127.0.0.1:1"))
        began = time.monotonic()
        service.stop()
        service.stop()
        await asyncio.wait_for(life, 2)
        assert time.monotonic() - began < 1
        done = len(relay.orders_done)
        await until(lambda: all(task.done() for task in [*book.tasks]))
        ours = [
            task for task in asyncio.all_tasks() if "lapispass/" in str(task.get_coro().cr_code.co_filename)
        ]
        assert not ours and not service.probes.under_way
        assert service.calls.link is None or service.calls.link.writer.is_closing()
        await asyncio.sleep(0.05)
        assert len(relay.orders_done) == done, "nothing is ordered after the end"


async def test_a_restart_while_the_process_before_still_holds_the_address_waits_for_it() -> None:
    async with RelayServer() as relay, RegistryServer() as book:
        before = socket.create_server(("127.0.0.1", 0))
        address = f"127.0.0.1:{before.getsockname()[1]}"
        service = Service(
            launch(relay.address, book.address, listen=address, limits=replace(QUICK, bind_us=10 * SECOND))
        )
        async with running(service.run()) as life:
            await asyncio.sleep(0.05)
            assert not life.done()
            before.close()
            reader, writer = None, None
            while reader is None:
                try:
                    reader, writer = await asyncio.open_connection(*address.split(":"))
                except OSError:
                    await asyncio.sleep(0.005)
            writer.write(b"PING\r\n")
            assert await reader.readexactly(6) == b"PONG\r\n"
            writer.transport.abort()
