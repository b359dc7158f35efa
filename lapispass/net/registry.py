"""The registry: the list of servers and the watch on its changes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lapispass import interface as face
from lapispass.net.codec import Codec, Listing, WireError
from lapispass.net.counters import Counters
from lapispass.net.http import BROKEN, Link
from lapispass.net.lines import Lines, TooLong
from lapispass.net.limits import Limits
from lapispass.net.log import Part

TARGET = "/registry/instances"


class Registry:
    """Follows the list when asked to; a watch that ends is told as lost, and the module asks again."""

    def __init__(self, address: str, known: Listing, tell: Callable[[face.Event], None], codec: Codec,
                 limits: Limits, counters: Counters) -> None:
        self.address, self.tell, self.codec = address, tell, codec
        self.limits, self.counters = limits, counters
        self.log = Part("registry", limits.log_every_us)
        self.version = known.version
        self.addresses: dict[face.BackendId, str] = dict(known.addresses)
        self.watch: asyncio.Task[None] | None = None
        tell(face.Listed("remembered", known.entries))

    def follow(self) -> None:
        """Asks for the changes from now on; what was missed comes first."""
        if self.watch is None or self.watch.done():
            self.watch = asyncio.create_task(self.watching())

    async def watching(self) -> None:
        """The life of a watch, from its call to its end."""
        link = None
        why: object = "ended"
        try:
            if not self.version:  # nothing to go on from
                await self.fetch()
            link = await Link.open(self.address, self.limits)
            async with asyncio.timeout(self.limits.list_us / 1e6):
                await link.send("GET", f"{TARGET}?watch=1&from={self.version}")
                status = await link.answer()
            if status != 200:
                raise EOFError(f"status {status}")
            self.counters["registry.watches"] += 1
            self.log.say("watch open", version=self.version)
            lines, pieces = Lines(self.limits.list_bytes), link.pieces()
            while True:
                async with asyncio.timeout(self.limits.watch_quiet_us / 1e6):
                    piece = await anext(pieces)
                for line in lines.cut(piece):
                    if line:
                        self.take(self.codec.listing(line))
        except StopAsyncIteration:
            pass
        except (*BROKEN, WireError, TooLong) as error:
            why = f"{type(error).__name__} {error}"
        except Exception as error:  # a fault of our own costs this watch, not the controller
            why = f"{type(error).__name__}"
            self.log.failed("watch failed")
        finally:
            if link:
                link.close()
        self.counters["registry.lost"] += 1
        self.log.seldom("watch lost", version=self.version, why=why)
        self.tell(face.Listed("lost", ()))

    async def fetch(self) -> None:
        """The whole list, once."""
        link = await Link.open(self.address, self.limits)
        try:
            async with asyncio.timeout(self.limits.list_us / 1e6):
                await link.send("GET", TARGET)
                status = await link.answer()
                body = await link.body(self.limits.list_bytes)
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
        if listing.version < self.version and not listing.whole:
            # What changed since cannot be told from such a message: the next watch begins with the whole list.
            self.version = 0
            raise WireError(f"version went back to {listing.version}")
        self.version = listing.version
        for backend, address in listing.addresses.items():
            if backend in self.addresses or len(self.addresses) < self.limits.servers:
                self.addresses[backend] = address
        # An entry that can't be read must not pass for one left out, which would mean gone.
        kind = "whole" if listing.whole and not listing.unreadable else "changes"
        self.tell(face.Listed(kind, listing.entries))
