"""A coordination service as etcd's v3 JSON gateway is publicly described: HTTP/1.1, base64 keys and values.

Range, transactions (compare-and-swap), leases that end, watches that resume from a revision and report
compaction. One process, in memory: what is decided here is trusted to be the truth, as a quorum's would be.
Faults are scripted: slow, silent, answers lost after they were carried out, compacted, and time that stands
still.
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


class Kv(NamedTuple):
    """A key as it stands."""

    value: bytes
    created: int
    changed: int
    version: int
    lease: int


class Change(NamedTuple):
    """What a revision did to a key; no value: it was deleted."""

    revision: int
    key: bytes
    kv: Kv | None


@dataclass
class State:
    """The service's memory: pure, told the time."""

    revision: int = 1
    keys: dict[bytes, Kv] = field(default_factory=dict)
    leases: dict[int, tuple[int, int]] = field(default_factory=dict)  # id: ttl in us, ends at
    history: list[Change] = field(default_factory=list)
    compacted: int = 0
    next_lease: int = 1000

    def range(self, key: bytes, end: bytes) -> list[tuple[bytes, Kv]]:
        if not end:
            return [(key, self.keys[key])] if key in self.keys else []
        return [
            (name, kv)
            for name, kv in sorted(self.keys.items())
            if key <= name and (end == b"\0" or name < end)
        ]

    def _put(self, key: bytes, value: bytes, lease: int) -> None:
        old = self.keys.get(key)
        kv = Kv(
            value, old.created if old else self.revision, self.revision, old.version + 1 if old else 1, lease
        )
        self.keys[key] = kv
        self.history.append(Change(self.revision, key, kv))

    def _delete(self, key: bytes) -> None:
        del self.keys[key]
        self.history.append(Change(self.revision, key, None))

    def txn(self, told: dict[str, Any]) -> dict[str, Any]:
        """All or nothing, at one revision."""
        succeeded = all(self._holds(compare) for compare in told.get("compare", ()))
        steps = told.get("success" if succeeded else "failure", ())
        leases = [int(step["request_put"].get("lease", 0)) for step in steps if "request_put" in step]
        if any(lease and lease not in self.leases for lease in leases):
            raise KeyError("requested lease not found")
        writes = any("request_put" in step or "request_delete_range" in step for step in steps)
        self.revision += writes
        responses: list[dict[str, Any]] = []
        for step in steps:
            if put := step.get("request_put"):
                self._put(unb64(put["key"]), unb64(put.get("value", "")), int(put.get("lease", 0)))
                responses.append({"response_put": {}})
            elif delete := step.get("request_delete_range"):
                found = self.range(unb64(delete["key"]), unb64(delete.get("range_end", "")))
                for key, _ in found:
                    self._delete(key)
                responses.append({"response_delete_range": {"deleted": str(len(found))}})
            elif wanted := step.get("request_range"):
                responses.append({"response_range": self.answer_range(wanted)})
        return {"header": self.header(), "succeeded": succeeded, "responses": responses}

    def _holds(self, compare: dict[str, Any]) -> bool:
        kv = self.keys.get(unb64(compare["key"]))
        match compare.get("target", "VERSION"):
            case "MOD":
                mine, theirs = kv.changed if kv else 0, int(compare.get("mod_revision", 0))
            case "CREATE":
                mine, theirs = kv.created if kv else 0, int(compare.get("create_revision", 0))
            case "VALUE":
                return (kv.value if kv else b"") == unb64(compare.get("value", ""))
            case _:
                mine, theirs = kv.version if kv else 0, int(compare.get("version", 0))
        return {
            "EQUAL": mine == theirs,
            "GREATER": mine > theirs,
            "LESS": mine < theirs,
            "NOT_EQUAL": mine != theirs,
        }[compare.get("result", "EQUAL")]

    def header(self) -> dict[str, str]:
        return {"revision": str(self.revision)}

    def answer_range(self, told: dict[str, Any]) -> dict[str, Any]:
        found = self.range(unb64(told["key"]), unb64(told.get("range_end", "")))
        return {
            "header": self.header(),
            "kvs": [told_kv(key, kv) for key, kv in found],
            "count": str(len(found)),
        }

    def grant(self, ttl_s: int, now: int) -> int:
        self.next_lease += 1
        self.leases[self.next_lease] = ttl_s * 1_000_000, now + ttl_s * 1_000_000
        return self.next_lease

    def keep(self, lease: int, now: int) -> int:
        """What is left, in seconds; 0 where there is no such lease."""
        if lease not in self.leases:
            return 0
        ttl = self.leases[lease][0]
        self.leases[lease] = ttl, now + ttl
        return ttl // 1_000_000

    def revoke(self, lease: int) -> None:
        """Its keys go with it, at one revision."""
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


