"""Tests that backends that warm up are not overloaded by all gateways together, and that they get work."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest

from trackspread.decide.broker import Broker
from trackspread.decide.actions import StartAttempt
from trackspread.decide.events import TimerFired
from trackspread.testing.virtual.slow_start import play, play_none_warm

from ..helpers import MS, SECOND, arrival, backend, ended, full_list, plan, settings

SEEDS = range(1, 31)
# Least load of backends that warm up, relative to capacity and the load of warm ones; 0.84 on average.
MIN_RELATIVE_LOAD = 0.6
GATEWAYS = 20
WIDE = plan(rate_per_s=1000.0, burst_units=1000.0)


@pytest.mark.parametrize("seed", SEEDS)
def test_gateways_together_keep_and_use_warming_capacity(seed: int) -> None:
    run = play(seed)
    assert run.worst_excess <= 0.0
    assert run.relative_load > MIN_RELATIVE_LOAD
    assert not run.violations


@pytest.mark.parametrize("seed", range(1, 11))
def test_capacity_holds_while_all_backends_warm_up(seed: int) -> None:
    run = play_none_warm(seed)
    assert run.worst_excess <= 0.0
    assert not run.violations


def test_new_gateways_take_turns_at_backends_that_warm_up() -> None:
    """No gateway has seen a warm backend yet, so none knows the load that a backend can take."""
    objective_ns = min(c.latency_objective_ns for c in settings().classes)
    changes: dict[str, Any] = {"gateway_count": GATEWAYS, "plans": (WIDE,), "may_gossip": False}
    fleet = [
        Broker(settings(gateway_index=n, slow_start_ns=60 * SECOND, **changes), n, SECOND)
        for n in range(GATEWAYS)
    ]
    for gateway in fleet:
        gateway.handle(SECOND, full_list(backend(1, booted=1), backend(2, booted=1)))
    sent: Counter[tuple[int, int]] = Counter()
    request = 0
    for now in range(SECOND, SECOND + 2 * GATEWAYS * objective_ns, 100 * MS):
        for gateway in fleet:
            gateway.handle(now, TimerFired(1))
            request += 1
            for action in gateway.handle(now, arrival(request, now)):
                if isinstance(action, StartAttempt):
                    sent[action.backend, now // objective_ns] += 1
                    gateway.handle(now + 50 * MS, ended(request, action.backend))
    assert set(sent.values()) == {1}
    assert len(sent) == 2 * 2 * GATEWAYS


def test_leaving_warm_backends_do_not_raise_a_warming_share() -> None:
    """Guards against taking the load of ten backends as the load that one of them can take."""
    gateway = Broker(settings(plans=(WIDE,), gateway_count=1, may_gossip=False), 7, 0)
    warm = [backend(number) for number in range(1, 11)]
    gateway.handle(0, full_list(*warm))
    now = 0
    for request in range(400):
        now += 10 * MS
        gateway.handle(now, TimerFired(1))
        for action in gateway.handle(now, arrival(request, now)):
            if isinstance(action, StartAttempt):
                gateway.handle(now + MS, ended(request, action.backend))
    gateway.handle(now, full_list(warm[0], backend(11, booted=now)))
    sent_to_warming, start = 0, now
    for request in range(400, 450):
        now += 10 * MS
        gateway.handle(now, TimerFired(1))
        for action in gateway.handle(now, arrival(request, now)):
            if isinstance(action, StartAttempt):
                sent_to_warming += action.backend == 11
                gateway.handle(now + MS, ended(request, action.backend))
    # Before, each backend got ten requests a second; since, the remaining one gets up to a hundred a second.
    limit = (now - start) / SECOND * settings().slow_start_capacity * 100.0
    assert sent_to_warming <= limit / 2 + 1
