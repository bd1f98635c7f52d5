"""The chance that a gateway which hears of nobody may give a request. Pure arithmetic, no decision."""

from __future__ import annotations

from functools import lru_cache
from math import exp

STEPS = 20  # of the bisection: to a millionth


@lru_cache(maxsize=64)
def blind_chance(cost: float, price: float) -> float:
    """By which a request of a customer of whom nothing is known may be let through, so that what goes beyond
    quotas costs `price` of what is asked inside them, if customers ask for their quotas on average, some for
    little and a few for much more (exponentially). `cost`: of a unit beyond, in its worth."""
    low, high = 0.0, 1.0
    for _ in range(STEPS):
        chance = (low + high) / 2
        beyond = chance * exp(-1.0 / chance) / (1.0 - exp(-1.0))
        low, high = (low, chance) if beyond * cost > price else (chance, high)
    return high
