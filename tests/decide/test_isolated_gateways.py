"""Gateways that never hear of one another: no word, no counter, no meter. What they serve inside quotas and
what goes beyond is judged by one true store for each customer."""

from __future__ import annotations

import random
from unittest.mock import patch

import pytest

from trackspread.decide.broker import TICK_TIMER, Broker
from trackspread.decide.idle_accounts import RARE_ACCOUNT_LIFETIME_NS
from trackspread.decide.actions import StartAttempt
from trackspread.decide.events import FleetChanged, TimerFired
from trackspread.decide.overdraft_chance import overdraft_chance
from trackspread.decide.quota import OVERAGE_PRICE, static_sharing
from trackspread.decide.quota.sharing import QuotaSharing
from trackspread.decide.tenant_account import TenantAccount

from ..helpers import MS, SECOND, arrival, backend, ended, full_list, plan, settings

RATE, BURST = 1.0, 5.0
USUAL = {0.4: 30, 1.0: 8, 3.6: 5}  # customers by what they ask, in quotas


def play(
    gateways: int, demands: dict[float, int], cost: float, seed: int, seconds: int = 45
) -> tuple[float, float]:
    """Units sent on inside the quotas, and beyond them, as parts of what one gateway that saw all would let
    through. Requests are dealt out evenly."""
    rng = random.Random(seed)
    figures = plan(rate_per_s=RATE, burst_units=BURST, overage_cost=cost)
    fleet = []
    for position in range(gateways):
        own = settings(gateway_count=gateways, gateway_index=position, plans=(figures,), may_gossip=False)
        fleet.append(Broker(own, rng.getrandbits(40), 0))
        fleet[-1].handle(0, full_list(backend(1)))
    customers = [demand for demand, many in demands.items() for _ in range(many)]
    came = sorted(
        (rng.uniform(0.0, seconds), customer)
        for customer, demand in enumerate(customers)
        for _ in range(int(demand * RATE * seconds))
    )
    true, ideal, at = [BURST] * len(customers), [BURST] * len(customers), [0.0] * len(customers)
    inside = beyond = offered = 0
    for number, (when, customer) in enumerate(came):
        filled = RATE * (when - at[customer])
        at[customer] = when
        true[customer] = min(BURST, true[customer] + filled)
        ideal[customer] = min(BURST, ideal[customer] + filled)
        if ideal[customer] >= 1.0:
            ideal[customer], offered = ideal[customer] - 1.0, offered + 1
        now, gateway = int(when * SECOND), rng.choice(fleet)
        actions = gateway.handle(now, arrival(number, now, customer=customer, gateway_span=gateways))
        if any(isinstance(action, StartAttempt) for action in actions):
            gateway.handle(now + MS, ended(number, 1))
            if true[customer] >= 1.0:
                true[customer], inside = true[customer] - 1.0, inside + 1
            else:
                beyond += 1
    return inside / offered, beyond / offered


@pytest.mark.parametrize(("gateways", "least"), [(6, 0.85), (30, 0.5), (200, 0.45)])
@pytest.mark.parametrize("cost", [0.5, 1.3, 2.0])
def test_what_is_served_inside_and_what_goes_beyond_quotas_hold_their_bounds(
    gateways: int, least: float, cost: float
) -> None:
    """Seen on the bench: each of 200 gateways had a slice of a few hundredths of a unit and served 0.03."""
    played = [play(gateways, USUAL, cost, seed) for seed in range(3)]
    inside, beyond = (sum(part) / len(played) for part in zip(*played, strict=True))
    assert inside >= least
    assert cost * beyond <= 2 * OVERAGE_PRICE


@pytest.mark.parametrize("demand", [3.6, 50.0])
@pytest.mark.parametrize("gateways", [6, 200])
def test_no_gateway_lets_through_more_than_its_slice_and_one_request(gateways: int, demand: float) -> None:
    inside, beyond = play(gateways, {demand: 1}, 1.3, 1)
    assert inside >= 0.8
    assert (inside + beyond - 1.0) * (BURST + RATE * 45) <= gateways


def test_planted_chance_without_the_bound_of_a_slice_and_one_request_is_told() -> None:
    def planted(sharing: QuotaSharing, now: int, account: TenantAccount, units: float) -> bool:
        return sharing.state.rng.random() < 0.37

    with patch.object(static_sharing, "spend_uninformed", planted):
        inside, beyond = play(6, {50.0: 1}, 1.3, 1)
    assert (inside + beyond - 1.0) * (BURST + RATE * 45) > 10 * 6


def test_what_a_slice_was_overdrawn_by_is_not_forgotten_while_it_is_owed() -> None:
    """The rest of a customer that came once is forgotten sooner."""
    own = settings(
        gateway_count=200,
        plans=(plan(rate_per_s=RATE, burst_units=BURST, overage_cost=0.0),),
        may_gossip=False,
    )
    gateway = Broker(own, 7, 0)
    gateway.handle(0, full_list(backend(1)))
    for customer in range(20):
        gateway.handle(0, arrival(customer, 0, customer=customer, gateway_span=200))
        gateway.handle(0, ended(customer, 1))
    later = int(1.5 * RARE_ACCOUNT_LIFETIME_NS)
    gateway.handle(later, TimerFired(TICK_TIMER))
    for customer in range(20):
        actions = gateway.handle(later, arrival(100 + customer, later, customer=customer, gateway_span=200))
        assert not any(isinstance(action, StartAttempt) for action in actions)


def test_a_request_with_nothing_to_go_by_is_let_through_the_less_the_more_it_may_cost() -> None:
    chances = [overdraft_chance(cost, OVERAGE_PRICE) for cost in (0.0, 0.1, 0.5, 1.0, 2.0, 8.0)]
    assert chances[0] == 1.0 and chances == sorted(chances, reverse=True) and 0.2 < chances[-1] < 0.3


def test_where_a_view_brings_word_of_others_nobody_is_unheard() -> None:
    quota = Broker(settings(gateway_count=200, may_gossip=False), 7, 0).quota
    assert quota.is_uninformed
    seats = tuple(1 << n for n in range(2))
    quota.change_fleet(0, FleetChanged(0, (1,), (0, 1), seats, 1, (2,), 30 * SECOND, 60 * SECOND))
    assert not quota.is_uninformed


def test_a_plan_without_limits_is_let_through_though_nobody_is_heard() -> None:
    free = plan(rate_per_s=0.0, burst_units=0.0)
    gateway = Broker(settings(gateway_count=200, plans=(free,), may_gossip=False), 7, 0)
    gateway.handle(0, full_list(backend(1)))
    for n in range(50):
        actions = gateway.handle(n * MS, arrival(n, n * MS, gateway_span=200))
        assert any(isinstance(action, StartAttempt) for action in actions)
        gateway.handle(n * MS, ended(n, 1))
