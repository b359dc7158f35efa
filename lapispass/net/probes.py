"""Probes of servers, as the module asks for them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from lapispass import interface
from lapispass.core import momentary
from lapispass.net.codec import Codec, WireError
from lapispass.net.counters import Counters
from lapispass.net.http import CONNECTION_ERRORS, HttpConnection, within
from lapispass.net.limits import Limits
from lapispass.net.log import PartLogger

ANSWERED, ERROR, TURNED_AWAY, LATE, UNREACHABLE, BROKE = range(6)


class Probes:
    """At most one probe of a server at a time, and so many of all; the others wait in line, first come first
    served.

    Guards against a zone that fell silent: its servers' probes took all places each second, always the same
    ones first, and others were never probed.
    """

    def __init__(
        self, tell: Callable[[interface.Event], None], codec: Codec, limits: Limits, counters: Counters
    ) -> None:
        self.tell, self.codec, self.limits, self.counters = tell, codec, limits, counters
        self.log = PartLogger("probes", limits.log_every_us)
        self.under_way: dict[interface.BackendId, asyncio.Task[None]] = {}
        self.line: dict[interface.BackendId, str] = {}  # those that wait, with their addresses

    def start(self, backend: interface.BackendId, address: str | None) -> None:
        if (
            backend in self.under_way
            or backend in self.line
            or address is None
            or (len(self.line) >= self.limits.servers)
        ):
            self.counters["probes.left_out"] += 1  # the module asks again
            self.log.rate_limited(
                "probe left out", server=backend, address=address, under_way=len(self.under_way)
            )
            return
        self.line[backend] = address
        self.go_on()

    def go_on(self) -> None:
        """Begins the next in line where there is room."""
        while self.line and len(self.under_way) < self.limits.probes:
            backend, address = next(iter(self.line.items()))
            del self.line[backend]
            self.counters["probes.sent"] += 1
            self.under_way[backend] = asyncio.create_task(self.probe(backend, address))

    def forget(self, backend: interface.BackendId) -> None:
        """The server is another (a new address or a restart): the old one's answer tells nothing of it."""
        self.line.pop(backend, None)
        if task := self.under_way.get(backend):
            self.counters["probes.outdated"] += 1
            task.cancel()  # the module asks again

    def close(self) -> list[asyncio.Task[None]]:
        """Begins no further one; those under way are the caller's to end."""
        self.line.clear()
        return [*self.under_way.values()]

    async def probe(self, backend: interface.BackendId, address: str) -> None:
        """The life of a probe."""
        began, load, link, made = time.monotonic_ns(), None, None, True
        reason = UNREACHABLE  # until the connection stands
        try:
            link = await HttpConnection.open(address, self.limits)
            reason = BROKE
            status, body = await within(self.limits.probe_us, self.ask(link), self.limits.late_us)
            reason = {200: ANSWERED, 503: TURNED_AWAY}.get(status, ERROR)
            if status == 200 and self.codec.told.load_fields:
                load = self.codec.load(body.decode(errors="replace"), "=")
        except WireError:  # a report that is spoilt: the probe was answered all the same
            self.counters["probes.unreadable"] += 1
        except TimeoutError:
            reason = LATE  # also where the dial took too long: nothing was refused
        except (*CONNECTION_ERRORS, ValueError) as error:  # ValueError: the list gave no address
            if link is None and isinstance(error, OSError):
                made = error.errno not in momentary.LOCAL
                reason = LATE if error.errno in momentary.ROUTE else UNREACHABLE
        except Exception:
            self.log.failed("probe failed", server=backend)
        finally:
            if link:
                link.close()
            self.under_way.pop(backend, None)
            self.go_on()
        if not made:  # it tells nothing of the server; the module asks again
            self.counters["probes.not_made"] += 1
            self.log.rate_limited("probe not made", server=backend, address=address)
            return
        self.counters[f"probes.reason_{reason}"] += 1
        took_us = (time.monotonic_ns() - began) // 1000
        self.tell(interface.ProbeResult(backend, reason, took_us, load))

    async def ask(self, link: HttpConnection) -> tuple[int, bytes]:
        await link.send("GET", "/stats" if self.codec.told.load_fields else "/health/live")
        return await link.answer(), await link.body(self.limits.answer_bytes)
