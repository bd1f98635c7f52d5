"""The endpoint list as this gateway applies it: which backends are listed, usable, draining or gone."""

from __future__ import annotations

import random

from .backend_state import BackendState
from .backends import Backend, EndpointUpdate, EndpointUpdateKind, Health
from .decaying_mean import SHORT_TERM, DecayingMean
from .outlier_ejection import FIRST_EJECTION_NS


class EndpointList:
    """State of all backends that are listed, or still have attempts of this gateway in flight."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.backends: dict[int, BackendState] = {}

    def update(self, now: int, event: EndpointUpdate) -> None:
        """Apply an update; a complete list removes the backends that it does not hold."""
        if event.kind in (EndpointUpdateKind.FULL, EndpointUpdateKind.CACHED):
            self._remove_all_but({entry.id for entry in event.backends})
        for entry in event.backends:
            state = self.backends.get(entry.id)
            if state is None or state.backend.started_at_ns != entry.started_at_ns:
                state = self._started(now, entry, state)
            state.backend = entry
            state.is_usable = entry.health is Health.READY
            state.is_listed = entry.health is not Health.REMOVED

    def _remove_all_but(self, listed: set[int]) -> None:
        for state in self.backends.values():
            if state.backend.id not in listed:
                state.is_usable = False
                state.is_listed = False

    def _started(self, now: int, entry: Backend, predecessor: BackendState | None) -> BackendState:
        """The state of a backend that is new or has restarted; attempts to its predecessor still count."""
        state = BackendState(
            entry,
            DecayingMean(SHORT_TERM),
            FIRST_EJECTION_NS,
            # A random part of a token: with many gateways, each seldom has a complete one to spend.
            slow_start_tokens=self._rng.random(),
            tokens_refilled_at_ns=now,
        )
        if predecessor is not None:
            state.in_flight = predecessor.in_flight
        self.backends[entry.id] = state
        return state

    def forget_removed(self) -> None:
        """Forget backends off the list without attempts in flight: backends come and go under ever new ids,
        and memory and the work of each choice would grow with all that ever were."""
        for gone in [number for number, s in self.backends.items() if not s.is_listed and not s.in_flight]:
            del self.backends[gone]

    def usable(self) -> list[BackendState]:
        """Backends that may get new attempts, ejected ones among them."""
        return [state for state in self.backends.values() if state.is_usable]
