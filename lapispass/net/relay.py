"""The relay: calls that carry orders, and the stream of news."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from typing import NamedTuple

from lapispass import interface
from lapispass.net import codec as words
from lapispass.net.codec import Codec, Refused, WireError
from lapispass.net.counters import Counters
from lapispass.net.http import (
    CONNECTION_ERRORS,
    Backoff,
    Dialer,
    Endpoint,
    HttpConnection,
    IdleTimeout,
    cancel_and_wait,
    within,
)
from lapispass.net.limits import Limits
from lapispass.net.lines import LineSplitter, LineTooLong
from lapispass.net.log import PartLogger

FORM = (("Content-Type", "application/x-www-form-urlencoded"),)


class Written(NamedTuple):
    """An order in the relay's words, with the slice it speaks of."""

    text: str
    slice: int | None
    backend: interface.BackendId | None  # the owner that the slice has then


class Calls:
    """Carries out orders: one call at a time, each settled before the next is thought of."""

    def __init__(self, address: str, codec: Codec, limits: Limits, counters: Counters) -> None:
        self.address, self.codec, self.limits, self.counters = address, codec, limits, counters
        self.log = PartLogger("relay", limits.log_every_us)
        self.link: HttpConnection | None = None
        self.dialer, self.used_at = Dialer(limits), 0.0
        self.rows: dict[int, interface.BackendId | None] = {}  # each slice's owner, as last told or ordered
        self.given: set[int] = set()  # slices given anew while a call is under way
        # Held while a turn's calls are not settled, or while the relay tells what stands: a picture taken
        # with a call under way cannot be compared, since the call may be carried out just after it.
        self.quiet = asyncio.Lock()
        self.doubt: Callable[[], None] = lambda: None  # the store may differ from what was told and ordered

    async def carry_out(self, orders: list[interface.Order]) -> None:
        """A turn's orders, in their order; returns when the relay has taken them all."""
        self.given.clear()  # before the wait: what is given anew from here on was not known to the turn
        async with self.quiet:
            for part in self.parts(orders):
                await self.settle(part)

    def parts(self, orders: list[interface.Order]) -> Iterator[list[Written]]:
        """One call, or several where it would be too long; a turn's mark comes last, behind all it covers."""
        part: list[Written] = []
        size = 0
        for order in orders:
            text = self.codec.written(order)
            match order:
                case interface.SetTableEntry(table, backend, _):
                    item = Written(text, table, backend)
                case interface.ClearTable(table) | interface.SetAdmission(table):
                    item = Written(text, table, None)
                case _:
                    item = Written(text, None, None)
            length = len(text.encode()) + 1
            if part and size + length > self.limits.call_bytes:
                yield part
                part, size = [], 0
            part.append(item)
            size += length
        if part:
            yield part

    async def settle(self, part: list[Written]) -> None:
        """Calls until it is known that the orders were carried out, or that the relay will not have them.

        A call of unknown outcome is sent again before any later one: each order says how something shall
        stand, so a second time changes nothing.
        """
        again, short = Backoff(self.limits), -1
        while part := [item for item in part if item.slice not in self.given]:
            for item in part:
                if item.slice in self.rows and not item.text.startswith("LIMIT"):
                    self.rows[item.slice] = item.backend
            self.counters["relay.calls"] += 1
            try:
                count = await self.call(words.call(item.text for item in part))
                if count > len(part):
                    raise WireError(f"{count} of {len(part)} orders taken")
            except Refused as error:
                self.counters[f"relay.{error}"] += 1
                self.log.rate_limited("call turned back", why=error, orders=len(part))
                if str(error) == "invalid":
                    if len(part) == 1:
                        self.leave_out(part[0], "invalid")
                        return
                    await self.settle(part[: len(part) // 2])  # what can't be read is found by halves
                    part = part[len(part) // 2 :]
                    continue
                await again.wait()
            except (*CONNECTION_ERRORS, WireError) as error:
                self.counters["relay.unknown"] += 1
                self.log.rate_limited(
                    "call unsettled", why=f"{type(error).__name__} {error}", orders=len(part)
                )
                await again.wait()
            except Exception:  # a fault of our own costs this connection, not the controller
                self.counters["relay.unknown"] += 1
                self.log.failed("call failed", orders=len(part))
                await again.wait()
            else:
                if any(item.slice in self.given for item in part):
                    self.doubt()  # was that before or after the slice was given anew?
                if count == len(part):
                    self.counters["relay.orders_taken"] += count
                    return
                # Guards against a spoilt answer that can be read: a short count is believed when it comes
                # again.
                if count != short:
                    if short >= 0:  # Guards the relay against calls without a pause where counts differ.
                        await again.wait()
                    short = count
                    continue
                self.counters["relay.orders_taken"] += count
                self.leave_out(part[count], "stopped there")
                part, short = part[count + 1 :], -1

    def leave_out(self, item: Written, why: str) -> None:
        self.counters["relay.orders_left_out"] += 1
        self.log.rate_limited("order left out", order=item.text, why=why)
        if item.slice is not None:
            self.doubt()  # the module takes it for done

    async def call(self, body: bytes) -> int:
        """The life of a call: a connection, the orders, the answer's count."""
        loop = asyncio.get_running_loop()
        link, self.link = self.link, None
        idle = loop.time() - self.used_at > self.limits.call_idle_us / 1e6
        if link and link.has_unrequested_data:
            # Guards against an answer that came twice: the second may have passed for that to the next call,
            # which would count as carried out though nobody knows. What stands is compared.
            self.counters["relay.answers_unasked"] += 1
            self.log.rate_limited("answer unasked")
            self.doubt()
        if link and (not link.usable or idle or link.has_unrequested_data or link.address != self.address):
            link.close()  # guards against one that the relay is about to close, as idle or since it has moved
            link = None
        link = link or await self.dialer.open(self.address)
        try:
            answer = await within(self.limits.answer_us, self.exchange(link, body), self.limits.late_us)
            if link.start_next_call():
                self.link, self.used_at = link, loop.time()
            return words.taken(answer)
        finally:
            if self.link is not link:
                link.close()

    async def exchange(self, link: HttpConnection, body: bytes) -> bytes:
        await link.send("POST", "/", body, FORM)
        await link.answer()
        return await link.body(self.limits.answer_bytes)

    def close(self) -> None:
        if self.link:
            self.link.close()


class News:
    """The relay's news. After a gap, what stands is compared with what was known."""

    def __init__(
        self,
        address: str,
        calls: Calls,
        tell: Callable[[interface.Event], None],
        codec: Codec,
        limits: Limits,
        counters: Counters,
    ) -> None:
        self.dialer = Dialer(limits)
        self.place = Endpoint(address, limits, self.dialer.open, self.switch)
        self.calls, self.tell, self.codec, self.limits, self.counters = calls, tell, codec, limits, counters
        self.log = PartLogger("news", limits.log_every_us)
        self.link: HttpConnection | None = None
        self.streaming: asyncio.Task[None] | None = None
        calls.doubt = self.look_again
        self.joined: set[int] = set()
        self.picture: list[interface.Event] | None = None  # what stands, while the relay is still telling it
        self.failed, self.spoilt = 0, 0  # pictures in a row that did not come whole; that can't be read

    async def run(self) -> None:
        again = Backoff(self.limits)
        moving = asyncio.create_task(self.place.follow_moves())
        try:
            while True:
                began = asyncio.get_running_loop().time()
                self.streaming = asyncio.create_task(self.stream())
                await asyncio.wait((self.streaming,))
                if asyncio.get_running_loop().time() - began > self.limits.stable_stream_us / 1e6:
                    again.reset()
                if not self.place.standby:
                    await again.wait()
        finally:
            await cancel_and_wait(moving, self.streaming)
            self.place.close()

    def move(self, address: str) -> None:
        """Follows the relay to another place; what stands there is compared as after any gap."""
        self.place.move(address)

    def switch(self) -> None:
        """A connection to another place stands: the stream begins anew there, whatever it is waiting for."""
        if self.streaming:
            self.streaming.cancel()

    async def stream(self) -> None:
        """The life of a stream of news, from the call to its end. Nothing is written after the call."""
        why, loop = "", asyncio.get_running_loop()
        try:
            self.link = link = await self.place.connect()
            await self.calls.quiet.acquire()
            self.picture = []
            # Guards against a relay that needs longer than usual, which would never come to an end: each
            # attempt that fails gives the next one twice as long. Only what is spent waiting for it counts.
            patience_us = self.limits.snapshot_us << min(self.failed, self.limits.snapshot_doublings)
            left_us = 2 * patience_us
            if (status := await within(patience_us, self.ask(link), self.limits.late_us)) != 200:
                raise EOFError(f"status {status}")
            self.counters["news.opened"] += 1
            self.log.say("news open", joined=len(self.joined), slices=len(self.calls.rows))
            lines, kind, data, handled = LineSplitter(self.limits.message_bytes), "", "", 0
            async with IdleTimeout(self.limits.late_us) as quiet:
                while True:
                    if self.picture is None:
                        piece = await link.read_chunk()
                    elif left_us <= 0 or len(self.picture) > 2 * self.limits.events:
                        raise TimeoutError("no end to what stands")
                    else:
                        since = loop.time()
                        piece = await self.told(link, patience_us)
                        left_us -= int((loop.time() - since) * 1e6)
                        if piece is None:
                            self.compare()
                            quiet.extend(self.limits.events_idle_us)
                            continue
                    if not piece:
                        raise EOFError("ended")
                    for line in lines.split(piece):
                        if line[:6] == b"event:":
                            kind = str(line[6:], "utf-8").strip()
                        elif line[:5] == b"data:":
                            data = str(line[5:], "utf-8").strip()
                        elif line[:1] == b":":
                            self.compare()
                        elif not line:  # one that was cut off before its end is none
                            self.take(kind, data)
                            kind, data = "", ""
                        # Only whole lines are signs of life: bytes may dribble in that never make one.
                        if self.picture is None:
                            quiet.extend(self.limits.events_idle_us)
                    handled += len(piece)
                    if handled >= self.limits.quantum_bytes:  # a piece that is there already is no wait
                        handled = 0
                        await asyncio.sleep(0)
        except (*CONNECTION_ERRORS, UnicodeError, LineTooLong, WireError) as error:
            why = f"{type(error).__name__} {error}"
        except Exception as error:  # a fault of our own costs this stream, not the controller
            why = type(error).__name__
            self.log.failed("news failed")
        finally:
            self.look_again()
            if self.picture is not None:  # told in part only: the next one is compared with what was known
                self.picture = None
                self.failed += 1
                self.calls.quiet.release()
        self.counters["news.lost"] += 1
        self.log.rate_limited("news lost", why=why)

    async def told(self, link: HttpConnection, patience_us: int) -> bytes | bytearray | None:
        """A further piece of what stands; None where news pause: the end is not told, so that was all."""
        pause = IdleTimeout(self.limits.late_us)
        try:
            async with pause:
                pause.extend(self.limits.snapshot_gap_us if self.picture else patience_us)
                return await link.read_chunk()
        except TimeoutError:
            if not pause.timeout.expired():
                raise  # the connection's own
            return None

    def look_again(self) -> None:
        """Ends the stream; the next one begins with what stands."""
        if self.link:
            self.link.close()

    @staticmethod
    async def ask(link: HttpConnection) -> int:
        await link.send("GET", "/events", headers=(("Accept", "text/event-stream"),))
        return await link.answer()

    def take(self, kind: str, data: str) -> None:
        """One event."""
        if not kind:
            return
        try:
            event = self.codec.news(kind, data)
        except WireError as error:
            self.counters["news.unreadable"] += 1
            self.log.rate_limited("event unreadable", kind=kind[:40], why=error)
            if self.picture is None:
                raise  # something has changed unheard: what stands must be told afresh
            # Guards what is decided on a picture: a proxy or a slice that can't be read would count as gone.
            # It is asked for again; where it can't be read however often, that is what stands.
            self.spoilt += 1
            if self.spoilt <= self.limits.malformed_snapshots:
                raise
            return
        self.counters[f"news.{kind}" if event else "news.unknown_kind"] += 1
        if event is None:
            return
        if self.picture is not None:
            if isinstance(event, interface.ProxyJoined | interface.StoredOwner) or (
                isinstance(event, interface.SliceGrant) and event.granted
            ):
                self.picture.append(event)
                return
            self.compare()  # only what happens now can be such news
        self.pass_on(event)

    def pass_on(self, event: interface.Event) -> None:
        self.tell(event)  # first: what was not taken in must not count as known
        match event:
            case interface.ProxyJoined(proxy):
                self.joined.add(proxy)
            case interface.ProxyLeft(proxy):
                self.joined.discard(proxy)
            case interface.SliceGrant(number, ours):
                self.calls.given.add(number)  # orders from before are void
                self.calls.rows.pop(number, None)
                if ours:
                    self.calls.rows[number] = None
            case interface.StoredOwner(number, backend):
                self.calls.rows[number] = backend

    def compare(self) -> None:
        """All that stands has been told: turns the differences from what was known into events."""
        if (picture := self.picture) is None:
            return
        self.picture, self.failed, self.spoilt = None, 0, 0
        self.calls.quiet.release()
        held = {event.slice: event.backend for event in picture if isinstance(event, interface.StoredOwner)}
        ours = {event.slice for event in picture if isinstance(event, interface.SliceGrant)}
        # Guards against a proxy that left and came back in the gap: what it answered before counts no more.
        for proxy in sorted(self.joined):
            self.pass_on(interface.ProxyLeft(proxy))
        for number in sorted(set(self.calls.rows) - ours):
            self.pass_on(interface.SliceGrant(number, False))
        for event in picture:
            if isinstance(event, interface.ProxyJoined):  # its stream may have stood all the time
                self.pass_on(event._replace(reads_store=False))
        for number in sorted(ours):
            # A slice that still stands as ordered was not given anew; its handover goes on.
            if number not in self.calls.rows or self.calls.rows[number] != held.get(number):
                self.pass_on(interface.SliceGrant(number, True))
                if number in held:
                    self.pass_on(interface.StoredOwner(number, held[number]))
        self.log.say("picture complete", joined=len(self.joined), slices=len(ours))
