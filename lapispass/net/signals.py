"""Signals: none but SIGTERM and SIGINT ends the process, from its first moment to its last."""

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
    """Guards against a signal that comes before its handler stands, or has none: it would end the process.

    Who is told to end while still starting has nothing to bring to an end, and ends in order all the same.
    """
    for number in signal.valid_signals() - NOT_IGNORED - FAULTS:
        signal.signal(number, signal.SIG_IGN)
    for number in TERMINATION:
        signal.signal(number, lambda *_: os._exit(0))


def block_all() -> None:
    """Lets no signal through any more: the process is about to end by itself."""
    signal.pthread_sigmask(
        signal.SIG_BLOCK, signal.valid_signals() - FAULTS - {signal.SIGKILL, signal.SIGSTOP}
    )


@contextmanager
def dispositions_restored() -> Iterator[None]:
    """What signals do, and which are held, stands afterwards as it stood before."""
    held = signal.pthread_sigmask(signal.SIG_BLOCK, ())
    before = {number: signal.getsignal(number) for number in signal.valid_signals() - FAULTS}
    try:
        yield
    finally:
        for number, handler in before.items():
            if handler is not None and signal.getsignal(number) != handler:
                signal.signal(number, handler)
        signal.pthread_sigmask(signal.SIG_SETMASK, held)
