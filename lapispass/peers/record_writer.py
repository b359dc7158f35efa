"""Writes slices' records to the coordination service, by compare-and-swap under the key of one's life."""

from __future__ import annotations

from lapispass.core.takeover import NEVER_WRITTEN, Record, Takeover
from lapispass.net.counters import Counters
from lapispass.peers import records
from lapispass.peers.coordination import Delete, Expect, Put, Refused, Service, Unknown
from lapispass.peers.own_lease import OwnLease


class RecordWriter:
    """Carries out transactions; one without an answer is looked up before it is sent again."""

    def __init__(self, service: Service, lease: OwnLease, takeover: Takeover, counters: Counters) -> None:
        self.service, self.lease, self.takeover, self.counters = service, lease, takeover, counters

    async def write(self, slices: dict[int, Record], steps: list[Put | Delete]) -> int | None:
        """Compare and swap of slices, with further steps; the revision, or none where it was not carried
        out.

        Where no answer comes, what stands is read before anything else is done: it may have been carried out.
        """
        expect = [self.lease.guard()]
        for number, record in slices.items():
            key = records.slice_key(number)
            expect.append(Expect(key, self.known(number).revision))
            steps = [*steps, Put(key, records.encode_slice(record))]
        while self.lease.holds():
            try:
                result = await self.service.swap(expect, steps)
            except Refused:
                return None
            except Unknown:
                self.counters["peers.answers_lost"] += 1
                if (revision := await self.carried_out(slices)) is not None:
                    return self.wrote(slices, revision)
                continue
            if not result.succeeded:
                return None
            return self.wrote(slices, result.revision)
        return None

    def known(self, number: int) -> Record:
        """A slice's record as it was read or written last."""
        return self.takeover.records.get(number, NEVER_WRITTEN)

    async def carried_out(self, slices: dict[int, Record]) -> int | None:
        """Whether a transaction without an answer was: its first slice stands as it was to be."""
        try:
            _, keys = await self.service.read(records.SLICES)
        except (Unknown, Refused):
            return None
        for number, record in slices.items():
            key = keys.get(records.slice_key(number))
            if key is None or key.changed <= self.known(number).revision:
                return None
            stored = records.decode_slice(key)
            same = (stored.epoch, stored.holder, stored.owner) == (record.epoch, record.holder, record.owner)
            return key.changed if same else None
        return None

    def wrote(self, slices: dict[int, Record], revision: int) -> int:
        """Notes what was carried out."""
        for number, record in slices.items():
            self.takeover.received(number, record._replace(revision=revision))
        return revision
