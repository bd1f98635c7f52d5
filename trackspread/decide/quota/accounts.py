"""Creates accounts of tenants and applies changes of plans, limits and leases to them."""

from __future__ import annotations

from dataclasses import replace

from ..decaying_mean import LONG_TERM, SHORT_TERM, DecayingMean
from ..events import AllocationChanged, PlansChanged
from ..peer_messages import QuotaMessage
from ..settings import Plan
from ..tenant_account import CounterRecord, LeasedShares, TenantAccount, TenantGateways, rescaled_tokens
from . import hard_limit, token_bucket
from .freshness import UNRESPONSIVE_NS
from .sharing import QuotaSharing
from .state import QuotaState

GRANT_RATIO_NS = 3 * LONG_TERM  # Time constant of grant ratios, which are kept for longer than demand.


def account_of(
    sharing: QuotaSharing,
    now: int,
    tenant: int,
    plan_index: int,
    gateway_span: int = 0,
    first_gateway: int = 0,
) -> TenantAccount:
    """Returns the tenant's account; creates it if there is none.

    Applies the plan if it has changed. Assigns the static share with the first request that names the
    tenant's gateways: `gateway_span` consecutive gateways, starting at `first_gateway`. The span is 0 if a
    peer asks and no request has arrived here.
    """
    state = sharing.state
    account = state.accounts.get(tenant)
    if account is None:
        account = _new_account(sharing, now, tenant, plan_index)
        state.accounts[tenant] = account
    elif account.plan_index != plan_index:
        change_plan(sharing, now, account, plan_index)
    if gateway_span >= 1 and not account.gateways.share_count and sharing.has_static_shares:
        gateways = state.settings.gateway_count
        if state.view is not None:
            gateways = len(state.view.gateway_slots)
        assign_static_share(sharing, now, account, min(int(gateway_span), gateways), int(first_gateway))
    return account


def _new_account(sharing: QuotaSharing, now: int, tenant: int, plan_index: int) -> TenantAccount:
    state = sharing.state
    plan = plan_of(state, tenant, plan_index)
    account = TenantAccount(
        tenant=tenant,
        plan=plan,
        plan_index=plan_index,
        quota_owner=tenant % state.settings.gateway_count,
        tokens=sharing.initial_tokens(plan),
        refilled_at_ns=now,
        last_request_ns=now,
        tokens_known_at_ns=-UNRESPONSIVE_NS,
        counter=CounterRecord(in_flight_known_at_ns=-UNRESPONSIVE_NS),
        demand=DecayingMean(SHORT_TERM),
        grant_ratio=DecayingMean(GRANT_RATIO_NS),
        long_term_demand=DecayingMean(LONG_TERM),
    )
    account.hard_limit_tokens = sharing.initial_hard_limit_tokens(now, account)
    return account


def assign_static_share(
    sharing: QuotaSharing, now: int, account: TenantAccount, gateway_span: int, first_gateway: int
) -> None:
    """Assigns this gateway's static share, so that all shares together stay within the limits on average.

    The share of a hard limit starts with its part of the slack only, because a restarted gateway cannot know
    that it has restarted.
    """
    state = sharing.state
    settings = state.settings
    share_count = gateway_span
    if (settings.gateway_index - first_gateway) % settings.gateway_count >= gateway_span:
        share_count += 1  # a request arrived here although this gateway is not among the tenant's
    peers = sharing.reporting_peers(gateway_span, first_gateway)
    account.gateways = TenantGateways(first_gateway, gateway_span, share_count, peers)
    share = state.static_shares.share(now, account)
    even_units = account.plan.burst_units * share
    account.tokens = sharing.tokens_at_static_share(account, even_units)
    account.static_tokens = _initial_static_tokens(state, even_units)
    static_part = sharing.static_part_of_hard_limit
    account.hard_limit_tokens += account.plan.hard_limit_slack_units * static_part * share


def _initial_static_tokens(state: QuotaState, even_units: float) -> float:
    """Returns the even share of a burst.

    If that is less than a request, the result is a request's units with the probability that keeps the same
    mean.
    """
    largest_units = state.settings.largest_request_units
    chance = even_units / max(largest_units, 1e-9)
    if chance >= 1.0:
        return even_units
    return largest_units if state.rng.random() < chance else 0.0


