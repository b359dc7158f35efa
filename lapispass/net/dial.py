"""Opens connections to an address: on a `ResilientSocket` if the host is numeric, else by asyncio."""

from __future__ import annotations

import asyncio
import ipaddress
import socket
from collections.abc import Callable

from lapispass.net.resilient_socket import ResilientSocket


def family_of(host: str) -> socket.AddressFamily | None:
    """The address family of a numeric host; None for a host name."""
    try:
        version = ipaddress.ip_address(host).version
    except ValueError:
        return None
    return socket.AF_INET6 if version == 6 else socket.AF_INET


async def connected_socket(family: socket.AddressFamily, host: str, port: int) -> ResilientSocket:
    """Returns a connected socket, which the caller has to close."""
    connection = ResilientSocket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_connect(connection, (host, port))
    except BaseException:
        connection.close()
        raise
    return connection


async def open_transport(
    protocol: Callable[[], asyncio.Protocol], host: str, port: int, max_read_bytes: int | None = None
) -> asyncio.Transport:
    """Connects to `host:port`; raises the OSError of the failed attempt.

    `max_read_bytes` bounds what is read at a time, before other connections are served.
    """
    loop = asyncio.get_running_loop()
    family = family_of(host)
    if family is None:
        transport, _ = await loop.create_connection(protocol, host, port)
        return transport
    connection = await connected_socket(family, host, port)
    connection.max_read_bytes = max_read_bytes
    try:
        transport, _ = await loop.create_connection(protocol, sock=connection)
    except BaseException:
        connection.close()
        raise
    return transport
