"""The events by which a front hands a slice to its controller, as its store has kept it."""

from __future__ import annotations

from lapispass import interface


def grant_events(number: int, owner: str | None, writes_blocked: bool = False) -> list[interface.Event]:
    """The events that grant a slice with its stored owner, if it has one.

    Protects rule 2 across a restart and a change of the controller: while an earlier owner may hold writes,
    that fact is stored with the new owner, and the controller takes the handover up where it was.
    """
    events: list[interface.Event] = [interface.SliceGrant(number, True)]
    if owner:
        events.append(interface.StoredOwner(number, owner, writes_blocked))
    return events
