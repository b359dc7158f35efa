"""A controller's lease in the coordination service, and the key of its life that hangs on it."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable

from lapispass.core.membership import Session
from lapispass.net.clock import Clock
from lapispass.net.counters import Counters
from lapispass.net.log import PartLogger
from lapispass.peers import records
from lapispass.peers.coordination import CallRejected, Condition, CoordinationClient, OutcomeUnknown, Put


class OwnLease:
    """Granted, renewed, and granted anew under another boot where it has run out; `ended` is told why."""

    def __init__(
        self,
        service: CoordinationClient,
        name: str,
        weight: float,
        ttl_s: int,
        clock: Clock,
        counters: Counters,
        log: PartLogger,
        on_end: Callable[[str], None],
    ) -> None:
        self.service, self.name, self.weight, self.ttl_s = service, name, weight, ttl_s
        self.clock, self.counters, self.log, self.on_end = clock, counters, log, on_end
        self.boot = secrets.token_hex(4)
        self.session = Session(margin_us=ttl_s * 100_000)
        self.key_revision = 0  # revision at which this life's key was made

    @property
    def holder(self) -> str:
        """Its name as the holder of slices: another life is another holder."""
        return f"{self.name}/{self.boot}"

    def is_valid(self) -> bool:
        """Whether anything may be published now."""
        return self.session.is_valid(self.clock.now())

    def key_condition(self) -> Condition:
        """What a transaction of this life expects: that its key is there."""
        return Condition(records.member_key(self.name), self.key_revision, True)

    async def keep_alive(self) -> None:
        """Grants, renews, and begins another life where a lease has run out."""
        while True:
            sent_us = self.clock.now()
            try:
                if self.session.lease_id:
                    await self.renew_session(sent_us)
                else:
                    await self.start_session(sent_us)
            except (OutcomeUnknown, CallRejected) as error:
                self.counters["peers.calls_failed"] += 1
                self.log.rate_limited("service not reached", why=error)
                if self.session.lease_id and self.clock.now() >= self.session.valid_until:
                    self.on_end("it could not be renewed")
            delay_s = self.ttl_s / 5 if self.session.lease_id else self.ttl_s / 10
            await asyncio.sleep(delay_s)

    async def start_session(self, sent_us: int) -> None:
        """Has a lease granted, and the key made, unless an earlier life's key is still there."""
        lease = await self.service.grant_lease(self.ttl_s)
        key = Put(records.member_key(self.name), records.encode_member(self.boot, self.weight), lease)
        result = await self.service.compare_and_swap([Condition(key.key, 0)], [key])
        if not result.succeeded:
            await self.service.revoke_lease(lease)
            return
        self.key_revision = result.revision
        self.session.granted(sent_us, lease, self.ttl_s * 1_000_000)
        self.log.say("session begun", holder=self.holder)

    async def renew_session(self, sent_us: int) -> None:
        """Has the lease renewed; it may be over at the service."""
        ttl_us = await self.service.renew_lease(self.session.lease_id)
        if not self.session.renewed(sent_us, self.session.lease_id, ttl_us):
            self.on_end("the service knows it no more")

    def begin_incarnation(self) -> None:
        """This life is over; the next one has a name of its own."""
        self.session.end()
        self.boot = secrets.token_hex(4)
