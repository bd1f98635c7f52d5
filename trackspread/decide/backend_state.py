"""One backend as this gateway sees it: load, faults and slow start."""

from __future__ import annotations

from dataclasses import dataclass, field

from .backends import Backend
from .decaying_mean import DecayingMean
from .time_units import SECOND

MAX_SLOW_START_TOKENS = 2.0  # attempts that a gateway may save up for one backend that warms up


ClassAndPlan = tuple[int, int]  # indexes of a request's class and of its tenant's plan


@dataclass(slots=True)
class BackendState:
    """One backend as this gateway sees it."""

    backend: Backend
    slowness: DecayingMean  # recent latencies, each divided by its class's mean latency
    ejection_ns: int  # how long the next ejection lasts
    is_usable: bool = True  # listed and not draining
    is_listed: bool = True
    in_flight: int = 0  # attempts of this gateway
    consecutive_failures: int = 0
    ejected_until_ns: int = 0
    # By class and plan: until when it counts as rejecting such requests.
    rejecting_until_ns: dict[ClassAndPlan, int] = field(default_factory=dict)
    # By class: when the last attempt ended, and 1.0 if without a response, else 0.0.
    last_response: dict[int, tuple[int, float]] = field(default_factory=dict)
    slow_start_tokens: float = 0.0  # attempts
    tokens_refilled_at_ns: int = 0
    last_turn: int = -1  # number of the last turn that was used

    def change_classes(self, predecessors: tuple[int, ...]) -> None:
        """What was learned of a class goes with the one that inherits it, or is forgotten."""
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
        """Add the tokens that came since the last refill."""
        refill = rate_per_s * (now - self.tokens_refilled_at_ns) / SECOND
        self.slow_start_tokens = min(MAX_SLOW_START_TOKENS, self.slow_start_tokens + refill)
        self.tokens_refilled_at_ns = now

    def spend_token_or_turn(self, turn: int) -> None:
        """Charge an attempt to the budget: a token, or else the turn of that number."""
        if self.slow_start_tokens >= 1.0:
            self.slow_start_tokens -= 1.0
        else:
            self.last_turn = turn
