"""The host of a controller that shares the nodes with other controllers.

The coordination service holds the authoritative record of each slice, under an epoch. Every host serves the
tables of all slices to its own clients, and its controller decides only on the slices that it holds. To that
controller each other host is a proxy. A barrier is acknowledged for another host when all of its clients have
acknowledged the revision that belongs to the barrier, or one lease after the service reported its death.
Everything is written to the service before it is published. A record is decided on and written under one
lock, and the write is a compare-and-swap on the revision that was decided on and on the member key of this
incarnation. So no write replaces a record that the decision did not know.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Coroutine, Iterable, Sequence
from typing import Any

from lapispass import interface
from lapispass.core import tables
from lapispass.core.membership import Members
from lapispass.core.slice_grants import grant_events
from lapispass.core.table_snapshot import TableSnapshot
from lapispass.core.takeover import RecordUpdate, Takeover
from lapispass.operator.read import Source
from lapispass.peers import records
from lapispass.peers.coordination import (
    CallRejected,
    CoordinationClient,
    Delete,
    KeyChange,
    KeyValue,
    OutcomeUnknown,
    Put,
    RevisionCompacted,
    WatchSilent,
)
from lapispass.peers.own_lease import OwnLease
from lapispass.peers.record_writer import RecordWriter
from lapispass.xds.host import STORE_PROXY, Host

EVALUATION_INTERVAL_S = 0.03


class SharedHost(Host):
    """Hosts one of several controllers that share the nodes."""

    def open_store(self, source: Source) -> None:
        """Prepares the client of the coordination service; this controller holds no slice yet."""
        shared = source.settings.alone.shared
        weight = shared.weight if shared.HasField("weight") else 1.0
        ttl_s = max(1, shared.session_s) if shared.HasField("session_s") else 3
        self.name, self.service = shared.name, CoordinationClient(shared.coordination)
        self.lease = OwnLease(
            self.service, self.name, weight, ttl_s, self.clock, self.counters, self.log, self.end_session
        )
        # Held from the decision on a record until it is written: turns, claims and releases take turns.
        self.record_lock = asyncio.Lock()
        self.watched_revision = 0  # all changes up to this revision have been received
        self.xds_server.may_grant_writes = self.may_grant_writes
        self.members = Members()
        self.proxy_numbers: dict[str, int] = {}  # by holder: its number as a proxy of our controller
        self.gone_at: dict[str, int] = {}  # by holder: since when it is known to be dead
        self.takeover = Takeover(self.deployment.slices, self.lease.holder, linger_us=ttl_s * 100_000)
        self.writer = RecordWriter(self.service, self.lease, self.takeover, self.counters)
        self.snapshot = tables.Tables(
            self.deployment.slices
        )  # the tables that all controllers have published
        self.own_snapshot = TableSnapshot(
            self.deployment.slices, self.deployment.classes, self.deployment.admission_mode == "share"
        )
        self.revision, self.read_at = 0, 0
        # A turn of our xDS server, and the revision of the service whose changes it has published.
        self.unacked_turns: deque[tuple[int, int]] = deque(maxlen=4096)
        self.acked_revision = -1  # the last one that we have reported as acknowledged by all of our clients
        # A barrier of our controller, the revision that belongs to it, and when it was published.
        self.barriers: deque[tuple[int, int, int]] = deque(maxlen=4096)
        self.peer_acked_revisions: dict[str, int] = {}  # by controller, as its answer key reports it
        self.peer_acked_at: dict[str, int] = {}  # by controller: when the last barrier it acked was published
        self.withdrawals: set[str] = set()  # `controller/node` for each node that a controller has withdrawn
        # Nodes withdrawn (True) or readmitted (False) by us that the service does not know about yet.
        self.unreported_withdrawals: dict[str, bool] = {}
        self.is_leaving = False
        self.synced = asyncio.Event()

    def background_tasks(self) -> list[Coroutine[Any, Any, None]]:
        return [self.run_turns(), self.lease.keep_alive(), self.follow_changes(), self.run_evaluations()]

    def close_store(self) -> None:
        self.service.close()

    # Session

    def end_session(self, why: str) -> None:
        """Gives up all slices and begins a new incarnation, which has its own holder name."""
        self.log.warn("session ended", why=why, slices=len(self.takeover.acting))
        self.counters["peers.sessions_lost"] += 1
        self.lease.begin_incarnation()
        self.takeover.name = self.lease.holder
        # The keys of the nodes that we have withdrawn were deleted together with the lease.
        self.unreported_withdrawals.update(dict.fromkeys(self.own_snapshot.tables.withdrawn, True))
        self.stop_all_slices()

    def stop_all_slices(self) -> None:
        """Takes all slices from the controller."""
        self.stop_slices(sorted(self.takeover.acting))
        self.takeover.acting.clear()

    def stop_slices(self, numbers: Iterable[int]) -> None:
        """Takes slices from the controller, which must not act on them any more."""
        for number in numbers:
            self.deliver(interface.SliceGrant(number, False))

    def may_grant_writes(self, now: int) -> bool:
        """Whether our clients may be allowed to write.

        That needs a valid session and all changes up to the revision at which our member key was created.
        From that revision on, other controllers wait for our acknowledgements. Before it they considered us
        gone, so what they published until then must have been received first.
        """
        return self.lease.session.is_valid(now) and self.watched_revision >= self.lease.key_revision

    # Changes in the service

    async def follow_changes(self) -> None:
        """Reads a snapshot, then follows the changes; repeats both if the watch ends or was compacted."""
        while True:
            try:
                revision, keys = await self.service.read_prefix(records.ROOT)
                self.apply_changes(
                    [KeyChange(key, kv.mod_revision, kv) for key, kv in keys.items()],
                    revision,
                    is_snapshot=True,
                )
                self.synced.set()
                while await self.follow_watch():
                    pass  # the next one goes on where the silent one stopped
            except RevisionCompacted as error:
                self.counters["peers.compacted"] += 1
                self.log.rate_limited("watch cancelled, its revision was compacted", at=error)
            except (OutcomeUnknown, CallRejected) as error:
                self.counters["peers.watches_lost"] += 1
                self.log.rate_limited("reading or watching the coordination service failed", why=error)
            await asyncio.sleep(0.05 + 0.1 * self.xds_server.connect_limiter.returns.draw())

    async def follow_watch(self) -> bool:
        """Follows the changes from the last known revision on; returns whether the watch fell silent.

        A controller that is a member to others must hear of their changes, so a watch is trusted without a
        sign for as long as a session lasts. Silence is usual where nothing changes, and costs one request.
        """
        idle_us = self.lease.ttl_s * 1_000_000
        try:
            async for changes in self.service.watch(records.ROOT, self.watched_revision + 1, idle_us):
                if changes:
                    self.apply_changes(changes, max(change.revision for change in changes))
        except WatchSilent:
            self.counters["peers.watches_silent"] += 1
            return True
        return False

    def apply_changes(self, changes: Sequence[KeyChange], revision: int, is_snapshot: bool = False) -> None:
        """Applies changed records, members, acknowledged revisions and withdrawals of nodes.

        What other controllers have published is passed on to our clients.
        """
        table_changes: list[tables.TableChange] = []
        affects_tables = is_snapshot
        if is_snapshot:
            present = {change.key for change in changes}
            self.update_members({name: kv for name, kv in self.members_in(changes).items()})
            for withdrawal in [
                withdrawal
                for withdrawal in self.withdrawals
                if records.withdrawal_key(withdrawal) not in present
            ]:
                table_changes += self.set_withdrawn(withdrawal, False)
        for change in changes:
            kind, name = records.parse_key(change.key)
            affects_tables = affects_tables or kind in ("slices", "out")
            match kind:
                case "slices" if change.current is not None:
                    table_changes += self.apply_record(int(name), change.current)
                case "members" if not is_snapshot:
                    alive = {
                        n: (m.weight, m.boot)
                        for n, m in self.members.known.items()
                        if n in self.members.alive()
                    }
                    if change.current is None:
                        alive.pop(name, None)
                    else:
                        alive[name] = records.decode_member(change.current)
                    self.update_members(alive)
                case "answers" if change.current is not None:
                    self.peer_acked_revisions[name] = int(change.current.value)
                case "out":
                    table_changes += self.set_withdrawn(name, change.current is not None)
                case _:
                    pass
        self.stop_slices(self.takeover.take_lost())
        self.publish_changes(table_changes, None)
        self.watched_revision = max(self.watched_revision, revision)
        if affects_tables:
            # Only revisions that the watch has delivered may be acknowledged. It delivers the changes of all
            # controllers in order, while our own writes may have later revisions than changes of others that
            # have not been received yet.
            self.revision = max(self.revision, revision)
            self.unacked_turns.append((self.xds_server.turn, revision))
        self.acknowledge_barriers()

    def read_again(self) -> bool:
        """Handles SIGHUP, and publishes the assignments of nodes whose addresses have changed."""
        was_read = super().read_again()
        self.publish_changes([], None)
        return was_read

    def members_in(self, changes: Sequence[KeyChange]) -> dict[str, tuple[float, str]]:
        """The weight and boot of each controller whose member key is among these changes."""
        found = {}
        for change in changes:
            kind, name = records.parse_key(change.key)
            if kind == "members" and change.current is not None:
                found[name] = records.decode_member(change.current)
        return found

    def update_members(self, alive: dict[str, tuple[float, str]]) -> None:
        """Reports controllers that joined or left as proxies.

        Each incarnation is a proxy of its own: one that has left still counts for one lease, even if another
        joins under the same name.
        """
        now = self.clock.now()
        before = {name: f"{name}/{member.boot}" for name, member in self.members.known.items()}
        joined, left = self.members.update(alive, now)
        for member in left:
            holder = before[member.name]
            self.gone_at[holder] = now
            if (number := self.proxy_numbers.pop(holder, None)) is not None:
                self.deliver(interface.ProxyLeft(number))
                self.xds_server.proxy_numbers.release(now, number)
            self.counters["peers.left"] += 1
            self.log.info("controller left", holder=holder)
        for member in joined:
            holder = f"{member.name}/{member.boot}"
            if member.name == self.name:
                continue
            number = self.proxy_numbers[holder] = self.xds_server.proxy_numbers.allocate(now)
            self.peer_acked_at[member.name] = -1
            self.peer_acked_revisions.pop(member.name, None)
            self.deliver(interface.ProxyJoined(number, True, "", None))
            self.counters["peers.joined"] += 1
            self.log.info("controller joined", holder=holder)
        horizon = now - 100 * self.deployment.lease_us
        self.members.forget(horizon)
        self.gone_at = {holder: at for holder, at in self.gone_at.items() if at > horizon}

    def apply_record(self, number: int, kv: KeyValue) -> list[tables.TableChange]:
        """Applies a slice's record; returns the table changes that it means for our clients."""
        new = records.decode_slice(kv)
        if kv.mod_revision < self.writer.last_record(number).revision:
            return []
        self.takeover.received(number, new)
        return self.published_changes(number)

    def published_changes(self, number: int) -> list[tables.TableChange]:
        """The table changes that the last known record of a slice means for our clients."""
        record = self.writer.last_record(number)
        return [
            tables.SetOwner(number, record.owner),
            tables.SetShare(number, record.share, record.shut),
        ]

    def set_withdrawn(self, withdrawal: str, out: bool) -> list[tables.TableChange]:
        """Notes that a controller has withdrawn or readmitted a node, given as `controller/node`.

        A node is withdrawn while any controller withdraws it. Withdrawals end with the controller's session.
        """
        (self.withdrawals.add if out else self.withdrawals.discard)(withdrawal)
        node = withdrawal.partition("/")[2]
        return [tables.SetWithdrawn(node, any(other.partition("/")[2] == node for other in self.withdrawals))]

    def publish_changes(self, changes: Sequence[tables.TableChange], barrier: int | None) -> None:
        """Publishes changes to our clients, with a barrier if there is one.

        A record may name a node before our operator file does, and a node's address may change. So changes of
        addresses are published as well.
        """
        published = self.take_addresses()
        published += [
            change
            for change in changes
            if self.snapshot.apply(change) or isinstance(change, tables.SetWithdrawn)
        ]
        self.xds_server.publish(self.snapshot, published, barrier)

    def take_addresses(self) -> list[tables.TableChange]:
        """Takes over the nodes' addresses; returns the changes."""
        before, self.snapshot.nodes = self.snapshot.nodes, dict(self.xds_server.addresses)
        return [
            tables.SetNode(node, self.snapshot.nodes.get(node))
            for node in sorted(before.keys() | self.snapshot.nodes.keys())
            if before.get(node) != self.snapshot.nodes.get(node)
        ]

    # Acknowledgements, claims and releases

    def acknowledge_barriers(self) -> None:
        """Acknowledges our barriers for the controllers whose clients have all acknowledged them."""
        for holder, number in self.proxy_numbers.items():
            name = holder.partition("/")[0]
            acked_revision = self.peer_acked_revisions.get(name, -1)
            ready = [
                (barrier, at_us)
                for barrier, revision, at_us in self.barriers
                if revision <= acked_revision and at_us > self.peer_acked_at.get(name, -1)
            ]
            if ready:
                self.peer_acked_at[name] = ready[-1][1]
                self.deliver(interface.BarrierAck(number, ready[-1][0], self.clock.now() - ready[-1][1]))

    async def run_evaluations(self) -> None:
        """Regularly claims and releases slices, and reports which revision our clients have acknowledged."""
        await self.synced.wait()
        while True:
            await asyncio.sleep(EVALUATION_INTERVAL_S)
            now = self.clock.now()
            alive = {
                f"{name}/{m.boot}" for name, m in self.members.known.items() if name in self.members.alive()
            }
            for holder in self.takeover.unseen_dead_holders(alive | {self.lease.holder}, self.gone_at):
                self.gone_at[holder] = now
            actions = self.takeover.evaluate(
                now,
                self.members.alive(),
                self.gone_at,
                self.lease.session.is_valid(now),
                self.is_busy,
                self.is_leaving,
            )
            self.stop_slices(actions.stop)
            for number in actions.start:
                self.counters["peers.slices_taken"] += 1
                self.start_slice(number)
            if actions.claims or actions.releases:
                await self.write_claims([*actions.claims, *actions.releases])
            await self.publish_acked_revision()

    def is_busy(self, number: int) -> bool:
        """Whether a handover of a slice is in progress here, so that it cannot be released."""
        return not self.controller.at_rest(number)

    async def write_claims(self, claims: Sequence[RecordUpdate]) -> None:
        """Writes claims and releases, each in its own transaction: one that is lost costs no other.

        Turns go on in between, and so do acknowledgements. So each is written only if it still applies.
        """
        for claim in claims:
            if not self.lease.is_valid():
                return
            async with self.record_lock:
                if not self.takeover.still_applies(claim, self.is_busy):
                    self.counters["peers.claims_outdated"] += 1
                elif await self.write_records([claim], []) is None:
                    self.counters["peers.claims_lost"] += 1
            await self.publish_acked_revision()

    async def write_records(
        self, updates: Sequence[RecordUpdate], operations: Sequence[Put | Delete]
    ) -> int | None:
        """Writes records and further operations; returns the revision, or None if it was not carried out.

        To be called under `record_lock`, under which the updates were decided or looked at again.
        """
        revision = await self.writer.write(updates, operations)
        if revision is not None:
            self.revision = max(self.revision, revision)
            self.stop_slices(self.takeover.take_lost())
        return revision

    async def publish_acked_revision(self) -> None:
        """Reports to the other controllers the revision that all of our clients have acknowledged."""
        acked_turn = self.xds_server.acked_turn(self.clock.now())
        ready = [revision for turn, revision in self.unacked_turns if turn <= acked_turn]
        if ready and ready[-1] > self.acked_revision and self.lease.is_valid():
            key = records.answer_key(self.name)
            try:
                await self.service.compare_and_swap(
                    [self.lease.key_condition()],
                    [Put(key, str(ready[-1]).encode(), self.lease.session.lease_id)],
                )
                self.acked_revision = ready[-1]
            except (OutcomeUnknown, CallRejected):
                self.counters["peers.calls_failed"] += 1

    # Turns

    async def run_turns(self) -> None:
        """Takes turns: decides, writes the result to the service, then publishes it.

        Only one turn is written at a time.
        """
        await self.synced.wait()
        while True:
            await self.wait_until_due()
            async with self.record_lock:
                await self.take_turn()

    async def take_turn(self) -> None:
        """Takes one turn, under `record_lock`."""
        events, orders = self.decide()
        self.execute_orders([order for order in orders if not isinstance(order, interface.Barrier)])
        changes, barrier = self.own_snapshot.apply_turn(events, orders, self.xds_server.addresses)
        self.unreported_withdrawals.update(
            {change.node: change.withdrawn for change in changes if isinstance(change, tables.SetWithdrawn)}
        )
        if barrier is None:
            return
        updates, operations = self.record_updates(changes), self.withdrawal_operations()
        revision = self.revision
        if updates or operations:
            written_revision = await self.write_records(updates, operations)
            if written_revision is None:
                await self.restart_lost_turn(updates)
                return
            revision = written_revision
        self.publish_written(updates, barrier, revision)

    def withdrawal_operations(self) -> list[Put | Delete]:
        """The operations that report the withdrawals that the service does not know about yet."""
        return [
            Put(self.withdrawal_key(node), b"1", self.lease.session.lease_id)
            if out
            else Delete(self.withdrawal_key(node))
            for node, out in self.unreported_withdrawals.items()
        ]

    def publish_written(self, updates: Sequence[RecordUpdate], barrier: int, revision: int) -> None:
        """Publishes a turn that was written at a revision, with its barrier.

        What is published of a slice is its last known record, whoever wrote it.
        """
        table_changes = [change for update in updates for change in self.published_changes(update.slice)]
        if not self.lease.is_valid():
            # Protects rule 2 against a pause of this process: a controller whose slices may already have
            # been claimed publishes no barrier. Publishing the tables is safe, as no client may write
            # while the session is not valid.
            self.publish_changes(table_changes, None)
            return
        for node, out in self.unreported_withdrawals.items():
            table_changes += self.set_withdrawn(f"{self.name}/{node}", out)
        self.unreported_withdrawals.clear()
        self.publish_changes(table_changes, barrier)
        self.counters["host.commits"] += bool(updates)
        self.barriers.append((barrier, revision, self.clock.now()))
        self.deliver(interface.BarrierAck(STORE_PROXY, barrier, 0))
        self.acknowledge_barriers()

    def withdrawal_key(self, node: str) -> str:
        return records.withdrawal_key(f"{self.name}/{node}")

    async def restart_lost_turn(self, updates: Sequence[RecordUpdate]) -> None:
        """Restarts slices from the current records after a turn that was decided but not written.

        Protects rule 2: a later barrier is acknowledged for all turns before it. Without the restart the step
        with an empty table would count as done although it was never published, and a new owner would follow
        the old one without it.
        """
        self.counters["peers.turns_lost"] += 1
        self.log.rate_limited(
            "turn not written to the coordination service, its slices start again", slices=len(updates)
        )
        try:
            revision, keys = await self.service.read_prefix(records.ROOT)
            self.apply_changes(
                [KeyChange(key, kv.mod_revision, kv) for key, kv in keys.items()], revision, is_snapshot=True
            )
        except (OutcomeUnknown, CallRejected):
            self.end_session("the records could not be read after a turn that was not written")
            return
        for number in [update.slice for update in updates if update.slice in self.takeover.acting]:
            self.stop_slices([number])
            self.start_slice(number)

    def start_slice(self, number: int) -> None:
        """Hands a slice that we hold to the controller, with its owner."""
        record = self.takeover.records[number]
        for event in grant_events(number, record.owner, record.shut):
            self.deliver(event)

    def record_updates(self, changes: Sequence[tables.TableChange]) -> list[RecordUpdate]:
        """The records that a turn changes, of slices that we hold."""
        changed = {
            change.slice
            for change in changes
            if isinstance(change, tables.SetOwner | tables.SetShare) and change.slice in self.takeover.acting
        }
        updates: list[RecordUpdate] = []
        for number in sorted(changed):
            share = self.own_snapshot.tables.shares.get(number, tables.DEFAULT_SHARE)
            old = self.writer.last_record(number)
            owner = self.own_snapshot.tables.owners.get(number)
            new = old._replace(owner=owner, share=share.share, shut=share.shut)
            if new != old:
                updates.append(RecordUpdate(number, old.revision, new))
        return updates

    async def leave(self) -> None:
        """Prepares a planned stop, then stops.

        Each slice is released once no handover is under way, so that other controllers need not wait.
        """
        self.is_leaving = True
        for _ in range(int(10 / EVALUATION_INTERVAL_S)):
            if not self.takeover.acting:
                break
            await asyncio.sleep(EVALUATION_INTERVAL_S)
        self.stop()
