"""Small instances of a gate's steering and of the connection controller, for tests."""

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


def ready_nodes(*names: str, **more: object) -> list[NodeView]:
    return [replace(NodeView(name, "east", "ready"), **more) for name in names]


def steering(nodes: int = 2, slices: int = 8, **more: object) -> Steering:
    arguments = dict(
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
    gate = Steering(**{**arguments, **more})  # type: ignore[arg-type]
    names = [f"n{number}" for number in range(nodes)]
    gate.apply_changes([SetNode(name, Address("127.0.0.1:1", "east")) for name in names])
    gate.apply_changes([SetOwner(number, names[number % nodes]) for number in range(slices)])
    gate.apply_plan(NOW, Plan(Version(0, 1), {}, dict.fromkeys(names, ROOMY)))
    return gate


def key_of(number: int, slices: int = 8) -> str:
    return next(f"k{n}" for n in range(1000) if slice_of(f"k{n}", slices) == number)


def falling_ceiling(held: int, end_us: int, begin_us: int = NOW) -> Ceiling:
    """A ceiling that falls evenly to 0."""
    return Ceiling(Curve(((min(begin_us, end_us - 1), 1.0), (end_us, 0.0)), end_us), held, 0.5)


def open_connection(gate: Steering, kind: ConnectionClass, key: str | None, now: int = NOW):
    admitted = gate.admit(now, kind, key)
    assert isinstance(admitted, Admitted), admitted
    return gate.established(now, kind, admitted, key)


def connection_controller(now: int = NOW, **bounds: object) -> ConnectionController:
    return ConnectionController(
        (BOARD, TILL), Bounds(**bounds), DrainTerms(20 * SECOND, 2 * SECOND, SECOND // 2, 60 * SECOND), now
    )


def report_rows(**held: int) -> dict[str, dict[str, ReportedCounts]]:
    return {node: {"board": ReportedCounts(count)} for node, count in held.items()}


def join_gate(controller: ConnectionController, gate: str, **held: int) -> None:
    """A gate joins and reports these numbers of connections at its nodes."""
    controller.gate_joined(NOW, gate, "east", NO_VERSION, {})
    controller.report_received(NOW, gate, 1, report_rows(**held))
