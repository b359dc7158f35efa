"""How many calls a registry gets, and when the last controller knows the list, after all watches ended.

Simulated time, the real decision module. The stand-in serves callers in turn, so many calls a second that
one of each controller takes `--all-s` seconds; a caller that would wait over a second is turned away, which
costs a part of a call too.

    python benchmarks/registry_herd.py --down 5 [--controllers 720]
"""

from __future__ import annotations

import argparse
from dataclasses import replace
from pathlib import Path

from lapispass import interface
from lapispass.controller import Controller
from lapispass.core.units import SECOND_US
from lapispass.standins.fleet_parties import Size, deployment

MS = 1000


def settings() -> interface.Deployment:
    """The stand-in fleet's settings; servers are not probed, since only calls to the registry are counted."""
    return replace(deployment(Size(controllers=1, proxies=1, servers=1, slices_each=1)), probes_allowed=False)


def play(
    count: int, down_s: float, all_s: float, turned_away: float, grows: bool, seed: int
) -> tuple[list[int], float]:
    """Calls in each second from the moment that all watches end, and when the last one was served."""
    now = 100 * SECOND_US
    begin, up_at = now, now + int(down_s * SECOND_US)
    cost = all_s * SECOND_US / count  # of a call, in us of the registry's time
    controllers = [Controller(settings(), seed + n, now) for n in range(count)]
    news: list[list[interface.Event]] = [[interface.RegistryUpdate("lost", ())] for _ in controllers]
    for controller in controllers:
        controller.turn(now, [])
    busy_until, calls, served = float(now), [0] * 120, [0] * count
    later: list[tuple[float, int, interface.RegistryUpdate]] = []
    while min(served) == 0 and now < begin + 119 * SECOND_US:
        now += 10 * MS
        for _, who, event in [one for one in later if one[0] <= now]:
            news[who].append(event)
            if event.kind != "lost":
                served[who] = now
        later = [one for one in later if one[0] > now]
        for who, controller in enumerate(controllers):
            if served[who] or (not news[who] and now < controller.timer_at):
                continue
            if not grows:
                controller.registry.retry_delay_us = min(SECOND_US, controller.registry.retry_delay_us)
            orders, news[who] = controller.turn(now, news[who]), []
            if interface.WatchRegistry() not in orders:
                continue
            calls[(now - begin) // SECOND_US] += 1
            busy_until = max(busy_until, float(now))
            if now < up_at:
                later.append((now + 5 * MS, who, interface.RegistryUpdate("lost", ())))
            elif busy_until - now > SECOND_US:
                busy_until += turned_away * cost
                later.append((now + SECOND_US, who, interface.RegistryUpdate("lost", ())))
            else:
                busy_until += cost
                later.append((busy_until, who, interface.RegistryUpdate("changes", ())))
    return calls, (max(served) - begin) / SECOND_US if min(served) else float("inf")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0], prog=Path(__file__).name)
    parser.add_argument("--down", type=float, default=5.0, help="seconds that the registry is down")
    parser.add_argument("--all-s", type=float, default=5.0, help="seconds for one call of each controller")
    parser.add_argument("--turned-away", type=float, default=0.3, help="cost of turning one away, of a call")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--controllers", type=int, nargs="*", default=[1, 5, 50, 230])
    given = parser.parse_args()
    for count in given.controllers:
        for grows in (False, True):
            calls, last = play(count, given.down, given.all_s, given.turned_away, grows, given.seed)
            while calls and not calls[-1]:
                calls.pop()
            waits = "grow " if grows else "fixed"
            print(
                f"{count:4d} controllers, waits {waits}: {sum(calls):5d} calls, the last one served after "
                f"{last:.1f} s; a second: {' '.join(map(str, calls[:24]))}"
            )


if __name__ == "__main__":
    main()
