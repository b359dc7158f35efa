"""xDS clients: which may connect, which may write, which barriers wait for them, and when they count as gone.

Every client may read. Permission to write is granted last, and as a lease: the write listener has a time to
live, which is renewed only while the client acknowledges what it is sent. The controller counts the client
as a proxy, whose acknowledgement barriers wait for, from the moment that the listener is offered. It does so
until the client has answered the listener's removal, or until a lease has passed since the last renewal
could have been sent. So a client that acknowledges nothing never delays a handover for longer than
`ack_timeout_us` and one lease. A client that does not support times to live gets no write listener, so it
delays none; it works in the degraded mode 'reads only'.
"""

from __future__ import annotations

from bisect import insort
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from lapispass.core.limits import RateLimiter, ReturnSlots
from lapispass.core.shared_types import NEVER, SECOND
from lapispass.core.versions import KINDS, ResourceCache, Update, Watch

READS = "reads"
WRITES = "writes"  # the listener that admits writes, and its routes
TTL_FEATURE = "xds.config.supports-resource-ttl"


class ClientLimits(NamedTuple):
    """Limits for clients; times in us."""

    lease_us: int
    # An update that is unacknowledged for longer than this ends the permission to write.
    ack_timeout_us: int = 2 * SECOND
    max_clients: int = 5_000
    max_names: int = 50_000  # names that one client may subscribe to
    max_response_resources: int = 5_000  # resources in one response
    max_probation_us: int = 60 * SECOND
    max_nacks: int = 3  # rejections of one kind in a row that end the permission to write
    # No renewal is sent while an assignment has been unacknowledged for longer than this. Only needed where a
    # slice may go to a controller that does not wait for the clients of this one.
    max_renewal_unacked_us: int = NEVER

    @property
    def ttl_us(self) -> int:
        """The time to live that clients are sent: the lease less the time that a message may be delayed."""
        return self.lease_us * 3 // 4

    @property
    def delivery_margin_us(self) -> int:
        """How long a message may take until the client has received and read it."""
        return self.lease_us - self.ttl_us

    @property
    def renewal_interval_us(self) -> int:
        return self.ttl_us // 3


class ProxyNumbers:
    """Allocates the numbers under which the controller counts clients as proxies.

    A released number is allocated again only after a lease.
    """

    def __init__(self, first: int, lease_us: int) -> None:
        self.next_number, self.lease_us = first, lease_us
        self.released: list[tuple[int, int]] = []  # (time of release, number), sorted

    def allocate(self, now: int) -> int:
        if self.released and self.released[0][0] + self.lease_us < now:
            return self.released.pop(0)[1]
        self.next_number += 1
        return self.next_number - 1

    def release(self, now: int, number: int) -> None:
        insort(self.released, (now, number))


