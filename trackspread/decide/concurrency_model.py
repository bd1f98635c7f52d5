"""Models a service as a closed queuing network: response times by the number of requests in flight.

The broker passes in latencies and numbers in flight. The model does not depend on tenants, quotas or
backends.
"""

from __future__ import annotations

from math import ceil

from .decaying_mean import LONG_TERM, SHORT_TERM, DecayingMean, inherited
from .events import ClassesChanged
from .mean_value_analysis import mean_values
from .settings import Settings
from .time_units import SECOND, TICK

# Number of samples that the recent latency of a class is averaged over; rare classes get a longer time
# constant.
LATENCY_SAMPLES = 8.0
MIN_RATE_PER_S = 1e-3  # responses; bounds the time constant of a class
MIN_SAMPLES = 0.5  # weight of samples from which a class is included in the model
MIN_SAMPLES_FOR_SHORTEST = 4.0  # weight of samples from which a recent latency may become the shortest
# The shortest latency grows by this part, because backends may become slower.
SHORTEST_LATENCY_GROWTH_PER_S = 0.01
# A mean wait is noise up to this part of the time between delay and latency objective.
CONGESTION_WAIT = 0.15
# Part of the same time that the mean wait may take; the rest is left to the variation of latencies.
TARGET_WAIT = 0.4
MIN_HEADROOM = 0.25  # least time for waiting, as a part of the latency objective
DEMAND_BISECTIONS = 20
LEVELS_PER_IN_FLIGHT = 4  # concurrency levels modelled for each request in flight
EXTRA_LEVELS = 20  # levels modelled in addition to these


class QueueModel:
    """Models a service as one delay and one shared queue.

    The service demand at the queue is fitted to the recent latency at the recent number of requests in
    flight. All times are in ns.
    """

    def __init__(self, settings: Settings) -> None:
        self.latency_objectives_ns = [float(each.latency_objective_ns) for each in settings.classes]
        self.active_classes = frozenset(range(len(settings.classes)))  # classes of which requests may arrive
        self.latency = [DecayingMean(SHORT_TERM) for _ in settings.classes]
        self.shortest_ns = [0.0] * len(settings.classes)
        self.mean_in_flight = DecayingMean(SHORT_TERM)
        self.mean_latency_ns = 0.0
        self.delay_ns = 0.0
        self.is_congested = False
        self.response_times_ns = [0.0]  # by number of requests in flight
        self.concurrency_limit: int | None = None  # None without congestion

    def change_classes(self, event: ClassesChanged) -> None:
        """Applies other request classes; the statistics of each class go to its successor."""
        self.latency_objectives_ns = [float(each.latency_objective_ns) for each in event.classes]
        self.active_classes = event.active
        self.latency = inherited(self.latency, event.predecessors, lambda: DecayingMean(SHORT_TERM))
        self.shortest_ns = inherited(self.shortest_ns, event.predecessors, float)

    def fit(self, now: int, in_flight: int, outstanding: list[tuple[int, int]]) -> None:
        """Fits the model to recent latencies.

        `outstanding` holds class and age in ns of each attempt without a response. Attempts older than the
        mean latency count as responses with that latency, so that congestion is detected before they end.
        """
        total_latency = total_delay = total_headroom = total_time_constant = 0.0
        weight = 0.0
        for number, latency in enumerate(self.latency):
            self._adapt_time_constant(now, latency)
            if latency.weight < MIN_SAMPLES:
                continue
            late = [age for each, age in outstanding if each == number and age > latency.value]
            class_weight = latency.weight + len(late)
            mean = (latency.total + sum(late)) / class_weight
            self._update_shortest(number, latency)
            total_latency = total_latency + mean * class_weight
            weight = weight + class_weight
            total_delay = total_delay + (self.shortest_ns[number] or mean) * class_weight
            total_headroom += class_weight * self.headroom_ns(number)
            total_time_constant += class_weight * latency.time_constant_ns
        # The number in flight must be averaged over the same time as the latencies. Otherwise, when traffic
        # falls, old latencies would be combined with a small recent number in flight, and the fitted demand
        # would be too high.
        self.mean_in_flight.time_constant_ns = int(total_time_constant / weight) if weight else SHORT_TERM
        self.mean_in_flight.add(now, in_flight)
        self.is_congested = False
        self.concurrency_limit = None
        if not weight:
            return
        self.mean_latency_ns = total_latency / weight
        self.delay_ns = min(total_delay / weight, total_latency / weight)
        mean_in_flight = ceil(self.mean_in_flight.value)
        mean_wait_ns = self.mean_latency_ns - self.delay_ns
        self.is_congested = mean_wait_ns > CONGESTION_WAIT * total_headroom / weight and mean_in_flight > 1
        if self.is_congested:
            self._fit_demand(mean_in_flight)

    @staticmethod
    def _adapt_time_constant(now: int, latency: DecayingMean) -> None:
        span_ns = LATENCY_SAMPLES * SECOND / max(MIN_RATE_PER_S, latency.rate_per_s(now))
        latency.time_constant_ns = int(min(LONG_TERM, max(SHORT_TERM, span_ns)))

    def _update_shortest(self, request_class: int, latency: DecayingMean) -> None:
        if latency.weight < MIN_SAMPLES_FOR_SHORTEST:
            return
        grown = self.shortest_ns[request_class] * (1.0 + SHORTEST_LATENCY_GROWTH_PER_S * TICK / SECOND)
        self.shortest_ns[request_class] = min(grown, latency.value) if grown else latency.value

    def _fit_demand(self, in_flight: int) -> None:
        """Finds by bisection the demand that explains the mean latency, and derives the concurrency limit."""
        low, high = 0.0, self.mean_latency_ns
        for _ in range(DEMAND_BISECTIONS):
            demand = (low + high) / 2
            if mean_values(demand, self.delay_ns, in_flight)[in_flight] > self.mean_latency_ns:
                high = demand
            else:
                low = demand
        levels = LEVELS_PER_IN_FLIGHT * in_flight + EXTRA_LEVELS
        self.response_times_ns = mean_values(high, self.delay_ns, levels)
        max_wait_ns = TARGET_WAIT * min(self.headroom_ns(number) for number in self.active_classes)
        within = sum(time_ns - self.delay_ns <= max_wait_ns for time_ns in self.response_times_ns)
        self.concurrency_limit = max(2, within - 1)  # level 0 is counted, too

    def headroom_ns(self, request_class: int) -> float:
        """Returns how long a request of the class may wait: its objective less the shortest latency."""
        objective_ns = self.latency_objectives_ns[request_class]
        return max(objective_ns - self.shortest_ns[request_class], objective_ns * MIN_HEADROOM)

    def response_time_ns(self, in_flight: float) -> float:
        """Returns the modelled response time at this number of requests in flight."""
        last = len(self.response_times_ns) - 1
        return self.response_times_ns[min(max(0, round(in_flight)), last)]
