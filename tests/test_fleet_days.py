"""Simulated days of a whole fleet: the controllers keep the rules, and the checker finds planted faults."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace
from functools import partial

import pytest
from typer.testing import CliRunner

from lapispass import interface
from lapispass.cli.main import app
from lapispass.core.messages import SendBudget
from lapispass.core.withdrawn import WithdrawnServers
from lapispass.lab import fleet as days
from lapispass.policy.channel import Channel
from lapispass.standins.fleet import World
from lapispass.standins.fleet_parties import MS, SECOND, Size, deployment

Tell = Callable[[str], None]


@pytest.mark.parametrize("seed", range(6))
def test_drawn_days_break_no_rule(seed: int) -> None:
    verdict = days.play(seed)
    assert not verdict.breaches, "\n".join([*verdict.happened, *verdict.breaches[:5]])
    assert verdict.requests > 10_000 and verdict.served > 0.6 * verdict.requests


@pytest.mark.parametrize(
    ("seed", "faults"),
    [(10, (days.roll, days.restarts, days.streams)), (7, (days.zone, days.together, days.answers))],
)
def test_faults_that_broke_rules_on_the_full_fleet_break_none_together(
    seed: int, faults: Sequence[days.Fault]
) -> None:
    verdict = days.play(seed, faults=faults)
    assert not verdict.breaches, verdict.breaches[0]
    assert verdict.handovers > 20


def test_the_same_seed_plays_the_same_day() -> None:
    assert days.play(3, seconds=8) == days.play(3, seconds=8)


@pytest.mark.parametrize("seed", [5, 8])
def test_proxies_keep_a_line_while_others_join_and_servers_are_replaced_all_day(seed: int) -> None:
    # Guards against a handover whose last step waits for every proxy that joins while the slice's owner is
    # withdrawn. While proxies keep joining, the slice would stay unserved.
    verdict = days.play(seed, Size(2, 40, 20, 2), faults=(days.release, days.joins))
    assert not verdict.breaches, verdict.breaches[0]
    assert verdict.handovers > 60


def test_a_server_that_is_back_after_a_restart_of_the_controller_is_let_in_by_all() -> None:
    # A restarted controller may learn of a server only after the start. It must still end a withdrawal that
    # the earlier process ordered.
    verdict = days.play(2, Size(2, 16, 20, 3), faults=(days.release, days.restarts, days.zone))
    assert not verdict.breaches, verdict.breaches[0]


@pytest.mark.parametrize("fault", [fault for fault in days.FAULTS if fault is not days.release])
def test_each_fault_changes_what_some_party_sees(fault: days.Fault) -> None:
    # A fault without effect would only suspend checks.
    size = Size(2, 8, 10, 2)
    alone = days.play(2, size, seconds=24, faults=(days.release,))
    assert days.play(2, size, seconds=24, faults=(days.release, fault)).seen != alone.seen
    assert days.play(2, size, seconds=24, faults=(days.release,)).seen == alone.seen


def test_a_release_changes_what_some_party_sees() -> None:
    size = Size(2, 8, 10, 2)
    without_fault, with_release = (
        days.play(2, size, seconds=12, faults=(fault,)) for fault in (nothing, days.release)
    )
    assert without_fault.seen != with_release.seen


def nothing(world: World, tell: Tell) -> None:
    """No fault."""


def stands(world: World, tell: Tell) -> None:
    """Stops all channels while slices move."""
    for host in world.hosts:
        world.at(4 * SECOND, partial(world.channel, host, 0.0, 5))


def returns(world: World, tell: Tell) -> None:
    """Loses a zone, which is reported and returns. Then all other servers drain, so that the slices move to
    the returned servers, whose withdrawal must have ended."""
    world.at(1 * SECOND, lambda: world.lose_zone("east", 3, 1.0))
    for name, server in world.servers.items():
        if server.zone == "west":
            world.at(9 * SECOND, partial(world.change, name, "draining"))


def narrow(size: Size, pace: float = 1000.0) -> interface.Deployment:
    return replace(deployment(size), lines_per_s=pace, queue_limit_lines=1600.0)


@pytest.mark.parametrize(
    ("planted", "rule", "faults", "seed", "seconds"),
    [
        ("owners lost", 1, (days.roll,), 1, 26),
        ("returns lost", 1, (returns,), 1, 47),
        ("write life forgotten", 2, (days.roll,), 1, 12),
        ("answers before applying", 2, (days.roll, days.zone, stands), 0, 16),
        ("stale list", 3, (days.roll,), 1, 6),
        ("withdrawals lost", 3, (days.roll, days.restarts), 1, 12),
        ("levels lost", 4, (days.roll, days.zone), 10, 26),
        ("cold servers called warm", 4, (days.roll, days.zone, days.together), 2, 26),
    ],
)
def test_the_checker_finds_what_is_planted(planted, rule, faults, seed, seconds) -> None:
    verdict = days.play(seed, planted=planted, faults=faults, seconds=seconds)
    assert any(f"rule {rule}:" in breach for breach in verdict.breaches)


def test_the_checker_finds_a_queue_called_endless() -> None:
    size = Size(2, 24, 30)
    verdict = days.play(
        1, size, "queue called endless", 14, settings=narrow(size), faults=(days.roll, days.zone, stands)
    )
    assert any("rule 5:" in breach for breach in verdict.breaches)


def test_the_checker_finds_a_channel_counted_at_its_pace_while_it_stands(monkeypatch) -> None:
    """As on the full fleet: answers were not looked at, and the model emptied a channel that stood."""
    send_budget = Channel.send_budget

    def blind(channel: Channel) -> SendBudget | None:
        channel.lines_delivered = channel.lines_written
        channel.pending_barriers.clear()
        return send_budget(channel)

    monkeypatch.setattr(Channel, "send_budget", blind)
    size = Size(2, 24, 30)
    found = [
        breach
        for seed in range(3)
        for breach in days.play(
            seed, size, seconds=14, settings=narrow(size, 4000.0), faults=(days.roll, days.zone, stands)
        ).breaches
    ]
    assert any("rule 5:" in breach for breach in found)


def test_the_checker_finds_a_withdrawal_forgotten_for_joiners(monkeypatch) -> None:
    monkeypatch.setattr(WithdrawnServers, "proxy_joined", lambda withdrawn_servers, note: None)
    found = [
        breach
        for seed in range(2)
        for breach in days.play(seed, faults=(days.roll, days.restarts, days.streams)).breaches
    ]
    assert any("rule 3:" in breach or "rule 1:" in breach for breach in found)


def test_the_checker_finds_orders_read_late(monkeypatch) -> None:
    """Slices were granted, and the controller read the events 5 s later, as seen on the full fleet."""
    give = World.grant_slice

    def late(world: World, number: int, host) -> None:
        before = len(host.events)
        give(world, number, host)
        unread, host.events[before:] = host.events[before:], []
        process = host.process
        world.at(5000 * MS, lambda: host.process is process and host.events.extend(unread))

    monkeypatch.setattr(World, "grant_slice", late)
    found = [
        breach for seed in range(2) for breach in days.play(seed, faults=(days.roll, days.restarts)).breaches
    ]
    assert any("rule 3:" in breach for breach in found)


def test_the_command_gives_one_verdict_and_its_status(monkeypatch) -> None:
    run = CliRunner().invoke
    kept = run(app, ["lab", "fleet", "--seeds", "1", "--seed", "3", "--servers", "8", "--proxies", "4"])
    assert kept.exit_code == 0 and kept.output.splitlines()[-1].startswith("rules kept: 0 of 1 seeds broken")
    monkeypatch.setattr(
        days,
        "days",
        lambda seeds, size: [
            days.Verdict(
                7, ["3.00 s: rule 2: p1: slice 4 is written at s1 and at s2"], ["a fault"], 9, 9, 1, 0, 0, 0.0
            )
        ],
    )
    broken = run(app, ["lab", "fleet", "--seeds", "1", "--controllers", "2"])
    assert broken.exit_code == 1 and "rule 2: p1: slice 4" in broken.output
    assert "lab fleet --seeds 1 --seed 7 --controllers 2" in broken.output
    for wrong in (["--seeds", "0"], ["--servers", "x"], ["--controllers", "0"]):
        assert run(app, ["lab", "fleet", *wrong]).exit_code == 2
