"""Holds the state of one backend as this gateway sees it: load, faults and slow start."""

from __future__ import annotations

from dataclasses import dataclass, field

from .backends import Backend
from .decaying_mean import DecayingMean
from .time_units import SECOND

MAX_SLOW_START_TOKENS = 2.0  # attempts that a gateway may save up for one backend that is warming up


ClassAndPlan = tuple[int, int]  # indexes of a request's class and of its tenant's plan


@dataclass(slots=True)
class BackendState:
    """Holds the state of one backend as this gateway sees it."""

    backend: Backend
    slowness: DecayingMean  # recent latencies, each divided by the mean latency of its class
    ejection_ns: int  # length of the next ejection
    is_usable: bool = True  # listed and not draining
    is_listed: bool = True
    in_flight: int = 0  # attempts of this gateway only
    consecutive_failures: int = 0
    ejected_until_ns: int = 0
    # Time until which the backend counts as rejecting requests of a class and plan.
    rejecting_until_ns: dict[ClassAndPlan, int] = field(default_factory=dict)
    # Time at which the last attempt of a class ended, and 1.0 if it ended without a response, else 0.0.
    last_response: dict[int, tuple[int, float]] = field(default_factory=dict)
    slow_start_tokens: float = 0.0  # attempts
    tokens_refilled_at_ns: int = 0
    last_turn: int = -1  # number of the last turn that was used for an attempt

    def change_classes(self, predecessors: tuple[int, ...]) -> None:
        """Transfers the state of each class to its successor and drops that of classes without one."""
        self.last_response = {
            number: self.last_response[predecessor]
            for number, predecessor in enumerate(predecessors)
            if predecessor in self.last_response
        }
        rejecting = self.rejecting_until_ns.items()
        self.rejecting_until_ns = {
            (number, plan): until_ns
            for number, predecessor in enumerate(predecessors)
            for (request_class, plan), until_ns in rejecting
            if request_class == predecessor
        }

    def refill_tokens(self, now: int, rate_per_s: float) -> None:
        """Adds the tokens that have accumulated since the last refill."""
        refill = rate_per_s * (now - self.tokens_refilled_at_ns) / SECOND
        self.slow_start_tokens = min(MAX_SLOW_START_TOKENS, self.slow_start_tokens + refill)
        self.tokens_refilled_at_ns = now

    def spend_token_or_turn(self, turn: int) -> None:
        """Charges an attempt to the slow start budget: a token if there is one, otherwise this turn."""
        if self.slow_start_tokens >= 1.0:
            self.slow_start_tokens -= 1.0
        else:
            self.last_turn = turn
