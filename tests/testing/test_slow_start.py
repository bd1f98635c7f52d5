"""Cold backends get no more than they can bear from all gateways together, and the ramp is used."""

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
USED = 0.6  # least part of the warm backends' load that cold ones have, for what they can do; 0.84 on average
GATEWAYS = 20
WIDE = plan(rate_per_s=1000.0, burst_units=1000.0)


@pytest.mark.parametrize("seed", SEEDS)
def test_all_gateways_together_keep_a_cold_backends_budget_and_use_it(seed: int) -> None:
    run = play(seed)
    assert run.worst_excess <= 0.0
    assert run.relative_load > USED
    assert not run.violations


@pytest.mark.parametrize("seed", range(1, 11))
def test_the_budget_holds_while_all_backends_come_back_cold(seed: int) -> None:
    run = play_none_warm(seed)
    assert run.worst_excess <= 0.0
    assert not run.violations


def test_gateways_that_start_while_all_backends_are_cold_take_turns_at_each() -> None:
    """None of them has ever seen a warm backend, so none knows what one carries."""
    aim = min(c.latency_objective_ns for c in settings().classes)
    changes: dict[str, Any] = {"gateway_count": GATEWAYS, "plans": (WIDE,), "may_gossip": False}
    fleet = [
        Broker(settings(gateway_index=n, slow_start_ns=60 * SECOND, **changes), n, SECOND)
        for n in range(GATEWAYS)
    ]
    for gateway in fleet:
        gateway.handle(SECOND, full_list(backend(1, booted=1), backend(2, booted=1)))
    sent: Counter[tuple[int, int]] = Counter()
    request = 0
    for now in range(SECOND, SECOND + 2 * GATEWAYS * aim, 100 * MS):
        for gateway in fleet:
            gateway.handle(now, TimerFired(1))
            request += 1
            for action in gateway.handle(now, arrival(request, now)):
                if isinstance(action, StartAttempt):
                    sent[action.backend, now // aim] += 1
                    gateway.handle(now + 50 * MS, ended(request, action.backend))
    assert set(sent.values()) == {1}
    assert len(sent) == 2 * 2 * GATEWAYS


def test_warm_backends_that_go_do_not_raise_what_a_cold_one_gets() -> None:
    """What was sent to ten is not what one of them carries."""
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
    cold, start = 0, now
    for request in range(400, 450):
        now += 10 * MS
        gateway.handle(now, TimerFired(1))
        for action in gateway.handle(now, arrival(request, now)):
            if isinstance(action, StartAttempt):
                cold += action.backend == 11
                gateway.handle(now + MS, ended(request, action.backend))
    # Ten a second each before, up to a hundred a second at the last one since.
    most = (now - start) / SECOND * settings().slow_start_capacity * 100.0
    assert cold <= most / 2 + 1
