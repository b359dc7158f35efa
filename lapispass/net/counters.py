"""Event counters of the process, logged on SIGUSR1 and at the end."""

from __future__ import annotations

from collections import Counter


class Counters(Counter[str]):
    """Counters by name. The prefix of a name is the component that it belongs to, as in `relay.calls`."""

    def fields(self) -> dict[str, int]:
        return dict(sorted(self.items()))