def account_of_message(sharing: QuotaSharing, now: int, message: QuotaMessage) -> TenantAccount:
    """Returns the account of the tenant that a peer's message concerns.

    With a fleet view, the message says which gateways are the tenant's.
    """
    account = account_of(sharing, now, message.tenant, message.plan)
    view = sharing.state.view
    if message.gateway_span and not account.gateways.span and view is not None:
        gateways = len(view.gateway_slots)
        account.gateways = replace(
            account.gateways,
            first=message.first_gateway % gateways,
            span=min(message.gateway_span, gateways),
        )
    return account


def plan_of(state: QuotaState, tenant: int, plan_index: int) -> Plan:
    """Returns the plan's limits with the tenant's reservations added.

    A hard limit rises together with the quota. A limit that the plan does not have stays off.
    """
    plan = state.settings.plans[plan_index]
    rate_per_s, burst_units = state.reservations.get(tenant, (0.0, 0.0))
    if not rate_per_s:
        return plan
    hard_limit_per_s = plan.hard_limit_per_s
    hard_limit_burst_units = plan.hard_limit_burst_units
    if hard_limit_per_s > 0.0:
        hard_limit_per_s += rate_per_s
        hard_limit_burst_units += burst_units
    has_quota = plan.rate_per_s > 0.0
    return replace(
        plan,
        rate_per_s=plan.rate_per_s + rate_per_s if has_quota else plan.rate_per_s,
        burst_units=plan.burst_units + burst_units if has_quota else plan.burst_units,
        hard_limit_per_s=hard_limit_per_s,
        hard_limit_burst_units=hard_limit_burst_units,
    )


def change_plan(sharing: QuotaSharing, now: int, account: TenantAccount, plan_index: int) -> None:
    """Changes the limits of the tenant's buckets, after filling them by the old ones up to now.

    If a burst decreases, the tokens are scaled with it; if it increases, their number is kept. A change of
    plan therefore never adds tokens.
    """
    token_bucket.refill(sharing, now, account)
    old = account.plan
    new = plan_of(sharing.state, account.tenant, plan_index)
    account.plan = new
    account.plan_index = plan_index
    account.tokens = rescaled_tokens(account.tokens, old.burst_units, new.burst_units)
    account.static_tokens = rescaled_tokens(account.static_tokens, old.burst_units, new.burst_units)
    account.hard_limit_tokens = rescaled_tokens(
        account.hard_limit_tokens, old.hard_limit_burst_units, new.hard_limit_burst_units
    )


def change_plans(sharing: QuotaSharing, now: int, event: PlansChanged) -> None:
    """Applies other limits of plans and other reservations to all buckets of this gateway."""
    state = sharing.state
    state.settings = replace(state.settings, plans=event.plans)
    state.reservations = {tenant: (rate, burst) for tenant, rate, burst in event.reserved}
    for account in state.accounts.values():
        change_plan(sharing, now, account, account.plan_index)


def change_allocation(sharing: QuotaSharing, now: int, event: AllocationChanged) -> None:
    """Applies the parts of a tenant's limits that the host now leases to this gateway.

    The old parts fill the buckets up to now. A bucket that is new here is filled since this gateway's start:
    whatever an earlier bucket of the tenant spent, its lease ended together with it.
    """
    state = sharing.state
    is_new = event.tenant not in state.accounts
    account = account_of(sharing, now, event.tenant, event.plan)
    lease = LeasedShares(
        event.quota_share, event.hard_limit_share, event.concurrency_share, event.more_expected
    )
    if is_new:
        account.refilled_at_ns = state.started_at_ns
        account.lease = lease
    token_bucket.refill(sharing, now, account)
    account.lease = lease
    _set_leased_tokens(account, event)


def _set_leased_tokens(account: TenantAccount, event: AllocationChanged) -> None:
    """Sets the tokens and deducts what other gateways used.

    Their use is set first against the refill that found the bucket here full, because with that use deducted
    in time, the bucket would not have been full.
    """
    plan = account.plan
    tokens = account.tokens if event.tokens is None else event.tokens
    used_units = max(0.0, event.used_elsewhere_units - account.overflow_units)
    if event.used_elsewhere_units:
        account.overflow_units = 0.0
    account.tokens = max(-plan.burst_units, min(plan.burst_units, tokens) - used_units)
    account.hard_limit_tokens = min(
        hard_limit.full_units(account, event.hard_limit_share), account.hard_limit_tokens
    )
