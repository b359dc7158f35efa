"""The keys that controllers keep in the coordination service, and the records stored under them."""

from __future__ import annotations

import msgspec

from lapispass.core.takeover import Record
from lapispass.peers.coordination import KeyValue

ROOT = "/lapispass/"
SLICE_PREFIX = ROOT + "slices/"


class StoredSlice(msgspec.Struct, frozen=True):
    """The value under a slice's key. Its fields are described at `core.takeover.Record`."""

    epoch: int
    holder: str
    owner: str | None
    share: float
    shut: bool


class StoredMember(msgspec.Struct, frozen=True):
    """The value under a controller's member key, which the service deletes when the lease ends."""

    boot: str
    weight: float


def slice_key(number: int) -> str:
    return f"{SLICE_PREFIX}{number:06d}"


def member_key(name: str) -> str:
    return f"{ROOT}members/{name}"


def answer_key(name: str) -> str:
    return f"{ROOT}answers/{name}"


def withdrawal_key(controller_and_node: str) -> str:
    """The key of a node that a controller has withdrawn, given as `controller/node`."""
    return f"{ROOT}out/{controller_and_node}"


def parse_key(key: str) -> tuple[str, str]:
    """Splits a key into its kind (`slices`, `members`, `answers`, `out`) and the name after it."""
    kind, _, name = key.removeprefix(ROOT).partition("/")
    return kind, name


def encode_slice(record: Record) -> bytes:
    return msgspec.json.encode(
        StoredSlice(record.epoch, record.holder, record.owner, record.share, record.shut)
    )


def decode_slice(kv: KeyValue) -> Record:
    """A slice's record, with the revision of its last change."""
    stored = msgspec.json.decode(kv.value, type=StoredSlice)
    return Record(stored.epoch, stored.holder, stored.owner, stored.share, stored.shut, kv.mod_revision)


def encode_member(boot: str, weight: float) -> bytes:
    return msgspec.json.encode(StoredMember(boot, weight))


def decode_member(kv: KeyValue) -> tuple[float, str]:
    """A controller's weight and boot."""
    member = msgspec.json.decode(kv.value, type=StoredMember)
    return member.weight, member.boot
