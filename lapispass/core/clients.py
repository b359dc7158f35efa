"""xDS clients: who is let in, who may write, whose answer a mark waits for, and when a client counts as gone.

Every client may read. To write is granted last, and by a lease: the write listener has a time to live,
which is renewed only while the client acknowledges what it is sent. From the moment that listener is
offered until the client has answered its removal, or a lease after the last renewal could have been sent,
the client is a proxy to the deciding module, whose marks wait for it. So a client that acknowledges nothing
never holds up a handover for longer than `late_us` and one lease, and one without times to live holds up
none, since it gets no write listener: the named lesser mode 'reads only'.
"""

from __future__ import annotations

from bisect import insort
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from lapispass.core.facts import NEVER, SECOND
from lapispass.core.limits import Rate, Returns
from lapispass.core.versions import KINDS, ResourceCache, Update, Watch

READS = "reads"
WRITES = "writes"  # the listener by which writes are let through
TTL_FEATURE = "xds.config.supports-resource-ttl"


class ClientLimits(NamedTuple):
    """Bounds on clients; times in us."""

    lease_us: int
    ack_timeout_us: int = 2 * SECOND  # an update not acknowledged for so long ends the right to write
    max_clients: int = 5_000
    max_names: int = 50_000  # one client may ask for
    max_response_resources: int = 5_000  # resources in one response
    max_probation_us: int = 60 * SECOND
    max_nacks: int = 3  # of one kind in a row, before the right to write ends

    @property
    def ttl_us(self) -> int:
        """Told to clients: less than the lease by what a message may take on its way."""
        return self.lease_us * 3 // 4

    @property
    def delivery_margin_us(self) -> int:
        """What a message may take on its way to a client, and to be read there."""
        return self.lease_us - self.ttl_us

    @property
    def renewal_interval_us(self) -> int:
        return self.ttl_us // 3


class ProxyNumbers:
    """Proxy numbers for the module. One that a client has left is free again only after its lease."""

    def __init__(self, first: int, lease_us: int) -> None:
        self.next_number, self.lease_us = first, lease_us
        self.released: list[tuple[int, int]] = []  # (when, number), in order

    def allocate(self, now: int) -> int:
        if self.released and self.released[0][0] + self.lease_us < now:
            return self.released.pop(0)[1]
        self.next_number += 1
        return self.next_number - 1

    def release(self, now: int, number: int) -> None:
        insort(self.released, (now, number))


@dataclass
class ClientStep:
    """What follows from a look at a client: responses, and news for the module."""

    updates: list[Update] = field(default_factory=list)
    joined: int | None = None
    left: int | None = None
    left_acked_turn: int = 0  # the turn up to which it was shown to have the tables
    left_delay_us: int = 0  # the module is told so much later
    acked_barriers: list[tuple[int, int, int]] = field(default_factory=list)  # proxy, mark, took us
    lapse_reason: str = ""


