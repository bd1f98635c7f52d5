"""Checks a request against concurrency limit and hard limit; `token_bucket.py` checks the quota itself."""

from __future__ import annotations

from ..tenant_account import TenantAccount
from .sharing import QuotaSharing


def has_capacity(sharing: QuotaSharing, now: int, account: TenantAccount, units: float) -> bool:
    """Returns whether concurrency limit and hard limit allow a request of this many units.

    A gateway that is isolated from its fleet has no capacity for plans with any limit.
    """
    plan = account.plan
    if plan.concurrency_limit and not sharing.has_free_attempt(now, account):
        return False
    if plan.hard_limit_per_s and account.hard_limit_tokens < units:
        return False
    is_limited = plan.rate_per_s or plan.concurrency_limit or plan.hard_limit_per_s
    return not (is_limited and sharing.state.static_shares.is_isolated(now))


def exceeded_limit(sharing: QuotaSharing, now: int, account: TenantAccount, units: float) -> str:
    """Returns the limit that rejects a request of this many units, by its name for operators."""
    if sharing.state.static_shares.is_isolated(now):
        return "fleet"
    if account.plan.hard_limit_per_s and account.hard_limit_tokens < units:
        return "ceiling"
    return "quota" if has_capacity(sharing, now, account, units) else "open limit"
