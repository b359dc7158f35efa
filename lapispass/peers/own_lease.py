"""A controller's lease in the coordination service, and the member key that is attached to it."""

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
    """Keeps a lease renewed, and requests a new one under a new boot after it has ended.

    `on_end` is called with the reason when the lease ends.
    """

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
        self.key_revision = 0  # revision at which this incarnation's member key was created

    @property
    def holder(self) -> str:
        """The name under which it holds slices; each incarnation is a different holder."""
        return f"{self.name}/{self.boot}"

    def is_valid(self) -> bool:
        """Whether anything may be published now."""
        return self.session.is_valid(self.clock.now())

    def key_condition(self) -> Condition:
        """The condition of every transaction: this incarnation's member key still exists."""
        return Condition(records.member_key(self.name), self.key_revision, True)

    async def keep_alive(self) -> None:
        """Requests and renews the lease for as long as the task runs."""
        while True:
            sent_us = self.clock.now()
            try:
                if self.session.lease_id:
                    await self.renew_session(sent_us)
                else:
                    await self.start_session(sent_us)
            except (OutcomeUnknown, CallRejected) as error:
                self.counters["peers.calls_failed"] += 1
                self.log.rate_limited("call to the coordination service failed", why=error)
                if self.session.lease_id and self.clock.now() >= self.session.valid_until:
                    self.on_end("the lease expired because it could not be renewed")
            delay_s = self.ttl_s / 5 if self.session.lease_id else self.ttl_s / 10
            await asyncio.sleep(delay_s)

    async def start_session(self, sent_us: int) -> None:
        """Requests a lease and creates the member key, unless an earlier incarnation's key still exists."""
        lease = await self.service.grant_lease(self.ttl_s)
        put = Put(records.member_key(self.name), records.encode_member(self.boot, self.weight), lease)
        result = await self.service.compare_and_swap([Condition(put.key, 0)], [put])
        if not result.succeeded:
            await self.service.revoke_lease(lease)
            return
        self.key_revision = result.revision
        self.session.granted(sent_us, lease, self.ttl_s * 1_000_000)
        self.log.info("session started", holder=self.holder)

    async def renew_session(self, sent_us: int) -> None:
        """Renews the lease, and ends the session if the service no longer has the lease."""
        ttl_us = await self.service.renew_lease(self.session.lease_id)
        if not self.session.renewed(sent_us, self.session.lease_id, ttl_us):
            self.on_end("the coordination service no longer has the lease")

    def begin_incarnation(self) -> None:
        """Ends the session and draws the boot of the next incarnation, which has its own holder name."""
        self.session.end()
        self.boot = secrets.token_hex(4)
