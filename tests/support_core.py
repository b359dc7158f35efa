"""A gate's steering and the controller's keeper of held connections, made small for tests."""

from __future__ import annotations

from dataclasses import replace

from lapispass.core.admission import Allotment
from lapispass.core.connection_controller import ConnectionController, ReportedCounts
from lapispass.core.plans import NO_VERSION, Ceiling, Curve, Plan, Version
from lapispass.core.shared_types import SECOND, Bounds, ConnectionClass, DrainTerms, NodeView
from lapispass.core.steering import Admitted, Steering
from lapispass.core.tables import Address, SetNode, SetOwner, slice_of

BOARD = ConnectionClass("board", "/board", False, True, 1.0, 0.05)
TILL = ConnectionClass("till", "/till", True, False, 3.0, 0.05)
NOW = 1_000 * SECOND
ROOMY = Allotment(1000, 1000.0, 1000)


def ready(*names: str, **more: object) -> list[NodeView]:
    return [replace(NodeView(name, "east", "ready"), **more) for name in names]


def steering(nodes: int = 2, slices: int = 8, **more: object) -> Steering:
    told = dict(
        classes=(BOARD, TILL),
        slices=slices,
        connections=10_000,
        new_per_s=1e5,
        burst=10_000,
        seed=3,
        lease_us=0,
        early_us=0,
        come_back_us=(SECOND // 2, 60 * SECOND),
    )
    made = Steering(**{**told, **more})  # type: ignore[arg-type]
    names = [f"n{number}" for number in range(nodes)]
    made.apply_changes([SetNode(name, Address("127.0.0.1:1", "east")) for name in names])
    made.apply_changes([SetOwner(number, names[number % nodes]) for number in range(slices)])
    made.apply_plan(NOW, Plan(Version(0, 1), {}, dict.fromkeys(names, ROOMY)))
    return made


def key_of(number: int, slices: int = 8) -> str:
    return next(f"k{n}" for n in range(1000) if slice_of(f"k{n}", slices) == number)


def falling(held: int, end_us: int, begin_us: int = NOW) -> Ceiling:
    """Evenly down to nothing."""
    return Ceiling(Curve(((min(begin_us, end_us - 1), 1.0), (end_us, 0.0)), end_us), held, 0.5)


def opened(made: Steering, kind: ConnectionClass, key: str | None, now: int = NOW):
    go = made.admit(now, kind, key)
    assert isinstance(go, Admitted), go
    return made.established(now, kind, go, key)


def keeper(now: int = NOW, **bounds: object) -> ConnectionController:
    return ConnectionController(
        (BOARD, TILL), Bounds(**bounds), DrainTerms(20 * SECOND, 2 * SECOND, SECOND // 2, 60 * SECOND), now
    )


def rows(**held: int) -> dict[str, dict[str, ReportedCounts]]:
    return {node: {"board": ReportedCounts(count)} for node, count in held.items()}


def joined(made: ConnectionController, gate: str, **held: int) -> None:
    """A gate joins, and reports so many connections at each node."""
    made.gate_joined(NOW, gate, "east", NO_VERSION, {})
    made.report_received(NOW, gate, 1, rows(**held))
