"""The client of the registry: reads the server list and watches its changes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from lapispass import interface
from lapispass.net.codec import Codec, RegistryMessage, WireError
from lapispass.net.counters import Counters
from lapispass.net.http import (
    CONNECTION_ERRORS,
    Dialer,
    Endpoint,
    HttpConnection,
    IdleTimeout,
    InboxFull,
    cancel_and_wait,
    within,
)
from lapispass.net.limits import Limits
from lapispass.net.lines import LineSplitter, LineTooLong
from lapispass.net.log import PartLogger

TARGET = "/registry/instances"


class Progress:
    """Raises TimeoutError in its body if the registry is idle, or takes too long to send a list or line.

    Bytes may trickle in and never form a line, so only a complete line, or the first byte of the next one,
    resets the time-out. The list of a large fleet may take long, as all controllers may request it at once:
    each list that began to arrive but was not complete in time doubles the time for the next one. The idle
    time-out does not grow.
    """

    def __init__(self, registry: Registry, idle_us: int) -> None:
        self.registry, self.idle_us = registry, idle_us
        self.loop, self.idle_timeout = asyncio.get_running_loop(), IdleTimeout(registry.limits.late_us)
        self.begun, self.until = False, 0.0

    def received(self, whole: bool = False, begun: bool = True) -> None:
        """A chunk has arrived: `whole` if it completed a line, `begun` if it began another one."""
        now = self.loop.time()
        if whole or not self.begun:
            doublings = min(self.registry.slow_reads, self.registry.limits.list_doublings)
            self.until = now + (self.idle_us << doublings) / 1e6
        self.begun = begun
        self.idle_timeout.extend(min(self.idle_us, max(0, int((self.until - now) * 1e6))))

    async def __aenter__(self) -> Progress:
        await self.idle_timeout.__aenter__()
        self.idle_timeout.extend(self.idle_us)
        return self

    async def __aexit__(self, *raised: Any) -> bool | None:
        try:
            return await self.idle_timeout.__aexit__(*raised)
        except TimeoutError:
            self.registry.slow_reads += self.begun
            raise


class Registry:
    """Follows the server list on request. When a watch is lost, the controller must request a new one."""

    def __init__(
        self,
        address: str,
        known: RegistryMessage,
        deliver: Callable[[interface.Event], None],
        codec: Codec,
        limits: Limits,
        counters: Counters,
        on_replaced: Callable[[interface.BackendId], None] = lambda backend: None,
    ) -> None:
        self.deliver, self.codec, self.limits, self.counters = deliver, codec, limits, counters
        self.on_replaced = on_replaced  # called for a server that has a new address or was restarted
        self.endpoint, self.dialer = Endpoint(address, limits, self.connect, self.switch), Dialer(limits)
        self.watch_task: asyncio.Task[None] | None = None
        self.log = PartLogger("registry", limits.log_every_us)
        self.version: int | None = known.version if known.entries else None
        self.addresses: dict[interface.BackendId, str] = dict(known.addresses)
        self.start_times: dict[interface.BackendId, int] = {
            entry.backend: entry.started_us or 0 for entry in known.entries
        }
        self.requested, self.watch_open = asyncio.Event(), asyncio.Event()
        self.unlisted_seen, self.unlisted = asyncio.Event(), None  # a server that others name, but no list
        self.updated_at = 0.0  # when the last update arrived or a watch was opened
        self.slow_reads = 0  # consecutive lists and lines that began to arrive and were not complete in time
        deliver(interface.RegistryUpdate("remembered", known.entries))

    def follow(self) -> None:
        """Requests updates from now on, preceded by what was missed."""
        self.requested.set()

    async def run(self) -> None:
        """Runs one watch after the other, each when it is requested."""
        await self.requested.wait()
        others = [
            asyncio.create_task(work) for work in (self.endpoint.follow_moves(), self.renew_idle_watches())
        ]
        try:
            while True:
                self.requested.clear()
                self.watch_task = asyncio.create_task(self.watch())
                await asyncio.wait((self.watch_task,))
                if self.endpoint.standby:
                    continue  # the new watch starts from the known version: nothing is missed
                self.counters["registry.lost"] += 1
                self.deliver(interface.RegistryUpdate("lost", ()))
                # No turn can request a watch while a relay call is unsettled; it is then reopened unasked.
                watch_reopen_us = int(self.limits.watch_reopen_us * random.uniform(0.8, 1.2))
                try:
                    await within(watch_reopen_us, self.requested.wait(), 0)
                except TimeoutError:
                    self.counters["registry.unasked"] += 1
        finally:
            await cancel_and_wait(*others, self.watch_task)
            self.endpoint.close()

    def move(self, address: str) -> None:
        """Follows the registry to a new address. The watch continues there as soon as it is answered."""
        self.endpoint.move(address)

    def switch(self) -> None:
        """Restarts the watch over the standby connection."""
        self.requested.set()
        if self.watch_task:
            self.watch_task.cancel()

    def note_mention(self, backend: interface.BackendId) -> None:
        """Another peer mentioned a server. If no list named it, our watch may be behind the registry."""
        if backend not in self.start_times:
            self.unlisted = backend
            self.unlisted_seen.set()

    async def renew_idle_watches(self) -> None:
        """Replaces a watch that had no update for long or seems outdated; the old one is used meanwhile.

        A watch may send heartbeats and nothing else while the list changes, and nothing else would replace
        it. The registry can take one call of each controller within some seconds, so renewals are rare, have
        jitter, and become rarer while the registry is slow.
        """
        loop, limits, every_us, asked_at = (
            asyncio.get_running_loop(),
            self.limits,
            self.limits.watch_renew_us,
            0.0,
        )
        while await self.watch_open.wait():
            due = self.updated_at + every_us * random.uniform(0.8, 1.2) / 1e6
            try:
                async with asyncio.timeout(max(0.0, due - loop.time())):
                    await self.unlisted_seen.wait()
            except TimeoutError:
                if loop.time() < self.updated_at + 0.8 * every_us / 1e6:
                    continue  # an update has arrived meanwhile
            else:
                self.unlisted_seen.clear()
                await asyncio.sleep(limits.unlisted_us * random.uniform(0.5, 1.5) / 1e6)
                if self.unlisted in self.start_times or loop.time() < asked_at + 5 * limits.unlisted_us / 1e6:
                    continue  # the list was only slightly behind
            if not self.watch_open.is_set():
                continue
            self.counters["registry.renewals"] += 1
            self.start_times.setdefault(self.unlisted, 0)  # an unlisted server causes one renewal only
            asked_at = self.updated_at = loop.time()
            try:
                await self.endpoint.renew()
                slow = loop.time() - asked_at > limits.watch_renew_slow_us / 1e6
            except Exception:  # whatever the error, this task must not end
                slow = True
            every_us = min(2 * every_us, limits.watch_renew_max_us) if slow else limits.watch_renew_us

    async def connect(self, address: str) -> HttpConnection:
        """Opens a connection; if a version is known, its watch is started and answered, too."""
        connection = await self.dialer.open(address)
        try:
            if self.version is not None:
                await self.ask(connection)
        except BaseException:
            connection.close()
            raise
        return connection

    async def ask(self, connection: HttpConnection) -> None:
        connection.watch_from = self.version
        status = await within(
            self.limits.list_us,
            self.call(connection, f"{TARGET}?watch=1&from={self.version}"),
            self.limits.late_us,
        )
        if status != 200:
            raise EOFError(f"status {status}")

    async def watch(self) -> None:
        """Runs one watch from its request to its end."""
        why, connection = "", None
        try:
            if self.version is None:  # no version to start from
                await self.fetch()
            connection = await self.endpoint.connect()
            if connection.watch_from is None:
                await self.ask(connection)
            self.counters["registry.watches"] += 1
            self.log.info("watch open", version=self.version)
            self.updated_at = asyncio.get_running_loop().time()
            self.watch_open.set()
            lines = LineSplitter(self.limits.list_bytes)
            async with Progress(self, self.limits.watch_idle_us) as progress:
                while chunk := await connection.read_chunk():
                    complete_lines = 0
                    for line in lines.split(chunk):
                        complete_lines += 1
                        if line:
                            self.take(self.codec.parse_registry_text(line), connection)
                    progress.received(bool(complete_lines), bool(lines.unfinished))
            raise EOFError("watch ended")
        except (*CONNECTION_ERRORS, WireError, LineTooLong) as error:
            why = f"{type(error).__name__} {error}"
        except Exception as error:  # a bug must only cost this watch, not the controller
            why = type(error).__name__
            self.log.failed("watch failed")
        finally:
            self.watch_open.clear()
            if connection:
                connection.close()
        self.log.rate_limited("watch lost", version=self.version, why=why)

    @staticmethod
    async def call(connection: HttpConnection, target: str) -> int:
        await connection.send("GET", target)
        return await connection.answer()

    async def fetch(self) -> None:
        """Reads the whole list once."""
        connection = await self.endpoint.connect()
        try:
            status = await within(self.limits.list_us, self.call(connection, TARGET), self.limits.late_us)
            async with Progress(self, self.limits.list_us) as progress:
                body = await connection.body(self.limits.list_bytes, progress.received)
        finally:
            connection.close()
        if status != 200:
            raise EOFError(f"status {status}")
        self.counters["registry.lists"] += 1
        self.take(self.codec.parse_registry_text(body))

    def take(self, message: RegistryMessage, connection: HttpConnection | None = None) -> None:
        """Handles one message of the registry."""
        self.counters["registry.messages"] += 1
        if message.unreadable:
            self.counters["registry.unreadable"] += message.unreadable
            self.log.rate_limited("malformed entries", count=message.unreadable, version=message.version)
        entries = message.entries[: self.limits.servers]
        if unknown := len(message.entries) - len(entries):
            self.counters["registry.too_many"] += unknown
            self.log.rate_limited("too many servers", left_out=unknown, most=self.limits.servers)
        behind = self.version is not None and message.version < self.version
        if connection:
            if behind and connection.watch_from is not None and connection.watch_from <= message.version:
                return  # the old watch has delivered it already
            connection.watch_from, self.updated_at = None, asyncio.get_running_loop().time()
        if behind and not message.whole:
            # Changes to an older version cannot be applied: the next watch begins with the whole list.
            self.version = None
            raise WireError(f"list version went back to {message.version}")
        # A malformed entry must not make its server count as gone, as one missing from a whole list does.
        kind = "whole" if message.whole and not message.unreadable and not unknown else "changes"
        try:
            self.deliver(interface.RegistryUpdate(kind, entries))
        except InboxFull:
            self.version = None  # the whole list is read again
            raise
        self.version, self.slow_reads = message.version, 0
        for backend, _, _, _, born_us in entries:
            address = message.addresses.get(backend, self.addresses.get(backend))
            if address != self.addresses.get(backend) or (
                born_us and born_us != self.start_times.get(backend, 0)
            ):
                self.on_replaced(backend)
            # Keeps the servers ordered by their last update, the oldest first.
            if self.addresses.pop(backend, None) or address:
                self.addresses[backend] = address
            known_us = self.start_times.pop(backend, 0)
            self.start_times[backend] = born_us or known_us
        for known in (self.addresses, self.start_times):
            while len(known) > 2 * self.limits.servers:
                del known[next(iter(known))]
