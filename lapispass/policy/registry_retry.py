"""When the registry is asked again for its list."""

from __future__ import annotations

from lapispass.core.turn import Turn
from lapispass.core.units import NEVER, SECOND_US


class RegistryRetry:
    """Guards the registry, which serves all controllers in turn: after a cut or a release all ask at once."""

    def __init__(self, turn: Turn, ask_at: int) -> None:
        self.turn, self.ask_at, self.patience_us = turn, ask_at, SECOND_US

    def asks(self) -> bool:
        """Whether it is asked now; then not again until it has answered."""
        due = self.turn.now >= self.ask_at
        self.ask_at = NEVER if due else self.ask_at
        return due

    def lost(self) -> None:
        """A call has failed, or a watch has ended."""
        # Waits grow while calls fail, each by its own chance. What it has to tell counts as told after 6 s in
        # any case, so several calls must fit into that.
        if self.ask_at == NEVER:
            self.ask_at = self.turn.now + int(self.patience_us * (0.5 + self.turn.random.draw()))
            self.patience_us = min(self.patience_us * 5 // 4, 3 * SECOND_US // 2)

    def answered(self) -> None:
        self.patience_us = SECOND_US
