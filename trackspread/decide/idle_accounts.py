"""Removes the accounts of idle tenants, so that memory does not grow with every tenant ever seen.

An account is kept after its tenant's last request for as long as its contents differ from those of a new one.
"""

from __future__ import annotations

from .quota import Quota
from .quota.account_table import lifetime_ns
from .time_units import SECOND

SWEEP_INTERVAL_NS = 10 * SECOND
MAX_CHECKS = 1000  # of accounts in one tick


class IdleAccountSweep:
    """Removes idle accounts at regular intervals, and checks a limited number in each tick."""

    def __init__(self, quota: Quota, now: int) -> None:
        self._quota = quota
        self._started_at_ns = now  # of the present sweep or the last one
        self._unchecked: list[int] = []  # tenants that the present sweep has still to check

    def sweep(self, now: int) -> None:
        """Goes on with the present sweep, or begins the next one when it is due."""
        if not self._unchecked:
            if now - self._started_at_ns < SWEEP_INTERVAL_NS:
                return
            self._begin(now)
        for tenant in self._unchecked[-MAX_CHECKS:]:
            self._check(now, tenant)
        del self._unchecked[-MAX_CHECKS:]

    def _begin(self, now: int) -> None:
        self._started_at_ns = now
        quota = self._quota
        # Names on the shared counter stay while a call is in flight.
        quota.counter_calls = {name: calls for name, calls in quota.counter_calls.items() if calls}
        self._unchecked = list(quota.accounts)

    def _check(self, now: int, tenant: int) -> None:
        quota = self._quota
        account = quota.accounts.get(tenant)
        if account is None or account.in_flight:
            return
        if now - account.last_request_ns > lifetime_ns(account, quota.is_uninformed):
            quota.forget_account(tenant)
