"""The channel between gates and their controller: JSON, one message a line; times are durations, so no
clock is shared.

What a message says is how things stand. So each may come twice or late: reports and plans are numbered,
tables are compared when a stream begins, and nothing is a command that must be obeyed once.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Iterable
from itertools import pairwise

import msgspec

from lapispass.core import tables
from lapispass.core.admission import Allotment
from lapispass.core.keeper import Counted
from lapispass.core.plans import Ceiling, Curve, Plan, Version

PROTOCOL = 1


class Challenge(msgspec.Struct, tag="challenge", frozen=True):
    """The controller's first word: prove that you hold the key."""

    nonce: str
    protocol: int = PROTOCOL


class Hello(msgspec.Struct, tag="hello", frozen=True):
    """A gate joins, and tells what stands there."""

    name: str
    boot: str  # another one for each process that has this name
    zone: str
    protocol: int
    slices: int
    nonce: str
    proof: str
    plan: tuple[int, int]
    drains: dict[str, int]  # node: what is left of its time, us
    lines: dict[int, str]
    shares: dict[int, tuple[float, bool]]
    out: list[str]
    nodes: dict[str, tuple[str, str]]


class Welcome(msgspec.Struct, tag="welcome", frozen=True):
    proof: str
    lease_us: int


class Refusal(msgspec.Struct, tag="refusal", frozen=True):
    """Why a gate may not join; it tries again later all the same."""

    why: str


class Heartbeat(msgspec.Struct, tag="beat", frozen=True):
    """Either way: the gate's with a number, the controller's answer with the same one."""

    number: int


class Report(msgspec.Struct, tag="report", frozen=True):
    """All that a gate holds: node, class: held, opened, messages and octets since the last report."""

    serial: int
    rows: dict[str, dict[str, tuple[int, int, int, int]]]


class BarrierAcks(msgspec.Struct, tag="answer", frozen=True):
    """Marks whose tables rule here, and what each took, us."""

    marks: list[tuple[int, int]]


class Turn(msgspec.Struct, tag="turn", frozen=True):
    """A turn's changes, applied whole, and its mark behind them."""

    lines: list[tuple[int, str | None]] = []
    shares: list[tuple[int, float, bool]] = []
    out: list[tuple[str, bool]] = []
    nodes: list[tuple[str, str, str]] = []  # an empty address: forgotten
    mark: int | None = None


class PlanMessage(msgspec.Struct, tag="plan", frozen=True):
    version: tuple[int, int]
    # time left, us; points: in so many us, share
    curves: list[tuple[int, list[tuple[int, float]]]]
    # node: place of its curve, held when that began, offset
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
    """A keyed hash (BLAKE2b) over the other side's nonce and who proves; empty without a key."""
    if not secret:
        return ""
    key = hashlib.blake2b(secret, digest_size=64).digest()
    return hashlib.blake2b("\0".join(words).encode(), key=key, digest_size=32).hexdigest()


def verify_proof(secret: bytes, given: str, *words: str) -> bool:
    return hmac.compare_digest(given, proof(secret, *words))


def hello_message(
    name: str,
    boot: str,
    zone: str,
    nonce: str,
    proved: str,
    stands: tables.Tables,
    plan: Version,
    drains: dict[str, int],
) -> Hello:
    return Hello(
        name,
        boot,
        zone,
        PROTOCOL,
        stands.slices,
        nonce,
        proved,
        (plan.life, plan.number),
        drains,
        dict(stands.owners),
        {number: (share.share, share.shut) for number, share in stands.shares.items()},
        sorted(stands.out),
        {node: (address.address, address.zone) for node, address in stands.nodes.items()},
    )


def reported_tables(told: Hello) -> tables.Tables:
    """The tables that a gate says it has."""
    there = tables.Tables(told.slices)
    there.owners = dict(told.lines)
    there.shares = {number: tables.Share(*share) for number, share in told.shares.items()}
    there.out = set(told.out)
    there.nodes = {node: tables.Address(*address) for node, address in told.nodes.items()}
    return there


