"""Sizes, counts and time-outs of the network code, set at the start and passed to each component."""

from __future__ import annotations

from dataclasses import dataclass

from lapispass.core.memory_budget import plan_memory

BASE_MEMORY_MB = 26  # of the process before it has clients
CONNECTION_BYTES = 10 << 10  # of one that is idle, with its reader
DEFAULT_MEMORY_MB = 64  # where the configuration does not say
MIN_SOCKETS = 96  # the process, the relay and the registry need about twenty of them


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on the resources that a peer can use, and on the time that it is waited for.

    Times are in microseconds.
    """

    # Sizes in bytes.
    read_bytes: int = 64 << 10  # one read
    quantum_bytes: int = 4 << 10  # handled from one connection before the others are served
    message_bytes: int = 1 << 20  # one line of a collector or of the relay's event stream
    answer_bytes: int = 64 << 10  # the response to a relay call or to a probe
    list_bytes: int = 8 << 20  # the whole server list, as a body or a watch line: `servers` of 512 bytes each
    config_bytes: int = 16 << 20  # the configuration: a whole server list, and as much again for the settings
    call_bytes: int = 60_000  # the orders in one relay call
    id_bytes: int = 256
    unsent_bytes: int = 16 << 10  # unread answers to pings beyond which no further ping is read

    # Counts.
    connections: int = 512  # at the listening address; at most half of the descriptors
    memory_mb: int = DEFAULT_MEMORY_MB  # of the process, which is killed if it uses more
    accept_batch: int = 32  # accepted in one go, and allowed beyond `connections` while others are closing
    backlog: int = 1024  # connections that wait in the system's accept queue
    probes: int = 64  # under way at once; the others are queued, at most as many as there are servers
    # Events queued for one turn, from which on summed reports are dropped. Other events are accepted up to
    # twice as many. The limit is raised where a full snapshot has more events.
    events: int = 20_000
    servers: int = 16_384  # in one list; the addresses of twice as many are kept
    # Malformed lines in a row after which a joined collector's stream is considered corrupt.
    unreadable_lines: int = 20

    # Consecutive failed attempts, each of which doubles the time for the next one, up to this many doublings.
    snapshot_doublings: int = 2  # reading the relay's snapshot; calls wait meanwhile
    list_doublings: int = 3  # reading a list that arrived, but too slowly
    malformed_snapshots: int = (
        3  # snapshots with malformed events before one is accepted without these events
    )

    # Times.
    # A client must be rejected or closed within 3 s of connecting.
    join_us: int = 2_000_000  # from connecting until a client has joined or sent a request
    message_us: int = 2_000_000  # for a message that arrives in pieces
    eviction_grace_us: int = 100_000  # after its last bytes a client is not evicted for lack of room
    # With all connections in use: how long an incomplete message is waited for, and how long a connection
    # stays in the accept queue while no client is idle.
    room_wait_us: int = 150_000
    unread_us: int = 2_000_000  # for a client to read the answers that are queued for it
    flush_us: int = 250_000  # for unsent bytes when a connection is closed
    linger_us: int = 200_000  # between a rejection and the close, for the client to read the rejection
    connect_us: int = 1_000_000  # the first attempt to connect; each time-out doubles it for the next one
    connect_max_us: int = 2_000_000  # the upper bound of that
    answer_us: int = 200_000  # a relay answers within 50 ms or never; the rest covers a late wake-up here
    list_us: int = 2_000_000  # until the list or the response head of a watch arrives
    watch_idle_us: int = 3_000_000  # idle time-out of a watch, which sends a heartbeat every 2 s
    # Time after which a lost watch is reopened although it was not requested, give or take a fifth. A change
    # of the list counts as known 6 s after it was made, received or not: by then there was another attempt.
    watch_reopen_us: int = 4_500_000
    # Time without updates after which a watch is replaced by a new one, give or take a fifth.
    watch_renew_us: int = 20_000_000
    watch_renew_max_us: int = 80_000_000  # its upper bound, while the registry answers slowly or fails
    watch_renew_slow_us: int = 300_000  # a registry that takes longer to answer counts as slow
    unlisted_us: int = 1_000_000  # how long a server that others name may be missing from the list
    events_idle_us: int = (
        2_500_000  # idle time-out of the relay's event stream; it has a heartbeat each second
    )
    snapshot_us: int = 500_000  # until the relay begins to send its snapshot, and again until it is complete
    snapshot_gap_us: int = 100_000  # a pause after which the snapshot counts as complete
    heartbeat_us: int = 250_000  # between two calls that only show whether the relay answers
    call_idle_us: int = 3_000_000  # a call connection that was unused for this long is not reused
    probe_us: int = 750_000
    retry_min_us: int = 50_000  # the first wait before a peer is tried again; doubles with each attempt
    retry_max_us: int = 500_000  # the upper bound of that wait
    stable_stream_us: int = 5_000_000  # an event stream that lasted this long resets the wait
    late_us: int = (
        100_000  # a process that wakes up later than this was stalled; it reads pending input first
    )
    clock_step_us: int = 100_000  # the smallest step of the wall clock that is logged
    log_every_us: int = 1_000_000  # between two log lines of a kind that a peer can cause
    report_us: int = 10_000_000  # between two reports of the slowest operations
    slice_lines: int = 50  # log lines on unserved slices between two such reports
    bind_us: int = 3_000_000  # for a process that still holds the listening address to exit
    # The shutdown must be over before a SIGKILL, which comes 0.7 s after SIGTERM.
    drain_us: int = 150_000  # clients that keep sending requests are served this long,
    drain_idle_us: int = 50_000  # or until none has sent a request for this long
    stop_us: int = 300_000  # for connections to close

    @property
    def client_bytes(self) -> int:
        """What all clients together may have the process hold; see `core.memory_budget`."""
        return plan_memory(self.memory_mb, BASE_MEMORY_MB, self.connections, CONNECTION_BYTES).client_bytes

    @classmethod
    def for_sockets(
        cls, sockets: int, proxies: int = 0, slices: int = 0, memory_mb: int = DEFAULT_MEMORY_MB
    ) -> Limits:
        """Divides the process's descriptors, and its memory, among its tasks.

        Half go to the listening address and a quarter to probes; the rest is for the relay, the registry and
        the process itself. The event limit is raised so that one turn can take a whole snapshot of the relay:
        all proxies and slices.
        """
        usual = cls()
        if sockets < MIN_SOCKETS:
            raise ValueError(f"limits.sockets {sockets}: at least {MIN_SOCKETS} are needed")
        connections = min(usual.connections, sockets // 2)
        return cls(
            connections=plan_memory(memory_mb, BASE_MEMORY_MB, connections, CONNECTION_BYTES).connections,
            memory_mb=memory_mb,
            probes=min(usual.probes, sockets // 4),
            accept_batch=min(usual.accept_batch, sockets // 16),
            events=max(usual.events, 2 * proxies + 3 * slices),
        )
