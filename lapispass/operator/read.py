"""Reads and checks the operator file. Every error names the file, the line and the field."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

from google.protobuf import text_format

from lapispass.core import transient_errors
from lapispass.core.shared_types import DEFAULT_ANSWER_US, Bounds, ConnectionClass, DrainTerms
from lapispass.interface import Deployment, RequestClass
from lapispass.operator import memory
from lapispass.operator.line_numbers import line_numbers
from lapispass.operator.operator_pb2 import Gate, Node, Operator
from lapispass.retry import retry_blocking

FILE_BYTES = 4 << 20
ADDRESS = re.compile(r"(?:\[[0-9a-fA-F:]+\]|[\w.-]+):(\d{1,5})\Z")
NAME = re.compile(r"[\w.:-]{1,64}\Z")
MS = 1000
DEFAULT_WRITE_LIFE_US = 5000 * MS  # how long a server may work on a write that it has been sent
# After half of this a standalone gate admits reads at the new owner of a slice whose writes still wait.
GATE_UNSERVED_US = 2000 * MS


class BadFile(Exception):
    """The operator file is invalid. The message lists all errors, one a line, as `file:line: field: reason`.

    `is_transient`: a system call failed, and may succeed when it is tried again.
    """

    def __init__(self, findings: Iterable[str], is_transient: bool = False) -> None:
        self.findings, self.is_transient = tuple(findings), is_transient
        super().__init__("\n".join(self.findings))


@dataclass(frozen=True, slots=True)
class Source:
    """The content of an operator file, with the line number of each field."""

    path: str
    settings: Operator
    lines: dict[str, int]

    def at(self, field: str, why: str) -> str:
        """Formats an error. If the field is missing, the line is that of the enclosing message."""
        inner = field
        while inner and inner not in self.lines:
            inner = inner.rpartition(".")[0]
        return f"{self.path}:{self.lines.get(inner, 1)}: {field}: {why}"


def read_at_start(path: str | Path) -> Source:
    """Calls `read`, and retries transient errors for a while."""
    return retry_blocking(lambda: read(path), lambda error: isinstance(error, BadFile) and error.is_transient)


def read(path: str | Path) -> Source:
    """Reads the file and checks every field; raises `BadFile` with all errors found."""
    path_text = str(path)
    try:
        if Path(path).stat().st_size > FILE_BYTES:
            raise BadFile([f"{path_text}:1: file: larger than {FILE_BYTES} bytes"])
        text = Path(path).read_bytes().decode("utf-8")
    except OSError as error:
        raise BadFile(
            [f"{path_text}:1: file: {error.strerror}"], error.errno in transient_errors.FILE
        ) from None
    except UnicodeDecodeError as error:
        raise BadFile([f"{path_text}:1: file: byte {error.start} is not valid UTF-8"]) from None
    settings = Operator()
    try:
        text_format.Parse(text, settings)
    except text_format.ParseError as error:
        field = re.search(r'(?:named|field|value for) "([\w.]+)"', str(error))
        line = error.GetLine() or 1
        raise BadFile([f"{path_text}:{line}: {field[1] if field else 'file'}: {error}"]) from None
    source = Source(path_text, settings, line_numbers(text))
    if findings := list(check(source)):
        raise BadFile(findings)
    return source


def check(source: Source) -> Iterator[str]:
    """Yields all errors in the file, formatted by `Source.at`."""
    settings, at = source.settings, source.at
    seen: set[str] = set()
    for index, kind in enumerate(settings.connection_class):
        field = f"connection_class[{index}]" if index else "connection_class"
        if not NAME.match(kind.name):
            yield at(
                f"{field}.name", f"expected a name (at most 64 letters, digits and _.:-), got {kind.name!r}"
            )
        if kind.name in seen:
            yield at(f"{field}.name", f"{kind.name!r} is listed twice")
        seen.add(kind.name)
        if not kind.path_prefix.startswith("/"):
            yield at(f"{field}.path_prefix", f"{kind.path_prefix!r} does not begin with a slash")
        for earlier in settings.connection_class[:index]:
            if earlier.path_prefix and kind.path_prefix.startswith(earlier.path_prefix):
                yield at(f"{field}.path_prefix", f"unreachable: {earlier.name!r} matches every such path")
        if kind.HasField("benefit") and not 0 <= kind.benefit < 1e6:
            yield at(f"{field}.benefit", f"expected a number from 0 to a million, got {kind.benefit}")
        usable_ms = drain_terms(settings).usable_us // MS
        if kind.answer_ms and kind.answer_ms >= usable_ms:
            yield at(
                f"{field}.answer_ms",
                f"{kind.answer_ms} is not shorter than the grace period without its margin, {usable_ms}",
            )
    nodes = settings.nodes
    if nodes.HasField("connections") and not nodes.connections:
        yield at("nodes.connections", "0 would reject all connections")
    if nodes.HasField("new_per_s") and not 0 < nodes.new_per_s < 1e6:
        yield at("nodes.new_per_s", f"expected a number above 0 and below a million, got {nodes.new_per_s}")
    if nodes.HasField("cold_share") and not 0 < nodes.cold_share <= 1:
        yield at("nodes.cold_share", f"expected a number above 0 and at most 1, got {nodes.cold_share}")
    drain = settings.drain
    terms = drain_terms(settings)
    if terms.grace_us <= terms.margin_us:
        yield at(
            "drain.margin_ms" if drain.HasField("margin_ms") else "drain.grace_ms",
            "the margin must be shorter than the grace period",
        )
    if terms.come_back_least_us >= terms.come_back_most_us:
        yield at("drain.come_back_least_ms", "must be below come_back_most_ms")
    yield from check_gate(source) if settings.HasField("gate") else ()
    if settings.HasField("gates"):
        if not address(settings.gates.listen):
            yield at("gates.listen", f"expected host:port, got {settings.gates.listen!r}")
        if not settings.connection_class:
            yield at("connection_class", "expected at least one class to plan gates with")
        if not settings.gates.name:
            yield at("gates.name", "expected at least one name: no gate could join")
        names: set[str] = set()
        for index, name in enumerate(settings.gates.name):
            if not NAME.match(name) or name in names:
                why = "is listed twice" if NAME.match(name) else "is not a name"
                yield at(f"gates.name[{index}]", f"{name!r} {why}")
            names.add(name)
    yield from check_alone(source)
    yield from check_nodes(source)
    yield from check_memory(source)


def check_alone(source: Source) -> Iterator[str]:
    """Yields errors in the settings of a controller without the platform and of the xDS server."""
    settings, at, alone = source.settings, source.at, source.settings.alone
    if settings.HasField("xds"):
        if not address(settings.xds.listen):
            yield at("xds.listen", f"expected host:port, got {settings.xds.listen!r}")
        if settings.xds.HasField("new_per_s") and not 0 < settings.xds.new_per_s < 1e6:
            yield at(
                "xds.new_per_s",
                f"expected a number above 0 and below a million, got {settings.xds.new_per_s}",
            )
        for field in ("clients", "burst", "late_ms"):
            if settings.xds.HasField(field) and not getattr(settings.xds, field):
                yield at(f"xds.{field}", "expected a number above 0, got 0")
        if settings.xds.HasField("tls") and not (
            settings.xds.tls.certificate_file and settings.xds.tls.key_file
        ):
            yield at("xds.tls", "certificate_file and key_file must be given together")
    if not settings.HasField("alone"):
        return
    if not settings.HasField("xds"):
        yield at("alone", "requires xds: without it there is no client to serve")
    if alone.HasField("shared"):
        if not NAME.match(alone.shared.name):
            yield at(
                "alone.shared.name",
                f"expected a name (at most 64 letters, digits and _.:-), got {alone.shared.name!r}",
            )
        if not address(alone.shared.coordination):
            yield at("alone.shared.coordination", f"expected host:port, got {alone.shared.coordination!r}")
        if alone.shared.HasField("weight") and not 0 <= alone.shared.weight < 1e6:
            yield at(
                "alone.shared.weight", f"expected a number from 0 to a million, got {alone.shared.weight}"
            )
    elif not alone.store_file:
        yield at("alone.store_file", "missing: without shared, this file stores the assignments")
    if not 0 < alone.slices <= 1 << 16:
        yield at("alone.slices", f"{alone.slices} slices are not within 1 to {1 << 16}")
    if not settings.node:
        yield at("node", "a controller without the platform requires a list of nodes")
    names = [kind.name for kind in alone.visit_class]
    if not names:
        yield at("alone.visit_class", "expected at least one class of requests")
    for index, kind in enumerate(alone.visit_class):
        field = f"alone.visit_class[{index}]" if index else "alone.visit_class"
        if not NAME.match(kind.name) or kind.name in names[:index]:
            yield at(f"{field}.name", f"{kind.name!r} is not a name or is listed twice")
        if not 0 < kind.agreed_ms <= kind.patience_ms:
            yield at(f"{field}.agreed_ms", "must be above 0 and at most patience_ms")
    for field in ("lease_ms", "bare_ms"):
        if alone.HasField(field) and getattr(alone, field) < 200:
            yield at(f"alone.{field}", "must be at least 200")
    if alone.HasField("cold_share") and not 0 < alone.cold_share <= 1:
        yield at("alone.cold_share", f"expected a number above 0 and at most 1, got {alone.cold_share}")


def check_memory(source: Source) -> Iterator[str]:
    """Findings where the memory does not allow the connections that the file names."""
    settings, at = source.settings, source.at
    plans = []
    if settings.HasField("gate"):
        plans.append(("gate.connections", settings.gate.connections, memory.gate_memory(settings)))
    if settings.HasField("alone"):
        plans.append(("xds.clients", settings.xds.clients, memory.xds_memory(settings)))
    for field, count, plan in plans:
        if plan.connections < count:
            yield at(
                field,
                f"{count} do not fit into limits.memory_mb, which is {plan.memory_mb}: it is enough for "
                f"{plan.connections} connections",
            )


def check_gate(source: Source) -> Iterator[str]:
    gate, at = source.settings.gate, source.at
    if not NAME.match(gate.name):
        yield at("gate.name", f"expected a name (at most 64 letters, digits and _.:-), got {gate.name!r}")
    for field in ("listen", "controller"):
        value: str = getattr(gate, field)
        if not address(value) and (value or field == "listen"):
            yield at(f"gate.{field}", f"expected host:port, got {value!r}")
    if not 0 < gate.slices <= 1 << 20:
        yield at("gate.slices", f"{gate.slices} slices are not within 1 to {1 << 20}")
    if not source.settings.connection_class:
        yield at("connection_class", "expected at least one class: every connection would be rejected")
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
        "write_life_ms",
    ):
        if gate.HasField(field) and not getattr(gate, field):
            yield at(f"gate.{field}", "expected a number above 0, got 0")
    if gate.HasField("new_per_s") and not 0 < gate.new_per_s < 1e6:
        yield at("gate.new_per_s", f"expected a number above 0 and below a million, got {gate.new_per_s}")
    if gate.controller and gate.HasField("write_life_ms"):
        yield at("gate.write_life_ms", "only for a standalone gate; this one's controller knows how long")
    if gate.controller and source.settings.node:
        yield at("node", "only a standalone gate lists nodes; this one gets them from its controller")
    if not gate.controller and not source.settings.node:
        yield at("node", "a gate without a controller requires a list of nodes")


def check_nodes(source: Source) -> Iterator[str]:
    settings, at = source.settings, source.at
    nodes: set[str] = set()
    for index, node in enumerate(settings.node):
        field = f"node[{index}]" if index else "node"
        if not NAME.match(node.id) or node.id in nodes:
            yield at(
                f"{field}.id", f"{node.id!r} {'is listed twice' if node.id in nodes else 'is not a name'}"
            )
        nodes.add(node.id)
        if not address(node.address):
            yield at(f"{field}.address", f"expected host:port, got {node.address!r}")
        if node.HasField("weight") and not 0 <= node.weight < 1e6:
            yield at(f"{field}.weight", f"expected a number from 0 to a million, got {node.weight}")
    slices: set[int] = set()
    for index, line in enumerate(settings.line):
        field = f"line[{index}]" if index else "line"
        if line.slice >= max(1, settings.gate.slices) or line.slice in slices:
            yield at(f"{field}.slice", f"slice {line.slice} is listed twice or is not below gate.slices")
        slices.add(line.slice)
        if line.owner not in nodes:
            yield at(f"{field}.owner", f"{line.owner!r} is not a node of this file")


def address(text: str) -> bool:
    """Whether the text is `host:port`."""
    match = ADDRESS.match(text)
    return match is not None and 0 <= int(match[1]) < 65536


def classes(settings: Operator) -> tuple[ConnectionClass, ...]:
    return tuple(
        ConnectionClass(
            kind.name,
            kind.path_prefix,
            kind.writes,
            kind.movable,
            kind.benefit if kind.HasField("benefit") else 1.0,
            kind.start_cost_milli / 1000 if kind.HasField("start_cost_milli") else 0.05,
            kind.answer_ms * MS if kind.HasField("answer_ms") else DEFAULT_ANSWER_US,
        )
        for kind in settings.connection_class
    )


def bounds(settings: Operator) -> Bounds:
    """The bounds on the connections of a node; defaults for fields that the file omits."""
    given, defaults = settings.nodes, Bounds()
    return Bounds(
        connections=given.connections if given.HasField("connections") else defaults.connections,
        new_per_s=given.new_per_s if given.HasField("new_per_s") else defaults.new_per_s,
        burst=given.burst if given.HasField("burst") else defaults.burst,
        cold_us=given.cold_ms * MS if given.HasField("cold_ms") else defaults.cold_us,
        cold_share=given.cold_share if given.HasField("cold_share") else defaults.cold_share,
    )


def drain_terms(settings: Operator) -> DrainTerms:
    given, defaults = settings.drain, DrainTerms()

    def us(field: str) -> int:
        name = f"{field}_ms"
        value: int = getattr(given, name) * MS if given.HasField(name) else getattr(defaults, f"{field}_us")
        return value

    return DrainTerms(us("grace"), us("margin"), us("come_back_least"), us("come_back_most"))


def alone(settings: Operator) -> Deployment:
    """The deployment of a controller without the platform. Its own streams hardly limit its messages."""
    given = settings.alone

    def us(field: str, default_ms: int) -> int:
        return MS * (getattr(given, field) if given.HasField(field) else default_ms)

    return Deployment(
        classes=tuple(
            RequestClass(
                kind.name, kind.agreed_ms * MS, kind.patience_ms * MS, kind.benefit, kind.writes, False
            )
            for kind in given.visit_class
        ),
        zones=tuple(sorted({node.zone for node in settings.node})),
        proxies=2,  # the store with the xDS server; clients of an earlier incarnation, for one lease
        slices=given.slices,
        lease_us=us("lease_ms", 3000),
        linger_us=us("write_life_ms", DEFAULT_WRITE_LIFE_US // MS),
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


def standalone_gate(settings: Operator) -> Deployment:
    """The deployment of a standalone gate, which is the only proxy of its own controller.

    The gate has no lease, as no connection lies between the two. Its nodes report nothing and are not probed.
    """
    gate = settings.gate
    write_life_us = MS * gate.write_life_ms if gate.HasField("write_life_ms") else DEFAULT_WRITE_LIFE_US
    return Deployment(
        classes=tuple(
            RequestClass(kind.name, write_life_us, write_life_us, kind.value, kind.writes, False)
            for kind in classes(settings)
        ),
        zones=tuple(sorted({node.zone for node in settings.node})),
        proxies=0,
        slices=gate.slices,
        lease_us=0,
        linger_us=write_life_us,
        unserved_limit_us=GATE_UNSERVED_US,
        lines_per_s=1e6,
        message_overhead_lines=1.0,
        queue_limit_lines=1e7,
        max_messages=1000,
        message_window_us=10_000 * MS,
        report_interval_us=1000 * MS,
        default_retry=1,
        subscribes_to_registry=False,
        probes_allowed=False,
        must_leave_gone=True,
        admission_mode="share",
        cold_us=0,
        cold_share=1.0,
        cold_overload_factor=2.5,
        load_fields=(),
    )


def secret(path: str, source: Source, field: str) -> bytes:
    """The content of a key file; empty if `path` is."""
    if not path:
        return b""
    try:
        key = (Path(source.path).parent / path).read_bytes().strip()
    except OSError as error:
        raise BadFile([source.at(field, f"{path!r}: {error.strerror}")]) from None
    if not 16 <= len(key) <= 4096:
        raise BadFile([source.at(field, f"{path!r} has {len(key)} bytes, a key has 16 to 4096")])
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
    "standalone_gate",
]
