"""The queue model and the seven cases."""

from __future__ import annotations

import random

import pytest

from trackspread.decide.broker import Broker
from trackspread.decide.mean_value_analysis import mean_values
from trackspread.decide.concurrency_model import QueueModel
from trackspread.decide.seven_cases import Goal, seven_cases
from trackspread.decide.time_units import TICK

from ..helpers import MS, SECOND, arrival, backend, full_list, plan, settings


def test_mean_value_analysis_of_one_customer_has_no_queue() -> None:
    assert mean_values(30.0, 100.0, 1)[1] == pytest.approx(130.0)


def test_mean_value_analysis_saturates_at_the_demand() -> None:
    times = mean_values(10.0, 100.0, 400)
    assert 400 / times[400] == pytest.approx(1 / 10.0, rel=0.01)
    assert times == sorted(times)


def loaded_model(mean: int, out: int) -> QueueModel:
    model = QueueModel(settings())
    for i in range(40):
        model.latency[0].add(i * 20 * MS, 100 * MS)
    model.fit(SECOND, 1, [])
    for i in range(200):
        model.latency[0].add(3 * SECOND + i * 10 * MS, mean)
        if i % 10 == 0:
            model.fit(3 * SECOND + i * 10 * MS, out, [])
    return model


def test_fitted_demand_reproduces_the_recent_mean() -> None:
    model = loaded_model(500 * MS, 20)
    assert model.is_congested
    assert model.response_time_ns(model.mean_in_flight.value) == pytest.approx(model.mean_latency_ns, rel=0.1)


def test_no_rise_means_no_limit() -> None:
    model = loaded_model(105 * MS, 20)
    assert not model.is_congested
    assert model.concurrency_limit is None


def test_more_latency_means_a_lower_limit() -> None:
    mild, bad = loaded_model(500 * MS, 20).concurrency_limit, loaded_model(900 * MS, 20).concurrency_limit
    assert mild is not None and bad is not None
    assert bad < mild


def test_outstanding_attempts_show_a_jam_before_its_answers_come() -> None:
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


@pytest.mark.parametrize(("response", "throughput", "others", "offered"), CASES)
def test_seven_cases(response: Goal, throughput: Goal, others: Goal, offered: int) -> None:
    assert seven_cases(5, 99, response, throughput, others) == offered


@pytest.mark.parametrize("seed", range(300))
def test_levels_past_the_models_range_are_passed_over_and_change_nothing(seed: int) -> None:
    """Beyond what the model has worked out its answers are the same at every level."""
    rng = random.Random(seed)
    flat, wanted = rng.randint(1, 12), rng.randint(2, 40)
    held = [[rng.random() < 0.5 for _ in range(flat + 1)] for _ in range(2)]
    least = rng.randint(1, 2 * wanted)

    def of(which: int) -> Goal:
        return lambda n: held[which][min(n, flat)]

    goals = of(0), at_least(least), of(1)
    assert seven_cases(wanted, flat, *goals) == seven_cases(wanted, wanted, *goals)


def test_a_quota_of_any_size_costs_no_more_than_the_models_range() -> None:
    """Seen with a plan of a million units a second: under pressure each customer's evaluation took seconds,
    and the gateway answered nobody."""
    asked = 0

    def others(n: int) -> bool:
        nonlocal asked
        asked += 1
        return n < 100

    assert seven_cases(2_000_000, 500, at_most(100), at_least(1), others) == 99
    assert asked <= 500


def test_under_pressure_a_customer_with_a_huge_quota_is_evaluated_as_fast_as_any() -> None:
    gateway, asked = (
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
    response = model.response_time_ns

    def counted(in_flight: float) -> float:
        nonlocal asked
        asked += 1
        return response(in_flight)

    model.response_time_ns = counted  # type: ignore[method-assign]
    for customer in range(3):
        gateway.commitments.of_account(0, gateway.quota.account(0, customer, 0)).mean_in_flight.add(0, 3.0)
        gateway.handle(0, arrival(customer, 0, customer=customer, gateway_span=1))
    assert 0 < asked < 1_000
    assert all(1 <= account.cap < 60 for account in list(gateway.commitments.active.values())[1:])


def test_a_gateway_with_few_answers_sees_a_rise() -> None:
    model = QueueModel(settings())
    for i in range(120):
        now = i * 500 * MS
        model.latency[0].add(now, (100 if i < 60 else 700) * MS)
        for tick in range(5):
            model.fit(now + tick * TICK, 2, [])
    assert model.is_congested
    assert model.concurrency_limit is not None


def test_few_late_answers_do_not_read_as_a_demand_that_grows_the_less_is_sent() -> None:
    """Latencies of few answers are remembered for seconds: the number in flight must be too, or each cut of
    what is sent would lower the limit further while the same answers are looked at."""
    model = QueueModel(settings())
    for i in range(40):
        model.latency[0].add(i * 50 * MS, 100 * MS)
    model.fit(2 * SECOND, 1, [])
    for i in range(120):
        if i % 10 == 0:
            model.latency[0].add(2 * SECOND + i * TICK, 600 * MS)
        model.fit(2 * SECOND + i * TICK, 10, [])
    before = model.concurrency_limit
    for i in range(20):  # two seconds with 2 in flight and no answer at all
        model.fit(14 * SECOND + i * TICK, 2, [])
    assert before is not None and model.concurrency_limit is not None
    assert model.concurrency_limit >= 0.7 * before
