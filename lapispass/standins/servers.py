"""Stand-ins for probed servers: thousands in one process, each at its own loopback address.

They answer probes and serve no requests. Servers of a lost zone accept connections but never answer, as a
machine that vanished after the connection was made.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from lapispass.standins.http import HttpConnection, HttpServer, Request, response

ALIVE = response(b"ok")
PLACEHOLDER_AGENT = b"User-Agent: hollow"  # marks probes of placeholder controllers, as opposed to real ones


@dataclass
class Probed:
    """Count of received probes, with the bytes of requests and responses."""

    probes: int = 0
    bytes_in: int = 0
    bytes_out: int = 0

    def add(self, other: Probed) -> None:
        """Adds the counts of another object to these."""
        self.probes += other.probes
        self.bytes_in += other.bytes_in
        self.bytes_out += other.bytes_out


def loopback_address(number: int) -> str:
    """The loopback address of a server, by its number. 127.0.0.x and 127.1.x.y are left to other parts."""
    return f"127.{16 + (number >> 16)}.{number >> 8 & 255}.{number & 255}"


class Servers(HttpServer):
    """All stand-in servers of this process; probes are counted by the kind of controller that sent them."""

    def __init__(self) -> None:
        super().__init__()
        self.real, self.placeholder = Probed(), Probed()
        self.silent: set[str] = set()
        self.probed: set[str] = set()  # names of servers probed by real controllers since the start

    async def listen_all(self, first: int, names: Iterable[str]) -> dict[str, str]:
        """Listens for each server, numbered from `first` on. Returns the addresses by name."""
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
