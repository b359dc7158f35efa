"""The tests that are known to fail: `KNOWN-RED.txt` at the root, a line each, three at most.

A line is `test node id | cause | issue`. A listed test is run; its failure does not fail the run. All listed
tests are named at the end of the run, those that pass with the advice to take them off the list. Without the
file nothing is done. A file that cannot be read, or that names a test that does not exist, ends the run
before its first test.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

FILE = "KNOWN-RED.txt"
SEPARATOR = " | "
MOST = 3  # a longer list is a broken suite


class Known(NamedTuple):
    """One listed test."""

    test: str  # its node id, as pytest prints it
    cause: str
    issue: str


def read(path: Path) -> tuple[Known, ...]:
    """The listed tests, none where there is no file.

    Raises `pytest.UsageError` with file and line for more than `MOST` tests, a line without its three parts,
    a test that stands twice, and bytes that are no text.
    """
    if not path.exists():
        return ()
    try:
        lines = path.read_text("utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise pytest.UsageError(f"{path.name}: {error}") from None
    listed: dict[str, Known] = {}
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.rsplit(SEPARATOR, 2)]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise pytest.UsageError(f"{path.name}:{number}: not `test node id | cause | issue`: {line!r}")
        known = Known(*parts)
        if known.test in listed:
            raise pytest.UsageError(f"{path.name}:{number}: stands twice: {known.test}")
        if len(listed) == MOST:
            raise pytest.UsageError(f"{path.name}:{number}: more than {MOST} tests")
        listed[known.test] = known
    return tuple(listed.values())


class KnownRed:
    """The pytest plugin: marks the listed tests, and names them at the end."""

    def __init__(self, listed: tuple[Known, ...]) -> None:
        self.listed = listed
        self.failed: dict[str, bool] = {}  # listed tests that ran: whether any phase failed

    @pytest.hookimpl(tryfirst=True)  # before -k and --deselect take tests away
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
        """What became of a listed test in this run."""
        if test not in self.failed:
            return "not run"
        return "fails as listed" if self.failed[test] else "PASSES, take it off the list"


def should_be_collected(config: pytest.Config, test: str) -> bool:
    """Whether a run with these arguments collects the whole file of a test, if there is one."""
    file = config.rootpath / test.split("::")[0]
    if not file.exists():
        return True
    if config.getoption("ignore") or config.getoption("ignore_glob") or config.getoption("lf", False):
        return False
    asked = [config.invocation_params.dir / argument for argument in config.args if "::" not in argument]
    return any(path.resolve() in (file.resolve(), *file.resolve().parents) for path in asked)
