"""Keeps running sums of the load of all commitments, to evaluate each one against the others.

Adding up all other commitments for each evaluation would take quadratic time. With these sums an evaluation
takes logarithmic time. This module contains no decisions.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from math import inf
from typing import NamedTuple

from .commitment import Commitment
from .time_units import SECOND

MIN_IN_FLIGHT = 0.05  # mean number in flight above which a commitment is counted
MIN_THROUGHPUT_PER_S = 1e-3  # assumed for a commitment that requests no throughput


class CompetingLoad(NamedTuple):
    """Holds the combined load of all commitments except one.

    `in_flight` is in requests. `max_wait_ns` is the longest wait that all of them tolerate, and infinite if
    there are none. `max_response_time_ns` is the longest response time at which all of them keep their
    throughput.
    """

    in_flight: float
    max_wait_ns: float
    max_response_time_ns: float


class _MinimumByKey:
    """Finds the least value over all keys except one.

    Outdated heap entries are dropped when they reach the top.
    """

    def __init__(self) -> None:
        self._values: dict[int, float] = {}
        self._heap: list[tuple[float, int]] = []

    def update(self, key: int, value: float) -> None:
        """Sets the value of a key."""
        if self._values.get(key) != value:
            self._values[key] = value
            heapq.heappush(self._heap, (value, key))

    def without(self, key: int) -> float:
        """Returns the least value over all keys but this one, or infinity if there is none."""
        own: tuple[float, int] | None = None
        while self._heap:
            value, found = self._heap[0]
            if self._values[found] == value and found != key:
                break
            heapq.heappop(self._heap)
            if found == key and self._values[found] == value:
                own = value, found
        least = self._heap[0][0] if self._heap else inf
        if own is not None:
            heapq.heappush(self._heap, own)
        return least


class CompetingCommitments:
    """Holds the sums over all busy commitments at one point in time."""

    def __init__(self, commitments: Iterable[Commitment] = ()) -> None:
        self._in_flight_by_tenant: dict[int, float] = {}
        self._in_flight = 0.0
        self._max_waits = _MinimumByKey()
        self._max_response_times = _MinimumByKey()
        for commitment in commitments:
            self.update(commitment)

    def update(self, commitment: Commitment) -> None:
        """Adds the commitment, or replaces its former cap and throughput."""
        in_flight = commitment.mean_in_flight.value
        if in_flight <= MIN_IN_FLIGHT:
            return
        max_response_time_ns = inf
        if commitment.cap > 1:
            throughput_per_s = max(commitment.min_throughput_per_s, MIN_THROUGHPUT_PER_S)
            max_response_time_ns = commitment.cap * SECOND / throughput_per_s
        else:
            in_flight = min(1.0, in_flight)
        tenant = commitment.account.tenant
        if (before := self._in_flight_by_tenant.get(tenant)) is not None:
            self._in_flight -= before
        self._in_flight_by_tenant[tenant] = in_flight
        self._in_flight += in_flight
        self._max_waits.update(tenant, commitment.max_wait_ns)
        self._max_response_times.update(tenant, max_response_time_ns)

    def without(self, commitment: Commitment) -> CompetingLoad:
        """Returns the load of all commitments except this one."""
        tenant = commitment.account.tenant
        in_flight = self._in_flight - self._in_flight_by_tenant.get(tenant, 0.0)
        return CompetingLoad(
            max(0.0, in_flight), self._max_waits.without(tenant), self._max_response_times.without(tenant)
        )
