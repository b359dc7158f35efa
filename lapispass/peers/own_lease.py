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
from lapispass.peers.coordination import Expect, Put, Refused, Service, Unknown


class OwnLease:
    """Granted, renewed, and granted anew under another boot where it has run out; `ended` is told why."""

    def __init__(
        self,
        service: Service,
        name: str,
        weight: float,
        ttl_s: int,
        clock: Clock,
        counters: Counters,
        log: PartLogger,
        ended: Callable[[str], None],
    ) -> None:
        self.service, self.name, self.weight, self.ttl_s = service, name, weight, ttl_s
        self.clock, self.counters, self.log, self.ended = clock, counters, log, ended
        self.boot = secrets.token_hex(4)
        self.session = Session(margin_us=ttl_s * 100_000)
        self.made = 0  # revision at which this life's key was made

    @property
    def holder(self) -> str:
        """Its name as the holder of slices: another life is another holder."""
        return f"{self.name}/{self.boot}"

    def holds(self) -> bool:
        """Whether anything may be published now."""
        return self.session.is_valid(self.clock.now())

    def guard(self) -> Expect:
        """What a transaction of this life expects: that its key is there."""
        return Expect(records.member_key(self.name), self.made, True)

    async def keep(self) -> None:
        """Grants, renews, and begins another life where a lease has run out."""
        while True:
            sent = self.clock.now()
            try:
                if self.session.lease_id:
                    await self.renew(sent)
                else:
                    await self.begin(sent)
            except (Unknown, Refused) as error:
                self.counters["peers.calls_failed"] += 1
                self.log.rate_limited("service not reached", why=error)
                if self.session.lease_id and self.clock.now() >= self.session.valid_until:
                    self.ended("it could not be renewed")
            wait = self.ttl_s / 5 if self.session.lease_id else self.ttl_s / 10
            await asyncio.sleep(wait)

    async def begin(self, sent: int) -> None:
        """Has a lease granted, and the key made, unless an earlier life's key is still there."""
        lease = await self.service.grant(self.ttl_s)
        life = Put(records.member_key(self.name), records.encode_life(self.boot, self.weight), lease)
        result = await self.service.swap([Expect(life.key, 0)], [life])
        if not result.succeeded:
            await self.service.revoke(lease)
            return
        self.made = result.revision
        self.session.granted(sent, lease, self.ttl_s * 1_000_000)
        self.log.say("session begun", holder=self.holder)

    async def renew(self, sent: int) -> None:
        """Has the lease renewed; it may be over at the service."""
        left = await self.service.keep(self.session.lease_id)
        if not self.session.renewed(sent, self.session.lease_id, left):
            self.ended("the service knows it no more")

    def give_up(self) -> None:
        """This life is over; the next one has a name of its own."""
        self.session.end()
        self.boot = secrets.token_hex(4)
