"""Reading the configuration: it is read in full, or the error names the invalid field."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

import pytest
from configurations import CONFIG, SETTINGS, write_config
from fleet import SECOND

from lapispass import deployment as settings
from lapispass import interface
from lapispass.controller import Controller
from lapispass.net.launch import BadStart, Launch
from lapispass.net.limits import Limits


@pytest.fixture
def file(tmp_path: Path) -> Path:
    return tmp_path / "config.json"


def test_a_start_is_read(file: Path) -> None:
    launch = Launch.read({**write_config(file, CONFIG), "LB_LISTEN": "127.0.0.9:5"})
    assert (launch.listen, launch.registry, launch.relay, launch.seed) == (
        "127.0.0.9:5",
        "127.0.0.1:1",
        "127.0.0.1:2",
        0x8C1F,
    )
    # The real registry sends nothing unasked: a controller that followed such settings got no list.
    assert (
        launch.deployment == replace(settings.read(SETTINGS), subscribes_to_registry=True)
        and launch.deployment.turn_interval_us == 7000
    )
    assert launch.known.entries[0].backend == "s-1" and launch.limits.connections == 512
    assert Limits.for_sockets(256).connections == 128 and Limits.for_sockets(8192).connections == 512


def put(path: str, value: object) -> dict:
    """The configuration with one field of its settings changed, or removed if `value` is None."""
    told = json.loads(json.dumps(SETTINGS))
    *way, last = path.split(".")
    part: dict = told
    for step in way:
        part = part[int(step)] if isinstance(part, list) else part.setdefault(step, {})
    if value is None:
        del part[last]
    else:
        part[last] = value
    return {"settings": told}


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"settings": {}}, "settings"),
        ({"settings": None}, "settings"),
        ({"seed": "x"}, "seed"),
        ({"store": {}}, "store"),
        ({"limits": {"sockets": 9}}, "limits"),
        ({"listen": "nowhere"}, "listen"),
        ({"listen": None}, "LB_LISTEN"),
        ({"discovery": "h:99999"}, "discovery.*h:99999"),
        ({"known": {"revision": "x"}}, "known"),
        ({"name": ""}, "LB_NAME"),
        ({"limits": {"sockets": float("inf")}}, "limits.sockets"),
        ({"limits": {"sockets": "many"}}, "limits.sockets"),
        ({"limits": [1]}, "limits"),
        ({"store": {"address": 5}}, "store.address"),
        ({"store": "127.0.0.1:1"}, "store"),
        ({"discovery": 5}, "discovery"),
        ({"listen": "h:1:x"}, "listen"),
        ({"known": []}, "known"),
        (put("grades.0.name", None), "grades.0..name: missing"),
        (put("grades.0.target-us", "soon"), "grades.0..target-us"),
        (put("grades.0.worth", float("inf")), "grades.0..worth"),
        (put("grades.0.hard-limit-us", -1), "grades.0..hard-limit-us"),
        *((put("grades", odd), "grades") for odd in ([], {"a": 1})),
        (put("grades", ["x"]), "grades.0.: not an object"),
        (put("grades", SETTINGS["grades"] * 2), "grades.1..name: 'pay' is listed twice"),
        (put("extra.class-writes", [True, False]), "extra.class-writes: 2 values for 1 classes"),
        (put("extra.class-writes", ["yes"]), "extra.class-writes"),
        *((put("extra.lease-us", odd), "extra.lease-us") for odd in (1e300, float("nan"), True)),
        (put("extra.key-ranges", 70_000), "extra.key-ranges"),
        (put("extra.data-plane-size", 10**400), "extra.data-plane-size"),
        (put("extra.one-owner", True), "extra.lease-us: missing"),
        (put("extra.usual-how", 9), "extra.usual-how"),
        (put("extra", []), "extra: not an object"),
        (put("zones", ["a", "a"]), "zones: 'a' is listed twice"),
        (put("zones", [1]), "zones"),
        (put("rules.cold-us", "x" * 10_000), "rules.cold-us"),
        (put("limits.probes", 7), "limits.probes"),
        (put("stats.fields", "util"), "stats.fields"),
        (put("discovery", 5), "discovery"),
        (put("period-us", []), "period-us"),
    ],
)
def test_a_bad_start_is_named_by_its_field_in_one_line(file: Path, change: dict, named: str) -> None:
    with pytest.raises(BadStart, match=named) as error:
        Launch.read(write_config(file, {**CONFIG, **change}))
    assert "\n" not in str(error.value) and len(str(error.value)) < 400


def test_a_start_without_a_configuration_is_named(file: Path) -> None:
    file.write_text("{")
    for environment, named in (
        ({}, "LB_CONFIG"),
        ({"LB_CONFIG": "/nowhere"}, "/nowhere"),
        ({"LB_CONFIG": str(file)}, "config.json"),
    ):
        with pytest.raises(BadStart, match=named):
            Launch.read(environment)


def test_what_may_run_again_is_read_from_its_effect_or_from_whether_it_writes() -> None:
    def repeats(effect: str | None, writes: bool) -> bool:
        grade = {**SETTINGS["grades"][0], **({"effect": effect} if effect else {})}
        told = settings.read({"grades": [grade], "extra": {"class-writes": [writes]}})
        return told.classes[0].repeatable

    assert repeats("free", False) and repeats(None, False) and not repeats(None, True)
    assert not any(repeats(effect, False) for effect in ("guarded", "single_shot", "of a later version"))


def test_settings_of_one_instance_never_show_in_another() -> None:
    sizes = {"key-ranges": 4, "data-plane-size": 2, "lines-per-s": 1e4, "queue-cap": 2e4}
    one, two = (
        settings.read(
            {
                "grades": [{**SETTINGS["grades"][0], "name": name}],
                "extra": {**sizes, "usual-how": how, "class-writes": [True], "lease-us": lease},
            }
        )
        for name, how, lease in (("pay", 0, 1), ("sign", 3, 2))
    )
    first = Controller(one, 1, 0)
    before = {name: repr(value) for name, value in vars(first.rules).items()}
    second = Controller(two, 1, 0)
    second.turn(
        SECOND,
        [
            interface.RegistryUpdate("whole", (interface.RegistryEntry("s-1", "", "ready", 1.0, None),)),
            interface.ProxyJoined(0, True, "", 1.0),
            interface.SliceGrant(1, True),
        ],
    )
    assert {name: repr(value) for name, value in vars(first.rules).items()} == before
    assert (
        not first.backends
        and not first.table.slice_index.slices
        and first.rules.classes_by_value != second.rules.classes_by_value
    )
    shared = [
        name
        for name, value in vars(first.rules).items()
        if isinstance(value, list | dict | set) and value is vars(second.rules)[name]
    ]
    assert not shared
