"""Cuts lines out of what was read, as slices of the buffer they came in."""

from __future__ import annotations

from collections.abc import Iterator


class LineTooLong(Exception):
    """More than a message's bytes came without an end of line: where the next begins is unknown."""


class LineSplitter:
    """Only an unfinished line is copied: it outlives the buffer it began in."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes, self.unfinished = max_bytes, bytearray()

    def split(self, piece: bytes | bytearray | memoryview) -> Iterator[memoryview]:
        """The lines that a piece ends, without LF or CRLF; each is valid until the next one is asked for."""
        view, begin = memoryview(piece), 0
        whole = piece if isinstance(piece, (bytes, bytearray)) else bytes(piece)
        while (end := whole.find(b"\n", begin)) >= 0:
            if self.unfinished:
                self.unfinished += view[begin:end]
                line = memoryview(bytes(self.unfinished))
                self.unfinished = bytearray()
            else:
                line = view[begin:end]
            begin = end + 1
            if len(line) > self.max_bytes:
                raise LineTooLong
            yield line[:-1] if line and line[-1] == 13 else line
        self.unfinished += view[begin:]
        if len(self.unfinished) > self.max_bytes:
            raise LineTooLong
