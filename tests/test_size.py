"""A full fleet: 1,024 servers, 1,024 controllers and thousands of proxies.

Everything must fit the limits, and the cost of a turn must match what changed.
"""

from __future__ import annotations

import json
import time
from io import StringIO
from pathlib import Path

import pytest
from async_tests import cancel_and_wait
from configurations import CONFIG, GRADES, MEMBER, listing, write_config
from fleet import MS, SECOND, acknowledgements, deployment, events_to_running, registry_changes, server
from full_evaluation import FullEvaluation

from lapispass import interface
from lapispass.controller import Controller
from lapispass.core import ownership
from lapispass.core.membership import Members
from lapispass.drill.codec import read_batches
from lapispass.net.codec import Codec, RegistryMessage
from lapispass.net.counters import Counters
from lapispass.net.launch import Launch
from lapispass.net.limits import Limits
from lapispass.net.probes import Probes
from lapispass.net.registry import Registry
from lapispass.operator import read as operator

MANY = 1024


def members(state: str = "Ready") -> list[dict[str, object]]:
    return [
        {
            **MEMBER,
            "id": f"s-{n:08x}",
            "host_port": f"10.1.{n >> 8}.{n & 255}:3000",
            "locality": "east",
            "cell": n >> 3,
            "phase": state,
        }
        for n in range(MANY)
    ]


def world(
    servers: int, proxies: int, slices: int, mine: int, kind: type[Controller] = Controller
) -> tuple[Controller, int]:
    """A controller that owns a share of the slices. All servers have been probed, all proxies have joined."""
    now = 100 * SECOND
    settings = deployment(
        proxies=proxies,
        slices=slices,
        lines_per_s=slices * proxies / 6,
        queue_limit_lines=slices * proxies / 3,
        max_messages=0,
        subscribes_to_registry=True,
    )
    controller = kind(settings, 1, now)
    entries = [server(f"s-{n}") for n in range(servers)]
    controller.turn(now, events_to_running(entries, proxies, mine))
    return controller, now


async def test_a_start_a_list_and_its_changes_of_1024_servers_are_taken_whole(tmp_path) -> None:
    settings = {
        "grades": GRADES,
        "zones": ["east"],
        "group-size": MANY,
        "extra": {"key-ranges": 6000, "data-plane-size": 5000, "class-writes": [True]},
    }
    known = listing(1, *members())
    config = {**CONFIG, "name": "n1023", "settings": settings, "known": known}
    launch = Launch.read(write_config(tmp_path / "config.json", config))
    assert len(launch.known.entries) == MANY and launch.limits.events > 5000 + 2 * 6000
    heard: list[interface.Event] = []
    registry = Registry(
        "127.0.0.1:1", launch.known, heard.append, Codec(launch.deployment, 256), launch.limits, Counters()
    )
    for state in ("Ready", "Terminating"):
        text = json.dumps(listing(2, *members(state)))
        registry.take(registry.codec.parse_registry_text(text))
    assert [(update.kind, len(update.entries)) for update in heard] == [
        ("remembered", MANY),
        ("whole", MANY),
        ("whole", MANY),
    ]
    assert len(registry.addresses) == MANY and not registry.counters["registry.too_many"]
    probes = Probes(heard.append, registry.codec, launch.limits, registry.counters)
    for backend, address in registry.addresses.items():
        probes.start(backend, address)
    assert len(probes.queue) + len(probes.under_way) == MANY and not registry.counters["probes.left_out"]
    await cancel_and_wait(*probes.close())


async def test_a_part_of_a_list_that_is_left_out_does_not_pass_for_gone() -> None:
    heard: list[interface.Event] = []
    limits = Limits(servers=1000)
    registry = Registry(
        "127.0.0.1:1",
        RegistryMessage(0, False, (), {}, 0),
        heard.append,
        Codec(deployment(), 256),
        limits,
        Counters(),
    )
    registry.take(registry.codec.parse_registry_text(json.dumps(listing(2, *members()))))
    assert heard[-1].kind == "changes" and registry.counters["registry.too_many"] == 24


def test_1024_draining_servers_and_1024_given_slices_are_decided_on() -> None:
    controller, now = world(MANY, 40, 3 * MANY, 2 * MANY)
    news: list[interface.Event] = [
        registry_changes(*(server(f"s-{n}", "draining") for n in range(0, MANY, 2)))
    ]
    all_orders: list[interface.Order] = []
    for _ in range(600):
        now += 50 * MS
        orders, news = controller.turn(now, news), []
        all_orders += orders
        assert controller.channel.queued_lines <= 0.8 * 3 * MANY * 40 / 3
        controller.turn(now, acknowledgements(orders, 40, 50 * MS))
    assert {order.backend for order in all_orders if isinstance(order, interface.SetWithdrawn)} == {
        f"s-{n}" for n in range(0, MANY, 2)
    }
    owners = [slice_.owner for slice_ in controller.table.slice_index.slices.values()]
    assert len(owners) == 2 * MANY and all(owner and int(owner[2:]) % 2 for owner in owners)


