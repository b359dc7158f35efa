"""What the system knows of a TCP connection (`tcp_info` of linux/tcp.h), read by `getsockopt`."""

from __future__ import annotations

import socket
import struct

# Eight single bytes stand before the counters of 32 bits each, which are named here by their place.
COUNTERS = struct.Struct("=8x12I")
UNACKED, LAST_DATA_RECEIVED_MS = 4, 11


def _counters(connection: socket.socket | None) -> tuple[int, ...] | None:
    if connection is None or connection.fileno() < 0:
        return None
    try:
        return COUNTERS.unpack(connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, COUNTERS.size))
    except (OSError, struct.error):
        return None


def since_last_data_us(connection: socket.socket | None) -> int | None:
    """How long ago the last bytes came, read or not; None where the system does not tell."""
    counters = _counters(connection)
    return None if counters is None else counters[LAST_DATA_RECEIVED_MS] * 1000


def waiting_to_be_accepted(listener: socket.socket | None) -> int | None:
    """Connections in a listening socket's queue; None where the system does not tell.

    For a socket that listens, the counter of unacknowledged segments holds the length of the queue.
    """
    counters = _counters(listener)
    return None if counters is None else counters[UNACKED]
