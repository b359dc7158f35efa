"""When the registry is asked again for a snapshot."""

from __future__ import annotations

from lapispass.core.turn import Turn
from lapispass.core.units import NEVER, SECOND_US


class RegistryRetry:
    """Spreads the requests of all controllers over time.

    The registry serves them one after the other, and after a network failure or a release all ask at once.
    """

    def __init__(self, turn: Turn, request_at: int) -> None:
        self.turn, self.request_at, self.retry_delay_us = turn, request_at, SECOND_US

    def request_due(self) -> bool:
        """Whether to send a request now; if so, none is due again until the registry fails or answers."""
        due = self.turn.now >= self.request_at
        self.request_at = NEVER if due else self.request_at
        return due

    def lost(self) -> None:
        """Schedules the next request after a failed one, or after the end of a watch."""
        # The delay grows while requests fail, and is drawn at random. Every change in the registry counts as
        # reported after 6 s, so several requests must fit into that time.
        if self.request_at == NEVER:
            self.request_at = self.turn.now + int(self.retry_delay_us * (0.5 + self.turn.random.draw()))
            self.retry_delay_us = min(self.retry_delay_us * 5 // 4, 3 * SECOND_US // 2)

    def answered(self) -> None:
        self.retry_delay_us = SECOND_US
