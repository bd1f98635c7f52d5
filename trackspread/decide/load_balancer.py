"""The choice of a backend for each attempt: the least expected wait among those that are available.

`endpoint_list.py` says which backends there are, `slow_start.py` what those that warm up may get, and
`outlier_ejection.py` which have faults.
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

WARMING_UP_FACTOR = 0.7  # on the expected wait at a backend that warms up and whose budget covers an attempt
FAULT_COST = 3.0  # a backend that surely fails the request costs 1 + this times as much
OWN_ATTEMPTS_PRIOR = 2.0  # the more, the less this gateway's own attempts tell of others' at a backend
MIN_SLOWNESS = 0.5  # of a backend, in usual latencies
MAX_SLOWNESS = 4.0
SLOWNESS_PRIOR_WEIGHT = 3.0  # usual latencies that a backend's own blend with
COST_JITTER = 0.1  # part of the cost, random: gateways with the same view must not all choose alike


class LoadBalancer:
    """The backends of one service as this gateway sees them, and the choice among them."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self.endpoints = EndpointList(rng)
        self.slow_start = SlowStart(settings)
        self.outliers = OutlierDetector(settings)
        self._mean_in_flight = 0.0  # attempts of this gateway at each usable backend

    @property
    def backends(self) -> dict[int, BackendState]:
        """State of each backend, by its id."""
        return self.endpoints.backends

    def change_settings(self, settings: Settings) -> None:
        """Other settings are in force from now on."""
        self._settings = settings
        self.slow_start.settings = settings

    def change_classes(self, event: ClassesChanged) -> None:
        """What was learned of a class goes with the one that inherits it, or is forgotten."""
        self.outliers.change_classes(event)
        for state in self.backends.values():
            state.change_classes(event.predecessors)

    def update_endpoints(self, now: int, event: EndpointUpdate) -> None:
        """Apply an update of the endpoint list."""
        self.endpoints.update(now, event)
        self.refresh(now)

    def refresh(self, now: int) -> None:
        """Forget backends that are gone, and count the others."""
        self.endpoints.forget_removed()
        usable = self.endpoints.usable()
        self.slow_start.count_warm(now, usable)
        self._mean_in_flight = sum(state.in_flight for state in usable) / max(1, len(usable))

    def is_available(self, now: int, state: BackendState) -> bool:
        """Whether a backend may get an attempt now: neither draining nor ejected, and within its budget.
        Refills that first."""
        if not state.is_usable or now < state.ejected_until_ns:
            return False
        return self.slow_start.allows_attempt(now, state)

    def expected_wait(self, now: int, state: BackendState) -> float:
        """Expected time at a backend, in a request's usual latencies.

        Other gateways' attempts there are guessed from this gateway's own, the less the fewer these are.
        Slowness ages, or a backend once slow would never be tried again."""
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
        """The available backend of least cost for a request of this class and plan; None where none is.
        `excluded`: ids that must not be chosen."""
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
        """An attempt goes to the backend."""
        state.in_flight += 1
        self.slow_start.count_attempt(now, state)

    def attempt_ended(
        self, now: int, event: AttemptEnded, class_and_plan: ClassAndPlan, relative_latency: float
    ) -> None:
        """An attempt has ended. `relative_latency`: its latency divided by the class's mean."""
        state = self.backends.get(event.backend)
        if state is None:
            return
        state.in_flight = max(0, state.in_flight - 1)
        self.outliers.attempt_ended(now, state, event, class_and_plan, relative_latency)
