"""The client of the registry on loopback: reading the list, watches, moves and malformed entries."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace

import h11
import pytest
from configurations import listing
from fleet import MS, SECOND
from parties import (
    CODEC,
    KNOWN,
    LOST,
    MEMBER,
    QUICK,
    S1,
    HeldDials,
    LoopbackServer,
    RegistryServer,
    change,
    following,
    read_request,
    response_bytes,
    silent,
    until,
)

from lapispass import interface
from lapispass.net.counters import Counters
from lapispass.net.http import HttpConnection
from lapispass.net.registry import Registry


async def test_without_a_known_version_the_list_is_read_first_and_then_watched() -> None:
    spoken = [change(10, {**MEMBER, "phase": "Terminating"}), 3600.0]
    async with RegistryServer(spoken) as book, following(book) as (registry, heard):
        await until(lambda: len(heard) == 3)
        assert heard == [
            interface.RegistryUpdate("remembered", ()),
            interface.RegistryUpdate("whole", (S1,)),
            interface.RegistryUpdate("changes", (S1._replace(state="draining"),)),
        ]
        assert book.targets == ["/registry/instances", "/registry/instances?watch=1&from=9"]
        assert registry.addresses == {"s-1": "127.0.0.1:1"}


async def test_a_watch_starts_from_the_known_version_and_changes_may_arrive_in_chunks() -> None:
    line = change(6, {**MEMBER, "id": "s-2"}, {**MEMBER, "phase": "Gone"})
    pieces = [b"\n", line[:20], 0.02, line[20:60], 0.02, line[60:], 3600.0]
    async with RegistryServer(pieces) as book, following(book, KNOWN) as (_, heard):
        await until(lambda: len(heard) == 2)
        assert heard == [
            interface.RegistryUpdate("remembered", (S1,)),
            interface.RegistryUpdate("changes", (S1._replace(backend="s-2"), S1._replace(state="gone"))),
        ]
        assert book.targets == ["/registry/instances?watch=1&from=5"]


async def test_a_move_without_a_known_version_does_not_loop_forever() -> None:
    async with RegistryServer([503]) as book, following(book) as (registry, heard):
        await until(lambda: LOST in heard)
        registry.version, registry.limits = None, replace(QUICK, list_bytes=10)  # no list can be read
        registry.move(book.address)
        registry.follow()
        await until(lambda: heard.count(LOST) == 2)
        assert not registry.endpoint.standby


@pytest.mark.parametrize(
    "steps", [[503], ["reset"], [b"\n", 0.01], [b"{odd}\n"], [b"\n", 3600.0], [change(6)[:30], 0.05]]
)
async def test_a_failed_watch_is_reported_lost_and_requested_again_by_the_controller(steps: list) -> None:
    async with RegistryServer(steps) as book, following(book, KNOWN) as (registry, heard):
        await until(lambda: LOST in heard)
        assert len(book.targets) == 1
        registry.follow()
        await until(lambda: len(book.targets) == 2)


async def test_a_lost_watch_that_no_turn_requests_is_reopened() -> None:
    async with RegistryServer([503], [503]) as book, following(book, KNOWN) as (registry, heard):
        await until(lambda: len(book.targets) == 3)
        assert heard[1:3] == [LOST, LOST] and registry.counters["registry.unasked"] == 2


async def test_a_version_that_goes_back_brings_the_whole_list() -> None:
    async with (
        RegistryServer([change(4, MEMBER), 3600.0]) as book,
        following(book, KNOWN) as (registry, heard),
    ):
        await until(lambda: LOST in heard)
        registry.follow()
        await until(lambda: len(book.targets) == 3)
        assert heard[1:] == [LOST, interface.RegistryUpdate("whole", (S1,))]
        assert book.targets[2].endswith("from=9")


async def test_a_list_beyond_the_limit_is_used_in_part_and_makes_no_server_gone() -> None:
    heard: list[interface.Event] = []
    registry = Registry("", KNOWN, heard.append, CODEC, replace(QUICK, servers=2), Counters())
    for start in range(0, 60, 4):
        members = [{**MEMBER, "id": f"s-{start + n}"} for n in range(4)]
        registry.take(CODEC.parse_registry_message(listing(9, *members)))
    assert all(event.kind == "changes" and len(event.entries) == 2 for event in heard[1:])
    assert list(registry.addresses) == ["s-52", "s-53", "s-56", "s-57"]


async def test_a_malformed_entry_does_not_make_its_server_gone() -> None:
    whole = json.dumps(listing(7, {**MEMBER, "id": "s-2"}, {"id": "s-1"}))
    async with RegistryServer([whole.encode() + b"\n", 3600.0]) as book, following(book, KNOWN) as (_, heard):
        await until(lambda: len(heard) == 2)
        assert heard[1] == interface.RegistryUpdate("changes", (S1._replace(backend="s-2"),))


async def test_a_move_while_the_old_address_is_being_dialed_is_followed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The watch stayed at the old address for as long as that one sent heartbeats."""
    held = HeldDials(monkeypatch)
    limits = replace(QUICK, connect_us=60 * SECOND)  # the dial must be cancelled, not time out
    async with (
        RegistryServer([b"\n", 3600.0]) as old,
        RegistryServer([change(6, {**MEMBER, "id": "s-2"}), 3600.0]) as new,
    ):
        held.gates[old.address] = asyncio.Event()
        async with following(old, KNOWN, limits) as (registry, heard):
            await until(lambda: old.address in held.dialed)
            registry.move(new.address)
            await until(lambda: len(heard) == 2)
            held.gates[old.address].set()
            assert heard[1] == interface.RegistryUpdate("changes", (S1._replace(backend="s-2"),))
            await asyncio.sleep(0.05)
            assert not old.targets and len(new.targets) == 1 and registry.counters["registry.lost"] == 0


