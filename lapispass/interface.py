"""What the decision module is told and what it orders, in the project's own words.

A front turns its protocol into these events and these orders into its protocol.
Times are whole microseconds; ids are handed back as they came: numbers from one front, words from another.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

BackendId = int | str


@dataclass(frozen=True, slots=True)
class VisitClass:
    """One class of visit, as the deployment lists it."""

    name: str
    agreed_us: int
    patience_us: int
    benefit: float
    writes: bool
    own_zone: bool
    repeats: bool = True  # may run again: after any failure, at any server, at any time


@dataclass(frozen=True, slots=True)
class Deployment:
    """What an operator tells a controller at its start."""

    classes: tuple[VisitClass, ...]
    zones: tuple[str, ...]
    proxies: int
    slices: int
    lease_us: int
    linger_us: int
    bare_us: int
    lines_per_s: float
    head_lines: float
    queue_lines: float
    messages_most: int
    messages_over_us: int
    report_every_us: int
    usual_retry: int
    asks_for_list: bool
    may_probe: bool
    gone_binds: bool  # a server that the list calls gone must be left, though it was never seen to drain
    admits: str  # levels are a 'share', a 'rate' at each proxy, or have no effect: 'none'
    cold_us: int
    cold_share: float
    fall_multiple: float  # sent so many times what it can do, a cold server falls over
    load_fields: tuple[str, ...]
    turn_every_us: int = 5000  # a front hands over news no more often


class Entry(NamedTuple):
    """One backend in the list."""

    backend: BackendId
    zone: str
    state: str
    weight: float | None
    born_us: int | None


# Events


class Listed(NamedTuple):
    """News of the list: 'changes', 'whole', 'remembered' (whole, perhaps outdated) or 'lost'."""

    kind: str
    entries: tuple[Entry, ...]


class Woken(NamedTuple):
    """A wake-up that was asked for has come."""

    token: int


class Probed(NamedTuple):
    """What a probe found; reason 0 is an answer."""

    backend: BackendId
    reason: int
    took_us: int
    load: tuple[float | None, ...] | None


class Joined(NamedTuple):
    """A proxy's stream stands.

    `reads_store`: the stream stands since just now, and the proxy reads the slices' tables from the store on
    it. Until then it writes by what it holds, for a lease after its last stream ended.
    """

    proxy: int
    first: bool
    zone: str
    visits_per_s: float | None
    reads_store: bool = False


class Left(NamedTuple):
    """A proxy's stream ended."""

    proxy: int


class Met(NamedTuple):
    """What the proxies of a zone met at a backend."""

    backend: BackendId
    zone: str
    lost: int
    tries: int
    took_us: int
    over_us: int
    load: tuple[float | None, ...] | None


class Came(NamedTuple):
    """Visits of a class that came for a slice, or (without slices) to a proxy."""

    place: int
    visit_class: str
    visits: int
    lost: int
    over_us: int


class Given(NamedTuple):
    """The store puts a slice in this controller's charge, or takes it out."""

    slice: int
    ours: bool


class Held(NamedTuple):
    """The owner that the store holds for a slice just given."""

    slice: int
    backend: BackendId


class Answered(NamedTuple):
    """A proxy has applied everything up to a mark."""

    proxy: int
    mark: int
    took_us: int


class Holding(NamedTuple):
    """What the connections that are held at a backend cost it, in visits a second, all gates together."""

    backend: BackendId
    load: float


class Said(NamedTuple):
    """A peer controller sent bytes."""

    peer: int
    data: bytes


Event = Listed | Woken | Probed | Joined | Left | Met | Came | Given | Held | Answered | Holding | Said


# Orders


class Own(NamedTuple):
    """Set a table's line for a backend (an exclusive slice: its owner)."""

    table: int
    backend: BackendId
    weight: float


class Empty(NamedTuple):
    """Take all lines and levels out of a table."""

    table: int


class Withdraw(NamedTuple):
    """Shut a backend out of all tables, or let it in again."""

    backend: BackendId
    out: bool


class Admit(NamedTuple):
    """Set the share of some classes that a table lets in (table None: all tables)."""

    table: int | None
    classes: int
    retry: int
    share: float


class Mark(NamedTuple):
    """Ask each proxy that this turn reaches (or every one) to answer."""

    number: int
    every_proxy: bool


class Bind(NamedTuple):
    """Put a proxy on a table, where there are no slices."""

    proxy: int
    table: int
    classes: int


class Probe(NamedTuple):
    """Examine a backend."""

    backend: BackendId


class Wake(NamedTuple):
    """Ask for a wake-up."""

    token: int
    at_us: int


class Follow(NamedTuple):
    """Ask for the list and its changes from now on."""


class Log(NamedTuple):
    """A line for whoever is on call."""

    text: str


Order = Own | Empty | Withdraw | Admit | Mark | Bind | Probe | Wake | Follow | Log
