"""Leases: the host says which part of each tenant's limits is this gateway's, and for how long."""

from __future__ import annotations

from ..settings import Plan
from ..tenant_account import TenantAccount
from . import token_bucket
from .capacity import has_capacity
from .concurrency_limit import has_free_leased_attempt
from .sharing import QuotaSharing


class LeaseSharing(QuotaSharing):
    """Each gateway decides alone with what is leased to it."""

    has_static_shares = False
    has_unresponsive_share = False  # what is not leased here is leased to others, or kept by the host

    def is_local(self, account: TenantAccount) -> bool:
        """Always true: the lease says what this gateway may decide on."""
        return True

    def local_share(self, now: int, account: TenantAccount) -> float:
        """The part of the quota that is leased here."""
        return account.lease.quota_share

    def refill_share(self, now: int, account: TenantAccount) -> float:
        """The part of the quota that is leased here."""
        return account.lease.quota_share

    def hard_limit_share(self, account: TenantAccount, refill_share: float, static_share: float) -> float:
        """The part of the hard limit that is leased here."""
        return account.lease.hard_limit_share

    def token_limit(self, account: TenantAccount, share: float) -> float:
        """A share that falls takes no units along: what is in the bucket stays."""
        return max(account.plan.burst_units * share, account.tokens)

    def count_overflow(
        self, account: TenantAccount, share: float, elapsed_s: float, before: float, limit: float
    ) -> None:
        """What found the bucket full, for a second at most: the host's messages come sooner."""
        rate_per_s = account.plan.rate_per_s
        overflow_units = before + rate_per_s * share * elapsed_s - limit
        account.overflow_units = min(rate_per_s, account.overflow_units + max(0.0, overflow_units))

    def initial_tokens(self, plan: Plan) -> float:
        """None: they come with the lease."""
        return 0.0

    def has_free_attempt(self, now: int, account: TenantAccount) -> bool:
        """By the part of the limit that is leased here."""
        return has_free_leased_attempt(now, account)

    def spend_without_answer(self, now: int, account: TenantAccount, units: float) -> bool:
        """Of the bucket here."""
        return has_capacity(self, now, account, units) and token_bucket.spend(account, units, False)
