"""What a commitment finds beside it: all others with requests in flight, as sums that are kept up to date.

Looking at every other commitment for each one that is evaluated costs the square of their number. Here each
evaluation costs the logarithm. Bookkeeping; nothing here decides.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from math import inf
from typing import NamedTuple

from .commitment import Commitment
from .time_units import SECOND

BUSY = 0.05  # in flight on average, from which a commitment counts
LEAST_RATE = 1e-3  # requests a second: none asks for a throughput of nothing


class Beside(NamedTuple):
    """`in_flight`: of all others together; `room`: the least wait, ns, that any of them bears, infinite where
    there is none; `slowest`: the response time, ns, at which the first of them loses its throughput."""

    in_flight: float
    room: float
    slowest: float


class _Entry(NamedTuple):
    """One commitment as it was last put: what it adds to the sums."""

    in_flight: float
    room: float
    span: float  # ns in which its cap is used up once at its least throughput


class _Least:
    """The least value of all keys but one; old values are dropped as they come up."""

    def __init__(self) -> None:
        self._values: dict[int, float] = {}
        self._heap: list[tuple[float, int]] = []

    def put(self, key: int, value: float) -> None:
        if self._values.get(key) != value:
            self._values[key] = value
            heapq.heappush(self._heap, (value, key))

    def without(self, key: int) -> float:
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


class Neighbours:
    """All commitments that are busy at one instant, by customer."""

    def __init__(self, commitments: Iterable[Commitment] = ()) -> None:
        self._entries: dict[int, _Entry] = {}
        self._in_flight = 0.0
        self._rooms, self._spans = _Least(), _Least()
        for commitment in commitments:
            self.put(commitment)

    def put(self, commitment: Commitment) -> None:
        """The commitment is new here, or has another cap or throughput than before."""
        in_flight = commitment.mean_in_flight.value
        if in_flight <= BUSY:
            return
        capped = commitment.cap > 1
        span = commitment.cap * SECOND / max(commitment.min_throughput_per_s, LEAST_RATE) if capped else inf
        entry = _Entry(in_flight if capped else min(1.0, in_flight), commitment.max_wait_ns, span)
        customer = commitment.account.tenant
        if (old := self._entries.get(customer)) is not None:
            self._in_flight -= old.in_flight
        self._entries[customer] = entry
        self._in_flight += entry.in_flight
        self._rooms.put(customer, entry.room)
        self._spans.put(customer, entry.span)

    def beside(self, commitment: Commitment) -> Beside:
        """All but this one."""
        customer = commitment.account.tenant
        own = self._entries.get(customer)
        in_flight = self._in_flight - (own.in_flight if own is not None else 0.0)
        return Beside(max(0.0, in_flight), self._rooms.without(customer), self._spans.without(customer))
