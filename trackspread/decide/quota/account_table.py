"""Bounds the table of tenants' accounts, so that ever new tenants cannot use up the memory.

An account may be removed once its contents hardly differ from those of a new one. Until then its removal
would give the tenant its tokens anew.
"""

from __future__ import annotations

from ..tenant_account import NOTHING_LEASED, TenantAccount
from ..time_units import SECOND
from .state import QuotaState

# Time after the last request; by then the token buckets of the account have long been full.
ACCOUNT_LIFETIME_NS = 120 * SECOND
# Time for a tenant with hardly any requests, as most such tenants never return.
RARE_ACCOUNT_LIFETIME_NS = 20 * SECOND
FULL_TABLE_LIFETIME_NS = SECOND  # the same while the table is full
MIN_REFILL_PER_S = 1e-9  # units; keeps the division defined where a plan has no such limit
RARE_QUARTER_UNITS = 8  # A tenant that forwarded at most this many quarter units is treated as rare.
MAX_REMOVAL_CHECKS = 16  # accounts that are checked to make room for one


def lifetime_ns(account: TenantAccount, is_uninformed: bool) -> int:
    """Returns how long the account is kept after its tenant's last request.

    `is_uninformed` means that this gateway receives no usage reports from other gateways.
    """
    if is_uninformed and account.static_tokens < 0.0:
        return ACCOUNT_LIFETIME_NS  # an earlier removal would cancel the overdraft
    if account.forwarded_quarter_units > RARE_QUARTER_UNITS or account.peer_totals:
        return ACCOUNT_LIFETIME_NS
    plan = account.plan
    quota_full_s = 2 * plan.burst_units / max(plan.rate_per_s, MIN_REFILL_PER_S)
    full_ns = int(SECOND * max(quota_full_s, _hard_limit_full_s(account)))
    return min(ACCOUNT_LIFETIME_NS, max(RARE_ACCOUNT_LIFETIME_NS, full_ns))


def lifetime_in_full_table_ns(account: TenantAccount, is_uninformed: bool) -> int:
    """Returns how long the account is kept while the table is full.

    A rare tenant's quota may be exceeded by the few units that it used; its hard limit may not.
    """
    is_overdrawn = is_uninformed and account.static_tokens < 0.0
    if is_overdrawn or account.forwarded_quarter_units > RARE_QUARTER_UNITS:
        return lifetime_ns(account, is_uninformed)
    return max(FULL_TABLE_LIFETIME_NS, int(SECOND * _hard_limit_full_s(account)))


def _hard_limit_full_s(account: TenantAccount) -> float:
    return account.plan.hard_limit_burst_units / max(account.plan.hard_limit_per_s, MIN_REFILL_PER_S)


def is_in_use(account: TenantAccount) -> bool:
    """Returns whether requests, grants or leases refer to the account."""
    return bool(
        account.in_flight
        or account.pending_queries
        or account.owner_record.unsettled_grants
        or account.lease != NOTHING_LEASED
    )


def has_room_for(state: QuotaState, now: int, tenant: int) -> bool:
    """Returns whether the tenant has an account or may get one, if need be in place of another's.

    For a new account in a full table, a limited number of accounts is looked at, the oldest first.
    """
    if tenant in state.accounts or len(state.accounts) < state.settings.max_accounts:
        return True
    for _ in range(MAX_REMOVAL_CHECKS):
        tenant = state.next_removal_candidate()
        account = state.accounts.get(tenant)
        if account is None or is_in_use(account):
            continue
        if now - account.last_request_ns > lifetime_in_full_table_ns(account, state.is_uninformed):
            state.forget_account(tenant)
            return True
    return False
