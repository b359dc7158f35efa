"""The relay: calls that carry orders, and the stream of news."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from typing import NamedTuple

from lapispass import interface
from lapispass.net import codec as codec_module
from lapispass.net.codec import CallRejected, Codec, WireError
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


class FormattedOrder(NamedTuple):
    """An order in the relay's words, with the slice it speaks of."""

    text: str
    slice: int | None
    backend: interface.BackendId | None  # the owner that the slice has then


class Calls:
    """Carries out orders: one call at a time, each settled before the next is thought of."""

    def __init__(self, address: str, codec: Codec, limits: Limits, counters: Counters) -> None:
        self.address, self.codec, self.limits, self.counters = address, codec, limits, counters
        self.log = PartLogger("relay", limits.log_every_us)
        self.connection: HttpConnection | None = None
        self.dialer, self.used_at = Dialer(limits), 0.0
        self.owners: dict[int, interface.BackendId | None] = {}  # each slice's owner, as last told or ordered
        self.regranted: set[int] = set()  # slices given anew while a call is under way
        # Held while a turn's calls are not settled, or while the relay tells what stands: a picture taken
        # with a call under way cannot be compared, since the call may be carried out just after it.
        self.lock = asyncio.Lock()
        self.on_uncertainty: Callable[[], None] = lambda: (
            None
        )  # the store may differ from what was told and ordered

    async def carry_out(self, orders: list[interface.Order]) -> None:
        """A turn's orders, in their order; returns when the relay has taken them all."""
        self.regranted.clear()  # before the wait: what is given anew from here on was not known to the turn
        async with self.lock:
            for part in self.split_into_calls(orders):
                await self.settle(part)

    def split_into_calls(self, orders: list[interface.Order]) -> Iterator[list[FormattedOrder]]:
        """One call, or several where it would be too long; a turn's mark comes last, behind all it covers."""
        part: list[FormattedOrder] = []
        size = 0
        for order in orders:
            text = self.codec.format_order(order)
            match order:
                case interface.SetTableEntry(table, backend, _):
                    item = FormattedOrder(text, table, backend)
                case interface.ClearTable(table) | interface.SetAdmission(table):
                    item = FormattedOrder(text, table, None)
                case _:
                    item = FormattedOrder(text, None, None)
            length = len(text.encode()) + 1
            if part and size + length > self.limits.call_bytes:
                yield part
                part, size = [], 0
            part.append(item)
            size += length
        if part:
            yield part

    async def settle(self, part: list[FormattedOrder]) -> None:
        """Calls until it is known that the orders were carried out, or that the relay will not have them.

        A call of unknown outcome is sent again before any later one: each order says how something shall
        stand, so a second time changes nothing.
        """
        again, short = Backoff(self.limits), -1
        while part := [item for item in part if item.slice not in self.regranted]:
            for item in part:
                if item.slice in self.owners and not item.text.startswith("LIMIT"):
                    self.owners[item.slice] = item.backend
            self.counters["relay.calls"] += 1
            try:
                count = await self.call(codec_module.call_body(item.text for item in part))
                if count > len(part):
                    raise WireError(f"{count} of {len(part)} orders taken")
            except CallRejected as error:
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
                if any(item.slice in self.regranted for item in part):
                    self.on_uncertainty()  # was that before or after the slice was given anew?
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

    def leave_out(self, item: FormattedOrder, why: str) -> None:
        self.counters["relay.orders_left_out"] += 1
        self.log.rate_limited("order left out", order=item.text, why=why)
        if item.slice is not None:
            self.on_uncertainty()  # the module takes it for done

    async def call(self, body: bytes) -> int:
        """The life of a call: a connection, the orders, the answer's count."""
        loop = asyncio.get_running_loop()
        connection, self.connection = self.connection, None
        idle = loop.time() - self.used_at > self.limits.call_idle_us / 1e6
        if connection and connection.has_unrequested_data:
            # Guards against an answer that came twice: the second may have passed for that to the next call,
            # which would count as carried out though nobody knows. What stands is compared.
            self.counters["relay.answers_unasked"] += 1
            self.log.rate_limited("answer unasked")
            self.on_uncertainty()
        if connection and (
            not connection.usable
            or idle
            or connection.has_unrequested_data
            or connection.address != self.address
        ):
            # The relay may be about to close a connection that was idle, or it has moved.
            connection.close()
            connection = None
        connection = connection or await self.dialer.open(self.address)
        try:
            answer = await within(self.limits.answer_us, self.exchange(connection, body), self.limits.late_us)
            if connection.start_next_call():
                self.connection, self.used_at = connection, loop.time()
            return codec_module.parse_call_answer(answer)
        finally:
            if self.connection is not connection:
                connection.close()

    async def exchange(self, connection: HttpConnection, body: bytes) -> bytes:
        await connection.send("POST", "/", body, FORM)
        await connection.answer()
        return await connection.body(self.limits.answer_bytes)

    def close(self) -> None:
        if self.connection:
            self.connection.close()


