"""A controller that shares the nodes with others: the truth is in the coordination service, each slice
under an epoch.

Every controller serves the tables of all slices to its own clients, and acts on those it holds. Another
controller is a proxy to its module: a barrier is answered for it when all of its clients have proven the
revision that the barrier stands for, or a lease after the service called it dead. What is published was
carried out in the service first, by compare-and-swap on the slice's last revision and on the key of this
controller's own life.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Coroutine, Iterable, Sequence
from typing import Any

from lapispass import interface
from lapispass.core import tables
from lapispass.core.membership import Members
from lapispass.core.table_snapshot import TableSnapshot
from lapispass.core.takeover import Record, RecordUpdate, Takeover
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
)
from lapispass.peers.own_lease import OwnLease
from lapispass.peers.record_writer import RecordWriter
from lapispass.xds.host import STORE_PROXY, Host

EVALUATION_INTERVAL_S = 0.03


class SharedHost(Host):
    """One of several controllers."""

    def open_store(self, source: Source) -> None:
        """Nothing is ours until the service says so."""
        shared = source.told.alone.shared
        weight = shared.weight if shared.HasField("weight") else 1.0
        ttl_s = max(1, shared.session_s) if shared.HasField("session_s") else 3
        self.name, self.service = shared.name, CoordinationClient(shared.coordination)
        self.lease = OwnLease(
            self.service, self.name, weight, ttl_s, self.clock, self.counters, self.log, self.end_session
        )
        self.unconfirmed_slices: set[int] = set()  # slices of the turn that is being carried out
        self.watched_revision = 0  # the revision up to which all changes have come
        self.xds_server.may_grant_writes = self.may_grant_writes
        self.members = Members()
        self.proxy_numbers: dict[str, int] = {}  # holder: its number as a proxy of our module
        self.gone_at: dict[str, int] = {}
        self.takeover = Takeover(self.deployment.slices, self.lease.holder, linger_us=ttl_s * 100_000)
        self.writer = RecordWriter(self.service, self.lease, self.takeover, self.counters)
        self.snapshot = tables.Tables(self.deployment.slices)  # what all controllers together have published
        self.own_snapshot = TableSnapshot(
            self.deployment.slices, self.deployment.classes, self.deployment.admission_mode == "share"
        )
        self.revision, self.read_at = 0, 0
        self.unacked_turns: deque[tuple[int, int]] = deque(
            maxlen=4096
        )  # our turn, the revision of others it shows
        self.acked_revision = -1
        self.barriers: deque[tuple[int, int, int]] = deque(maxlen=4096)  # barrier, revision, when
        self.peer_acked_revisions: dict[str, int] = {}
        self.peer_acked_at: dict[str, int] = {}
        self.withdrawals: set[str] = set()
        # Nodes to be shut out, or let in, that the service has not been told.
        self.unreported_withdrawals: dict[str, bool] = {}
        self.is_leaving = False
        self.synced = asyncio.Event()

    def background_tasks(self) -> list[Coroutine[Any, Any, None]]:
        return [self.run_turns(), self.lease.keep_alive(), self.follow_changes(), self.run_evaluations()]

    def close_store(self) -> None:
        self.service.close()

    # the session

    def end_session(self, why: str) -> None:
        """All that was ours is not any more; a new life has a name of its own."""
        self.log.warn("session ended", why=why, slices=len(self.takeover.acting))
        self.counters["peers.sessions_lost"] += 1
        self.lease.begin_incarnation()
        self.takeover.name = self.lease.holder
        # What we reported of nodes has ended with it.
        self.unreported_withdrawals.update(dict.fromkeys(self.own_snapshot.tables.withdrawn, True))
        self.stop_all_slices()

    def stop_all_slices(self) -> None:
        for number in sorted(self.takeover.acting):
            self.tell(interface.SliceGrant(number, False))
        self.takeover.acting.clear()

    def may_grant_writes(self, now: int) -> bool:
        """Whether clients of ours may write: in a session, and with all that was published before it began.

        From its key's revision on, others wait for our answers. Before it they counted us as gone, so what
        they have published until then has to be here first.
        """
        return self.lease.session.is_valid(now) and self.watched_revision >= self.lease.key_revision

    # what the service says

    async def follow_changes(self) -> None:
        """All that stands, then what changes; read anew where the changes are compacted away."""
        while True:
            try:
                revision, keys = await self.service.read_prefix(records.ROOT)
                self.apply_changes(
                    [KeyChange(key, kv.mod_revision, kv) for key, kv in keys.items()],
                    revision,
                    is_snapshot=True,
                )
                self.synced.set()
                async for changes in self.service.watch(records.ROOT, revision + 1, 0):
                    if changes:
                        self.apply_changes(changes, max(change.revision for change in changes))
            except RevisionCompacted as error:
                self.counters["peers.compacted"] += 1
                self.log.rate_limited("watch compacted", at=error)
            except (OutcomeUnknown, CallRejected) as error:
                self.counters["peers.watches_lost"] += 1
                self.log.rate_limited("watch lost", why=error)
            await asyncio.sleep(0.05 + 0.1 * self.xds_server.connect_limiter.returns.draw())

    def apply_changes(self, changes: Sequence[KeyChange], revision: int, is_snapshot: bool = False) -> None:
        """Records, lives, answers and nodes shut out; what others published goes to our clients."""
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
        self.publish_changes(table_changes, None)
        self.watched_revision = max(self.watched_revision, revision)
        if affects_tables:
            # Only what the watch has brought may be answered for, and it brings everyone's changes in
            # order: our own writes have revisions beyond those of others that we have not seen yet.
            self.revision = max(self.revision, revision)
            self.unacked_turns.append((self.xds_server.turn, revision))
        self.acknowledge_barriers()

    def members_in(self, changes: Sequence[KeyChange]) -> dict[str, tuple[float, str]]:
        found = {}
        for change in changes:
            kind, name = records.parse_key(change.key)
            if kind == "members" and change.current is not None:
                found[name] = records.decode_member(change.current)
        return found

    def update_members(self, alive: dict[str, tuple[float, str]]) -> None:
        """Another life is another proxy: one that has gone counts for a lease, whoever comes under its
        name."""
        now = self.clock.now()
        before = {name: f"{name}/{member.boot}" for name, member in self.members.known.items()}
        joined, left = self.members.update(alive, now)
        for member in left:
            holder = before[member.name]
            self.gone_at[holder] = now
            if (number := self.proxy_numbers.pop(holder, None)) is not None:
                self.tell(interface.ProxyLeft(number))
                self.xds_server.proxy_numbers.release(now, number)
            self.counters["peers.left"] += 1
            self.log.say("controller gone", holder=holder)
        for member in joined:
            holder = f"{member.name}/{member.boot}"
            if member.name == self.name:
                continue
            number = self.proxy_numbers[holder] = self.xds_server.proxy_numbers.allocate(now)
            self.peer_acked_at[member.name] = -1
            self.peer_acked_revisions.pop(member.name, None)
            self.tell(interface.ProxyJoined(number, True, "", None))
            self.counters["peers.joined"] += 1
            self.log.say("controller there", holder=holder)
        horizon = now - 100 * self.deployment.lease_us
        self.members.forget(horizon)
        self.gone_at = {holder: at for holder, at in self.gone_at.items() if at > horizon}

    def apply_record(self, number: int, kv: KeyValue) -> list[tables.TableChange]:
        """A slice's record; what changes for our clients by it."""
        new = records.decode_slice(kv)
        if kv.mod_revision < self.writer.last_record(number).revision:
            return []
        self.takeover.received(number, new)
        if number in self.unconfirmed_slices:
            return []  # our own word, table_changes when it is known to be carried out
        return [
            change
            for change in (tables.SetOwner(number, new.owner), tables.SetShare(number, new.share, new.shut))
        ]

    def set_withdrawn(self, withdrawal: str, out: bool) -> list[tables.TableChange]:
        """`controller/node`: a node is out while any controller says so. What one withdrawal ends with its
        session."""
        (self.withdrawals.add if out else self.withdrawals.discard)(withdrawal)
        node = withdrawal.partition("/")[2]
        return [tables.SetWithdrawn(node, any(other.partition("/")[2] == node for other in self.withdrawals))]

    def publish_changes(self, changes: Sequence[tables.TableChange], barrier: int | None) -> None:
        """Published to our clients."""
        self.snapshot.nodes = dict(self.xds_server.addresses)
        published = [
            change
            for change in changes
            if self.snapshot.apply(change) or isinstance(change, tables.SetWithdrawn)
        ]
        self.xds_server.publish(self.snapshot, published, barrier)

    # what others wait for, and we for them

    def acknowledge_barriers(self) -> None:
        """Marks of ours whose revision another controller's clients have all proven."""
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
                self.tell(interface.BarrierAck(number, ready[-1][0], self.clock.now() - ready[-1][1]))

    async def run_evaluations(self) -> None:
        """Claims, releases, and what others may count on."""
        await self.synced.wait()
        while True:
            await asyncio.sleep(EVALUATION_INTERVAL_S)
            now = self.clock.now()
            alive = {
                f"{name}/{m.boot}" for name, m in self.members.known.items() if name in self.members.alive()
            }
            for holder in self.takeover.unseen_dead_holders(alive | {self.lease.holder}, self.gone_at):
                self.gone_at[holder] = now
            busy_slices = {number for number in self.takeover.acting if not self.controller.at_rest(number)}
            actions = self.takeover.evaluate(
                now,
                self.members.alive(),
                self.gone_at,
                self.lease.session.is_valid(now),
                busy_slices.__contains__,
                self.is_leaving,
            )
            for number in actions.stop:
                self.tell(interface.SliceGrant(number, False))
            for number in actions.start:
                self.counters["peers.slices_taken"] += 1
                self.start_slice(number)
            if actions.claims or actions.releases:
                await self.write_claims([*actions.claims, *actions.releases])
            await self.publish_acked_revision()

    async def write_claims(self, claims: list[RecordUpdate]) -> None:
        """Each by itself: one that another was faster at costs only itself."""
        for claim in claims:
            if not self.lease.is_valid():
                return
            if await self.write_records({claim.slice: claim.record}, []) is None:
                self.counters["peers.claims_lost"] += 1

    async def write_records(
        self, slice_records: dict[int, Record], operations: list[Put | Delete]
    ) -> int | None:
        """The revision at which it was carried out, or none."""
        revision = await self.writer.write(slice_records, operations)
        if revision is not None:
            self.revision = max(self.revision, revision)
        return revision

    async def publish_acked_revision(self) -> None:
        """Tells others up to which revision all of our clients have proven what stands."""
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

    # turns

    async def run_turns(self) -> None:
        """Decide, have it carried out in the service, then publish. One turn's orders are under way at a
        time."""
        await self.synced.wait()
        while True:
            await self.wait_until_due()
            events, orders = self.decide()
            self.execute_orders([order for order in orders if not isinstance(order, interface.Barrier)])
            changes, barrier = self.own_snapshot.apply_turn(events, orders, self.xds_server.addresses)
            self.unreported_withdrawals.update(
                {
                    change.node: change.withdrawn
                    for change in changes
                    if isinstance(change, tables.SetWithdrawn)
                }
            )
            if barrier is None:
                continue
            slice_records = self.changed_records(changes)
            operations = [
                Put(self.withdrawal_key(node), b"1", self.lease.session.lease_id)
                if out
                else Delete(self.withdrawal_key(node))
                for node, out in self.unreported_withdrawals.items()
            ]
            revision = self.revision
            if slice_records or operations:
                self.unconfirmed_slices = set(slice_records)
                written_revision = await self.write_records(slice_records, operations)
                self.unconfirmed_slices = set()
                if written_revision is None:
                    self.counters["peers.turns_lost"] += 1
                    self.log.rate_limited("turn not carried out", slices=len(slice_records))
                    await self.restart_slices(slice_records)
                    continue
                revision = written_revision
            # What was written is published, even if the slice has another holder by now, as long as it is
            # still the last change of the slice's record.
            table_changes: list[tables.TableChange] = []
            for number, record in slice_records.items():
                if self.takeover.records[number].revision == revision:
                    table_changes.append(tables.SetOwner(number, record.owner))
                    table_changes.append(tables.SetShare(number, record.share, record.shut))
            if not self.lease.is_valid():
                # Guards rule 2 against a pause: no barrier is told by who may have been followed already.
                # Nobody can write by what is table_changes while the fence is down.
                self.publish_changes(table_changes, None)
                continue
            for node, out in self.unreported_withdrawals.items():
                table_changes += self.set_withdrawn(f"{self.name}/{node}", out)
            self.unreported_withdrawals.clear()
            self.publish_changes(table_changes, barrier)
            self.counters["host.commits"] += bool(slice_records)
            self.barriers.append((barrier, revision, self.clock.now()))
            self.tell(interface.BarrierAck(STORE_PROXY, barrier, 0))
            self.acknowledge_barriers()

    def withdrawal_key(self, node: str) -> str:
        return records.withdrawal_key(f"{self.name}/{node}")

    async def restart_slices(self, numbers: Iterable[int]) -> None:
        """A turn was not carried out, but the module has decided it: its slices begin anew from what stands.

        Guards rule 2: a later barrier is answered for all turns before it, so an empty step that never was
        would count as done, and a new owner follow the old one without it.
        """
        try:
            revision, keys = await self.service.read_prefix(records.ROOT)
            self.apply_changes(
                [KeyChange(key, kv.mod_revision, kv) for key, kv in keys.items()], revision, is_snapshot=True
            )
        except (OutcomeUnknown, CallRejected):
            self.end_session("what stands could not be read after a turn that was not carried out")
            return
        for number in numbers:
            if number in self.takeover.acting:
                self.tell(interface.SliceGrant(number, False))
                self.start_slice(number)

    def start_slice(self, number: int) -> None:
        """Hands a slice of ours to the module, with its owner."""
        self.tell(interface.SliceGrant(number, True))
        record = self.takeover.records[number]
        # Where writes are shut an earlier owner may still hold some: the module begins with an empty table
        # and its own gate, while readers go on with what stands.
        if record.owner and not record.shut:
            self.tell(interface.StoredOwner(number, record.owner))

    def changed_records(self, changes: Sequence[tables.TableChange]) -> dict[int, Record]:
        """A turn's changes of slices that are ours."""
        slice_records: dict[int, Record] = {}
        for change in changes:
            match change:
                case tables.SetOwner(number, _) | tables.SetShare(number, _, _) if (
                    number in self.takeover.acting
                ):
                    share = self.own_snapshot.tables.shares.get(number, tables.DEFAULT_SHARE)
                    old = self.writer.last_record(number)
                    new = old._replace(
                        owner=self.own_snapshot.tables.owners.get(number), share=share.share, shut=share.shut
                    )
                    if new != old:
                        slice_records[number] = new
                case _:
                    pass
        return slice_records

    async def leave(self) -> None:
        """A planned end: slices are let go one by one as they come to rest, so that others need not wait."""
        self.is_leaving = True
        for _ in range(int(10 / EVALUATION_INTERVAL_S)):
            if not self.takeover.acting:
                break
            await asyncio.sleep(EVALUATION_INTERVAL_S)
        self.stop()
