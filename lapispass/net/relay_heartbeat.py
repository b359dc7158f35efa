"""Regular calls that show whether the relay still answers, for fronts whose clients write by a lease."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lapispass.core.store_contact import StoreContact
from lapispass.net.codec import CallRejected, WireError, call_body
from lapispass.net.http import CONNECTION_ERRORS
from lapispass.net.relay import Calls

# Not an order: the relay stops at it and answers that it has applied none, so that no proxy is sent anything.
NO_ORDER = "HEARTBEAT"


class RelayHeartbeat:
    """Calls the relay at a fixed interval on a connection of its own, beside the calls that carry orders."""

    def __init__(
        self,
        calls: Calls,
        contact: StoreContact,
        interval_us: int,
        now: Callable[[], int],
        has_waiting_events: Callable[[], bool],
    ) -> None:
        """`has_waiting_events`: whether events have been received that no turn has taken in yet."""
        self.calls, self.contact, self.interval_us, self.now = calls, contact, interval_us, now
        self.has_waiting_events = has_waiting_events
        self.allowed_writes = False  # at the last check

    async def run(self) -> None:
        """Calls until it is cancelled."""
        try:
            while True:
                await self.beat()
                self.log_change()
                await asyncio.sleep(self.interval_us / 1e6)
        finally:
            self.calls.close()

    async def beat(self) -> None:
        """Makes one call. A rejection is an answer, too: the relay has read the call."""
        sent_at = self.now()
        try:
            await self.calls.call(call_body([NO_ORDER]))
        except CallRejected:
            pass
        except (*CONNECTION_ERRORS, WireError):
            self.calls.counters["heartbeat.unanswered"] += 1
            return
        except Exception:  # a bug must only cost this heartbeat, not the controller
            self.calls.log.failed("heartbeat failed")
            return
        self.contact.call_answered(sent_at)
        if not self.has_waiting_events():
            self.contact.events_taken()

    def log_change(self) -> None:
        """Logs when the contact is lost, and when it is back."""
        now, contact = self.now(), self.contact
        allowed = contact.may_grant_writes(now)
        if allowed == self.allowed_writes:
            return
        self.allowed_writes = allowed
        self.calls.counters["heartbeat.contact_lost"] += not allowed
        self.calls.log.warn(
            "store answers: clients may write"
            if allowed
            else "no contact with the store: clients may not write",
            call_answered_us=min(now - contact.answered_call_at, contact.lease_us << 10),
            stream_heard_us=min(now - contact.stream_heard_at, contact.lease_us << 10),
        )
