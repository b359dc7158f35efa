"""Cuts lines out of what was read, as slices of the buffer they came in."""

from __future__ import annotations

from collections.abc import Iterator


class TooLong(Exception):
    """More than a message's bytes came without an end of line: where the next begins is unknown."""


class Lines:
    """Only an unfinished line is copied: it outlives the buffer it began in."""

    def __init__(self, most: int) -> None:
        self.most, self.rest = most, bytearray()

    def cut(self, piece: bytes | bytearray | memoryview) -> Iterator[memoryview]:
        """The lines that a piece ends, without LF or CRLF; each is valid until the next one is asked for."""
        view, begin = memoryview(piece), 0
        whole = piece if isinstance(piece, (bytes, bytearray)) else bytes(piece)
        while (end := whole.find(b"\n", begin)) >= 0:
            if self.rest:
                self.rest += view[begin:end]
                line = memoryview(bytes(self.rest))
                self.rest = bytearray()
            else:
                line = view[begin:end]
            begin = end + 1
            if len(line) > self.most:
                raise TooLong
            yield line[:-1] if line and line[-1] == 13 else line
        self.rest += view[begin:]
        if len(self.rest) > self.most:
            raise TooLong
