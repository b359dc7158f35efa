"""A temporary shortage on the local machine delays no answer and no withdrawal of a controller."""

from __future__ import annotations

import asyncio
import errno
import random
from contextlib import nullcontext
from pathlib import Path

from faulty_process import Call, Faults, controller, errno_name
from parties import play
from two_controllers import GRACE_AT_START_S, SETTINGS, SIZE, WITHDRAWN_US, Fleet, Proxies

PING, PONG = b"PING\r\n", b"PONG\r\n"
CLIENTS = 40  # that connect at the same time
OFTEN = 600  # failing calls, in thousandths
DUE_S = 0.5  # for an answer
SHORTAGES = (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
WITHOUT_PROBES = {
    **SETTINGS,
    "limits": {"probes": False},
}  # probes would use up failures meant for other calls
FAILED_CONNECTS = 32  # in a row, of relay and registry together
LOOK_S = 0.01


async def ask(address: tuple[str, int]) -> float:
    """The seconds until a new client has its answer."""
    loop = asyncio.get_running_loop()
    begun = loop.time()
    reader, writer = await asyncio.open_connection(*address)
    writer.write(PING)
    try:
        assert await reader.readexactly(len(PONG)) == PONG
        return loop.time() - begun
    finally:
        writer.close()


async def slowest_answers_s(folder: Path) -> dict[str, float]:
    """The longest wait of clients that connect while accept fails at times, by error."""
    slowest_s = {}
    async with controller(folder) as running:
        for error in SHORTAGES:
            running.faults.set(Call.ACCEPT, error, thousandths=OFTEN)
            waits = await asyncio.gather(*(ask(running.address) for _ in range(CLIENTS)))
            running.faults.clear(Call.ACCEPT)
            slowest_s[f"accept {errno_name(error)}"] = max(waits)
    return slowest_s


async def withdrawal_s(folder: Path) -> float:
    """The seconds until a draining server is withdrawn, after connects have failed since the start."""
    loop, faults, fleet = asyncio.get_running_loop(), Faults(folder / "faults"), Fleet(random.Random(1))
    proxies = Proxies(range(0, SIZE.slices, SIZE.real))
    await fleet.open()
    await proxies.start()
    proxies.set_owners(fleet.names())
    leaving = fleet.registry.members[proxies.owners[0]]
    try:
        faults.set(Call.CONNECT, errno.EADDRNOTAVAIL, times=FAILED_CONNECTS)
        async with controller(
            folder,
            faults=faults,
            settings=WITHOUT_PROBES,
            members=[member.as_json() for member in fleet.registry.members.values()],
            relay=nullcontext(proxies),  # type: ignore[arg-type]
            registry=nullcontext(fleet.registry),  # type: ignore[arg-type]
        ):
            await asyncio.sleep(GRACE_AT_START_S)
            leaving.phase = "Terminating"
            fleet.registry.change(leaving)
            begun = loop.time()
            while leaving.id not in proxies.ordered_out and leaving.id in proxies.owners.values():
                await asyncio.sleep(LOOK_S)
            return loop.time() - begun
    finally:
        proxies.stop()
        fleet.close()


def test_a_shortage_of_this_machine_makes_no_answer_and_no_withdrawal_late(tmp_path: Path) -> None:
    # Pauses must not double when only the local machine failed. Otherwise clients waited in the accept queue,
    # and a registry that was not queried did not report a draining server.
    async def test() -> None:
        took_s = await slowest_answers_s(tmp_path)
        due_s = dict.fromkeys(took_s, DUE_S)
        took_s["withdrawal"], due_s["withdrawal"] = await withdrawal_s(tmp_path), WITHDRAWN_US / 1e6
        late_s = {what: round(s, 3) for what, s in took_s.items() if s > due_s[what]}
        assert not late_s, took_s

    play(test(), 40)