class Client:
    """One stream of a client, from its first message to its end."""

    def __init__(
        self,
        name: str,
        zone: str,
        is_sotw: bool,
        has_ttl: bool,
        cache: ResourceCache,
        limits: ClientLimits,
        now: int,
        probation_until: int = 0,
    ) -> None:
        self.name, self.zone, self.is_sotw, self.has_ttl, self.limits = name, zone, is_sotw, has_ttl, limits
        self.cache, self.started_at = cache, now
        self.watches: dict[str, Watch] = {}
        self.state = "reads"  # reads, writes, lapsing (the listener's removal is not answered yet)
        self.proxy_number: int | None = None  # as a proxy of the module
        self.acked_turn = -1  # the last turn that it was shown to have applied
        self.renewed_at = 0
        self.probation_until = probation_until
        self.lapses = 0

    # what it asks for

    def watch(self, kind: str) -> Watch:
        if kind not in self.watches:
            self.watches[kind] = Watch(kind, self.is_sotw, self.cache)
            if kind == "lds":
                self.watches[kind].hidden.add(WRITES)
        return self.watches[kind]

    def subscribed_names(self) -> int:
        return sum(len(watch.names or ()) for watch in self.watches.values())

    # what it is sent

    def advance(
        self,
        now: int,
        turn: int,
        barriers: deque[tuple[int, int, int]],
        numbers: ProxyNumbers,
        may_write: bool = True,
    ) -> ClientStep:
        """What is due now. `marks` are (turn, mark, when), oldest first."""
        step = ClientStep()
        for watch in self.watches.values():
            watch.now = now
        self.update_write_permission(now, may_write, numbers, step)
        for index, kind in enumerate(KINDS):
            if kind not in self.watches:
                continue
            watch = self.watches[kind]
            # Make before break: what is new goes out in the order of kinds, each when the one before has been
            # acknowledged; what is removed waits until those that may point to it are.
            before = [self.watches[k] for k in KINDS[:index] if k in self.watches]
            behind = [self.watches[k] for k in KINDS[index + 1 :] if k in self.watches]
            if kind in ("lds", "rds") and not watch.sent and not all(other.settled for other in before):
                continue
            may_remove = kind != "cds" or all(other.settled for other in behind)
            update = watch.next_update(now, self.limits.max_response_resources, may_remove)
            if update is not None:
                step.updates.append(update)
        if self.state == "writes" and now - self.renewed_at >= self.limits.renewal_interval_us:
            update = self.watches["lds"].renew(WRITES, now)
            if update is not None:
                self.renewed_at = now
                step.updates.append(update)
        self.acknowledge_barriers(now, turn, barriers, step)
        return step

    def exclude_pause(self, pause_us: int) -> None:
        """The controller itself did: its clients are not blamed for what they could not be heard to say."""
        for watch in self.watches.values():
            watch.sent_at += pause_us
            for name in watch.unacked_at:
                watch.unacked_at[name] += pause_us

    def update_write_permission(
        self, now: int, may_write: bool, numbers: ProxyNumbers, step: ClientStep
    ) -> None:
        """Grants writing where all is acknowledged; ends it where something is not."""
        eds, lds = self.watches.get("eds"), self.watches.get("lds")
        if lds is None or eds is None:
            return
        if not may_write:
            # Guards rule 2: a controller that may have been followed already shows what it has, for reading
            # only.
            if self.state == "writes":
                self.state, step.lapse_reason = "lapsing", "the controller's own session has ended"
                self.leave_proxies(now, numbers, step)
                lds.hide(WRITES)
            return
        if self.state == "reads":
            if (
                lds.settled
                and lds.answer_time_us > self.limits.delivery_margin_us
                and now > lds.sent_at + self.limits.lease_us
            ):
                lds.change_subscription(
                    [READS], []
                )  # sent once more, to see whether it reads promptly by now
            # How late it reads is known from the listeners it has acknowledged: no right for who reads late.
            prompt = (
                lds.settled and READS in lds.acked and lds.answer_time_us <= self.limits.delivery_margin_us
            )
            proven = eds.sent and eds.settled and eds.unacked_since == NEVER
            offered = lds.wants(WRITES) and WRITES in self.cache.by_kind["lds"]
            if self.has_ttl and prompt and proven and offered and now >= self.probation_until:
                self.state, self.renewed_at = "writes", now
                self.proxy_number = step.joined = numbers.allocate(now)
                self.acked_turn = -1
                lds.show(WRITES)
        elif self.state == "writes":
            late = min(eds.unacked_since, lds.sent_at if lds.in_flight is not None else NEVER)
            why = ""
            if now - late > self.limits.ack_timeout_us:
                why = "acknowledges nothing"
            elif max(eds.nacks, lds.nacks) >= self.limits.max_nacks:
                why = "turns the same down again and again"
            elif lds.answer_time_us > self.limits.delivery_margin_us:
                # Guards rule 2: its time to live counts from when it reads a renewal. One that reads late
                # may hold the last one longer than the lease, which the module counts from the end of its
                # stream.
                why = f"answers a renewal after {lds.answer_time_us} us"
                lds.answer_time_us = 0
            elif lds.nacked.get(WRITES):
                why = "turns the write listener down"
            if why:
                self.revoke_write_permission(now, why, step)
                self.leave_proxies(now, numbers, step)
                lds.hide(WRITES)
        elif self.state == "lapsing" and lds.settled and not lds.acked.get(WRITES):
            self.state = "reads"

    def revoke_write_permission(self, now: int, why: str, step: ClientStep) -> None:
        """No further renewal. Each time it stays a reader for longer."""
        self.lapses += 1
        self.state = "lapsing"
        wait = min(self.limits.max_probation_us, self.limits.lease_us * 2 ** min(self.lapses, 10))
        self.probation_until = now + wait
        step.lapse_reason = f"{why}; reads only for {wait} us"

    def leave_proxies(self, now: int, numbers: ProxyNumbers, step: ClientStep) -> None:
        """It counts as gone for the module, which waits a lease from now; its number is not used again
        before."""
        if self.proxy_number is not None:
            step.left, self.proxy_number = self.proxy_number, None
            step.left_acked_turn = (
                self.watches["eds"].acked_turn if "eds" in self.watches else self.acked_turn
            )
            lds = self.watches.get("lds")
            if lds is not None and lds.in_flight is not None and WRITES in lds.in_flight.resources:
                # Guards rule 2: it may read this renewal later than any before, and its time runs from then.
                step.left_delay_us = self.limits.ack_timeout_us
            numbers.release(now + step.left_delay_us, step.left)

    def end(self, now: int, numbers: ProxyNumbers) -> ClientStep:
        """Its stream has ended."""
        step = ClientStep()
        self.leave_proxies(now, numbers, step)
        for watch in self.watches.values():
            watch.end()
        self.watches.clear()
        return step

    def acknowledge_barriers(
        self, now: int, turn: int, barriers: deque[tuple[int, int, int]], step: ClientStep
    ) -> None:
        """Marks whose tables rule at the client: all write tables up to their turn are acknowledged."""
        if self.proxy_number is None:
            return
        eds = self.watches["eds"]
        proven = min(turn, eds.acked_turn)
        if proven <= self.acked_turn:
            return
        last = next(
            (
                (at, barrier, when)
                for at, barrier, when in reversed(barriers)
                if self.acked_turn < at <= proven
            ),
            None,
        )
        self.acked_turn = proven
        if last is not None:
            step.acked_barriers.append((self.proxy_number, last[1], max(0, now - last[2])))


class ConnectLimiter:
    """Who is let in: thousands may come back at once. What is refused is told when to come."""

    def __init__(self, clients: int, per_s: float, burst: int, seed: int) -> None:
        self.max_clients, self.rate = clients, Rate(per_s, burst)
        self.returns = Returns(per_s, SECOND // 10, 30 * SECOND, seed)

    def delay_us(self, now: int, inside: int) -> int:
        """0 for whoever may come in; else when to come back, us from now."""
        if inside >= self.max_clients:
            return max(SECOND, self.returns.delay_us(now))
        if wait := self.rate.wait_us(now):
            return max(wait, self.returns.delay_us(now))
        self.rate.take(now)
        return 0
