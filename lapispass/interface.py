"""What the decision module is told and what it orders, in the project's own words.

A front turns its protocol into these events and these orders into its protocol.
Times are whole microseconds; ids are handed back as they came: numbers from one front, words from another.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

BackendId = int | str


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of visit, as the deployment lists it."""

    name: str
    deadline_us: int
    client_timeout_us: int
    value: float
    writes: bool
    same_zone_only: bool
    repeatable: bool = True  # may run again: after any failure, at any server, at any time


@dataclass(frozen=True, slots=True)
class Deployment:
    """What an operator tells a controller at its start."""

    classes: tuple[RequestClass, ...]
    zones: tuple[str, ...]
    proxies: int
    slices: int
    lease_us: int
    linger_us: int
    unserved_limit_us: int
    lines_per_s: float
    message_overhead_lines: float
    queue_limit_lines: float
    max_messages: int
    message_window_us: int
    report_interval_us: int
    default_retry: int
    subscribes_to_registry: bool
    probes_allowed: bool
    must_leave_gone: bool  # a server that the list calls gone must be left, though it was never seen to drain
    admission_mode: str  # levels are a 'share', a 'rate' at each proxy, or have no effect: 'none'
    cold_us: int
    cold_share: float
    cold_overload_factor: float  # sent so many times what it can do, a cold server falls over
    load_fields: tuple[str, ...]
    turn_interval_us: int = 5000  # a front hands over news no more often


class RegistryEntry(NamedTuple):
    """One backend in the list."""

    backend: BackendId
    zone: str
    state: str
    weight: float | None
    started_us: int | None


# Events


class RegistryUpdate(NamedTuple):
    """News of the list: 'changes', 'whole', 'remembered' (whole, perhaps outdated) or 'lost'."""

    kind: str
    entries: tuple[RegistryEntry, ...]


class TimerFired(NamedTuple):
    """A wake-up that was asked for has come."""

    token: int


class ProbeResult(NamedTuple):
    """What a probe found; reason 0 is an answer."""

    backend: BackendId
    reason: int
    took_us: int
    load: tuple[float | None, ...] | None


class ProxyJoined(NamedTuple):
    """A proxy's stream stands.

    `reads_store`: the stream stands since just now, and the proxy reads the slices' tables from the store on
    it. Until then it writes by what it holds, for a lease after its last stream ended.
    """

    proxy: int
    first_stream: bool
    zone: str
    requests_per_s: float | None
    reads_store: bool = False


class ProxyLeft(NamedTuple):
    """A proxy's stream ended."""

    proxy: int


class ServerReport(NamedTuple):
    """What the proxies of a zone met at a backend."""

    backend: BackendId
    zone: str
    failed: int
    tries: int
    mean_latency_us: int
    interval_us: int
    load: tuple[float | None, ...] | None


class RequestReport(NamedTuple):
    """Visits of a class that came for a slice, or (without slices) to a proxy."""

    target: int
    request_class: str
    requests: int
    failed: int
    interval_us: int


class SliceGrant(NamedTuple):
    """The store puts a slice in this controller's charge, or takes it out."""

    slice: int
    granted: bool


class StoredOwner(NamedTuple):
    """The owner that the store holds for a slice just given."""

    slice: int
    backend: BackendId


class BarrierAck(NamedTuple):
    """A proxy has applied everything up to a mark."""

    proxy: int
    barrier: int
    latency_us: int


class HeldConnectionLoad(NamedTuple):
    """What the connections that are held at a backend cost it, in visits a second, all gates together."""

    backend: BackendId
    requests_per_s: float


class PeerMessage(NamedTuple):
    """A peer controller sent bytes."""

    peer: int
    data: bytes


Event = (
    RegistryUpdate
    | TimerFired
    | ProbeResult
    | ProxyJoined
    | ProxyLeft
    | ServerReport
    | RequestReport
    | SliceGrant
    | StoredOwner
    | BarrierAck
    | HeldConnectionLoad
    | PeerMessage
)


# Orders


class SetTableEntry(NamedTuple):
    """Set a table's line for a backend (an exclusive slice: its owner)."""

    table: int
    backend: BackendId
    weight: float


class ClearTable(NamedTuple):
    """Take all lines and levels out of a table."""

    table: int


class SetWithdrawn(NamedTuple):
    """Shut a backend out of all tables, or let it in again."""

    backend: BackendId
    withdrawn: bool


class SetAdmission(NamedTuple):
    """Set the share of some classes that a table lets in (table None: all tables)."""

    table: int | None
    class_mask: int
    retry: int
    share: float


class Barrier(NamedTuple):
    """Ask each proxy that this turn reaches (or every one) to answer."""

    number: int
    every_proxy: bool


class BindProxy(NamedTuple):
    """Put a proxy on a table, where there are no slices."""

    proxy: int
    table: int
    class_mask: int


class Probe(NamedTuple):
    """Examine a backend."""

    backend: BackendId


class SetTimer(NamedTuple):
    """Ask for a wake-up."""

    token: int
    at_us: int


class WatchRegistry(NamedTuple):
    """Ask for the list and its changes from now on."""


class LogMessage(NamedTuple):
    """A line for whoever is on call."""

    text: str


Order = (
    SetTableEntry
    | ClearTable
    | SetWithdrawn
    | SetAdmission
    | Barrier
    | BindProxy
    | Probe
    | SetTimer
    | WatchRegistry
    | LogMessage
)
