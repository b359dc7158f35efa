"""Translates between the platform's wire formats and the events and orders of `lapispass.interface`.

No other module knows the names used on the wire. A malformed message raises `WireError` and yields no event.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterable
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, quote_plus
from xml.etree import ElementTree

from lapispass import interface
from lapispass.deployment import LOAD_FIELDS

STATES = {"Ready": "ready", "Terminating": "draining", "Gone": "gone"}
# Load reports use the field names of the deployment's settings, or those of the protocol's specification.
LOAD_NAMES = LOAD_FIELDS | {
    "inflight": "held",
    "queue": "waiting",
    "util": "busy",
    "latency_ms": "service_ms",
    "qps": "completed_per_s",
    "eps": "failed_per_s",
}
MAX_NUMBER = 1e9  # larger than any plausible count or duration in milliseconds
MAX_UNIX_MS = 1e13  # larger than any plausible time in milliseconds since the epoch
BARRIER_NUMBERS = 1 << 16
SEPARATORS = re.compile(r"[,;\r\n]")  # separators on the wire, which an id must not contain
SIZE_BOUNDS = (1e-3, 1e3)  # the range of a server's relative size


class WireError(Exception):
    """A malformed message."""


class RegistryMessage(NamedTuple):
    """One message of the registry: the whole server list (`whole`) or changes to it."""

    version: int
    whole: bool
    entries: tuple[interface.RegistryEntry, ...]
    addresses: dict[interface.BackendId, str]
    unreadable: int  # how many entries were malformed and left out


def parse_number(value: Any, most: float = MAX_NUMBER) -> float:
    """A number from 0 to `most`; a `WireError` for anything else."""
    if isinstance(value, bool):
        raise WireError(f"expected a number, got {value!r}")
    try:
        number = float(value)
    except OverflowError:  # an integer of hundreds of digits
        raise WireError("expected a number, got an integer that is too large") from None
    if not 0 <= number <= most:  # also true for NaN
        raise WireError(f"expected a number from 0 to {most:g}, got {value!r}")
    return number


def parse_integer(value: Any) -> int:
    number = parse_number(value)
    if number != int(number):
        raise WireError(f"expected an integer, got {value!r}")
    return int(number)


def parse_flag(value: str) -> bool:
    if value not in ("0", "1"):
        raise WireError(f"expected 0 or 1, got {value!r}")
    return value == "1"


def parse_milliseconds(value: Any) -> int:
    """Converts milliseconds, as used on the wire, to whole microseconds."""
    return round(parse_number(value) * 1000)


class Codec:
    """Parses and formats the messages of one deployment.

    Each incarnation of a controller numbers its barriers on the wire from a different start, `first_barrier`.
    After a restart, a late acknowledgement of an earlier incarnation's barrier must not be mistaken for an
    acknowledgement of a current one.
    """

    def __init__(self, deployment: interface.Deployment, id_bytes: int, first_barrier: int = 0) -> None:
        self.deployment, self.id_bytes, self.first_barrier = deployment, id_bytes, first_barrier
        self.classes = {kind.name for kind in deployment.classes}

    def _parse_id(self, value: Any) -> str:
        if not isinstance(value, str) or not 0 < len(value) <= self.id_bytes or SEPARATORS.search(value):
            raise WireError(f"expected a short id without separators, got {str(value)[:40]!r}")
        return value

    def _parse_index(self, value: str, end: int) -> int:
        number = parse_integer(value)
        if number >= end:
            raise WireError(f"expected an index below {end}, got {number}")
        return number

    def _read_zone(self, value: dict[str, Any]) -> Any:
        """The zone in a message; it may be missing if the settings have no zones."""
        return value["locality"] if self.deployment.zones else value.get("locality") or ""

    def parse_load(self, text: str, between: str) -> tuple[float | None, ...] | None:
        """Parses a load report into values in the order of the deployment's load fields.

        Missing values are None, and the result is None if all are missing. One malformed value makes the
        whole report malformed.
        """
        pairs = (pair.strip().partition(between) for pair in text.split(","))
        found = {LOAD_NAMES.get(name, name): value for name, _, value in pairs}
        try:
            report = tuple(
                parse_number(found[name]) if name in found else None for name in self.deployment.load_fields
            )
        except ValueError as error:
            raise WireError(str(error)) from None
        return report if any(value is not None for value in report) else None

    # collectors

    def _known_zone(self, value: str) -> str:
        if value not in (self.deployment.zones or ("",)):
            raise WireError(f"unknown zone {value[:40]!r}")
        return value

    def parse_report(self, line: memoryview, joined: bool) -> tuple[str, str | interface.Event]:
        """Parses a collector's line into its kind and the event, or for `SOURCE` the zone that it joins.

        Until the collector has joined, `SOURCE` is the only kind accepted.
        """
        try:
            kind, *words = str(line, "utf-8").split()
            if not joined and kind != "SOURCE":
                raise WireError(f"expected SOURCE first, got {kind[:40]!r}")
            value = dict(word.split("=", 1) for word in words)
            match kind:
                case "SOURCE":
                    return kind, self._known_zone(self._read_zone(value))
                case "LOAD":
                    tries, lost = parse_integer(value["total"]), parse_integer(value["errors"])
                    if lost > tries:
                        raise WireError(f"more failures than requests: {lost} of {tries}")
                    load = self.parse_load(value["metrics"], ":") if value.get("metrics") else None
                    return kind, interface.ServerReport(
                        self._parse_id(value["endpoint"]),
                        self._known_zone(self._read_zone(value)),
                        lost,
                        tries,
                        parse_milliseconds(value["rtt"]),
                        parse_milliseconds(value["interval"]),
                        load,
                    )
                case "SHARD":
                    if value["route"] not in self.classes:
                        raise WireError(f"unknown class {value['route'][:40]!r}")
                    # There may be more failures than requests: a request may fail in a later interval.
                    return kind, interface.RequestReport(
                        self._parse_index(value["shard"], self.deployment.slices),
                        value["route"],
                        parse_integer(value["total"]),
                        parse_integer(value["errors"]),
                        parse_milliseconds(value["interval"]),
                    )
            raise WireError(f"unknown kind {kind[:40]!r}")
        except (KeyError, ValueError, IndexError) as error:  # UnicodeError is a ValueError
            raise WireError(f"{type(error).__name__} {error}") from None

    # the relay's event stream

    def parse_event(self, kind: str, data: str) -> interface.Event | None:
        """Parses one event of the relay's event stream; None if its kind is unknown."""
        try:
            value = parse_form(data)
            match kind:
                case "SUBSCRIBE":
                    rate = parse_number(value["w"]) if value.get("w") else None
                    return interface.ProxyJoined(
                        self._parse_index(value["node"], self.deployment.proxies),
                        parse_flag(value["cold"]),
                        self._read_zone(value),
                        rate,
                        reads_store=True,
                    )
                case "CLOSED":
                    return interface.ProxyLeft(self._parse_index(value["node"], self.deployment.proxies))
                case "ACK":
                    barrier = (
                        self._parse_index(value["nonce"], BARRIER_NUMBERS) - self.first_barrier
                    ) % BARRIER_NUMBERS
                    return interface.BarrierAck(
                        self._parse_index(value["node"], self.deployment.proxies),
                        barrier,
                        parse_milliseconds(value["latency"]),
                    )
                case "GRANT":
                    return interface.SliceGrant(
                        self._parse_index(value["shard"], self.deployment.slices), parse_flag(value["set"])
                    )
                case "ROW":
                    return interface.StoredOwner(
                        self._parse_index(value["shard"], self.deployment.slices),
                        self._parse_id(value["endpoint"]),
                    )
            return None
        except (KeyError, ValueError) as error:
            raise WireError(f"{type(error).__name__} {error}") from None

    # the registry

    def parse_registry_text(self, text: str | bytes | bytearray | memoryview) -> RegistryMessage:
        """Parses a server list or a line of a watch. Malformed entries are left out and counted."""
        try:
            return self.parse_registry_message(
                json.loads(text if isinstance(text, str) else str(text, "utf-8"))
            )
        except (ValueError, RecursionError) as error:
            raise WireError(f"{type(error).__name__} {error}") from None

    def parse_registry_message(self, message: Any) -> RegistryMessage:
        """As `parse_registry_text`, for decoded JSON."""
        try:
            version, complete, members = (
                parse_integer(message["revision"]),
                message["complete"],
                message["members"],
            )
            if not isinstance(members, list):
                raise WireError("expected members to be a list")
            # The text "false" is truthy: changes would pass for a whole list, and all other servers for gone.
            if not isinstance(complete, bool):
                raise WireError(f"expected true or false for complete, got {str(complete)[:40]!r}")
        except (KeyError, TypeError, ValueError) as error:
            raise WireError(f"{type(error).__name__} {error}") from None
        entries: list[interface.RegistryEntry] = []
        addresses: dict[interface.BackendId, str] = {}
        for member in members:
            try:
                name = self._parse_id(member["id"])
                # A start time exceeds any plausible duration, so it needs a bound of its own.
                born = round(parse_number(member.get("up_since_ms") or 0, MAX_UNIX_MS) * 1000)
                size = parse_number(member.get("size") or 0)
                entries.append(
                    interface.RegistryEntry(
                        name,
                        str(self._read_zone(member)),
                        STATES[member["phase"]],
                        size if SIZE_BOUNDS[0] <= size <= SIZE_BOUNDS[1] else None,
                        born or None,
                    )
                )
                if isinstance(address := member.get("host_port"), str):
                    addresses[name] = address
            except (WireError, KeyError, TypeError, ValueError, AttributeError):
                continue
        return RegistryMessage(version, complete, tuple(entries), addresses, len(members) - len(entries))

    # orders

    def format_order(self, order: interface.Order) -> str:
        """Formats one order for the relay."""
        match order:
            case interface.SetTableEntry(table, backend, weight):
                return f"SET,{table},{backend},{format_number(weight)}"
            case interface.ClearTable(table):
                return f"DEL,{table}"
            case interface.SetWithdrawn(backend, out):
                return f"{'OUT' if out else 'IN'},{backend}"
            case interface.SetAdmission(table, classes, retry, share):
                names = [
                    kind.name for index, kind in enumerate(self.deployment.classes) if classes >> index & 1
                ]
                tables = "*" if table is None else table
                return f"LIMIT,{tables},{'+'.join(names) or '*'},{format_number(share)},{retry}"
            case interface.Barrier(number, every_proxy):
                return f"SYNC,{(number + self.first_barrier) % BARRIER_NUMBERS},{int(every_proxy)}"
        raise TypeError(f"not an order for the relay: {order!r}")