@dataclass
class ClientStep:
    """What is to be done for a client: responses to it, and events for the controller."""

    updates: list[Update] = field(default_factory=list)
    joined: int | None = None  # the number of the proxy that joins
    left: int | None = None  # the number of the proxy that leaves
    left_acked_turn: int = 0  # the last turn that the leaving proxy is known to have applied
    left_delay_us: int = 0  # the controller is notified of the leave after this delay
    # (proxy number, barrier, time until the acknowledgement in us)
    acked_barriers: list[tuple[int, int, int]] = field(default_factory=list)
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
        self.proxy_number: int | None = None  # set while the controller counts the client as a proxy
        self.acked_turn = -1  # the last turn whose barrier the client has acknowledged
        self.renewed_at = 0
        self.probation_until = probation_until
        self.lapses = 0  # how often the permission to write has been revoked

    # subscriptions

    def watch(self, kind: str) -> Watch:
        """The watch of a kind, which is created with the first request for it."""
        if kind not in self.watches:
            self.watches[kind] = Watch(kind, self.is_sotw, self.cache)
            if kind == "lds":
                self.watches[kind].hidden.add(WRITES)
        return self.watches[kind]

    def subscribed_names(self) -> int:
        """How many names the client subscribes to, over all kinds."""
        return sum(len(watch.names or ()) for watch in self.watches.values())

    # sending

    def advance(
        self,
        now: int,
        turn: int,
        barriers: deque[tuple[int, int, int]],
        numbers: ProxyNumbers,
        may_write: bool = True,
    ) -> ClientStep:
        """What is due now. `barriers` are (turn, barrier, time of issue), oldest first."""
        step = ClientStep()
        for watch in self.watches.values():
            watch.now = now
        self.update_write_permission(now, may_write, numbers, step)
        for index, kind in enumerate(KINDS):
            if kind not in self.watches:
                continue
            watch = self.watches[kind]
            # Make before break: additions are sent in the order of kinds, each once the kinds before it are
            # acknowledged. Clusters are removed once the kinds that may refer to them are acknowledged.
            before = [self.watches[k] for k in KINDS[:index] if k in self.watches]
            behind = [self.watches[k] for k in KINDS[index + 1 :] if k in self.watches]
            if kind in ("lds", "rds") and not watch.sent and not all(other.settled for other in before):
                continue
            may_remove = kind != "cds" or all(other.settled for other in behind)
            update = watch.next_update(now, self.limits.max_response_resources, may_remove)
            if update is not None:
                step.updates.append(update)
        if (
            self.state == "writes"
            and now - self.renewed_at >= self.limits.renewal_interval_us
            and self.is_current(now)
        ):
            update = self.watches["lds"].renew(WRITES, now, in_full=self.may_expire_before_renewal(now))
            if update is not None:
                self.renewed_at = now
                step.updates.append(update)
        self.acknowledge_barriers(now, turn, barriers, step)
        return step

    def is_current(self, now: int) -> bool:
        """Whether the client follows the assignments closely enough for its permission to be renewed.

        A client may read its listeners and not its assignments, or reject these. Barriers of this controller
        wait for it, but a controller to which the store has given one of the slices does not: by rule 2 the
        permission must end within a lease of that.
        """
        if self.limits.max_renewal_unacked_us == NEVER:
            return True
        allowed_us = min(self.limits.delivery_margin_us, self.limits.max_renewal_unacked_us)
        return now <= self.watches["eds"].unacked_since + allowed_us

    def may_expire_before_renewal(self, now: int) -> bool:
        """Whether the client's write listener may have expired before a renewal sent now arrives.

        None was sent in time where this process stood still. A renewal without the content does not bring
        back a listener that has expired, and the client acknowledges it all the same.
        """
        return now + self.limits.delivery_margin_us >= self.renewed_at + self.limits.ttl_us

    def is_expired(self, now: int) -> bool:
        """Whether renewals were withheld until the client's write listener may have expired."""
        return (
            self.limits.max_renewal_unacked_us < NEVER
            and self.watches["lds"].in_flight is None
            and now - self.renewed_at >= self.limits.ttl_us
        )

    def exclude_pause(self, pause_us: int) -> None:
        """Leaves a pause of this process out of all time-outs, since no answer could be read during it."""
        for watch in self.watches.values():
            watch.sent_at += pause_us
            for name in watch.unacked_at:
                watch.unacked_at[name] += pause_us

    def update_write_permission(
        self, now: int, may_write: bool, numbers: ProxyNumbers, step: ClientStep
    ) -> None:
        """Grants permission to write once everything is acknowledged; revokes it if something is not."""
        eds, lds = self.watches.get("eds"), self.watches.get("lds")
        if lds is None or eds is None:
            return
        if self.state == "lapsing" and lds.settled and not lds.acked.get(WRITES):
            self.state = "reads"
            return  # `may_write` has not been asked for a client that only reads
        if not may_write:
            # A controller whose session has ended, or that has lost the store, may have a successor already,
            # which may have assigned its slices to new owners. Writes that follow its old tables would break
            # rule 2 (one writer per slice), so its clients may only read.
            if self.state == "writes":
                self.let_lapse(now, "this controller may have a successor", numbers, step)
            return
        if self.state == "reads":
            if (
                lds.settled
                and lds.answer_time_us > self.limits.delivery_margin_us
                and now > lds.sent_at + self.limits.lease_us
            ):
                # The listener is sent again, to measure whether the client reads promptly by now.
                lds.change_subscription([READS], [])
            # The answer time of a listener shows how late the client reads; a late reader may not write.
            prompt = (
                lds.settled and READS in lds.acked and lds.answer_time_us <= self.limits.delivery_margin_us
            )
            acked = eds.sent and eds.settled and eds.unacked_since == NEVER
            offered = lds.wants(WRITES) and WRITES in self.cache.by_kind["lds"]
            if self.has_ttl and prompt and acked and offered and now >= self.probation_until:
                self.state, self.renewed_at = "writes", now
                self.proxy_number = step.joined = numbers.allocate(now)
                self.acked_turn = -1
                lds.show(WRITES)
        elif self.state == "writes":
            late = min(eds.unacked_since, lds.sent_at if lds.in_flight is not None else NEVER)
            why = ""
            if now - late > self.limits.ack_timeout_us:
                why = "does not acknowledge updates"
            elif max(eds.nacks, lds.nacks) >= self.limits.max_nacks:
                why = "rejects several responses in a row"
            elif lds.answer_time_us > self.limits.delivery_margin_us:
                # The time to live starts when the client reads a renewal. A client that reads late may hold
                # its last renewal for longer than the lease, which the controller counts from the end of the
                # stream. It could then still write while a slice has a new owner, against rule 2.
                why = f"answered a renewal after {lds.answer_time_us} us"
                lds.answer_time_us = 0
            elif lds.nacked.get(WRITES):
                why = "rejects the write listener"
            if why:
                self.revoke_write_permission(now, why, step)
                self.leave_proxies(now, numbers, step)
                lds.hide(WRITES)
            elif self.is_expired(now):
                # A renewal would not restore the listener, so it is removed, and sent again in full once the
                # client has acknowledged its assignments.
                self.let_lapse(now, "assignments acknowledged too late for a renewal", numbers, step)

    def let_lapse(self, now: int, why: str, numbers: ProxyNumbers, step: ClientStep) -> None:
        """Ends the permission to write without probation; it may be granted again at once."""
        self.state, step.lapse_reason = "lapsing", why
        self.leave_proxies(now, numbers, step)
        self.watches["lds"].hide(WRITES)

    def revoke_write_permission(self, now: int, why: str, step: ClientStep) -> None:
        """Ends renewals, and puts the client on probation, each time for longer."""
        self.lapses += 1
        self.state = "lapsing"
        wait = min(self.limits.max_probation_us, self.limits.lease_us * 2 ** min(self.lapses, 10))
        self.probation_until = now + wait
        step.lapse_reason = f"{why}; may only read for {wait} us"

    def leave_proxies(self, now: int, numbers: ProxyNumbers, step: ClientStep) -> None:
        """Reports the client as gone to the controller, which waits for a lease from then on.

        Its number is not allocated again before that.
        """
        if self.proxy_number is not None:
            step.left, self.proxy_number = self.proxy_number, None
            step.left_acked_turn = (
                self.watches["eds"].acked_turn if "eds" in self.watches else self.acked_turn
            )
            lds = self.watches.get("lds")
            if lds is not None and lds.in_flight is not None and WRITES in lds.in_flight.resources:
                # The client may read the renewal in flight later than any before, and its time to live starts
                # then. It must have expired before a slice gets a new owner, by rule 2.
                step.left_delay_us = self.limits.ack_timeout_us
            numbers.release(now + step.left_delay_us, step.left)

    def end(self, now: int, numbers: ProxyNumbers) -> ClientStep:
        """Handles the end of the client's stream."""
        step = ClientStep()
        self.leave_proxies(now, numbers, step)
        for watch in self.watches.values():
            watch.end()
        self.watches.clear()
        return step

    def acknowledge_barriers(
        self, now: int, turn: int, barriers: deque[tuple[int, int, int]], step: ClientStep
    ) -> None:
        """Acknowledges the last barrier up to whose turn the client has acknowledged all write resources."""
        if self.proxy_number is None:
            return
        eds = self.watches["eds"]
        acked = min(turn, eds.acked_turn)
        if acked <= self.acked_turn:
            return
        last = next(
            (
                (at, barrier, when)
                for at, barrier, when in reversed(barriers)
                if self.acked_turn < at <= acked
            ),
            None,
        )
        self.acked_turn = acked
        if last is not None:
            step.acked_barriers.append((self.proxy_number, last[1], max(0, now - last[2])))


class ConnectLimiter:
    """Limits how fast clients may connect, since thousands may reconnect at once.

    A rejected client is told when to come back.
    """

    def __init__(self, clients: int, per_s: float, burst: int, seed: int) -> None:
        self.max_clients, self.rate = clients, RateLimiter(per_s, burst)
        self.returns = ReturnSlots(per_s, SECOND // 10, 30 * SECOND, seed)

    def delay_us(self, now: int, connected: int) -> int:
        """0 if another client may connect now; otherwise the time in us after which to try again."""
        if connected >= self.max_clients:
            return max(SECOND, self.returns.delay_us(now))
        if wait := self.rate.wait_us(now):
            return max(wait, self.returns.delay_us(now))
        self.rate.take(now)
        return 0
