"""Signal handling: from the first to the last moment, only SIGTERM and SIGINT may end the process."""

import os
import signal
from collections.abc import Iterator
from contextlib import contextmanager

TERMINATION = {signal.SIGTERM, signal.SIGINT}
NOT_IGNORED = TERMINATION | {signal.SIGKILL, signal.SIGSTOP, signal.SIGCHLD, signal.SIGCONT}
FAULTS = {
    signal.SIGSEGV,
    signal.SIGBUS,
    signal.SIGFPE,
    signal.SIGILL,
    signal.SIGABRT,
    signal.SIGTRAP,
    signal.SIGSYS,
}


def ignore_all() -> None:
    """Ignores all signals until handlers are installed; SIGTERM and SIGINT exit with status 0.

    Without this, a signal that arrives before its handler is installed, or that has none, would kill the
    process. A process that is asked to end during its start has nothing to clean up.
    """
    for number in signal.valid_signals() - NOT_IGNORED - FAULTS:
        signal.signal(number, signal.SIG_IGN)
    for number in TERMINATION:
        signal.signal(number, lambda *_: os._exit(0))


def block_all() -> None:
    """Blocks all signals: the process is about to exit by itself."""
    signal.pthread_sigmask(
        signal.SIG_BLOCK, signal.valid_signals() - FAULTS - {signal.SIGKILL, signal.SIGSTOP}
    )


@contextmanager
def dispositions_restored() -> Iterator[None]:
    """Restores all signal handlers and the signal mask on exit."""
    held = signal.pthread_sigmask(signal.SIG_BLOCK, ())
    before = {number: signal.getsignal(number) for number in signal.valid_signals() - FAULTS}
    try:
        yield
    finally:
        for number, handler in before.items():
            if handler is not None and signal.getsignal(number) != handler:
                signal.signal(number, handler)
        signal.pthread_sigmask(signal.SIG_SETMASK, held)
