"""Static shares: no peer reports anything, and each gateway keeps to its own part of every limit."""

from __future__ import annotations

from ..tenant_account import TenantAccount
from .concurrency_limit import has_free_static_attempt
from .overdraft import spend_by_grant_ratio, spend_uninformed
from .sharing import QuotaSharing


class StaticSharing(QuotaSharing):
    """At most a meter tells how much of a quota was used, after the fact."""

    def is_local(self, account: TenantAccount) -> bool:
        """Where all of the tenant's requests come through this gateway."""
        return account.gateways.share_count == 1

    def local_share(self, now: int, account: TenantAccount) -> float:
        """All where all requests come here, else the even share and others' by age of the last
        answer."""
        if self.is_local(account):
            return 1.0
        return self.share_by_reports(now, account)

    def has_free_attempt(self, now: int, account: TenantAccount) -> bool:
        """By the static share, or what a counter said of attempts elsewhere."""
        return has_free_static_attempt(self.state, now, account)

    def spend_without_answer(self, now: int, account: TenantAccount, units: float) -> bool:
        """By what the meter lately said, or else of the static share, with one request by chance."""
        if self.state.is_uninformed:
            return spend_uninformed(self, now, account, units)
        return spend_by_grant_ratio(self, now, account, units)
