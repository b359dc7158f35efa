"""All sizes, counts and times of the network code, filled at start and handed down."""

from __future__ import annotations

from dataclasses import dataclass

MIN_SOCKETS = 96  # the process, relay and registry need some twenty of them


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what peers may cost, and how long the transport waits for them; times in microseconds."""

    # sizes in bytes
    read_bytes: int = 64 << 10  # one read
    quantum_bytes: int = 4 << 10  # of one connection, until others have their turn
    message_bytes: int = 1 << 20  # a line of a collector or of the news
    answer_bytes: int = 64 << 10  # what a relay call or a probe may answer
    list_bytes: int = 8 << 20  # the whole list, as a body or a line of a watch: `servers` of 512 bytes each
    config_bytes: int = 16 << 20  # the configuration: a whole list, and as much again for the settings
    call_bytes: int = 60_000  # orders in one relay call
    id_bytes: int = 256
    unsent_bytes: int = 16 << 10  # answers to pings; while more wait to be read, no further ping is read

    # counts
    connections: int = 512  # at the listening address, 6 KB each; half of the descriptors at most
    accept_batch: int = 32  # taken at once, beyond those
    backlog: int = 1024  # wait to be taken, in the system's hands
    probes: int = 64  # under way at once; the others wait in line, at most as many as there are servers
    # gathered for one turn, sums among them; twice as many without. More where all that stands is more
    events: int = 20_000
    servers: int = 16_384  # in one list; the addresses of twice as many are kept
    unreadable_lines: int = (
        20  # lines in a row, of a collector that has joined, before its stream counts as spoilt for good
    )

    # attempts that failed in a row, each of which doubles the time for the next, up to so many
    snapshot_doublings: int = 2  # at what stands at the relay; calls wait meanwhile
    list_doublings: int = 3  # lists that came, but too slowly
    malformed_snapshots: int = 3  # that hold what can't be read, before one is taken as it is

    # times
    # A rejection or a close is owed within 3 s of connecting.
    join_us: int = 2_000_000  # from connecting until a client has joined or asked
    message_us: int = 2_000_000  # for a message that comes in pieces
    eviction_grace_us: int = (
        100_000  # in which a client is not closed for lack of room, after it has said something
    )
    room_wait_us: int = (
        150_000  # for which an unfinished message is waited for, and a client where nobody is idle
    )
    unread_us: int = 2_000_000  # for a client to read the answers that wait for it
    flush_us: int = 250_000  # for what is unsent when a connection ends
    linger_us: int = 200_000  # from a rejection until the close, for the client to read it
    connect_us: int = 1_000_000  # a first attempt to connect; the next one gets twice as long ...
    connect_max_us: int = 2_000_000  # ... up to this, once attempts run out of time
    answer_us: int = 200_000  # a relay answers within 50 ms or never; the rest is for a late wake-up here
    list_us: int = 2_000_000  # until the list or the head of a watch's answer comes
    watch_idle_us: int = 3_000_000  # a watch gives a sign of life every 2 s
    # What the list has to tell counts as told 6 s on, heard or not: by then the next attempt has been made.
    watch_reopen_us: int = (
        4_500_000  # a lost watch that nobody asks for is opened all the same, more or less a fifth
    )
    watch_renew_us: int = (
        20_000_000  # a watch that told nothing for so long is opened anew, more or less a fifth ...
    )
    watch_renew_max_us: int = (
        80_000_000  # ... and up to this, while a registry is slow to answer that, or fails
    )
    watch_renew_slow_us: int = 300_000
    unlisted_us: int = 1_000_000  # a server that others name may be missing from the list for so long
    events_idle_us: int = 2_500_000  # the relay gives a sign of life each second
    snapshot_us: int = 500_000  # until the relay begins to tell what stands, and again until it is done
    snapshot_gap_us: int = 100_000  # news that pause for so long have told all that stands
    call_idle_us: int = 3_000_000  # a call connection unused for so long is not used again
    probe_us: int = 750_000
    retry_min_us: int = 50_000  # first wait before a party is tried again; doubles ...
    retry_max_us: int = 500_000  # ... up to this
    stable_stream_us: int = 5_000_000  # a stream of news that lasted so long was a good one
    late_us: int = 100_000  # a process later than this stood still, and reads what waits first
    clock_step_us: int = 100_000  # of the wall clock, from which on it is logged
    log_every_us: int = 1_000_000  # for lines that a peer can cause
    report_us: int = 10_000_000  # between two reports of what was slow
    slice_lines: int = 50  # of the log, on slices without a line, between two such reports
    bind_us: int = 3_000_000  # for a process that still holds the listening address to end
    # The end, which is over before a SIGKILL 0.7 s after SIGTERM.
    drain_us: int = 150_000  # clients that go on asking are served for so long ...
    drain_idle_us: int = 50_000  # ... unless none has asked for so long
    stop_us: int = 300_000  # for connections to close

    @classmethod
    def for_sockets(cls, sockets: int, proxies: int = 0, slices: int = 0) -> Limits:
        """Shares out the descriptors: half to the listening address, a quarter to probes, the rest to relay,
        registry and the process itself. What a relay may tell at once, all proxies and slices, goes into one
        turn.
        """
        usual = cls()
        if sockets < MIN_SOCKETS:
            raise ValueError(f"limits.sockets {sockets}: at least {MIN_SOCKETS} are needed")
        return cls(
            connections=min(usual.connections, sockets // 2),
            probes=min(usual.probes, sockets // 4),
            accept_batch=min(usual.accept_batch, sockets // 16),
            events=max(usual.events, 2 * proxies + 3 * slices),
        )
