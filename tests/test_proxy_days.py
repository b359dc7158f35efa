"""Short runs of a real controller and proxies with a stream each; `proxy_days.py` has the long run."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

import pytest
from proxy_days import PROXIES, UNSERVED_LIMIT_S, ProxyDay, Trouble, play_day

from lapispass.rules.checker import Bounds, Checker
from lapispass.standins.nodes import clock_us
from lapispass.standins.proxy_streams import Pace, Proxy, ProxyStreams, Row

LIMIT_S = 60  # for a run of 24 s
PLANTED = 0.2  # time factor of the runs in which the checker has to find a fault


@pytest.mark.time_limit(LIMIT_S)
@pytest.mark.parametrize(
    ("seed", "trouble"),
    [
        (120, Trouble(rejoins_per_s=9.0, replaced_s=0.7)),
        (125, Trouble(rejoins_per_s=9.0, restarts=0.5, replaced_s=0.7)),
    ],
    ids=["rejoin", "rejoin-and-restart"],
)
async def test_a_slice_keeps_a_line_while_its_owners_drain_and_proxies_join_all_day(
    seed: int, trouble: Trouble, tmp_path: Path
) -> None:
    # Guards against a handover whose last step waits for every proxy that joins while the slice's owner is
    # withdrawn. While proxies keep joining, the slice would stay unserved.
    verdict = await play_day(seed, tmp_path, trouble)
    assert not verdict.breaches, str(verdict)
    assert verdict.moves > 20, str(verdict)


class LosesOwners(ProxyStreams):
    """Loses all new owners of the first slice that gets one: they reach neither the store nor proxies."""

    lost_slice: str = ""

    def carry_out(self, order: list[str], client: str = "") -> None:
        if order[0] == "SET" and self.lost_slice in ("", order[1]):
            self.lost_slice = order[1]
            return
        super().carry_out(order, client)


class LosesOwnersAtOneProxy(ProxyStreams):
    """Loses every new owner at one proxy, whose stream stays connected."""

    def apply(self, proxy: Proxy, order: list[str], made: Row | None) -> None:
        if order[0] != "SET" or proxy is not self.proxy_states[7]:
            super().apply(proxy, order, made)


@pytest.mark.time_limit(LIMIT_S)
@pytest.mark.parametrize(("kind", "whose"), [(LosesOwners, PROXIES), (LosesOwnersAtOneProxy, 1)])
async def test_a_planted_loss_of_new_owners_is_seen_after_the_whole_time_of_rule_1(
    kind: type[ProxyStreams], whose: int, tmp_path: Path
) -> None:
    day = ProxyDay(1, PLANTED, Trouble())
    day.proxies.__class__ = kind
    verdict = await day.play(tmp_path)
    assert verdict.longest_gap_s > UNSERVED_LIMIT_S * PLANTED
    assert len({breach.split(": ")[1] for breach in verdict.breaches}) == whose, str(verdict)
    assert all(breach.startswith("rule 1") for breach in verdict.breaches), str(verdict)


def streams(bare_us: int = 8_000_000) -> ProxyStreams:
    """Two proxies and two slices, checked only by the test."""
    checker = Checker(Bounds(bare_us, 1_500_000), int)
    proxies = ProxyStreams(range(2), 2, Pace(1e6, 0.0, 0.01, 0.1, 2.0, "pay", 0.0), checker, random.Random(1))
    proxies.set_owners(["a", "b"])
    return proxies


def broken(proxies: ProxyStreams) -> set[tuple[str, str]]:
    return {(breach.rule, breach.subject) for breach in proxies.checker.verdict()}


async def order(proxies: ProxyStreams, *orders: str) -> None:
    """Sends one message and waits until it is applied."""
    for text in (*orders, "SYNC,1,1"):
        proxies.carry_out(text.split(","))
    await asyncio.sleep(0.05)


@pytest.mark.parametrize("orders", [("DEL,0",), ("OUT,a",), ("DEL,0", "OUT,b")])
async def test_the_judge_counts_from_the_last_line_that_is_not_shut_out(orders: tuple[str, ...]) -> None:
    proxies = streams(bare_us=100_000)
    await order(proxies, *orders)
    proxies.check({}, 0)
    assert not broken(proxies)
    await asyncio.sleep(0.15)
    proxies.check({}, 0)
    assert broken(proxies) == {("1", "p0"), ("1", "p1")}


async def test_the_judge_does_not_count_for_a_proxy_that_has_left_or_has_a_line_again() -> None:
    proxies = streams(bare_us=450_000)
    await order(proxies, "OUT,a")
    proxies.check({}, 0)
    proxies.leave(0)
    await asyncio.sleep(0.15)
    proxies.check({}, 0)
    await order(proxies, "IN,a")
    proxies.check({}, 0)
    await asyncio.sleep(0.4)
    proxies.check({}, 0)
    assert not broken(proxies)


async def test_a_withdrawal_stays_with_a_proxy_over_a_new_stream_but_not_over_a_restart() -> None:
    proxies = streams(bare_us=100_000)
    await order(proxies, "OUT,a")
    for number, restarted in ((0, False), (1, True)):
        proxies.leave(number)
        proxies.join(number, restarted)
    await asyncio.sleep(0.55)
    await order(proxies, "LIMIT,0,look,1.0,1")
    assert [proxy.withdrawn for proxy in proxies.proxy_states] == [{"a"}, set()]
    proxies.check({}, 0)
    await asyncio.sleep(0.15)
    proxies.check({}, 0)
    assert broken(proxies) == {("1", "p0")}


async def test_the_judge_sees_writes_at_a_former_owner_until_the_lease_is_out() -> None:
    proxies = streams()
    proxies.leave(0)
    await order(proxies, "SET,0,b,1.0")
    proxies.check({}, 0)
    assert broken(proxies) == {("2", "p1")}  # p0 continues with its tables
    proxies = streams()
    proxies.leave(0)
    await order(proxies, "SET,0,b,1.0")
    await asyncio.sleep(0.1)
    proxies.check({}, 0)
    assert not broken(proxies)


async def test_the_judge_sees_a_drain_that_is_not_kept() -> None:
    proxies = streams()
    proxies.check({"a": clock_us() - 1_600_000}, 0)
    assert broken(proxies) == {("3", "p0"), ("3", "p1")}
    proxies = streams()
    await order(proxies, "OUT,a")
    proxies.check({"a": clock_us() - 1_600_000}, 0)
    assert not broken(proxies)
