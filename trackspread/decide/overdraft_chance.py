"""Computes the probability of admitting a request without information from peers; decides nothing itself."""

from __future__ import annotations

from functools import lru_cache
from math import exp

BISECTION_STEPS = 20  # gives a precision of about a millionth


@lru_cache(maxsize=64)
def overdraft_chance(cost: float, price: float) -> float:
    """Returns the probability of admitting a request of a tenant about which nothing is known.

    It is chosen so that units beyond quotas cost `price` of what is requested within them. This holds if
    tenants request their quotas on average, with an exponential distribution: many request little and a few
    much more. `cost` is the cost of a unit beyond the quota, as a part of its priority weight.
    """
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
