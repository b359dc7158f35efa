"""Every path on which something ends, crossed at the instant in which something is still owed.

See `docs/design/endings.md`. Crossings are forced by the order of events, with stand-ins that hold back, end
or come late.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import asynccontextmanager
from dataclasses import replace

import h11
import pytest
from fleet import MS, SECOND
from parties import (
    CODEC,
    JOIN,
    KNOWN,
    LINE,
    LOST,
    MEMBER,
    PICTURE,
    QUICK,
    S1,
    STANDS,
    TOLD,
    Book,
    Party,
    Relay,
    answered,
    asked,
    change,
    following,
    launch,
    listening,
    news_of,
    request,
    rest,
    running,
    until,
)
from test_net import Roll, World

from lapispass import interface
from lapispass.net.collectors import Collectors
from lapispass.net.counters import Counters
from lapispass.net.http import Dialer, Link, within
from lapispass.net.limits import Limits
from lapispass.net.probes import Probes
from lapispass.net.registry import Registry
from lapispass.net.relay import Calls, News
from lapispass.net.service import Service


class Held:
    """Dials that wait: to an address in `gates` until its gate opens, and to one in `refused` not at all."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.gates: dict[str, asyncio.Event] = {}
        self.refused: set[str] = set()
        self.dialed: list[str] = []
        dial = Link._dial

        async def late(address: str, limits: Limits) -> Link:
            self.dialed.append(address)
            if address in self.refused:
                raise ConnectionRefusedError(address)
            if address in self.gates:
                await self.gates[address].wait()
            return await dial(address, limits)

        monkeypatch.setattr(Link, "_dial", late)


@pytest.fixture
def held(monkeypatch: pytest.MonkeyPatch) -> Iterator[Held]:
    yield Held(monkeypatch)


# connections


async def test_what_came_up_in_the_instant_in_which_its_waiter_is_ended_is_handed_back() -> None:
    gate, unwanted = asyncio.Event(), []

    async def work() -> str:
        await gate.wait()
        return "connection"

    waiter = asyncio.create_task(within(10 * SECOND, work(), 0, unwanted.append))
    await asyncio.sleep(0.01)
    gate.set()
    await asyncio.sleep(0)  # the work is done; its waiter has not been woken yet
    waiter.cancel()
    await asyncio.gather(waiter, return_exceptions=True)
    assert waiter.cancelled() and unwanted == ["connection"]


