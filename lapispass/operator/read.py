"""Reads an operator file, whole or not at all: every error names file, line and field."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

from google.protobuf import text_format

from lapispass.core import momentary
from lapispass.core.shared_types import Bounds, ConnectionClass, DrainTerms
from lapispass.interface import Deployment, RequestClass
from lapispass.operator.operator_pb2 import Gate, Node, Operator
from lapispass.operator.places import lines_of
from lapispass.retry import retry_blocking

FILE_BYTES = 4 << 20
ADDRESS = re.compile(r"(?:\[[0-9a-fA-F:]+\]|[\w.-]+):(\d{1,5})\Z")
NAME = re.compile(r"[\w.:-]{1,64}\Z")
MS = 1000


class BadFile(Exception):
    """The operator file can't be used; the text has all findings, one a line, as `file:line: field: why`.

    `may_pass` where it could not be read just now.
    """

    def __init__(self, findings: Iterable[str], may_pass: bool = False) -> None:
        self.findings, self.may_pass = tuple(findings), may_pass
        super().__init__("\n".join(self.findings))


@dataclass(frozen=True, slots=True)
class Source:
    """A file as it was read."""

    path: str
    told: Operator
    lines: dict[str, int]

    def at(self, field: str, why: str) -> str:
        """A finding about a field; where it is missing, the line is that of what should hold it."""
        inner = field
        while inner and inner not in self.lines:
            inner = inner.rpartition(".")[0]
        return f"{self.path}:{self.lines.get(inner, 1)}: {field}: {why}"


def read_at_start(path: str | Path) -> Source:
    """As `read`, which is tried again for a while where the file cannot be read."""
    return retry_blocking(lambda: read(path), lambda error: isinstance(error, BadFile) and error.may_pass)


def read(path: str | Path) -> Source:
    """The file as its schema has it, checked field by field; a `BadFile` otherwise."""
    where = str(path)
    try:
        if Path(path).stat().st_size > FILE_BYTES:
            raise BadFile([f"{where}:1: file: over {FILE_BYTES} bytes"])
        text = Path(path).read_bytes().decode("utf-8")
    except OSError as error:
        raise BadFile([f"{where}:1: file: {error.strerror}"], error.errno in momentary.FILE) from None
    except UnicodeDecodeError as error:
        raise BadFile([f"{where}:1: file: byte {error.start} is no UTF-8"]) from None
    told = Operator()
    try:
        text_format.Parse(text, told)
    except text_format.ParseError as error:
        field = re.search(r'(?:named|field|value for) "([\w.]+)"', str(error))
        line = error.GetLine() or 1
        raise BadFile([f"{where}:{line}: {field[1] if field else 'file'}: {error}"]) from None
    source = Source(where, told, lines_of(text))
    if findings := list(check(source)):
        raise BadFile(findings)
    return source


def check(source: Source) -> Iterator[str]:
    """What no reader of the file could use."""
    told, at = source.told, source.at
    seen: set[str] = set()
    for place, kind in enumerate(told.connection_class):
        field = f"connection_class[{place}]" if place else "connection_class"
        if not NAME.match(kind.name):
            yield at(f"{field}.name", f"{kind.name!r} is no name")
        if kind.name in seen:
            yield at(f"{field}.name", f"{kind.name!r} stands twice")
        seen.add(kind.name)
        if not kind.path_prefix.startswith("/"):
            yield at(f"{field}.path_prefix", f"{kind.path_prefix!r} does not begin with /")
        for earlier in told.connection_class[:place]:
            if earlier.path_prefix and kind.path_prefix.startswith(earlier.path_prefix):
                yield at(f"{field}.path_prefix", f"never reached: {earlier.name!r} takes all of it")
        if kind.HasField("benefit") and not 0 <= kind.benefit < 1e6:
            yield at(f"{field}.benefit", f"{kind.benefit} is not from 0 to a million")
    nodes = told.nodes
    if nodes.HasField("connections") and not nodes.connections:
        yield at("nodes.connections", "0 would refuse everyone")
    if nodes.HasField("new_per_s") and not 0 < nodes.new_per_s < 1e6:
        yield at("nodes.new_per_s", f"{nodes.new_per_s} is not above 0 and under a million")
    if nodes.HasField("cold_share") and not 0 < nodes.cold_share <= 1:
        yield at("nodes.cold_share", f"{nodes.cold_share} is not above 0 and at most 1")
    drain = told.drain
    terms = drain_terms(told)
    if terms.grace_us <= terms.margin_us:
        yield at(
            "drain.margin_ms" if drain.HasField("margin_ms") else "drain.grace_ms",
            "nothing of the grace is left beside the margin",
        )
    if terms.come_back_least_us >= terms.come_back_most_us:
        yield at("drain.come_back_least_ms", "not under come_back_most_ms")
    yield from check_gate(source) if told.HasField("gate") else ()
    if told.HasField("gates"):
        if not address(told.gates.listen):
            yield at("gates.listen", f"{told.gates.listen!r} is no host:port")
        if not told.connection_class:
            yield at("connection_class", "no class: gates could not be planned for")
        if not told.gates.name:
            yield at("gates.name", "no gate may join")
        names: set[str] = set()
        for place, name in enumerate(told.gates.name):
            if not NAME.match(name) or name in names:
                why = "stands twice" if NAME.match(name) else "is no name"
                yield at(f"gates.name[{place}]", f"{name!r} {why}")
            names.add(name)
    yield from check_alone(source)
    yield from check_nodes(source)


def check_alone(source: Source) -> Iterator[str]:
    """A controller without the platform, and its listener for xDS clients."""
    told, at, alone = source.told, source.at, source.told.alone
    if told.HasField("xds"):
        if not address(told.xds.listen):
            yield at("xds.listen", f"{told.xds.listen!r} is no host:port")
        if told.xds.HasField("new_per_s") and not 0 < told.xds.new_per_s < 1e6:
            yield at("xds.new_per_s", f"{told.xds.new_per_s} is not above 0 and under a million")
        for field in ("clients", "burst", "late_ms"):
            if told.xds.HasField(field) and not getattr(told.xds, field):
                yield at(f"xds.{field}", "0 is no bound")
        if told.xds.HasField("tls") and not (told.xds.tls.certificate_file and told.xds.tls.key_file):
            yield at("xds.tls", "certificate_file and key_file belong together")
    if not told.HasField("alone"):
        return
    if not told.HasField("xds"):
        yield at("alone", "nobody could be told: there is no xds")
    if alone.HasField("shared"):
        if not NAME.match(alone.shared.name):
            yield at("alone.shared.name", f"{alone.shared.name!r} is no name")
        if not address(alone.shared.coordination):
            yield at("alone.shared.coordination", f"{alone.shared.coordination!r} is no host:port")
        if alone.shared.HasField("weight") and not 0 <= alone.shared.weight < 1e6:
            yield at("alone.shared.weight", f"{alone.shared.weight} is not from 0 to a million")
    elif not alone.store_file:
        yield at("alone.store_file", "missing: without shared the assignments are kept here")
    if not 0 < alone.slices <= 1 << 16:
        yield at("alone.slices", f"{alone.slices} is not from 1 to {1 << 16}")
    if not told.node:
        yield at("node", "a controller without the platform needs its nodes here")
    names = [kind.name for kind in alone.visit_class]
    if not names:
        yield at("alone.visit_class", "no class of visits")
    for place, kind in enumerate(alone.visit_class):
        field = f"alone.visit_class[{place}]" if place else "alone.visit_class"
        if not NAME.match(kind.name) or kind.name in names[:place]:
            yield at(f"{field}.name", f"{kind.name!r} is no name, or stands twice")
        if not 0 < kind.agreed_ms <= kind.patience_ms:
            yield at(f"{field}.agreed_ms", "not above 0 and at most patience_ms")
    for field in ("lease_ms", "bare_ms"):
        if alone.HasField(field) and getattr(alone, field) < 200:
            yield at(f"alone.{field}", "under 200")
    if alone.HasField("cold_share") and not 0 < alone.cold_share <= 1:
        yield at("alone.cold_share", f"{alone.cold_share} is not above 0 and at most 1")


def check_gate(source: Source) -> Iterator[str]:
    gate, at = source.told.gate, source.at
    if not NAME.match(gate.name):
        yield at("gate.name", f"{gate.name!r} is no name")
    for field in ("listen", "controller"):
        value: str = getattr(gate, field)
        if not address(value) and (value or field == "listen"):
            yield at(f"gate.{field}", f"{value!r} is no host:port")
    if not 0 < gate.slices <= 1 << 20:
        yield at("gate.slices", f"{gate.slices} is not from 1 to {1 << 20}")
    if not source.told.connection_class:
        yield at("connection_class", "no class: every connection would be refused")
    for field in (
        "connections",
        "handshake_ms",
        "ping_ms",
        "pong_ms",
        "close_ms",
        "stuck_ms",
        "fence_ms",
        "buffer_bytes",
        "message_bytes",
        "lease_ms",
    ):
        if gate.HasField(field) and not getattr(gate, field):
            yield at(f"gate.{field}", "0 is no bound")
    if gate.HasField("new_per_s") and not 0 < gate.new_per_s < 1e6:
        yield at("gate.new_per_s", f"{gate.new_per_s} is not above 0 and under a million")
    if gate.controller and source.told.node:
        yield at("node", "nodes come from the controller; only a gate that stands alone names them")
    if not gate.controller and not source.told.node:
        yield at("node", "a gate without a controller needs its nodes here")


def check_nodes(source: Source) -> Iterator[str]:
    told, at = source.told, source.at
    nodes: set[str] = set()
    for place, node in enumerate(told.node):
        field = f"node[{place}]" if place else "node"
        if not NAME.match(node.id) or node.id in nodes:
            yield at(f"{field}.id", f"{node.id!r} {'stands twice' if node.id in nodes else 'is no name'}")
        nodes.add(node.id)
        if not address(node.address):
            yield at(f"{field}.address", f"{node.address!r} is no host:port")
        if node.HasField("weight") and not 0 <= node.weight < 1e6:
            yield at(f"{field}.weight", f"{node.weight} is not from 0 to a million")
    slices: set[int] = set()
    for place, line in enumerate(told.line):
        field = f"line[{place}]" if place else "line"
        if line.slice >= max(1, told.gate.slices) or line.slice in slices:
            yield at(f"{field}.slice", f"slice {line.slice} stands twice or is not under gate.slices")
        slices.add(line.slice)
        if line.owner not in nodes:
            yield at(f"{field}.owner", f"{line.owner!r} is no node of this file")


def address(text: str) -> bool:
    """Whether it is `host:port`."""
    match = ADDRESS.match(text)
    return match is not None and 0 <= int(match[1]) < 65536


def classes(told: Operator) -> tuple[ConnectionClass, ...]:
    return tuple(
        ConnectionClass(
            kind.name,
            kind.path_prefix,
            kind.writes,
            kind.movable,
            kind.benefit if kind.HasField("benefit") else 1.0,
            kind.start_cost_milli / 1000 if kind.HasField("start_cost_milli") else 0.05,
        )
        for kind in told.connection_class
    )


def bounds(told: Operator) -> Bounds:
    """What a node takes, or the usual where the file is silent."""
    given, usual = told.nodes, Bounds()
    return Bounds(
        connections=given.connections if given.HasField("connections") else usual.connections,
        new_per_s=given.new_per_s if given.HasField("new_per_s") else usual.new_per_s,
        burst=given.burst if given.HasField("burst") else usual.burst,
        cold_us=given.cold_ms * MS if given.HasField("cold_ms") else usual.cold_us,
        cold_share=given.cold_share if given.HasField("cold_share") else usual.cold_share,
    )


def drain_terms(told: Operator) -> DrainTerms:
    given, usual = told.drain, DrainTerms()

    def us(field: str) -> int:
        name = f"{field}_ms"
        value: int = getattr(given, name) * MS if given.HasField(name) else getattr(usual, f"{field}_us")
        return value

    return DrainTerms(us("grace"), us("margin"), us("come_back_least"), us("come_back_most"))


def alone(told: Operator) -> Deployment:
    """What a controller without the platform goes by; the channel is as wide as streams of its own are."""
    given = told.alone

    def us(field: str, usual_ms: int) -> int:
        return MS * (getattr(given, field) if given.HasField(field) else usual_ms)

    return Deployment(
        classes=tuple(
            RequestClass(
                kind.name, kind.agreed_ms * MS, kind.patience_ms * MS, kind.benefit, kind.writes, False
            )
            for kind in given.visit_class
        ),
        zones=tuple(sorted({node.zone for node in told.node})),
        proxies=2,  # the store and desk; and whoever acts on what an earlier life has told, for one lease
        slices=given.slices,
        lease_us=us("lease_ms", 3000),
        linger_us=us("write_life_ms", 5000),
        unserved_limit_us=us("bare_ms", 20_000),
        lines_per_s=1e6,
        message_overhead_lines=1.0,
        queue_limit_lines=1e7,
        max_messages=1000,
        message_window_us=10_000 * MS,
        report_interval_us=us("report_ms", 1000),
        default_retry=given.tries if given.HasField("tries") else 1,
        subscribes_to_registry=False,
        probes_allowed=given.probes,
        must_leave_gone=True,
        admission_mode="share",
        cold_us=us("cold_ms", 10_000),
        cold_share=given.cold_share if given.HasField("cold_share") else 0.2,
        cold_overload_factor=2.5,
        load_fields=(),
    )


def secret(path: str, source: Source, field: str) -> bytes:
    """What a key file holds; nothing where none is named."""
    if not path:
        return b""
    try:
        key = (Path(source.path).parent / path).read_bytes().strip()
    except OSError as error:
        raise BadFile([source.at(field, f"{path!r}: {error.strerror}")]) from None
    if not 16 <= len(key) <= 4096:
        raise BadFile([source.at(field, f"{path!r} holds {len(key)} bytes; 16 to 4096 are a key")])
    return key


__all__ = [
    "BadFile",
    "Gate",
    "Node",
    "Source",
    "alone",
    "bounds",
    "classes",
    "drain_terms",
    "read",
    "read_at_start",
    "secret",
]
