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
LOAD_WORDS = LOAD_FIELDS | {
    "inflight": "held",
    "queue": "waiting",
    "util": "busy",
    "latency_ms": "service_ms",
    "qps": "completed_per_s",
    "eps": "failed_per_s",
}
FIGURE_MOST = 1e9  # above any count or span in milliseconds that means something
UNIX_MS_MOST = 1e13  # the same for a moment
MARKS = 1 << 16
RESERVED = re.compile(r"[,;\r\n]")  # what separates on the wire, and so no id holds
SIZES = (1e-3, 1e3)  # of servers, one to the other


class WireError(Exception):
    """A message that does not follow the wire."""


class Listing(NamedTuple):
    """A message of the registry."""

    version: int
    whole: bool
    entries: tuple[interface.RegistryEntry, ...]
    addresses: dict[interface.BackendId, str]
    unreadable: int


def figure(value: Any, most: float = FIGURE_MOST) -> float:
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


def whole(value: Any) -> int:
    number = figure(value)
    if number != int(number):
        raise WireError(f"no whole number: {value!r}")
    return int(number)


def flag(value: str) -> bool:
    if value not in ("0", "1"):
        raise WireError(f"neither 0 nor 1: {value!r}")
    return value == "1"


def micros(value: Any) -> int:
    """Milliseconds on the wire, whole microseconds inside."""
    return round(figure(value) * 1000)


