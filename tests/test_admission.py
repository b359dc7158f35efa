"""What gates and nodes admit: rate limits, return slots, allotments, and the cost of connections."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support_core import NOW, ready_nodes

from lapispass.core.admission import Admission, Demand, Intake, whole_parts
from lapispass.core.costs import CostEstimator
from lapispass.core.limits import RateLimiter, ReturnSlots
from lapispass.core.shared_types import NEVER, SECOND, Bounds


@given(st.floats(0.5, 500), st.integers(1, 30), st.lists(st.integers(0, 3 * SECOND), max_size=80))
@settings(derandomize=True, max_examples=150, deadline=None)
def test_a_rate_lets_no_span_have_more_than_its_burst_and_its_pace(
    per_s: float, burst: int, gaps: list[int]
) -> None:
    rate, now, allowed = RateLimiter(per_s, burst), NOW, []
    for gap in gaps:
        now += gap
        wait = rate.wait_us(now)
        assert rate.take(now) == (wait == 0)
        if not wait:
            allowed.append(now)
        else:
            assert rate.wait_us(now + wait + 1) == 0  # the wait that it reports is right
    for first in range(len(allowed)):
        for last in range(first, len(allowed)):
            assert last - first + 1 <= burst + (allowed[last] - allowed[first]) * per_s / SECOND + 1e-6 + 1


def test_a_slower_rate_owes_what_the_faster_one_took() -> None:
    rate = RateLimiter(100.0, 10)
    for _ in range(10):
        assert rate.take(NOW)
    rate.set(NOW, 1.0, 10)
    assert not rate.take(NOW) and rate.wait_us(NOW) > SECOND // 2


def test_returns_are_spread_and_never_beyond_the_most() -> None:
    returns = ReturnSlots(20.0, SECOND // 2, 10 * SECOND, 9)
    delays = [returns.delay_us(NOW) for _ in range(1000)]
    assert min(delays) >= SECOND // 2 and max(delays) <= 10 * SECOND
    in_time = sorted(delays[:190])
    assert all(sum(at <= d < at + SECOND for d in in_time) <= 22 for at in in_time)
    late = sorted(delays[200:])  # spread over the last half of the range, not all at its end
    assert late[0] < 6 * SECOND and sum(d > 9 * SECOND for d in late) < 250
    assert [ReturnSlots(20.0, 1, 10**7, 1).delay_us(NOW) for _ in range(3)] != [
        ReturnSlots(20.0, 1, 10**7, 2).delay_us(NOW) for _ in range(3)
    ]


def test_never_is_a_bound_and_no_time() -> None:
    assert RateLimiter(0.0).wait_us(NOW) == NEVER and not RateLimiter(0.0).take(NOW)


def test_the_gates_own_bounds_come_first() -> None:
    returns = ReturnSlots(10.0, SECOND, 60 * SECOND, 1)
    admission = Admission(2, 1e6, 100, returns)
    assert admission.gate_full(NOW, 1) is None
    full = admission.gate_full(NOW, 2)
    assert full is not None and full.why == "gate full"
    slow = Admission(100, 1.0, 1, returns)
    assert slow.gate_full(NOW, 0) is None
    again = slow.gate_full(NOW, 0)
    assert again is not None and again.why == "gate's pace" and again.retry_after_us >= SECOND


@given(
    st.integers(0, 5000),
    st.dictionaries(st.text(max_size=3), st.floats(0, 10), min_size=1, max_size=8),
)
@settings(derandomize=True, max_examples=100, deadline=None)
def test_whole_parts_add_up(total: int, shares: dict[str, float]) -> None:
    parts = whole_parts(total, shares)
    assert min(parts.values()) >= 0
    assert sum(parts.values()) == (total if sum(shares.values()) > 0 else min(total, len(parts)))


def test_allotments_never_add_up_to_more_than_a_node_takes() -> None:
    intake = Intake(Bounds(connections=100, new_per_s=10, cold_us=10 * SECOND, cold_share=0.2))
    cold = ready_nodes("c", started_us=NOW)[0]
    demands = {"a": Demand(5, 1.0), "b": Demand(0, 30.0), "c": Demand(3, 0.0)}
    parts = intake.allot(NOW, cold, demands, 1.0, 4)
    assert sum(part.held for part in parts.values()) + 4 == 20
    assert sum(part.new_per_s for part in parts.values()) == pytest.approx(2.0)
    ill = replace(cold, state="unhealthy")
    assert all(
        part.new_per_s == 0 and part.held == demands[gate].held
        for gate, part in intake.allot(NOW, ill, demands).items()
    )


def test_many_gates_together_have_no_more_than_a_nodes_burst() -> None:
    """Regression, found in a benchmark at full size.

    Twenty gates with a burst of one each sent a cold node twice the connections that it takes in a second.
    """
    intake = Intake(Bounds(connections=400, new_per_s=10, burst=5, cold_us=30 * SECOND, cold_share=0.2))
    cold = ready_nodes("c", started_us=NOW)[0]
    demands = {f"g{n}": Demand(0, 1.0) for n in range(20)}
    served: set[str] = set()
    for step in range(60):
        parts = intake.allot(NOW + step * 10 * SECOND, cold, demands)
        rates = {gate: part for gate, part in parts.items() if part.new_per_s > 0}
        burst = max(1, int(5 * cold.warmth(NOW + step * 10 * SECOND, intake.bounds)))
        assert sum(part.burst for part in rates.values()) <= burst
        assert sum(part.new_per_s for part in parts.values()) == pytest.approx(
            intake.new_per_s(NOW + step * 10 * SECOND, cold)
        )
        served |= rates.keys()
    assert served == demands.keys()  # each gate is eligible at some time


def test_costs_are_learned_from_busy_shares_and_not_from_the_start_values() -> None:
    rng, costs = random.Random(4), CostEstimator(["board", "till"], {"board": 0.05, "till": 0.05})
    real = {"board": 0.02, "till": 0.5}
    for _ in range(300):
        held = {"board": rng.randint(0, 1500), "till": rng.randint(0, 60)}
        requests = rng.uniform(5, 40)
        work = requests + sum(real[name] * count for name, count in held.items())
        costs.observe(work / 100 * rng.uniform(0.9, 1.1), requests, held, 1.0, True)
    assert costs.cost_of("board") == pytest.approx(0.02, rel=0.15) and costs.cost_of("till") == pytest.approx(
        0.5, rel=0.15
    )
    assert costs.capacity() == pytest.approx(100, rel=0.1)


def test_a_class_never_seen_keeps_its_start_value_and_noise_makes_no_cost_negative() -> None:
    rng, costs = random.Random(5), CostEstimator(["board", "never"], {"board": 0.05, "never": 0.3})
    for _ in range(3000):
        costs.observe(rng.uniform(0.1, 0.9), rng.uniform(1, 90), {"board": rng.randint(0, 9)}, 1.0, True)
    assert costs.cost_of("board") >= 0 and costs.capacity() > 0
    assert all(0 <= value < 1e6 for value in costs.theta)
