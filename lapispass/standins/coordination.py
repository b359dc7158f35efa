"""A stand-in for a coordination service, which speaks etcd's v3 JSON gateway as publicly documented.

It speaks HTTP/1.1 with base64 keys and values. It offers ranges, transactions (compare-and-swap), leases that
expire, and watches that resume from a revision and report compaction. It keeps all state in memory in one
process, so its decisions are final, as those of a quorum would be. Faults can be injected: slow or missing
answers, answers lost after the call was carried out, compaction, and time that stands still.
"""

from __future__ import annotations

import asyncio
import base64
import json
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import h11

from lapispass.standins.nodes import clock_us
from lapispass.standins.stream_server import StreamServer, encode_response, read_request


class KeyValue(NamedTuple):
    """The current value of a key, with its revisions, version and lease."""

    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int


class Change(NamedTuple):
    """The change of a key at a revision; `kv` is None if the key was deleted."""

    revision: int
    key: bytes
    kv: KeyValue | None


@dataclass
class State:
    """The state of the service; callers pass the current time."""

    revision: int = 1
    keys: dict[bytes, KeyValue] = field(default_factory=dict)
    leases: dict[int, tuple[int, int]] = field(
        default_factory=dict
    )  # by id: time to live in us, when it ends
    history: list[Change] = field(default_factory=list)
    compacted: int = 0
    next_lease: int = 1000

    def range(self, key: bytes, end: bytes) -> list[tuple[bytes, KeyValue]]:
        if not end:
            return [(key, self.keys[key])] if key in self.keys else []
        return [
            (name, kv)
            for name, kv in sorted(self.keys.items())
            if key <= name and (end == b"\0" or name < end)
        ]

    def _put(self, key: bytes, value: bytes, lease: int) -> None:
        old = self.keys.get(key)
        kv = KeyValue(
            value,
            old.create_revision if old else self.revision,
            self.revision,
            old.version + 1 if old else 1,
            lease,
        )
        self.keys[key] = kv
        self.history.append(Change(self.revision, key, kv))

    def _delete(self, key: bytes) -> None:
        del self.keys[key]
        self.history.append(Change(self.revision, key, None))

    def txn(self, request: dict[str, Any]) -> dict[str, Any]:
        """Carries out all operations of a transaction at one revision, or none."""
        succeeded = all(self._is_met(compare) for compare in request.get("compare", ()))
        operations = request.get("success" if succeeded else "failure", ())
        leases = [
            int(operation["request_put"].get("lease", 0))
            for operation in operations
            if "request_put" in operation
        ]
        if any(lease and lease not in self.leases for lease in leases):
            raise KeyError("requested lease not found")
        writes = any(
            "request_put" in operation or "request_delete_range" in operation for operation in operations
        )
        self.revision += writes
        responses: list[dict[str, Any]] = []
        for operation in operations:
            if put := operation.get("request_put"):
                self._put(
                    decode_base64(put["key"]), decode_base64(put.get("value", "")), int(put.get("lease", 0))
                )
                responses.append({"response_put": {}})
            elif delete := operation.get("request_delete_range"):
                found = self.range(decode_base64(delete["key"]), decode_base64(delete.get("range_end", "")))
                for key, _ in found:
                    self._delete(key)
                responses.append({"response_delete_range": {"deleted": str(len(found))}})
            elif range_request := operation.get("request_range"):
                responses.append({"response_range": self.answer_range(range_request)})
        return {"header": self.header(), "succeeded": succeeded, "responses": responses}

    def _is_met(self, compare: dict[str, Any]) -> bool:
        kv = self.keys.get(decode_base64(compare["key"]))
        match compare.get("target", "VERSION"):
            case "MOD":
                actual, expected = kv.mod_revision if kv else 0, int(compare.get("mod_revision", 0))
            case "CREATE":
                actual, expected = kv.create_revision if kv else 0, int(compare.get("create_revision", 0))
            case "VALUE":
                return (kv.value if kv else b"") == decode_base64(compare.get("value", ""))
            case _:
                actual, expected = kv.version if kv else 0, int(compare.get("version", 0))
        return {
            "EQUAL": actual == expected,
            "GREATER": actual > expected,
            "LESS": actual < expected,
            "NOT_EQUAL": actual != expected,
        }[compare.get("result", "EQUAL")]

    def header(self) -> dict[str, str]:
        return {"revision": str(self.revision)}

    def answer_range(self, request: dict[str, Any]) -> dict[str, Any]:
        found = self.range(decode_base64(request["key"]), decode_base64(request.get("range_end", "")))
        return {
            "header": self.header(),
            "kvs": [encode_key_value(key, kv) for key, kv in found],
            "count": str(len(found)),
        }

    def grant(self, ttl_s: int, now: int) -> int:
        self.next_lease += 1
        self.leases[self.next_lease] = ttl_s * 1_000_000, now + ttl_s * 1_000_000
        return self.next_lease

    def renew(self, lease: int, now: int) -> int:
        """Renews a lease; returns its time to live in seconds, 0 if there is no such lease."""
        if lease not in self.leases:
            return 0
        ttl = self.leases[lease][0]
        self.leases[lease] = ttl, now + ttl
        return ttl // 1_000_000

    def revoke(self, lease: int) -> None:
        """Ends a lease, and deletes its keys at one revision."""
        if self.leases.pop(lease, None) is None:
            return
        keys = [key for key, kv in self.keys.items() if kv.lease == lease]
        self.revision += bool(keys)
        for key in keys:
            self._delete(key)

    def expire(self, now: int) -> None:
        for lease in [lease for lease, (_, ends) in self.leases.items() if ends <= now]:
            self.revoke(lease)

    def compact(self, revision: int) -> None:
        self.compacted = revision
        self.history = [change for change in self.history if change.revision >= revision]

    def since(self, revision: int, key: bytes, end: bytes) -> list[Change]:
        return [
            change
            for change in self.history
            if change.revision >= revision
            and key <= change.key
            and ((not end and change.key == key) or end == b"\0" or (bool(end) and change.key < end))
        ]


