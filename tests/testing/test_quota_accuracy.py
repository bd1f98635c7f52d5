"""Tests in virtual time that use beyond quotas costs no more than the operators allow.

The cost is compared with that of a policy that sees the true state late, and must not be reached by rejecting
requests within quotas.
"""

from __future__ import annotations

from unittest.mock import patch

import pytest

from trackspread.decide.quota import Quota, token_bucket
from trackspread.testing.judge.ledger import RequestSent, AttemptReceived, Entry, PlanRule
from trackspread.testing.standins.rating_node import SECOND
from trackspread.testing.standins.scenario import MILLISECOND, Scenario
from trackspread.testing.virtual.quota_accuracy import (
    FAULTS,
    SCENARIOS,
    STALENESS_NS,
    compare_policies,
    play,
)

MAX_PRICE_DIFFERENCE = 0.1  # price above that of the policy with stale state
SERVED = {"unheard": 0.75}  # served share of the value inside quotas; 0.9 where gateways receive messages


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("name", SCENARIOS)
def test_excess_cost_is_limited_and_quotas_are_served(name: str, fault: str) -> None:
    run = play(name, fault, 1)
    assert run.price_difference <= MAX_PRICE_DIFFERENCE and run.policy.over_price <= MAX_PRICE_DIFFERENCE
    assert all(
        policy.over_price - stale.over_price <= MAX_PRICE_DIFFERENCE for policy, stale in run.groups.values()
    )
    assert run.policy.inside >= SERVED.get(name, 0.9)


def test_policy_that_admits_everything_is_detected() -> None:
    spent = patch.object(Quota, "is_known_spent", lambda *words: False)
    with patch.object(token_bucket, "spend", lambda *words: True), spent:
        run = play("homes", "calm", 1)
    assert run.policy.over_price > 3 * MAX_PRICE_DIFFERENCE and run.price_difference > MAX_PRICE_DIFFERENCE


def test_both_policies_are_measured_by_exact_quotas() -> None:
    """Four attempts by two gateways at a bucket of two units that hardly refills; the third is rejected."""
    scenario = Scenario(plans={"p": PlanRule(0.001, 2.0)}, excess_cost=2.0)
    cls = scenario.classes[0].name
    entries: list[Entry] = []
    for n, (gateway, at) in enumerate([("a", 0), ("b", 10), ("b", 20), ("a", 30)]):
        now = at * MILLISECOND
        entries.append(RequestSent(now, f"r{n}", f"r{n}", gateway, cls, "p", 7, 1.0, SECOND))
        if n != 2:
            entries.append(AttemptReceived(now, now, f"r{n}", "s", gateway, 1))
    run = compare_policies(scenario, entries)
    # Two of the three forwarded requests were inside the quota. The policy with stale state admits a third
    # and a fourth, because b does not see the units that a took, nor a those that b took.
    assert (run.policy.inside, run.policy.over_price, run.policy.rejected_with_quota_left) == (1.0, 1.0, 0.0)
    assert (run.stale.inside, run.stale.over_price) == (1.0, 2.0)
    late: list[Entry] = [
        RequestSent(0, "r0", "r0", "a", cls, "p", 7, 2.0, SECOND),
        AttemptReceived(0, 0, "r0", "s", "a", 1),
        RequestSent(STALENESS_NS + 1, "r1", "r1", "b", cls, "p", 7, 1.0, SECOND),
    ]
    assert compare_policies(scenario, late).stale.over_price == 0.0
