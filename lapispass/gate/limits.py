"""All sizes, counts and times of a gate, filled at its start from the operator file and handed down."""

from __future__ import annotations

from dataclasses import dataclass, replace

from lapispass.operator.operator_pb2 import Gate

MS = 1000


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what clients, nodes and the controller may cost; times in microseconds."""

    # sizes in bytes
    read_bytes: int = 16 << 10  # one read of a client or a node
    head_bytes: int = 16 << 10  # the head of an upgrade
    buffer_bytes: int = 64 << 10  # unsent in one direction, before the other side is read no further
    message_bytes: int = (
        4 << 20
    )  # one message, all its fragments; it is passed on as it comes and never gathered
    line_bytes: int = 4 << 20  # a message of the controller
    key_bytes: int = 512

    # counts
    connections: int = 20_000  # held
    handshakes_at_once: int = 1_000  # between being accepted and standing
    backlog: int = 1024
    at_once: int = 128  # accepted at once
    new_per_s: float = 500.0
    burst: int = 100

    # times
    handshake_us: int = 5_000_000  # until the whole head of an upgrade is there
    connect_us: int = 2_000_000  # to a node
    upgrade_us: int = 5_000_000  # until a node has answered the upgrade
    ping_us: int = 20_000_000
    pong_us: int = 10_000_000
    idle_us: int = 0  # without any message; 0: never ended for that
    stuck_us: int = 20_000_000  # a peer that has not read for so long is ended
    close_us: int = 2_000_000  # for a close handshake
    flush_us: int = 500_000  # for what is unsent when a connection ends
    fence_us: int = 1_500_000  # until a node must have shown that it has read all
    quiet_us: int = 200_000  # without a message of the old node, before a move ends it
    late_us: int = 100_000  # a process later than this stood still, and reads what waits first
    tick_us: int = 100_000
    report_us: int = 500_000
    heartbeat_us: int = 300_000
    lease_us: int = 3_000_000  # without word of the controller, writes stop by then
    retry_min_us: int = 50_000
    retry_max_us: int = 1_000_000
    log_every_us: int = 1_000_000
    stop_us: int = 3_000_000  # for orderly closes at the end

    @classmethod
    def from_settings(cls, gate: Gate) -> Limits:
        """The usual, with what the operator file sets in its place."""
        usual, given = cls(), {}
        for name in ("connections", "new_per_s", "burst", "buffer_bytes", "message_bytes"):
            if gate.HasField(name):
                given[name] = getattr(gate, name)
        for name in ("handshake", "ping", "pong", "idle", "stuck", "close", "fence", "quiet", "lease"):
            if gate.HasField(f"{name}_ms"):
                given[f"{name}_us"] = getattr(gate, f"{name}_ms") * MS
        return replace(usual, **given)
