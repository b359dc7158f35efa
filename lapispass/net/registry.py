"""The registry: the list of servers and the watch on its changes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from lapispass import interface
from lapispass.net.codec import Codec, Listing, WireError
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
    """Ends the reading of lists with a TimeoutError where the registry is silent, or too slow with one.

    Guards against bytes that dribble in and never make a line: only a whole one, or the first byte of a next
    one, is a sign of life. Guards the list of a large fleet, too, which all controllers may ask for at once:
    one that comes, but not whole in its time, gives the next one twice as long. Silence is given no longer.
    """

    def __init__(self, registry: Registry, quiet_us: int) -> None:
        self.registry, self.quiet_us = registry, quiet_us
        self.loop, self.quiet = asyncio.get_running_loop(), IdleTimeout(registry.limits.late_us)
        self.begun, self.until = False, 0.0

    def came(self, whole: bool = False, begun: bool = True) -> None:
        """A piece has come: whether it ended a line, and whether it has begun another."""
        now = self.loop.time()
        if whole or not self.begun:
            doublings = min(self.registry.slow, self.registry.limits.list_doublings)
            self.until = now + (self.quiet_us << doublings) / 1e6
        self.begun = begun
        self.quiet.extend(min(self.quiet_us, max(0, int((self.until - now) * 1e6))))

    async def __aenter__(self) -> Progress:
        await self.quiet.__aenter__()
        self.quiet.extend(self.quiet_us)
        return self

    async def __aexit__(self, *raised: Any) -> bool | None:
        try:
            return await self.quiet.__aexit__(*raised)
        except TimeoutError:
            self.registry.slow += self.begun
            raise


class Registry:
    """Follows the list once asked to; a watch that ends is told as lost, and the module asks again."""

    def __init__(
        self,
        address: str,
        known: Listing,
        tell: Callable[[interface.Event], None],
        codec: Codec,
        limits: Limits,
        counters: Counters,
        replaced: Callable[[interface.BackendId], None] = lambda backend: None,
    ) -> None:
        self.tell, self.codec, self.limits, self.counters = tell, codec, limits, counters
        self.replaced = replaced  # is told of a server that is at another address now, or has started anew
        self.place, self.dialer = Endpoint(address, limits, self.begin, self.switch), Dialer(limits)
        self.watching: asyncio.Task[None] | None = None
        self.log = PartLogger("registry", limits.log_every_us)
        self.version: int | None = known.version if known.entries else None
        self.addresses: dict[interface.BackendId, str] = dict(known.addresses)
        self.born: dict[interface.BackendId, int] = {
            entry.backend: entry.started_us or 0 for entry in known.entries
        }
        self.asked, self.open = asyncio.Event(), asyncio.Event()
        self.strange, self.stranger = asyncio.Event(), None  # a server that only others name
        self.heard_at = 0.0  # when the list last told something, or a watch was opened
        self.slow = 0  # lists and lines in a row that were begun and did not come whole in time
        tell(interface.RegistryUpdate("remembered", known.entries))

    def follow(self) -> None:
        """Asks for the changes from now on; what was missed comes first."""
        self.asked.set()

    async def run(self) -> None:
        """One watch after the other, each when it is asked for."""
        await self.asked.wait()
        beside = [asyncio.create_task(life) for life in (self.place.follow_moves(), self.renewals())]
        try:
            while True:
                self.asked.clear()
                self.watching = asyncio.create_task(self.watch())
                await asyncio.wait((self.watching,))
                if self.place.standby:
                    continue  # it goes on from the version known: nothing is missed
                self.counters["registry.lost"] += 1
                self.tell(interface.RegistryUpdate("lost", ()))
                # Guards the list where no turn can ask, as while a relay call is unsettled.
                watch_reopen_us = int(self.limits.watch_reopen_us * random.uniform(0.8, 1.2))
                try:
                    await within(watch_reopen_us, self.asked.wait(), 0)
                except TimeoutError:
                    self.counters["registry.unasked"] += 1
        finally:
            await cancel_and_wait(*beside, self.watching)
            self.place.close()

    def move(self, address: str) -> None:
        """Follows the registry to another place; the watch goes on there as soon as it is answered."""
        self.place.move(address)

    def switch(self) -> None:
        """A connection that stands takes over, whatever the present one is waiting for."""
        self.asked.set()
        if self.watching:
            self.watching.cancel()

    def named(self, backend: interface.BackendId) -> None:
        """Somebody else spoke of a server: one that the list never named shows that it moves on elsewhere."""
        if backend not in self.born:
            self.stranger = backend
            self.strange.set()

    async def renewals(self) -> None:
        """Opens a watch anew that told nothing for long, or seems to be behind, before the old one is left.

        Guards against a watch that gives signs of life and nothing else while the list moves on elsewhere:
        nobody would ever ask again. A registry can take one call of every controller in some seconds, so each
        asks by its own chance, seldom, and less often where the registry is slow.
        """
        loop, limits, every_us, asked_at = (
            asyncio.get_running_loop(),
            self.limits,
            self.limits.watch_renew_us,
            0.0,
        )
        while await self.open.wait():
            due = self.heard_at + every_us * random.uniform(0.8, 1.2) / 1e6
            try:
                async with asyncio.timeout(max(0.0, due - loop.time())):
                    await self.strange.wait()
            except TimeoutError:
                if loop.time() < self.heard_at + 0.8 * every_us / 1e6:
                    continue  # it has told something meanwhile
            else:
                self.strange.clear()
                await asyncio.sleep(limits.unlisted_us * random.uniform(0.5, 1.5) / 1e6)
                if self.stranger in self.born or loop.time() < asked_at + 5 * limits.unlisted_us / 1e6:
                    continue  # the list was a little behind only
            if not self.open.is_set():
                continue
            self.counters["registry.renewals"] += 1
            self.born.setdefault(self.stranger, 0)  # one that no list names is asked for once
            asked_at = self.heard_at = loop.time()
            try:
                await self.place.renew()
                slow = loop.time() - asked_at > limits.watch_renew_slow_us / 1e6
            except Exception:  # whatever it was: this life must not end
                slow = True
            every_us = min(2 * every_us, limits.watch_renew_max_us) if slow else limits.watch_renew_us

    async def begin(self, address: str) -> HttpConnection:
        """A connection; its watch is answered, where there is a version to go on from."""
        link = await self.dialer.open(address)
        try:
            if self.version is not None:
                await self.ask(link)
        except BaseException:
            link.close()
            raise
        return link

    async def ask(self, link: HttpConnection) -> None:
        link.watch_from = self.version
        status = await within(
            self.limits.list_us, self.call(link, f"{TARGET}?watch=1&from={self.version}"), self.limits.late_us
        )
        if status != 200:
            raise EOFError(f"status {status}")

    async def watch(self) -> None:
        """The life of a watch, from its call to its end."""
        why, link = "", None
        try:
            if self.version is None:  # nothing to go on from
                await self.fetch()
            link = await self.place.connect()
            if link.watch_from is None:
                await self.ask(link)
            self.counters["registry.watches"] += 1
            self.log.say("watch open", version=self.version)
            self.heard_at = asyncio.get_running_loop().time()
            self.open.set()
            lines = LineSplitter(self.limits.list_bytes)
            async with Progress(self, self.limits.watch_idle_us) as progress:
                while piece := await link.read_chunk():
                    whole = 0
                    for line in lines.split(piece):
                        whole += 1
                        if line:
                            self.take(self.codec.listing(line), link)
                    progress.came(bool(whole), bool(lines.unfinished))
            raise EOFError("ended")
        except (*CONNECTION_ERRORS, WireError, LineTooLong) as error:
            why = f"{type(error).__name__} {error}"
        except Exception as error:  # a fault of our own costs this watch, not the controller
            why = type(error).__name__
            self.log.failed("watch failed")
        finally:
            self.open.clear()
            if link:
                link.close()
        self.log.rate_limited("watch lost", version=self.version, why=why)

    @staticmethod
    async def call(link: HttpConnection, target: str) -> int:
        await link.send("GET", target)
        return await link.answer()

    async def fetch(self) -> None:
        """The whole list, once."""
        link = await self.place.connect()
        try:
            status = await within(self.limits.list_us, self.call(link, TARGET), self.limits.late_us)
            async with Progress(self, self.limits.list_us) as progress:
                body = await link.body(self.limits.list_bytes, progress.came)
        finally:
            link.close()
        if status != 200:
            raise EOFError(f"status {status}")
        self.counters["registry.lists"] += 1
        self.take(self.codec.listing(body))

    def take(self, listing: Listing, link: HttpConnection | None = None) -> None:
        """One message of the registry."""
        self.counters["registry.messages"] += 1
        if listing.unreadable:
            self.counters["registry.unreadable"] += listing.unreadable
            self.log.rate_limited("entries unreadable", count=listing.unreadable, version=listing.version)
        entries = listing.entries[: self.limits.servers]
        if unknown := len(listing.entries) - len(entries):
            self.counters["registry.too_many"] += unknown
            self.log.rate_limited("too many servers", left_out=unknown, most=self.limits.servers)
        behind = self.version is not None and listing.version < self.version
        if link:
            if behind and link.watch_from is not None and link.watch_from <= listing.version:
                return  # written before the watch that this one takes over from told more: that is known
            link.watch_from, self.heard_at = None, asyncio.get_running_loop().time()
        if behind and not listing.whole:
            # What changed since cannot be told from it: the next watch begins with the whole list.
            self.version = None
            raise WireError(f"version went back to {listing.version}")
        # An entry that can't be read must not pass for one left out, which would mean gone.
        kind = "whole" if listing.whole and not listing.unreadable and not unknown else "changes"
        try:
            self.tell(interface.RegistryUpdate(kind, entries))
        except InboxFull:
            self.version = None  # what was not taken in is told again with the whole list
            raise
        self.version, self.slow = listing.version, 0
        for backend, _, _, _, born_us in entries:
            address = listing.addresses.get(backend, self.addresses.get(backend))
            if address != self.addresses.get(backend) or (born_us and born_us != self.born.get(backend, 0)):
                self.replaced(backend)
            # The one longest unheard of stands first.
            if self.addresses.pop(backend, None) or address:
                self.addresses[backend] = address
            known_us = self.born.pop(backend, 0)
            self.born[backend] = born_us or known_us
        for known in (self.addresses, self.born):
            while len(known) > 2 * self.limits.servers:
                del known[next(iter(known))]