def test_1024_controllers_share_the_slices_and_find_the_same() -> None:
    weights = {f"n{n}": 1.0 for n in range(MANY)}
    known = Members()
    come, gone = known.update({name: (weight, "1") for name, weight in weights.items()}, 5)
    assert len(come) == MANY and not gone and known.alive() == weights
    shares = ownership.preferred_owners(200, weights)
    assert len(shares) == 200 and len(set(shares.values())) > 150
    assert ownership.preferred_owners(200, dict(reversed(weights.items()))) == shares


def test_an_operator_file_of_1024_nodes_is_taken_and_its_findings_named(tmp_path) -> None:
    text = Path("deploy/xds.textproto").read_text("utf-8").split("node {")[0]
    text = text.replace("slices: 12", f"slices: {5 * MANY}") + "\n".join(
        f'node {{ id: "n{n}" address: "127.0.0.1:{20000 + n}" zone: "east" }}' for n in range(MANY)
    )
    file = tmp_path / "many.textproto"
    file.write_text(text)
    source = operator.read(file)
    assert len(source.settings.node) == MANY and not list(operator.check(source))
    file.write_text(text.replace('id: "n1023"', 'id: "n1"'))
    with pytest.raises(operator.BadFile, match=r":1038: node\[1023\].id: 'n1' is listed twice"):
        operator.read(file)


def test_the_drill_takes_a_list_of_1024() -> None:
    entries = "\n".join(f"ENTRY\t{n}\teast\tm2\t0\tlive\t1\t-" for n in range(MANY))
    batches = read_batches(StringIO(f"SYNC\t5000\t1\nTOPOLOGY\t3\ttotal\t41\t{MANY}\n{entries}\nEOF_BATCH\n"))
    events = [event for batch in batches for _, event in batch.events]
    assert len(events) == 1 and len(events[0].entries) == MANY


def cost(servers: int, proxies: int, mine: int, looks: int) -> float:
    """The processor time of evaluating all servers: the minimum of several rounds."""
    controller, now = world(servers, proxies, 5 * servers, mine, FullEvaluation)
    best = float("inf")
    for _ in range(5):
        began = time.process_time()
        for _ in range(looks):
            controller.turn(now := now + 50 * MS, [])
        best = min(best, (time.process_time() - began) / looks)
    return best


@pytest.mark.parametrize(
    ("less", "more", "times"),
    [((30, 150, 30), (300, 1500, 300), 10), ((200, 1600, 200), (1000, 1600, 1000), 5)],
)
def test_the_cost_of_a_look_is_no_more_than_linear(less: tuple, more: tuple, times: int) -> None:
    assert cost(*more, looks=4) < 2 * times * cost(*less, looks=12)


def test_a_turn_of_sums_costs_a_small_part_of_a_look() -> None:
    """If a turn has only summed reports, only the servers that they concern are evaluated."""
    controller, now = world(400, 1600, 2000, 400)
    controller.turn(now := now + 50 * MS, [])
    sums = [interface.ServerReport(f"s-{n}", "east", 0, 9, 200 * MS, SECOND, None) for n in range(3)]
    best = float("inf")
    for _ in range(4):
        began = time.process_time()
        for _ in range(10):  # 10 ms: no full evaluation is due
            controller.turn(now := now + MS, sums)
        best = min(best, (time.process_time() - began) / 10)
        controller.turn(now := now + 60 * MS, [])
    assert best < cost(400, 1600, 400, looks=4) / 10


def test_memory_is_level_over_a_long_churn_of_new_servers_and_proxies() -> None:
    controller, now = world(30, 20, 60, 60)
    sizes: list[int] = []
    for round_ in range(300):
        names = [f"s-{30 + round_}", f"s-{round_}"]
        controller.turn(
            now, [registry_changes(server(names[0], started_us=now), server(names[1], "draining"))]
        )
        controller.turn(
            now,
            [
                interface.ProbeResult(names[0], 0, MS, None),
                interface.ProxyLeft(round_ % 20),
                interface.ProxyJoined(round_ % 20, False, "east", 1.0),
            ],
        )
        for step in range(40):
            now += 100 * MS
            orders = controller.turn(now, [])
            controller.turn(now, acknowledgements(orders, 20, 50 * MS))
            if step == 30:
                controller.turn(now, [registry_changes(server(names[1], "gone"))])
        table, channel = controller.table, controller.channel
        sizes.append(
            sum(
                map(
                    len,
                    (
                        controller.backends,
                        controller.agenda,
                        controller.current.updated_servers,
                        controller.current.awaiting_reports,
                        controller.fleet.warm_completed_per_s,
                        table.withdrawn_servers.withdrawn,
                        table.withdrawn_servers.to_resend,
                        table.withdrawn_servers.resending,
                        table.withdrawn_servers.sent_under,
                        table.slice_index.next_relief_at,
                        table.slice_index.admission_pending,
                        table.slice_index.agenda,
                        channel.pending_barriers,
                        channel.sent_at,
                        channel.proxies,
                    ),
                )
            )
        )
    assert max(sizes[150:]) <= 1.1 * max(sizes[50:150])
