"""The simulator's wire: reads its lines as events, and writes orders as lines. Makes no decisions."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from typing import Any, TextIO

from lapispass import deployment, interface


class WireError(Exception):
    """A line does not conform to the simulator's wire."""


STATES = {"live": "ready", "quiescing": "draining", "dead": "gone"}
LIST_KINDS = {"incr": "changes", "total": "whole", "warm_copy": "remembered", "lost": "lost"}
ALL_TABLES = 65535  # stands for all tables where the wire expects the number of one


def non_negative(text: str) -> int:
    """Reads a whole number that is not negative."""
    value = int(text)
    if value < 0:
        raise ValueError(f"expected a number of at least 0, got {text!r}")
    return value


def optional(read: Callable[[str], Any]) -> Callable[[str], Any]:
    """A reader that reads `-` as None."""
    return lambda text: None if text == "-" else read(text)


def flag(text: str) -> bool:
    """Reads 0 or 1."""
    if text not in ("0", "1"):
        raise ValueError(f"expected 0 or 1, got {text!r}")
    return text == "1"


def load_values(text: str) -> tuple[float | None, ...] | None:
    """Reads the values of a `load` field, separated by commas; `-` alone means that there is none."""
    if text == "-":
        return None
    return tuple(None if part in ("-", "") else float(part) for part in text.split(","))


def one_of(names: dict[str, str]) -> Callable[[str], str]:
    """A reader of one of the wire's words, which returns the interface's name for it."""

    def read(text: str) -> str:
        if text not in names:
            raise ValueError(f"unknown word {text!r}")
        return names[text]

    return read


optional_float = optional(float)
optional_int = optional(non_negative)

# By verb: the readers of the values after the instance, and the function that makes the event of them.
EVENTS: dict[str, tuple[tuple[Callable[[str], Any], ...], Callable[..., interface.Event]]] = {
    "FIRED": ((non_negative,), interface.TimerFired),
    "CHECK_RESULT": ((non_negative, non_negative, non_negative, load_values), interface.ProbeResult),
    "MESSAGE": (
        (non_negative, lambda text: b"" if text == "-" else bytes.fromhex(text)),
        interface.PeerMessage,
    ),
    "ENROLLED": (
        (flag, non_negative, str, optional_float),
        lambda first, proxy, zone, requests_per_s: interface.ProxyJoined(
            proxy, first, zone, requests_per_s, True
        ),
    ),
    "DROPPED_OFF": ((non_negative,), interface.ProxyLeft),
    "STATS": (
        (non_negative, non_negative, non_negative, non_negative, non_negative, str, load_values),
        lambda failed, tries, latency_us, interval_us, backend, zone, load: interface.ServerReport(
            backend, zone, failed, tries, latency_us, interval_us, load
        ),
    ),
    "INGRESS": (
        (str, non_negative, non_negative, non_negative, non_negative),
        lambda name, failed, requests, interval_us, proxy: interface.RequestReport(
            proxy, name, requests, failed, interval_us
        ),
    ),
    "PRESSURE": (
        (non_negative, non_negative, non_negative, non_negative, str),
        lambda failed, table, interval_us, requests, name: interface.RequestReport(
            table, name, requests, failed, interval_us
        ),
    ),
    "GIVEN": ((non_negative, flag), interface.SliceGrant),
    "RECORDED": (
        (non_negative, non_negative, optional_float),
        lambda table, backend, _w: interface.StoredOwner(table, backend),
    ),
    "TOOK_EFFECT": (
        (non_negative, non_negative, non_negative),
        lambda barrier, proxy, latency_us: interface.BarrierAck(proxy, barrier, latency_us),
    ),
}
ENTRY = (non_negative, str, str, non_negative, one_of(STATES), optional_float, optional_int)


def read_values(line: str, readers: tuple[Callable[[str], Any], ...], skip: int) -> list[Any]:
    """Reads the values of a line, after the first `skip` parts: the verb, or the verb and the instance."""
    parts = line.split("\t")
    if len(parts) != len(readers) + skip:
        raise WireError(f"{parts[0]}: got {len(parts) - 1} values, expected {len(readers) + skip - 1}")
    try:
        return [read(part) for read, part in zip(readers, parts[skip:], strict=True)]
    except ValueError as error:
        raise WireError(f"{parts[0]}: {error}") from None


