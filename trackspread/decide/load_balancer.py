"""Chooses a backend for each attempt: the available one with the least expected cost.

`endpoint_list.py` knows which backends there are, `slow_start.py` limits those that are warming up, and
`outlier_ejection.py` detects faults.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from .backend_state import BackendState, ClassAndPlan
from .backends import Backend, EndpointUpdate
from .endpoint_list import EndpointList
from .events import AttemptEnded, ClassesChanged
from .outlier_ejection import OutlierDetector, fault_probability
from .settings import Settings
from .slow_start import SlowStart

BackendFilter = Callable[[Backend], bool]

# Reduces the expected wait at a backend that is warming up and whose budget covers an attempt.
WARMING_UP_FACTOR = 0.7
FAULT_COST = 3.0  # a backend that is certain to fail the request costs 1 + this times as much
# The higher, the less this gateway's own attempts at a backend indicate those of other gateways.
OWN_ATTEMPTS_PRIOR = 2.0
MIN_SLOWNESS = 0.5  # of a backend, relative to usual latencies
MAX_SLOWNESS = 4.0
SLOWNESS_PRIOR_WEIGHT = 3.0  # weight of the usual latency in a backend's slowness, in attempts
# Random part of the cost, so that gateways with the same view do not all choose the same backend.
COST_JITTER = 0.1


class LoadBalancer:
    """Holds the backends of one service as this gateway sees them, and chooses among them."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self.endpoints = EndpointList(rng)
        self.slow_start = SlowStart(settings)
        self.outliers = OutlierDetector(settings)
        self._mean_in_flight = 0.0  # mean of this gateway's attempts in flight over usable backends

    @property
    def backends(self) -> dict[int, BackendState]:
        """Returns the state of each backend, by its id."""
        return self.endpoints.backends

    def change_settings(self, settings: Settings) -> None:
        """Applies other settings."""
        self._settings = settings
        self.slow_start.settings = settings

    def change_classes(self, event: ClassesChanged) -> None:
        """Transfers the state of each class to its successor and drops that of classes without one."""
        self.outliers.change_classes(event)
        for state in self.backends.values():
            state.change_classes(event.predecessors)

    def update_endpoints(self, now: int, event: EndpointUpdate) -> None:
        """Applies an update of the endpoint list."""
        self.endpoints.update(now, event)
        self.refresh(now)

    def refresh(self, now: int) -> None:
        """Removes backends that are gone and recounts the others."""
        self.endpoints.forget_removed()
        usable = self.endpoints.usable()
        self.slow_start.count_warm(now, usable)
        self._mean_in_flight = sum(state.in_flight for state in usable) / max(1, len(usable))

    def is_available(self, now: int, state: BackendState) -> bool:
        """Returns whether a backend may get an attempt now.

        It may if it is neither draining nor ejected and is within its slow start budget, which is refilled
        first.
        """
        if not state.is_usable or now < state.ejected_until_ns:
            return False
        return self.slow_start.allows_attempt(now, state)

    def expected_wait(self, now: int, state: BackendState) -> float:
        """Returns the expected time at a backend, relative to a request's usual latency.

        Other gateways' attempts are estimated from this gateway's own; the fewer these are, the less weight
        they have. A backend's slowness decays with time, or else a slow backend would never be tried again.
        """
        settings = self._settings
        slowness = min(MAX_SLOWNESS, max(MIN_SLOWNESS, state.slowness.blend(now, 1.0, SLOWNESS_PRIOR_WEIGHT)))
        mean_in_flight = self._mean_in_flight
        others_in_flight = (
            (OWN_ATTEMPTS_PRIOR + state.in_flight)
            / (OWN_ATTEMPTS_PRIOR + mean_in_flight)
            * mean_in_flight
            * (settings.gateway_count - 1)
        )
        wait = (1.0 + state.in_flight + others_in_flight) * slowness
        if self.slow_start.warmth(now, state) < 1.0:
            wait *= WARMING_UP_FACTOR
        if state.backend.zone != settings.zone:
            wait += settings.cross_zone_cost
        return wait

    def choose(
        self, now: int, class_and_plan: ClassAndPlan, excluded: set[int], is_allowed: BackendFilter
    ) -> BackendState | None:
        """Returns the available backend with the least cost for this class and plan, if there is any.

        Backends whose ids are in `excluded` are not chosen. The result is None if no backend is available.
        """
        candidates = [
            state
            for state in self.backends.values()
            if state.backend.id not in excluded
            and is_allowed(state.backend)
            and self.is_available(now, state)
        ]
        timeout_rate = self.outliers.recent_timeout_rate(now, class_and_plan[0])

        def cost(state: BackendState) -> float:
            fault = fault_probability(now, state, class_and_plan, timeout_rate)
            jitter = 1.0 + COST_JITTER * self._rng.random()
            return self.expected_wait(now, state) * (1.0 + FAULT_COST * fault) * jitter

        return min(candidates, key=cost, default=None)

    def attempt_started(self, now: int, state: BackendState) -> None:
        """Counts an attempt that is sent to the backend."""
        state.in_flight += 1
        self.slow_start.count_attempt(now, state)

    def attempt_ended(
        self, now: int, event: AttemptEnded, class_and_plan: ClassAndPlan, relative_latency: float
    ) -> None:
        """Records the end of an attempt; `relative_latency` is its latency divided by its class's mean."""
        state = self.backends.get(event.backend)
        if state is None:
            return
        state.in_flight = max(0, state.in_flight - 1)
        self.outliers.attempt_ended(now, state, event, class_and_plan, relative_latency)
