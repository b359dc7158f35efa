"""The words on the sockets: lines, forms and lists in, events out; orders in, their words out.

No decisions. The names of the wire end here. Whatever cannot be read is a `WireError` and reaches nobody.
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
# Reports name their figures as the deployment's settings do, or as the protocol's page does.
LOAD_NAMES = LOAD_FIELDS | {
    "inflight": "held",
    "queue": "waiting",
    "util": "busy",
    "latency_ms": "service_ms",
    "qps": "completed_per_s",
    "eps": "failed_per_s",
}
MAX_NUMBER = 1e9  # above any count or span in milliseconds that means something
MAX_UNIX_MS = 1e13  # the same for a moment
BARRIER_NUMBERS = 1 << 16
SEPARATORS = re.compile(r"[,;\r\n]")  # what separates on the wire, and so no id holds
SIZE_BOUNDS = (1e-3, 1e3)  # of servers, one to the other


class WireError(Exception):
    """A message that does not follow the wire."""


class RegistryMessage(NamedTuple):
    """A message of the registry."""

    version: int
    whole: bool
    entries: tuple[interface.RegistryEntry, ...]
    addresses: dict[interface.BackendId, str]
    unreadable: int


def parse_number(value: Any, most: float = MAX_NUMBER) -> float:
    """A number from 0 up that means something."""
    if isinstance(value, bool):
        raise WireError(f"no figure: {value!r}")
    try:
        number = float(value)
    except OverflowError:  # a whole number of hundreds of digits
        raise WireError("figure beyond all measure") from None
    if not 0 <= number <= most:  # also false for what is not a number
        raise WireError(f"figure {value!r}")
    return number


def parse_integer(value: Any) -> int:
    number = parse_number(value)
    if number != int(number):
        raise WireError(f"no whole number: {value!r}")
    return int(number)


def parse_flag(value: str) -> bool:
    if value not in ("0", "1"):
        raise WireError(f"neither 0 nor 1: {value!r}")
    return value == "1"


def parse_milliseconds(value: Any) -> int:
    """Milliseconds on the wire, whole microseconds inside."""
    return round(parse_number(value) * 1000)


class Codec:
    """Reads and writes for one deployment.

    Marks begin at another number on the wire in each life of a controller: an answer to a mark of an earlier
    life, still on its way after a restart, must not pass for one to a mark of this life.
    """

    def __init__(self, deployment: interface.Deployment, id_bytes: int, first_barrier: int = 0) -> None:
        self.deployment, self.id_bytes, self.first_barrier = deployment, id_bytes, first_barrier
        self.classes = {kind.name for kind in deployment.classes}

    def _parse_id(self, value: Any) -> str:
        if not isinstance(value, str) or not 0 < len(value) <= self.id_bytes or SEPARATORS.search(value):
            raise WireError(f"no id: {str(value)[:40]!r}")
        return value

    def _parse_index(self, value: str, most: int) -> int:
        number = parse_integer(value)
        if number >= most:
            raise WireError(f"{number} where {most} is the end")
        return number

    def _read_zone(self, value: dict[str, Any]) -> Any:
        """The zone that a message names; where the settings name none, it may be left out."""
        return value["locality"] if self.deployment.zones else value.get("locality") or ""

    def parse_load(self, text: str, between: str) -> tuple[float | None, ...] | None:
        """A load report in the order of the deployment's fields.

        What is missing is None; one figure that cannot be read makes the whole report None.
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
        """A collector's line: its kind, and the zone that it joins for, or the event. Joining comes first."""
        try:
            kind, *words = str(line, "utf-8").split()
            if not joined and kind != "SOURCE":
                raise WireError(f"{kind[:40]!r} before a joining")
            value = dict(word.split("=", 1) for word in words)
            match kind:
                case "SOURCE":
                    return kind, self._known_zone(self._read_zone(value))
                case "LOAD":
                    tries, lost = parse_integer(value["total"]), parse_integer(value["errors"])
                    if lost > tries:
                        raise WireError(f"{lost} of {tries} failed")
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
                    # More may fail than came: what came in an interval may fail in the next.
                    return kind, interface.RequestReport(
                        self._parse_index(value["shard"], self.deployment.slices),
                        value["route"],
                        parse_integer(value["total"]),
                        parse_integer(value["errors"]),
                        parse_milliseconds(value["interval"]),
                    )
            raise WireError(f"unknown kind {kind[:40]!r}")
        except (KeyError, ValueError, IndexError) as error:  # a UnicodeError is a ValueError
            raise WireError(f"{type(error).__name__} {error}") from None

    # the relay's news

    def parse_event(self, kind: str, data: str) -> interface.Event | None:
        """One event of the relay's stream; None for a kind that means nothing here."""
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
        """A list or a line of changes. An entry that can't be read is left out and counted."""
        try:
            return self.parse_registry_message(
                json.loads(text if isinstance(text, str) else str(text, "utf-8"))
            )
        except (ValueError, RecursionError) as error:
            raise WireError(f"{type(error).__name__} {error}") from None

    def parse_registry_message(self, message: Any) -> RegistryMessage:
        try:
            version, complete, members = (
                parse_integer(message["revision"]),
                message["complete"],
                message["members"],
            )
            if not isinstance(members, list):
                raise WireError("members are no list")
            if not isinstance(
                complete, bool
            ):  # "false" would pass for the whole, and what it leaves out for gone
                raise WireError(f"complete {str(complete)[:40]!r}")
        except (KeyError, TypeError, ValueError) as error:
            raise WireError(f"{type(error).__name__} {error}") from None
        entries: list[interface.RegistryEntry] = []
        addresses: dict[interface.BackendId, str] = {}
        for member in members:
            try:
                name = self._parse_id(member["id"])
                # A start is a moment: it exceeds every span, and was once refused as too large a figure.
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
        """One order as the relay reads it."""
        match order:
            case interface.SetTableEntry(table, backend, weight):
                return f"SET,{table},{backend},{format_number(weight)}"
            case interface.ClearTable(table):
                return f"DEL,{table}"
            case interface.SetWithdrawn(backend, out):
                return f"{'OUT' if out else 'IN'},{backend}"
            case interface.SetAdmission(table, classes, retry, share):
                names = [
                    kind.name for place, kind in enumerate(self.deployment.classes) if classes >> place & 1
                ]
                tables = "*" if table is None else table
                return f"LIMIT,{tables},{'+'.join(names) or '*'},{format_number(share)},{retry}"
            case interface.Barrier(number, every_proxy):
                return f"SYNC,{(number + self.first_barrier) % BARRIER_NUMBERS},{int(every_proxy)}"
        raise TypeError(f"the relay knows no such order: {order!r}")


def parse_form(data: str) -> dict[str, str]:
    """The fields of a form; most come in thousands a second and have nothing escaped."""
    if "%" in data or "+" in data:
        return dict(parse_qsl(data, keep_blank_values=True, strict_parsing=True))
    return dict(word.split("=", 1) for word in data.split("&"))


def format_number(value: float) -> str:
    return str(int(value)) if value == int(value) else format(value, ".6g")


def call_body(orders: Iterable[str]) -> bytes:
    """The form of a relay call."""
    return f"Action=ApplyOrders&orders={quote_plus(';'.join(orders))}".encode()


class CallRejected(Exception):
    """The relay turned a call back; none of it was carried out."""


def parse_call_answer(answer: bytes) -> int:
    """How many orders the relay says it took; `CallRejected` with its word if it turned the call back."""
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
    raise WireError(f"neither a count nor a refusal: {text[:80]!r}")
