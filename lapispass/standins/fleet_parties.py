"""The state of a simulated fleet: its size, its deployment, and its servers, streams and controller hosts."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from lapispass import interface

MS = 1000
SECOND = 1000 * MS
READ, WRITE = 0, 1  # the classes of requests
SLOW_STREAM_DELAY = 5 * SECOND  # extra delay of messages to a slow proxy


class ControllerCore(Protocol):
    """A controller's core, which gets events and returns orders, one turn at a time."""

    def turn(self, now: int, events: list[interface.Event]) -> list[interface.Order]: ...


class Size(NamedTuple):
    """The size of a fleet."""

    controllers: int = 3
    proxies: int = 12
    servers: int = 30
    slices_each: int = 3


def deployment(size: Size) -> interface.Deployment:
    """The deployment that an operator would configure for a fleet of this size, with a realistic channel."""
    slices = size.slices_each * size.servers
    pace = max(4000.0, slices * size.proxies / 6)
    return interface.Deployment(
        classes=(
            interface.RequestClass("look", 1500 * MS, 5 * SECOND, 1.0, False, False),
            interface.RequestClass("pay", 2 * SECOND, 4 * SECOND, 3.0, True, False),
        ),
        zones=("east", "west"),
        proxies=size.proxies,
        slices=slices,
        lease_us=2 * SECOND,
        linger_us=3 * SECOND,
        unserved_limit_us=20 * SECOND,
        lines_per_s=pace,
        message_overhead_lines=12.0,
        queue_limit_lines=2 * pace,
        max_messages=0,
        message_window_us=10 * SECOND,
        report_interval_us=SECOND,
        default_retry=1,
        subscribes_to_registry=True,
        probes_allowed=True,
        must_leave_gone=True,
        admission_mode="share",
        cold_us=15 * SECOND,
        cold_share=0.12,
        cold_overload_factor=2.5,
        load_fields=(),
    )


@dataclass
class Server:
    """A server: what it can serve, and the requests that it got recently."""

    zone: str
    capacity: float  # requests per second when warm
    started_at: int = 0
    up: bool = True
    failing: float = 0.0  # share of its requests that fail at once
    recent_requests: deque[int] = field(default_factory=deque)

    def warmth(self, settings: interface.Deployment, now: int) -> float:
        age = (now - self.started_at) / settings.cold_us if self.started_at else 1.0
        return min(1.0, settings.cold_share + (1 - settings.cold_share) * age)


class Message(NamedTuple):
    """The orders of one turn, on the way to one proxy."""

    sent_at_line: float  # the channel has sent the message when it has sent this many lines
    issued: int
    orders: list[tuple[interface.Order, int]]  # each with the step of the slice's table


@dataclass
class Stream:
    """A proxy's stream to one controller."""

    joined_at: int = -1  # -1 while the stream is broken
    left_at: int = 0
    reads_at: int = 0
    withdrawn: set[str] = field(default_factory=set)
    waiting: deque[Message] = field(default_factory=deque)
    in_transit: deque[tuple[int, Message]] = field(default_factory=deque)
    has_joined_before: bool = False
    applied: int = 0  # issue time of the last applied message
    slow_until: int = 0  # messages sent before this time take `SLOW_STREAM_DELAY` longer

    def late_us(self, now: int) -> int:
        """How much later than the platform's `late-most-us` a message may arrive now."""
        return SLOW_STREAM_DELAY if now < self.slow_until + SLOW_STREAM_DELAY + SECOND else 0


@dataclass
class ControllerHost:
    """The host of one controller: its process, its channel, its registry watch, and what it has received."""

    number: int
    process: ControllerCore | None = None
    events: list[interface.Event] = field(default_factory=list)
    watch_at: int | None = None  # when the watch opens or has opened
    received: int = 0  # number of changes of the list that were delivered
    known: int = 0  # number of changes that a restarted process remembers
    draining_since: dict[str, int] = field(
        default_factory=dict
    )  # servers that must not be used, with the time at which this host learned of it
    start_seen_at: dict[str, int] = field(
        default_factory=dict
    )  # started servers, with the time at which this host learned of the start
    lines_written: float = 0.0  # lines put into the channel
    lines_sent: float = 0.0  # lines that the channel has sent
    pace: float = 1.0  # speed of the channel, as a share of the configured one
    limits_paused_until: int = (
        0  # time limits of rules 1 and 3 are suspended while the channel or a call is disturbed
    )
    lost_answer_share: float = 0.0  # share of its calls that get no answer
    call_settles_at: int = 0
    held_back: list[list[interface.Order]] = field(default_factory=list)
    calls: int = 0