@pytest.mark.parametrize("ends", ["cancelled", "timed out"])
async def test_a_dial_that_ends_after_any_number_of_steps_leaves_no_connection(ends: str) -> None:
    async def quiet(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()

    async with Party(quiet) as party:
        for steps in range(12):
            limits = replace(QUICK, late_us=0)
            dial = asyncio.create_task(Link.open(party.address, limits, 1 if ends == "timed out" else SECOND))
            for _ in range(steps):
                await asyncio.sleep(0)
            if ends == "cancelled":
                dial.cancel()
            (found,) = await asyncio.gather(dial, return_exceptions=True)
            if isinstance(found, Link):
                found.close()
        await until(lambda: all(task.done() for task in party.tasks))  # each was ended from our side


async def test_dials_that_take_just_over_their_limit_come_up_and_quick_ones_set_it_back(held: Held) -> None:
    async def quiet(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()

    async with Party(quiet) as party:
        dialer = Dialer(replace(QUICK, connect_us=40 * MS, connect_most_us=160 * MS, late_us=0))
        dial = Link._dial

        async def slow(address: str, limits: Limits) -> Link:
            await asyncio.sleep(0.06)
            return await dial(address, limits)

        Link._dial = slow  # `held` puts it back
        with pytest.raises(TimeoutError):
            await dialer.open(party.address)
        (await dialer.open(party.address)).close()
        assert dialer.wait_us == 80 * MS
        Link._dial = dial
        (await dialer.open(party.address)).close()
        assert dialer.wait_us == 40 * MS
        held.gates[party.address] = asyncio.Event()
        for wait_ms in (80, 160, 40, 80):
            with pytest.raises(TimeoutError):
                await dialer.open(party.address)
            assert dialer.wait_us == wait_ms * MS


# the watch


async def test_a_move_while_the_old_place_is_being_dialed_is_followed(held: Held) -> None:
    """The watch stayed at the old place for as long as that one gave signs of life."""
    async with Book([b"\n", 3600.0]) as old, Book([change(6, {**MEMBER, "id": "s-2"}), 3600.0]) as new:
        held.gates[old.address] = asyncio.Event()
        heard: list[interface.Event] = []
        limits = replace(QUICK, connect_us=60 * SECOND)  # it is cut, and does not run out of time
        registry = Registry(old.address, KNOWN, heard.append, CODEC, limits, Counters())
        async with running(registry.run()):
            registry.follow()
            await until(lambda: old.address in held.dialed)
            registry.move(new.address)
            await until(lambda: len(heard) == 2)
            held.gates[old.address].set()
            assert heard[1] == interface.Listed("changes", (S1._replace(backend="s-2"),))
            await asyncio.sleep(0.05)
            assert not old.targets and len(new.targets) == 1 and registry.counters["registry.lost"] == 0


async def test_a_move_while_the_whole_list_is_being_fetched_is_followed_at_once(held: Held) -> None:
    async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()

    async with Party(silent) as old, Book() as new:
        heard: list[interface.Event] = []
        limits = replace(QUICK, list_us=60 * SECOND)
        registry = Registry(old.address, KNOWN._replace(entries=()), heard.append, CODEC, limits, Counters())
        async with running(registry.run()):
            registry.follow()
            await until(lambda: old.writers)
            registry.move(new.address)
            await until(lambda: len(new.targets) == 2 and len(heard) == 2)
            assert heard[1] == interface.Listed("whole", (S1,)) and new.targets[1].endswith("from=9")


@pytest.mark.parametrize("fails", ["refused", "turned away", "silent"])
async def test_a_place_that_does_not_answer_yet_is_tried_until_it_does_and_the_old_one_serves(
    fails: str, held: Held
) -> None:
    """One attempt was made; afterwards nobody asked at the new place while the old one gave signs of life."""
    waits: list = {"turned away": [[503]] * 40, "silent": [["silent"]] * 2, "refused": []}[fails]
    old_says = [b"\n", 0.1, change(6, {**MEMBER, "id": "s-2"}), *[b"\n", 0.1] * 99]
    async with (
        Book(old_says) as old,
        Later(*waits, [change(7, {**MEMBER, "id": "s-3"}), *[b"\n", 0.1] * 99]) as new,
    ):
        if fails == "refused":
            held.refused.add(new.address)
        async with following(old, KNOWN) as (registry, heard):
            await until(lambda: registry.open.is_set())
            registry.move(new.address)
            await until(lambda: len(heard) == 2)
            assert heard[1].entries[0].backend == "s-2", "the old place serves meanwhile"
            held.refused.clear()
            await until(lambda: len(heard) == 3)
            assert heard[2].entries[0].backend == "s-3" and registry.counters["registry.lost"] == 0
            await until(lambda: all(writer.is_closing() for writer in old.writers))


class Later(Book):
    """A registry whose first watches are not answered at all."""

    async def book(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> str | None:
        if self.watches and self.watches[0] == ["silent"]:
            self.watches.popleft()
            await reader.read(100_000)
            await reader.read()
            return "reset"
        return await super().book(reader, writer)


async def test_there_and_back_again_stays_where_it_was() -> None:
    async with (
        Book([b"\n", 0.05] * 99) as old,
        Later(*[["silent"]] * 9) as new,
        following(old, KNOWN) as (registry, heard),
    ):
        await until(lambda: registry.open.is_set())
        registry.move(new.address)
        await until(lambda: new.writers)
        registry.move(old.address)
        await until(lambda: all(task.done() for task in new.tasks))
        assert len(old.targets) == 1 and len(heard) == 1 and not registry.place.ready


async def test_bytes_that_dribble_in_and_never_make_a_line_are_no_sign_of_life() -> None:
    async with Book([b"\n", *[b"{", 0.03] * 999]) as book, following(book, KNOWN) as (_, heard):
        await until(lambda: LOST in heard)
        assert len(book.targets) == 1


async def test_a_line_may_come_slowly_as_long_as_it_comes() -> None:
    line = change(6, {**MEMBER, "id": "s-2"})
    slow = [part for n in range(0, len(line), 30) for part in (line[n : n + 30], 0.02)]
    async with Book([b"\n", 0.1, *slow, b"\n", 3600.0]) as book, following(book, KNOWN) as (_, heard):
        await until(lambda: len(heard) == 2)
        assert heard[1] != LOST


def in_pieces(line: bytes, over_s: float, count: int = 10) -> list[bytes | float]:
    """A line that comes in so many pieces over a time."""
    size = -(-len(line) // count)
    pieces = (line[begin : begin + size] for begin in range(0, len(line), size))
    return [step for piece in pieces for step in (over_s / count, piece)]


@pytest.mark.parametrize(("times", "failed"), [(1.5, 1), (3.0, 2)])
async def test_a_list_that_comes_too_slowly_gives_the_next_one_twice_as_long(
    times: float, failed: int
) -> None:
    """All controllers of a large fleet may ask for the whole list at once: none would ever get it whole."""
    line = change(6, *({**MEMBER, "id": f"s-{n}"} for n in range(2, 60)))
    slow = in_pieces(line, times * QUICK.watch_quiet_us / 1e6)
    async with Book(*([*slow, b"\n", 3600.0] for _ in range(5))) as book:
        heard: list[interface.Event] = []
        registry = Registry(book.address, KNOWN, heard.append, CODEC, QUICK, Counters())
        async with running(registry.run()):
            registry.follow()
            await until(lambda: heard[-1].kind == "changes")
            lost = heard[1:-1]  # a busy machine may need one more
            assert lost == [LOST] * len(lost) and len(lost) >= failed
            assert len(book.targets) == len(lost) + 1
            assert registry.slow == 0, "the next one has the usual time again"


async def test_a_whole_list_that_is_fetched_too_slowly_gives_the_next_one_twice_as_long() -> None:
    body = json.dumps({"revision": 9, "complete": True, "members": [MEMBER] * 50}).encode()

    async def slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        state = h11.Connection(h11.SERVER)
        _, target, _ = await request(reader, state)
        writer.write(answered(state, 200, None))
        if "watch" in target:
            await reader.read()
        for step in in_pieces(body, 1.5 * QUICK.list_us / 1e6):
            if isinstance(step, float):
                await asyncio.sleep(step)
            else:
                writer.write(state.send(h11.Data(data=step)))
                await writer.drain()
        writer.write(state.send(h11.EndOfMessage()))

    async with Party(slowly) as book:
        heard: list[interface.Event] = []
        known = KNOWN._replace(entries=())
        registry = Registry(book.address, known, heard.append, CODEC, QUICK, Counters())
        async with running(registry.run()):
            registry.follow()
            await until(lambda: heard[-1].kind == "whole")
            assert heard[1:-1] == [LOST] * (len(heard) - 2) and len(heard) > 2


async def test_silence_within_a_list_is_given_no_longer_after_slow_ones() -> None:
    async with Book([b"{", 3600.0]) as book:
        heard: list[interface.Event] = []
        registry = Registry(book.address, KNOWN, heard.append, CODEC, QUICK, Counters())
        registry.slow = 3
        async with running(registry.run()):
            registry.follow()
            await until(lambda: registry.open.is_set())
            began = asyncio.get_running_loop().time()
            await until(lambda: LOST in heard)
            took_us = (asyncio.get_running_loop().time() - began) * 1e6
            assert took_us < 4 * QUICK.watch_quiet_us, "a slow line would be given eight times"


async def test_a_watch_that_only_gives_signs_of_life_is_opened_anew_before_it_is_left() -> None:
    """The list moved on elsewhere while a watch only said that it was alive: nobody ever asked again."""
    async with Book(
        [b"\n", 0.05] * 400, [503], [change(8, {**MEMBER, "id": "s-2"}), *[b"\n", 0.05] * 400]
    ) as book:
        heard: list[interface.Event] = []
        limits = replace(QUICK, renew_us=100 * MS, renew_most_us=200 * MS)
        registry = Registry(book.address, KNOWN, heard.append, CODEC, limits, Counters())
        async with running(registry.run()):
            registry.follow()
            await until(lambda: len(heard) == 2)
            assert heard[1].kind == "changes" and LOST not in heard
            assert registry.counters["registry.renewals"] >= 2, (
                "one that was turned away cost the old watch nothing"
            )


async def test_a_server_that_only_others_name_brings_the_next_call() -> None:
    async with Book([b"\n", 0.05] * 400, [change(8, {**MEMBER, "id": "s-2"}), *[b"\n", 0.05] * 400]) as book:
        heard: list[interface.Event] = []
        registry = Registry(
            book.address, KNOWN, heard.append, CODEC, replace(QUICK, strange_us=40 * MS), Counters()
        )
        async with running(registry.run()):
            registry.follow()
            await until(lambda: registry.open.is_set())
            registry.named("s-1")
            await asyncio.sleep(0.1)
            assert registry.counters["registry.renewals"] == 0, "that one is known"
            registry.named("s-2")
            await until(lambda: len(heard) == 2)
            assert LOST not in heard and registry.counters["registry.renewals"] == 1


@pytest.mark.parametrize(
    ("version", "whole", "since", "taken"),
    [(6, False, 5, False), (6, True, 5, False), (8, False, 5, True), (4, False, 5, None), (4, True, 5, True)],
)
async def test_a_watch_that_takes_over_tells_again_what_the_other_has_told(
    version: int, whole: bool, since: int, taken: bool | None
) -> None:
    heard: list[interface.Event] = []
    registry = Registry("", KNOWN._replace(version=7), heard.append, CODEC, QUICK, Counters())
    async with Book() as book:
        link = await Link.open(book.address, QUICK)
        link.since = since
        told = CODEC.listed({"revision": version, "complete": whole, "members": [MEMBER]})
        if taken is None:  # behind even where it was asked from: the whole list is asked for
            with pytest.raises(Exception, match="went back"):
                registry.take(told, link)
            assert registry.version is None
        else:
            registry.take(told, link)
            assert len(heard) == 1 + taken and registry.version == (version if taken else 7)
        link.close()


# probes


@pytest.mark.parametrize("becomes", [{"host_port": "127.0.0.1:2"}, {"up_since_ms": 1_796_139_439_123}])
async def test_the_answer_of_a_server_that_has_been_replaced_tells_nothing_of_the_new_one(
    becomes: dict,
) -> None:
    answer, answering = asyncio.Event(), []

    async def late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        state = h11.Connection(h11.SERVER)
        await request(reader, state)
        answering.append(writer)
        await answer.wait()
        writer.write(answered(state, 200, b""))

    heard: list[interface.Event] = []
    async with Party(late) as server:
        probes = Probes(heard.append, CODEC, replace(QUICK, probe_us=10 * SECOND), Counters())
        registry = Registry("", KNOWN, heard.append, CODEC, QUICK, Counters(), probes.forget)
        registry.take(
            CODEC.listed(
                {"revision": 6, "complete": False, "members": [{**MEMBER, "host_port": server.address}]}
            )
        )
        probes.start("s-1", registry.addresses["s-1"])
        await until(lambda: answering)
        registry.take(
            CODEC.listed(
                {"revision": 7, "complete": False, "members": [{**MEMBER, "host_port": server.address}]}
            )
        )
        assert "s-1" in probes.under_way, "nothing is new"
        registry.take(
            CODEC.listed(
                {
                    "revision": 8,
                    "complete": False,
                    "members": [{**MEMBER, "host_port": server.address, **becomes}],
                }
            )
        )
        answer.set()
        await until(lambda: not probes.under_way)
        assert (
            not any(isinstance(event, interface.Probed) for event in heard)
            and probes.counters["probes.outdated"] == 1
        )
        probes.start("s-1", server.address)
        await until(lambda: any(isinstance(event, interface.Probed) for event in heard))


async def test_a_probe_whose_dial_takes_too_long_found_silence_and_no_refusal(held: Held) -> None:
    """One refused probe ends a server that a list wrongly calls gone; one slow dial does not."""
    heard: list[interface.Probed] = []
    held.gates["127.0.0.1:9"] = asyncio.Event()
    held.refused.add("127.0.0.1:8")
    probes = Probes(heard.append, CODEC, replace(QUICK, connect_us=30 * MS), Counters())
    probes.start("s-1", "127.0.0.1:9")
    probes.start("s-2", "127.0.0.1:8")
    await until(lambda: len(heard) == 2)
    assert {told.backend: told.reason for told in heard} == {"s-1": 3, "s-2": 4}


async def test_probes_that_are_ended_begin_no_further_ones() -> None:
    async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()

    heard: list[interface.Event] = []
    async with Party(silent) as mute:
        probes = Probes(heard.append, CODEC, replace(QUICK, probes=2, probe_us=10 * SECOND), Counters())
        for number in range(6):
            probes.start(f"s-{number}", mute.address)
        await until(lambda: len(mute.writers) == 2)
        ending = probes.close()
        for task in ending:
            task.cancel()
        await asyncio.gather(*ending, return_exceptions=True)
        assert not probes.under_way and not heard and probes.counters["probes.sent"] == 2


# news and calls


async def test_a_picture_with_something_unreadable_is_asked_for_again_and_in_the_end_taken_as_it_is() -> None:
    """A joined proxy that can't be read counted as one that has left, and after a lease as clear."""
    odd = ("SUBSCRIBE", "node=x&locality=a&w=1&cold=1")
    async with Relay() as relay, news_of(relay) as (_, heard):
        relay.stands.insert(1, odd)
        relay.reset()
        await until(lambda: len(relay.streams) == 3)
        assert not heard, "nothing is decided on half a picture"
        relay.stands.remove(odd)
        await until(lambda: len(heard) == 4)
        assert heard == [interface.Left(0), interface.Left(1), *PICTURE[:2]]
        heard.clear()
        relay.stands.insert(1, odd)
        relay.reset()
        await until(lambda: len(heard) == 4)  # it stays so: the rest is what stands


async def test_a_relay_that_needs_longer_for_its_picture_comes_to_an_end() -> None:
    """Each attempt had the same time, and none came to the end of what stands."""

    class Slow(Relay):
        def say(self, kind: str, data: str, stream: int = -1) -> None:
            self.later.append((kind, data, stream))

        def sign(self, state: h11.Connection, writer: asyncio.StreamWriter) -> None:
            for kind, data, stream in self.later[:1]:
                super().say(kind, data, stream)
            del self.later[:1]

    async with Slow() as relay:
        relay.later, relay.stands = [], STANDS * 2
        heard: list[interface.Event] = []
        calls = Calls(relay.address, CODEC, QUICK, Counters())
        limits = replace(QUICK, told_us=200 * MS, picture_us=180 * MS)  # ten events, 100 ms apart
        news = News(relay.address, calls, heard.append, CODEC, limits, Counters())
        async with running(news.run()):
            await until(lambda: len(heard) >= 2 * len(PICTURE) - 3)
        assert news.counters["news.opened"] > 1


async def test_news_that_dribble_are_no_sign_of_life() -> None:
    async with Relay() as relay, news_of(relay) as (news, _):
        relay.signs = False
        state, writer = relay.streams[-1]
        while news.counters["news.lost"] == 0:
            if not writer.is_closing():
                writer.write(state.send(h11.Data(data=b"x")))
            await asyncio.sleep(0.03)
        await until(lambda: len(relay.streams) == 2)


async def test_a_move_of_the_relay_while_the_old_place_is_being_dialed_is_followed(held: Held) -> None:
    async with Relay() as old, Relay() as new:
        new.stands = list(STANDS)
        held.gates[old.address] = asyncio.Event()
        heard: list[interface.Event] = []
        calls = Calls(old.address, CODEC, QUICK, Counters())
        news = News(
            old.address, calls, heard.append, CODEC, replace(QUICK, connect_us=60 * SECOND), Counters()
        )
        async with running(news.run()):
            await until(lambda: held.dialed)
            news.move(new.address)
            await until(lambda: heard == PICTURE)
            held.gates[old.address].set()
            await asyncio.sleep(0.05)
            assert not old.streams and not calls.quiet.locked()


async def test_an_answer_that_comes_twice_does_not_pass_for_that_to_the_next_call() -> None:
    class Twice(Relay):
        """Sends the first call's answer again with the second call, which it does not carry out."""

        async def relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> str | None:
            state = h11.Connection(h11.SERVER)
            first = True
            while (request := await asked(reader, state)) is not None:
                self.calls.append(request[2].decode())
                answer = answered(
                    state, 200, b"<Response><entries><item><ok_count>1</ok_count></item></entries></Response>"
                )
                writer.write(answer)
                if first and len(self.calls) == 2:
                    await writer.drain()
                    writer.write(answer)  # that of the call before had come twice
                first = len(self.calls) < 2
                state.start_next_cycle()
            return None

    async with Twice() as relay:
        doubts: list[bool] = []
        calls = Calls(relay.address, CODEC, QUICK, Counters())
        calls.doubt = lambda: doubts.append(True)
        await calls.carry_out([interface.Mark(1, True)])
        await calls.carry_out([interface.Mark(2, True)])
        await asyncio.sleep(0.02)
        await calls.carry_out([interface.Mark(3, True)])
        calls.close()
        assert doubts in ([], [True])
        if calls.counters["relay.answers_unasked"]:
            assert doubts and len(relay.writers) == 2, "what stands is compared, over a connection in step"


async def test_what_comes_unasked_on_a_kept_connection_has_what_stands_compared() -> None:
    async with Relay() as relay:
        doubts: list[bool] = []
        calls = Calls(relay.address, CODEC, QUICK, Counters())
        calls.doubt = lambda: doubts.append(True)
        await calls.carry_out([interface.Mark(1, True)])
        relay.writers[0].write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        await until(lambda: calls.link.unasked)
        await calls.carry_out([interface.Mark(2, True)])
        assert doubts == [True] and relay.done == ["SYNC,1,1", "SYNC,2,1"] and len(relay.writers) == 2
        calls.close()


async def test_a_connection_closed_as_idle_in_the_instant_of_its_use_costs_one_attempt() -> None:
    async with Relay() as relay:
        calls = Calls(relay.address, CODEC, QUICK, Counters())
        await calls.carry_out([interface.Mark(1, True)])
        link = calls.link
        link.writer.transport.pause_reading()  # its end is on the way and not seen
        relay.reset()
        link.writer.transport.resume_reading()
        await calls.carry_out([interface.Mark(2, True)])
        assert relay.done == ["SYNC,1,1", "SYNC,2,1"]
        calls.close()


async def test_counts_that_are_another_each_time_are_not_asked_for_without_a_pause() -> None:
    async with Relay() as relay:
        calls = Calls(
            relay.address, CODEC, replace(QUICK, again_least_us=40 * MS, again_most_us=80 * MS), Counters()
        )
        relay.faults += [f"short {n % 2}" for n in range(10_000)]
        async with running(calls.carry_out([interface.Mark(n, True) for n in range(4)])):
            await asyncio.sleep(0.4)
            assert 3 < len(relay.calls) < 25
        calls.close()


# the listening address


async def test_a_connection_crowded_out_in_the_instant_in_which_it_joins_does_not_count() -> None:
    async with listening(replace(QUICK, connections=2, join_us=20 * SECOND)) as (collectors, heard, connect):
        _, good = await connect(JOIN + LINE)
        await until(lambda: heard)
        await connect(b"")
        await until(lambda: len(collectors.open) == 2)
        quiet = next(guest for guest in collectors.open if guest.zone is None)
        collectors.crowd_out(quiet)
        collectors.take(memoryview(JOIN.strip()), quiet)  # its line had been read
        assert quiet not in collectors.open and len(collectors.open) == 1
        good.write(LINE)
        await until(lambda: len(heard) == 2)


async def test_a_connection_taken_in_the_instant_of_the_end_is_closed() -> None:
    collectors = Collectors(lambda event: None, CODEC, QUICK, Counters())
    await collectors.listen("127.0.0.1:0")
    port = collectors.server.sockets[0].getsockname()[1]
    collectors.close()
    server = await asyncio.start_server(collectors.serve, "127.0.0.1", 0)  # as one taken just before
    port = server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    assert await rest(reader) == b"" and not collectors.tasks and not collectors.open
    writer.transport.abort()
    server.close()


async def test_floods_keep_no_sign_of_life_and_no_report_waiting() -> None:
    limits = replace(QUICK, connections=32, at_once=8, join_us=SECOND)
    async with listening(limits) as (_, heard, connect):
        _, good = await connect()
        flooding = True

        async def strangers() -> None:
            while flooding:
                _, writer = await connect(b"PING\r\n" * 500)
                await asyncio.sleep(0)
                writer.transport.abort()

        async def reports() -> None:
            _, writer = await connect()
            while flooding:
                writer.write(LINE * 500)
                await writer.drain()
                await asyncio.sleep(0.002)

        floods = [asyncio.create_task(life()) for life in (strangers, strangers, reports)]
        waits = []
        for _ in range(20):
            began = time.monotonic()
            reader, writer = await connect(b"PING\r\n")
            assert await asyncio.wait_for(reader.readexactly(6), 2) == b"PONG\r\n"
            waits.append(time.monotonic() - began)
            writer.transport.abort()
            good.write(LINE.replace(b"s-1", b"s-9"))
            seen = len(heard)
            await until(lambda seen=seen: any(event.backend == "s-9" for event in heard[seen:]))
        flooding = False
        await asyncio.gather(*floods, return_exceptions=True)
        assert sorted(waits)[len(waits) // 2] < 0.5


# the service and its process


@asynccontextmanager
async def at_the_point(point: str):
    """A service that has come to a point of its life, with its stand-ins."""
    drained = change(2, {**MEMBER, "phase": "Terminating"})
    async with Relay() as relay, Book([b"\n", 0.1, drained, *[b"\n", 0.1] * 99]) as book:
        relay.stands, relay.answers = list(STANDS[:4]), point == "owner"
        relay.signs = point != "picture"
        limits = replace(
            QUICK, answer_us=10 * SECOND, picture_us=10 * SECOND if point == "picture" else QUICK.picture_us
        )
        if point in ("call sent", "call unsettled", "silent relay"):
            relay.faults += {
                "call sent": ["held"],
                "call unsettled": ["reset after"] * 999,
                "silent relay": ["silent before"],
            }[point]
        service = Service(launch(relay.address, book.address, limits=limits))
        life = asyncio.create_task(service.run())
        await until(
            {
                "start": lambda: True,
                "listening": lambda: service.collectors.server,
                "picture": lambda: service.news.picture,
                "call sent": lambda: relay.calls,
                "call unsettled": lambda: service.counters["relay.unknown"] > 1,
                "silent relay": lambda: relay.calls,
                "told": lambda: (
                    any(
                        isinstance(event, interface.Listed) and event.kind == "changes"
                        for event in service.inbox
                    )
                    or service.counters["registry.messages"]
                ),
                "empty": lambda: "DEL,3" in relay.done,
                "owner": lambda: any(text.startswith("SET,3") for text in relay.done),
            }[point]
        )
        yield service, life, relay, book
        life.cancel()


@pytest.mark.parametrize(
    "point",
    [
        "start",
        "listening",
        "picture",
        "call sent",
        "call unsettled",
        "silent relay",
        "told",
        "empty",
        "owner",
    ],
)
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
        done = len(relay.done)
        await until(lambda: all(task.done() for task in [*book.tasks]))
        ours = [
            task for task in asyncio.all_tasks() if "lapispass/" in str(task.get_coro().cr_code.co_filename)
        ]
        assert not ours and not service.probes.under_way
        assert service.calls.link is None or service.calls.link.writer.is_closing()
        await asyncio.sleep(0.05)
        assert len(relay.done) == done, "nothing is ordered after the end"


@pytest.mark.parametrize("seed", [11, 12, 13])
@pytest.mark.time_limit(90)
async def test_rule_2_holds_while_controllers_end_at_any_instant_and_others_take_over(seed: int) -> None:
    slices, proxies = 8, 4
    async with World(seed, slices, proxies) as world, Roll() as roll:
        chance = world.chance
        for n in range(3):
            roll.put(f"s-{n}", "Ready")
        told = replace(TOLD, slices=slices, proxies=proxies, may_probe=False, asks_for_list=True, cold_us=1)
        begun, life = world.loop.time(), 0
        # For 4 s, and on a slow machine for as many lives as are asked for below.
        while not world.broken and (
            (elapsed := world.loop.time() - begun) < 4 or (life <= 3 and elapsed < 60)
        ):
            life += 1
            service = Service(launch(world.address, roll.address, told=told, seed=seed * 1000 + life * 7919))
            task = asyncio.create_task(service.run())
            ends = world.loop.time() + chance.uniform(0.05, 0.9)
            while world.loop.time() < ends and not world.broken:
                if chance.random() < 0.3:
                    roll.change(chance)
                if chance.random() < 0.2:
                    world.faults.append(chance.choice(("reset after", "silent after", "unreadable")))
                await asyncio.sleep(chance.uniform(0.005, 0.05))
                world.look()
            service.stop()
            await asyncio.wait_for(task, 2)
            world.out_of_touch()
            assert not world.broken, world.broken
        world.faults.clear()
        ready = {name for name, member in roll.members.items() if member["phase"] == "Ready"}
        async with running(Service(launch(world.address, roll.address, told=told, seed=seed)).run()):
            await until(
                lambda: (
                    {owner for owner, _ in world.store.values()} <= ready
                    and all(proxy.tables == world.store for proxy in world.proxies)
                )
            )
        assert not world.broken and life > 3


async def test_a_restart_while_the_process_before_still_holds_the_address_waits_for_it() -> None:
    async with Relay() as relay, Book() as book:
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


def config(tmp_path, **changes: object) -> dict[str, str]:
    settings = {
        "grades": [{"name": "pay", "target-us": 10, "hard-limit-us": 20, "worth": 2.0}],
        "extra": {"key-ranges": 2, "data-plane-size": 3},
    }
    told = {
        "name": "n",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "1",
        "settings": settings,
        "store": {"address": "127.0.0.1:1"},
        **changes,
    }
    (tmp_path / "config.json").write_text(json.dumps(told))
    return {**os.environ, "LB_CONFIG": str(tmp_path / "config.json")}


COMMAND = [sys.executable, "-B", "-m", "lapispass"]


@pytest.mark.parametrize(
    "numbers", [[signal.SIGTERM], [signal.SIGHUP], [signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1]]
)
def test_signals_that_keep_coming_until_the_last_moment_change_no_status(
    tmp_path, numbers: list[int]
) -> None:
    with subprocess.Popen(COMMAND, env=config(tmp_path), stderr=subprocess.PIPE, text=True) as process:
        assert any("event=listening" in line for line in process.stderr)
        process.send_signal(signal.SIGTERM)
        until_ = time.monotonic() + 5
        while process.poll() is None and time.monotonic() < until_:
            for number in numbers:
                process.send_signal(number)
            time.sleep(0.0002)
        process.stderr.read()
    assert process.returncode == 0


def test_a_process_told_to_end_while_it_starts_ends_in_order(tmp_path) -> None:
    environment = config(tmp_path)
    for delay_s in (0.03, 0.06, 0.1, 0.15, 0.2, 0.3):
        ready, tell = os.pipe()
        # Its own first line of code says that its handlers stand.
        code = (
            f"import os, sys; from lapispass.net import signals; signals.ignore(); os.write({tell}, b'x'); "
            "from lapispass.net.service import main; status = main(); signals.hold(); sys.exit(status)"
        )
        with subprocess.Popen(
            [sys.executable, "-B", "-c", code],
            env=environment,
            stderr=subprocess.PIPE,
            text=True,
            pass_fds=(tell,),
        ) as process:
            os.close(tell)
            assert os.read(ready, 1) == b"x"
            os.close(ready)
            time.sleep(delay_s)
            process.send_signal(signal.SIGTERM)
            _, said = process.communicate(timeout=60)  # that it ends is asked here, not how soon
        assert process.returncode == 0 and "Traceback" not in said


async def test_a_large_deployment_is_ready_in_time_and_its_picture_comes_whole(tmp_path) -> None:
    """5,700 servers known, 5,000 proxies and 15,000 slices in what stands, the registry silent."""
    proxies, slices, servers = 5000, 15_000, 5700

    class Large(Relay):
        async def relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> str | None:
            state = h11.Connection(h11.SERVER)
            if (request := await asked(reader, state)) is None:
                return None  # it ended before it asked
            if request[0] == "POST":
                await reader.read()
            writer.write(answered(state, 200, None))
            text = "".join(
                [f"event: SUBSCRIBE\ndata: node={n}&locality=a&w=1&cold=0\n\n" for n in range(proxies)]
                + [
                    f"event: GRANT\ndata: shard={n}&set=1\n\n"
                    f"event: ROW\ndata: shard={n}&endpoint=s-{n % servers}&w=1\n\n"
                    for n in range(slices)
                ]
            ).encode()
            for begin in range(0, len(text), 50_000):
                writer.write(state.send(h11.Data(data=text[begin : begin + 50_000])))
                await writer.drain()
            while not reader.at_eof():
                writer.write(state.send(h11.Data(data=b":\n")))
                try:
                    await asyncio.wait_for(reader.read(1), 1)
                except TimeoutError:
                    pass
            return None

    async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()

    async with Large() as relay, Party(silent) as registry:
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            listen = f"127.0.0.1:{free.getsockname()[1]}"
        known = {
            "revision": 1,
            "complete": True,
            "members": [{**MEMBER, "id": f"s-{n}"} for n in range(servers)],
        }
        extra = {
            "key-ranges": slices,
            "data-plane-size": proxies,
            "lease-us": 1_500_000,
            "lines-per-s": 1e6,
            "queue-cap": 2e6,
            "report-every-us": 2_000_000,
            "lingers-us": 5_000_000,
            "blackhole-us": 14_000_000,
        }
        settings = {
            "grades": [{"name": "pay", "target-us": 10, "hard-limit-us": 20, "worth": 2.0}],
            "zones": ["a"],
            "extra": extra,
        }
        environment = config(
            tmp_path,
            listen=listen,
            discovery=registry.address,
            known=known,
            settings=settings,
            store={"address": relay.address},
        )
        began = time.monotonic()
        process = await asyncio.create_subprocess_exec(
            *COMMAND, env=environment, stderr=asyncio.subprocess.PIPE
        )
        try:
            while True:
                try:
                    reader, writer = await asyncio.open_connection(*listen.split(":"))
                    writer.write(b"PING\r\n")
                    assert await reader.readexactly(6) == b"PONG\r\n"
                    break
                except OSError:
                    await asyncio.sleep(0.01)
            assert time.monotonic() - began < 10
            writer.transport.abort()
            while True:
                line = (await process.stderr.readline()).decode()
                assert line, "it ended"
                if "picture complete" in line:
                    break
            assert f"joined={proxies} slices={slices}" in line and time.monotonic() - began < 15
            process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(process.wait(), 10) == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
