"""Runs each coroutine test in an event loop of its own; a test must not leave tasks behind."""

from __future__ import annotations

import asyncio
import inspect
from collections.abc import Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any

import pytest

LIMIT_S = 20.0


def play(test: Coroutine[Any, Any, None], limit_s: float = LIMIT_S) -> None:
    """Runs a test's coroutine, and fails if it exceeds its time limit or leaves a task behind."""

    async def run_and_check() -> None:
        await asyncio.wait_for(test, limit_s)
        remaining = asyncio.all_tasks() - {asyncio.current_task()}
        if remaining:  # a task that the test has cancelled may need another iteration of the loop to end
            await asyncio.wait(remaining, timeout=1)
        unfinished = [task for task in remaining if not task.done()]
        assert not unfinished, unfinished

    asyncio.run(run_and_check())


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    """Runs a coroutine test; `pytest.mark.time_limit(seconds)` sets a time limit other than `LIMIT_S`."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    arguments = {name: pyfuncitem.funcargs[name] for name in pyfuncitem._fixtureinfo.argnames}
    marker = pyfuncitem.get_closest_marker("time_limit")
    play(pyfuncitem.obj(**arguments), *(marker.args if marker else ()))
    return True


async def until(condition: Callable[[], Any], seconds: float = 10) -> None:
    """Waits until a condition is true, and fails the test after about `seconds`."""
    for _ in range(int(seconds / 0.005)):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("the condition did not become true in time")


async def cancel_and_wait(*tasks: asyncio.Task[Any]) -> None:
    """Cancels tasks and waits until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@asynccontextmanager
async def running(coroutine: Coroutine[Any, Any, Any]):
    """Runs a coroutine as a task, which is cancelled at the end of the block."""
    task = asyncio.create_task(coroutine)
    try:
        yield task
    finally:
        await cancel_and_wait(task)
