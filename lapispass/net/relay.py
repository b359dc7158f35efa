"""The client of the relay: calls that carry orders, and the event stream."""

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
    """An order as text for the relay, with the slice that it concerns."""

    text: str
    slice: int | None
    backend: interface.BackendId | None  # the owner of the slice after the order


class Calls:
    """Sends orders to the relay, one call at a time; each is settled before the next one begins."""

    def __init__(self, address: str, codec: Codec, limits: Limits, counters: Counters) -> None:
        self.address, self.codec, self.limits, self.counters = address, codec, limits, counters
        self.log = PartLogger("relay", limits.log_every_us)
        self.connection: HttpConnection | None = None
        self.dialer, self.used_at = Dialer(limits), 0.0
        self.owners: dict[
            int, interface.BackendId | None
        ] = {}  # each slice's owner, as last received or ordered
        self.regranted: set[int] = set()  # slices granted again while a call is under way
        # Held until a turn's calls are settled, and while the relay sends a snapshot. A snapshot that is read
        # during a call cannot be compared, since the call may be applied just after it.
        self.lock = asyncio.Lock()
        # Called when the store may differ from what was received and ordered.
        self.on_uncertainty: Callable[[], None] = lambda: None

    async def carry_out(self, orders: list[interface.Order]) -> None:
        """Sends a turn's orders in sequence; returns when the relay has applied them all."""
        self.regranted.clear()  # before the wait: the turn does not know of slices granted from here on
        async with self.lock:
            for part in self.split_into_calls(orders):
                await self.settle(part)

    def split_into_calls(self, orders: list[interface.Order]) -> Iterator[list[FormattedOrder]]:
        """Splits orders into calls of limited length. A turn's barrier comes last, after all it covers."""
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
        """Repeats a call until its orders are known to be applied, or to be rejected for good.

        A call with an unknown outcome is sent again before any later one. This is safe because orders are
        idempotent: each one sets a state.
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
                    raise WireError(f"relay applied {count} of {len(part)} orders")
            except CallRejected as error:
                self.counters[f"relay.{error}"] += 1
                self.log.rate_limited("call rejected", why=error, orders=len(part))
                if str(error) == "invalid":
                    if len(part) == 1:
                        self.leave_out(part[0], "invalid")
                        return
                    await self.settle(part[: len(part) // 2])  # finds the invalid order by bisection
                    part = part[len(part) // 2 :]
                    continue
                await again.wait()
            except (*CONNECTION_ERRORS, WireError) as error:
                self.counters["relay.unknown"] += 1
                self.log.rate_limited(
                    "call failed, outcome unknown", why=f"{type(error).__name__} {error}", orders=len(part)
                )
                await again.wait()
            except Exception:  # a bug must only cost this connection, not the controller
                self.counters["relay.unknown"] += 1
                self.log.failed("call failed", orders=len(part))
                await again.wait()
            else:
                if any(item.slice in self.regranted for item in part):
                    self.on_uncertainty()  # was the order applied before or after the new grant?
                if count == len(part):
                    self.counters["relay.orders_taken"] += count
                    return
                # An answer may be corrupt and still parse: a short count is believed when it is repeated.
                if count != short:
                    if short >= 0:  # counts differ: no further call without a pause
                        await again.wait()
                    short = count
                    continue
                self.counters["relay.orders_taken"] += count
                self.leave_out(part[count], "relay stopped at it")
                part, short = part[count + 1 :], -1

    def leave_out(self, item: FormattedOrder, why: str) -> None:
        self.counters["relay.orders_left_out"] += 1
        self.log.rate_limited("order dropped", order=item.text, why=why)
        if item.slice is not None:
            self.on_uncertainty()  # the controller believes that it was applied

    async def call(self, body: bytes) -> int:
        """Makes one call; returns how many orders the relay applied."""
        loop = asyncio.get_running_loop()
        connection, self.connection = self.connection, None
        idle = loop.time() - self.used_at > self.limits.call_idle_us / 1e6
        if connection and connection.has_unrequested_data:
            # If an answer arrived twice, the second may have been taken for the answer to the next call, and
            # that call wrongly counts as applied. Comparing a new snapshot resolves this.
            self.counters["relay.answers_unasked"] += 1
            self.log.rate_limited("unrequested answer")
            self.on_uncertainty()
        if connection and (
            not connection.usable
            or idle
            or connection.has_unrequested_data
            or connection.address != self.address
        ):
            # The relay may be about to close an idle connection, or has moved.
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
    """The relay's event stream. After a gap, a snapshot is compared with the state known before."""

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
        # Called for each line of a stream whose snapshot has been compared.
        self.on_line: Callable[[], None] = lambda: None
        self.on_lost: Callable[[], None] = lambda: None
        self.joined: set[int] = set()
        self.snapshot: list[interface.Event] | None = (
            None  # the events of the snapshot, while it is being read
        )
        self.failed, self.malformed = 0, 0  # consecutive incomplete and malformed snapshots

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
        """Follows the relay to a new address. The snapshot there is compared as after any gap."""
        self.endpoint.move(address)

    def switch(self) -> None:
        """Restarts the stream over the standby connection."""
        if self.stream_task:
            self.stream_task.cancel()

    async def stream(self) -> None:
        """Reads one event stream from its request to its end. Nothing is sent after the request."""
        why, loop = "", asyncio.get_running_loop()
        try:
            self.connection = connection = await self.endpoint.connect()
            await self.calls.lock.acquire()
            self.snapshot = []
            # Each failed attempt doubles the time for the next one; otherwise a snapshot that takes longer
            # would never be completed. Only the time spent waiting for the relay counts.
            snapshot_us = self.limits.snapshot_us << min(self.failed, self.limits.snapshot_doublings)
            left_us = 2 * snapshot_us
            if (status := await within(snapshot_us, self.ask(connection), self.limits.late_us)) != 200:
                raise EOFError(f"status {status}")
            self.counters["news.opened"] += 1
            self.log.info("event stream open", joined=len(self.joined), slices=len(self.calls.owners))
            lines, kind, data, handled = LineSplitter(self.limits.message_bytes), "", "", 0
            async with IdleTimeout(self.limits.late_us) as idle:
                while True:
                    if self.snapshot is None:
                        chunk = await connection.read_chunk()
                    elif left_us <= 0 or len(self.snapshot) > 2 * self.limits.events:
                        raise TimeoutError("snapshot too large or too slow")
                    else:
                        since = loop.time()
                        chunk = await self.read_snapshot_chunk(connection, snapshot_us)
                        left_us -= int((loop.time() - since) * 1e6)
                        if chunk is None:
                            self.compare()
                            idle.extend(self.limits.events_idle_us)
                            self.on_line()
                            continue
                    if not chunk:
                        raise EOFError("event stream ended")
                    for line in lines.split(chunk):
                        if line[:6] == b"event:":
                            kind = str(line[6:], "utf-8").strip()
                        elif line[:5] == b"data:":
                            data = str(line[5:], "utf-8").strip()
                        elif line[:1] == b":":
                            self.compare()
                        elif not line:  # an event that is cut off before its end is dropped
                            self.take(kind, data)
                            kind, data = "", ""
                        # Only a complete line extends the time-out: bytes may trickle in and never form one.
                        if self.snapshot is None:
                            idle.extend(self.limits.events_idle_us)
                            self.on_line()
                    handled += len(chunk)
                    if handled >= self.limits.quantum_bytes:  # reading a chunk that is there does not yield
                        handled = 0
                        await asyncio.sleep(0)
        except (*CONNECTION_ERRORS, UnicodeError, LineTooLong, WireError) as error:
            why = f"{type(error).__name__} {error}"
        except Exception as error:  # a bug must only cost this stream, not the controller
            why = type(error).__name__
            self.log.failed("event stream failed")
        finally:
            self.restart()
            self.on_lost()
            if self.snapshot is not None:  # incomplete; the next one is compared instead
                self.snapshot = None
                self.failed += 1
                self.calls.lock.release()
        self.counters["news.lost"] += 1
        self.log.rate_limited("event stream lost", why=why)

    async def read_snapshot_chunk(
        self, connection: HttpConnection, snapshot_us: int
    ) -> bytes | bytearray | None:
        """The next chunk of the snapshot; None after a pause, which is the only sign of its end."""
        pause = IdleTimeout(self.limits.late_us)
        try:
            async with pause:
                pause.extend(self.limits.snapshot_gap_us if self.snapshot else snapshot_us)
                return await connection.read_chunk()
        except TimeoutError:
            if not pause.timeout.expired():
                raise  # not from `pause` but from the connection
            return None

    def restart(self) -> None:
        """Ends the stream; the next one begins with a snapshot."""
        if self.connection:
            self.connection.close()

    @staticmethod
    async def ask(connection: HttpConnection) -> int:
        await connection.send("GET", "/events", headers=(("Accept", "text/event-stream"),))
        return await connection.answer()

    def take(self, kind: str, data: str) -> None:
        """Handles one event of the stream."""
        if not kind:
            return
        try:
            event = self.codec.parse_event(kind, data)
        except WireError as error:
            self.counters["news.unreadable"] += 1
            self.log.rate_limited("malformed event", kind=kind[:40], why=error)
            if self.snapshot is None:
                raise  # a change was missed: a new snapshot is needed
            # A proxy or slice whose event is malformed would count as gone. The snapshot is requested again;
            # after `malformed_snapshots` attempts it is accepted without the malformed events.
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
            self.compare()  # a snapshot has no events of this kind, so it is complete
        self.pass_on(event)

    def pass_on(self, event: interface.Event) -> None:
        self.deliver(event)  # first: an event that the inbox rejects must not count as known
        match event:
            case interface.ProxyJoined(proxy):
                self.joined.add(proxy)
            case interface.ProxyLeft(proxy):
                self.joined.discard(proxy)
            case interface.SliceGrant(number, ours):
                self.calls.regranted.add(number)  # earlier orders are void
                self.calls.owners.pop(number, None)
                if ours:
                    self.calls.owners[number] = None
            case interface.StoredOwner(number, backend):
                self.calls.owners[number] = backend

    def compare(self) -> None:
        """The snapshot is complete: delivers its differences from the known state as events."""
        if (snapshot := self.snapshot) is None:
            return
        self.snapshot, self.failed, self.malformed = None, 0, 0
        self.calls.lock.release()
        held = {event.slice: event.backend for event in snapshot if isinstance(event, interface.StoredOwner)}
        ours = {event.slice for event in snapshot if isinstance(event, interface.SliceGrant)}
        # A proxy may have left and rejoined in the gap: its earlier acknowledgements no longer count.
        for proxy in sorted(self.joined):
            self.pass_on(interface.ProxyLeft(proxy))
        for number in sorted(set(self.calls.owners) - ours):
            self.pass_on(interface.SliceGrant(number, False))
        for event in snapshot:
            if isinstance(event, interface.ProxyJoined):  # its stream may have lasted all the time
                self.pass_on(event._replace(reads_store=False))
        for number in sorted(ours):
            # A slice whose owner is as ordered was not granted again; its handover continues.
            if number not in self.calls.owners or self.calls.owners[number] != held.get(number):
                self.pass_on(interface.SliceGrant(number, True))
                if number in held:
                    self.pass_on(interface.StoredOwner(number, held[number]))
        self.log.info("snapshot complete", joined=len(self.joined), slices=len(ours))
