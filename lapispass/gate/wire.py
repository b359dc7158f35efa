"""The messages on the channel between gates and their controller: JSON, one message a line.

All times are durations, so the two sides need no common clock. A message describes state; no message is a
command that must be carried out exactly once. So each message may arrive twice or late: reports and plans are
numbered, and tables are compared when a stream begins.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Iterable
from itertools import pairwise

import msgspec

from lapispass.core import tables
from lapispass.core.admission import Allotment
from lapispass.core.connection_controller import ReportedCounts
from lapispass.core.plans import Ceiling, Curve, Plan, Version

PROTOCOL = 1


class Challenge(msgspec.Struct, tag="challenge", frozen=True):
    """The controller's first message: the gate must prove that it holds the key, over this nonce."""

    nonce: str
    protocol: int = PROTOCOL


class Hello(msgspec.Struct, tag="hello", frozen=True):
    """A gate's request to join, with the tables, plan and drains that it has now."""

    name: str
    boot: str  # differs for each process that runs under this name
    zone: str
    protocol: int
    slices: int
    nonce: str
    proof: str
    plan: tuple[int, int]
    drains: dict[str, int]  # node: time left until its deadline, us
    lines: dict[int, str]
    shares: dict[int, tuple[float, bool]]
    out: list[str]
    nodes: dict[str, tuple[str, str]]


class Welcome(msgspec.Struct, tag="welcome", frozen=True):
    proof: str
    lease_us: int


class Refusal(msgspec.Struct, tag="refusal", frozen=True):
    """The reason why a gate may not join. The gate tries again later all the same."""

    why: str


NO_RENEWAL = 0  # the number of a controller's heartbeat that renews no lease; a gate's own begin at 1


class Heartbeat(msgspec.Struct, tag="beat", frozen=True):
    """A heartbeat of the gate, or the controller's answer.

    An answer that repeats the number renews the gate's lease. One with `NO_RENEWAL` only keeps the channel.
    """

    number: int


class Report(msgspec.Struct, tag="report", frozen=True):
    """Everything that a gate holds. For each node and class: connections held, and connections opened,
    messages and octets since the last report."""

    serial: int
    rows: dict[str, dict[str, tuple[int, int, int, int]]]


class BarrierAcks(msgspec.Struct, tag="answer", frozen=True):
    """Acknowledges barriers: each mark whose tables are in force at the gate, and the time that took, us."""

    marks: list[tuple[int, int]]


class Turn(msgspec.Struct, tag="turn", frozen=True):
    """The table changes of one controller turn, applied as a whole, and the mark of the barrier after
    them."""

    lines: list[tuple[int, str | None]] = []
    shares: list[tuple[int, float, bool]] = []
    out: list[tuple[str, bool]] = []
    nodes: list[tuple[str, str, str]] = []  # an empty address removes the node
    mark: int | None = None


class PlanMessage(msgspec.Struct, tag="plan", frozen=True):
    version: tuple[int, int]
    # each curve: time left until its deadline, us; points (time from now in us, share)
    curves: list[tuple[int, list[tuple[int, float]]]]
    # node: index of its curve, connections held when the curve began, offset
    ceilings: dict[str, tuple[int, int, float]]
    allotted: dict[str, tuple[int, float, int]]
    returns_per_s: float
    come_back_us: tuple[int, int]
    dead: list[str]


FromGate = Hello | Heartbeat | Report | BarrierAcks
FromController = Challenge | Welcome | Refusal | Heartbeat | Turn | PlanMessage
ENCODER = msgspec.json.Encoder()
GATE_DECODER = msgspec.json.Decoder(FromGate)
CONTROLLER_DECODER = msgspec.json.Decoder(FromController)


def encode_line(message: msgspec.Struct) -> bytes:
    return ENCODER.encode(message) + b"\n"


def proof(secret: bytes, *words: str) -> str:
    """A keyed hash (BLAKE2b) over the other side's nonce and the name of the side that proves; empty without
    a key."""
    if not secret:
        return ""
    key = hashlib.blake2b(secret, digest_size=64).digest()
    return hashlib.blake2b("\0".join(words).encode(), key=key, digest_size=32).hexdigest()


def verify_proof(secret: bytes, received: str, *words: str) -> bool:
    return hmac.compare_digest(received, proof(secret, *words))


def hello_message(
    name: str,
    boot: str,
    zone: str,
    nonce: str,
    key_proof: str,
    current: tables.Tables,
    plan: Version,
    drains: dict[str, int],
) -> Hello:
    return Hello(
        name,
        boot,
        zone,
        PROTOCOL,
        current.slices,
        nonce,
        key_proof,
        (plan.incarnation, plan.number),
        drains,
        dict(current.owners),
        {number: (share.share, share.shut) for number, share in current.shares.items()},
        sorted(current.withdrawn),
        {node: (address.address, address.zone) for node, address in current.nodes.items()},
    )


