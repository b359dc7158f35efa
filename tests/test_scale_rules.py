"""What a scale run works out from its samples, and its verdict: pure, no process is started."""

from __future__ import annotations

from dataclasses import replace

import pytest
from typer.testing import CliRunner

from lapispass.cli.main import app
from lapispass.lab.scale.budgets import Budgets, Phase, judge
from lapispass.lab.scale.samples import HOLLOW, Cost, Rates, Sample, costs, rates
from lapispass.lab.scale.size import BadSize, Size
from lapispass.lab.scale.system import Usage
from lapispass.standins.http import Traffic
from lapispass.standins.servers import Probed

BEFORE = Sample(
    10.0,
    {"real-0": Usage(1.0, 20.0, 30.0), "real-1": Usage(1.0, 20.0, 30.0)},
    {"real-0": Traffic(1, 2, 3, 100, 1000)},
    {"real-0": Traffic(1, 10, 20, 1000, 2000)},
    {"real-0": {"SYNC": 2, "SET": 3}},
    {"real-0": Traffic(1, 0, 50, 0, 5000)},
    Probed(100, 1000, 1000),
    Probed(0, 0, 0),
    50,
)
AFTER = Sample(
    20.0,
    {"real-0": Usage(1.5, 21.0, 31.0), "real-1": Usage(1.1, 20.0, 30.0)},
    {"real-0": Traffic(1, 3, 8, 150, 1950)},
    {"real-0": Traffic(1, 30, 90, 3000, 4000)},
    {"real-0": {"SYNC": 12, "SET": 3, "OUT": 10}},
    {"real-0": Traffic(1, 0, 150, 0, 15000)},
    Probed(140, 1400, 1600),
    Probed(60, 600, 900),
    60,
)
SMALL = Size(servers=4, services=2, slices=8, held=1, zones=2, proxies=2)


def test_rates_are_differences_over_the_time_between_two_samples() -> None:
    assert rates(BEFORE, AFTER, "real-0", 2) == Rates(
        registry_calls=0.1,
        registry_bytes=100.0,
        relay_calls=2.0,
        relay_bytes=400.0,
        orders=2.0,
        marks=1.0,
        news=5.0,
        reports=10.0,
        report_bytes=1000.0,
        probes=2.0,
        probe_bytes=50.0,
    )


def test_hollow_controllers_have_their_own_probes_whole() -> None:
    found = rates(BEFORE, AFTER, HOLLOW, 2)
    assert (found.probes, found.probe_bytes, found.relay_calls) == (6.0, 150.0, 0.0)


def test_costs_are_of_each_real_controller() -> None:
    first, second = costs(BEFORE, AFTER)
    assert (first.name, first.cpu_percent, first.memory_mb, first.bytes_per_s) == (
        "real-0",
        5.0,
        31.0,
        1550.0,
    )
    assert second.name == "real-1" and second.cpu_percent == pytest.approx(1.0) and second.bytes_per_s == 50.0


def phase(cost: Cost, lasts: bool = True, **times_s: float) -> Phase:
    timed = {what.replace("_", " "): {"real-0": figure} for what, figure in times_s.items()}
    return Phase("quiet", 60.0, 1.0, lasts, [cost], Rates(), timed)


WELL = Cost("real-0", 1.6, 64.0, 4096.0, Rates())


def test_a_figure_at_its_limit_holds_the_budget() -> None:
    assert not judge([phase(WELL, ready=30.0, change_in_force=17.0)], Budgets())


@pytest.mark.parametrize(
    ("cost", "told"),
    [
        (replace(WELL, cpu_percent=1.61), "quiet: real-0: processor 1.61 % of a core, limit 1.6 % of a core"),
        (replace(WELL, memory_mb=65.0), "quiet: real-0: memory 65 MB, limit 64 MB"),
        (replace(WELL, bytes_per_s=5000.0), "quiet: real-0: for control 5000 bytes/s, limit 4096 bytes/s"),
    ],
)
def test_each_cost_over_its_limit_is_named_with_both_figures(cost: Cost, told: str) -> None:
    assert [str(finding) for finding in judge([phase(cost)], Budgets())] == [told]


@pytest.mark.parametrize(
    ("what", "over"),
    [("ready", 30.1), ("withdrawal_after_a_drain_was_told", 0.11), ("change_in_force", 17.1)],
)
def test_each_time_over_its_limit_is_named(what: str, over: float) -> None:
    (finding,) = judge([phase(WELL, **{what: over})], Budgets())
    assert finding.what == what.replace("_", " ") and finding.figure == over and finding.whose == "real-0"


def test_what_only_happens_now_and_then_is_judged_by_memory_and_times_alone() -> None:
    busy = replace(WELL, cpu_percent=99.0, bytes_per_s=1e6, memory_mb=65.0)
    assert [finding.what for finding in judge([phase(busy, lasts=False)], Budgets())] == ["memory"]


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"servers": 0}, "--servers 0"),
        ({"services": 5}, "--services 5"),
        ({"slices": 0}, "--slices 0"),
        ({"held": 9}, "--held 9"),
        ({"zones": 257}, "--zones 257"),
        ({"proxies": 0}, "--proxies 0"),
        ({"real": 0}, "--real 0"),
        ({"hollow": 4097}, "--hollow 4097"),
        ({"requests": 0}, "--requests 0"),
        ({"seconds": 0.5}, "--seconds 0.5"),
        ({"seconds": float("nan")}, "--seconds nan"),
    ],
)
def test_an_option_that_makes_no_sense_is_named(changes: dict[str, float], named: str) -> None:
    with pytest.raises(BadSize, match=named):
        replace(SMALL, **changes).check()


def test_bad_arguments_have_a_status_of_their_own(tmp_path) -> None:
    run = CliRunner().invoke
    result = run(app, ["lab", "scale", "--servers", "0"])
    assert result.exit_code == 2 and "--servers 0" in result.output
    result = run(app, ["lab", "scale", "--json", str(tmp_path / "none" / "file")])
    assert result.exit_code == 2 and "--json" in result.output
