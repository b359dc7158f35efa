"""Whole scale runs at a small size, on processes: one that holds its budgets, and one with planted faults."""

from __future__ import annotations

import json
import multiprocessing
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from concurrent.futures import Future, ProcessPoolExecutor
from dataclasses import dataclass, replace
from pathlib import Path
from typing import NamedTuple

import pytest

from lapispass.lab.scale import run
from lapispass.lab.scale.budgets import Budgets
from lapispass.lab.scale.processes import CONTROLLER
from lapispass.lab.scale.size import Bounds, Size

SMALL = Size(
    servers=12,
    services=3,
    slices=24,
    held=2,
    zones=2,
    proxies=4,
    real=1,
    hollow=4,
    requests=200.0,
    seconds=1.0,
)
# Wide enough for a machine on which much else runs: the planted faults are far beyond them.
WIDE = Budgets(cpu_percent=15.0, bytes_per_s=65_536.0, withdrawal_s=1.5, change_s=3.5)
PLANTED = (sys.executable, str(Path(__file__).parent / "planted_controller.py"))


def children(pid: int | None = None) -> set[str]:
    """The ids of a process's children; of this one's, where none is named."""
    pid = pid or os.getpid()
    return set(Path(f"/proc/{pid}/task/{pid}/children").read_text().split())


@dataclass(frozen=True)
class Played:
    """A run in a process of its own."""

    status: int
    said: list[str]
    left: set[str]  # processes that it has not ended


def play(size: Size, json_file: Path | None, command: tuple[str, ...]) -> Played:
    said: list[str] = []
    before = children()
    status = run.main(size, json_file, WIDE, Bounds(), command, said.append)
    return Played(status, said, children() - before)


def running(pids: set[str]) -> set[str]:
    """Those of them that have not ended; one that nobody has waited for has."""

    def state(pid: str) -> str:
        try:
            return (Path("/proc") / pid / "stat").read_text().rpartition(")")[2].split()[0]
        except OSError:
            return "Z"

    return {pid for pid in pids if state(pid) != "Z"}


class Plays(NamedTuple):
    """Two runs side by side; they take a while, and other tests go on meanwhile."""

    well: Future[Played]
    json_file: Path
    planted: Future[Played]


@pytest.fixture(scope="module", autouse=True)
def plays(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Plays]:
    path = tmp_path_factory.mktemp("scale") / "out.json"
    with ProcessPoolExecutor(2, multiprocessing.get_context("spawn")) as pool:
        well = pool.submit(play, SMALL, path, CONTROLLER)
        planted = pool.submit(play, replace(SMALL, real=3, hollow=0), None, PLANTED)
        yield Plays(well, path, planted)


def test_a_run_that_passes_its_own_bounds_fails_by_name_and_leaves_no_process() -> None:
    said: list[str] = []
    before = children()
    assert run.main(SMALL, None, WIDE, replace(Bounds(), processes=4), say=said.append) == 1
    assert said[0] == "RUN FAILED: processes of the run: 5, limit 4 (12 servers, 4 proxies)"
    assert said[1].startswith("RUN FAILED: 1 not played to their end, 0 budgets passed over")
    assert len(said) == 2 and children() == before


def test_a_controller_that_ends_by_itself_fails_the_run_by_name() -> None:
    said: list[str] = []
    before = children()
    command = (sys.executable, "-c", "raise SystemExit('no such luck')")
    assert run.main(SMALL, None, WIDE, command=command, say=said.append) == 1
    assert (
        said[0] == "RUN FAILED: controller real-0 ended with status 1: no such luck (12 servers, 4 proxies)"
    )
    assert len(said) == 2 and children() == before


@pytest.mark.parametrize("how", [signal.SIGTERM, signal.SIGKILL])
def test_no_process_outlives_a_run(how: signal.Signals, tmp_path: Path) -> None:
    command = [
        sys.executable,
        "-m",
        "lapispass",
        "lab",
        "scale",
        "--servers",
        "4",
        "--services",
        "2",
        "--hollow",
        "0",
    ]
    folder = {**os.environ, "TMPDIR": str(tmp_path)}  # a run that was killed leaves its own there
    with subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True, env=folder
    ) as process:
        began = time.monotonic()
        while len(started := children(process.pid)) < 4 and time.monotonic() - began < 20:
            time.sleep(0.05)
        assert len(started) >= 4  # registry, relay, servers and the controller
        process.send_signal(how)
        said, _ = process.communicate(timeout=20)
    if how == signal.SIGTERM:
        assert process.returncode == 1 and said.splitlines()[-1] == "RUN FAILED: ended by a signal"
        assert not running(started)
    began = time.monotonic()
    while running(started) and time.monotonic() - began < 10:
        time.sleep(0.05)
    assert not running(started)


def test_a_small_fleet_plays_all_phases_and_holds_wide_budgets(plays: Plays) -> None:
    played = plays.well.result()
    assert played.status == 0 and played.said[-1].startswith("all budgets held"), "\n".join(played.said)
    assert not played.left
    told = json.loads(plays.json_file.read_text())
    (run_told,) = told["runs"]
    assert [phase["name"] for phase in run_told["phases"]] == ["start", "quiet", "peak", "zone", "change"]
    assert told["seed"] == SMALL.seed and told["machine"]["cores"] == os.cpu_count()
    start, quiet, peak, zone, change = run_told["phases"]
    assert start["times_s"]["ready"].keys() == {"real-0", "the last hollow controller"}
    assert start["note"] == "12 of 12 servers probed"
    (cost,) = quiet["controllers"]
    assert cost["rates"]["report_bytes"] > 0 and cost["rates"]["relay_bytes"] > 0
    assert cost["memory_mb"] > 5 and quiet["hollow"]["news"] > 0
    assert peak["controllers"][0]["rates"]["reports"] > cost["rates"]["reports"]
    assert zone["times_s"]["withdrawal after a zone was lost"].keys() == {"real-0"}
    assert change["times_s"]["change in force"].keys() == {"real-0", "the last hollow controller"}


def test_a_controller_that_is_too_busy_and_one_that_hears_late_are_each_named(plays: Plays) -> None:
    played = plays.planted.result()
    passed = [line for line in played.said if line.startswith("PASSED OVER")]
    about = "\n".join(played.said)
    assert played.status == 1 and not played.left, about
    assert [
        line
        for line in passed
        if "quiet: real-0 (12 servers, 4 proxies): processor" in line and "limit 15 % of a core" in line
    ], about
    assert [
        line
        for line in passed
        if "change: real-1 (12 servers, 4 proxies): change in force" in line and "limit 3.5 s" in line
    ], about
    late = "change: real-1 (12 servers, 4 proxies): withdrawal after a drain was told"
    assert [line for line in passed if late in line and "limit 1.5 s" in line], about
    assert not [line for line in passed if "real-2" in line], about
    assert not [line for line in passed if "real-0" in line and "processor" not in line], about
    assert not [line for line in passed if "real-1" in line and "processor" in line], about
