"""The state of a TCP connection as the kernel reports it (`tcp_info` of linux/tcp.h), by getsockopt(2)."""

from __future__ import annotations

import socket
import struct

# Eight single bytes precede the 32-bit counters; the constants below are indexes of counters.
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
    """The time since the last bytes arrived, read or not; None if the system does not report it."""
    counters = _counters(connection)
    return None if counters is None else counters[LAST_DATA_RECEIVED_MS] * 1000


def waiting_to_be_accepted(listener: socket.socket | None) -> int | None:
    """The number of connections in a listener's accept queue; None if the system does not report it.

    For a listening socket, the counter of unacknowledged segments holds the length of the queue.
    """
    counters = _counters(listener)
    return None if counters is None else counters[UNACKED]
