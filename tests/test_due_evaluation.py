"""Evaluating only what has new events or is due gives the same orders as evaluating everything.

Both kinds of controller play the same simulated days.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import replace
from functools import partial

import pytest
from full_evaluation import FullEvaluation
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from lapispass import interface
from lapispass.controller import Controller
from lapispass.lab import fleet as days
from lapispass.policy.handovers import Handovers
from lapispass.policy.health import Backend
from lapispass.standins.fleet import World
from lapispass.standins.fleet_parties import MS, SECOND, Size, deployment

Turn = tuple[int, list[interface.Order]]


def recorded(kind: type[Controller], turns: list[list[Turn]], waits_for_timer: bool) -> type[Controller]:
    """A controller that records its orders, except those that set a timer.

    One that waits for its timer only takes a turn if there are events or its last timer is due.
    """

    class Recorded(kind):  # type: ignore[misc, valid-type]
        def __init__(self, config: interface.Deployment, seed: int, now: int) -> None:
            super().__init__(config, seed, now)
            self.orders_kept: list[Turn] = []
            self.next_timer_at = now
            turns.append(self.orders_kept)

        def turn(self, now: int, events: Sequence[interface.Event]) -> list[interface.Order]:
            if waits_for_timer and not events and now < self.next_timer_at:
                return []
            orders = super().turn(now, events)
            self.next_timer_at = min(
                (order.at_us for order in orders if isinstance(order, interface.SetTimer)),
                default=self.next_timer_at,
            )
            if orders_kept := [order for order in orders if not isinstance(order, interface.SetTimer)]:
                self.orders_kept.append((now, orders_kept))
            return orders

    return Recorded


def play_both(play) -> None:
    """Plays a day with both kinds; every order of every turn of every controller must be the same."""
    due: list[list[Turn]] = []
    full: list[list[Turn]] = []
    play(recorded(Controller, due, True))
    play(recorded(FullEvaluation, full, False))
    assert len(due) == len(full)
    for due_turns, full_turns in zip(due, full, strict=True):
        for due_turn, full_turn in zip(due_turns, full_turns, strict=False):
            assert due_turn == full_turn
        assert len(due_turns) == len(full_turns)
    assert sum(map(len, due)) > 8  # something happened on that day


@pytest.mark.parametrize("seed", range(4))
def test_drawn_days(seed: int) -> None:
    play_both(lambda kind: days.play(seed, start=kind))


@pytest.mark.parametrize("fault", days.FAULTS, ids=lambda fault: fault.__name__)
def test_each_fault_alone(fault: days.Fault) -> None:
    size = Size(controllers=2, proxies=6, servers=12)
    play_both(lambda kind: days.play(40, size, start=kind, faults=(fault,), seconds=26))


def narrow_channel(size: Size) -> interface.Deployment:
    """Settings with a channel of little capacity and few messages; reports contain load."""
    return replace(
        deployment(size),
        lines_per_s=900.0,
        queue_limit_lines=1800.0,
        max_messages=24,
        load_fields=("busy", "waiting"),
        must_leave_gone=False,
        lease_us=1200 * MS,
    )


@pytest.mark.parametrize("faults", [(days.roll, days.streams), (days.zone, days.failing), (days.together,)])
def test_days_with_a_narrow_channel_and_a_registry_that_may_be_wrong(faults: Sequence[days.Fault]) -> None:
    size = Size(controllers=2, proxies=8, servers=14)
    play_both(
        lambda kind: days.play(41, size, start=kind, faults=faults, settings=narrow_channel(size), seconds=26)
    )


@settings(max_examples=6, deadline=None, derandomize=True, phases=[Phase.explicit, Phase.generate])
@given(
    seed=st.integers(0, 10_000),
    faults=st.lists(st.sampled_from(days.FAULTS), min_size=1, max_size=3, unique=True),
    servers=st.integers(4, 14),
    slices_each=st.integers(1, 4),
    report_s=st.sampled_from([1, 2, 3]),
)
def test_draws(seed: int, faults: list[days.Fault], servers: int, slices_each: int, report_s: int) -> None:
    size = Size(2, 5, servers, slices_each)
    config = replace(deployment(size), report_interval_us=report_s * SECOND)
    play_both(lambda kind: days.play(seed, size, start=kind, faults=faults, settings=config, seconds=22))


class Script:
    """Random events for a single controller: load, queues, registry updates and acknowledgements."""

    def __init__(self, kind: type[Controller], seed: int, config: interface.Deployment) -> None:
        self.random_source, self.now, self.config = random.Random(seed), 100 * SECOND, config
        self.controller = kind(config, seed, self.now)
        self.delayed: list[tuple[int, interface.Event]] = []
        self.servers = [f"s{number}" for number in range(16)]
        entries = tuple(
            interface.RegistryEntry(name, self.zone(name), "ready", 1.0, None) for name in self.servers
        )
        self.events: list[interface.Event] = [interface.RegistryUpdate("remembered", entries)]
        self.events += [interface.ProxyJoined(number, True, "east", 1.0) for number in range(config.proxies)]
        for number in range(config.slices):
            self.events += [
                interface.SliceGrant(number, True),
                interface.StoredOwner(number, self.servers[number % 9]),
            ]
        self.owners = {number: self.servers[number % 9] for number in range(config.slices)}

    def zone(self, name: str) -> str:
        return self.config.zones[int(name[1:]) % 2]

    def run(self, seconds: int) -> None:
        for _ in range(seconds * 20):
            self.now += 50 * MS
            self.draw_events()
            events = self.events + [event for at, event in self.delayed if at <= self.now]
            self.delayed = [(at, event) for at, event in self.delayed if at > self.now]
            self.events = []
            for order in self.controller.turn(self.now, events):
                self.apply_order(order)

    def apply_order(self, order: interface.Order) -> None:
        match order:
            case interface.Barrier(barrier):
                for number in range(self.config.proxies):
                    latency = self.random_source.randrange(20, 400) * MS
                    self.delayed.append((self.now + latency, interface.BarrierAck(number, barrier, latency)))
            case interface.Probe(name):
                reason = self.random_source.choice([0, 0, 0, 0, 3])
                self.delayed.append((self.now + 20 * MS, interface.ProbeResult(name, reason, MS, None)))
            case interface.SetTableEntry(slice_, name):
                self.owners[slice_] = str(name)
            case interface.WatchRegistry():
                self.delayed.append((self.now + 100 * MS, interface.RegistryUpdate("changes", ())))

    def draw_events(self) -> None:
        """Draws reports about some owners, and sometimes a registry update, a proxy that rejoins, or load."""
        random_source = self.random_source
        for slice_ in random_source.sample(range(self.config.slices), 3):
            requests, name = random_source.choice([0, 3, 30, 90]), self.owners[slice_]
            failed, latency = (
                random_source.randrange(requests + 1) // 4,
                random_source.choice([100, 900, 2500]) * MS,
            )
            load = tuple(random_source.choice([None, 0.2, 0.95, 4.0]) for _ in self.config.load_fields)
            self.events.append(interface.ServerReport(name, "east", failed, requests, latency, SECOND, load))
            self.events.append(
                interface.RequestReport(slice_, random_source.choice(["look", "pay"]), requests, 0, SECOND)
            )
        if random_source.random() < 0.02:
            name, state = (
                random_source.choice(self.servers),
                random_source.choice(["ready", "draining", "gone"]),
            )
            started_us = self.now if state == "ready" and random_source.random() < 0.6 else None
            entry = interface.RegistryEntry(
                name, self.zone(name), state, random_source.choice([1.0, 2.0]), started_us
            )
            self.events.append(interface.RegistryUpdate("changes", (entry,)))
        if random_source.random() < 0.02:
            number = random_source.randrange(self.config.proxies)
            self.events += [interface.ProxyLeft(number), interface.ProxyJoined(number, False, "east", 1.0)]
        if random_source.random() < 0.01:
            self.events.append(
                interface.HeldConnectionLoad(
                    random_source.choice(self.servers), random_source.choice([0.0, 40.0])
                )
            )
        if random_source.random() < 0.01:
            self.events.append(interface.RegistryUpdate("lost", ()))


@pytest.mark.parametrize("seed", range(8))
def test_overload_relief_and_queues(seed: int) -> None:
    size = Size(1, 6, 16, 1)
    fields = (("busy", "waiting"), ("busy",), ())[seed % 3]
    config = replace(deployment(size), slices=24, load_fields=fields, must_leave_gone=seed % 2 == 0)
    if seed % 4 == 3:
        config = replace(config, slices=40, max_messages=30, lines_per_s=1500.0, queue_limit_lines=3000.0)
    play_both(lambda kind: Script(kind, seed, config).run(40))


@pytest.mark.parametrize("seed", range(3))
def test_without_slices(seed: int) -> None:
    config = replace(deployment(Size(1, 6, 16, 1)), slices=0)

    class WithoutSlices(Script):
        def draw_events(self) -> None:
            for name in self.random_source.sample(self.servers, 2):
                self.events.append(interface.ServerReport(name, "east", 1, 30, 100 * MS, SECOND, None))
            if self.random_source.random() < 0.05:
                self.config = config
                name, state = (
                    self.random_source.choice(self.servers),
                    self.random_source.choice(["ready", "draining"]),
                )
                entry = interface.RegistryEntry(name, self.zone(name), state, 1.0, self.now)
                self.events.append(interface.RegistryUpdate("changes", (entry,)))

    play_both(lambda kind: WithoutSlices(kind, seed, config).run(30))


@pytest.mark.parametrize("skipped", ["probe", "silence", "warming", "slices"])
def test_a_due_time_that_is_forgotten_is_found(skipped: str, monkeypatch) -> None:
    """The comparison can fail: if any kind of due time is left out, the orders differ."""
    if skipped == "slices":
        read_rates = Handovers.read_rates

        def forgets_slices(handovers: Handovers) -> None:
            read_rates(handovers)
            for number in handovers.slice_index.slices:
                handovers.slice_index.agenda.forget(number)

        monkeypatch.setattr(Handovers, "read_rates", forgets_slices)
    else:
        evaluate = Backend.evaluate

        def evaluates_late(server: Backend) -> int:
            at = evaluate(server)
            match skipped:
                case "probe" if server.state in ("unproven", "unhealthy"):
                    return at + 3 * SECOND
                case "silence" if server.requests_per_s and server.health == "healthy":
                    return at + 5 * SECOND
                case "warming" if not server.warm:
                    return at + 5 * SECOND
            return at

        monkeypatch.setattr(Backend, "evaluate", evaluates_late)

    def play(kind: type[Controller]) -> None:
        for seed, faults in ((1, (days.zone, days.roll)), (2, (silent,))):
            days.play(seed, start=kind, faults=faults, seconds=20)

    with pytest.raises(AssertionError):
        play_both(play)


def silent(world: World, tell) -> None:
    """A third of the servers accepts requests and answers none; the registry still lists them as ready."""
    affected = sorted(world.servers)[::3]
    for name in affected:
        world.at(4 * SECOND, partial(setattr, world.servers[name], "up", False))
        world.at(14 * SECOND, partial(setattr, world.servers[name], "up", True))
