"""Runs tests that are coroutines, each in an event loop of its own that must be left without tasks."""

from __future__ import annotations

import asyncio
import inspect
from collections.abc import Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any

import pytest

LIMIT_S = 20.0


def play(test: Coroutine[Any, Any, None], limit_s: float = LIMIT_S) -> None:
    """A test's life; it leaves no task behind."""

    async def whole() -> None:
        await asyncio.wait_for(test, limit_s)
        left = asyncio.all_tasks() - {asyncio.current_task()}
        if left:  # ended by the test: they may need a round to be gone
            await asyncio.wait(left, timeout=1)
        pending = [task for task in left if not task.done()]
        assert not pending, pending

    asyncio.run(whole())


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    """Plays a coroutine test; `pytest.mark.time_limit(seconds)` allows it another time than `LIMIT_S`."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    arguments = {name: pyfuncitem.funcargs[name] for name in pyfuncitem._fixtureinfo.argnames}
    marker = pyfuncitem.get_closest_marker("time_limit")
    play(pyfuncitem.obj(**arguments), *(marker.args if marker else ()))
    return True


async def until(true: Callable[[], Any], seconds: float = 10) -> None:
    """Waits for a condition; fails the test after about that time."""
    for _ in range(int(seconds / 0.005)):
        if true():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("it never came to that")


async def ended(*tasks: asyncio.Task[Any]) -> None:
    """Cancels tasks, and waits until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@asynccontextmanager
async def running(life: Coroutine[Any, Any, Any]):
    """A task that is ended with the block."""
    task = asyncio.create_task(life)
    try:
        yield task
    finally:
        await ended(task)
