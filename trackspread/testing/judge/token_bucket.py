"""Replays a token bucket exactly and independently of the gateway's own."""

from __future__ import annotations

SECOND = 1_000_000_000


class TokenBucket:
    """Holds tokens that callers spend; starts full and refills at `rate_per_s` up to `burst_units`."""

    def __init__(self, rate_per_s: float, burst_units: float, now: int) -> None:
        self.rate_per_s = rate_per_s
        self.burst_units = burst_units
        self.tokens = burst_units
        self.updated_at = now

    def refill(self, now: int) -> float:
        """Adds the tokens that the rate yields until `now` (ns) and returns the tokens then available."""
        elapsed = now - self.updated_at
        self.tokens = min(self.burst_units, self.tokens + self.rate_per_s * elapsed / SECOND)
        self.updated_at = now
        return self.tokens
