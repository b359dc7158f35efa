"""Transient errors of system calls by their cause, as the Linux manual pages document them.

A call that fails with one of them is retried. None of them says anything about the peer.
"""

from __future__ import annotations

import errno

# accept(2): the process or the system is out of descriptors or memory; the connection stays queued.
EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

# socket(2), bind(2) and connect(2): this machine cannot serve the call now.
LOCAL = EXHAUSTED | {errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EAGAIN, errno.EINTR}

# connect(2): there is no route to the peer now; the peer itself has refused nothing.
ROUTE = frozenset({errno.EHOSTDOWN, errno.EHOSTUNREACH, errno.ENETDOWN, errno.ENETUNREACH})

# open(2) and read(2) of a file: caused by the system, its memory or its disk, not by the file.
FILE = frozenset(
    {errno.EAGAIN, errno.EBUSY, errno.EINTR, errno.EIO, errno.EMFILE, errno.ENFILE, errno.ENOMEM}
)
