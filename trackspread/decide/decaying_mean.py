"""Means in which samples lose weight with age. Pure arithmetic; nothing here decides."""

from __future__ import annotations

from collections.abc import Callable
from copy import deepcopy
from math import exp
from typing import TypeVar

from .time_units import SECOND

T = TypeVar("T")

# Time constants, ns.
SHORT_TERM = 1 * SECOND
LONG_TERM = 10 * SECOND


def decayed(age_ns: int, time_constant_ns: int) -> float:
    """Weight that is left of something of this age."""
    return exp(-age_ns / time_constant_ns)


def inherited(old: list[T], predecessors: tuple[int, ...], fresh: Callable[[], T]) -> list[T]:
    """What was learned by number, under other numbers: each goes on with what its predecessor learned, or
    begins anew where that is negative."""
    learned = []
    for number, predecessor in enumerate(predecessors):
        if predecessor < 0:
            learned.append(fresh())
        elif predecessor == number:
            learned.append(old[number])
        else:
            learned.append(deepcopy(old[predecessor]))
    return learned


class DecayingMean:
    """A recent mean: samples lose weight with age, by the time constant."""

    __slots__ = ("time_constant_ns", "total", "updated_at_ns", "weight")

    def __init__(self, time_constant_ns: int) -> None:
        self.time_constant_ns = time_constant_ns
        self.updated_at_ns = 0
        self.total = 0.0
        self.weight = 0.0

    def add(self, now: int, value: float, weight: float = 1.0) -> None:
        """Add a sample."""
        left = decayed(now - self.updated_at_ns, self.time_constant_ns)
        self.total = self.total * left + value * weight
        self.weight = self.weight * left + weight
        self.updated_at_ns = now

    def rate_per_s(self, now: int) -> float:
        """Samples a second."""
        left = decayed(now - self.updated_at_ns, self.time_constant_ns)
        return self.weight * left * SECOND / self.time_constant_ns

    def blend(self, now: int, prior: float, prior_weight: float) -> float:
        """The mean with so many samples of the prior mixed in; as samples age it goes back to the prior."""
        left = decayed(now - self.updated_at_ns, self.time_constant_ns)
        return (self.total * left + prior * prior_weight) / (self.weight * left + prior_weight)

    @property
    def value(self) -> float:
        """The mean; 0 where there are no samples."""
        return self.total / self.weight if self.weight > 1e-9 else 0.0
