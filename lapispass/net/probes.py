"""Probes servers when the controller orders it."""

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
    """Runs at most one probe of a server at a time, and at most `Limits.probes` in all.

    Further probes wait in a queue, first come, first served. Without the queue, the probes of a zone that
    does not answer could use up all slots each second, and other servers would never be probed.
    """

    def __init__(
        self, deliver: Callable[[interface.Event], None], codec: Codec, limits: Limits, counters: Counters
    ) -> None:
        self.deliver, self.codec, self.limits, self.counters = deliver, codec, limits, counters
        self.log = PartLogger("probes", limits.log_every_us)
        self.under_way: dict[interface.BackendId, asyncio.Task[None]] = {}
        self.queue: dict[interface.BackendId, str] = {}  # servers waiting for a probe, with addresses

    def start(self, backend: interface.BackendId, address: str | None) -> None:
        if (
            backend in self.under_way
            or backend in self.queue
            or address is None
            or (len(self.queue) >= self.limits.servers)
        ):
            self.counters["probes.left_out"] += 1  # the controller orders another one
            self.log.rate_limited(
                "probe skipped", server=backend, address=address, under_way=len(self.under_way)
            )
            return
        self.queue[backend] = address
        self.start_queued()

    def start_queued(self) -> None:
        """Starts queued probes while fewer than `Limits.probes` are under way."""
        while self.queue and len(self.under_way) < self.limits.probes:
            backend, address = next(iter(self.queue.items()))
            del self.queue[backend]
            self.counters["probes.sent"] += 1
            self.under_way[backend] = asyncio.create_task(self.probe(backend, address))

    def forget(self, backend: interface.BackendId) -> None:
        """Cancels the probe of a server that has a new address or was restarted: its answer is outdated."""
        self.queue.pop(backend, None)
        if task := self.under_way.get(backend):
            self.counters["probes.outdated"] += 1
            task.cancel()  # the controller orders another one

    def close(self) -> list[asyncio.Task[None]]:
        """Empties the queue. Returns the probes under way, which the caller must cancel."""
        self.queue.clear()
        return [*self.under_way.values()]

    async def probe(self, backend: interface.BackendId, address: str) -> None:
        """Makes one probe and delivers its result."""
        began, load, connection, made = time.monotonic_ns(), None, None, True
        reason = UNREACHABLE  # until the connection is established
        try:
            connection = await HttpConnection.open(address, self.limits)
            reason = CONNECTION_FAILED
            status, body = await within(self.limits.probe_us, self.ask(connection), self.limits.late_us)
            reason = {200: ANSWERED, 503: REJECTED}.get(status, ERROR)
            if status == 200 and self.codec.deployment.load_fields:
                load = self.codec.parse_load(body.decode(errors="replace"), "=")
        except WireError:  # a malformed report; the probe was answered all the same
            self.counters["probes.unreadable"] += 1
        except TimeoutError:
            reason = TIMED_OUT  # also if connecting took too long: the server refused nothing
        except (*CONNECTION_ERRORS, ValueError) as error:  # ValueError: the address is malformed
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
        if not made:  # says nothing about the server; the controller orders another one
            self.counters["probes.not_made"] += 1
            self.log.rate_limited("probe failed locally", server=backend, address=address)
            return
        self.counters[f"probes.reason_{reason}"] += 1
        took_us = (time.monotonic_ns() - began) // 1000
        self.deliver(interface.ProbeResult(backend, reason, took_us, load))

    async def ask(self, connection: HttpConnection) -> tuple[int, bytes]:
        await connection.send("GET", "/stats" if self.codec.deployment.load_fields else "/health/live")
        return await connection.answer(), await connection.body(self.limits.answer_bytes)
