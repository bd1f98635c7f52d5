"""Quiet days in virtual time: what goes beyond quotas costs no more than the operators allow, beside a policy
that sees the true state late, and is not bought with refusals."""

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

ALLOWED = 0.1  # price over that of the late-seeing policy
SERVED = {"unheard": 0.75}  # part of the worth inside quotas; where anybody is heard 0.9


@pytest.mark.parametrize("trouble", FAULTS)
@pytest.mark.parametrize("name", SCENARIOS)
def test_beyond_quotas_costs_no_more_than_is_allowed_and_most_is_let_through(name: str, trouble: str) -> None:
    day = play(name, trouble, 1)
    assert day.price_difference <= ALLOWED and day.policy.over_price <= ALLOWED
    assert all(policy.over_price - stale.over_price <= ALLOWED for policy, stale in day.groups.values())
    assert day.policy.inside >= SERVED.get(name, 0.9)


def test_planted_a_policy_that_lets_all_through_is_told() -> None:
    spent = patch.object(Quota, "is_known_spent", lambda *words: False)
    with patch.object(token_bucket, "spend", lambda *words: True), spent:
        day = play("homes", "calm", 1)
    assert day.policy.over_price > 3 * ALLOWED and day.price_difference > ALLOWED


def test_both_sides_are_judged_by_the_true_store() -> None:
    """One store of two units that hardly fills; four tries by two gateways, of which the third is refused."""
    scenario = Scenario(plans={"p": PlanRule(0.001, 2.0)}, excess_cost=2.0)
    cls = scenario.classes[0].name
    entries: list[Entry] = []
    for n, (gateway, at) in enumerate([("a", 0), ("b", 10), ("b", 20), ("a", 30)]):
        now = at * MILLISECOND
        entries.append(RequestSent(now, f"r{n}", f"r{n}", gateway, cls, "p", 7, 1.0, SECOND))
        if n != 2:
            entries.append(AttemptReceived(now, now, f"r{n}", "s", gateway, 1))
    day = compare_policies(scenario, entries)
    # Two of three that were sent on were inside; the late-seeing one lets a third and a fourth through: at b
    # what a took is unseen, at a what b did.
    assert (day.policy.inside, day.policy.over_price, day.policy.rejected_with_quota_left) == (1.0, 1.0, 0.0)
    assert (day.stale.inside, day.stale.over_price) == (1.0, 2.0)
    late: list[Entry] = [
        RequestSent(0, "r0", "r0", "a", cls, "p", 7, 2.0, SECOND),
        AttemptReceived(0, 0, "r0", "s", "a", 1),
        RequestSent(STALENESS_NS + 1, "r1", "r1", "b", cls, "p", 7, 1.0, SECOND),
    ]
    assert compare_policies(scenario, late).stale.over_price == 0.0
