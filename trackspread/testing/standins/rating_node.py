"""Models a rating node with cores, a queue, a slow start, idempotency keys and load reports.

The model uses no I/O and no clock: times are arguments, in ns. Work is in ns of one core of usual speed, and
the same request has the same work at every node.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import exp, log, sqrt
from typing import NamedTuple

SECOND = 1_000_000_000
REPEAT_COST_NS = SECOND // 1000  # cost of looking up a key
REPORT_INTERVAL_NS = SECOND // 4  # greatest age of a load report
WORK_VARIATION = 0.5  # coefficient of variation of the work of one class's requests
EXPIRY_INTERVAL = 64  # number of stored results between removals of expired ones
SERVICE_TIME_WEIGHT = 0.2  # weight of the latest request in the mean service time


def request_work_ns(seed: int, request: str, mean_ns: int) -> int:
    """Draws the request's work from a lognormal distribution; equal arguments give equal work."""
    variance = log(1.0 + WORK_VARIATION * WORK_VARIATION)
    draw = random.Random(f"{seed}:{request}").gauss(0.0, 1.0)
    return max(1, int(mean_ns * exp(sqrt(variance) * draw - variance / 2)))


@dataclass(frozen=True, slots=True)
class NodeSpec:
    """Describes one node.

    `speed` is that of each core as a multiple of the usual. `max_in_flight` limits the requests that are
    executed or queued. `initial_capacity` is the share of its capacity at the beginning of a slow start,
    which lasts `warm_up_ns`.
    """

    name: str
    zone: str = "a"
    kind: str = "m1"
    cell: int = 0
    cores: int = 2
    speed: float = 1.0
    max_in_flight: int = 64
    initial_capacity: float = 0.25
    warm_up_ns: int = 15 * SECOND


class CachedResult(NamedTuple):
    """Holds the result of a request with an idempotency key."""

    expires_at: int
    value: str
    done_at: int


class IdempotencyCache:
    """Caches results by idempotency key for the nodes of one cell; a repeat gets the first result."""

    def __init__(self) -> None:
        self._results: dict[str, CachedResult] = {}
        self._stored = 0

    def find(self, now: int, key: str) -> CachedResult | None:
        """Returns the result of a key, or None if it is unknown or has expired."""
        result = self._results.get(key)
        return result if result is not None and result.expires_at > now else None

    def store(self, now: int, key: str, value: str, done_at: int, window_ns: int) -> None:
        """Stores a result for `window_ns`."""
        self._results[key] = CachedResult(now + window_ns, value, done_at)
        self._stored += 1
        if self._stored % EXPIRY_INTERVAL == 0:
            self._results = {
                each: result for each, result in self._results.items() if result.expires_at > now
            }


@dataclass(frozen=True, slots=True)
class AcceptedRequest:
    """Describes an accepted request; with `is_repeat` its key was known, so it has no effect of its own."""

    done_at: int
    value: str
    is_repeat: bool


class LoadReport(NamedTuple):
    """Holds a node's load; `busy` is the share of its cores that work."""

    busy: float
    service_time_ms: float
    in_flight: int


NO_LOAD = LoadReport(0.0, 0.0, 0)


@dataclass(slots=True)
class RatingNode:
    """Models one process of a node.

    With `slow_start` it has to warm up. It crashes if, while it warms up, it receives more than
    `overload_multiple` times its capacity within `overload_window_ns`. `slowdown` multiplies all service
    times.
    """

    spec: NodeSpec
    cache: IdempotencyCache
    created_at: int
    slow_start: bool
    overload_window_ns: int
    overload_multiple: float
    draining: bool = False
    crashed: bool = False
    slowdown: float = 1.0
    _cores_free_at: list[int] = field(default_factory=list)
    _in_flight: list[int] = field(default_factory=list)  # heap of the times at which they are done
    _recent_work: deque[tuple[int, int]] = field(default_factory=deque)  # times and ns, within the window
    _recent_work_ns: int = 0
    _executed: int = 0
    _mean_service_ns: float = 0.0
    _reported_at: int = 0
    _report: LoadReport = NO_LOAD

    def __post_init__(self) -> None:
        self._cores_free_at = [self.created_at] * self.spec.cores
        self._reported_at = self.created_at - REPORT_INTERVAL_NS

    def capacity_share(self, now: int) -> float:
        """Returns the share of its full capacity that it has at `now`."""
        age = now - self.created_at
        if not self.slow_start or age >= self.spec.warm_up_ns:
            return 1.0
        initial = self.spec.initial_capacity
        return initial + (1.0 - initial) * max(0, age) / self.spec.warm_up_ns

    def accept(
        self, now: int, request: str, work_ns: int, key: str = "", window_ns: int = 0
    ) -> AcceptedRequest | None:
        """Takes a complete request; returns None if it is rejected and not executed.

        The result of `key`, the idempotency key, is cached for `window_ns`. Sets `crashed` on overload.
        """
        self._check_overload(now, work_ns)
        self._remove_done(now)
        if self.draining or self.crashed or len(self._in_flight) >= self.spec.max_in_flight:
            return None
        if key and (known := self.cache.find(now, key)) is not None:
            accepted = AcceptedRequest(max(known.done_at, now + REPEAT_COST_NS), known.value, True)
        else:
            accepted = self._execute(now, request, work_ns)
            if key:
                self.cache.store(now, key, accepted.value, accepted.done_at, window_ns)
        heappush(self._in_flight, accepted.done_at)
        return accepted

    def _execute(self, now: int, request: str, work_ns: int) -> AcceptedRequest:
        self._executed += 1
        core = min(range(len(self._cores_free_at)), key=self._cores_free_at.__getitem__)
        service_ns = int(work_ns * self.slowdown / (self.spec.speed * self.capacity_share(now)))
        done_at = max(now, self._cores_free_at[core]) + service_ns
        self._cores_free_at[core] = done_at
        self._mean_service_ns += SERVICE_TIME_WEIGHT * (service_ns - self._mean_service_ns)
        return AcceptedRequest(done_at, f"{self.spec.name}/{request}/{self._executed}", False)

    def _check_overload(self, now: int, work_ns: int) -> None:
        share = self.capacity_share(now)
        if share >= 1.0:
            return
        self._recent_work.append((now, work_ns))
        self._recent_work_ns += work_ns
        while self._recent_work[0][0] <= now - self.overload_window_ns:
            self._recent_work_ns -= self._recent_work.popleft()[1]
        capacity_ns = self.spec.cores * self.spec.speed * share * self.overload_window_ns
        self.crashed = self.crashed or self._recent_work_ns > self.overload_multiple * capacity_ns

    def _remove_done(self, now: int) -> None:
        while self._in_flight and self._in_flight[0] <= now:
            heappop(self._in_flight)

    def load_report(self, now: int) -> LoadReport:
        """Returns its load report, which is at most `REPORT_INTERVAL_NS` old."""
        if now - self._reported_at >= REPORT_INTERVAL_NS:
            self._remove_done(now)
            busy = sum(free_at > now for free_at in self._cores_free_at) / len(self._cores_free_at)
            self._report = LoadReport(busy, self._mean_service_ns / 1e6, len(self._in_flight))
            self._reported_at = now
        return self._report
