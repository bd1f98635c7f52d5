"""An exact account of a member's rights beside the world: what may be spent is only what was due.

The formulas (docs/design/testbed.md), for a cap of rate r and burst b, of which the part p is planned, under
clocks that drift by at most d:
- Rights: over all forwarders, by each one's own clock, unexpired rates sum to at most p r / (1 + d) and
  unexpired bursts to at most p b.
- Leased units: a store that starts empty, fills at p r and never holds more than p b covers all that is spent
  from leases, anywhere. Even slices: the same with 1 - p. So both start of nothing, and no unit is made
  twice.
- The table: its stock is never under nothing, and stock and bursts that are out sum to at most p b.

May know: the formulas and what was spent. May not know: how tables and holders reckon; no line of theirs is
used.
"""

from __future__ import annotations

from collections.abc import Iterable

from ...judge.token_bucket import TokenBucket
from ....planning.limits import Limit, TenantLimit
from ....planning.timing import CLOCK_DRIFT

ROUNDING = 1e-6  # units: stores are floats


def _empty(rate: float, burst: float, now: int) -> TokenBucket:
    bucket = TokenBucket(rate, burst, now)
    bucket.tokens = 0.0
    return bucket


class CapAccount:
    """One cap of one member. What is wrong comes back as a text, or an empty one."""

    def __init__(self, cap: TenantLimit, now: int) -> None:
        rate, burst = cap.limit
        part = cap.planned_part
        self.cap = cap
        self.most = Limit(rate * part / (1.0 + CLOCK_DRIFT), burst * part)
        self._leased = _empty(rate * part, burst * part, now)
        self._even = _empty(rate * (1.0 - part), burst * (1.0 - part), now)
        self.excess = 0.0  # units, the worst

    def spent(self, now: int, leased: float, even: float) -> str:
        for name, bucket, units in (("leases", self._leased, leased), ("slices", self._even, even)):
            bucket.refill(now)
            bucket.tokens -= units
            if bucket.tokens < -ROUNDING:
                self.excess = max(self.excess, -bucket.tokens)
                return f"{-bucket.tokens:.3f} units that were never due were spent from {name}"
        return ""

    def rights(self, out: Iterable[Limit]) -> str:
        rate = burst = 0.0
        for right in out:
            rate, burst = rate + right.rate_per_s, burst + right.burst_units
        if rate > self.most.rate_per_s + ROUNDING or burst > self.most.burst_units + ROUNDING:
            return f"rights to {rate:.3f} a second and {burst:.3f} at once are out, of {self.most}"
        return ""

    def table(self, stock: float, out: Limit) -> str:
        if stock < -ROUNDING or stock + out.burst_units > self.most.burst_units + ROUNDING:
            most = self.most.burst_units
            return f"the table has {stock:.3f} in stock and {out.burst_units:.3f} out, of {most:.3f}"
        return ""
