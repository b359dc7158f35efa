"""Rule 2 through held connections: when a gate may answer a mark.

A held connection that can write is a way to the owner that its slice had when it was opened. The table is
obeyed at once: from the change on nothing more is written by the older one. But what was written before may
still be on its way. So a mark is answered only when each connection that the change concerned has been
*proven*: its node has shown (by the answer to a ping sent behind the last message, RFC 6455 5.5.3, or by
the close handshake) that it has read all that was written, or the way there was cut and the longest life of
a write has passed since. `docs/design/gate.md` has the proof.
"""

from __future__ import annotations

from collections import deque


class WriteBarriers:
    """Marks in the order they came, and the connections each still waits for."""

    def __init__(self) -> None:
        self.unconfirmed: set[int] = set()  # stopped by a change, not yet shown to be read
        self.pending: deque[tuple[int, set[int]]] = (
            deque()
        )  # bounded by the controller: one mark a turn, in order

    def await_confirmation(self, number: int) -> None:
        """A connection may no longer write, and has written what is not proven yet."""
        self.unconfirmed.add(number)

    def confirm(self, number: int) -> None:
        """Its node has read all, or the way there is cut for long enough."""
        self.unconfirmed.discard(number)
        for _, waits in self.pending:
            waits.discard(number)

    def request(self, mark: int) -> None:
        """A mark has come, behind the changes it follows. One asked again is answered again."""
        self.pending.append((mark, set(self.unconfirmed)))

    def take_completed(self) -> list[int]:
        """The marks that can be answered now, in order; each is handed out once."""
        ready = []
        while self.pending and not self.pending[0][1]:
            ready.append(self.pending.popleft()[0])
        return ready

    def reset(self) -> None:
        """The stream to the controller began anew: marks of the old one are nobody's. Proofs are still
        owed."""
        self.pending.clear()


class WriteLease:
    """How long a gate may let writes through without word from its controller.

    The controller counts from when it missed the gate; the gate from when it *sent* the last beat that was
    answered, which is never later. Writes stop `early_us` before the end, so that what is on its way can be
    proven by then.
    """

    def __init__(self, length_us: int, early_us: int) -> None:
        self.length_us, self.max_early_us = length_us, early_us
        self.expires_at = 0

    @property
    def early_us(self) -> int:
        """Half of a short lease at most: one that a controller shortens later must not stop writes for
        good."""
        return min(self.max_early_us, self.length_us // 2)

    def renew(self, sent_us: int) -> None:
        self.expires_at = max(self.expires_at, sent_us + self.length_us)

    def allows_writes(self, now: int) -> bool:
        """Whether writes may go out."""
        return now < self.expires_at - self.early_us
