"""The token bucket of a tenant's quota as it stands at this gateway: refill, spending, and use elsewhere."""

from __future__ import annotations

from ..tenant_account import TenantAccount
from ..time_units import SECOND
from . import hard_limit
from .sharing import QuotaSharing
from .state import RETURN_WINDOW_NS

ANNOUNCEMENTS = 3  # messages of totals that report a change: one may be lost, and another late


def refill(sharing: QuotaSharing, now: int, account: TenantAccount) -> None:
    """Bring all buckets of the account up to `now`. While this gateway is cut off from its fleet they stay as
    they are, and what the time would have brought may be used by others."""
    state = sharing.state
    elapsed_s = (now - account.refilled_at_ns) / SECOND
    account.refilled_at_ns = now
    plan = account.plan
    if state.static_shares.is_cut_off(now):
        missing_units = plan.burst_units - account.tokens
        unresponsive_units = account.unresponsive_units + plan.rate_per_s * elapsed_s
        account.unresponsive_units = min(missing_units, unresponsive_units)
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
    """Fill the bucket by this share of the quota. The rest belongs to unresponsive peers; it comes back
    here when they respond again and have reported what they used."""
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


def spend(account: TenantAccount, units: float, pays_overage: bool) -> bool:
    """Take units out of the buckets; False, and nothing taken, where the quota is spent (unless units beyond
    it are paid for) or the hard limit is."""
    plan = account.plan
    is_within = not plan.rate_per_s or account.tokens >= units
    if not (is_within or pays_overage):
        return False
    if plan.hard_limit_per_s and account.hard_limit_tokens < units:
        return False
    account.hard_limit_tokens -= units
    if is_within and plan.rate_per_s:
        account.tokens -= units
        account.announcements_due = ANNOUNCEMENTS
        account.count_forwarded(units)
    return True


def deduct_use_elsewhere(account: TenantAccount, units: float, unresponsive_ns: int) -> None:
    """Take what others used off the bucket here, also below 0, or two gateways would spend the same refill.

    `unresponsive_ns`: how long the reporter could not report; 0 where it could. What was used in such a time
    is set first against the refill that never came into the bucket here (`overflow_units`), and the bucket
    does not fall below 0 by the rest."""
    least_tokens = -account.plan.burst_units
    if unresponsive_ns:
        refilled_units = account.plan.rate_per_s * unresponsive_ns / SECOND
        covered_units = min(units, account.overflow_units, refilled_units)
        least_tokens = 0.0
        account.overflow_units -= covered_units
        units -= covered_units
        account.unresponsive_units = max(0.0, account.unresponsive_units - covered_units - units)
    account.tokens = min(account.tokens, max(least_tokens, account.tokens - units))
