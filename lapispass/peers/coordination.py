"""A client of a coordination service that speaks etcd's v3 API through its JSON gateway.

Each call has one answer, which is bounded in time and size. If no answer comes, a transaction may still have
been carried out, which `OutcomeUnknown` reports. The caller then reads the current state before it does
anything else.
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

MAX_ANSWER_BYTES = 16 << 20
CALL_TIMEOUT_US = 1_000_000


class OutcomeUnknown(Exception):
    """No valid answer came: the call may or may not have been carried out."""


class CallRejected(Exception):
    """The service answered with an error: it rejected the call or was unable to carry it out."""


class RevisionCompacted(Exception):
    """A watch cannot continue from its revision: the caller has to read a new snapshot."""


class WatchSilent(Exception):
    """A watch has brought nothing for its idle time-out.

    Its connection may be dead without a sign, so the caller opens the next one from the same revision on.
    """


class KeyValue(NamedTuple):
    """The value of a key in the service, and the revisions of its creation and of its last change."""

    value: bytes
    create_revision: int
    mod_revision: int


class KeyChange(NamedTuple):
    """A change of a key, as a watch reports it."""

    key: str
    revision: int
    current: KeyValue | None  # None if the key was deleted


class Put(NamedTuple):
    key: str
    value: bytes
    lease: int = 0


class Delete(NamedTuple):
    key: str


@dataclass(frozen=True, slots=True)
class Condition:
    """A condition of a transaction: the key's last change was at this revision.

    With `compare_creation` it is the key's creation instead. With revision 0 the key must not exist.
    """

    key: str
    revision: int
    compare_creation: bool = False


class TransactionResult(NamedTuple):
    """Whether a transaction's conditions were met, and the service's revision after it."""

    succeeded: bool
    revision: int


def encode_base64(data: str | bytes) -> str:
    return base64.b64encode(data.encode() if isinstance(data, str) else data).decode()


def decode_base64(data: str) -> str:
    return base64.b64decode(data).decode()


def range_end(prefix: str) -> str:
    """The first key after all keys with this prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def parse_key_value(kv: Mapping[str, Any]) -> KeyValue:
    return KeyValue(
        base64.b64decode(kv.get("value", "")),
        int(kv.get("create_revision", 0)),
        int(kv.get("mod_revision", 0)),
    )


