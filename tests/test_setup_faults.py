"""A client is answered or its connection closed at once, whichever system call fails meanwhile."""

from __future__ import annotations

import asyncio
import errno
import signal
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from itertools import product
from pathlib import Path
from typing import NamedTuple

import h11
import pytest
from faulty_process import ALWAYS, Call, Controller, Faults, controller, errno_name, free_address, process
from parties import MEMBER, LoopbackServer, next_request, play, response_bytes
from rule_world import Roll, World, comes_right
from test_accept_faults import FILE, PREFACE, UPGRADE, XDS_FILE
from test_fault_rules import PROXIES, SLICES
from test_fault_rules import SETTINGS as RULE_SETTINGS

PING, PONG = b"PING\r\n", b"PONG\r\n"
DUE_S = 0.5  # for an answer, or the close that frees a client
IN_A_ROW = 100
FLOOD, FLOOD_S = 300_000, 10.0  # requests, and the time for their answers
ONE_IN_TWENTY = 50  # thousandths
H2_PING = b"\x00\x00\x08\x06\x00\x00\x00\x00\x00" + b"question"
H2_PING_ACK = (6, 1)  # type and flags (RFC 9113 6.7)
FRONTS = ("controller", "gate", "xds")

Trouble = tuple[Call, int]
Wrong = dict[object, object]


class Request(NamedTuple):
    """What a client sends to a front end, and how it reads the answer."""

    said: bytes
    read_answer: Callable[[asyncio.StreamReader], Awaitable[bool]]


async def read_pong(reader: asyncio.StreamReader) -> bool:
    return await reader.readexactly(len(PONG)) == PONG


