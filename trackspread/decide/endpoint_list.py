"""Applies updates of the endpoint list: which backends are listed, usable, draining or removed."""

from __future__ import annotations

import random

from .backend_state import BackendState
from .backends import Backend, EndpointUpdate, EndpointUpdateKind, Health
from .decaying_mean import SHORT_TERM, DecayingMean
from .outlier_ejection import FIRST_EJECTION_NS


class EndpointList:
    """Holds the state of all backends that are listed or still have attempts of this gateway in flight."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.backends: dict[int, BackendState] = {}

    def update(self, now: int, event: EndpointUpdate) -> None:
        """Applies an update; a complete list removes the backends that it does not contain."""
        if event.kind in (EndpointUpdateKind.FULL, EndpointUpdateKind.CACHED):
            self._remove_all_but({entry.id for entry in event.backends})
        for entry in event.backends:
            state = self.backends.get(entry.id)
            if state is None or state.backend.started_at_ns != entry.started_at_ns:
                state = self._new_state(now, entry, state)
            state.backend = entry
            state.is_usable = entry.health is Health.READY
            state.is_listed = entry.health is not Health.REMOVED

    def _remove_all_but(self, listed: set[int]) -> None:
        for state in self.backends.values():
            if state.backend.id not in listed:
                state.is_usable = False
                state.is_listed = False

    def _new_state(self, now: int, entry: Backend, predecessor: BackendState | None) -> BackendState:
        """Returns the state of a backend that is new or has restarted.

        Attempts in flight at its predecessor are still counted.
        """
        state = BackendState(
            entry,
            DecayingMean(SHORT_TERM),
            FIRST_EJECTION_NS,
            # The budget starts with a random part of a token. With many gateways, each rarely has a complete
            # token to spend.
            slow_start_tokens=self._rng.random(),
            tokens_refilled_at_ns=now,
        )
        if predecessor is not None:
            state.in_flight = predecessor.in_flight
        self.backends[entry.id] = state
        return state

    def forget_removed(self) -> None:
        """Removes the state of unlisted backends that have no attempts in flight.

        Backends are replaced under new ids all the time. Without this, memory and the cost of each choice
        would grow with every backend ever seen.
        """
        for gone in [number for number, s in self.backends.items() if not s.is_listed and not s.in_flight]:
            del self.backends[gone]

    def usable(self) -> list[BackendState]:
        """Returns the backends that may get new attempts, including ejected ones."""
        return [state for state in self.backends.values() if state.is_usable]
