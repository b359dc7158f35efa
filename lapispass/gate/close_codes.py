"""Codes of close frames (RFC 6455 7.4) and what they mean for a held connection."""

from __future__ import annotations

LEAVING_GATE = 1001
RESTARTING = 1012
TRY_AGAIN_LATER = 1013
NONE = 1005  # stands for a close frame without a code
FIRST_PRIVATE_CODE = 3000
LAST_PRIVATE_CODE = 4999
LEAVING = (1001, 1012, 1013)  # sent by a node that leaves, restarts or is too busy
PROTOCOL_ERRORS = (1002, 1007)
FORWARDED = {1000, 1001, 1002, 1003, 1007, 1008, 1009, 1010, 1011, 1012, 1013}


def forwarded(code: int, otherwise: int) -> int:
    """The code to send to the other side: `code`, or `otherwise` where `code` may not appear in a close
    frame."""
    if code in FORWARDED or FIRST_PRIVATE_CODE <= code <= LAST_PRIVATE_CODE:
        return code
    return otherwise


def label(code: int) -> str:
    """The code's name in a counter. Private codes share one name, since a node may choose any of 2000."""
    return str(code) if code < FIRST_PRIVATE_CODE else "private"
