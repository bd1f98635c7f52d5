"""One backend as this gateway sees it: load, symptoms and slow start."""

from __future__ import annotations

from dataclasses import dataclass, field

from .backends import Backend
from .decaying_mean import DecayingMean
from .time_units import SECOND

MAX_SLOW_START_TOKENS = 2.0  # requests that a gateway may save up for one cold backend


@dataclass(slots=True)
class BackendState:
    """One backend as this gateway sees it."""

    backend: Backend
    slowness: DecayingMean
    ejection_ns: int
    is_usable: bool = True
    is_listed: bool = True
    in_flight: int = 0
    consecutive_failures: int = 0
    ejected_until_ns: int = 0
    rejecting_until_ns: dict[tuple[int, int], int] = field(
        default_factory=dict
    )  # by class and plan, until when
    last_response: dict[int, tuple[int, float]] = field(
        default_factory=dict
    )  # by class: when, 1 if unanswered
    slow_start_tokens: float = 0.0
    tokens_refilled_at_ns: int = 0
    last_turn: int = -1  # number of the last turn that was used

    def reclass(self, heirs: tuple[int, ...]) -> None:
        """What was met under a class goes with the one that now inherits it, or is forgotten."""
        self.last_response = {
            n: self.last_response[h] for n, h in enumerate(heirs) if h in self.last_response
        }
        full = self.rejecting_until_ns.items()
        self.rejecting_until_ns = {
            (n, plan): until for n, h in enumerate(heirs) for (cls, plan), until in full if cls == h
        }

    def refill(self, now: int, rate: float) -> None:
        """Add the tokens that came since the last time, at `rate` a second."""
        self.slow_start_tokens = min(
            MAX_SLOW_START_TOKENS, self.slow_start_tokens + rate * (now - self.tokens_refilled_at_ns) / SECOND
        )
        self.tokens_refilled_at_ns = now

    def take(self, turn: int) -> None:
        """A request goes there while it is cold: by a token, or else in the turn of that number."""
        if self.slow_start_tokens >= 1.0:
            self.slow_start_tokens -= 1.0
        else:
            self.last_turn = turn
