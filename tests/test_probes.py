"""Probes of servers on loopback: what they found, and whom they concern."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import h11
import pytest
from async_tests import ended
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
async def test_what_a_probe_found_is_told_apart(behaviour: int | str, reason: int) -> None:
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
        probes.start("s-1", address)  # one at a time
        await until(lambda: heard)
        assert len(heard) == 1 and heard[0][:2] == ("s-1", reason) and not probes.under_way
        assert heard[0].load == ((2.0, 0.61) if reason == 0 else None) and heard[0].took_us >= 0


async def test_servers_that_answer_nothing_keep_no_other_from_its_probe() -> None:
    """A zone of 97 servers fell silent: its probes took all 64 places every second, the same ones first."""

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
        probes.start("s-5", mute.address)  # waits already
        assert len(probes.under_way) == 3
        await until(lambda: len(heard) == 20)
        assert [told.backend for told in heard if told.reason == 0] == [f"s-{n}" for n in range(12, 20)]
        assert counters["probes.left_out"] == 1 and not probes.line and not probes.under_way


@pytest.mark.parametrize("becomes", [{"host_port": "127.0.0.1:2"}, {"up_since_ms": 1_796_139_439_123}])
async def test_the_answer_of_a_server_that_has_been_replaced_tells_nothing_of_the_new_one(
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
            registry.take(CODEC.listed(listing(revision, member, complete=False)))

        listed(6)
        probes.start("s-1", registry.addresses["s-1"])
        await until(lambda: answering)
        listed(7)
        assert "s-1" in probes.under_way, "nothing is new"
        listed(8, **becomes)
        answer.set()
        await until(lambda: not probes.under_way)
        assert (
            not any(isinstance(event, interface.ProbeResult) for event in heard)
            and probes.counters["probes.outdated"] == 1
        )
        probes.start("s-1", server.address)
        await until(lambda: any(isinstance(event, interface.ProbeResult) for event in heard))


async def test_a_probe_whose_dial_takes_too_long_found_silence_and_no_refusal(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One refused probe ends a server that a list wrongly calls gone; one slow dial does not."""
    held, heard = HeldDials(monkeypatch), []
    held.gates["127.0.0.1:9"] = asyncio.Event()
    held.refused.add("127.0.0.1:8")
    probes = Probes(heard.append, CODEC, replace(QUICK, connect_us=30 * MS), Counters())
    probes.start("s-1", "127.0.0.1:9")
    probes.start("s-2", "127.0.0.1:8")
    await until(lambda: len(heard) == 2)
    assert {told.backend: told.reason for told in heard} == {"s-1": 3, "s-2": 4}


async def test_probes_that_are_ended_begin_no_further_ones() -> None:
    heard: list[interface.Event] = []
    async with LoopbackServer(silent) as mute:
        probes = Probes(heard.append, CODEC, replace(QUICK, probes=2, probe_us=10 * SECOND), Counters())
        for number in range(6):
            probes.start(f"s-{number}", mute.address)
        await until(lambda: len(mute.writers) == 2)
        await ended(*probes.close())
        assert not probes.under_way and not heard and probes.counters["probes.sent"] == 2
