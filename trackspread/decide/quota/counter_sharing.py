"""Shares quotas through a counter, where one number for each tenant represents its bucket.

All gateways add to this number.
"""

from __future__ import annotations

from ..tenant_account import TenantAccount
from .overdraft import spend_by_grant_ratio
from .static_sharing import StaticSharing


class CounterSharing(StaticSharing):
    """Asks the counter, and uses static shares where it does not answer."""

    def spend_without_answer(self, now: int, account: TenantAccount, units: float) -> bool:
        """Spends according to the counter's recent answers."""
        return spend_by_grant_ratio(self, now, account, units)
