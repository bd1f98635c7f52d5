"""Tests the queue model and the seven cases."""

from __future__ import annotations

import random

import pytest

from trackspread.decide.broker import Broker
from trackspread.decide.mean_value_analysis import mean_values
from trackspread.decide.concurrency_model import QueueModel
from trackspread.decide.seven_cases import Goal, seven_cases
from trackspread.decide.time_units import TICK

from ..helpers import MS, SECOND, arrival, backend, full_list, plan, settings


def test_mean_value_analysis_of_one_request_has_no_queue() -> None:
    assert mean_values(30.0, 100.0, 1)[1] == pytest.approx(130.0)


def test_mean_value_analysis_saturates_at_the_demand() -> None:
    times = mean_values(10.0, 100.0, 400)
    assert 400 / times[400] == pytest.approx(1 / 10.0, rel=0.01)
    assert times == sorted(times)


def loaded_model(mean_ns: int, in_flight: int) -> QueueModel:
    model = QueueModel(settings())
    for i in range(40):
        model.latency[0].add(i * 20 * MS, 100 * MS)
    model.fit(SECOND, 1, [])
    for i in range(200):
        model.latency[0].add(3 * SECOND + i * 10 * MS, mean_ns)
        if i % 10 == 0:
            model.fit(3 * SECOND + i * 10 * MS, in_flight, [])
    return model


def test_fitted_demand_reproduces_the_recent_mean() -> None:
    model = loaded_model(500 * MS, 20)
    assert model.is_congested
    assert model.response_time_ns(model.mean_in_flight.value) == pytest.approx(model.mean_latency_ns, rel=0.1)


def test_no_limit_without_higher_latency() -> None:
    model = loaded_model(105 * MS, 20)
    assert not model.is_congested
    assert model.concurrency_limit is None


def test_higher_latency_lowers_limit() -> None:
    moderate, severe = (
        loaded_model(500 * MS, 20).concurrency_limit,
        loaded_model(900 * MS, 20).concurrency_limit,
    )
    assert moderate is not None and severe is not None
    assert severe < moderate


def test_outstanding_attempts_reveal_congestion_before_responses() -> None:
    model = QueueModel(settings())
    for i in range(40):
        model.latency[0].add(i * 20 * MS, 100 * MS)
    model.fit(SECOND, 5, [])
    model.fit(SECOND, 60, [(0, 2 * SECOND)] * 50)
    assert model.is_congested


def at_most(limit: int) -> Goal:
    return lambda n: n <= limit


def at_least(limit: int) -> Goal:
    return lambda n: n >= limit


CASES = [
    pytest.param(at_most(9), at_least(1), at_most(9), 5, id="case 1 accepts"),
    pytest.param(at_most(3), at_least(2), at_most(9), 3, id="case 2 lowers for the response time"),
    pytest.param(at_most(1), at_least(4), at_most(9), 4, id="case 2 keeps the least throughput"),
    pytest.param(at_most(9), at_least(7), at_most(9), 7, id="case 3 raises for the throughput"),
    pytest.param(at_most(8), at_least(20), at_most(9), 8, id="case 3 raises while response and others hold"),
    pytest.param(at_most(3), at_least(20), at_most(9), 3, id="case 4 lowers for the response time"),
    pytest.param(at_most(0), at_least(8), at_most(9), 8, id="case 4 raises for the throughput"),
    pytest.param(at_most(3), at_least(1), at_most(4), 3, id="case 5 keeps every goal"),
    pytest.param(at_most(1), at_least(2), at_most(4), 4, id="case 5 gives up the response time"),
    pytest.param(at_most(9), at_least(9), at_most(4), 4, id="case 6 keeps the others"),
    pytest.param(at_most(2), at_least(9), at_most(4), 4, id="case 7 keeps the others"),
    pytest.param(at_most(2), at_least(9), at_most(0), 0, id="case 7 rejects"),
]