class Codec:
    """Reads and writes for one deployment.

    Marks begin at another number on the wire in each life of a controller: an answer to a mark of an earlier
    life, still on its way after a restart, must not pass for one to a mark of this life.
    """

    def __init__(self, told: interface.Deployment, id_bytes: int, first_mark: int = 0) -> None:
        self.told, self.id_bytes, self.first_mark = told, id_bytes, first_mark
        self.classes = {kind.name for kind in told.classes}

    def _id(self, value: Any) -> str:
        if not isinstance(value, str) or not 0 < len(value) <= self.id_bytes or RESERVED.search(value):
            raise WireError(f"no id: {str(value)[:40]!r}")
        return value

    def _below(self, value: str, most: int) -> int:
        number = whole(value)
        if number >= most:
            raise WireError(f"{number} where {most} is the end")
        return number

    def _where(self, value: dict[str, Any]) -> Any:
        """The zone that a message names; where the settings name none, it may be left out."""
        return value["locality"] if self.told.zones else value.get("locality") or ""

    def load(self, text: str, between: str) -> tuple[float | None, ...] | None:
        """A load report in the order of the deployment's fields.

        What is missing is None; one figure that cannot be read makes the whole report None.
        """
        pairs = (pair.strip().partition(between) for pair in text.split(","))
        found = {LOAD_WORDS.get(name, name): value for name, _, value in pairs}
        try:
            report = tuple(figure(found[name]) if name in found else None for name in self.told.load_fields)
        except ValueError as error:
            raise WireError(str(error)) from None
        return report if any(value is not None for value in report) else None

    # collectors

    def _zone(self, value: str) -> str:
        if value not in (self.told.zones or ("",)):
            raise WireError(f"unknown zone {value[:40]!r}")
        return value

    def report(self, line: memoryview, joined: bool) -> tuple[str, str | interface.Event]:
        """A collector's line: its kind, and the zone that it joins for, or the event. Joining comes first."""
        try:
            kind, *words = str(line, "utf-8").split()
            if not joined and kind != "SOURCE":
                raise WireError(f"{kind[:40]!r} before a joining")
            value = dict(word.split("=", 1) for word in words)
            match kind:
                case "SOURCE":
                    return kind, self._zone(self._where(value))
                case "LOAD":
                    tries, lost = whole(value["total"]), whole(value["errors"])
                    if lost > tries:
                        raise WireError(f"{lost} of {tries} failed")
                    load = self.load(value["metrics"], ":") if value.get("metrics") else None
                    return kind, interface.ServerReport(
                        self._id(value["endpoint"]),
                        self._zone(self._where(value)),
                        lost,
                        tries,
                        micros(value["rtt"]),
                        micros(value["interval"]),
                        load,
                    )
                case "SHARD":
                    if value["route"] not in self.classes:
                        raise WireError(f"unknown class {value['route'][:40]!r}")
                    # More may fail than came: what came in an interval may fail in the next.
                    return kind, interface.RequestReport(
                        self._below(value["shard"], self.told.slices),
                        value["route"],
                        whole(value["total"]),
                        whole(value["errors"]),
                        micros(value["interval"]),
                    )
            raise WireError(f"unknown kind {kind[:40]!r}")
        except (KeyError, ValueError, IndexError) as error:  # a UnicodeError is a ValueError
            raise WireError(f"{type(error).__name__} {error}") from None

    # the relay's news

    def news(self, kind: str, data: str) -> interface.Event | None:
        """One event of the relay's stream; None for a kind that means nothing here."""
        try:
            value = form(data)
            match kind:
                case "SUBSCRIBE":
                    rate = figure(value["w"]) if value.get("w") else None
                    return interface.ProxyJoined(
                        self._below(value["node"], self.told.proxies),
                        flag(value["cold"]),
                        self._where(value),
                        rate,
                        reads_store=True,
                    )
                case "CLOSED":
                    return interface.ProxyLeft(self._below(value["node"], self.told.proxies))
                case "ACK":
                    mark = (self._below(value["nonce"], MARKS) - self.first_mark) % MARKS
                    return interface.BarrierAck(
                        self._below(value["node"], self.told.proxies), mark, micros(value["latency"])
                    )
                case "GRANT":
                    return interface.SliceGrant(
                        self._below(value["shard"], self.told.slices), flag(value["set"])
                    )
                case "ROW":
                    return interface.StoredOwner(
                        self._below(value["shard"], self.told.slices), self._id(value["endpoint"])
                    )
            return None
        except (KeyError, ValueError) as error:
            raise WireError(f"{type(error).__name__} {error}") from None

    # the registry

    def listing(self, text: str | bytes | bytearray | memoryview) -> Listing:
        """A list or a line of changes. An entry that can't be read is left out and counted."""
        try:
            return self.listed(json.loads(text if isinstance(text, str) else str(text, "utf-8")))
        except (ValueError, RecursionError) as error:
            raise WireError(f"{type(error).__name__} {error}") from None

    def listed(self, told: Any) -> Listing:
        try:
            version, complete, members = whole(told["revision"]), told["complete"], told["members"]
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
                name = self._id(member["id"])
                # A start is a moment: it exceeds every span, and was once refused as too large a figure.
                born = round(figure(member.get("up_since_ms") or 0, UNIX_MS_MOST) * 1000)
                size = figure(member.get("size") or 0)
                entries.append(
                    interface.RegistryEntry(
                        name,
                        str(self._where(member)),
                        STATES[member["phase"]],
                        size if SIZES[0] <= size <= SIZES[1] else None,
                        born or None,
                    )
                )
                if isinstance(address := member.get("host_port"), str):
                    addresses[name] = address
            except (WireError, KeyError, TypeError, ValueError, AttributeError):
                continue
        return Listing(version, complete, tuple(entries), addresses, len(members) - len(entries))

    # orders

    def written(self, order: interface.Order) -> str:
        """One order as the relay reads it."""
        match order:
            case interface.SetTableEntry(table, backend, weight):
                return f"SET,{table},{backend},{plain(weight)}"
            case interface.ClearTable(table):
                return f"DEL,{table}"
            case interface.SetWithdrawn(backend, out):
                return f"{'OUT' if out else 'IN'},{backend}"
            case interface.SetAdmission(table, classes, retry, share):
                names = [kind.name for place, kind in enumerate(self.told.classes) if classes >> place & 1]
                tables = "*" if table is None else table
                return f"LIMIT,{tables},{'+'.join(names) or '*'},{plain(share)},{retry}"
            case interface.Barrier(mark, every_proxy):
                return f"SYNC,{(mark + self.first_mark) % MARKS},{int(every_proxy)}"
        raise TypeError(f"the relay knows no such order: {order!r}")


def form(data: str) -> dict[str, str]:
    """The fields of a form; most come in thousands a second and have nothing escaped."""
    if "%" in data or "+" in data:
        return dict(parse_qsl(data, keep_blank_values=True, strict_parsing=True))
    return dict(word.split("=", 1) for word in data.split("&"))


def plain(value: float) -> str:
    return str(int(value)) if value == int(value) else format(value, ".6g")


def call(orders: Iterable[str]) -> bytes:
    """The form of a relay call."""
    return f"Action=ApplyOrders&orders={quote_plus(';'.join(orders))}".encode()


class Refused(Exception):
    """The relay turned a call back; none of it was carried out."""


def taken(answer: bytes) -> int:
    """How many orders the relay says it took; `Refused` with its word if it turned the call back."""
    try:
        root = ElementTree.fromstring(answer)
    except (ElementTree.ParseError, ValueError, LookupError) as error:
        raise WireError(f"{type(error).__name__} {error}") from None
    count = root.find("entries/item/ok_count")
    if count is not None:
        try:
            return whole((count.text or "").strip())
        except ValueError as error:
            raise WireError(str(error)) from None
    text = " ".join(part.strip() for part in root.itertext())
    for word in ("throttled", "invalid"):
        if word in text.lower():
            raise Refused(word)
    raise WireError(f"neither a count nor a refusal: {text[:80]!r}")
