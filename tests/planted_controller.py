"""A controller with a deliberate fault, chosen by its name.

`real-0` uses too much processor time; `real-1` applies updates from the registry late.
"""

from __future__ import annotations

import asyncio
import os
import sys
import threading
import time

from lapispass.net import service
from lapispass.net.codec import RegistryMessage
from lapispass.net.http import HttpConnection
from lapispass.net.registry import Registry

UPDATE_DELAY_S = 2.5
BUSY_PERIOD_S = 0.02  # of processor time, followed by a pause of the same length


class LateRegistry(Registry):
    """Applies a complete list at once, and changes to it `UPDATE_DELAY_S` later."""

    def take(self, listing: RegistryMessage, connection: HttpConnection | None = None) -> None:
        if listing.whole or not listing.entries:
            super().take(listing, connection)
        else:
            asyncio.get_running_loop().call_later(UPDATE_DELAY_S, super().take, listing, None)


def burn_cpu() -> None:
    """Uses about half a core."""
    while True:
        until = time.thread_time() + BUSY_PERIOD_S
        while time.thread_time() < until:
            pass
        time.sleep(BUSY_PERIOD_S)


if __name__ == "__main__":
    if os.environ["LB_NAME"] == "real-0":
        threading.Thread(target=burn_cpu, daemon=True).start()
    if os.environ["LB_NAME"] == "real-1":
        service.Registry = LateRegistry
    sys.exit(service.main())
