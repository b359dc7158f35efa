"""Splits received bytes into lines, which are views of the buffer that they were read into."""

from __future__ import annotations

from collections.abc import Iterator


class LineTooLong(Exception):
    """A line is longer than allowed; the stream is lost, since the start of the next line is unknown."""


class LineSplitter:
    """Splits a stream into lines. Only an incomplete line is copied, since its buffer may be reused."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes, self.unfinished = max_bytes, bytearray()

    def split(self, chunk: bytes | bytearray | memoryview) -> Iterator[memoryview]:
        """Yields the lines completed by `chunk`, without LF or CRLF.

        Each line is valid only until the next one is requested.
        """
        view, begin = memoryview(chunk), 0
        data = chunk if isinstance(chunk, (bytes, bytearray)) else bytes(chunk)
        while (end := data.find(b"\n", begin)) >= 0:
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
