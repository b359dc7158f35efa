"""Errors of system calls that may pass, as Linux documents them: what they tell, and of whom.

A call that fails with one of them is made again; none of them says anything of the peer.
"""

from __future__ import annotations

import errno

# accept(2): the process, the system or its memory is at a limit; the connection stays in the queue.
EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

# socket(2), bind(2) and connect(2): this machine cannot do it now.
LOCAL = EXHAUSTED | {errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EAGAIN, errno.EINTR}

# connect(2): there is no way to the peer now; it has refused nothing.
ROUTE = frozenset({errno.EHOSTDOWN, errno.EHOSTUNREACH, errno.ENETDOWN, errno.ENETUNREACH})

# open(2) and read(2) of a file: the system, its memory or its disk, not the file.
FILE = frozenset(
    {errno.EAGAIN, errno.EBUSY, errno.EINTR, errno.EIO, errno.EMFILE, errno.ENFILE, errno.ENOMEM}
)
