"""Signals: none but SIGTERM and SIGINT ends the process, also while it starts."""

import signal

FIXED = {signal.SIGTERM, signal.SIGINT, signal.SIGKILL, signal.SIGSTOP, signal.SIGCHLD, signal.SIGCONT}
FAULTS = {signal.SIGSEGV, signal.SIGBUS, signal.SIGFPE, signal.SIGILL, signal.SIGABRT, signal.SIGTRAP, signal.SIGSYS}


def ignore() -> None:
    """Guards against a signal that comes before its handler stands, or has none: it would end the process."""
    for number in signal.valid_signals() - FIXED - FAULTS:
        signal.signal(number, signal.SIG_IGN)
