"""A look at what has news or is due orders the same as a look at everything, on the same days."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import replace
from functools import partial

import pytest
from full_look import FullLook
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from lapispass import interface
from lapispass.controller import Controller
from lapispass.lab import fleet as days
from lapispass.policy.handovers import Ledger
from lapispass.policy.health import Backend
from lapispass.standins.fleet import World
from lapispass.standins.fleet_parties import MS, SECOND, Size, deployment

Turn = tuple[int, list[interface.Order]]


def recorded(kind: type[Controller], turns: list[list[Turn]], sleeps: bool) -> type[Controller]:
    """A controller whose orders are kept, but for those that ask for a wake-up.

    One that sleeps takes a turn where there is news or the last wake-up that it asked for has come.
    """

    class Recorded(kind):  # type: ignore[misc, valid-type]
        def __init__(self, told: interface.Deployment, seed: int, now: int) -> None:
            super().__init__(told, seed, now)
            self.kept: list[Turn] = []
            self.sleeps_until = now
            turns.append(self.kept)

        def turn(self, now: int, events: Sequence[interface.Event]) -> list[interface.Order]:
            if sleeps and not events and now < self.sleeps_until:
                return []
            orders = super().turn(now, events)
            self.sleeps_until = min(
                (order.at_us for order in orders if isinstance(order, interface.SetTimer)),
                default=self.sleeps_until,
            )
            if kept := [order for order in orders if not isinstance(order, interface.SetTimer)]:
                self.kept.append((now, kept))
            return orders

    return Recorded


def both(play) -> None:
    """Plays with either look; every order of every turn of every controller has to be the same."""
    due: list[list[Turn]] = []
    full: list[list[Turn]] = []
    play(recorded(Controller, due, True))
    play(recorded(FullLook, full, False))
    assert len(due) == len(full)
    for mine, theirs in zip(due, full, strict=True):
        for one, other in zip(mine, theirs, strict=False):
            assert one == other
        assert len(mine) == len(theirs)
    assert sum(map(len, due)) > 8  # it was no empty day


@pytest.mark.parametrize("seed", range(4))
def test_drawn_days(seed: int) -> None:
    both(lambda kind: days.play(seed, start=kind))


@pytest.mark.parametrize("fault", days.FAULTS, ids=lambda fault: fault.__name__)
def test_each_fault_alone(fault: days.Fault) -> None:
    size = Size(controllers=2, proxies=6, servers=12)
    both(lambda kind: days.play(40, size, start=kind, faults=(fault,), seconds=26))


def narrow(size: Size) -> interface.Deployment:
    """A channel that is short of room, with few messages; reports tell of load."""
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
def test_days_with_a_narrow_channel_and_a_list_that_may_be_wrong(faults: Sequence[days.Fault]) -> None:
    size = Size(controllers=2, proxies=8, servers=14)
    both(lambda kind: days.play(41, size, start=kind, faults=faults, settings=narrow(size), seconds=26))


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
    told = replace(deployment(size), report_interval_us=report_s * SECOND)
    both(lambda kind: days.play(seed, size, start=kind, faults=faults, settings=told, seconds=22))


class Script:
    """Events drawn at random for one controller on its own: load, queues, relief, lists and answers."""

    def __init__(self, kind: type[Controller], seed: int, told: interface.Deployment) -> None:
        self.chance, self.now, self.told = random.Random(seed), 100 * SECOND, told
        self.controller = kind(told, seed, self.now)
        self.later: list[tuple[int, interface.Event]] = []
        self.servers = [f"s{number}" for number in range(16)]
        listed = tuple(
            interface.RegistryEntry(name, self.zone(name), "ready", 1.0, None) for name in self.servers
        )
        self.news: list[interface.Event] = [interface.RegistryUpdate("remembered", listed)]
        self.news += [interface.ProxyJoined(number, True, "east", 1.0) for number in range(told.proxies)]
        for number in range(told.slices):
            self.news += [
                interface.SliceGrant(number, True),
                interface.StoredOwner(number, self.servers[number % 9]),
            ]
        self.owners = {number: self.servers[number % 9] for number in range(told.slices)}

    def zone(self, name: str) -> str:
        return self.told.zones[int(name[1:]) % 2]

    def run(self, seconds: int) -> None:
        for _ in range(seconds * 20):
            self.now += 50 * MS
            self.draw()
            news = self.news + [event for at, event in self.later if at <= self.now]
            self.later = [(at, event) for at, event in self.later if at > self.now]
            self.news = []
            for order in self.controller.turn(self.now, news):
                self.follow(order)

    def follow(self, order: interface.Order) -> None:
        match order:
            case interface.Barrier(mark):
                for number in range(self.told.proxies):
                    took = self.chance.randrange(20, 400) * MS
                    self.later.append((self.now + took, interface.BarrierAck(number, mark, took)))
            case interface.Probe(name):
                reason = self.chance.choice([0, 0, 0, 0, 3])
                self.later.append((self.now + 20 * MS, interface.ProbeResult(name, reason, MS, None)))
            case interface.SetTableEntry(slice_, name):
                self.owners[slice_] = str(name)
            case interface.WatchRegistry():
                self.later.append((self.now + 100 * MS, interface.RegistryUpdate("changes", ())))

    def draw(self) -> None:
        """Reports of some owners, late or not; now and then a change of the list or of a stream."""
        chance = self.chance
        for slice_ in chance.sample(range(self.told.slices), 3):
            visits, name = chance.choice([0, 3, 30, 90]), self.owners[slice_]
            lost, took = chance.randrange(visits + 1) // 4, chance.choice([100, 900, 2500]) * MS
            load = tuple(chance.choice([None, 0.2, 0.95, 4.0]) for _ in self.told.load_fields)
            self.news.append(interface.ServerReport(name, "east", lost, visits, took, SECOND, load))
            self.news.append(
                interface.RequestReport(slice_, chance.choice(["look", "pay"]), visits, 0, SECOND)
            )
        if chance.random() < 0.02:
            name, state = chance.choice(self.servers), chance.choice(["ready", "draining", "gone"])
            born = self.now if state == "ready" and chance.random() < 0.6 else None
            entry = interface.RegistryEntry(name, self.zone(name), state, chance.choice([1.0, 2.0]), born)
            self.news.append(interface.RegistryUpdate("changes", (entry,)))
        if chance.random() < 0.02:
            number = chance.randrange(self.told.proxies)
            self.news += [interface.ProxyLeft(number), interface.ProxyJoined(number, False, "east", 1.0)]
        if chance.random() < 0.01:
            self.news.append(
                interface.HeldConnectionLoad(chance.choice(self.servers), chance.choice([0.0, 40.0]))
            )
        if chance.random() < 0.01:
            self.news.append(interface.RegistryUpdate("lost", ()))


@pytest.mark.parametrize("seed", range(8))
def test_overload_relief_and_queues(seed: int) -> None:
    size = Size(1, 6, 16, 1)
    fields = (("busy", "waiting"), ("busy",), ())[seed % 3]
    told = replace(deployment(size), slices=24, load_fields=fields, must_leave_gone=seed % 2 == 0)
    if seed % 4 == 3:
        told = replace(told, slices=40, max_messages=30, lines_per_s=1500.0, queue_limit_lines=3000.0)
    both(lambda kind: Script(kind, seed, told).run(40))


@pytest.mark.parametrize("seed", range(3))
def test_without_slices(seed: int) -> None:
    told = replace(deployment(Size(1, 6, 16, 1)), slices=0)

    class Bound(Script):
        def draw(self) -> None:
            for name in self.chance.sample(self.servers, 2):
                self.news.append(interface.ServerReport(name, "east", 1, 30, 100 * MS, SECOND, None))
            if self.chance.random() < 0.05:
                self.told = told
                name, state = self.chance.choice(self.servers), self.chance.choice(["ready", "draining"])
                entry = interface.RegistryEntry(name, self.zone(name), state, 1.0, self.now)
                self.news.append(interface.RegistryUpdate("changes", (entry,)))

    both(lambda kind: Bound(kind, seed, told).run(30))


@pytest.mark.parametrize("skipped", ["probe", "silence", "warming", "slices"])
def test_a_due_time_that_is_forgotten_is_found(skipped: str, monkeypatch) -> None:
    """The comparison can fail: each kind of due time, left out, shows as another order."""
    if skipped == "slices":
        read_rates = Ledger.read_rates

        def late(ledger: Ledger) -> None:
            read_rates(ledger)
            for number in ledger.holdings.slices:
                ledger.holdings.agenda.forget(number)

        monkeypatch.setattr(Ledger, "read_rates", late)
    else:
        evaluate = Backend.evaluate

        def forgetful(server: Backend) -> int:
            at = evaluate(server)
            match skipped:
                case "probe" if server.state in ("unproven", "ill"):
                    return at + 3 * SECOND
                case "silence" if server.rate and server.mode == "well":
                    return at + 5 * SECOND
                case "warming" if not server.warm:
                    return at + 5 * SECOND
            return at

        monkeypatch.setattr(Backend, "evaluate", forgetful)

    def play(kind: type[Controller]) -> None:
        for seed, faults in ((1, (days.zone, days.roll)), (2, (silent,))):
            days.play(seed, start=kind, faults=faults, seconds=20)

    with pytest.raises(AssertionError):
        both(play)


def silent(world: World, tell) -> None:
    """A third of the servers takes visits and answers none; the list goes on calling them ready."""
    struck = sorted(world.servers)[::3]
    for name in struck:
        world.at(4 * SECOND, partial(setattr, world.servers[name], "up", False))
        world.at(14 * SECOND, partial(setattr, world.servers[name], "up", True))
