"""Log lines: key=value, on standard error, never waiting for whoever reads them."""

from __future__ import annotations

import json
import logging
import os
import re
import select
import time

UNQUOTED = re.compile(r"[\w.:/+@%,;<>()-]+\Z")
MAX_LINE_BYTES = 4000  # below what a pipe takes at once


def format_value(value: object) -> str:
    """A value as it stands, or quoted where it would not read as one word."""
    text = format(value, ".6g") if isinstance(value, float) else str(value)
    return text if UNQUOTED.match(text) else json.dumps(text)


STARTED_NS = time.monotonic_ns()


class KeyValueFormatter(logging.Formatter):
    """`time= level= part= event=`, the fields of the record, and `up=`: seconds since the process began, by a
    clock that nobody steps.
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
    """Writes a line only if that can be done at once: a stopped log reader must not stop the controller.

    What is left of a line after a short write goes before the next one; at most one line waits.
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
        """What is left of the last line, as far as it is taken."""
        try:
            while self.unwritten and self.poll.poll(0):
                written = os.write(self.descriptor, self.unwritten)
                self.unwritten = self.unwritten[written:]
        except OSError:
            pass  # the next line tries again


def start(descriptor: int = 2, level: int = logging.INFO) -> NonBlockingHandler:
    """Sends the log of the process to a descriptor."""
    handler = NonBlockingHandler(descriptor)
    handler.setFormatter(KeyValueFormatter())
    logging.getLogger().handlers[:] = [handler]  # asyncio's complaints go the same way
    logging.getLogger("lapispass").setLevel(level)
    return handler


def flush_pending() -> None:
    """Writes lines that had to wait, as far as they are taken now; otherwise they wait for the next one."""
    for handler in logging.getLogger().handlers:
        if isinstance(handler, NonBlockingHandler):
            handler.flush_pending()


def lost() -> int:
    """Lines dropped because nobody read them."""
    return sum(
        handler.lost for handler in logging.getLogger().handlers if isinstance(handler, NonBlockingHandler)
    )


class PartLogger:
    """The log of one part; `rate_limited` bounds the lines that a peer can cause."""

    def __init__(self, name: str, every_us: int = 0) -> None:
        self.logger = logging.getLogger(f"lapispass.{name}")
        self.every_ns = every_us * 1000
        self.last: dict[tuple[str, str], tuple[int, int]] = {}

    def say(self, event: str, level: int = logging.INFO, **fields: object) -> None:
        self.logger.log(level, event, extra={"fields": fields})

    def warn(self, event: str, **fields: object) -> None:
        self.say(event, logging.WARNING, **fields)

    def rate_limited(
        self, event: str, *, level: int = logging.WARNING, kind: str = "", **fields: object
    ) -> None:
        """At most one such line in a while; the next one tells how many were left out.

        Lines of each `kind` are counted by themselves: frequent ones do not hide others. There must be few.
        """
        at, left_out = self.last.get((event, kind), (0, 0))
        now = time.monotonic_ns()
        if at and now - at < self.every_ns:
            self.last[event, kind] = (at, left_out + 1)
            return
        self.last[event, kind] = (now, 0)
        self.say(event, level, **fields, **({"left_out": left_out} if left_out else {}))

    def failed(self, event: str, **fields: object) -> None:
        """Inside an except block: the fault with its trace."""
        self.logger.error(event, exc_info=True, extra={"fields": fields})