class Spawn:
    """An instance of the controller starts, with its seed and settings."""

    def __init__(self, line: str) -> None:
        parts = line.split("\t", 3)
        if len(parts) != 4:
            raise WireError("SPAWN: expected instance, seed and settings")
        try:
            self.seed = non_negative(parts[2])
        except ValueError as error:
            raise WireError(f"SPAWN: {error}") from None
        try:
            self.deployment = deployment.read(json.loads(parts[3]))
        except ValueError as error:
            raise WireError(f"SPAWN: settings: {error}") from None


class Detach:
    """An instance of the controller is killed."""


class Batch:
    """One round: its time, its number, and the events of each instance in order."""

    def __init__(self, now: int, round_number: int) -> None:
        self.now = now
        self.round_number = round_number
        self.events: list[tuple[int, interface.Event | Spawn | Detach]] = []


def read_batches(stream: TextIO) -> Iterator[Batch]:
    """Reads rounds until the end of input; errors name the malformed line by its number."""
    line_number = 0

    def next_line() -> str:
        nonlocal line_number
        line = stream.readline()
        line_number += bool(line)
        return line.rstrip("\r\n") if line else "\0"

    while (line := next_line()) != "\0":
        try:
            if not line:
                continue
            if line.split("\t")[0] != "SYNC":
                raise WireError(f"expected SYNC, got {line[:40]!r}")
            batch = Batch(*read_values(line, (non_negative, non_negative), 1))
            while (line := next_line()) != "EOF_BATCH":
                if line == "\0":
                    raise WireError("input ends inside a batch: no EOF_BATCH")
                batch.events.append(_event(line, next_line))
        except WireError as error:
            raise WireError(f"line {line_number}: {error}") from None
        yield batch


def _event(line: str, next_line: Callable[[], str]) -> tuple[int, interface.Event | Spawn | Detach]:
    verb, _, rest = line.partition("\t")
    try:
        instance = non_negative(rest.split("\t", 1)[0])
    except ValueError as error:
        raise WireError(f"{verb[:40]}: instance: {error}") from None
    if verb == "SPAWN":
        return instance, Spawn(line)
    if verb == "DETACH":
        read_values(line, (non_negative,), 1)
        return instance, Detach()
    if verb == "TOPOLOGY":
        kind, _, rows = read_values(
            line, (one_of(LIST_KINDS), optional(non_negative), optional(non_negative)), 2
        )
        entries = []
        for _ in range(rows or 0):
            row = next_line()
            if row.split("\t")[0] != "ENTRY":
                raise WireError(f"expected ENTRY, got {row[:40]!r}")
            backend, zone, _, _, state, weight, started_us = read_values(row, ENTRY, 1)
            entries.append(interface.RegistryEntry(backend, zone, state, weight, started_us or None))
        return instance, interface.RegistryUpdate(kind, tuple(entries))
    if verb not in EVENTS:
        raise WireError(f"unknown verb {verb[:40]!r}")
    readers, make = EVENTS[verb]
    return instance, make(*read_values(line, readers, 2))


def format_number(value: float) -> str:
    """A number as the wire has it: whole, or with six significant digits."""
    return str(int(value)) if value == int(value) else format(value, ".6g")


def format_order(instance: int, order: interface.Order) -> str:
    """Formats one order of an instance as a line of the wire."""
    match order:
        case interface.SetTableEntry(table, backend, weight):
            return f"UPSERT\t{instance}\t{table}\t{format_number(weight)}\t{backend}\n"
        case interface.ClearTable(table):
            return f"DROP_LINES\t{instance}\t{table}\n"
        case interface.SetWithdrawn(backend, withdrawn):
            return f"BENCH\t{instance}\t{int(withdrawn)}\t{backend}\n"
        case interface.SetAdmission(table, classes, retry, share):
            table_or_all = ALL_TABLES if table is None else table
            return f"VALVE\t{instance}\t{table_or_all}\t{classes}\t{retry}\t{format_number(share)}\n"
        case interface.Barrier(barrier, every_proxy):
            return f"CHECKPOINT\t{instance}\t{int(every_proxy)}\t{barrier}\n"
        case interface.BindProxy(proxy, table, classes):
            return f"PIN\t{instance}\t{proxy}\t{table}\t{classes}\n"
        case interface.Probe(backend):
            return f"INSPECT\t{instance}\t{backend}\n"
        case interface.SetTimer(token, at_us):
            return f"NOTIFY_ME\t{instance}\t{token}\t{at_us}\n"
        case interface.WatchRegistry():
            return f"TAIL\t{instance}\t1\n"
        case interface.LogMessage(text):
            return f"RECORD\t{instance}\t{text}\n"
    raise TypeError(f"unknown order: {order!r}")
