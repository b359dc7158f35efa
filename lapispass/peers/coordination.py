"""A client of a coordination service that speaks etcd's v3 API through its JSON gateway: one call, one
answer, bounded.

An answer that does not come is not a 'no': a transaction may have been carried out. `Unknown` says so;
whoever called reads what stands before doing anything else.
"""

from __future__ import annotations

import asyncio
import base64
from collections.abc import AsyncIterator, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

import h11
import msgspec

from lapispass.net.http import CONNECTION_ERRORS, HttpConnection, within
from lapispass.net.limits import Limits

ANSWER_BYTES = 16 << 20
CALL_US = 1_000_000


class Unknown(Exception):
    """No answer: the call may or may not have been carried out."""


class Refused(Exception):
    """The service has said no, or is not able to."""


class Compacted(Exception):
    """A watch can't go on from its revision: what stands has to be read anew."""


class Key(NamedTuple):
    """A key as the service has it."""

    value: bytes
    created: int
    changed: int


class Change(NamedTuple):
    key: str
    at: int
    now: Key | None  # none: deleted


class Put(NamedTuple):
    key: str
    value: bytes
    lease: int = 0


class Delete(NamedTuple):
    key: str


@dataclass(frozen=True, slots=True)
class Expect:
    """A key must have been changed last, or made, at this revision; 0: must not be there."""

    key: str
    revision: int
    made: bool = False


class Result(NamedTuple):
    succeeded: bool
    revision: int


def b64(data: str | bytes) -> str:
    return base64.b64encode(data.encode() if isinstance(data, str) else data).decode()


def text(data: str) -> str:
    return base64.b64decode(data).decode()


def end_of(prefix: str) -> str:
    """The first key behind all that begin so."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def key_of(kv: Mapping[str, Any]) -> Key:
    return Key(
        base64.b64decode(kv.get("value", "")),
        int(kv.get("create_revision", 0)),
        int(kv.get("mod_revision", 0)),
    )


class Service:
    """One address. Calls go one after the other over a kept connection; a watch has its own."""

    def __init__(self, address: str, limits: Limits | None = None, call_us: int = CALL_US) -> None:
        self.address, self.call_us = address, call_us
        self.limits = limits or Limits()
        self.link: HttpConnection | None = None
        self.turn = asyncio.Lock()

    async def call(self, target: str, told: Mapping[str, Any]) -> dict[str, Any]:
        """One call; `Refused` for an error that is an answer, `Unknown` for anything else."""
        async with self.turn:
            try:
                exchange = self.exchange(target, msgspec.json.encode(told))
                status, body = await within(self.call_us, exchange, self.limits.late_us)
                answer = msgspec.json.decode(body)
            except (*CONNECTION_ERRORS, h11.LocalProtocolError, msgspec.MsgspecError) as error:
                raise Unknown(f"{target}: {type(error).__name__} {error}") from None
        if status != 200 or not isinstance(answer, dict):
            raise Refused(f"{target}: {status} {str(answer)[:200]}")
        return answer

    async def exchange(self, target: str, body: bytes) -> tuple[int, bytes]:
        """A call over the kept connection, or a new one: status and body of its answer."""
        link, self.link = self.link, None
        try:
            if link is not None and not link.usable:
                link.close()  # ended by the service: our half of it would stay open
                link = None
            if link is None:
                link = await HttpConnection.open(self.address, self.limits)
            await link.send("POST", target, body, [("Content-Type", "application/json")])
            status = await link.answer()
            answer = await link.body(ANSWER_BYTES)
            if link.start_next_call():
                self.link = link
            return status, answer
        finally:
            if link is not None and self.link is not link:
                link.close()

    async def read(self, prefix: str) -> tuple[int, dict[str, Key]]:
        """All keys below a prefix, at one revision."""
        answer = await self.call("/v3/kv/range", {"key": b64(prefix), "range_end": b64(end_of(prefix))})
        return int(answer["header"]["revision"]), {
            text(kv["key"]): key_of(kv) for kv in answer.get("kvs", ())
        }

    async def swap(self, expect: Iterable[Expect], steps: Iterable[Put | Delete]) -> Result:
        """Compare and swap: all steps at one revision, or none."""
        compare = [
            {
                "key": b64(one.key),
                "result": "EQUAL",
                **(
                    {"target": "CREATE", "create_revision": str(one.revision)}
                    if one.made
                    else {"target": "MOD", "mod_revision": str(one.revision)}
                ),
            }
            for one in expect
        ]
        success: list[dict[str, Any]] = []
        for step in steps:
            match step:
                case Put(key, value, lease):
                    success.append(
                        {"request_put": {"key": b64(key), "value": b64(value), "lease": str(lease)}}
                    )
                case Delete(key):
                    success.append({"request_delete_range": {"key": b64(key)}})
        answer = await self.call("/v3/kv/txn", {"compare": compare, "success": success})
        return Result(bool(answer.get("succeeded")), int(answer["header"]["revision"]))

    async def grant(self, ttl_s: int) -> int:
        return int((await self.call("/v3/lease/grant", {"TTL": str(ttl_s), "ID": "0"}))["ID"])

    async def keep(self, lease: int) -> int:
        """Renews; what it lasts, us, 0 where the service does not know it."""
        answer = await self.call("/v3/lease/keepalive", {"ID": str(lease)})
        return int(answer.get("result", {}).get("TTL", 0)) * 1_000_000

    async def revoke(self, lease: int) -> None:
        await self.call("/v3/lease/revoke", {"ID": str(lease)})

    async def watch(self, prefix: str, revision: int, quiet_us: int) -> AsyncIterator[list[Change]]:
        """Changes from a revision on; an empty list now and then. `Compacted` where they are gone, else
        `Unknown`."""
        link = None
        try:
            link = await HttpConnection.open(self.address, self.limits)
            create = {
                "key": b64(prefix),
                "range_end": b64(end_of(prefix)),
                "start_revision": str(revision),
            }
            begin = self.begin_watch(link, msgspec.json.encode({"create_request": create}))
            if await within(self.call_us, begin, self.limits.late_us) != 200:
                raise Unknown("watch: refused")
            rest = bytearray()
            while piece := await link.read_chunk():
                rest += piece
                if len(rest) > ANSWER_BYTES:
                    raise Unknown("watch: a line without an end")
                while (place := rest.find(b"\n")) >= 0:
                    told = msgspec.json.decode(bytes(rest[:place]))["result"]
                    del rest[: place + 1]
                    if told.get("canceled"):
                        raise Compacted(str(told.get("compact_revision", "")))
                    yield [
                        Change(
                            text(event["kv"]["key"]),
                            int(event["kv"]["mod_revision"]),
                            None if event.get("type") == "DELETE" else key_of(event["kv"]),
                        )
                        for event in told.get("events", ())
                    ]
        except (
            *CONNECTION_ERRORS,
            h11.LocalProtocolError,
            msgspec.MsgspecError,
            KeyError,
            TypeError,
        ) as error:
            raise Unknown(f"watch: {type(error).__name__} {error}") from None
        finally:
            if link is not None:
                link.close()

    @staticmethod
    async def begin_watch(link: HttpConnection, body: bytes) -> int:
        """Asks for a watch; the status of the answer."""
        await link.send("POST", "/v3/watch", body)
        return await link.answer()

    def close(self) -> None:
        if self.link is not None:
            self.link.close()
            self.link = None
