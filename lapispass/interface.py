"""The events that a controller receives and the orders that it returns.

A front end translates its protocol into these events, and these orders into its protocol.
Times are whole microseconds. Ids are returned as they were received: some front ends use numbers, others use
strings.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

BackendId = int | str


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests, as the settings list it."""

    name: str
    deadline_us: int  # the latency that requests of this class are meant to stay below
    client_timeout_us: int  # clients give up after this time
    value: float  # what one completed request is worth, relative to the other classes
    writes: bool
    same_zone_only: bool  # requests are only sent to servers in the proxy's own zone
    repeatable: bool = True  # may run again: after any failure, at any server, at any time


@dataclass(frozen=True, slots=True)
class Deployment:
    """The settings that an operator gives a controller at its start."""

    classes: tuple[RequestClass, ...]
    zones: tuple[str, ...]
    proxies: int  # how many there are; proxies are numbered from 0
    slices: int  # how many there are; 0 for a deployment without slices
    lease_us: int  # how long a proxy may go on sending writes after its stream has ended
    linger_us: int  # how long a server may still be working on a write that it has received
    unserved_limit_us: int  # how long a slice may be without a backend to pick
    lines_per_s: float  # how many lines a second the channel to the proxies carries
    message_overhead_lines: float  # the fixed cost of one message to one proxy, in lines
    queue_limit_lines: float  # how many lines may wait in the channel
    max_messages: int  # how many messages may be sent to a proxy within `message_window_us`
    message_window_us: int
    report_interval_us: int
    default_retry: int  # how freely requests are retried, 0 to 3; 1: only those that provably never ran
    subscribes_to_registry: bool  # the controller must order `WatchRegistry` to get updates
    probes_allowed: bool
    must_leave_gone: bool  # slices leave a server that the registry lists as gone, even if it never drained
    admission_mode: str  # levels are a 'share', a 'rate' at each proxy, or have no effect: 'none'
    cold_us: int  # how long a server is cold after its start
    cold_share: float  # the share of its capacity that a server has right after its start
    cold_overload_factor: float  # a cold server that is sent this many times its capacity fails
    load_fields: tuple[str, ...]  # the meaning of each value in the `load` of reports and probes
    turn_interval_us: int = 5000  # a front end delivers events no more often than this


class RegistryEntry(NamedTuple):
    """One backend as the registry lists it."""

    backend: BackendId
    zone: str
    state: str
    weight: float | None
    started_us: int | None  # by the registry's clock


# Events


class RegistryUpdate(NamedTuple):
    """An update from the registry.

    The kinds are 'changes', 'whole' (a snapshot), 'remembered' (a snapshot that may be outdated) and 'lost'
    (the connection to the registry).
    """

    kind: str
    entries: tuple[RegistryEntry, ...]


class TimerFired(NamedTuple):
    """A timer that `SetTimer` had set has fired."""

    token: int


class ProbeResult(NamedTuple):
    """The result of a probe; reason 0 means that the backend answered."""

    backend: BackendId
    reason: int
    took_us: int
    load: tuple[float | None, ...] | None


class ProxyJoined(NamedTuple):
    """A proxy's stream is established.

    `reads_store`: the stream has only just been established, and the proxy reads the slices' tables from the
    store on it. Until then it routes writes by the tables that it holds, for at most a lease after its last
    stream ended.
    """

    proxy: int
    first_stream: bool  # the proxy has had no earlier stream
    zone: str
    requests_per_s: float | None
    reads_store: bool = False


class ProxyLeft(NamedTuple):
    """A proxy's stream ended."""

    proxy: int


class ServerReport(NamedTuple):
    """What the proxies of a zone observed at a backend during one interval."""

    backend: BackendId
    zone: str
    failed: int
    tries: int
    mean_latency_us: int  # of the tries that succeeded
    interval_us: int
    load: tuple[float | None, ...] | None


class RequestReport(NamedTuple):
    """How many requests of a class arrived during one interval."""

    target: int  # the slice, or the proxy where there are no slices
    request_class: str
    requests: int
    failed: int  # may exceed `requests`: a request may fail in the interval after the one it arrived in
    interval_us: int


class SliceGrant(NamedTuple):
    """The store assigns a slice to this controller, or takes it away."""

    slice: int
    granted: bool


class StoredOwner(NamedTuple):
    """The owner that the store holds for a slice that was just granted.

    `writes_blocked`: the owner serves reads alone so far, since an earlier one may still hold writes.
    """

    slice: int
    backend: BackendId
    writes_blocked: bool = False


class PreferredOwner(NamedTuple):
    """The operator prefers this owner for a slice, which is handed over there if the backend is ready."""

    slice: int
    backend: BackendId


class BarrierAck(NamedTuple):
    """A proxy has applied all orders up to a barrier."""

    proxy: int
    barrier: int
    latency_us: int


class HeldConnectionLoad(NamedTuple):
    """The load that held connections put on a backend, in requests a second, summed over all gates."""

    backend: BackendId
    requests_per_s: float


class PeerMessage(NamedTuple):
    """Bytes received from a peer controller."""

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
    | PreferredOwner
    | BarrierAck
    | HeldConnectionLoad
    | PeerMessage
)


# Orders


class SetTableEntry(NamedTuple):
    """Set a table's entry for a backend; the table of an exclusive slice has one entry, its owner."""

    table: int
    backend: BackendId
    weight: float


class ClearTable(NamedTuple):
    """Remove all entries and admission levels from a table."""

    table: int


class SetWithdrawn(NamedTuple):
    """Withdraw a backend from all tables, or let it in again."""

    backend: BackendId
    withdrawn: bool


class SetAdmission(NamedTuple):
    """Set the share of some classes that a table admits (table None: all tables)."""

    table: int | None
    class_mask: int  # bit n stands for class n of the deployment
    retry: int
    share: float


class Barrier(NamedTuple):
    """Ask the proxies that this turn's message reaches, or all, to acknowledge all orders before it."""

    number: int
    every_proxy: bool


class BindProxy(NamedTuple):
    """Assign some classes of a proxy to a table, in a deployment without slices."""

    proxy: int
    table: int
    class_mask: int  # bit n stands for class n of the deployment


class Probe(NamedTuple):
    """Probe a backend."""

    backend: BackendId


class SetTimer(NamedTuple):
    """Set a timer: `TimerFired` is due at this time."""

    token: int
    at_us: int


class WatchRegistry(NamedTuple):
    """Request a snapshot of the registry and all its changes from now on."""


class LogMessage(NamedTuple):
    """A line for the log that the operator on call reads."""

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
