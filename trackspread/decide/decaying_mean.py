"""Implements means in which samples lose weight with age. This module contains no decisions."""

from __future__ import annotations

from collections.abc import Callable
from copy import deepcopy
from math import exp
from typing import TypeVar

from .time_units import SECOND

T = TypeVar("T")

# Time constants in ns.
SHORT_TERM = 1 * SECOND
LONG_TERM = 10 * SECOND
MAX_REGULAR_SAMPLES = 200  # added at once; earlier ones would hardly weigh anything


def decayed(age_ns: int, time_constant_ns: int) -> float:
    """Returns the weight that remains of a sample of this age."""
    return exp(-age_ns / time_constant_ns)


def inherited(old: list[T], predecessors: tuple[int, ...], new: Callable[[], T]) -> list[T]:
    """Returns per-class statistics after class numbers have changed.

    Each number takes over the statistics of its predecessor, or starts with new ones if that is negative.
    """
    statistics = []
    for number, predecessor in enumerate(predecessors):
        if predecessor < 0:
            statistics.append(new())
        elif predecessor == number:
            statistics.append(old[number])
        else:
            statistics.append(deepcopy(old[predecessor]))
    return statistics


class DecayingMean:
    """Holds a recent mean in which samples lose weight with age, by an exponential time constant."""

    __slots__ = ("time_constant_ns", "total", "updated_at_ns", "weight")

    def __init__(self, time_constant_ns: int) -> None:
        self.time_constant_ns = time_constant_ns
        self.updated_at_ns = 0
        self.total = 0.0
        self.weight = 0.0

    def add(self, now: int, value: float, weight: float = 1.0) -> None:
        """Adds a sample."""
        left = decayed(now - self.updated_at_ns, self.time_constant_ns)
        self.total = self.total * left + value * weight
        self.weight = self.weight * left + weight
        self.updated_at_ns = now

    def add_regularly(self, start: int, end: int, value: float, interval_ns: int) -> None:
        """Adds a sample of this value at each interval after `start`, up to `end` inclusive."""
        count = (end - start) // interval_ns
        for number in range(max(1, count - MAX_REGULAR_SAMPLES + 1), count + 1):
            self.add(start + number * interval_ns, value)

    def rate_per_s(self, now: int) -> float:
        """Returns the recent number of samples per second."""
        left = decayed(now - self.updated_at_ns, self.time_constant_ns)
        return self.weight * left * SECOND / self.time_constant_ns

    def blend(self, now: int, prior: float, prior_weight: float) -> float:
        """Returns the mean combined with a prior that has the weight of `prior_weight` samples.

        As samples age, the result returns to the prior.
        """
        left = decayed(now - self.updated_at_ns, self.time_constant_ns)
        return (self.total * left + prior * prior_weight) / (self.weight * left + prior_weight)

    @property
    def value(self) -> float:
        """Returns the mean, or 0 if there are no samples."""
        return self.total / self.weight if self.weight > 1e-9 else 0.0
