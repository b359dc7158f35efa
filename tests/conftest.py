"""What every test is held to beside its own assertions."""

from __future__ import annotations

import gc
import logging
from collections.abc import Iterator

import async_tests
import known_red
import pytest


def pytest_configure(config: pytest.Config) -> None:
    """`async_tests.py` runs coroutine tests; those in `KNOWN-RED.txt` may fail, see `known_red.py`."""
    config.addinivalue_line("markers", "time_limit(seconds): how long a coroutine test may take")
    config.pluginmanager.register(async_tests, "async-tests")
    if listed := known_red.read(config.rootpath / known_red.FILE):
        config.pluginmanager.register(known_red.KnownRed(listed), "known-red")


class Complaints(logging.Handler):
    """What asyncio says of tasks never awaited, exceptions never retrieved and faults in callbacks."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.said: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.said.append(self.format(record))


@pytest.fixture(autouse=True)
def nothing_is_left() -> Iterator[None]:
    """No task destroyed while pending, no exception that nobody heard; open sockets and coroutines never
    awaited are errors by the filters in `pyproject.toml`.
    """
    complaints = Complaints()
    logging.getLogger("asyncio").addHandler(complaints)
    try:
        yield
        gc.collect()
    finally:
        logging.getLogger("asyncio").removeHandler(complaints)
    assert not complaints.said, "\n".join(complaints.said)