def turn_message(changes: Iterable[tables.Change], mark: int | None) -> Turn:
    told = Turn([], [], [], [], mark)
    for change in changes:
        match change:
            case tables.SetLine(number, owner):
                told.lines.append((number, owner))
            case tables.SetShare(number, share, shut):
                told.shares.append((number, share, shut))
            case tables.SetOut(node, out):
                told.out.append((node, out))
            case tables.SetNode(node, address):
                told.nodes.append((node, *(address or ("", ""))))
    return told


def table_changes(told: Turn) -> list[tables.Change]:
    """In an order that is safe at every step: addresses and shutting out first, what is let in or forgotten
    last."""
    made: list[tables.Change] = [
        tables.SetNode(node, tables.Address(address, zone)) for node, address, zone in told.nodes if address
    ]
    made += [tables.SetOut(node, True) for node, out in told.out if out]
    made += [tables.SetLine(number, owner) for number, owner in told.lines]
    made += [tables.SetShare(number, share, shut) for number, share, shut in told.shares]
    made += [tables.SetOut(node, False) for node, out in told.out if not out]
    made += [tables.SetNode(node, None) for node, address, _ in told.nodes if not address]
    if told.mark is not None:
        made.append(tables.Asked(told.mark))
    return made


def plan_message(plan: Plan, now: int) -> PlanMessage:
    """As durations from now; nodes that leave together share a curve."""
    curves = list(dict.fromkeys(ceiling.curve for ceiling in plan.ceilings.values()))
    places = {curve: place for place, curve in enumerate(curves)}
    return PlanMessage(
        (plan.version.life, plan.version.number),
        [(curve.deadline_us - now, [(at - now, share) for at, share in curve.points]) for curve in curves],
        {
            node: (places[ceiling.curve], ceiling.held, ceiling.offset)
            for node, ceiling in plan.ceilings.items()
        },
        {node: (part.held, part.new_per_s, part.burst) for node, part in plan.allotted.items()},
        plan.returns_per_s,
        (plan.come_back_least_us, plan.come_back_most_us),
        sorted(plan.dead),
    )


def parse_plan(told: PlanMessage, now: int) -> Plan:
    """As times of the gate. Odd figures are a ValueError: nothing of such a plan is followed."""
    curves = []
    for left, points in told.curves:
        if any(not 0 <= share <= 1 for _, share in points) or any(
            one[0] >= other[0] or one[1] < other[1] for one, other in pairwise(points)
        ):
            raise ValueError("a curve that does not sink")
        curves.append(Curve(tuple((now + within, share) for within, share in points), now + left))
    if any(
        not 0 <= place < len(curves) or held < 0 or not 0 <= offset < 1
        for place, held, offset in told.ceilings.values()
    ):
        raise ValueError("a ceiling without a curve, or out of bounds")
    ceilings = {
        node: Ceiling(curves[place], held, offset) for node, (place, held, offset) in told.ceilings.items()
    }
    allotted = {node: Allotment(*part) for node, part in told.allotted.items()}
    if any(part.held < 0 or not 0 <= part.new_per_s < 1e9 for part in allotted.values()):
        raise ValueError("allotments below nothing or beyond bounds")
    least, most = told.come_back_us
    if not 0 <= least < most or not 0 < told.returns_per_s < 1e9:
        raise ValueError("returns out of bounds")
    return Plan(
        Version(*told.version), ceilings, allotted, told.returns_per_s, least, most, frozenset(told.dead)
    )


def class_counts(told: Report) -> dict[str, dict[str, Counted]]:
    """A report's rows; figures below nothing are a ValueError."""
    rows = {
        node: {name: Counted(*row) for name, row in by_class.items()} for node, by_class in told.rows.items()
    }
    if any(min(row) < 0 for by_class in told.rows.values() for row in by_class.values()):
        raise ValueError("counts below nothing")
    return rows
