"""The service with a relay, a registry and collectors on loopback: turns, handovers, moves, shutdown."""

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
        assert empty < next(n for n in marks if n > empty) < own, "there must be a barrier between the steps"
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


async def test_an_exception_in_the_controller_ends_the_service() -> None:
    async with RelayServer() as relay, RegistryServer() as book:
        service = Service(launch(relay.address, book.address))
        service.controller.turn = lambda *_: 1 // 0
        with pytest.raises(ZeroDivisionError):
            await service.run()


async def test_turns_keep_their_interval_and_timers_never_fire_in_the_turn_that_set_them() -> None:
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


async def test_a_turn_is_late_after_a_stall_of_the_process_and_not_after_a_long_call() -> None:
    async with RelayServer() as relay, RegistryServer() as book:
        service = Service(launch(relay.address, book.address))
        turns: list[int] = []

        async def carry_out(orders: list[interface.Order]) -> None:
            turns.append(service.counters["service.late_turns"])
            service.timers[0] = service.clock.now() + 20 * MS
            if len(turns) == 3:
                await asyncio.sleep(0.2)  # stands for a slow relay call
            elif len(turns) == 5:
                asyncio.get_running_loop().call_later(0.001, time.sleep, 0.2)

        service.carry_out = carry_out
        async with running(service.run_turns()):
            await until(lambda: len(turns) > 6)
        assert turns[:7] == [0, 0, 0, 0, 0, 1, 1]


async def test_a_full_inbox_drops_summed_reports_and_nothing_else() -> None:
    service = Service(launch("127.0.0.1:1", "127.0.0.1:1", limits=replace(QUICK, events=3)))
    for event in (LOAD_REPORT, LOAD_REPORT, LOAD_REPORT, LOAD_REPORT, interface.ProxyLeft(1)):
        service.deliver(event)
    assert (
        service.inbox[1:] == [LOAD_REPORT, LOAD_REPORT, interface.ProxyLeft(1)]
        and service.counters["service.events_left_out"] == 2
    )
    service.deliver(interface.ProxyLeft(2))
    service.deliver(interface.ProxyLeft(3))
    with pytest.raises(InboxFull):  # ends the stream; the next one begins with a snapshot
        service.event_stream.pass_on(interface.SliceGrant(7, True))
    assert 7 not in service.calls.owners, "an event that the inbox rejected must not count as known"
    with pytest.raises(InboxFull):
        service.registry.take(CODEC.parse_registry_text(change(9, MEMBER)))
    assert service.registry.version is None
    service.deliver(LOST)
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
            await until(lambda: "DEL,3" in old.orders_done)  # the step without an owner is under way
            await service.follow(
                replace(began, relay=new.address, registry=book.address, deployment=CODEC.deployment)
            )
            await until(lambda: "SET,3,s-2,1" in new.orders_done)
            steps = [text for text in old.orders_done + new.orders_done if text.startswith(("SET", "DEL"))]
            assert steps == ["DEL,3", "SET,3,s-2,1"], "no order may be lost or sent twice"
            assert book.targets == ["/registry/instances?watch=1&from=2"] and len(was.targets) == 1
            assert service.counters["registry.lost"] == 0 and new.written_after == b""
            connections = len(new.writers), len(book.writers)
            await service.follow(replace(began, relay=new.address, registry=book.address))  # unchanged
            await service.follow(
                replace(began, relay="127.0.0.1:1", registry="127.0.0.1:1")
            )  # nothing listens there
            assert (len(new.writers), len(book.writers)) == connections and not new.streams[0][1].is_closing()
            await service.follow(replace(began, relay=old.address, registry=was.address))
            await until(lambda: len(old.streams) == 2 and len(was.targets) == 2)
        assert not service.event_stream.endpoint.standby and not service.registry.endpoint.standby


async def test_an_address_that_cannot_be_bound_is_a_bad_start() -> None:
    async with RelayServer() as relay, RegistryServer() as book:
        with pytest.raises(BadStart, match="LB_LISTEN"):
            await Service(launch(relay.address, book.address, listen=relay.address)).run()


@asynccontextmanager
async def at_the_point(point: str):
    """A service that has reached a given point of its run, with its stand-ins."""
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
                "picture": lambda: service.event_stream.snapshot,
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
async def test_a_service_stopped_at_any_point_ends_in_time_and_leaves_nothing(
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
        assert service.calls.connection is None or service.calls.connection.writer.is_closing()
        await asyncio.sleep(0.05)
        assert len(relay.orders_done) == done, "no order may be sent after the end"


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
