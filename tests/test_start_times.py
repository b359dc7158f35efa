"""A server that has just started is cold, however much the wall clocks of the machines differ."""

from __future__ import annotations

from fleet import SECOND, deployment

from lapispass import interface
from lapispass.controller import Controller

DEPLOYMENT = deployment(cold_us=12 * SECOND, cold_share=0.2, probes_allowed=False)
START = 1_000_000 * SECOND
HOUR = 3600 * SECOND


def entry(name: str, started_us: int | None) -> interface.RegistryEntry:
    return interface.RegistryEntry(name, "east", "ready", 1.0, started_us)


def reported_live(offset_us: int, earlier_us: int | None = None) -> tuple[Controller, int]:
    """A controller that watches the registry and learns of a start 2 s ago, by a clock that differs."""
    controller, now = Controller(DEPLOYMENT, 1, START), START
    controller.turn(now, [interface.RegistryUpdate("whole", (entry("s-1", None), entry("s-2", earlier_us)))])
    now += 60 * SECOND
    started = now - 2 * SECOND + offset_us
    controller.turn(now, [interface.RegistryUpdate("changes", (entry("s-2", started),))])
    return controller, now


def warmth(controller: Controller, now: int) -> float:
    controller.turn(now, [])
    return controller.backends["s-2"].warmth()


def test_a_start_that_is_reported_live_is_cold_and_warms_in_its_time() -> None:
    # Where the clock of the controller's machine was an hour ahead, each server that had just started counted
    # as warm. Where it was behind, servers stayed cold for an hour.
    wrong = {}
    for offset_us in (-HOUR, -20 * SECOND, 0, 20 * SECOND, HOUR):
        for earlier_us in (None, START - 2 * HOUR):
            controller, now = reported_live(offset_us, earlier_us)
            first, later = warmth(controller, now), warmth(controller, now + 13 * SECOND)
            if first > 0.2 + 0.8 * 6 / 12 or later < 1:  # reported at most 6 s after it happened
                wrong[offset_us, earlier_us] = first, later
    assert not wrong


def test_a_start_that_was_missed_while_the_registry_was_lost_may_be_long_ago() -> None:
    controller, now = Controller(DEPLOYMENT, 1, START), START
    controller.turn(now, [interface.RegistryUpdate("whole", (entry("s-1", None),))])
    controller.turn(now + SECOND, [interface.RegistryUpdate("lost", ())])
    now += 60 * SECOND
    controller.turn(now, [interface.RegistryUpdate("changes", (entry("s-2", now - 30 * SECOND),))])
    assert warmth(controller, now) == 1.0


def test_a_start_that_is_reported_again_does_not_count_again() -> None:
    controller, now = reported_live(HOUR)
    again = controller.backends["s-2"].entry
    for _ in range(4):
        now += 3 * SECOND
        controller.turn(now, [interface.RegistryUpdate("changes", (again._replace(weight=1.0 + now % 7),))])
    assert warmth(controller, now + SECOND) == 1.0


def test_a_clock_that_is_behind_at_the_start_has_servers_cold_for_their_warming_at_most() -> None:
    """Guards against servers that stay cold for an hour where the machine's clock is an hour behind."""
    for behind_us in (20 * SECOND, HOUR):
        for age_us in (2 * SECOND, HOUR // 2, 2 * HOUR):
            controller = Controller(DEPLOYMENT, 1, START)
            started = START - age_us + behind_us
            controller.turn(
                START, [interface.RegistryUpdate("whole", (entry("s-1", None), entry("s-2", started)))]
            )
            assert warmth(controller, START + DEPLOYMENT.cold_us) == 1.0, (behind_us, age_us)
