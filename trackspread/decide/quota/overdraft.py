"""Decides requests without an answer: by the static share and, beyond it, at random."""

from __future__ import annotations

from ..decaying_mean import LONG_TERM
from ..overdraft_chance import overdraft_chance
from ..tenant_account import TenantAccount
from ..time_units import SECOND
from .capacity import has_capacity
from .concurrency_limit import UNINFORMED_CHANCE
from .sharing import QuotaSharing

OVERAGE_PRICE = 0.05  # Part of the priority weight of all requests that random overdrafts may cost.
PRIOR_GRANT_SAMPLES = 0.1  # weight of an assumed denial, in addition to the samples of a plan's tenants
PRIOR_PLAN_SAMPLES = 0.5  # weight of the plan's ratio, in addition to the tenant's own samples


def _granted_part(sharing: QuotaSharing, now: int, account: TenantAccount, units: float) -> float:
    """Returns the part of the tenant's demand here that its static share covers; at most 1.

    One request is left out of the demand, because a single request says nothing about how active a tenant is.
    """
    plan = account.plan
    demand = account.long_term_demand
    demand_units_per_s = demand.rate_per_s(now) * demand.value
    one_request_per_s = units * SECOND / LONG_TERM
    share = sharing.state.static_shares.share_or_all(now, account)
    part = (plan.rate_per_s * share + 2 * one_request_per_s) / (demand_units_per_s + one_request_per_s)
    return min(1.0, part)


def spend_by_grant_ratio(sharing: QuotaSharing, now: int, account: TenantAccount, units: float) -> bool:
    """Spends from the static share, or else at random; returns False if denied.

    The probability is that with which the owner, counter or meter would have granted the request. It is
    estimated from their recent answers for this tenant, or else for its plan. As these answers age, it falls
    until only static shares are spent.
    """
    state = sharing.state
    is_within = account.static_tokens >= units
    if not is_within:
        plan_ratio = state.grant_ratio_by_plan[account.plan_index].blend(now, 0.0, PRIOR_GRANT_SAMPLES)
        part = _granted_part(sharing, now, account, units)
        if account.plan.concurrency_limit:
            part *= UNINFORMED_CHANCE
        chance = account.grant_ratio.blend(now, plan_ratio, PRIOR_PLAN_SAMPLES) * part
        if not state.rng.random() < chance:
            return False
    if not has_capacity(sharing, now, account, units):
        return False
    if is_within:
        account.static_tokens -= units
    account.hard_limit_tokens -= units
    if state.view is not None:
        # The next owner learns of this use from the balance that this gateway reports.
        account.tokens = max(0.0, account.tokens - units)
    return True


def spend_uninformed(sharing: QuotaSharing, now: int, account: TenantAccount, units: float) -> bool:
    """Spends without any information about other gateways; returns False if denied.

    The units come out of the static share, which one request may overdraw at random. The overdraft is thus at
    most one request for each gateway, and later refill makes up for it. The more requests the share covers,
    the higher the probability, because less is then left unused in shares of other gateways.
    """
    state = sharing.state
    plan = account.plan
    is_limited = plan.rate_per_s or plan.concurrency_limit or plan.hard_limit_per_s
    missing_units = units - account.static_tokens
    if is_limited and missing_units > 0.0:
        largest_units = max(state.settings.largest_request_units, units)
        if missing_units > largest_units:
            return False
        if not state.rng.random() < _uninformed_chance(sharing, now, account, largest_units):
            return False
    if not has_capacity(sharing, now, account, units):
        return False
    if plan.rate_per_s:
        account.static_tokens -= units
    account.hard_limit_tokens -= units
    return True


def _uninformed_chance(
    sharing: QuotaSharing, now: int, account: TenantAccount, largest_units: float
) -> float:
    """Returns the probability that a request of up to `largest_units` may overdraw the static share."""
    state = sharing.state
    plan = account.plan
    chance = 1.0
    if plan.rate_per_s:
        span_s = min(LONG_TERM, now - state.started_at_ns) / SECOND
        share = state.static_shares.share(now, account)
        paid_requests = (plan.burst_units + plan.rate_per_s * span_s) * share / largest_units
        chance = overdraft_chance(plan.overage_cost, OVERAGE_PRICE) * (1.0 + paid_requests)
    if plan.concurrency_limit:
        chance *= UNINFORMED_CHANCE
    return chance
