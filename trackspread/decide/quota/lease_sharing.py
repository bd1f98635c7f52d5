"""Shares quotas by leases: the host leases parts of each tenant's limits to this gateway for a time."""

from __future__ import annotations

from ..settings import Plan
from ..tenant_account import TenantAccount
from . import token_bucket
from .capacity import has_capacity
from .concurrency_limit import has_free_leased_attempt
from .sharing import QuotaSharing


class LeaseSharing(QuotaSharing):
    """Lets each gateway decide alone with what is leased to it."""

    has_static_shares = False
    # What is not leased to this gateway is leased to others or kept by the host.
    has_unresponsive_share = False

    def is_local(self, account: TenantAccount) -> bool:
        """Returns True, because the lease says what this gateway may decide on."""
        return True

    def local_share(self, now: int, account: TenantAccount) -> float:
        """Returns the part of the quota that is leased to this gateway."""
        return account.lease.quota_share

    def refill_share(self, now: int, account: TenantAccount) -> float:
        """Returns the part of the quota that is leased to this gateway."""
        return account.lease.quota_share

    def hard_limit_share(self, account: TenantAccount, refill_share: float, static_share: float) -> float:
        """Returns the part of the hard limit that is leased to this gateway."""
        return account.lease.hard_limit_share

    def token_limit(self, account: TenantAccount, share: float) -> float:
        """Returns the leased part of the burst, or the tokens in the bucket if there are more.

        Tokens already in the bucket are kept when the share decreases.
        """
        return max(account.plan.burst_units * share, account.tokens)

    def count_overflow(
        self, account: TenantAccount, share: float, elapsed_s: float, before: float, limit: float
    ) -> None:
        """Counts refill that is lost because the bucket is full.

        At most one second of it is counted, because the host's messages arrive more often than that.
        """
        rate_per_s = account.plan.rate_per_s
        overflow_units = before + rate_per_s * share * elapsed_s - limit
        account.overflow_units = min(rate_per_s, account.overflow_units + max(0.0, overflow_units))

    def initial_tokens(self, plan: Plan) -> float:
        """Returns 0.0, because the tokens come with the lease."""
        return 0.0

    def has_free_attempt(self, now: int, account: TenantAccount) -> bool:
        """Returns whether one more attempt is within the leased part of the limit."""
        return has_free_leased_attempt(now, account)

    def spend_without_answer(self, now: int, account: TenantAccount, units: float) -> bool:
        """Spends from the bucket at this gateway."""
        return has_capacity(self, now, account, units) and token_bucket.spend(
            self.state, account, units, False
        )
