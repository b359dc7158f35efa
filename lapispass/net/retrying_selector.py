"""A selector on epoll whose registrations are made again where the system refuses them for a moment.

epoll_ctl(2) may fail with ENOMEM or ENOSPC. asyncio registers a connection in a callback of its own: such an
error ends in the log, the connection is never read, and nobody is told. Here the registration stands at
once; until the system has taken it, `select` watches the descriptor by poll(2), which needs none.
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
PAUSE_S = 0.005  # between two looks, while a refused change stands


class RetryingSelector(selectors.BaseSelector):
    """As `selectors.EpollSelector`; descriptors may be given by number or by object."""

    def __init__(self, epoll: select.epoll | None = None) -> None:
        self._epoll = epoll if epoll is not None else select.epoll()
        self._keys: dict[int, SelectorKey] = {}
        self._refused: set[int] = set()  # wanted, and not known to the system as they are wanted
        self._stale: set[int] = set()  # not wanted any more, and perhaps still known to the system

    def register(self, fileobj: Any, events: int, data: Any = None) -> SelectorKey:
        """Raises ValueError for events that are none, KeyError where it stands already, and OSError for an
        error that does not pass."""
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
        """Raises KeyError where it is not registered."""
        key = self._keys.pop(self._descriptor(fileobj))
        self._refused.discard(key.fd)
        self._remove_from_epoll(key.fd)
        return key

    def modify(self, fileobj: Any, events: int, data: Any = None) -> SelectorKey:
        """Raises KeyError where it is not registered, and OSError for an error that does not pass."""
        old = self._keys[self._descriptor(fileobj)]
        key = old._replace(events=events, data=data)
        self._keys[key.fd] = key
        if events != old.events:
            self._update_epoll(key)
        return key

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        """The keys that are ready and how, within `timeout` seconds; none after an interruption."""
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
        except OSError as error:  # the descriptor is closed all the same
            call_failures.note("close", error)

    def get_map(self) -> Mapping[Any, SelectorKey]:
        return MappingProxyType(self._keys)

    def get_key(self, fileobj: Any) -> SelectorKey:
        """Raises KeyError where it is not registered."""
        return self._keys[self._descriptor(fileobj)]

    def _descriptor(self, fileobj: Any) -> int:
        """The number of a descriptor; that of a closed object is looked for among the keys."""
        number = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        if number >= 0:
            return int(number)
        for key in self._keys.values():
            if key.fileobj is fileobj:
                return key.fd
        raise ValueError(f"Invalid file descriptor: {number}")

    def _update_epoll(self, key: SelectorKey) -> None:
        """Tells the system; an error that may pass is noted, and tried again with the next `select`."""
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
            if error.errno in TRANSIENT:  # any other: it was closed, or never known
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
            except OSError:  # closed by its owner before it was unregistered
                self._refused.discard(descriptor)

    def _wait(self, timeout: float | None) -> list[tuple[int, int]]:
        """Descriptors and masks that epoll gives, within `timeout` seconds."""
        if timeout is None:
            timeout = -1
        elif timeout <= 0:
            timeout = 0
        else:  # epoll counts in milliseconds: at least so long
            timeout = math.ceil(timeout * 1e3) * 1e-3
        try:
            return self._epoll.poll(timeout, max(len(self._keys) + len(self._stale), 1))
        except InterruptedError:
            return []

    def _poll_refused(self, timeout: float | None) -> list[tuple[int, int]]:
        """Waits for what epoll knows and for what it does not know; what came of the latter."""
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
        """The keys that are still registered, with the events among those that each waits for."""
        ready = []
        for descriptor, mask in found:
            key = self._keys.get(descriptor)
            if key is not None:
                ready.append((key, _events(mask) & key.events))
        return ready


def _pause(until: float | None) -> None:
    """A moment, or until then. What the system still watches although nobody waits for it is ready again and
    again, and must not take the whole processor."""
    pause_s = PAUSE_S if until is None else min(PAUSE_S, until - time.monotonic())
    if pause_s > 0:
        with suppress(OSError):
            time.sleep(pause_s)


def _mask(events: int) -> int:
    """A selector's events as epoll's and poll's mask; the two share their bits."""
    return (select.EPOLLIN if events & EVENT_READ else 0) | (select.EPOLLOUT if events & EVENT_WRITE else 0)


def _events(mask: int) -> int:
    """A mask as a selector's events: an error or a hang-up is for both, so that whoever waits finds out."""
    write = EVENT_WRITE if mask & ~select.EPOLLIN else 0
    return write | (EVENT_READ if mask & ~select.EPOLLOUT else 0)