async def read_refusal(reader: asyncio.StreamReader) -> bool:
    """The gate's node refuses the connection, and the gate answers 503."""
    return (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 503 ")


async def read_ping_ack(reader: asyncio.StreamReader) -> bool:
    while True:
        head = await reader.readexactly(9)
        await reader.readexactly(int.from_bytes(head[:3]))
        if (head[3], head[4]) == H2_PING_ACK:
            return True


REQUESTS = {
    "controller": Request(PING, read_pong),
    "gate": Request(UPGRADE, read_refusal),
    "xds": Request(PREFACE + H2_PING, read_ping_ack),
}


@asynccontextmanager
async def front(name: str, folder: Path, fails: Trouble | None = None) -> AsyncIterator[Controller]:
    """A process that listens and has completed its start-up, in which a call may fail three times."""
    folder.mkdir(parents=True)
    faults, address = Faults(folder / "faults"), free_address()
    file = folder / ("config.json" if name == "controller" else "operator.textproto")
    watched = {"LAPISPASS_FAULTS_OPEN": str(file)}
    if fails is not None:
        faults.set(*fails, times=3)
    if name == "controller":
        async with controller(folder, faults=faults, environment=watched) as running:
            await running.wait_for_log("watch open")
            yield running
        return
    verb, form = {"gate": ("gate", FILE), "xds": ("run", XDS_FILE)}[name]
    file.write_text(form.format(listen="{}:{}".format(*address)))
    async with process((verb, "-o", str(file)), faults, address, "listening", watched) as running:
        yield running


async def ask(running: Controller, name: str) -> str:
    """What happens to a new client: "answered", "freed", "lost" (its request was read) or "left waiting"."""
    request = REQUESTS[name]
    reader, writer = await running.connect()
    port = writer.get_extra_info("sockname")[1]
    read_before = running.faults.bytes_read_from(port)
    try:
        async with asyncio.timeout(DUE_S):
            writer.write(request.said)
            return "answered" if await request.read_answer(reader) else "answered wrongly"
    except TimeoutError:
        return "left waiting"
    except (EOFError, OSError):
        was_read = running.faults.bytes_read_from(port) - read_before >= len(request.said)
        return "lost" if was_read else "freed"
    finally:
        writer.close()


async def ended_in_order(running: Controller) -> str:
    """Ends the process; returns what was wrong with its exit status and its log, or an empty text."""
    running.signal(signal.SIGTERM)
    status = await running.wait_for_exit()
    traces = [line for line in running.lines if "trace=" in line]
    found = [f"status {status}"] if status else []
    found += [f"{len(traces)} traces, {traces[0][:160]}"] if traces else []
    found += ["a descriptor closed twice"] if running.faults.closed_twice() else []
    return "; ".join(found)


async def serves_while_calls_fail(name: str, call: Call, errors: Iterable[int], folder: Path) -> Wrong:
    """What goes wrong for clients while this call fails, for the next clients, and at the end.

    The call fails once, and then so often in a row that no attempt succeeds. Close still fails at the end.
    """
    wrong: Wrong = {}
    async with front(name, folder) as running:
        faults = running.faults
        for error, times in product(errors, (1, IN_A_ROW)):
            where = f"{name} {call.name} {errno_name(error)} {times}"
            failed = faults.injected(call)
            faults.set(call, error, times=times)
            met = await ask(running, name)
            if met not in ("answered", "freed"):
                wrong[where] = met
            await asyncio.sleep(0.05)
            if faults.injected(call) == failed:
                wrong[where, "injected"] = 0
            faults.clear(call)
            if (met := await ask(running, name)) != "answered":
                wrong[where, "next client"] = met
        if call is Call.CLOSE:
            faults.set(call, errno.EIO)
        if found := await ended_in_order(running):
            wrong[name, call.name, "end"] = found
    return wrong


EXHAUSTED = (errno.ENOBUFS, errno.ENOMEM)
NAMES = (errno.ENOBUFS, errno.ENOTCONN)
SOUND: dict[Call, tuple[tuple[int, ...], tuple[str, ...]]] = {
    Call.ACCEPT: ((errno.ETIMEDOUT, errno.EPERM, errno.ENETDOWN), FRONTS),
    Call.GETSOCKOPT: (EXHAUSTED, ("controller", "gate")),
    Call.GETPEERNAME: (NAMES, FRONTS),
    Call.GETSOCKNAME: (NAMES, FRONTS),
    Call.SHUTDOWN: ((errno.ENOTCONN,), ("gate",)),
    Call.IOCTL: ((errno.ENOMEM,), FRONTS),
    Call.RECEIVE: (EXHAUSTED, FRONTS),
}


@pytest.mark.parametrize(
    ("name", "call"),
    [(name, call) for call, (_, fronts) in SOUND.items() for name in fronts],
    ids=lambda value: getattr(value, "name", value),
)
def test_clients_are_answered_or_freed_where_a_call_fails(tmp_path: Path, name: str, call: Call) -> None:
    async def test() -> None:
        assert await serves_while_calls_fail(name, call, SOUND[call][0], tmp_path / "front") == {}

    play(test())


async def accepts_again(name: str, error: int, folder: Path) -> Wrong:
    """The listening socket cannot be added to epoll again after a pause."""
    wrong: Wrong = {}
    where = f"{name} ACCEPT ENFILE, then EPOLL_CTL {errno_name(error)}"
    async with front(name, folder) as running:
        running.faults.set(Call.ACCEPT, errno.ENFILE, times=1)
        running.faults.set(Call.EPOLL_CTL, error, times=1)
        if (met := await ask(running, name)) not in ("answered", "freed"):
            wrong[where] = met
        if (met := await ask(running, name)) != "answered":
            wrong[where, "next client"] = met
        if found := await ended_in_order(running):
            wrong[where, "end"] = found
    return wrong


async def answers_where_writing_waits(waits: int, folder: Path) -> Wrong:
    """A socket cannot take an answer for a moment, and epoll_ctl fails when waiting for it."""
    wrong: Wrong = {}
    where = f"SEND EAGAIN {waits} times, EPOLL_CTL ENOMEM"
    async with front("controller", folder) as running:
        reader, writer = await running.connect()
        writer.write(PING)
        assert await reader.readexactly(len(PONG)) == PONG
        running.faults.set(Call.SEND, errno.EAGAIN, times=waits)
        running.faults.set(Call.EPOLL_CTL, errno.ENOMEM, times=1)
        writer.write(PING)
        try:
            async with asyncio.timeout(DUE_S):
                await reader.readexactly(len(PONG))
        except (EOFError, OSError) as failure:
            wrong[where] = repr(failure)
        writer.close()
        if found := await ended_in_order(running):
            wrong[where, "end"] = found
    return wrong


async def answers_all_that_was_read(error: int, folder: Path) -> Wrong:
    """A client sends more than is read at once, and epoll_ctl fails when reading is resumed."""
    where, expected = f"a flood of requests, EPOLL_CTL {errno_name(error)}", len(PONG) * FLOOD
    async with front("controller", folder) as running:
        reader, writer = await running.connect()
        writer.write(PING)
        got = len(await reader.readexactly(len(PONG)))
        running.faults.set(Call.EPOLL_CTL, error, times=1)
        writer.write(PING * (FLOOD - 1))
        try:
            async with asyncio.timeout(FLOOD_S):
                while got < expected and (piece := await reader.read(1 << 20)):
                    got += len(piece)
        except OSError:
            pass
        read = running.faults.bytes_read()
        writer.transport.abort()
        found = await ended_in_order(running)
    wrong: Wrong = {} if read == got else {where: f"{read // len(PING)} read, {got // len(PONG)} answered"}
    return wrong | ({(where, "end"): found} if found else {})


async def makes_room(error: int, folder: Path) -> Wrong:
    """Idle clients use all connections, and poll fails when asked whether another client is queued."""
    folder.mkdir()
    where, wrong = f"no room, POLL {errno_name(error)}", {}
    async with controller(folder, limits={"sockets": 128}) as running:
        idle = [await running.connect() for _ in range(80)]
        for reader, writer in idle:
            writer.write(PING)
            await reader.readexactly(len(PONG))
        await asyncio.sleep(0.2)  # from then on they may be evicted
        running.faults.set(Call.POLL, error, times=IN_A_ROW)
        if (met := await ask(running, "controller")) != "answered":
            wrong[where] = met
        if not running.faults.injected(Call.POLL):
            wrong[where, "injected"] = 0
        running.faults.clear(Call.POLL)
        for _, writer in idle:
            writer.close()
        if found := await ended_in_order(running):
            wrong[where, "end"] = found
    return wrong


async def starts(name: str, call: Call, error: int, folder: Path) -> Wrong:
    """Starts a process while a call fails a few times."""
    where = f"start of {name}, {call.name} {errno_name(error)}"
    try:
        async with front(name, folder, (call, error)) as running:
            failed, met = running.faults.injected(call), await ask(running, name)
            found = await ended_in_order(running)
    except AssertionError as failure:
        return {where: str(failure)[-300:]}
    return {} if failed and met == "answered" and not found else {where: (failed, met, found)}


STARTS = (
    (Call.EPOLL_CREATE, (errno.EMFILE, errno.ENOMEM)),
    (Call.EPOLL_CTL, (errno.ENOMEM,)),
    (Call.SOCKETPAIR, (errno.ENFILE, errno.ENOBUFS)),
    (Call.SETSOCKOPT, EXHAUSTED),
    (Call.IOCTL, (errno.ENOMEM,)),
    (Call.STAT, (errno.ENOMEM,)),
    (Call.READ_FILE, (errno.EIO, errno.EINTR)),
    (Call.RANDOM, (errno.EINTR,)),
)


@pytest.mark.parametrize("name", FRONTS)
def test_a_start_goes_on_where_setting_up_fails_for_a_moment(tmp_path: Path, name: str) -> None:
    async def test() -> None:
        wrong: Wrong = {}
        if name == "controller":
            wrong |= await starts(name, Call.LISTEN, errno.EADDRINUSE, tmp_path / "listen")
        for call, errors in STARTS:
            for error in errors:
                wrong |= await starts(name, call, error, tmp_path / f"{call.name}-{error}")
        assert wrong == {}

    play(test(), 60)


def test_clients_are_answered_or_freed_where_epoll_ctl_close_or_send_fails(tmp_path: Path) -> None:
    """After an error of epoll_ctl a connection was never read, or a listening socket never watched again. An
    error of close logged a traceback and set the exit status. An answer that met ENOBUFS was dropped. A gate
    or an xDS controller ended at its start if bind or listen failed.

    These cases share one test, since each was known to fail when the test was written.
    """

    async def test() -> None:
        wrong: Wrong = {}
        for name in FRONTS:
            for call, errors in (
                (Call.EPOLL_CTL, (errno.ENOMEM, errno.ENOSPC)),
                (Call.CLOSE, (errno.EINTR, errno.EIO)),
                (Call.SEND, EXHAUSTED),
            ):
                wrong |= await serves_while_calls_fail(name, call, errors, tmp_path / f"{name}-{call.name}")
            for error in (errno.ENOMEM, errno.ENOSPC):
                wrong |= await accepts_again(name, error, tmp_path / f"{name}-accept-{error}")
        for waits in (1, 30):
            wrong |= await answers_where_writing_waits(waits, tmp_path / f"writing-{waits}")
        for error in (errno.ENOMEM, errno.ENOSPC):
            wrong |= await answers_all_that_was_read(error, tmp_path / f"flood-{error}")
            wrong |= await works_on(Call.EPOLL_CTL, error, tmp_path / f"work-{error}")
        wrong |= await makes_room(errno.ENOMEM, tmp_path / "room")
        wrong |= await works_on(Call.CLOSE, errno.EIO, tmp_path / "work-close")
        for name in FRONTS:
            wrong |= await starts(name, Call.EPOLL_CTL, errno.ENOSPC, tmp_path / f"{name}-start")
        for name, call in product(("gate", "xds"), (Call.LISTEN, Call.BIND)):
            for error in (errno.EADDRINUSE, errno.ENOBUFS):
                wrong |= await starts(name, call, error, tmp_path / f"{name}-{call.name}-{error}")
        assert not wrong, "\n".join(f"{case}: {found}" for case, found in wrong.items())

    play(test(), 150)


class Server(LoopbackServer):
    """A server that answers every probe, and counts them."""

    def __init__(self) -> None:
        super().__init__(self.answer)
        self.probes = 0

    async def answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        state = h11.Connection(h11.SERVER)
        while await next_request(reader, state) is not None:
            self.probes += 1
            writer.write(response_bytes(state, 200, b""))
            state.start_next_cycle()


async def drop_streams(running: Controller, world: World, roll: Roll, until: Callable[[], bool]) -> None:
    """Ends the event stream and the watch repeatedly, with signals between, until `until()` is true."""
    async with asyncio.timeout(20):
        while not until():
            world.reset()
            roll.reset()
            await running.counters()
            await asyncio.sleep(0.1)


async def works_on(call: Call, error: int, folder: Path) -> Wrong:
    """What is wrong with signals, relay calls, the event stream, the watch, probes and clients after a call
    has failed one time in twenty, and then many times in a row."""
    folder.mkdir()
    wrong: Wrong = {}
    world, roll = World(1, SLICES, PROXIES), Roll()
    async with Server() as server:
        members = [{**MEMBER, "id": f"s-{number}", "host_port": server.address} for number in range(3)]
        roll.members = {str(member["id"]): member for member in members}
        settings = {**RULE_SETTINGS, "limits": {"probes": True}}
        configuration = {"settings": settings, "members": members, "relay": world, "registry": roll}
        async with controller(folder, **configuration) as running:
            faults = running.faults
            await running.wait_for_log("watch open")
            for gone, times, thousandths in (("s-0", -1, ONE_IN_TWENTY), ("s-1", IN_A_ROW, ALWAYS)):
                where, after = f"work, {call.name} {errno_name(error)} {times}", len(running.lines)
                enough = faults.injected(call) + (2 if times < 0 else 10)
                faults.set(call, error, times=times, thousandths=thousandths)
                await drop_streams(running, world, roll, lambda least=enough: faults.injected(call) >= least)
                faults.clear(call)
                try:
                    await all_is_done(running, world, roll, gone, after)
                    assert server.probes
                except (AssertionError, TimeoutError) as failure:
                    wrong[where] = repr(failure)[:300]
                if (met := await ask(running, "controller")) != "answered":
                    wrong[where, "client"] = met
            if found := await ended_in_order(running):
                wrong["work", call.name, errno_name(error), "end"] = found
    return wrong


async def all_is_done(running: Controller, world: World, roll: Roll, gone: str, after: int) -> None:
    """Stream and watch are reopened, a server that leaves is replaced, and the configuration is reloaded."""
    await running.wait_for_log("event stream open", after, limit_s=6)
    await running.wait_for_log("watch open", after, limit_s=6)
    calls = len(world.calls)
    world.leave(0)
    roll.put(gone, "Gone")
    await comes_right(world, roll)
    assert len(world.calls) > calls
    running.signal(signal.SIGHUP)
    await running.wait_for_log("configuration reloaded", after, limit_s=2)


def test_the_controller_works_on_after_sockets_could_not_be_set_up(tmp_path: Path) -> None:
    async def test() -> None:
        assert await works_on(Call.IOCTL, errno.ENOMEM, tmp_path / "work") == {}

    play(test(), 60)


def test_clients_that_have_closed_their_sending_side_are_answered(tmp_path: Path) -> None:
    async def test() -> None:
        async with controller(tmp_path) as running:
            got = []
            for said, pause_s in ((PING, 0.0), (PING * 3, 0.0), (PING, 0.1), (PING * 50, 0.01)):
                reader, writer = await running.connect()
                await asyncio.sleep(pause_s)
                writer.write(said)
                writer.write_eof()
                async with asyncio.timeout(DUE_S):
                    got.append(await reader.read() == PONG * (len(said) // len(PING)))
                writer.close()
            assert all(got), got

    play(test())


def test_requests_around_the_signal_to_end_are_answered(tmp_path: Path) -> None:
    """Requests on open connections, and on new ones made before the process handled the signal."""

    async def test() -> None:
        wrong = {}
        for pause_s in (0.0, 0.001, 0.01):
            folder = tmp_path / str(pause_s)
            folder.mkdir()
            async with controller(folder) as running:
                kept = [await running.connect() for _ in range(20)]
                await asyncio.sleep(0.1)
                fresh = [await running.connect() for _ in range(10)]
                for _, writer in kept[:10] + fresh[:5]:
                    writer.write(PING)
                running.signal(signal.SIGTERM)
                await asyncio.sleep(pause_s)
                for _, writer in kept[10:] + fresh[5:]:
                    writer.write(PING)
                for number, (reader, writer) in enumerate(kept + fresh):
                    try:
                        async with asyncio.timeout(DUE_S):
                            got = await reader.readexactly(len(PONG))
                    except (EOFError, OSError) as failure:
                        got = repr(failure).encode()
                    if got != PONG:
                        wrong[pause_s, number] = got
                    writer.close()
                assert await running.wait_for_exit() == 0
        assert not wrong

    play(test())
