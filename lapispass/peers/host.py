"""A controller that shares the nodes with others: the truth is in the coordination service, each slice
under an epoch.

Every controller serves the tables of all slices to its own clients, and acts on those it holds. Another
controller is a proxy to its module: a mark is answered for it when all of its clients have proven the
revision that the mark stands for, or a lease after the service called it dead. What is published was
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
    Change,
    Compacted,
    Delete,
    Key,
    Put,
    Refused,
    Service,
    Unknown,
)
from lapispass.peers.own_lease import OwnLease
from lapispass.peers.record_writer import RecordWriter
from lapispass.xds.host import STORE_PROXY, Host

LOOK_S = 0.03


class SharedHost(Host):
    """One of several controllers."""

    def open_store(self, source: Source) -> None:
        """Nothing is ours until the service says so."""
        shared = source.told.alone.shared
        weight = shared.weight if shared.HasField("weight") else 1.0
        ttl_s = max(1, shared.session_s) if shared.HasField("session_s") else 3
        self.name, self.service = shared.name, Service(shared.coordination)
        self.lease = OwnLease(
            self.service, self.name, weight, ttl_s, self.clock, self.counters, self.log, self.end_session
        )
        self.under_way: set[int] = set()  # slices of the turn that is being carried out
        self.watched = 0  # the revision up to which all changes have come
        self.xds_server.may_grant_writes = self.may_let_write
        self.members = Members()
        self.numbers: dict[str, int] = {}  # holder: its number as a proxy of our module
        self.gone_at: dict[str, int] = {}
        self.takeover = Takeover(self.deployment.slices, self.lease.holder, linger_us=ttl_s * 100_000)
        self.writer = RecordWriter(self.service, self.lease, self.takeover, self.counters)
        self.snapshot = tables.Tables(self.deployment.slices)  # what all controllers together have published
        self.mine = TableSnapshot(
            self.deployment.slices, self.deployment.classes, self.deployment.admission_mode == "share"
        )
        self.revision, self.read_at = 0, 0
        self.pending: deque[tuple[int, int]] = deque(maxlen=4096)  # our turn, the revision of others it shows
        self.answered = -1
        self.marks: deque[tuple[int, int, int]] = deque(maxlen=4096)  # mark, revision, when
        self.peer_answers: dict[str, int] = {}
        self.peer_marks: dict[str, int] = {}
        self.out: set[str] = set()
        # Nodes to be shut out, or let in, that the service has not been told.
        self.unreported: dict[str, bool] = {}
        self.leaving = False
        self.synced = asyncio.Event()

    def background_tasks(self) -> list[Coroutine[Any, Any, None]]:
        return [self.run_turns(), self.lease.keep(), self.follow_service(), self.looks()]

    def close_store(self) -> None:
        self.service.close()

    # the session

    def end_session(self, why: str) -> None:
        """All that was ours is not any more; a new life has a name of its own."""
        self.log.warn("session ended", why=why, slices=len(self.takeover.acting))
        self.counters["peers.sessions_lost"] += 1
        self.lease.give_up()
        self.takeover.name = self.lease.holder
        # What we reported of nodes has ended with it.
        self.unreported.update(dict.fromkeys(self.mine.tables.withdrawn, True))
        self.stop_all()

    def stop_all(self) -> None:
        for number in sorted(self.takeover.acting):
            self.tell(interface.SliceGrant(number, False))
        self.takeover.acting.clear()

    def may_let_write(self, now: int) -> bool:
        """Whether clients of ours may write: in a session, and with all that was published before it began.

        From its key's revision on, others wait for our answers. Before it they counted us as gone, so what
        they have published until then has to be here first.
        """
        return self.lease.session.is_valid(now) and self.watched >= self.lease.made

    # what the service says

    async def follow_service(self) -> None:
        """All that stands, then what changes; read anew where the changes are compacted away."""
        while True:
            try:
                revision, keys = await self.service.read(records.ROOT)
                self.take([Change(key, kv.changed, kv) for key, kv in keys.items()], revision, whole=True)
                self.synced.set()
                async for changes in self.service.watch(records.ROOT, revision + 1, 0):
                    if changes:
                        self.take(changes, max(change.at for change in changes))
            except Compacted as error:
                self.counters["peers.compacted"] += 1
                self.log.rate_limited("watch compacted", at=error)
            except (Unknown, Refused) as error:
                self.counters["peers.watches_lost"] += 1
                self.log.rate_limited("watch lost", why=error)
            await asyncio.sleep(0.05 + 0.1 * self.xds_server.connect_limiter.returns.draw())

    def take(self, changes: Sequence[Change], revision: int, whole: bool = False) -> None:
        """Records, lives, answers and nodes shut out; what others published goes to our clients."""
        shown: list[tables.TableChange] = []
        concerns = whole
        if whole:
            there = {change.key for change in changes}
            self.members_are({name: kv for name, kv in self.lives_of(changes).items()})
            for said in [said for said in self.out if records.out_key(said) not in there]:
                shown += self.shut(said, False)
        for change in changes:
            kind, name = records.parsed(change.key)
            concerns = concerns or kind in ("slices", "out")
            match kind:
                case "slices" if change.now is not None:
                    shown += self.record(int(name), change.now)
                case "members" if not whole:
                    alive = {
                        n: (m.weight, m.boot)
                        for n, m in self.members.known.items()
                        if n in self.members.alive()
                    }
                    if change.now is None:
                        alive.pop(name, None)
                    else:
                        alive[name] = records.decode_life(change.now)
                    self.members_are(alive)
                case "answers" if change.now is not None:
                    self.peer_answers[name] = int(change.now.value)
                case "out":
                    shown += self.shut(name, change.now is not None)
                case _:
                    pass
        self.show(shown, None)
        self.watched = max(self.watched, revision)
        if concerns:
            # Only what the watch has brought may be answered for, and it brings everyone's changes in
            # order: our own writes have revisions beyond those of others that we have not seen yet.
            self.revision = max(self.revision, revision)
            self.pending.append((self.xds_server.turn, revision))
        self.answer_marks()

    def lives_of(self, changes: Sequence[Change]) -> dict[str, tuple[float, str]]:
        found = {}
        for change in changes:
            kind, name = records.parsed(change.key)
            if kind == "members" and change.now is not None:
                found[name] = records.decode_life(change.now)
        return found

    def members_are(self, alive: dict[str, tuple[float, str]]) -> None:
        """Another life is another proxy: one that has gone counts for a lease, whoever comes under its
        name."""
        now = self.clock.now()
        before = {name: f"{name}/{member.boot}" for name, member in self.members.known.items()}
        come, gone = self.members.update(alive, now)
        for member in gone:
            holder = before[member.name]
            self.gone_at[holder] = now
            if (number := self.numbers.pop(holder, None)) is not None:
                self.tell(interface.ProxyLeft(number))
                self.xds_server.proxy_numbers.release(now, number)
            self.counters["peers.left"] += 1
            self.log.say("controller gone", holder=holder)
        for member in come:
            holder = f"{member.name}/{member.boot}"
            if member.name == self.name:
                continue
            number = self.numbers[holder] = self.xds_server.proxy_numbers.allocate(now)
            self.peer_marks[member.name] = -1
            self.peer_answers.pop(member.name, None)
            self.tell(interface.ProxyJoined(number, True, "", None))
            self.counters["peers.joined"] += 1
            self.log.say("controller there", holder=holder)
        horizon = now - 100 * self.deployment.lease_us
        self.members.forget(horizon)
        self.gone_at = {holder: at for holder, at in self.gone_at.items() if at > horizon}

    def record(self, number: int, kv: Key) -> list[tables.TableChange]:
        """A slice's record; what changes for our clients by it."""
        new = records.decode_slice(kv)
        if kv.changed < self.writer.known(number).revision:
            return []
        self.takeover.received(number, new)
        if number in self.under_way:
            return []  # our own word, shown when it is known to be carried out
        return [
            change
            for change in (tables.SetOwner(number, new.owner), tables.SetShare(number, new.share, new.shut))
        ]

    def shut(self, said: str, out: bool) -> list[tables.TableChange]:
        """`controller/node`: a node is out while any controller says so. What one said ends with its
        session."""
        (self.out.add if out else self.out.discard)(said)
        node = said.partition("/")[2]
        return [tables.SetWithdrawn(node, any(other.partition("/")[2] == node for other in self.out))]

    def show(self, changes: Sequence[tables.TableChange], mark: int | None) -> None:
        """Published to our clients."""
        self.snapshot.nodes = dict(self.xds_server.addresses)
        published = [
            change
            for change in changes
            if self.snapshot.apply(change) or isinstance(change, tables.SetWithdrawn)
        ]
        self.xds_server.publish(self.snapshot, published, mark)

    # what others wait for, and we for them

    def answer_marks(self) -> None:
        """Marks of ours whose revision another controller's clients have all proven."""
        for holder, number in self.numbers.items():
            name = holder.partition("/")[0]
            upto = self.peer_answers.get(name, -1)
            ready = [
                (mark, when)
                for mark, revision, when in self.marks
                if revision <= upto and when > self.peer_marks.get(name, -1)
            ]
            if ready:
                self.peer_marks[name] = ready[-1][1]
                self.tell(interface.BarrierAck(number, ready[-1][0], self.clock.now() - ready[-1][1]))

    async def looks(self) -> None:
        """Claims, releases, and what others may count on."""
        await self.synced.wait()
        while True:
            await asyncio.sleep(LOOK_S)
            now = self.clock.now()
            alive = {
                f"{name}/{m.boot}" for name, m in self.members.known.items() if name in self.members.alive()
            }
            for holder in self.takeover.unseen_dead_holders(alive | {self.lease.holder}, self.gone_at):
                self.gone_at[holder] = now
            busy = {number for number in self.takeover.acting if not self.controller.at_rest(number)}
            work = self.takeover.evaluate(
                now,
                self.members.alive(),
                self.gone_at,
                self.lease.session.is_valid(now),
                busy.__contains__,
                self.leaving,
            )
            for number in work.stop:
                self.tell(interface.SliceGrant(number, False))
            for number in work.start:
                self.counters["peers.slices_taken"] += 1
                self.begin(number)
            if work.claims or work.releases:
                await self.claim([*work.claims, *work.releases])
            await self.answer()

    async def claim(self, claims: list[RecordUpdate]) -> None:
        """Each by itself: one that another was faster at costs only itself."""
        for claim in claims:
            if not self.lease.holds():
                return
            if await self.write({claim.slice: claim.record}, []) is None:
                self.counters["peers.claims_lost"] += 1

    async def write(self, slices: dict[int, Record], steps: list[Put | Delete]) -> int | None:
        """The revision at which it was carried out, or none."""
        revision = await self.writer.write(slices, steps)
        if revision is not None:
            self.revision = max(self.revision, revision)
        return revision

    async def answer(self) -> None:
        """Tells others up to which revision all of our clients have proven what stands."""
        proven = self.xds_server.acked_turn(self.clock.now())
        ready = [revision for turn, revision in self.pending if turn <= proven]
        if ready and ready[-1] > self.answered and self.lease.holds():
            key = records.answer_key(self.name)
            try:
                await self.service.swap(
                    [self.lease.guard()],
                    [Put(key, str(ready[-1]).encode(), self.lease.session.lease_id)],
                )
                self.answered = ready[-1]
            except (Unknown, Refused):
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
            changes, mark = self.mine.apply_turn(events, orders, self.xds_server.addresses)
            self.unreported.update(
                {
                    change.node: change.withdrawn
                    for change in changes
                    if isinstance(change, tables.SetWithdrawn)
                }
            )
            if mark is None:
                continue
            slices = self.as_records(changes)
            steps = [
                Put(self.out_key(node), b"1", self.lease.session.lease_id)
                if out
                else Delete(self.out_key(node))
                for node, out in self.unreported.items()
            ]
            revision = self.revision
            if slices or steps:
                self.under_way = set(slices)
                written = await self.write(slices, steps)
                self.under_way = set()
                if written is None:
                    self.counters["peers.turns_lost"] += 1
                    self.log.rate_limited("turn not carried out", slices=len(slices))
                    await self.take_back(slices)
                    continue
                revision = written
            # What was carried out is shown, whoever holds the slice by now, if it is still its last word.
            shown: list[tables.TableChange] = []
            for number, record in slices.items():
                if self.takeover.records[number].revision == revision:
                    shown.append(tables.SetOwner(number, record.owner))
                    shown.append(tables.SetShare(number, record.share, record.shut))
            if not self.lease.holds():
                # Guards rule 2 against a pause: no mark is told by who may have been followed already.
                # Nobody can write by what is shown while the fence is down.
                self.show(shown, None)
                continue
            for node, out in self.unreported.items():
                shown += self.shut(f"{self.name}/{node}", out)
            self.unreported.clear()
            self.show(shown, mark)
            self.counters["host.commits"] += bool(slices)
            self.marks.append((mark, revision, self.clock.now()))
            self.tell(interface.BarrierAck(STORE_PROXY, mark, 0))
            self.answer_marks()

    def out_key(self, node: str) -> str:
        return records.out_key(f"{self.name}/{node}")

    async def take_back(self, numbers: Iterable[int]) -> None:
        """A turn was not carried out, but the module has decided it: its slices begin anew from what stands.

        Guards rule 2: a later mark is answered for all turns before it, so an empty step that never was
        would count as done, and a new owner follow the old one without it.
        """
        try:
            revision, keys = await self.service.read(records.ROOT)
            self.take([Change(key, kv.changed, kv) for key, kv in keys.items()], revision, whole=True)
        except (Unknown, Refused):
            self.end_session("what stands could not be read after a turn that was not carried out")
            return
        for number in numbers:
            if number in self.takeover.acting:
                self.tell(interface.SliceGrant(number, False))
                self.begin(number)

    def begin(self, number: int) -> None:
        """Hands a slice of ours to the module, with its owner."""
        self.tell(interface.SliceGrant(number, True))
        record = self.takeover.records[number]
        # Where writes are shut an earlier owner may still hold some: the module begins with an empty table
        # and its own gate, while readers go on with what stands.
        if record.owner and not record.shut:
            self.tell(interface.StoredOwner(number, record.owner))

    def as_records(self, changes: Sequence[tables.TableChange]) -> dict[int, Record]:
        """A turn's changes of slices that are ours."""
        slices: dict[int, Record] = {}
        for change in changes:
            match change:
                case tables.SetOwner(number, _) | tables.SetShare(number, _, _) if (
                    number in self.takeover.acting
                ):
                    share = self.mine.tables.shares.get(number, tables.DEFAULT_SHARE)
                    old = self.writer.known(number)
                    new = old._replace(
                        owner=self.mine.tables.owners.get(number), share=share.share, shut=share.shut
                    )
                    if new != old:
                        slices[number] = new
                case _:
                    pass
        return slices

    async def leave(self) -> None:
        """A planned end: slices are let go one by one as they come to rest, so that others need not wait."""
        self.leaving = True
        for _ in range(int(10 / LOOK_S)):
            if not self.takeover.acting:
                break
            await asyncio.sleep(LOOK_S)
        self.stop()
