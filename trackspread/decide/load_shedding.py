"""Sheds requests under congestion, when the number in flight approaches the model's concurrency limit.

The limit holds for all requests in flight together. Requests of the lowest priority may use only a part of it
and are therefore shed first.
"""

from __future__ import annotations

from math import sqrt

from .backend_state import ClassAndPlan
from .concurrency_model import QueueModel
from .decaying_mean import LONG_TERM, SHORT_TERM, DecayingMean
from .events import ClassesChanged
from .settings import Settings

LOWEST_PRIORITY_LIMIT = 0.7  # part of the limit that requests of the lowest priority may fill
# With at most this many gateways, one gateway's number in flight is a good estimate of the whole fleet's.
SMALL_FLEET = 4
DEVIATIONS = 2.0  # standard deviations by which the number in flight may exceed its mean by chance
MIN_ARRIVAL_RATE_PER_S = 1e-9  # arrivals; keeps the division defined when no request has arrived recently
LOG_INTERVAL_NS = LONG_TERM


class LoadShedding:
    """Decides which requests exceed the limit, from the rates and priorities of recent arrivals."""

    def __init__(self, settings: Settings, model: QueueModel, now: int) -> None:
        self.settings = settings
        self._model = model
        # Mean priority and rate of recent arrivals, by class and plan.
        self._arrival_priorities: dict[ClassAndPlan, DecayingMean] = {}
        self._logged_at_ns = now - LOG_INTERVAL_NS

    def change_classes(self, event: ClassesChanged) -> None:
        """Keeps the statistics of classes that stay the same and drops the others."""
        before = self._arrival_priorities
        self._arrival_priorities = {}
        for number, predecessor in enumerate(event.predecessors):
            self._arrival_priorities |= {
                (number, plan): mean
                for (request_class, plan), mean in before.items()
                if request_class == predecessor == number
            }

    def count_arrival(self, now: int, class_and_plan: ClassAndPlan, priority: float) -> None:
        """Counts an arrived request. `priority` is its priority weight per ns of service time."""
        mean = self._arrival_priorities.setdefault(class_and_plan, DecayingMean(SHORT_TERM))
        mean.add(now, priority)

    def exceeds_limit(self, now: int, in_flight: int, priority: float) -> bool:
        """Returns whether a request of this priority must be shed with this many requests in flight."""
        limit = self._model.concurrency_limit
        if limit is None:
            return False
        # With many gateways, the number in flight at one of them varies at random by about its square root,
        # while the fleet's total varies far less. Without this allowance, random variation would shed
        # requests for which the service as a whole has capacity.
        allowance = max(0.0, 1.0 - SMALL_FLEET / self.settings.gateway_count) * DEVIATIONS * sqrt(limit)
        counted = float(in_flight) - allowance
        if counted < LOWEST_PRIORITY_LIMIT * limit:
            return False
        total_per_s = sum(mean.rate_per_s(now) for mean in self._arrival_priorities.values())
        below_per_s = sum(
            mean.rate_per_s(now) for mean in self._arrival_priorities.values() if mean.value < priority
        )
        part = (1.0 - LOWEST_PRIORITY_LIMIT) * below_per_s / max(total_per_s, MIN_ARRIVAL_RATE_PER_S)
        return counted >= limit * (LOWEST_PRIORITY_LIMIT + part)

    def log_line(self, now: int, in_flight: int) -> str | None:
        """Returns a log line while requests may be shed, at most one per `LOG_INTERVAL_NS`, or None."""
        limit = self._model.concurrency_limit
        if limit is None or in_flight < LOWEST_PRIORITY_LIMIT * limit:
            return None
        if now - self._logged_at_ns < LOG_INTERVAL_NS:
            return None
        self._logged_at_ns = now
        return f"load shedding: {in_flight} requests in flight, concurrency limit {limit}"
