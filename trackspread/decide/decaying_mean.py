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


def decayed(age: int, constant: int) -> float:
    """Weight that is left of something `age` old."""
    return exp(-age / constant)


def inherited(old: list[T], heirs: tuple[int, ...], fresh: Callable[[], T]) -> list[T]:
    """What was learnt by number, under other numbers: each goes on with its heir's past, or begins anew."""
    return [old[h] if h == n else deepcopy(old[h]) if h >= 0 else fresh() for n, h in enumerate(heirs)]


class DecayingMean:
    """A recent mean: samples lose weight with age, by the time constant `memory`."""

    __slots__ = ("time_constant_ns", "total", "updated_at_ns", "weight")

    def __init__(self, memory: int) -> None:
        self.updated_at_ns, self.total, self.weight, self.time_constant_ns = 0, 0.0, 0.0, memory

    def add(self, now: int, value: float, weight: float = 1.0) -> None:
        left = decayed(now - self.updated_at_ns, self.time_constant_ns)
        self.total, self.weight = self.total * left + value * weight, self.weight * left + weight
        self.updated_at_ns = now

    def rate_per_s(self, now: int) -> float:
        """Samples a second."""
        return (
            self.weight
            * decayed(now - self.updated_at_ns, self.time_constant_ns)
            * SECOND
            / self.time_constant_ns
        )

    def blend(self, now: int, prior: float, strength: float) -> float:
        """The mean with `strength` samples of `prior` mixed in; what is old goes back to the prior."""
        left = decayed(now - self.updated_at_ns, self.time_constant_ns)
        return (self.total * left + prior * strength) / (self.weight * left + strength)

    @property
    def value(self) -> float:
        return self.total / self.weight if self.weight > 1e-9 else 0.0
