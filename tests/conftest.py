"""Pytest hooks, and the checks that every test must pass in addition to its own assertions."""

from __future__ import annotations

import gc
import logging
from collections.abc import Iterator

import async_tests
import known_red
import pytest


def pytest_configure(config: pytest.Config) -> None:
    """Registers the plugin that runs coroutine tests, and the one for the tests listed in `KNOWN-RED.txt`."""
    config.addinivalue_line("markers", "time_limit(seconds): how long a coroutine test may take")
    config.pluginmanager.register(async_tests, "async-tests")
    if listed := known_red.read_list(config.rootpath / known_red.FILE):
        config.pluginmanager.register(known_red.KnownRed(listed), "known-red")


class AsyncioErrors(logging.Handler):
    """Collects what asyncio logs about pending tasks, unretrieved exceptions and errors in callbacks."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.messages: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.messages.append(self.format(record))


@pytest.fixture(autouse=True)
def no_asyncio_errors() -> Iterator[None]:
    """Fails a test that leaves a pending task to be destroyed or an exception that is never retrieved.

    Sockets left open and coroutines never awaited are errors by the filters in `pyproject.toml`.
    """
    errors = AsyncioErrors()
    logging.getLogger("asyncio").addHandler(errors)
    try:
        yield
        gc.collect()
    finally:
        logging.getLogger("asyncio").removeHandler(errors)
    assert not errors.messages, "\n".join(errors.messages)
