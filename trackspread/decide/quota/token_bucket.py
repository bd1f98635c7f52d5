"""Implements the token bucket of a tenant's quota at this gateway: refill, spending and use elsewhere."""

from __future__ import annotations

from ..tenant_account import TenantAccount
from ..time_units import SECOND
from . import hard_limit
from .sharing import QuotaSharing
from .state import RETURN_WINDOW_NS, QuotaState


def refill(sharing: QuotaSharing, now: int, account: TenantAccount) -> None:
    """Refills all buckets of the account up to `now`.

    While this gateway is isolated from its fleet the buckets stay unchanged, because other gateways may use
    what would have been added.
    """
    state = sharing.state
    elapsed_s = (now - account.refilled_at_ns) / SECOND
    account.refilled_at_ns = now
    plan = account.plan
    if state.static_shares.is_isolated(now):
        missing_units = plan.burst_units - account.tokens
        unresponsive_units = account.unresponsive_units + plan.rate_per_s * elapsed_s
        account.unresponsive_units = min(missing_units, unresponsive_units)
        hard_limit.forget_arrivals(account)
        return
    share = sharing.refill_share(now, account)
    static_share = state.static_shares.share(now, account)
    if elapsed_s:
        _refill_tokens(sharing, now, account, share, elapsed_s)
    account.static_tokens = min(
        max(plan.burst_units * static_share, state.settings.largest_request_units),
        account.static_tokens + plan.rate_per_s * static_share * elapsed_s,
    )
    hard_limit.refill(account, sharing.hard_limit_share(account, share, static_share), elapsed_s)


def _refill_tokens(
    sharing: QuotaSharing, now: int, account: TenantAccount, share: float, elapsed_s: float
) -> None:
    """Refills the bucket with this share of the quota.

    The rest belongs to unresponsive peers. What they did not use is added here after they have become
    responsive and have reported their use.
    """
    plan = account.plan
    before = account.tokens
    limit = sharing.token_limit(account, share)
    account.tokens = min(limit, before + plan.rate_per_s * share * elapsed_s)
    sharing.count_overflow(account, share, elapsed_s, before, limit)
    if share < 1.0 and sharing.has_unresponsive_share:
        unresponsive_units = (
            account.unresponsive_units
            + plan.rate_per_s * (1.0 - share) * elapsed_s
            + max(0.0, before - limit)
        )
        account.unresponsive_units = min(plan.burst_units - account.tokens, unresponsive_units)
    elif account.unresponsive_units and now - sharing.state.last_return_ns >= RETURN_WINDOW_NS:
        account.tokens = min(limit, account.tokens + account.unresponsive_units)
        account.unresponsive_units = 0.0


def spend(state: QuotaState, account: TenantAccount, units: float, pays_overage: bool) -> bool:
    """Takes units out of the buckets; returns False, without any change, if they do not suffice.

    The quota must cover the units unless `pays_overage` is set; the hard limit must always cover them.
    """
    plan = account.plan
    is_within = not plan.rate_per_s or account.tokens >= units
    if not (is_within or pays_overage):
        return False
    if plan.hard_limit_per_s and account.hard_limit_tokens < units:
        return False
    account.hard_limit_tokens -= units
    if is_within and plan.rate_per_s:
        account.tokens -= units
        state.announcements.change(account)
        account.count_forwarded(units)
    return True


def deduct_use_elsewhere(account: TenantAccount, units: float, unresponsive_ns: int) -> None:
    """Deducts what other gateways used from the bucket here, even below 0.

    Otherwise two gateways would spend the same refill. `unresponsive_ns` is the time in which the reporter
    could not report, or 0. Use in such a time is set first against refill that was not added to the bucket
    here (`overflow_units`), and the rest does not bring the bucket below 0.
    """
    least_tokens = -account.plan.burst_units
    if unresponsive_ns:
        refilled_units = account.plan.rate_per_s * unresponsive_ns / SECOND
        covered_units = min(units, account.overflow_units, refilled_units)
        least_tokens = 0.0
        account.overflow_units -= covered_units
        units -= covered_units
        account.unresponsive_units = max(0.0, account.unresponsive_units - covered_units - units)
    account.tokens = min(account.tokens, max(least_tokens, account.tokens - units))
