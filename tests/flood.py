"""Clients that send requests as fast as they can, in a process of their own.

Usage: `python tests/flood.py HOST PORT CONNECTIONS SECONDS [FIRST LINE]`. The clients read all answers.
They send PING, or, with FIRST and LINE, the line FIRST once and then LINE repeatedly.
"""

from __future__ import annotations

import select
import socket
import sys
import time

PING, REPEATED = "PING", 10_000


def flood(
    address: tuple[str, int], connections: int, for_s: float, first: str = "", line: str = PING
) -> None:
    """Writes and reads on all connections for `for_s` seconds, or until all are closed."""
    requests = f"{line}\r\n".encode() * REPEATED
    clients = [socket.create_connection(address) for _ in range(connections)]
    sent = dict.fromkeys(clients, 0)
    for client in clients:
        if first:
            client.sendall(f"{first}\r\n".encode())
        client.setblocking(False)
    until = time.monotonic() + for_s
    while sent and time.monotonic() < until:
        readable, writable, _ = select.select(sent, sent, (), 0.1)
        for client in writable:
            try:
                sent[client] += client.send(memoryview(requests)[sent[client] % len(requests) :])
            except OSError:
                sent.pop(client)
        for client in readable:
            try:
                ended = not client.recv(1 << 18)
            except OSError:
                ended = True
            if ended:
                sent.pop(client, None)
    for client in clients:
        client.close()


if __name__ == "__main__":
    host, port, connections, for_s, *lines = sys.argv[1:]
    flood((host, int(port)), int(connections), float(for_s), *lines)
