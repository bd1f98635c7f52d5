"""The closed queuing model and the seven cases that grant a cap on requests in flight.

May know: latencies and numbers in flight that the broker hands in. May not know: customers, quotas, backends.
"""

from __future__ import annotations

from collections.abc import Callable
from math import ceil

from .events import ClassesChanged
from .settings import Settings
from .mean_value_analysis import mean_values
from .decaying_mean import LONG_TERM, SHORT_TERM, DecayingMean, inherited
from .time_units import SECOND

Goal = Callable[[int], bool]

# Tuned values: unit and reason behind each; times are chosen against aims of the order of a second.
TICK = SECOND // 10  # the module's own beat: refits the model, tells peers; a tenth of usual aims
SAMPLES = 8.0  # answers that a class's recent latency rests on; where few come, memory is longer for it
DELAY_GROWTH = 0.01  # part a second by which a shortest latency is forgotten upwards
RISE = 0.15  # part of the room between delay and aim from which a wait is a rise; below it is noise
TARGET = 0.4  # part of the room between delay and aim that the mean wait may take: latencies vary


class QueueModel:
    """Delay plus one shared queue; the demand is fitted to recent latency at the recent number in flight."""

    def __init__(self, settings: Settings) -> None:
        self.latency_objectives_ns = [float(c.latency_objective_ns) for c in settings.classes]
        self.latency = [DecayingMean(SHORT_TERM) for _ in settings.classes]
        self.shortest_ns = [0.0] * len(self.latency_objectives_ns)
        self.mean_in_flight, self.is_congested = DecayingMean(SHORT_TERM), False
        self.delay_ns, self.mean_latency_ns, self.response_times_ns = 0.0, 0.0, [0.0]
        self.concurrency_limit: int | None = None
        self.active_classes = frozenset(range(len(self.latency_objectives_ns)))  # classes that may arrive

    def reclass(self, event: ClassesChanged) -> None:
        """Other classes from now on; what was learnt goes with the heirs."""
        self.latency_objectives_ns, self.active_classes = (
            [float(c.latency_objective_ns) for c in event.classes],
            event.active,
        )
        self.latency = inherited(self.latency, event.predecessors, lambda: DecayingMean(SHORT_TERM))
        self.shortest_ns = inherited(self.shortest_ns, event.predecessors, float)

    def fit(self, now: int, out: int, outstanding: list[tuple[int, int]]) -> None:
        """Refit; outstanding attempts older than the mean count as answers that late, to see jams in time."""
        total = weight = delay = room = span = 0.0
        for cls, latency in enumerate(self.latency):
            latency.time_constant_ns = int(
                min(LONG_TERM, max(SHORT_TERM, SAMPLES * SECOND / max(1e-3, latency.rate_per_s(now))))
            )
            if latency.weight < 0.5:
                continue
            ages = [age for c, age in outstanding if c == cls and age > latency.value]
            w = latency.weight + len(ages)
            mean = (latency.total + sum(ages)) / w
            if latency.weight >= 4.0:
                grown = self.shortest_ns[cls] * (1.0 + DELAY_GROWTH * TICK / SECOND)
                self.shortest_ns[cls] = min(grown, latency.value) if grown else latency.value
            total, weight, delay = total + mean * w, weight + w, delay + (self.shortest_ns[cls] or mean) * w
            room += w * self.room(cls)
            span += w * latency.time_constant_ns
        # Over as long as the latencies: where few come, they outlast a number in flight that fell since, and
        # at that number would read as a demand that grows the less this gateway sends.
        self.mean_in_flight.time_constant_ns = int(span / weight) if weight else SHORT_TERM
        self.mean_in_flight.add(now, out)
        self.is_congested, self.concurrency_limit, n = False, None, ceil(self.mean_in_flight.value)
        if weight:
            self.mean_latency_ns, self.delay_ns = total / weight, min(delay / weight, total / weight)
            self.is_congested = self.mean_latency_ns - self.delay_ns > RISE * room / weight and n > 1
        if self.is_congested:
            self._fit_demand(n)

    def _fit_demand(self, n: int) -> None:
        low, high = 0.0, self.mean_latency_ns
        for _ in range(20):
            demand = (low + high) / 2
            over = mean_values(demand, self.delay_ns, n)[n] > self.mean_latency_ns
            low, high = (low, demand) if over else (demand, high)
        self.response_times_ns = mean_values(high, self.delay_ns, 4 * n + 20)
        room = TARGET * min(self.room(cls) for cls in self.active_classes)
        self.concurrency_limit = max(2, sum(t - self.delay_ns <= room for t in self.response_times_ns) - 1)

    def room(self, cls: int) -> float:
        return max(
            self.latency_objectives_ns[cls] - self.shortest_ns[cls], self.latency_objectives_ns[cls] / 4
        )

    def response(self, n: float) -> float:
        return self.response_times_ns[min(max(0, round(n)), len(self.response_times_ns) - 1)]


def seven_cases(wanted: int, flat: int, response: Goal, throughput: Goal, others: Goal) -> int:
    """The paper's section 5: concurrency offered, 0 to reject; each goal tells whether it holds at one. From
    `flat` on `response` and `others` no longer change: where one fails for what is wanted, it fails down to
    there, and a quota of any size costs no more levels than the model has."""

    def first(levels: range, *goals: Goal) -> int:
        return next((n for n in levels if all(goal(n) for goal in goals)), 0)

    fewer, more = range(min(wanted - 1, flat), 0, -1), range(wanted + 1, 2 * wanted + 1)
    fewest = range(1, wanted)
    r, x, w = response(wanted), throughput(wanted), others(wanted)
    if w and r and x:
        return wanted  # case 1
    if w and x:  # case 2: too slow; fewer, or else the fewest that keep the throughput
        return first(fewer, response, throughput) or first(fewest, throughput) or wanted
    if w and r:  # case 3: too little throughput; more, or else as many as stay fast enough
        return first(more, response, throughput, others) or first(more[::-1], response, others) or wanted
    if w:  # case 4: both
        return first(fewer, response) or first(more, throughput, others) or wanted
    both = first(fewer, response, throughput, others) or first(fewer, others, throughput)  # cases 5 to 7
    return (x and both) or first(fewer, others)
