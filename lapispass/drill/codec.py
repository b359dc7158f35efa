"""The simulator's wire: lines in, events out; orders in, lines out. No decisions."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from typing import Any, TextIO

from lapispass import deployment, interface


class WireError(Exception):
    """A line that does not follow the wire."""


STATES = {"live": "ready", "quiescing": "draining", "dead": "gone"}
LIST_KINDS = {"incr": "changes", "total": "whole", "warm_copy": "remembered", "lost": "lost"}
ALL_TABLES = 65535


def non_negative(text: str) -> int:
    value = int(text)
    if value < 0:
        raise ValueError(f"negative number {text!r}")
    return value


def optional(read: Callable[[str], Any]) -> Callable[[str], Any]:
    return lambda text: None if text == "-" else read(text)


def flag(text: str) -> bool:
    if text not in ("0", "1"):
        raise ValueError(f"bool {text!r}")
    return text == "1"


def load_values(text: str) -> tuple[float | None, ...] | None:
    if text == "-":
        return None
    return tuple(None if part in ("-", "") else float(part) for part in text.split(","))


def one_of(names: dict[str, str]) -> Callable[[str], str]:
    def read(text: str) -> str:
        if text not in names:
            raise ValueError(f"unknown word {text!r}")
        return names[text]

    return read


optional_float = optional(float)
optional_int = optional(non_negative)

# verb: (readers of the parts after the instance, maker of the event)
EVENTS: dict[str, tuple[tuple[Callable[[str], Any], ...], Callable[..., interface.Event]]] = {
    "FIRED": ((non_negative,), interface.TimerFired),
    "CHECK_RESULT": ((non_negative, non_negative, non_negative, load_values), interface.ProbeResult),
    "MESSAGE": (
        (non_negative, lambda text: b"" if text == "-" else bytes.fromhex(text)),
        interface.PeerMessage,
    ),
    "ENROLLED": (
        (flag, non_negative, str, optional_float),
        lambda first, proxy, zone, visits_per_s: interface.ProxyJoined(
            proxy, first, zone, visits_per_s, True
        ),
    ),
    "DROPPED_OFF": ((non_negative,), interface.ProxyLeft),
    "STATS": (
        (non_negative, non_negative, non_negative, non_negative, non_negative, str, load_values),
        lambda lost, tries, took, over, backend, zone, load: interface.ServerReport(
            backend, zone, lost, tries, took, over, load
        ),
    ),
    "INGRESS": (
        (str, non_negative, non_negative, non_negative, non_negative),
        lambda name, lost, visits, over, proxy: interface.RequestReport(proxy, name, visits, lost, over),
    ),
    "PRESSURE": (
        (non_negative, non_negative, non_negative, non_negative, str),
        lambda lost, table, over, visits, name: interface.RequestReport(table, name, visits, lost, over),
    ),
    "GIVEN": ((non_negative, flag), interface.SliceGrant),
    "RECORDED": (
        (non_negative, non_negative, optional_float),
        lambda table, backend, _w: interface.StoredOwner(table, backend),
    ),
    "TOOK_EFFECT": (
        (non_negative, non_negative, non_negative),
        lambda mark, proxy, took: interface.BarrierAck(proxy, mark, took),
    ),
}
ENTRY = (non_negative, str, str, non_negative, one_of(STATES), optional_float, optional_int)


def read_values(line: str, readers: tuple[Callable[[str], Any], ...], skip: int) -> list[Any]:
    parts = line.split("\t")
    if len(parts) != len(readers) + skip:
        raise WireError(f"{parts[0]}: {len(parts) - 1} values where {len(readers) + skip - 1} belong")
    try:
        return [read(part) for read, part in zip(readers, parts[skip:], strict=True)]
    except ValueError as error:
        raise WireError(f"{parts[0]}: {error}") from None


class Spawn:
    """An instance starts."""

    def __init__(self, line: str) -> None:
        parts = line.split("\t", 3)
        if len(parts) != 4:
            raise WireError("SPAWN: too few values")
        try:
            self.seed = non_negative(parts[2])
        except ValueError as error:
            raise WireError(f"SPAWN: {error}") from None
        try:
            self.deployment = deployment.read(json.loads(parts[3]))
        except ValueError as error:
            raise WireError(f"SPAWN: settings: {error}") from None


class Detach:
    """An instance is killed."""


class Batch:
    """One round: its time, its number and what each instance is told."""

    def __init__(self, now: int, round_number: int) -> None:
        self.now = now
        self.round_number = round_number
        self.events: list[tuple[int, interface.Event | Spawn | Detach]] = []


def read_batches(stream: TextIO) -> Iterator[Batch]:
    """Reads rounds until the end of input; says where the input goes wrong."""
    at = 0

    def following() -> str:
        nonlocal at
        line = stream.readline()
        at += bool(line)
        return line.rstrip("\r\n") if line else "\0"

    while (line := following()) != "\0":
        try:
            if not line:
                continue
            if line.split("\t")[0] != "SYNC":
                raise WireError(f"SYNC expected, not {line[:40]!r}")
            batch = Batch(*read_values(line, (non_negative, non_negative), 1))
            while (line := following()) != "EOF_BATCH":
                if line == "\0":
                    raise WireError("input ends inside a batch")
                batch.events.append(_event(line, following))
        except WireError as error:
            raise WireError(f"line {at}: {error}") from None
        yield batch


def _event(line: str, following: Callable[[], str]) -> tuple[int, interface.Event | Spawn | Detach]:
    verb, _, rest = line.partition("\t")
    try:
        who = non_negative(rest.split("\t", 1)[0])
    except ValueError as error:
        raise WireError(f"{verb[:40]}: instance: {error}") from None
    if verb == "SPAWN":
        return who, Spawn(line)
    if verb == "DETACH":
        read_values(line, (non_negative,), 1)
        return who, Detach()
    if verb == "TOPOLOGY":
        kind, _, rows = read_values(
            line, (one_of(LIST_KINDS), optional(non_negative), optional(non_negative)), 2
        )
        entries = []
        for _ in range(rows or 0):
            row = following()
            if row.split("\t")[0] != "ENTRY":
                raise WireError(f"ENTRY expected, not {row[:40]!r}")
            backend, zone, _, _, state, weight, born = read_values(row, ENTRY, 1)
            entries.append(interface.RegistryEntry(backend, zone, state, weight, born or None))
        return who, interface.RegistryUpdate(kind, tuple(entries))
    if verb not in EVENTS:
        raise WireError(f"unknown verb {verb[:40]!r}")
    readers, make = EVENTS[verb]
    return who, make(*read_values(line, readers, 2))


def format_number(value: float) -> str:
    return str(int(value)) if value == int(value) else format(value, ".6g")


def format_order(who: int, order: interface.Order) -> str:
    """One order as a line of the wire."""
    match order:
        case interface.SetTableEntry(table, backend, weight):
            return f"UPSERT\t{who}\t{table}\t{format_number(weight)}\t{backend}\n"
        case interface.ClearTable(table):
            return f"DROP_LINES\t{who}\t{table}\n"
        case interface.SetWithdrawn(backend, out):
            return f"BENCH\t{who}\t{int(out)}\t{backend}\n"
        case interface.SetAdmission(table, classes, retry, share):
            wide = ALL_TABLES if table is None else table
            return f"VALVE\t{who}\t{wide}\t{classes}\t{retry}\t{format_number(share)}\n"
        case interface.Barrier(mark, every_proxy):
            return f"CHECKPOINT\t{who}\t{int(every_proxy)}\t{mark}\n"
        case interface.BindProxy(proxy, table, classes):
            return f"PIN\t{who}\t{proxy}\t{table}\t{classes}\n"
        case interface.Probe(backend):
            return f"INSPECT\t{who}\t{backend}\n"
        case interface.SetTimer(token, at_us):
            return f"NOTIFY_ME\t{who}\t{token}\t{at_us}\n"
        case interface.WatchRegistry():
            return f"TAIL\t{who}\t1\n"
        case interface.LogMessage(text):
            return f"RECORD\t{who}\t{text}\n"
    raise TypeError(f"no such order: {order!r}")
