"""All sizes, counts and times of a gate. They are read from the operator file at the start and passed
down."""

from __future__ import annotations

from dataclasses import dataclass, replace

from lapispass.operator.memory import GATE_CONNECTIONS, gate_memory
from lapispass.operator.operator_pb2 import Operator

MS = 1000


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on the resources that clients, nodes and the controller may use. Times are in microseconds."""

    # sizes in bytes
    read_bytes: int = 16 << 10  # one read from a client or a node
    head_bytes: int = 16 << 10  # the head of an upgrade request
    client_bytes: int = 64 << 20  # held for all clients together; see `core.memory_budget`
    buffer_bytes: int = 64 << 10  # unsent bytes in one direction; above this the other side is not read
    # One message with all its fragments. It is forwarded as it arrives and never held as a whole.
    message_bytes: int = 4 << 20
    line_bytes: int = 4 << 20  # a message from the controller
    key_bytes: int = 512

    # counts
    head_fields: int = 100  # header fields of an upgrade request
    query_fields: int = 100  # parameters in its target
    list_words: int = 100  # comma-separated words in a header field that the gate reads
    connections: int = GATE_CONNECTIONS  # held
    handshakes_at_once: int = 1_000  # accepted, but the upgrade is not complete
    backlog: int = 1024
    at_once: int = 128  # connections accepted in one pass
    new_per_s: float = 500.0
    burst: int = 100

    # times
    handshake_us: int = 5_000_000  # until the whole head of an upgrade request has arrived
    connect_us: int = 2_000_000  # for a connection to a node
    upgrade_us: int = 5_000_000  # until a node has answered the upgrade request
    ping_us: int = 20_000_000
    pong_us: int = 10_000_000
    idle_us: int = 0  # idle time-out, without any message; 0 turns it off
    stuck_us: int = 20_000_000  # a peer that has not read for this long is disconnected
    close_us: int = 2_000_000  # for a close handshake
    flush_us: int = 500_000  # to send the remaining bytes when a connection ends
    fence_us: int = 1_500_000  # until a node must have shown that it has read everything sent to it
    quiet_us: int = 200_000  # silence on the old node's connection before a move closes it
    # A timer that fires later than this means that the process was stalled. It then reads waiting input
    # first.
    late_us: int = 100_000
    tick_us: int = 100_000
    report_us: int = 500_000
    heartbeat_us: int = 300_000
    lease_us: int = 3_000_000  # without an answer of the controller, writes stop after this time
    retry_min_us: int = 50_000
    retry_max_us: int = 1_000_000
    log_every_us: int = 1_000_000
    stop_us: int = 3_000_000  # for close handshakes when the gate stops

    @property
    def reader_bytes(self) -> int:
        """Unread input, at twice of which no more is taken from the system."""
        return self.read_bytes // 4

    @classmethod
    def from_settings(cls, settings: Operator) -> Limits:
        """The defaults, with the values of the operator file where it sets them."""
        defaults, overrides, gate = cls(), {}, settings.gate
        for name in ("connections", "new_per_s", "burst", "buffer_bytes", "message_bytes"):
            if gate.HasField(name):
                overrides[name] = getattr(gate, name)
        for name in ("handshake", "ping", "pong", "idle", "stuck", "close", "fence", "quiet", "lease"):
            if gate.HasField(f"{name}_ms"):
                overrides[f"{name}_us"] = getattr(gate, f"{name}_ms") * MS
        plan = gate_memory(settings)
        overrides |= {"connections": plan.connections, "client_bytes": plan.client_bytes}
        return replace(defaults, **overrides)
