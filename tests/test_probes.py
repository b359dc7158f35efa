"""Probes of servers on loopback: their results, their number, and servers that are replaced."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import h11
import pytest
from async_tests import cancel_and_wait
from configurations import listing
from fleet import MS, SECOND, deployment
from parties import (
    CODEC,
    KNOWN,
    MEMBER,
    QUICK,
    HeldDials,
    LoopbackServer,
    read_request,
    response_bytes,
    silent,
    until,
)

from lapispass import interface
from lapispass.net.codec import Codec
from lapispass.net.counters import Counters
from lapispass.net.probes import Probes
from lapispass.net.registry import Registry


@pytest.mark.parametrize(
    ("behaviour", "reason"),
    {200: 0, 500: 1, 503: 2, "silent": 3, "refused": 4, "reset": 5, "odd": 5, "no address": 4}.items(),
)
async def test_each_result_of_a_probe_has_its_reason(behaviour: int | str, reason: int) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> str | None:
        state = h11.Connection(h11.SERVER)
        assert (await read_request(reader, state))[:2] == ("GET", "/stats")
        if behaviour == "silent":
            await asyncio.sleep(3600)
        if behaviour in ("reset", "odd"):
            writer.write(b"HTTP/9 odd\r\n\r\n" if behaviour == "odd" else b"")
            return "reset"
        writer.write(response_bytes(state, behaviour, b"inflight=7,queue=2,util=0.61"))

    heard: list[interface.ProbeResult] = []
    codec = Codec(deployment(load_fields=("waiting", "busy")), 256)
    async with LoopbackServer(serve) as server:
        address = {"refused": "127.0.0.1:1", "no address": "nowhere"}.get(str(behaviour), server.address)
        probes = Probes(heard.append, codec, QUICK, Counters())
        probes.start("s-1", address)
        probes.start("s-1", address)  # skipped: one probe of a server at a time
        await until(lambda: heard)
        assert len(heard) == 1 and heard[0][:2] == ("s-1", reason) and not probes.under_way
        assert heard[0].load == ((2.0, 0.61) if reason == 0 else None) and heard[0].took_us >= 0


async def test_silent_servers_do_not_keep_others_from_being_probed() -> None:
    """A zone of 97 servers fell silent: each second the same ones used up all 64 slots for probes."""

    async def well(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        state = h11.Connection(h11.SERVER)
        await read_request(reader, state)
        writer.write(response_bytes(state, 200, b""))

    heard: list[interface.ProbeResult] = []
    async with LoopbackServer(silent) as mute, LoopbackServer(well) as good:
        counters = Counters()
        probes = Probes(heard.append, CODEC, replace(QUICK, probes=3, probe_us=40 * MS), counters)
        for number in range(12):
            probes.start(f"s-{number}", mute.address)
        for number in range(12, 20):
            probes.start(f"s-{number}", good.address)
        probes.start("s-5", mute.address)  # skipped: queued already
        assert len(probes.under_way) == 3
        await until(lambda: len(heard) == 20)
        assert [result.backend for result in heard if result.reason == 0] == [f"s-{n}" for n in range(12, 20)]
        assert counters["probes.left_out"] == 1 and not probes.queue and not probes.under_way


@pytest.mark.parametrize("becomes", [{"host_port": "127.0.0.1:2"}, {"up_since_ms": 1_796_139_439_123}])
async def test_the_answer_of_a_replaced_server_is_not_used_for_the_new_one(
    becomes: dict,
) -> None:
    answer, answering = asyncio.Event(), []

    async def late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        state = h11.Connection(h11.SERVER)
        await read_request(reader, state)
        answering.append(writer)
        await answer.wait()
        writer.write(response_bytes(state, 200, b""))

    heard: list[interface.Event] = []
    async with LoopbackServer(late) as server:
        probes = Probes(heard.append, CODEC, replace(QUICK, probe_us=10 * SECOND), Counters())
        registry = Registry("", KNOWN, heard.append, CODEC, QUICK, Counters(), probes.forget)

        def listed(revision: int, **changes: object) -> None:
            member = {**MEMBER, "host_port": server.address, **changes}
            registry.take(CODEC.parse_registry_message(listing(revision, member, complete=False)))

        listed(6)
        probes.start("s-1", registry.addresses["s-1"])
        await until(lambda: answering)
        listed(7)
        assert "s-1" in probes.under_way, "address and start are unchanged"
        listed(8, **becomes)
        answer.set()
        await until(lambda: not probes.under_way)
        assert (
            not any(isinstance(event, interface.ProbeResult) for event in heard)
            and probes.counters["probes.outdated"] == 1
        )
        probes.start("s-1", server.address)
        await until(lambda: any(isinstance(event, interface.ProbeResult) for event in heard))


async def test_a_slow_dial_counts_as_a_timeout_and_not_as_a_refusal(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One refused probe confirms that a server listed as gone is gone; one slow dial does not."""
    held, heard = HeldDials(monkeypatch), []
    held.gates["127.0.0.1:9"] = asyncio.Event()
    held.refused.add("127.0.0.1:8")
    probes = Probes(heard.append, CODEC, replace(QUICK, connect_us=30 * MS), Counters())
    probes.start("s-1", "127.0.0.1:9")
    probes.start("s-2", "127.0.0.1:8")
    await until(lambda: len(heard) == 2)
    assert {result.backend: result.reason for result in heard} == {"s-1": 3, "s-2": 4}


async def test_probes_that_are_ended_begin_no_further_ones() -> None:
    heard: list[interface.Event] = []
    async with LoopbackServer(silent) as mute:
        probes = Probes(heard.append, CODEC, replace(QUICK, probes=2, probe_us=10 * SECOND), Counters())
        for number in range(6):
            probes.start(f"s-{number}", mute.address)
        await until(lambda: len(mute.writers) == 2)
        await cancel_and_wait(*probes.close())
        assert not probes.under_way and not heard and probes.counters["probes.sent"] == 2