class CoordinationClient:
    """A client for one address.

    Calls are made one at a time over a connection that is kept open. Each watch has its own connection.
    """

    def __init__(
        self, address: str, limits: Limits | None = None, call_timeout_us: int = CALL_TIMEOUT_US
    ) -> None:
        self.address, self.call_timeout_us = address, call_timeout_us
        self.limits = limits or Limits()
        self.connection: HttpConnection | None = None
        self.lock = asyncio.Lock()

    async def call(self, target: str, request: Mapping[str, Any]) -> dict[str, Any]:
        """Makes one call.

        Raises `CallRejected` if the service answers with an error, `OutcomeUnknown` for any other failure.
        """
        async with self.lock:
            try:
                exchange = self.exchange(target, msgspec.json.encode(request))
                status, body = await within(self.call_timeout_us, exchange, self.limits.late_us)
                answer = msgspec.json.decode(body)
            except (*CONNECTION_ERRORS, h11.LocalProtocolError, msgspec.MsgspecError) as error:
                raise OutcomeUnknown(f"{target}: {type(error).__name__} {error}") from None
        if status != 200 or not isinstance(answer, dict):
            raise CallRejected(f"{target}: {status} {str(answer)[:200]}")
        return answer

    async def exchange(self, target: str, body: bytes) -> tuple[int, bytes]:
        """Makes a call over the open connection or a new one; returns the status and body of the answer."""
        connection, self.connection = self.connection, None
        try:
            if connection is not None and not connection.usable:
                connection.close()  # the service has closed its side; ours would stay open
                connection = None
            if connection is None:
                connection = await HttpConnection.open(self.address, self.limits)
            await connection.send("POST", target, body, [("Content-Type", "application/json")])
            status = await connection.answer()
            answer = await connection.body(MAX_ANSWER_BYTES)
            if connection.start_next_call():
                self.connection = connection
            return status, answer
        finally:
            if connection is not None and self.connection is not connection:
                connection.close()

    async def read_prefix(self, prefix: str) -> tuple[int, dict[str, KeyValue]]:
        """Reads all keys with a prefix, at one revision."""
        answer = await self.call(
            "/v3/kv/range", {"key": encode_base64(prefix), "range_end": encode_base64(range_end(prefix))}
        )
        return int(answer["header"]["revision"]), {
            decode_base64(kv["key"]): parse_key_value(kv) for kv in answer.get("kvs", ())
        }

    async def compare_and_swap(
        self, conditions: Iterable[Condition], operations: Iterable[Put | Delete]
    ) -> TransactionResult:
        """Carries out all operations at one revision if all conditions are met, otherwise none."""
        compare = [
            {
                "key": encode_base64(condition.key),
                "result": "EQUAL",
                **(
                    {"target": "CREATE", "create_revision": str(condition.revision)}
                    if condition.compare_creation
                    else {"target": "MOD", "mod_revision": str(condition.revision)}
                ),
            }
            for condition in conditions
        ]
        success: list[dict[str, Any]] = []
        for operation in operations:
            match operation:
                case Put(key, value, lease):
                    success.append(
                        {
                            "request_put": {
                                "key": encode_base64(key),
                                "value": encode_base64(value),
                                "lease": str(lease),
                            }
                        }
                    )
                case Delete(key):
                    success.append({"request_delete_range": {"key": encode_base64(key)}})
        answer = await self.call("/v3/kv/txn", {"compare": compare, "success": success})
        return TransactionResult(bool(answer.get("succeeded")), int(answer["header"]["revision"]))

    async def grant_lease(self, ttl_s: int) -> int:
        return int((await self.call("/v3/lease/grant", {"TTL": str(ttl_s), "ID": "0"}))["ID"])

    async def renew_lease(self, lease: int) -> int:
        """Renews a lease; returns its time to live in us, 0 if the service does not know it."""
        answer = await self.call("/v3/lease/keepalive", {"ID": str(lease)})
        return int(answer.get("result", {}).get("TTL", 0)) * 1_000_000

    async def revoke_lease(self, lease: int) -> None:
        await self.call("/v3/lease/revoke", {"ID": str(lease)})

    async def watch(self, prefix: str, revision: int, idle_us: int) -> AsyncIterator[list[KeyChange]]:
        """Yields the changes below a prefix from a revision on; an empty list for a message without changes.

        Raises `RevisionCompacted` if the service no longer has the changes from that revision on,
        `WatchSilent` if nothing comes for `idle_us` (0: no limit), and `OutcomeUnknown` if the watch ends for
        another reason.
        """
        connection = None
        try:
            connection = await HttpConnection.open(self.address, self.limits)
            create = {
                "key": encode_base64(prefix),
                "range_end": encode_base64(range_end(prefix)),
                "start_revision": str(revision),
            }
            opening = self.request_watch(connection, msgspec.json.encode({"create_request": create}))
            if await within(self.call_timeout_us, opening, self.limits.late_us) != 200:
                raise OutcomeUnknown("watch: the service rejected the request")
            unparsed = bytearray()
            while chunk := await self.next_chunk(connection, idle_us):
                unparsed += chunk
                if len(unparsed) > MAX_ANSWER_BYTES:
                    raise OutcomeUnknown("watch: a line exceeds the size limit for answers")
                while (line_end := unparsed.find(b"\n")) >= 0:
                    message = msgspec.json.decode(bytes(unparsed[:line_end]))["result"]
                    del unparsed[: line_end + 1]
                    if message.get("canceled"):
                        raise RevisionCompacted(str(message.get("compact_revision", "")))
                    yield [
                        KeyChange(
                            decode_base64(event["kv"]["key"]),
                            int(event["kv"]["mod_revision"]),
                            None if event.get("type") == "DELETE" else parse_key_value(event["kv"]),
                        )
                        for event in message.get("events", ())
                    ]
        except (
            *CONNECTION_ERRORS,
            h11.LocalProtocolError,
            msgspec.MsgspecError,
            KeyError,
            TypeError,
        ) as error:
            raise OutcomeUnknown(f"watch: {type(error).__name__} {error}") from None
        finally:
            if connection is not None:
                connection.close()

    async def next_chunk(self, connection: HttpConnection, idle_us: int) -> bytes | bytearray:
        """The next chunk of a watch; empty at its end. Raises `WatchSilent`."""
        if not idle_us:
            return await connection.read_chunk()
        try:
            return await within(idle_us, connection.read_chunk(), self.limits.late_us)
        except TimeoutError as error:
            raise WatchSilent(f"{error}") from None

    @staticmethod
    async def request_watch(connection: HttpConnection, body: bytes) -> int:
        """Requests a watch; returns the status of the answer."""
        await connection.send("POST", "/v3/watch", body)
        return await connection.answer()

    def close(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None
