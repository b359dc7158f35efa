"""Spreads costly work for clients over the passes of the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


class PacedWork:
    """Work of which one piece runs at a time, with a pass of the event loop behind each.

    However many clients ask for it together, held connections and signals are served in between.
    """

    def __init__(self) -> None:
        self._lock = asyncio.Lock()  # serves those that wait in their order

    @asynccontextmanager
    async def turn(self) -> AsyncIterator[None]:
        """Waits for its turn; the block must not wait for anything."""
        async with self._lock:
            yield
            await asyncio.sleep(0)
