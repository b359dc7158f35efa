"""Writes the records of slices to the coordination service.

Each write is a compare-and-swap on the revisions that its decision was based on. It also requires the member
key of this incarnation.
"""

from __future__ import annotations

from collections.abc import Sequence

from lapispass.core.takeover import NEVER_WRITTEN, Record, RecordUpdate, Takeover
from lapispass.net.counters import Counters
from lapispass.peers import records
from lapispass.peers.coordination import (
    CallRejected,
    Condition,
    CoordinationClient,
    Delete,
    OutcomeUnknown,
    Put,
)
from lapispass.peers.own_lease import OwnLease


class RecordWriter:
    """Carries out transactions. If one gets no answer, its outcome is looked up before it is sent again."""

    def __init__(
        self, service: CoordinationClient, lease: OwnLease, takeover: Takeover, counters: Counters
    ) -> None:
        self.service, self.lease, self.takeover, self.counters = service, lease, takeover, counters

    async def write(self, updates: Sequence[RecordUpdate], operations: Sequence[Put | Delete]) -> int | None:
        """Writes the records of some slices, together with further operations, in one transaction.

        It is carried out only if each record still has the revision that its update was decided on. Returns
        the revision of the transaction, or None if it was not carried out. If no answer comes, the
        transaction may have been carried out, so the current records are read before anything else is done.
        """
        conditions = [self.lease.key_condition()]
        operations = list(operations)
        for update in updates:
            key = records.slice_key(update.slice)
            conditions.append(Condition(key, update.revision))
            operations.append(Put(key, records.encode_slice(update.record)))
        while self.lease.is_valid():
            try:
                result = await self.service.compare_and_swap(conditions, operations)
            except CallRejected:
                return None
            except OutcomeUnknown:
                self.counters["peers.answers_lost"] += 1
                if (revision := await self.find_applied_revision(updates)) is not None:
                    return self.store_written(updates, revision)
                continue
            if not result.succeeded:
                return None
            return self.store_written(updates, result.revision)
        return None

    def last_record(self, number: int) -> Record:
        """A slice's record as it was last read or written."""
        return self.takeover.records.get(number, NEVER_WRITTEN)

    async def find_applied_revision(self, updates: Sequence[RecordUpdate]) -> int | None:
        """The revision of a transaction without an answer; None if it was not carried out or not found.

        It was carried out if the record of its first slice is newer than the one that was decided on and
        equals the record that was to be written.
        """
        if not updates:
            return None
        try:
            _, keys = await self.service.read_prefix(records.SLICE_PREFIX)
        except (OutcomeUnknown, CallRejected):
            return None
        first = updates[0]
        key = keys.get(records.slice_key(first.slice))
        if key is None or key.mod_revision <= first.revision:
            return None
        stored = records.decode_slice(key)
        return key.mod_revision if stored == first.record._replace(revision=stored.revision) else None

    def store_written(self, updates: Sequence[RecordUpdate], revision: int) -> int:
        """Stores the records that were written, with their new revision; returns it."""
        for update in updates:
            self.takeover.received(update.slice, update.record._replace(revision=revision))
        return revision