async def test_a_move_while_the_whole_list_is_being_fetched_is_followed_at_once() -> None:
    known, limits = KNOWN._replace(entries=()), replace(QUICK, list_us=60 * SECOND)
    async with (
        LoopbackServer(silent) as old,
        RegistryServer() as new,
        following(old, known, limits) as (registry, heard),
    ):
        await until(lambda: old.writers)
        registry.move(new.address)
        await until(lambda: len(new.targets) == 2 and len(heard) == 2)
        assert heard[1] == interface.RegistryUpdate("whole", (S1,)) and new.targets[1].endswith("from=9")


class Later(RegistryServer):
    """A registry that does not answer the first watches."""

    async def book(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> str | None:
        if self.watches and self.watches[0] == ["silent"]:
            self.watches.popleft()
            await reader.read(100_000)
            await reader.read()
            return "reset"
        return await super().book(reader, writer)


@pytest.mark.parametrize("fails", ["refused", "turned away", "silent"])
async def test_a_new_address_is_tried_until_it_answers_and_the_old_one_serves(
    fails: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Only one attempt was made at the new address while the old one sent heartbeats."""
    held = HeldDials(monkeypatch)
    waits: list = {"turned away": [[503]] * 40, "silent": [["silent"]] * 2, "refused": []}[fails]
    old_says = [b"\n", 0.1, change(6, {**MEMBER, "id": "s-2"}), *[b"\n", 0.1] * 99]
    async with (
        RegistryServer(old_says) as old,
        Later(*waits, [change(7, {**MEMBER, "id": "s-3"}), *[b"\n", 0.1] * 99]) as new,
    ):
        if fails == "refused":
            held.refused.add(new.address)
        async with following(old, KNOWN) as (registry, heard):
            await until(lambda: registry.watch_open.is_set())
            registry.move(new.address)
            await until(lambda: len(heard) == 2)
            assert heard[1].entries[0].backend == "s-2", "the old address must serve meanwhile"
            held.refused.clear()
            await until(lambda: len(heard) == 3)
            assert heard[2].entries[0].backend == "s-3" and registry.counters["registry.lost"] == 0
            await until(lambda: all(writer.is_closing() for writer in old.writers))


async def test_a_move_there_and_back_keeps_the_connection() -> None:
    async with (
        RegistryServer([b"\n", 0.05] * 99) as old,
        Later(*[["silent"]] * 9) as new,
        following(old, KNOWN) as (registry, heard),
    ):
        await until(lambda: registry.watch_open.is_set())
        registry.move(new.address)
        await until(lambda: new.writers)
        registry.move(old.address)
        await until(lambda: all(task.done() for task in new.tasks))
        assert len(old.targets) == 1 and len(heard) == 1 and not registry.endpoint.standby


async def test_bytes_without_a_complete_line_do_not_keep_the_watch_open() -> None:
    async with RegistryServer([b"\n", *[b"{", 0.03] * 999]) as book, following(book, KNOWN) as (_, heard):
        await until(lambda: LOST in heard)
        assert len(book.targets) == 1


async def test_a_line_may_come_slowly_as_long_as_it_comes() -> None:
    line = change(6, {**MEMBER, "id": "s-2"})
    slow = [part for n in range(0, len(line), 30) for part in (line[n : n + 30], 0.02)]
    async with (
        RegistryServer([b"\n", 0.1, *slow, b"\n", 3600.0]) as book,
        following(book, KNOWN) as (_, heard),
    ):
        await until(lambda: len(heard) == 2)
        assert heard[1] != LOST


def in_pieces(line: bytes, over_s: float, count: int = 10) -> list[bytes | float]:
    """A line that arrives in several chunks, spread over a time."""
    size = -(-len(line) // count)
    pieces = (line[begin : begin + size] for begin in range(0, len(line), size))
    return [step for piece in pieces for step in (over_s / count, piece)]


@pytest.mark.parametrize(("times", "failed"), [(1.5, 1), (3.0, 2)])
async def test_a_list_that_comes_too_slowly_gives_the_next_one_twice_as_long(
    times: float, failed: int
) -> None:
    """If all controllers of a large fleet request the list at once, none would get it in the usual time."""
    line = change(6, *({**MEMBER, "id": f"s-{n}"} for n in range(2, 60)))
    slow = in_pieces(line, times * QUICK.watch_idle_us / 1e6)
    async with (
        RegistryServer(*([*slow, b"\n", 3600.0] for _ in range(5))) as book,
        following(book, KNOWN) as (registry, heard),
    ):
        await until(lambda: heard[-1].kind == "changes")
        lost = heard[1:-1]  # a busy machine may need one more attempt
        assert lost == [LOST] * len(lost) and len(lost) >= failed
        assert len(book.targets) == len(lost) + 1
        assert registry.slow_reads == 0, "the next list must have the usual time again"


async def test_a_whole_list_that_is_fetched_too_slowly_gives_the_next_one_twice_as_long() -> None:
    body = json.dumps(listing(9, *[MEMBER] * 50)).encode()

    async def slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        state = h11.Connection(h11.SERVER)
        _, target, _ = await read_request(reader, state)
        writer.write(response_bytes(state, 200, None))
        if "watch" in target:
            await reader.read()
        for step in in_pieces(body, 1.5 * QUICK.list_us / 1e6):
            if isinstance(step, float):
                await asyncio.sleep(step)
            else:
                writer.write(state.send(h11.Data(data=step)))
                await writer.drain()
        writer.write(state.send(h11.EndOfMessage()))

    known = KNOWN._replace(entries=())
    async with LoopbackServer(slowly) as book, following(book, known) as (_, heard):
        await until(lambda: heard[-1].kind == "whole")
        assert heard[1:-1] == [LOST] * (len(heard) - 2) and len(heard) > 2


async def test_the_idle_timeout_within_a_list_does_not_grow_after_slow_ones() -> None:
    async with RegistryServer([b"{", 3600.0]) as book, following(book, KNOWN) as (registry, heard):
        registry.slow_reads = 3
        await until(lambda: registry.watch_open.is_set())
        began = asyncio.get_running_loop().time()
        await until(lambda: LOST in heard)
        took_us = (asyncio.get_running_loop().time() - began) * 1e6
        assert took_us < 4 * QUICK.watch_idle_us, "a slow line would get eight times as long"


async def test_a_watch_with_nothing_but_heartbeats_is_replaced_while_it_is_used() -> None:
    """The list changed while the watch only sent heartbeats, and nothing replaced the watch."""
    limits = replace(QUICK, watch_renew_us=100 * MS, watch_renew_max_us=200 * MS)
    last = [change(8, {**MEMBER, "id": "s-2"}), *[b"\n", 0.05] * 400]
    async with (
        RegistryServer([b"\n", 0.05] * 400, [503], last) as book,
        following(book, KNOWN, limits) as (registry, heard),
    ):
        await until(lambda: len(heard) == 2)
        assert heard[1].kind == "changes" and LOST not in heard
        assert registry.counters["registry.renewals"] >= 2, "a rejected renewal must not end the old watch"


async def test_a_server_that_no_list_names_causes_the_next_renewal() -> None:
    async with (
        RegistryServer(
            [b"\n", 0.05] * 400, [change(8, {**MEMBER, "id": "s-2"}), *[b"\n", 0.05] * 400]
        ) as book,
        following(book, KNOWN, replace(QUICK, unlisted_us=40 * MS)) as (registry, heard),
    ):
        await until(lambda: registry.watch_open.is_set())
        registry.note_mention("s-1")
        await asyncio.sleep(0.1)
        assert registry.counters["registry.renewals"] == 0, "this server is listed"
        registry.note_mention("s-2")
        await until(lambda: len(heard) == 2)
        assert LOST not in heard and registry.counters["registry.renewals"] == 1


@pytest.mark.parametrize(
    ("version", "whole", "since", "taken"),
    [(6, False, 5, False), (6, True, 5, False), (8, False, 5, True), (4, False, 5, None), (4, True, 5, True)],
)
async def test_a_new_watch_may_repeat_what_the_old_one_delivered(
    version: int, whole: bool, since: int, taken: bool | None
) -> None:
    heard: list[interface.Event] = []
    registry = Registry("", KNOWN._replace(version=7), heard.append, CODEC, QUICK, Counters())
    async with RegistryServer() as book:
        link = await HttpConnection.open(book.address, QUICK)
        link.watch_from = since
        message = CODEC.parse_registry_message(listing(version, MEMBER, complete=whole))
        if taken is None:  # older than the version that the watch started from: the whole list is read
            with pytest.raises(Exception, match="went back"):
                registry.take(message, link)
            assert registry.version is None
        else:
            registry.take(message, link)
            assert len(heard) == 1 + taken and registry.version == (version if taken else 7)
        link.close()
