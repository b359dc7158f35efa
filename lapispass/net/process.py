"""A whole process of a further front: its signals, its log and its status."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys
from collections.abc import Callable, Coroutine
from typing import Any

from lapispass.net import log, signals
from lapispass.net.event_loop import new_event_loop
from lapispass.net.log import PartLogger
from lapispass.retry import START


def install_signal_handlers(
    stop: Callable[[], None], print_counters: Callable[[], None], read_again: Callable[[], bool]
) -> None:
    """SIGTERM and SIGINT end it, SIGUSR1 prints counters, SIGHUP has it read its file again.

    `read_again` returns False where the file cannot be read for a moment: it is called again for a while.
    """
    loop = asyncio.get_running_loop()

    def reread(attempts: int = round(START.wait_s / START.pause_s)) -> None:
        if not read_again() and attempts > 1:
            loop.call_later(START.pause_s, reread, attempts - 1)

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    loop.add_signal_handler(signal.SIGUSR1, print_counters)
    loop.add_signal_handler(signal.SIGHUP, reread)


def run_to_completion(life: Coroutine[Any, Any, None]) -> None:
    """A process's life on a loop of its own. Signals are held from its end until the loop is gone.

    Guards its last moments: handlers go with the loop, and a second SIGTERM, or a SIGHUP, would end the
    process by the signal in place of with its status. Whoever is about to leave the process holds them for
    good.
    """

    async def whole() -> None:
        try:
            await life
        finally:
            signals.block_all()

    with signals.dispositions_restored(), asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(whole())


def exit_status(
    life: Coroutine[Any, Any, None],
    bad: type[Exception],
    listens: str,
    lines: logging.Formatter | None = None,
) -> int:
    """0 ended in order, 1 a fault, 2 bad input: a `bad` file, or an address `listens` that can't be had."""
    handler = log.start()
    if lines is not None:
        handler.setFormatter(lines)
    try:
        run_to_completion(life)
    except bad as error:
        print(error, file=sys.stderr)
        return 2
    except OSError as error:
        print(f"{listens}: {error}", file=sys.stderr)
        return 2
    except Exception:
        PartLogger("main").failed("ended by a fault")
        return 1
    return 0