def unb64(text: str) -> bytes:
    return base64.b64decode(text)


def b64(data: bytes) -> str:
    return base64.b64encode(data).decode()


def told_kv(key: bytes, kv: Kv) -> dict[str, Any]:
    return {
        "key": b64(key),
        "value": b64(kv.value),
        "create_revision": str(kv.created),
        "mod_revision": str(kv.changed),
        "version": str(kv.version),
        "lease": str(kv.lease),
    }


@dataclass
class Faults:
    """What goes wrong, until it is taken back."""

    slow_s: float = 0.0
    silent: bool = False  # takes connections and calls, and answers nothing; watches say nothing
    lose_answers: int = 0  # so many next transactions are carried out, and their connection is cut
    refuse: bool = False  # every call gets 503
    frozen: bool = False  # its time stands still: no lease ends


class Coordination(StreamServer):
    """The service on loopback."""

    def __init__(self) -> None:
        super().__init__()
        self.state, self.faults = State(), Faults()
        self.changed = asyncio.Event()
        self.frozen_at = 0
        self.calls = 0
        self.ticking: asyncio.Task[None] | None = None

    async def start(self, port: int = 0) -> None:
        await super().start(port)
        self.ticking = asyncio.create_task(self.tick())

    def stop(self) -> None:
        super().stop()
        if self.ticking is not None:
            self.ticking.cancel()

    async def tick(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if not self.faults.frozen:
                before = self.state.revision
                self.state.expire(clock_us())
                if self.state.revision != before:
                    self.wake()

    def wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        state = h11.Connection(h11.SERVER)
        while True:
            _, target, body = await read_request(reader, state)
            self.calls += 1
            if self.faults.slow_s:
                await asyncio.sleep(self.faults.slow_s)
            while self.faults.silent:
                await asyncio.sleep(0.02)
            if self.faults.refuse:
                writer.write(encode_response(state, 503, '{"error":"etcdserver: no leader","code":14}'))
                state.start_next_cycle()
                continue
            told = json.loads(body or b"{}")
            if target == "/v3/watch":
                await self.watch(state, reader, writer, told["create_request"])
                return
            status, reply = self.call(target, told)
            if target == "/v3/kv/txn" and self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                return
            writer.write(encode_response(state, status, json.dumps(reply)))
            await writer.drain()
            state.start_next_cycle()

    def call(self, target: str, told: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """One call; its answer."""
        state, now = self.state, clock_us()
        if not self.faults.frozen:
            state.expire(now)
        before = state.revision
        try:
            match target:
                case "/v3/kv/range":
                    return 200, state.answer_range(told)
                case "/v3/kv/txn":
                    return 200, state.txn(told)
                case "/v3/lease/grant":
                    lease = state.grant(int(told["TTL"]), now)
                    return 200, {"header": state.header(), "ID": str(lease), "TTL": str(told["TTL"])}
                case "/v3/lease/keepalive":
                    left = state.keep(int(told["ID"]), now)
                    return 200, {
                        "result": {"header": state.header(), "ID": str(told["ID"]), "TTL": str(left)}
                    }
                case "/v3/lease/revoke":
                    state.revoke(int(told["ID"]))
                    return 200, {"header": state.header()}
        except KeyError as error:
            return 404, {"error": f"etcdserver: {error.args[0]}", "code": 5}
        finally:
            if state.revision != before:
                self.wake()
        return 404, {"error": "Not Found", "code": 5}

    async def watch(
        self,
        state: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        told: dict[str, Any],
    ) -> None:
        """Changes from a revision on, one JSON object a line; ends where they are compacted away."""
        key, end = unb64(told["key"]), unb64(told.get("range_end", ""))
        following = int(told.get("start_revision", 0)) or self.state.revision + 1
        writer.write(encode_response(state, 200, None))

        def say(result: dict[str, Any]) -> None:
            line = json.dumps({"result": {"header": self.state.header(), "watch_id": "0", **result}}) + "\n"
            writer.write(state.send(h11.Data(data=line.encode())) or b"")

        say({"created": True})
        while not reader.at_eof() and not writer.is_closing():
            changed = self.changed
            if following <= self.state.compacted:
                say({"canceled": True, "compact_revision": str(self.state.compacted)})
                return
            found = [] if self.faults.silent else self.state.since(following, key, end)
            if found:
                say({"events": [{"kv": told_kv(change.key, change.kv)} if change.kv else {
                    "type": "DELETE", "kv": {"key": b64(change.key), "mod_revision": str(change.revision)}}
                    for change in found]})  # fmt: skip
                following = found[-1].revision + 1
                await writer.drain()
            try:
                await asyncio.wait_for(changed.wait(), 0.1)
            except TimeoutError:
                pass
