"""What a scale run works out from its samples, and its verdict: pure, no process is started."""

from __future__ import annotations

import json
import random
from dataclasses import replace

import pytest
from typer.testing import CliRunner

from lapispass.cli.main import app
from lapispass.lab.scale import fit, report, run, sweep
from lapispass.lab.scale.budgets import Budgets, Phase, judge
from lapispass.lab.scale.processes import RunFailed
from lapispass.lab.scale.rig import Wanted
from lapispass.lab.scale.samples import HOLLOW, Cost, Rates, Sample, costs, mean_pace, rates
from lapispass.lab.scale.size import BadSize, Size
from lapispass.lab.scale.system import Usage
from lapispass.standins.http import Traffic
from lapispass.standins.placeholder import Endpoints, PlaceholderController, RawConnection
from lapispass.standins.platform import Member, Registry
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
    invoke = CliRunner().invoke
    result = invoke(app, ["lab", "scale", "--servers", "0"])
    assert result.exit_code == 2 and "--servers 0" in result.output
    result = invoke(app, ["lab", "scale", "--json", str(tmp_path / "none" / "file")])
    assert result.exit_code == 2 and "--json" in result.output


def test_a_straight_line_is_found_with_its_base_and_slope() -> None:
    found = fit.line([200, 1000, 5700], [3.0, 7.0, 30.5])
    assert found.base == pytest.approx(2.0) and found.slope == pytest.approx(0.005) and found.straight
    assert found.residual == pytest.approx(0.0, abs=1e-9) and found.at(400) == pytest.approx(4.0)


@pytest.mark.parametrize("costs", [[0.0, 0.0, 0.0], [24.1, 24.0, 24.2]])
def test_a_cost_that_does_not_vary_is_straight(costs: list[float]) -> None:
    found = fit.line([5, 240, 720], costs)
    assert found.straight and found.slope == pytest.approx(0.0, abs=1e-3)


def test_a_bent_line_is_not_straight() -> None:
    found = fit.line([200, 1000, 2850, 5700], [1.0, 30.0, 98.0, 99.0])
    assert not found.straight and found.residual > fit.STRAIGHT


def test_two_points_do_not_show_that_a_line_is_straight() -> None:
    assert not fit.line([5, 720, 720], [1.0, 2.0, 2.0]).straight
    with pytest.raises(ValueError, match="two different counts"):
        fit.line([5, 5], [1.0, 2.0])


def run_of(servers: int, cpu_percent: float) -> list[Phase]:
    """Phases whose quiet processor time is told; all else stays as it is."""
    passed = Rates(registry_bytes=10.0 * servers, relay_calls=2.0)
    start = Phase(
        "start",
        10.0,
        1.0,
        False,
        [Cost("real-0", 50.0, 20.0, 5.0, passed)],
        passed,
        {"ready": {"real-0": 0.3}},
    )
    quiet = Phase("quiet", 60.0, 1.0, True, [Cost("real-0", cpu_percent, 20.0, 5.0, Rates())], passed)
    times_s = {
        "withdrawal after a drain was told": {"real-0": 0.01},
        "change in force": {"real-0": 0.01, "the last hollow controller": 0.04},
    }
    change = Phase("change", 5.0, 1.0, False, [Cost("real-0", 1.0, 20.0, 5.0, Rates())], passed, times_s)
    return [start, quiet, change]


def fitted(cost: str, percents: dict[int, float], unit: str = "") -> sweep.Fitted:
    played = [
        (sweep.Step("servers", servers, replace(SMALL, servers=servers)), run_of(servers, percent))
        for servers, percent in percents.items()
    ]
    (found,) = [each for each in sweep.fits(played) if each.cost == cost and unit in ("", each.unit)]
    return found


def test_a_sweep_fits_each_cost_and_does_not_use_what_is_not_straight() -> None:
    quiet = "processor of a controller in quiet"
    straight = fitted(quiet, {200: 1.0, 1000: 1.8, 2000: 2.8})
    assert str(straight) == f"{quiet} by servers: 0.8 + 0.001 x servers % of a core, residual 0.0%"
    bent = fitted(quiet, {200: 1.0, 1000: 90.0, 2000: 99.0})
    assert (
        str(bent)
        == f"{quiet} by servers: not straight (1 at 200, 90 at 1000, 99 at 2000 % of a core), not used"
    )


