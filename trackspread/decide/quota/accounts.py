"""Accounts of tenants: how they begin, and how they go over to other plans, figures and leases."""

from __future__ import annotations

from dataclasses import replace

from ..decaying_mean import LONG_TERM, SHORT_TERM, DecayingMean
from ..events import AllocationChanged, PlansChanged
from ..peer_messages import QuotaMessage
from ..settings import Plan
from ..tenant_account import CounterRecord, LeasedShares, TenantAccount, TenantGateways, rescaled_tokens
from . import token_bucket
from .freshness import UNRESPONSIVE_NS
from .sharing import QuotaSharing
from .state import QuotaState

GRANT_RATIO_NS = 3 * LONG_TERM  # what was granted counts for longer than what was asked for


def account_of(
    sharing: QuotaSharing,
    now: int,
    tenant: int,
    plan_index: int,
    gateway_span: int = 0,
    first_gateway: int = 0,
) -> TenantAccount:
    """The tenant's account; made where there is none. Takes up another plan, and the static share with the
    first request that says which gateways are the tenant's: `gateway_span` gateways in a row from
    `first_gateway` on; the span is 0 when a peer asks and no request came here."""
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
    """Start this gateway's static share so that all together have no more than the limits, on average. A hard
    limit's starts with its part of the slack alone: a restarted gateway cannot know that it is one."""
    state = sharing.state
    settings = state.settings
    share_count = gateway_span
    if (settings.gateway_index - first_gateway) % settings.gateway_count >= gateway_span:
        share_count += 1  # a request came here all the same
    peers = sharing.reporting_peers(gateway_span, first_gateway)
    account.gateways = TenantGateways(first_gateway, gateway_span, share_count, peers)
    share = state.static_shares.share(now, account)
    even_units = account.plan.burst_units * share
    account.tokens = sharing.tokens_at_static_share(account, even_units)
    account.static_tokens = _initial_static_tokens(state, even_units)
    static_part = sharing.static_part_of_hard_limit
    account.hard_limit_tokens += account.plan.hard_limit_slack_units * static_part * share


def _initial_static_tokens(state: QuotaState, even_units: float) -> float:
    """The even share of a burst; where it is less than a request, a request's units with that chance."""
    largest_units = state.settings.largest_request_units
    chance = even_units / max(largest_units, 1e-9)
    if chance >= 1.0:
        return even_units
    return largest_units if state.rng.random() < chance else 0.0


def account_of_message(sharing: QuotaSharing, now: int, message: QuotaMessage) -> TenantAccount:
    """The account of the tenant that a peer's message is on; by a view it says which gateways are the
    tenant's."""
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
    """The plan's figures with what the tenant has reserved on top. A hard limit rises with its quota; a limit
    that the plan does not have stays off."""
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
    """The tenant's buckets go over to the figures of another plan, filled by the old ones until now. Units
    are kept as a part of a burst that falls, as a number where it rises: never a gift."""
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
    """Other figures of plans and reservations hold from now on, in all buckets here."""
    state = sharing.state
    state.settings = replace(state.settings, plans=event.plans)
    state.reservations = {tenant: (rate, burst) for tenant, rate, burst in event.reserved}
    for account in state.accounts.values():
        change_plan(sharing, now, account, account.plan_index)


def change_allocation(sharing: QuotaSharing, now: int, event: AllocationChanged) -> None:
    """The host leases other parts of a tenant's limits to this gateway; the old ones filled the buckets until
    now. A bucket that is new here has filled since this gateway's start: whatever a former one spent, its
    lease went with it."""
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
    """What others used came out of what found the bucket full here: then it was not full for all of the
    time."""
    plan = account.plan
    tokens = account.tokens if event.tokens is None else event.tokens
    used_units = max(0.0, event.used_elsewhere_units - account.overflow_units)
    if event.used_elsewhere_units:
        account.overflow_units = 0.0
    account.tokens = max(-plan.burst_units, min(plan.burst_units, tokens) - used_units)
    account.hard_limit_tokens = min(
        plan.hard_limit_burst_units * event.hard_limit_share, account.hard_limit_tokens
    )
