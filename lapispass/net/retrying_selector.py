"""A selector on epoll that retries registrations which the system refuses temporarily.

epoll_ctl(2) may fail with ENOMEM or ENOSPC. asyncio registers a connection in a callback of its own: such an
error only reaches the log, and the connection is never read. This selector accepts the registration at once.
Until the system has accepted it, too, `select` watches the descriptor by poll(2), which needs no
registration.
"""

from __future__ import annotations

import errno
import math
import select
import selectors
import time
from collections.abc import Mapping
from contextlib import suppress
from selectors import EVENT_READ, EVENT_WRITE, SelectorKey
from types import MappingProxyType
from typing import Any

from lapispass.net import call_failures

TRANSIENT = frozenset({errno.ENOMEM, errno.ENOSPC})
PAUSE_S = 0.005  # between two polls while a change is refused


class RetryingSelector(selectors.BaseSelector):
    """Like `selectors.EpollSelector`; descriptors may be given by number or by object."""

    def __init__(self, epoll: select.epoll | None = None) -> None:
        self._epoll = epoll if epoll is not None else select.epoll()
        self._keys: dict[int, SelectorKey] = {}
        self._refused: set[int] = set()  # registered here, but not (or with other events) in epoll
        self._stale: set[int] = set()  # unregistered here, but possibly still in epoll

    def register(self, fileobj: Any, events: int, data: Any = None) -> SelectorKey:
        """Raises ValueError for invalid events, KeyError if it is already registered, and OSError for an
        error that is not transient."""
        if not events or events & ~(EVENT_READ | EVENT_WRITE):
            raise ValueError(f"Invalid events: {events!r}")
        key = SelectorKey(fileobj, self._descriptor(fileobj), events, data)
        if key.fd in self._keys:
            raise KeyError(f"{fileobj!r} (FD {key.fd}) is already registered")
        self._keys[key.fd] = key
        self._stale.discard(key.fd)
        try:
            self._update_epoll(key)
        except OSError:
            del self._keys[key.fd]
            raise
        return key

    def unregister(self, fileobj: Any) -> SelectorKey:
        """Raises KeyError if it is not registered."""
        key = self._keys.pop(self._descriptor(fileobj))
        self._refused.discard(key.fd)
        self._remove_from_epoll(key.fd)
        return key

    def modify(self, fileobj: Any, events: int, data: Any = None) -> SelectorKey:
        """Raises KeyError if it is not registered, and OSError for an error that is not transient."""
        old = self._keys[self._descriptor(fileobj)]
        key = old._replace(events=events, data=data)
        self._keys[key.fd] = key
        if events != old.events:
            self._update_epoll(key)
        return key

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        """The ready keys with their events, within `timeout` seconds; empty after an interruption."""
        self._retry()
        if not self._refused and not self._stale:
            return self._ready(self._wait(timeout))
        until = None if timeout is None else time.monotonic() + timeout
        polled = self._poll_refused(timeout)
        known = [found for found in self._wait(0) if found[0] not in self._refused]
        ready = self._ready(known + polled)
        if not ready:
            _pause(until)
        return ready

    def close(self) -> None:
        self._keys.clear()
        self._refused.clear()
        self._stale.clear()
        try:
            self._epoll.close()
        except OSError as error:  # the descriptor is closed nevertheless
            call_failures.note("close", error)

    def get_map(self) -> Mapping[Any, SelectorKey]:
        return MappingProxyType(self._keys)

    def get_key(self, fileobj: Any) -> SelectorKey:
        """Raises KeyError if it is not registered."""
        return self._keys[self._descriptor(fileobj)]

    def _descriptor(self, fileobj: Any) -> int:
        """The descriptor's number; that of a closed object is looked up among the registered keys."""
        number = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        if number >= 0:
            return int(number)
        for key in self._keys.values():
            if key.fileobj is fileobj:
                return key.fd
        raise ValueError(f"Invalid file descriptor: {number}")

    def _update_epoll(self, key: SelectorKey) -> None:
        """Applies a registration to epoll. A transient error is recorded and retried by the next `select`."""
        mask = _mask(key.events)
        try:
            try:
                self._epoll.register(key.fd, mask)
            except FileExistsError:
                self._epoll.modify(key.fd, mask)
        except OSError as error:
            if error.errno not in TRANSIENT:
                raise
            call_failures.note("epoll_ctl", error)
            self._refused.add(key.fd)
        else:
            self._refused.discard(key.fd)

    def _remove_from_epoll(self, descriptor: int) -> None:
        try:
            self._epoll.unregister(descriptor)
        except OSError as error:
            if error.errno in TRANSIENT:  # any other error: it was closed or never registered
                call_failures.note("epoll_ctl", error)
                self._stale.add(descriptor)
                return
        self._stale.discard(descriptor)

    def _retry(self) -> None:
        for descriptor in list(self._stale):
            self._remove_from_epoll(descriptor)
        for descriptor in list(self._refused):
            try:
                self._update_epoll(self._keys[descriptor])
            except OSError:  # its owner closed it without unregistering it
                self._refused.discard(descriptor)

    def _wait(self, timeout: float | None) -> list[tuple[int, int]]:
        """Descriptors and event masks from epoll, within `timeout` seconds."""
        if timeout is None:
            timeout = -1
        elif timeout <= 0:
            timeout = 0
        else:  # epoll counts in milliseconds: round up, so as not to return early
            timeout = math.ceil(timeout * 1e3) * 1e-3
        try:
            return self._epoll.poll(timeout, max(len(self._keys) + len(self._stale), 1))
        except InterruptedError:
            return []

    def _poll_refused(self, timeout: float | None) -> list[tuple[int, int]]:
        """Waits for epoll and for the refused descriptors; returns the ready ones among the latter."""
        poll = select.poll()
        poll.register(self._epoll.fileno(), select.POLLIN)
        for descriptor in self._refused:
            poll.register(descriptor, _mask(self._keys[descriptor].events))
        wait_ms = None if timeout is None else math.ceil(max(0.0, timeout) * 1e3)
        try:
            found = poll.poll(wait_ms)
        except OSError as error:
            call_failures.note("poll", error)
            return []
        return [(descriptor, mask) for descriptor, mask in found if descriptor in self._refused]

    def _ready(self, found: list[tuple[int, int]]) -> list[tuple[SelectorKey, int]]:
        """The keys that are still registered, each with those of its events that occurred."""
        ready = []
        for descriptor, mask in found:
            key = self._keys.get(descriptor)
            if key is not None:
                ready.append((key, _events(mask) & key.events))
        return ready


def _pause(until: float | None) -> None:
    """Sleeps for `PAUSE_S`, but not beyond `until`.

    A stale descriptor that epoll still watches may always be ready; the loop would spin without a pause.
    """
    pause_s = PAUSE_S if until is None else min(PAUSE_S, until - time.monotonic())
    if pause_s > 0:
        with suppress(OSError):
            time.sleep(pause_s)


def _mask(events: int) -> int:
    """A selector's events as a mask of epoll and poll, which share these bits."""
    return (select.EPOLLIN if events & EVENT_READ else 0) | (select.EPOLLOUT if events & EVENT_WRITE else 0)


def _events(mask: int) -> int:
    """A mask as a selector's events. An error or hang-up counts as both, to notify all waiters."""
    write = EVENT_WRITE if mask & ~select.EPOLLIN else 0
    return write | (EVENT_READ if mask & ~select.EPOLLOUT else 0)
