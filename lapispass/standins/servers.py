"""Servers that are probed: thousands in one process, each at an address of its own in 127.0.0.0/8.

They answer probes and take no requests. Those of a lost zone take connections and stay silent, as a machine
that vanished does once the connection stands.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from lapispass.standins.http import HttpConnection, HttpServer, Request, response

ALIVE = response(b"ok")
PLACEHOLDER_AGENT = b"User-Agent: hollow"  # tells a hollow controller's probes from a real one's


@dataclass
class Probed:
    """Probes that came, and the bytes of them and of their answers."""

    probes: int = 0
    bytes_in: int = 0
    bytes_out: int = 0

    def add(self, other: Probed) -> None:
        """Adds another sum to this one."""
        self.probes += other.probes
        self.bytes_in += other.bytes_in
        self.bytes_out += other.bytes_out


def loopback_address(number: int) -> str:
    """The loopback address of a server; 127.0.0.x and 127.1.x.y are left to others."""
    return f"127.{16 + (number >> 16)}.{number >> 8 & 255}.{number & 255}"


class Servers(HttpServer):
    """Stand-ins for servers, named by who probes them."""

    def __init__(self) -> None:
        super().__init__()
        self.real, self.placeholder = Probed(), Probed()
        self.silent: set[str] = set()
        self.probed: set[str] = set()  # by real controllers, since the start

    async def listen_all(self, first: int, names: Iterable[str]) -> dict[str, str]:
        """Listens for each server, by its number from `first` on; the addresses by name."""
        return {
            name: await self.listen(name, loopback_address(number))
            for number, name in enumerate(names, first)
        }

    def serve(self, connection: HttpConnection, request: Request) -> None:
        probed = self.placeholder if PLACEHOLDER_AGENT in request.head else self.real
        if probed is self.real:
            self.probed.add(connection.client)
        probed.probes += 1
        probed.bytes_in += len(request.head) + 4
        if connection.client not in self.silent:
            probed.bytes_out += len(ALIVE)
            connection.write(ALIVE)
