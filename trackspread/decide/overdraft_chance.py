"""The chance that a gateway without peer information may give a request. Pure arithmetic, no decision."""

from __future__ import annotations

from functools import lru_cache
from math import exp

BISECTION_STEPS = 20  # to a millionth


@lru_cache(maxsize=64)
def overdraft_chance(cost: float, price: float) -> float:
    """The probability with which a request of a tenant of whom nothing is known is admitted, so that units
    beyond quotas cost `price` of what is asked for inside them.

    It holds where tenants ask for their quotas on average, some for little and a few for much more
    (exponentially). `cost`: of a unit beyond the quota, as a part of its weight."""
    low = 0.0
    high = 1.0
    for _ in range(BISECTION_STEPS):
        chance = (low + high) / 2
        beyond = chance * exp(-1.0 / chance) / (1.0 - exp(-1.0))
        if beyond * cost > price:
            high = chance
        else:
            low = chance
    return high
