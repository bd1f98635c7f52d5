"""Checks by exact formulas that a tenant spends no more units than its limits allow.

The formulas (docs/design/testbed.md) are for a limit of rate r and burst b, of which the part p is planned,
under clocks that drift by at most d:
- Leases: over all forwarders, by each one's own clock, unexpired rates sum to at most p r / (1 + d) and
  unexpired bursts to at most p b.
- Leased units: a token bucket that starts empty, refills at p r and has at most p b tokens covers all units
  that are spent from leases, anywhere. For static shares the same holds with 1 - p. As both buckets start
  empty, no unit is granted twice.
- The table: its tokens are never below 0, and the tokens and outstanding bursts sum to at most p b.

The module uses only the formulas and the spent units, and no code of lease tables and holders.
"""

from __future__ import annotations

from collections.abc import Iterable

from ...judge.token_bucket import TokenBucket
from ....planning.limits import Limit, TenantLimit
from ....planning.timing import CLOCK_DRIFT

ROUNDING_UNITS = 1e-6  # tolerance, because tokens are floats


def _empty_bucket(rate: float, burst: float, now: int) -> TokenBucket:
    bucket = TokenBucket(rate, burst, now)
    bucket.tokens = 0.0
    return bucket


class LimitAccount:
    """Checks one limit of one tenant; each check returns what is wrong, or an empty text.

    `excess_units` is the largest number of units that were spent beyond the limit.
    """

    def __init__(self, limit: TenantLimit, now: int) -> None:
        rate, burst = limit.limit
        part = limit.planned_part
        self.limit = limit
        self.max_leased = Limit(rate * part / (1.0 + CLOCK_DRIFT), burst * part)
        self._leased = _empty_bucket(rate * part, burst * part, now)
        self._static = _empty_bucket(rate * (1.0 - part), burst * (1.0 - part), now)
        self.excess_units = 0.0

    def check_spent(self, now: int, leased: float, static: float) -> str:
        """Charges units that were spent from leases and from static shares."""
        for name, bucket, units in (
            ("leases", self._leased, leased),
            ("static shares", self._static, static),
        ):
            bucket.refill(now)
            bucket.tokens -= units
            if bucket.tokens < -ROUNDING_UNITS:
                self.excess_units = max(self.excess_units, -bucket.tokens)
                return f"{-bucket.tokens:.3f} units beyond the limit were spent from {name}"
        return ""

    def check_leases(self, leases: Iterable[Limit]) -> str:
        """Checks the sum of the unexpired leases of all forwarders."""
        rate = burst = 0.0
        for lease in leases:
            rate, burst = rate + lease.rate_per_s, burst + lease.burst_units
        if (
            rate > self.max_leased.rate_per_s + ROUNDING_UNITS
            or burst > self.max_leased.burst_units + ROUNDING_UNITS
        ):
            return f"leases of {rate:.3f} units per second and {burst:.3f} at once exceed {self.max_leased}"
        return ""

    def check_table(self, tokens: float, outstanding: Limit) -> str:
        """Checks a lease table's tokens and the sum of its outstanding leases."""
        burst, max_burst = outstanding.burst_units, self.max_leased.burst_units
        if tokens < -ROUNDING_UNITS or tokens + burst > max_burst + ROUNDING_UNITS:
            return f"the table has {tokens:.3f} tokens and {burst:.3f} outstanding, limit {max_burst:.3f}"
        return ""
