"""When a tenant's account is forgotten: memory must not grow with all tenants that ever came.

An account outlasts its tenant's last request for as long as what it knows differs from a new one's.
"""

from __future__ import annotations

from .quota import Quota
from .tenant_account import TenantAccount
from .time_units import SECOND

SWEEP_INTERVAL_NS = 10 * SECOND
ACCOUNT_LIFETIME_NS = 120 * SECOND  # after the last request; its token buckets are long since full
RARE_ACCOUNT_LIFETIME_NS = 20 * SECOND  # of a tenant that hardly came: most such never come again
MIN_RATE_PER_S = 1e-9  # of units, taken where a plan has no such limit
RARE_QUARTER_UNITS = 8  # forwarded up to which a tenant hardly came


def lifetime_ns(account: TenantAccount, is_uninformed: bool) -> int:
    """How long the account outlasts its tenant's last request. `is_uninformed`: this gateway hears of others'
    use from nobody."""
    if is_uninformed and account.static_tokens < 0.0:
        return ACCOUNT_LIFETIME_NS  # what was overdrawn would be forgotten with it
    if account.forwarded_quarter_units > RARE_QUARTER_UNITS or account.peer_totals:
        return ACCOUNT_LIFETIME_NS
    plan = account.plan
    quota_full_s = 2 * plan.burst_units / max(plan.rate_per_s, MIN_RATE_PER_S)
    hard_limit_full_s = plan.hard_limit_burst_units / max(plan.hard_limit_per_s, MIN_RATE_PER_S)
    full_ns = int(SECOND * max(quota_full_s, hard_limit_full_s))
    return min(ACCOUNT_LIFETIME_NS, max(RARE_ACCOUNT_LIFETIME_NS, full_ns))


class IdleAccountSweep:
    """Forgets idle accounts from time to time."""

    def __init__(self, quota: Quota, now: int) -> None:
        self._quota = quota
        self._swept_at_ns = now

    def is_due(self, now: int) -> bool:
        """Whether the last sweep is long enough ago."""
        return now - self._swept_at_ns >= SWEEP_INTERVAL_NS

    def sweep(self, now: int) -> None:
        """Forget idle accounts, and names of the shared counter without a call in flight."""
        self._swept_at_ns = now
        quota = self._quota
        quota.counter_calls = {name: calls for name, calls in quota.counter_calls.items() if calls}
        quota.accounts = {
            tenant: account
            for tenant, account in quota.accounts.items()
            if account.in_flight or now - account.last_request_ns <= lifetime_ns(account, quota.is_uninformed)
        }
