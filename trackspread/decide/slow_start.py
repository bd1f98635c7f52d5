"""Implements slow start: limits the attempts at a backend that is warming up (rule 4).

Each gateway sends such a backend at most its own part of what a warm backend gets, so that the parts of all
gateways together stay within the backend's capacity. While no backend is warm, gateways take turns at each
backend.
"""

from __future__ import annotations

from collections.abc import Sequence

from .backend_state import BackendState
from .decaying_mean import SHORT_TERM, DecayingMean
from .settings import Settings


class SlowStart:
    """Holds the budgets of backends that are warming up."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        # The number of gateways in the settings' list, including those that have left; it does not change
        # with the fleet.
        self._gateway_list_size = max(1, settings.gateway_count)
        # Attempts at warm backends, each weighted by one over the number of warm backends at that time.
        self.warm_attempts = DecayingMean(max(SHORT_TERM, settings.overload_window_ns))
        self.is_suspended = False  # True while another process of this gateway spends the budgets
        self.warm_backends = 1
        self._last_warm_at_ns = 0  # when an available backend was last warm
        self._none_warm = False

    def count_warm(self, now: int, usable: Sequence[BackendState]) -> None:
        """Counts the warm backends among the usable ones."""
        self.warm_backends = sum(self.warmth(now, state) >= 1.0 for state in usable)
        self._none_warm = not any(
            now >= state.ejected_until_ns and self.warmth(now, state) >= 1.0 for state in usable
        )
        if not self._none_warm:
            self._last_warm_at_ns = now

    def warmth(self, now: int, state: BackendState) -> float:
        """Returns the part of its capacity that a backend has for certain; 1 once it has warmed up."""
        started_at_ns = state.backend.started_at_ns
        settings = self.settings
        if not started_at_ns or now - started_at_ns >= settings.slow_start_ns:
            return 1.0
        start = settings.slow_start_capacity
        return start + (1.0 - start) * max(0, now - started_at_ns) / max(1, settings.slow_start_ns)

    def allows_attempt(self, now: int, state: BackendState) -> bool:
        """Returns whether a backend is warm or its budget covers an attempt; refills the budget first."""
        warmth = self.warmth(now, state)
        if warmth >= 1.0:
            return True
        if self.is_suspended:
            return False
        # If no backend is warm any more, the rate is that of a warm backend while there still was one.
        measured_at_ns = max(self._last_warm_at_ns, self.warm_attempts.updated_at_ns)
        state.refill_tokens(now, warmth * self.warm_attempts.rate_per_s(measured_at_ns))
        return state.slow_start_tokens >= 1.0 or self._has_turn(now, state)

    def _has_turn(self, now: int, state: BackendState) -> bool:
        """Returns whether it is this gateway's turn to send the backend one attempt.

        While no backend is warm, nothing may be known about a backend's capacity. A turn lasts for one
        latency objective, because every backend can process one attempt in that time.
        """
        turn = self._turn(now)
        if not self._none_warm or state.last_turn == turn:
            return False
        return (state.backend.id + turn) % self._gateway_list_size == self.settings.gateway_index

    def _turn(self, now: int) -> int:
        return now // min(each.latency_objective_ns for each in self.settings.classes)

    def count_attempt(self, now: int, state: BackendState) -> None:
        """Counts an attempt at a warm backend, or charges it to the budget of one that is warming up."""
        if self.warmth(now, state) < 1.0:
            state.spend_token_or_turn(self._turn(now))
        else:
            self.warm_attempts.add(now, 1.0, 1.0 / max(1, self.warm_backends))
