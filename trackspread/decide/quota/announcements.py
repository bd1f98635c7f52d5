"""Orders the accounts whose use has to be reported to peers."""

from __future__ import annotations

from ..tenant_account import TenantAccount

# Number of messages of usage totals that report a change, because one may be lost and another delayed.
ANNOUNCEMENTS = 3
MAX_CANDIDATES = 512  # accounts that are compared for one message


class Announcements:
    """Holds the accounts with a change to report; those that were looked at longest ago come first."""

    def __init__(self) -> None:
        self._due: dict[int, TenantAccount] = {}  # by tenant

    def change(self, account: TenantAccount) -> None:
        """Has the next messages report the account."""
        account.announcements_due = ANNOUNCEMENTS
        self.add(account)

    def add(self, account: TenantAccount) -> None:
        """Has messages report the account as often as it says."""
        self._due[account.tenant] = account

    def forget(self, tenant: int) -> None:
        """Removes a tenant whose account is gone."""
        self._due.pop(tenant, None)

    def take(self, most: int, has_view: bool) -> list[TenantAccount]:
        """Returns at most `most` accounts, the least reported first, and counts them as reported once more.

        `has_view` says that all gateways of a fleet view hear the reports, and not only a tenant's own.
        """
        candidates: list[TenantAccount] = []
        for tenant in [tenant for tenant, _ in zip(self._due, range(MAX_CANDIDATES), strict=False)]:
            account = self._due.pop(tenant)
            if account.announcements_due:
                self._due[tenant] = account
                if account.gateways.peers or has_view:
                    candidates.append(account)
        candidates.sort(key=lambda account: (-account.announcements_due, account.tenant))
        announced = candidates[:most]
        for account in announced:
            account.announcements_due -= 1
        return announced
