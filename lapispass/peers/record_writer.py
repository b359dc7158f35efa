"""Writes the records of slices to the coordination service.

Each write is a compare-and-swap that also requires the member key of this incarnation.
"""

from __future__ import annotations

from lapispass.core.takeover import NEVER_WRITTEN, Record, Takeover
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

    async def write(self, slices: dict[int, Record], operations: list[Put | Delete]) -> int | None:
        """Writes the records of some slices, together with further operations, in one transaction.

        Returns its revision, or None if it was not carried out. If no answer comes, the transaction may have
        been carried out, so the current records are read before anything else is done.
        """
        conditions = [self.lease.key_condition()]
        for number, record in slices.items():
            key = records.slice_key(number)
            conditions.append(Condition(key, self.last_record(number).revision))
            operations = [*operations, Put(key, records.encode_slice(record))]
        while self.lease.is_valid():
            try:
                result = await self.service.compare_and_swap(conditions, operations)
            except CallRejected:
                return None
            except OutcomeUnknown:
                self.counters["peers.answers_lost"] += 1
                if (revision := await self.find_applied_revision(slices)) is not None:
                    return self.store_written(slices, revision)
                continue
            if not result.succeeded:
                return None
            return self.store_written(slices, result.revision)
        return None

    def last_record(self, number: int) -> Record:
        """A slice's record as it was last read or written."""
        return self.takeover.records.get(number, NEVER_WRITTEN)

    async def find_applied_revision(self, slices: dict[int, Record]) -> int | None:
        """The revision of a transaction without an answer; None if it was not carried out or not found.

        It was carried out if the record of its first slice is newer than the last known one and equals the
        record that was to be written.
        """
        try:
            _, keys = await self.service.read_prefix(records.SLICE_PREFIX)
        except (OutcomeUnknown, CallRejected):
            return None
        for number, record in slices.items():
            key = keys.get(records.slice_key(number))
            if key is None or key.mod_revision <= self.last_record(number).revision:
                return None
            stored = records.decode_slice(key)
            is_equal = (stored.epoch, stored.holder, stored.owner) == (
                record.epoch,
                record.holder,
                record.owner,
            )
            return key.mod_revision if is_equal else None
        return None

    def store_written(self, slices: dict[int, Record], revision: int) -> int:
        """Stores the records that were written, with their new revision; returns it."""
        for number, record in slices.items():
            self.takeover.received(number, record._replace(revision=revision))
        return revision
