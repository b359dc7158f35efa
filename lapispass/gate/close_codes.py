"""Codes of close frames (RFC 6455 7.4): which of them mean what to a held connection."""

from __future__ import annotations

NONE = 1005  # of a close frame that has no code
FIRST_PRIVATE_CODE = 3000
LAST_PRIVATE_CODE = 4999
LEAVING = (1001, 1012, 1013)  # by which a node says that it leaves, restarts or is too busy
PROTOCOL_ERRORS = (1002, 1007)
FORWARDED = {1000, 1001, 1002, 1003, 1007, 1008, 1009, 1010, 1011, 1012, 1013}


def forwarded(code: int, otherwise: int) -> int:
    """The code as it may be sent to the other side; the other one where it may not be sent at all."""
    if code in FORWARDED or FIRST_PRIVATE_CODE <= code <= LAST_PRIVATE_CODE:
        return code
    return otherwise


def label(code: int) -> str:
    """Its name in a counter: private codes share one, since a node may choose any of 2000."""
    return str(code) if code < FIRST_PRIVATE_CODE else "private"