def reported_tables(hello: Hello) -> tables.Tables:
    """The tables that a gate reports in its hello."""
    reported = tables.Tables(hello.slices)
    reported.owners = dict(hello.lines)
    reported.shares = {number: tables.Share(*share) for number, share in hello.shares.items()}
    reported.withdrawn = set(hello.out)
    reported.nodes = {node: tables.Address(*address) for node, address in hello.nodes.items()}
    return reported


def turn_message(changes: Iterable[tables.TableChange], mark: int | None) -> Turn:
    message = Turn([], [], [], [], mark)
    for change in changes:
        match change:
            case tables.SetOwner(number, owner):
                message.lines.append((number, owner))
            case tables.SetShare(number, share, shut):
                message.shares.append((number, share, shut))
            case tables.SetWithdrawn(node, out):
                message.out.append((node, out))
            case tables.SetNode(node, address):
                message.nodes.append((node, *(address or ("", ""))))
    return message


def table_changes(turn: Turn) -> list[tables.TableChange]:
    """The changes in an order that is safe at every step: new addresses and nodes taken out come first; nodes
    let in again and nodes removed come last."""
    ordered: list[tables.TableChange] = [
        tables.SetNode(node, tables.Address(address, zone)) for node, address, zone in turn.nodes if address
    ]
    ordered += [tables.SetWithdrawn(node, True) for node, out in turn.out if out]
    ordered += [tables.SetOwner(number, owner) for number, owner in turn.lines]
    ordered += [tables.SetShare(number, share, shut) for number, share, shut in turn.shares]
    ordered += [tables.SetWithdrawn(node, False) for node, out in turn.out if not out]
    ordered += [tables.SetNode(node, None) for node, address, _ in turn.nodes if not address]
    if turn.mark is not None:
        ordered.append(tables.BarrierRequest(turn.mark))
    return ordered


def plan_message(plan: Plan, now: int) -> PlanMessage:
    """The message for a plan, with times as durations from now. Nodes that leave together share a curve."""
    curves = list(dict.fromkeys(ceiling.curve for ceiling in plan.ceilings.values()))
    indexes = {curve: index for index, curve in enumerate(curves)}
    return PlanMessage(
        (plan.version.incarnation, plan.version.number),
        [(curve.deadline_us - now, [(at - now, share) for at, share in curve.points]) for curve in curves],
        {
            node: (indexes[ceiling.curve], ceiling.held, ceiling.offset)
            for node, ceiling in plan.ceilings.items()
        },
        {node: (part.held, part.new_per_s, part.burst) for node, part in plan.allotted.items()},
        plan.returns_per_s,
        (plan.come_back_least_us, plan.come_back_most_us),
        sorted(plan.dead),
    )


def parse_plan(message: PlanMessage, now: int) -> Plan:
    """The plan in a message, with times by the gate's clock. Figures out of bounds raise ValueError; then no
    part of the plan is followed."""
    curves = []
    for left, points in message.curves:
        if any(not 0 <= share <= 1 for _, share in points) or any(
            earlier[0] >= later[0] or earlier[1] < later[1] for earlier, later in pairwise(points)
        ):
            raise ValueError("a curve whose shares rise, lie outside 0 to 1, or whose times do not increase")
        curves.append(Curve(tuple((now + within, share) for within, share in points), now + left))
    if any(
        not 0 <= index < len(curves) or held < 0 or not 0 <= offset < 1
        for index, held, offset in message.ceilings.values()
    ):
        raise ValueError("a ceiling that refers to no curve, or whose figures are out of bounds")
    ceilings = {
        node: Ceiling(curves[index], held, offset) for node, (index, held, offset) in message.ceilings.items()
    }
    allotted = {node: Allotment(*part) for node, part in message.allotted.items()}
    if any(part.held < 0 or not 0 <= part.new_per_s < 1e9 for part in allotted.values()):
        raise ValueError("allotments that are negative or out of bounds")
    least, most = message.come_back_us
    if not 0 <= least < most or not 0 < message.returns_per_s < 1e9:
        raise ValueError("return rate or return times out of bounds")
    return Plan(
        Version(*message.version),
        ceilings,
        allotted,
        message.returns_per_s,
        least,
        most,
        frozenset(message.dead),
    )


def class_counts(report: Report) -> dict[str, dict[str, ReportedCounts]]:
    """The rows of a report. Negative figures raise ValueError."""
    rows = {
        node: {name: ReportedCounts(*row) for name, row in by_class.items()}
        for node, by_class in report.rows.items()
    }
    if any(min(row) < 0 for by_class in report.rows.values() for row in by_class.values()):
        raise ValueError("negative counts in a report")
    return rows