def decode_base64(text: str) -> bytes:
    return base64.b64decode(text)


def encode_base64(data: bytes) -> str:
    return base64.b64encode(data).decode()


def encode_key_value(key: bytes, kv: KeyValue) -> dict[str, Any]:
    return {
        "key": encode_base64(key),
        "value": encode_base64(kv.value),
        "create_revision": str(kv.create_revision),
        "mod_revision": str(kv.mod_revision),
        "version": str(kv.version),
        "lease": str(kv.lease),
    }


@dataclass
class Faults:
    """The faults that are injected until they are reset."""

    slow_s: float = 0.0
    silent: bool = False  # accepts connections and calls but never answers; watches send nothing
    lose_answers: int = 0  # this many transactions are carried out, but cut their connection
    refuse: bool = False  # every call is answered with status 503
    frozen: bool = False  # time stands still: no lease expires


class CoordinationServer(StreamServer):
    """The service, listening on loopback."""

    def __init__(self) -> None:
        super().__init__()
        self.state, self.faults = State(), Faults()
        self.watches = self.muted_watches = 0  # opened so far; how many of them, the first ones, are silent
        self.changed = asyncio.Event()
        self.frozen_at = 0
        self.calls = 0
        self.expiry_task: asyncio.Task[None] | None = None

    async def start(self, port: int = 0) -> None:
        await super().start(port)
        self.expiry_task = asyncio.create_task(self.expire_leases())

    def stop(self) -> None:
        super().stop()
        if self.expiry_task is not None:
            self.expiry_task.cancel()

    async def expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if not self.faults.frozen:
                before = self.state.revision
                self.state.expire(clock_us())
                if self.state.revision != before:
                    self.wake_watches()

    def mute_watches(self) -> None:
        """All watches that are open now send nothing more; later ones work."""
        self.muted_watches = self.watches

    def wake_watches(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = h11.Connection(h11.SERVER)
        while True:
            _, target, body = await read_request(reader, connection)
            self.calls += 1
            if self.faults.slow_s:
                await asyncio.sleep(self.faults.slow_s)
            while self.faults.silent:
                await asyncio.sleep(0.02)
            if self.faults.refuse:
                writer.write(encode_response(connection, 503, '{"error":"etcdserver: no leader","code":14}'))
                connection.start_next_cycle()
                continue
            request = json.loads(body or b"{}")
            if target == "/v3/watch":
                await self.watch(connection, reader, writer, request["create_request"])
                return
            status, reply = self.answer_call(target, request)
            if target == "/v3/kv/txn" and self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                return
            writer.write(encode_response(connection, status, json.dumps(reply)))
            await writer.drain()
            connection.start_next_cycle()

    def answer_call(self, target: str, request: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Carries out a call; returns the status and body of its answer."""
        state, now = self.state, clock_us()
        if not self.faults.frozen:
            state.expire(now)
        before = state.revision
        try:
            match target:
                case "/v3/kv/range":
                    return 200, state.answer_range(request)
                case "/v3/kv/txn":
                    return 200, state.txn(request)
                case "/v3/lease/grant":
                    lease = state.grant(int(request["TTL"]), now)
                    return 200, {"header": state.header(), "ID": str(lease), "TTL": str(request["TTL"])}
                case "/v3/lease/keepalive":
                    ttl_s = state.renew(int(request["ID"]), now)
                    return 200, {
                        "result": {"header": state.header(), "ID": str(request["ID"]), "TTL": str(ttl_s)}
                    }
                case "/v3/lease/revoke":
                    state.revoke(int(request["ID"]))
                    return 200, {"header": state.header()}
        except KeyError as error:
            return 404, {"error": f"etcdserver: {error.args[0]}", "code": 5}
        finally:
            if state.revision != before:
                self.wake_watches()
        return 404, {"error": "Not Found", "code": 5}

    async def watch(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: dict[str, Any],
    ) -> None:
        """Sends the changes from a revision on, one JSON object per line.

        The watch is cancelled if the next changes were compacted.
        """
        key, end = decode_base64(request["key"]), decode_base64(request.get("range_end", ""))
        next_revision = int(request.get("start_revision", 0)) or self.state.revision + 1
        self.watches += 1
        number = self.watches
        writer.write(encode_response(connection, 200, None))

        def send_result(result: dict[str, Any]) -> None:
            line = json.dumps({"result": {"header": self.state.header(), "watch_id": "0", **result}}) + "\n"
            writer.write(connection.send(h11.Data(data=line.encode())) or b"")

        send_result({"created": True})
        while not reader.at_eof() and not writer.is_closing():
            changed = self.changed
            if next_revision <= self.state.compacted:
                send_result({"canceled": True, "compact_revision": str(self.state.compacted)})
                return
            is_silent = self.faults.silent or number <= self.muted_watches
            found = [] if is_silent else self.state.since(next_revision, key, end)
            if found:
                send_result({"events": [{"kv": encode_key_value(change.key, change.kv)} if change.kv else {
                    "type": "DELETE",
                    "kv": {"key": encode_base64(change.key), "mod_revision": str(change.revision)}}
                    for change in found]})  # fmt: skip
                next_revision = found[-1].revision + 1
                await writer.drain()
            try:
                await asyncio.wait_for(changed.wait(), 0.1)
            except TimeoutError:
                pass