@pytest.mark.parametrize(("response_time", "throughput", "others", "offered"), CASES)
def test_seven_cases(response_time: Goal, throughput: Goal, others: Goal, offered: int) -> None:
    assert seven_cases(5, 99, response_time, throughput, others) == offered


@pytest.mark.parametrize("seed", range(300))
def test_skipping_levels_beyond_model_changes_nothing(seed: int) -> None:
    """Guards against skipping levels that matter; beyond the model's levels its goals no longer change."""
    rng = random.Random(seed)
    model_levels, requested = rng.randint(1, 12), rng.randint(2, 40)
    holds = [[rng.random() < 0.5 for _ in range(model_levels + 1)] for _ in range(2)]
    min_throughput_level = rng.randint(1, 2 * requested)

    def goal(which: int) -> Goal:
        return lambda n: holds[which][min(n, model_levels)]

    goals = goal(0), at_least(min_throughput_level), goal(1)
    assert seven_cases(requested, model_levels, *goals) == seven_cases(requested, requested, *goals)


def test_evaluation_cost_is_independent_of_quota() -> None:
    """Guards against evaluations whose cost grows with the quota.

    With a plan of a million units a second, each evaluation under congestion took seconds, and the gateway
    answered no requests.
    """
    evaluations = 0

    def others(n: int) -> bool:
        nonlocal evaluations
        evaluations += 1
        return n < 100

    assert seven_cases(2_000_000, 500, at_most(100), at_least(1), others) == 99
    assert evaluations <= 500


def test_huge_quota_is_evaluated_quickly_under_congestion() -> None:
    gateway, evaluations = (
        Broker(settings(gateway_count=1, plans=(plan(rate_per_s=1e6, burst_units=1e6),)), 7, 0),
        0,
    )
    gateway.handle(0, full_list(backend(1)))
    model = gateway.model
    model.is_congested, model.delay_ns, model.response_times_ns = (
        True,
        1.0 * MS,
        [n * 100.0 * MS for n in range(60)],
    )
    response_time = model.response_time_ns

    def counted(in_flight: float) -> float:
        nonlocal evaluations
        evaluations += 1
        return response_time(in_flight)

    model.response_time_ns = counted  # type: ignore[method-assign]
    for tenant in range(3):
        gateway.commitments.of_account(0, gateway.quota.account(0, tenant, 0)).mean_in_flight.add(0, 3.0)
        gateway.handle(0, arrival(tenant, 0, customer=tenant, gateway_span=1))
    assert 0 < evaluations < 1_000
    assert all(1 <= account.cap < 60 for account in list(gateway.commitments.active.values())[1:])


def test_few_responses_reveal_higher_latency() -> None:
    model = QueueModel(settings())
    for i in range(120):
        now = i * 500 * MS
        model.latency[0].add(now, (100 if i < 60 else 700) * MS)
        for tick in range(5):
            model.fit(now + tick * TICK, 2, [])
    assert model.is_congested
    assert model.concurrency_limit is not None


def test_few_slow_responses_do_not_spiral_limit_down() -> None:
    """Guards against a limit that falls further with each reduction of the load.

    Latencies of rare responses are remembered for seconds, so the number in flight must be as well. Otherwise
    each cut would lower the limit again while the same responses are counted.
    """
    model = QueueModel(settings())
    for i in range(40):
        model.latency[0].add(i * 50 * MS, 100 * MS)
    model.fit(2 * SECOND, 1, [])
    for i in range(120):
        if i % 10 == 0:
            model.latency[0].add(2 * SECOND + i * TICK, 600 * MS)
        model.fit(2 * SECOND + i * TICK, 10, [])
    before = model.concurrency_limit
    for i in range(20):  # two seconds with 2 in flight and no response at all
        model.fit(14 * SECOND + i * TICK, 2, [])
    assert before is not None and model.concurrency_limit is not None
    assert model.concurrency_limit >= 0.7 * before
