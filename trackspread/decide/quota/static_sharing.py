"""Shares quotas statically: no peer reports use, and each gateway stays within its part of every limit."""

from __future__ import annotations

from ..tenant_account import TenantAccount
from .concurrency_limit import has_free_static_attempt
from .overdraft import spend_by_grant_ratio, spend_uninformed
from .sharing import QuotaSharing


class StaticSharing(QuotaSharing):
    """Keeps each gateway within its static shares; at most a meter reports afterwards how much was used."""

    def is_local(self, account: TenantAccount) -> bool:
        """Returns whether all of the tenant's requests come through this gateway."""
        return account.gateways.share_count == 1

    def local_share(self, now: int, account: TenantAccount) -> float:
        """Returns 1.0 if all requests come here, otherwise the even share plus a part of the others.

        That part decreases with the age of the last answer.
        """
        if self.is_local(account):
            return 1.0
        return self.share_by_reports(now, account)

    def has_free_attempt(self, now: int, account: TenantAccount) -> bool:
        """Returns whether one more attempt is free, by the static share or the counter's last answer."""
        return has_free_static_attempt(self.state, now, account)

    def spend_without_answer(self, now: int, account: TenantAccount, units: float) -> bool:
        """Spends according to the meter's recent reports, if there are any.

        Otherwise it spends the static share, which one request may overdraw at random.
        """
        if self.state.is_uninformed:
            return spend_uninformed(self, now, account, units)
        return spend_by_grant_ratio(self, now, account, units)
