"""Only the tests listed in `KNOWN-RED.txt` may fail, and all of them are printed.

Each test starts pytest in a temporary folder with sample tests.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

HERE = Path(__file__).parent
SAMPLE = """
import pytest

def test_green(): pass
def test_red(): assert False, "it is red"
def test_other_red(): assert False, "it is red, too"

@pytest.mark.parametrize("text", ["a | b", "c"])
def test_red_for_one(text): assert text == "c"

@pytest.fixture
def broken(): raise OSError("no fixture")
def test_red_at_setup(broken): pass

@pytest.fixture
def untidy():
    yield
    assert False, "it left something"
def test_red_at_teardown(untidy): pass
"""


class Run:
    """A folder with sample tests, the pytest hooks and a list of known failures."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        tests = folder / "tests"
        tests.mkdir()
        for name in ("conftest.py", "known_red.py", "async_tests.py"):
            shutil.copy(HERE / name, tests / name)
        (tests / "test_sample.py").write_text(SAMPLE)
        (folder / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')

    def write_list(self, *lines: str) -> None:
        (self.folder / "KNOWN-RED.txt").write_text("".join(f"{line}\n" for line in lines))

    def __call__(self, *arguments: str) -> tuple[int, str]:
        """Runs pytest; returns its exit status and output."""
        command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", *arguments]
        environment = {**os.environ, "PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1"}
        completed = subprocess.run(
            command, cwd=self.folder, env=environment, capture_output=True, text=True, timeout=120
        )
        return completed.returncode, completed.stdout + completed.stderr


@pytest.fixture
def run(tmp_path: Path) -> Run:
    return Run(tmp_path)


def entry(test: str) -> str:
    return f"tests/test_sample.py::{test} | a fault | issue 36"


def test_without_the_file_nothing_happens(run: Run) -> None:
    status, output = run()
    assert status == 1 and "3 failed, 3 passed, 2 errors" in output, output
    assert "KNOWN-RED" not in output


def test_just_the_listed_tests_may_fail_and_are_named(run: Run) -> None:
    run.write_list(entry("test_red"), entry("test_red_for_one[a | b]"))
    status, output = run()
    assert status == 1, "other tests fail, too"
    assert f"fails as listed: {entry('test_red')}" in output
    assert f"fails as listed: {entry('test_red_for_one[a | b]')}" in output
    assert "FAILED tests/test_sample.py::test_other_red" in output
    assert "FAILED tests/test_sample.py::test_red " not in output
    assert "1 failed, 3 passed, 2 xfailed, 2 errors" in output, output


def test_a_run_whose_red_tests_are_all_listed_passes(run: Run) -> None:
    run.write_list(entry("test_red"), "", entry("test_other_red"))
    status, output = run("-k", "test_green or test_other_red or (test_red and not for_one and not red_at)")
    assert (
        status == 0
        and output.count("fails as listed: ") == 2
        and "1 passed, 4 deselected, 2 xfailed" in output
    ), output


@pytest.mark.parametrize("test", ["test_red_at_setup", "test_red_at_teardown"])
def test_a_listed_test_may_fail_in_each_of_its_phases(run: Run, test: str) -> None:
    run.write_list(entry(test))
    status, output = run("-k", test)
    assert status == 0 and f"fails as listed: {entry(test)}" in output, output


def test_a_listed_test_that_passes_is_named(run: Run) -> None:
    run.write_list(entry("test_green"))
    status, output = run("-k", "green")
    assert status == 0 and f"PASSES, remove it from the list: {entry('test_green')}" in output, output


def test_a_listed_test_outside_a_partial_run_is_named_and_not_missed(run: Run) -> None:
    run.write_list(entry("test_red"))
    for arguments in (("-k", "green"), ("tests/test_sample.py::test_green",)):
        status, output = run(*arguments)
        assert status == 0 and f"not run: {entry('test_red')}" in output, output


@pytest.mark.parametrize(
    ("lines", "complaint"),
    [
        ([entry(f"test_{n}") for n in range(4)], "KNOWN-RED.txt:4: more than 3 tests"),
        ([entry("test_red"), "test_red"], "KNOWN-RED.txt:2: not `test node id | cause | issue`: 'test_red'"),
        (["tests/test_sample.py::test_red |  | issue 36"], "KNOWN-RED.txt:1: not `test node id"),
        (["test_red | a fault | issue 36"], "KNOWN-RED.txt:1: not `test node id"),
        (["# a remark"], "KNOWN-RED.txt:1: not `test node id"),
        ([entry("test_red"), entry("test_red")], "KNOWN-RED.txt:2: listed twice"),
    ],
)
def test_a_list_that_cannot_be_read_ends_the_run_before_its_first_test(
    run: Run, lines: list[str], complaint: str
) -> None:
    run.write_list(*lines)
    status, output = run()
    assert status == pytest.ExitCode.USAGE_ERROR and complaint in output and "passed" not in output, output


@pytest.mark.parametrize("arguments", [(), ("tests",), ("tests/test_sample.py", "-k", "green")])
@pytest.mark.parametrize(
    "test",
    ["tests/test_sample.py::test_gone", "tests/test_sample.py::test_red_for_one", "tests/gone.py::test"],
)
def test_a_listed_test_that_does_not_exist_ends_the_run_before_its_first_test(
    run: Run, test: str, arguments: tuple[str, ...]
) -> None:
    run.write_list(f"{test} | a fault | issue 36")
    status, output = run(*arguments)
    assert status == pytest.ExitCode.USAGE_ERROR and f"there is no test {test}" in output, output
    assert "passed" not in output


def test_a_list_that_is_no_text_is_refused(run: Run) -> None:
    (run.folder / "KNOWN-RED.txt").write_bytes(b"\xff\xfe\n")
    status, output = run()
    assert status == pytest.ExitCode.USAGE_ERROR and "KNOWN-RED.txt: 'utf-8' codec" in output, output


def test_a_file_that_cannot_be_imported_is_told_as_such(run: Run) -> None:
    run.write_list(entry("test_red"))
    (run.folder / "tests" / "test_sample.py").write_text("import nothing_of_that_name\n")
    status, output = run()
    assert status == pytest.ExitCode.INTERRUPTED and "nothing_of_that_name" in output, output
