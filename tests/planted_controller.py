"""A controller with a planted fault, by its name: `real-0` is too busy, `real-1` hears of changes late."""

from __future__ import annotations

import asyncio
import os
import sys
import threading
import time

from lapispass.net import service
from lapispass.net.codec import Listing
from lapispass.net.http import HttpConnection
from lapispass.net.registry import Registry

LATE_S = 2.5
BUSY_S = 0.02  # of processor time, then a pause as long


class LateRegistry(Registry):
    """Takes the whole list at once, and changes of it much later."""

    def take(self, listing: Listing, link: HttpConnection | None = None) -> None:
        if listing.whole or not listing.entries:
            super().take(listing, link)
        else:
            asyncio.get_running_loop().call_later(LATE_S, super().take, listing, None)


def burn() -> None:
    """Takes about half a core."""
    while True:
        until = time.thread_time() + BUSY_S
        while time.thread_time() < until:
            pass
        time.sleep(BUSY_S)


if __name__ == "__main__":
    if os.environ["LB_NAME"] == "real-0":
        threading.Thread(target=burn, daemon=True).start()
    if os.environ["LB_NAME"] == "real-1":
        service.Registry = LateRegistry
    sys.exit(service.main())
