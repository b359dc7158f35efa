"""The registry: the list of servers and the watch on its changes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from lapispass import interface as face
from lapispass.net.codec import Codec, Listing, WireError
from lapispass.net.counters import Counters
from lapispass.net.http import BROKEN, Link, Overfull, Place, within
from lapispass.net.limits import Limits
from lapispass.net.lines import Lines, TooLong
from lapispass.net.log import Part

TARGET = "/registry/instances"


class Registry:
    """Follows the list once asked to; a watch that ends is told as lost, and the module asks again."""

    def __init__(self, address: str, known: Listing, tell: Callable[[face.Event], None], codec: Codec,
                 limits: Limits, counters: Counters) -> None:
        self.place, self.tell, self.codec = Place(address, limits), tell, codec
        self.link: Link | None = None
        self.limits, self.counters = limits, counters
        self.log = Part("registry", limits.log_every_us)
        self.version: int | None = known.version if known.entries else None
        self.addresses: dict[face.BackendId, str] = dict(known.addresses)
        self.asked = asyncio.Event()
        tell(face.Listed("remembered", known.entries))

    def follow(self) -> None:
        """Asks for the changes from now on; what was missed comes first."""
        self.asked.set()

    async def run(self) -> None:
        """One watch after the other, each when it is asked for."""
        await self.asked.wait()
        while True:
            self.asked.clear()
            await self.watch()
            if self.place.ready:
                continue  # it goes on at the new place from the version known: nothing is missed
            self.counters["registry.lost"] += 1
            self.tell(face.Listed("lost", ()))
            # Guards the list where no turn can ask, as while a relay call is unsettled.
            unasked_us = int(self.limits.unasked_us * random.uniform(0.8, 1.2))
            try:
                await within(unasked_us, self.asked.wait(), 0)
            except TimeoutError:
                self.counters["registry.unasked"] += 1

    async def move(self, address: str) -> None:
        """Follows the registry to another place; the watch goes on there."""
        if await self.place.move(address) and self.link:
            self.link.close()

    async def watch(self) -> None:
        """The life of a watch, from its call to its end."""
        why = ""
        try:
            if self.version is None:  # nothing to go on from
                await self.fetch()
            self.link = link = await self.place.link()
            target = f"{TARGET}?watch=1&from={self.version}"
            status = await within(self.limits.list_us, self.call(link, target), self.limits.late_us)
            if status != 200:
                raise EOFError(f"status {status}")
            self.counters["registry.watches"] += 1
            self.log.say("watch open", version=self.version)
            lines = Lines(self.limits.list_bytes)
            while True:
                piece = await within(self.limits.watch_quiet_us, link.piece(), self.limits.late_us)
                if not piece:
                    raise EOFError("ended")
                for line in lines.cut(piece):
                    if line:
                        self.take(self.codec.listing(line))
        except (*BROKEN, WireError, TooLong) as error:
            why = f"{type(error).__name__} {error}"
        except Exception as error:  # a fault of our own costs this watch, not the controller
            why = type(error).__name__
            self.log.failed("watch failed")
        finally:
            if self.link:
                self.link.close()
                self.link = None
        self.log.seldom("watch lost", version=self.version, why=why)

    @staticmethod
    async def call(link: Link, target: str) -> int:
        await link.send("GET", target)
        return await link.answer()

    async def fetch(self) -> None:
        """The whole list, once."""
        link = await self.place.link()
        try:
            status = await within(self.limits.list_us, self.call(link, TARGET), self.limits.late_us)
            body = await within(self.limits.list_us, link.body(self.limits.list_bytes), self.limits.late_us)
        finally:
            link.close()
        if status != 200:
            raise EOFError(f"status {status}")
        self.counters["registry.lists"] += 1
        self.take(self.codec.listing(body))

    def take(self, listing: Listing) -> None:
        """One message of the registry."""
        self.counters["registry.messages"] += 1
        if listing.unreadable:
            self.counters["registry.unreadable"] += listing.unreadable
            self.log.seldom("entries unreadable", count=listing.unreadable, version=listing.version)
        entries = listing.entries[:self.limits.servers]
        if unknown := len(listing.entries) - len(entries):
            self.counters["registry.too_many"] += unknown
            self.log.seldom("too many servers", left_out=unknown, most=self.limits.servers)
        if self.version is not None and listing.version < self.version and not listing.whole:
            # What changed since cannot be told from it: the next watch begins with the whole list.
            self.version = None
            raise WireError(f"version went back to {listing.version}")
        # An entry that can't be read must not pass for one left out, which would mean gone.
        kind = "whole" if listing.whole and not listing.unreadable and not unknown else "changes"
        try:
            self.tell(face.Listed(kind, entries))
        except Overfull:
            self.version = None  # what was not taken in is told again with the whole list
            raise
        self.version = listing.version
        for backend, *_ in entries:
            if address := listing.addresses.get(backend):
                self.addresses.pop(backend, None)  # the one longest unheard of stands first
                self.addresses[backend] = address
        while len(self.addresses) > 2 * self.limits.servers:
            del self.addresses[next(iter(self.addresses))]
