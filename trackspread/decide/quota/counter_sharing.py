"""A shared counter: a number for each tenant that all gateways add to stands for the bucket."""

from __future__ import annotations

from ..tenant_account import TenantAccount
from .overdraft import spend_by_grant_ratio
from .static_sharing import StaticSharing


class CounterSharing(StaticSharing):
    """As with static shares, but the counter is asked, and static shares count where it does not answer."""

    def spend_without_answer(self, now: int, account: TenantAccount, units: float) -> bool:
        """By what the counter lately answered."""
        return spend_by_grant_ratio(self, now, account, units)
