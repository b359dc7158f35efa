"""Runs a server as a whole process: its signals, its log and its exit status."""

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
    stop: Callable[[], None], print_counters: Callable[[], None], reload: Callable[[], bool]
) -> None:
    """SIGTERM and SIGINT stop the process, SIGUSR1 logs its counters, SIGHUP reloads its file.

    `reload` returns False if the file temporarily cannot be read; it is then retried for a while.
    """
    loop = asyncio.get_running_loop()

    def reload_with_retries(attempts: int = round(START.wait_s / START.pause_s)) -> None:
        if not reload() and attempts > 1:
            loop.call_later(START.pause_s, reload_with_retries, attempts - 1)

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    loop.add_signal_handler(signal.SIGUSR1, print_counters)
    loop.add_signal_handler(signal.SIGHUP, reload_with_retries)


def run_to_completion(main: Coroutine[Any, Any, None]) -> None:
    """Runs `main` on an event loop of its own. Signals are blocked from its end until the loop is closed.

    The handlers are removed with the loop: a second SIGTERM, or a SIGHUP, would then kill the process, which
    would not exit with its status. A caller that is about to exit has to block signals for good.
    """

    async def run_and_block_signals() -> None:
        try:
            await main
        finally:
            signals.block_all()

    with signals.dispositions_restored(), asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(run_and_block_signals())


def exit_status(
    main: Coroutine[Any, Any, None],
    bad_input: type[Exception],
    listen_setting: str,
    formatter: logging.Formatter | None = None,
) -> int:
    """Runs `main` and returns the exit status: 0 for a regular end, 1 for a fault, 2 for bad input.

    Bad input is a `bad_input` exception, or an OSError for the address that `listen_setting` names.
    """
    handler = log.start()
    if formatter is not None:
        handler.setFormatter(formatter)
    try:
        run_to_completion(main)
    except bad_input as error:
        print(error, file=sys.stderr)
        return 2
    except OSError as error:
        print(f"{listen_setting}: {error}", file=sys.stderr)
        return 2
    except Exception:
        PartLogger("main").failed("ended by a fault")
        return 1
    return 0
