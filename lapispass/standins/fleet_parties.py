"""The parties of a fleet in simulated time: its size, its settings, and what is known of each party."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from lapispass import interface

MS = 1000
SECOND = 1000 * MS
READ, WRITE = 0, 1  # the classes of requests
SLOW_STREAM_DELAY = 5 * SECOND  # for what is told to a proxy that is slow


class ControllerCore(Protocol):
    """A controller, as a front drives it."""

    def turn(self, now: int, events: list[interface.Event]) -> list[interface.Order]: ...


class Size(NamedTuple):
    """How large a fleet is."""

    controllers: int = 3
    proxies: int = 12
    servers: int = 30
    slices_each: int = 3


def deployment(size: Size) -> interface.Deployment:
    """What an operator would tell controllers of such a fleet; its channel is as the platform's would be."""
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
    """What it can do now, and what it was sent of late."""

    zone: str
    capacity: float  # requests a second when warm
    started_at: int = 0
    up: bool = True
    failing: float = 0.0  # the part of its requests that it fails at once
    recent_requests: deque[int] = field(default_factory=deque)

    def warmth(self, settings: interface.Deployment, now: int) -> float:
        age = (now - self.started_at) / settings.cold_us if self.started_at else 1.0
        return min(1.0, settings.cold_share + (1 - settings.cold_share) * age)


class Message(NamedTuple):
    """A turn's orders on their way to one proxy."""

    sent_at_line: float  # when so many lines have left the channel
    issued: int
    orders: list[tuple[interface.Order, int]]  # each with the step of the slice's table


@dataclass
class Stream:
    """A proxy's stream to one controller."""

    joined_at: int = -1  # -1: broken
    left_at: int = 0
    reads_at: int = 0
    withdrawn: set[str] = field(default_factory=set)
    waiting: deque[Message] = field(default_factory=deque)
    in_transit: deque[tuple[int, Message]] = field(default_factory=deque)
    has_joined_before: bool = False
    applied: int = 0  # when the last message that it has applied was ordered
    slow_until: int = 0  # messages that leave the channel until then take `SLOWER` longer

    def late_us(self, now: int) -> int:
        """How much later than the platform's `late-most-us` a message may come now."""
        return SLOW_STREAM_DELAY if now < self.slow_until + SLOW_STREAM_DELAY + SECOND else 0


@dataclass
class ControllerHost:
    """Where a controller runs: its process, its channel, its watch, and what it was told."""

    number: int
    process: ControllerCore | None = None
    events: list[interface.Event] = field(default_factory=list)
    watch_at: int | None = None  # the watch opens, or has opened, then
    received: int = 0  # changes of the list that it was given
    known: int = 0  # a restart knows the list as it was then
    draining_since: dict[str, int] = field(
        default_factory=dict
    )  # unfit servers, since when this host was told
    start_seen_at: dict[str, int] = field(
        default_factory=dict
    )  # cold servers, since when it was told of their start
    lines_written: float = 0.0  # lines into the channel
    lines_sent: float = 0.0  # lines out of it
    pace: float = 1.0  # of the stated one
    limits_paused_until: int = (
        0  # rule 1's and 3's limits wait while the channel or a call is not as it should be
    )
    lost_answer_share: float = 0.0  # the part of its calls whose answer does not come
    call_settles_at: int = 0
    held_back: list[list[interface.Order]] = field(default_factory=list)
    calls: int = 0
