"""Lets the tests listed in `KNOWN-RED.txt` fail without failing the run.

The file at the root has one line per test, `test node id | cause | issue`, and at most three lines. A listed
test is run, and its failure does not fail the run. The summary prints all listed tests, and asks to remove
those that pass from the list. Without the file, the plugin is not registered. A file that cannot be read, or
that names a test that does not exist, ends the run before its first test.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

FILE = "KNOWN-RED.txt"
SEPARATOR = " | "
MAX_LISTED = 3  # a longer list means that the suite is broken


class KnownFailure(NamedTuple):
    """One line of the list."""

    test: str  # the node id, as pytest prints it
    cause: str
    issue: str


def read_list(path: Path) -> tuple[KnownFailure, ...]:
    """Reads the list; it is empty if there is no file.

    Raises `pytest.UsageError` for more than `MAX_LISTED` tests, a line that does not have three parts, a test
    that is listed twice (all with file and line), and a file that cannot be read as UTF-8.
    """
    if not path.exists():
        return ()
    try:
        lines = path.read_text("utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise pytest.UsageError(f"{path.name}: {error}") from None
    listed: dict[str, KnownFailure] = {}
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.rsplit(SEPARATOR, 2)]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise pytest.UsageError(f"{path.name}:{number}: not `test node id | cause | issue`: {line!r}")
        known = KnownFailure(*parts)
        if known.test in listed:
            raise pytest.UsageError(f"{path.name}:{number}: listed twice: {known.test}")
        if len(listed) == MAX_LISTED:
            raise pytest.UsageError(f"{path.name}:{number}: more than {MAX_LISTED} tests")
        listed[known.test] = known
    return tuple(listed.values())


class KnownRed:
    """The pytest plugin that marks the listed tests as expected failures and prints them in the summary."""

    def __init__(self, listed: tuple[KnownFailure, ...]) -> None:
        self.listed = listed
        self.failed: dict[str, bool] = {}  # for each listed test that ran: whether any phase failed

    @pytest.hookimpl(tryfirst=True)  # before -k and --deselect remove tests
    def pytest_collection_modifyitems(
        self, session: pytest.Session, config: pytest.Config, items: list[pytest.Item]
    ) -> None:
        collected = {item.nodeid: item for item in items}
        for known in self.listed:
            if item := collected.get(known.test):
                item.add_marker(pytest.mark.xfail(reason=known.cause, strict=False))
            elif not session.testsfailed and should_be_collected(config, known.test):
                raise pytest.UsageError(f"{FILE}: there is no test {known.test}")

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        if any(known.test == report.nodeid for known in self.listed):
            failed = report.failed or (report.skipped and hasattr(report, "wasxfail"))
            if failed or report.when == "call":
                self.failed[report.nodeid] = self.failed.get(report.nodeid, False) or failed

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        terminalreporter.section(FILE)
        for known in self.listed:
            state = self.state(known.test)
            terminalreporter.line(f"{state}: {known.test}{SEPARATOR}{known.cause}{SEPARATOR}{known.issue}")

    def state(self, test: str) -> str:
        """The outcome of a listed test in this run."""
        if test not in self.failed:
            return "not run"
        return "fails as listed" if self.failed[test] else "PASSES, remove it from the list"


def should_be_collected(config: pytest.Config, test: str) -> bool:
    """Whether a run with these arguments collects the whole file of a test; true if the file is missing."""
    file = config.rootpath / test.split("::")[0]
    if not file.exists():
        return True
    if config.getoption("ignore") or config.getoption("ignore_glob") or config.getoption("lf", False):
        return False
    requested = [config.invocation_params.dir / argument for argument in config.args if "::" not in argument]
    return any(path.resolve() in (file.resolve(), *file.resolve().parents) for path in requested)
