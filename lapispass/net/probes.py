"""Probes of servers, as the module asks for them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from lapispass import interface
from lapispass.core import transient_errors
from lapispass.net.codec import Codec, WireError
from lapispass.net.counters import Counters
from lapispass.net.http import CONNECTION_ERRORS, HttpConnection, within
from lapispass.net.limits import Limits
from lapispass.net.log import PartLogger

ANSWERED, ERROR, REJECTED, TIMED_OUT, UNREACHABLE, CONNECTION_FAILED = range(6)


class Probes:
    """At most one probe of a server at a time, and so many of all; the others wait in line, first come first
    served.

    Guards against a zone that fell silent: its servers' probes took all places each second, always the same
    ones first, and others were never probed.
    """

    def __init__(
        self, deliver: Callable[[interface.Event], None], codec: Codec, limits: Limits, counters: Counters
    ) -> None:
        self.deliver, self.codec, self.limits, self.counters = deliver, codec, limits, counters
        self.log = PartLogger("probes", limits.log_every_us)
        self.under_way: dict[interface.BackendId, asyncio.Task[None]] = {}
        self.queue: dict[interface.BackendId, str] = {}  # those that wait, with their addresses

    def start(self, backend: interface.BackendId, address: str | None) -> None:
        if (
            backend in self.under_way
            or backend in self.queue
            or address is None
            or (len(self.queue) >= self.limits.servers)
        ):
            self.counters["probes.left_out"] += 1  # the module asks again
            self.log.rate_limited(
                "probe left out", server=backend, address=address, under_way=len(self.under_way)
            )
            return
        self.queue[backend] = address
        self.start_queued()

    def start_queued(self) -> None:
        """Begins the next in line where there is room."""
        while self.queue and len(self.under_way) < self.limits.probes:
            backend, address = next(iter(self.queue.items()))
            del self.queue[backend]
            self.counters["probes.sent"] += 1
            self.under_way[backend] = asyncio.create_task(self.probe(backend, address))

    def forget(self, backend: interface.BackendId) -> None:
        """The server is another (a new address or a restart): the old one's answer tells nothing of it."""
        self.queue.pop(backend, None)
        if task := self.under_way.get(backend):
            self.counters["probes.outdated"] += 1
            task.cancel()  # the module asks again

    def close(self) -> list[asyncio.Task[None]]:
        """Begins no further one; those under way are the caller's to end."""
        self.queue.clear()
        return [*self.under_way.values()]

    async def probe(self, backend: interface.BackendId, address: str) -> None:
        """The life of a probe."""
        began, load, connection, made = time.monotonic_ns(), None, None, True
        reason = UNREACHABLE  # until the connection stands
        try:
            connection = await HttpConnection.open(address, self.limits)
            reason = CONNECTION_FAILED
            status, body = await within(self.limits.probe_us, self.ask(connection), self.limits.late_us)
            reason = {200: ANSWERED, 503: REJECTED}.get(status, ERROR)
            if status == 200 and self.codec.deployment.load_fields:
                load = self.codec.parse_load(body.decode(errors="replace"), "=")
        except WireError:  # a report that is spoilt: the probe was answered all the same
            self.counters["probes.unreadable"] += 1
        except TimeoutError:
            reason = TIMED_OUT  # also where the dial took too long: nothing was refused
        except (*CONNECTION_ERRORS, ValueError) as error:  # ValueError: the list gave no address
            if connection is None and isinstance(error, OSError):
                made = error.errno not in transient_errors.LOCAL
                reason = TIMED_OUT if error.errno in transient_errors.ROUTE else UNREACHABLE
        except Exception:
            self.log.failed("probe failed", server=backend)
        finally:
            if connection:
                connection.close()
            self.under_way.pop(backend, None)
            self.start_queued()
        if not made:  # it tells nothing of the server; the module asks again
            self.counters["probes.not_made"] += 1
            self.log.rate_limited("probe not made", server=backend, address=address)
            return
        self.counters[f"probes.reason_{reason}"] += 1
        took_us = (time.monotonic_ns() - began) // 1000
        self.deliver(interface.ProbeResult(backend, reason, took_us, load))

    async def ask(self, connection: HttpConnection) -> tuple[int, bytes]:
        await connection.send("GET", "/stats" if self.codec.deployment.load_fields else "/health/live")
        return await connection.answer(), await connection.body(self.limits.answer_bytes)
