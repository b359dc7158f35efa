"""Opens a connection to an address, on a `ResilientSocket` where the address is a number."""

from __future__ import annotations

import asyncio
import ipaddress
import socket
from collections.abc import Callable

from lapispass.net.resilient_socket import ResilientSocket


def family_of(host: str) -> socket.AddressFamily | None:
    """The family of a numeric address; None for a name."""
    try:
        version = ipaddress.ip_address(host).version
    except ValueError:
        return None
    return socket.AF_INET6 if version == 6 else socket.AF_INET


async def connected_socket(family: socket.AddressFamily, host: str, port: int) -> ResilientSocket:
    """A socket on which connect(2) has ended; it is the caller's to close."""
    connection = ResilientSocket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_connect(connection, (host, port))
    except BaseException:
        connection.close()
        raise
    return connection


async def open_transport(protocol: Callable[[], asyncio.Protocol], host: str, port: int) -> asyncio.Transport:
    """A transport to `host:port` with its protocol. Raises the OSError of the attempt that failed."""
    loop = asyncio.get_running_loop()
    family = family_of(host)
    if family is None:
        transport, _ = await loop.create_connection(protocol, host, port)
        return transport
    connection = await connected_socket(family, host, port)
    try:
        transport, _ = await loop.create_connection(protocol, sock=connection)
    except BaseException:
        connection.close()
        raise
    return transport