class EventStream:
    """The relay's news. After a gap, what stands is compared with what was known."""

    def __init__(
        self,
        address: str,
        calls: Calls,
        deliver: Callable[[interface.Event], None],
        codec: Codec,
        limits: Limits,
        counters: Counters,
    ) -> None:
        self.dialer = Dialer(limits)
        self.endpoint = Endpoint(address, limits, self.dialer.open, self.switch)
        self.calls, self.deliver, self.codec, self.limits, self.counters = (
            calls,
            deliver,
            codec,
            limits,
            counters,
        )
        self.log = PartLogger("news", limits.log_every_us)
        self.connection: HttpConnection | None = None
        self.stream_task: asyncio.Task[None] | None = None
        calls.on_uncertainty = self.restart
        self.joined: set[int] = set()
        self.snapshot: list[interface.Event] | None = None  # what stands, while the relay is still telling it
        self.failed, self.malformed = 0, 0  # pictures in a row that did not come whole; that can't be read

    async def run(self) -> None:
        again = Backoff(self.limits)
        moving = asyncio.create_task(self.endpoint.follow_moves())
        try:
            while True:
                began = asyncio.get_running_loop().time()
                self.stream_task = asyncio.create_task(self.stream())
                await asyncio.wait((self.stream_task,))
                if asyncio.get_running_loop().time() - began > self.limits.stable_stream_us / 1e6:
                    again.reset()
                if not self.endpoint.standby:
                    await again.wait()
        finally:
            await cancel_and_wait(moving, self.stream_task)
            self.endpoint.close()

    def move(self, address: str) -> None:
        """Follows the relay to another place; what stands there is compared as after any gap."""
        self.endpoint.move(address)

    def switch(self) -> None:
        """A connection to another place stands: the stream begins anew there, whatever it is waiting for."""
        if self.stream_task:
            self.stream_task.cancel()

    async def stream(self) -> None:
        """The life of a stream of news, from the call to its end. Nothing is written after the call."""
        why, loop = "", asyncio.get_running_loop()
        try:
            self.connection = connection = await self.endpoint.connect()
            await self.calls.lock.acquire()
            self.snapshot = []
            # Guards against a relay that needs longer than usual, which would never come to an end: each
            # attempt that fails gives the next one twice as long. Only what is spent waiting for it counts.
            snapshot_us = self.limits.snapshot_us << min(self.failed, self.limits.snapshot_doublings)
            left_us = 2 * snapshot_us
            if (status := await within(snapshot_us, self.ask(connection), self.limits.late_us)) != 200:
                raise EOFError(f"status {status}")
            self.counters["news.opened"] += 1
            self.log.info("news open", joined=len(self.joined), slices=len(self.calls.owners))
            lines, kind, data, handled = LineSplitter(self.limits.message_bytes), "", "", 0
            async with IdleTimeout(self.limits.late_us) as quiet:
                while True:
                    if self.snapshot is None:
                        piece = await connection.read_chunk()
                    elif left_us <= 0 or len(self.snapshot) > 2 * self.limits.events:
                        raise TimeoutError("no end to what stands")
                    else:
                        since = loop.time()
                        piece = await self.read_snapshot_chunk(connection, snapshot_us)
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
                        if self.snapshot is None:
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
            self.restart()
            if self.snapshot is not None:  # told in part only: the next one is compared with what was known
                self.snapshot = None
                self.failed += 1
                self.calls.lock.release()
        self.counters["news.lost"] += 1
        self.log.rate_limited("news lost", why=why)

    async def read_snapshot_chunk(
        self, connection: HttpConnection, snapshot_us: int
    ) -> bytes | bytearray | None:
        """A further piece of what stands; None where news pause: the end is not told, so that was all."""
        pause = IdleTimeout(self.limits.late_us)
        try:
            async with pause:
                pause.extend(self.limits.snapshot_gap_us if self.snapshot else snapshot_us)
                return await connection.read_chunk()
        except TimeoutError:
            if not pause.timeout.expired():
                raise  # the connection's own
            return None

    def restart(self) -> None:
        """Ends the stream; the next one begins with what stands."""
        if self.connection:
            self.connection.close()

    @staticmethod
    async def ask(connection: HttpConnection) -> int:
        await connection.send("GET", "/events", headers=(("Accept", "text/event-stream"),))
        return await connection.answer()

    def take(self, kind: str, data: str) -> None:
        """One event."""
        if not kind:
            return
        try:
            event = self.codec.parse_event(kind, data)
        except WireError as error:
            self.counters["news.unreadable"] += 1
            self.log.rate_limited("event unreadable", kind=kind[:40], why=error)
            if self.snapshot is None:
                raise  # something has changed unheard: what stands must be told afresh
            # Guards what is decided on a picture: a proxy or a slice that can't be read would count as gone.
            # It is asked for again; where it can't be read however often, that is what stands.
            self.malformed += 1
            if self.malformed <= self.limits.malformed_snapshots:
                raise
            return
        self.counters[f"news.{kind}" if event else "news.unknown_kind"] += 1
        if event is None:
            return
        if self.snapshot is not None:
            if isinstance(event, interface.ProxyJoined | interface.StoredOwner) or (
                isinstance(event, interface.SliceGrant) and event.granted
            ):
                self.snapshot.append(event)
                return
            self.compare()  # only what happens now can be such news
        self.pass_on(event)

    def pass_on(self, event: interface.Event) -> None:
        self.deliver(event)  # first: what was not taken in must not count as known
        match event:
            case interface.ProxyJoined(proxy):
                self.joined.add(proxy)
            case interface.ProxyLeft(proxy):
                self.joined.discard(proxy)
            case interface.SliceGrant(number, ours):
                self.calls.regranted.add(number)  # orders from before are void
                self.calls.owners.pop(number, None)
                if ours:
                    self.calls.owners[number] = None
            case interface.StoredOwner(number, backend):
                self.calls.owners[number] = backend

    def compare(self) -> None:
        """All that stands has been told: turns the differences from what was known into events."""
        if (snapshot := self.snapshot) is None:
            return
        self.snapshot, self.failed, self.malformed = None, 0, 0
        self.calls.lock.release()
        held = {event.slice: event.backend for event in snapshot if isinstance(event, interface.StoredOwner)}
        ours = {event.slice for event in snapshot if isinstance(event, interface.SliceGrant)}
        # Guards against a proxy that left and came back in the gap: what it answered before counts no more.
        for proxy in sorted(self.joined):
            self.pass_on(interface.ProxyLeft(proxy))
        for number in sorted(set(self.calls.owners) - ours):
            self.pass_on(interface.SliceGrant(number, False))
        for event in snapshot:
            if isinstance(event, interface.ProxyJoined):  # its stream may have stood all the time
                self.pass_on(event._replace(reads_store=False))
        for number in sorted(ours):
            # A slice that still stands as ordered was not given anew; its handover goes on.
            if number not in self.calls.owners or self.calls.owners[number] != held.get(number):
                self.pass_on(interface.SliceGrant(number, True))
                if number in held:
                    self.pass_on(interface.StoredOwner(number, held[number]))
        self.log.info("picture complete", joined=len(self.joined), slices=len(ours))
