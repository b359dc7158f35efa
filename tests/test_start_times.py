"""A server that has just started is cold, however far the wall clocks of the machines are apart."""

from __future__ import annotations

from fleet import SECOND, deployment

from lapispass import interface
from lapispass.controller import Controller

TOLD = deployment(cold_us=12 * SECOND, cold_share=0.2, probes_allowed=False)
BEGUN = 1_000_000 * SECOND
HOUR = 3600 * SECOND


def entry(name: str, born_us: int | None) -> interface.RegistryEntry:
    return interface.RegistryEntry(name, "east", "ready", 1.0, born_us)


def told_live(apart_us: int, old: int | None = None) -> tuple[Controller, int]:
    """A controller that follows the list, and is told of a start 2 s ago on a clock that is apart."""
    controller, now = Controller(TOLD, 1, BEGUN), BEGUN
    controller.turn(now, [interface.RegistryUpdate("whole", (entry("s-1", None), entry("s-2", old)))])
    now += 60 * SECOND
    started = now - 2 * SECOND + apart_us
    controller.turn(now, [interface.RegistryUpdate("changes", (entry("s-2", started),))])
    return controller, now


def warmth(controller: Controller, now: int) -> float:
    controller.turn(now, [])
    return controller.backends["s-2"].warmth()


def test_a_start_that_is_told_live_is_cold_and_warms_in_its_time() -> None:
    # A controller whose machine's clock was an hour ahead took each server that had just started for warm;
    # with the clock behind, servers stayed cold for an hour.
    wrong = {}
    for apart_us in (-HOUR, -20 * SECOND, 0, 20 * SECOND, HOUR):
        for old in (None, BEGUN - 2 * HOUR):
            controller, now = told_live(apart_us, old)
            first, later = warmth(controller, now), warmth(controller, now + 13 * SECOND)
            if first > 0.2 + 0.8 * 6 / 12 or later < 1:  # told 6 s after it happened at most
                wrong[apart_us, old] = first, later
    assert not wrong


def test_what_was_missed_while_the_list_was_lost_may_be_long_ago() -> None:
    controller, now = Controller(TOLD, 1, BEGUN), BEGUN
    controller.turn(now, [interface.RegistryUpdate("whole", (entry("s-1", None),))])
    controller.turn(now + SECOND, [interface.RegistryUpdate("lost", ())])
    now += 60 * SECOND
    controller.turn(now, [interface.RegistryUpdate("changes", (entry("s-2", now - 30 * SECOND),))])
    assert warmth(controller, now) == 1.0


def test_a_start_that_is_told_again_does_not_begin_anew() -> None:
    controller, now = told_live(HOUR)
    again = controller.backends["s-2"].entry
    for _ in range(4):
        now += 3 * SECOND
        controller.turn(now, [interface.RegistryUpdate("changes", (again._replace(weight=1.0 + now % 7),))])
    assert warmth(controller, now + SECOND) == 1.0


def test_a_clock_that_is_behind_at_the_start_has_servers_cold_for_their_warming_at_most() -> None:
    """Guards against servers that stay cold for an hour after a start on a machine that is an hour behind."""
    for behind_us in (20 * SECOND, HOUR):
        for age_us in (2 * SECOND, HOUR // 2, 2 * HOUR):
            controller = Controller(TOLD, 1, BEGUN)
            started = BEGUN - age_us + behind_us
            controller.turn(
                BEGUN, [interface.RegistryUpdate("whole", (entry("s-1", None), entry("s-2", started)))]
            )
            assert warmth(controller, BEGUN + TOLD.cold_us) == 1.0, (behind_us, age_us)
