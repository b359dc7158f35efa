"""Logging in key=value lines to standard error, which never blocks on a slow reader."""

from __future__ import annotations

import json
import logging
import os
import re
import select
import time

UNQUOTED = re.compile(r"[\w.:/+@%,;<>()-]+\Z")
MAX_FAILURES = 32  # of system calls in a row, before a line waits for the next one
MAX_LINE_BYTES = 4000  # less than PIPE_BUF, so that a pipe takes a line in one write


def format_value(value: object) -> str:
    """The value as text, JSON-quoted if it is not a single plain word."""
    text = format(value, ".6g") if isinstance(value, float) else str(value)
    return text if UNQUOTED.match(text) else json.dumps(text)


STARTED_NS = time.monotonic_ns()


class KeyValueFormatter(logging.Formatter):
    """Formats a record as `time= level= part= event=`, its own fields, and `up=`.

    `up=` is the time since the process started in seconds, by the monotonic clock: steps of the wall clock do
    not change it.
    """

    def format(self, record: logging.LogRecord) -> str:
        stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        fields = {
            "time": f"{stamp}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "part": record.name.rpartition(".")[2],
            "event": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        if record.exc_info:
            fields["trace"] = self.formatException(record.exc_info)
        fields["up"] = f"{(time.monotonic_ns() - STARTED_NS) / 1e9:.3f}"
        return " ".join(f"{key}={format_value(value)}" for key, value in fields.items())


class NonBlockingHandler(logging.Handler):
    """Writes a line only if the descriptor takes it without blocking.

    A log reader that has stopped must not stop the controller. The rest of a partially written line is
    written before the next one. At most one line is buffered; further ones are dropped and counted in `lost`.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.descriptor, self.lost, self.unwritten = descriptor, 0, b""
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)

    def emit(self, record: logging.LogRecord) -> None:
        self.flush_pending()
        if self.unwritten:
            self.lost += 1
            return
        self.unwritten = self.format(record).encode(errors="replace")[:MAX_LINE_BYTES] + b"\n"
        self.flush_pending()

    def flush_pending(self) -> None:
        """Writes as much of the buffered line as the descriptor takes."""
        failures = 0
        while self.unwritten and failures < MAX_FAILURES:
            try:
                if not self.poll.poll(0):
                    return
                written = os.write(self.descriptor, self.unwritten)
                self.unwritten = self.unwritten[written:]
            except BlockingIOError:
                return
            except OSError:
                failures += 1  # most last for a moment; otherwise it is tried again with the next line


def start(descriptor: int = 2, level: int = logging.INFO) -> NonBlockingHandler:
    """Sends all log records of the process to a descriptor."""
    handler = NonBlockingHandler(descriptor)
    handler.setFormatter(KeyValueFormatter())
    logging.getLogger().handlers[:] = [handler]  # asyncio logs through it, too
    logging.getLogger("lapispass").setLevel(level)
    return handler


def flush_pending() -> None:
    """Writes the buffered line as far as the descriptor takes it; the rest stays buffered."""
    for handler in logging.getLogger().handlers:
        if isinstance(handler, NonBlockingHandler):
            handler.flush_pending()


def lost() -> int:
    """The number of lines dropped because the log's reader was too slow."""
    return sum(
        handler.lost for handler in logging.getLogger().handlers if isinstance(handler, NonBlockingHandler)
    )


class PartLogger:
    """The logger of one part of the program. Use `rate_limited` for events that a peer can cause."""

    def __init__(self, name: str, every_us: int = 0) -> None:
        self.logger = logging.getLogger(f"lapispass.{name}")
        self.every_ns = every_us * 1000
        self.last: dict[tuple[str, str], tuple[int, int]] = {}

    def info(self, event: str, level: int = logging.INFO, **fields: object) -> None:
        self.logger.log(level, event, extra={"fields": fields})

    def warn(self, event: str, **fields: object) -> None:
        self.info(event, logging.WARNING, **fields)

    def rate_limited(
        self, event: str, *, level: int = logging.WARNING, kind: str = "", **fields: object
    ) -> None:
        """Logs an event at most once per interval; `left_out=` in the next line counts the suppressed ones.

        Each `kind` has a limit of its own, so that frequent events do not hide rare ones. Every kind takes
        memory: there must be few.
        """
        at, left_out = self.last.get((event, kind), (0, 0))
        now = time.monotonic_ns()
        if at and now - at < self.every_ns:
            self.last[event, kind] = (at, left_out + 1)
            return
        self.last[event, kind] = (now, 0)
        self.info(event, level, **fields, **({"left_out": left_out} if left_out else {}))

    def failed(self, event: str, **fields: object) -> None:
        """Logs the current exception with its traceback; for use in an except block."""
        self.logger.error(event, exc_info=True, extra={"fields": fields})
