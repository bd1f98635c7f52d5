"""Load shedding: under congestion the model's concurrency limit holds for all requests in flight together.

Requests of the least priority meet it first: they may fill a part of it only.
"""

from __future__ import annotations

from math import sqrt

from .backend_state import ClassAndPlan
from .concurrency_model import QueueModel
from .decaying_mean import LONG_TERM, SHORT_TERM, DecayingMean
from .events import ClassesChanged
from .settings import Settings

LOWEST_PRIORITY_LIMIT = 0.7  # part of the limit that requests of the least priority may fill
FEW_GATEWAYS = 4  # up to which what one has in flight tells what all have
VARIATION = 2.0  # standard deviations by which the number in flight may pass its mean by chance
MIN_RATE_PER_S = 1e-9  # of arrivals: where none came of late all parts are 0
LOG_INTERVAL_NS = LONG_TERM


class LoadShedding:
    """Says which requests meet the limit, by the rates and priorities of those that arrive."""

    def __init__(self, settings: Settings, model: QueueModel, now: int) -> None:
        self.settings = settings
        self._model = model
        # By class and plan: the priorities of requests that arrived of late.
        self._arrival_priorities: dict[ClassAndPlan, DecayingMean] = {}
        self._logged_at_ns = now - LOG_INTERVAL_NS

    def change_classes(self, event: ClassesChanged) -> None:
        """Keep what was learned of classes that stay the same."""
        before = self._arrival_priorities
        self._arrival_priorities = {}
        for number, predecessor in enumerate(event.predecessors):
            self._arrival_priorities |= {
                (number, plan): mean
                for (request_class, plan), mean in before.items()
                if request_class == predecessor == number
            }

    def count_arrival(self, now: int, class_and_plan: ClassAndPlan, priority: float) -> None:
        """A request has arrived; `priority`: in priority weight per ns of service."""
        mean = self._arrival_priorities.setdefault(class_and_plan, DecayingMean(SHORT_TERM))
        mean.add(now, priority)

    def exceeds_limit(self, now: int, in_flight: int, priority: float) -> bool:
        """Whether a request of this priority is to be shed with so many in flight."""
        limit = self._model.concurrency_limit
        if limit is None:
            return False
        # What one of many gateways has in flight varies by its root from one moment to the next, and what all
        # of them have far less: without allowance, chance would shed what all together have capacity for.
        allowance = max(0.0, 1.0 - FEW_GATEWAYS / self.settings.gateway_count) * VARIATION * sqrt(limit)
        counted = float(in_flight) - allowance
        if counted < LOWEST_PRIORITY_LIMIT * limit:
            return False
        total_per_s = sum(mean.rate_per_s(now) for mean in self._arrival_priorities.values())
        below_per_s = sum(
            mean.rate_per_s(now) for mean in self._arrival_priorities.values() if mean.value < priority
        )
        part = (1.0 - LOWEST_PRIORITY_LIMIT) * below_per_s / max(total_per_s, MIN_RATE_PER_S)
        return counted >= limit * (LOWEST_PRIORITY_LIMIT + part)

    def log_line(self, now: int, in_flight: int) -> str | None:
        """A line for the operators where requests may be shed, at most one in `LOG_INTERVAL_NS`."""
        limit = self._model.concurrency_limit
        if limit is None or in_flight < LOWEST_PRIORITY_LIMIT * limit:
            return None
        if now - self._logged_at_ns < LOG_INTERVAL_NS:
            return None
        self._logged_at_ns = now
        return f"load shedding: {in_flight} requests in flight, concurrency limit {limit}"