def parse_form(data: str) -> dict[str, str]:
    """Parses a form. The fast path matters: thousands arrive each second, and few have escapes."""
    if "%" in data or "+" in data:
        return dict(parse_qsl(data, keep_blank_values=True, strict_parsing=True))
    return dict(word.split("=", 1) for word in data.split("&"))


def format_number(value: float) -> str:
    return str(int(value)) if value == int(value) else format(value, ".6g")


def call_body(orders: Iterable[str]) -> bytes:
    """The body of a relay call: a form with the orders."""
    return f"Action=ApplyOrders&orders={quote_plus(';'.join(orders))}".encode()


class CallRejected(Exception):
    """The relay rejected a call and applied none of its orders."""


def parse_call_answer(answer: bytes) -> int:
    """How many orders the relay applied; raises `CallRejected` with the reason if it rejected the call."""
    try:
        root = ElementTree.fromstring(answer)
    except (ElementTree.ParseError, ValueError, LookupError) as error:
        raise WireError(f"{type(error).__name__} {error}") from None
    count = root.find("entries/item/ok_count")
    if count is not None:
        try:
            return parse_integer((count.text or "").strip())
        except ValueError as error:
            raise WireError(str(error)) from None
    text = " ".join(part.strip() for part in root.itertext())
    for word in ("throttled", "invalid"):
        if word in text.lower():
            raise CallRejected(word)
    raise WireError(f"expected a count of orders or an error code, got {text[:80]!r}")
