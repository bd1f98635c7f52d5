"""A token bucket that is replayed exactly, independent of the gateway's own."""

from __future__ import annotations

SECOND = 1_000_000_000


class TokenBucket:
    """Starts full, refills at `rate_per_s` and never holds more than `burst_units`; `tokens` may be spent."""

    def __init__(self, rate_per_s: float, burst_units: float, now: int) -> None:
        self.rate_per_s = rate_per_s
        self.burst_units = burst_units
        self.tokens = burst_units
        self.updated_at = now

    def refill(self, now: int) -> float:
        """Add what the rate yields until `now` (ns); returns the tokens that are there then."""
        elapsed = now - self.updated_at
        self.tokens = min(self.burst_units, self.tokens + self.rate_per_s * elapsed / SECOND)
        self.updated_at = now
        return self.tokens