def test_a_start_is_told_whole_and_for_all_controllers_together() -> None:
    of_one = fitted("list to a controller at its start", {200: 1.0, 1000: 1.0, 2000: 1.0})
    assert of_one.fit.slope == pytest.approx(100.0) and of_one.unit == "bytes"
    of_all = fitted("registry in start", {200: 1.0, 1000: 1.0, 2000: 1.0}, "bytes")
    assert of_all.fit.slope == pytest.approx(200.0)


def test_a_sweep_varies_one_count_at_a_time() -> None:
    size = Size(real=2, hollow=718)
    steps = list(sweep.steps(size, sweep.Counts()))
    assert [(step.varies, step.count) for step in steps] == [
        *(("servers", count) for count in (200, 1000, 2850, 5700)),
        *(("controllers", count) for count in (5, 240, 720)),
        *(("proxies", count) for count in (20, 320, 1600)),
    ]
    by_count = {(step.varies, step.count): step.size for step in steps}
    assert by_count["controllers", 720] == size and by_count["controllers", 5].hollow == 3
    assert by_count["servers", 5700] == by_count["proxies", 320] == replace(size, hollow=0)


def test_a_hollow_controller_finds_the_revision_however_its_bytes_are_cut() -> None:
    text = b'5c\r\n{"revision":41,"complete":false,"members":[{"id":"s-1","phase":"Ready"}]}\n\r\n'
    for cut in range(1, len(text)):
        hollow = PlaceholderController(Endpoints("", "", ()), random.Random(1))
        link = RawConnection(b"", hollow.note_revision, lambda gone: None)
        hollow.note_revision(link, text[:cut])
        hollow.note_revision(link, text[cut:])
        assert hollow.revision == 41 and hollow.updated_us > 0


def test_a_hollow_controller_does_as_the_real_ones_in_the_mean() -> None:
    pace = mean_pace(BEFORE, AFTER)
    assert (pace.calls, pace.marks, pace.orders) == (1.0, 0.5, 1.0)  # the second real one called nobody
    assert (pace.probes, pace.watches) == (2.0, 0.05)


def test_a_registry_tells_what_changed_since_a_revision_or_the_whole_list() -> None:
    registry = Registry()
    registry.members = {f"s-{number}": Member(f"s-{number}", "127.0.0.1:1") for number in range(3)}
    registry.change(Member("s-0", "127.0.0.1:1", phase="Terminating"))
    registry.change(Member("s-0", "127.0.0.1:1", phase="Gone"), Member("s-1", "127.0.0.1:2"))

    def told(revision: int) -> tuple[bool, dict[str, str]]:
        page = json.loads(registry.since(revision))
        assert page["revision"] == 3
        return page["complete"], {member["id"]: member["phase"] for member in page["members"]}

    assert told(3) == (False, {})
    assert told(2) == told(1) == (False, {"s-0": "Gone", "s-1": "Ready"})
    assert told(0) == told(-1) == told(9) == (True, {"s-1": "Ready", "s-2": "Ready"})


def test_a_sweep_plays_each_size_once_and_goes_on_where_one_fails(monkeypatch, tmp_path) -> None:
    played: list[Size] = []

    async def play(size: Size, *_: object) -> report.Run:
        played.append(size)
        if size.proxies == 9:
            raise RunFailed("controller real-0 gave no answer")
        return report.Run(size, 5, 100.0, Wanted(), run_of(size.servers, size.servers / 1000))

    monkeypatch.setattr(run, "play", play)
    size, said, path = replace(SMALL, real=1, hollow=0), list[str](), tmp_path / "out.json"
    counts = sweep.Counts(servers=(3, 4, 40), controllers=(1, 5), proxies=(2, 9))
    assert run.main(size, path, say=said.append, counts=counts) == 1
    assert len(played) == len(set(played)) == 5  # 4 servers, 1 controller and 2 proxies are one size
    told = json.loads(path.read_text())
    assert told["failures"] == ["controller real-0 gave no answer (4 servers, 9 proxies)"]
    assert len(told["runs"]) == 4 and told["seed"] == size.seed and told["commit"] is not None
    straight = {(each["varies"], each["cost"]): each["fit"]["straight"] for each in told["fits"]}
    assert straight["servers", "processor of a controller in quiet"]
    assert not straight["controllers", "processor of a controller in quiet"]  # two points show no line
    assert said[-1].startswith("RUN FAILED: 1 not played to their end")
