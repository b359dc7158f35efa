"""Rule 2 for held connections: when a gate may acknowledge a barrier.

A held connection that can write leads to the node that owned its slice when the connection was opened. A new
table takes effect at once: from then on nothing more is written under the older table. But data written
before may still be under way. A barrier is therefore acknowledged only when each connection affected by the
change is *confirmed*: its node has shown that it has read everything written to it, by the pong to a ping
sent after the last message (RFC 6455 5.5.3) or by the close handshake; or the connection to the node was cut
and the longest lifetime of a write has passed since. `docs/design/gate.md` has the proof.
"""

from __future__ import annotations

from collections import deque


class WriteBarriers:
    """Barriers in the order of their arrival, and the connections that each still waits for."""

    def __init__(self) -> None:
        self.unconfirmed: set[int] = set()  # stopped by a table change; not known to be read yet
        # Bounded by the controller, which sends one barrier per turn, in order.
        self.pending: deque[tuple[int, set[int]]] = deque()

    def await_confirmation(self, number: int) -> None:
        """A connection may no longer write, and what it has written is not confirmed yet."""
        self.unconfirmed.add(number)

    def confirm(self, number: int) -> None:
        """The node of a connection has read everything, or the connection to it was cut long enough ago."""
        self.unconfirmed.discard(number)
        for _, waiting_for in self.pending:
            waiting_for.discard(number)

    def request(self, barrier: int) -> None:
        """A barrier has arrived, after the changes that it follows. A repeated one is acknowledged again."""
        self.pending.append((barrier, set(self.unconfirmed)))

    def take_completed(self) -> list[int]:
        """Removes and returns the barriers that can be acknowledged now, in order."""
        ready = []
        while self.pending and not self.pending[0][1]:
            ready.append(self.pending.popleft()[0])
        return ready

    def reset(self) -> None:
        """The stream to the controller is a new one, and nobody waits for barriers of the old one any more.

        Connections that are unconfirmed remain so.
        """
        self.pending.clear()


class WriteLease:
    """How long a gate may pass writes on without hearing from its controller.

    The controller counts from the moment when it lost the gate. The gate counts from the moment when it
    *sent* the last heartbeat that was answered, which is never later. Writes stop `early_us` before the lease
    ends, so that writes under way can be confirmed by then.
    """

    def __init__(self, length_us: int, early_us: int) -> None:
        self.length_us, self.max_early_us = length_us, early_us
        self.expires_at = 0

    @property
    def early_us(self) -> int:
        """How long before its end the lease stops writes; at most half of the lease.

        The limit matters where a controller shortens the lease later: writes must not stop for good.
        """
        return min(self.max_early_us, self.length_us // 2)

    def renew(self, sent_us: int) -> None:
        self.expires_at = max(self.expires_at, sent_us + self.length_us)

    def allows_writes(self, now: int) -> bool:
        """Whether writes may be sent to nodes now."""
        return now < self.expires_at - self.early_us
