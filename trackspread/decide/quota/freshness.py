"""How far a report of a peer counts by its age. Pure arithmetic."""

from __future__ import annotations

from ..time_units import SECOND

FRESH_NS = 1 * SECOND  # a report counts in full until this age ...
UNRESPONSIVE_NS = 3 * SECOND  # ... and not at all from here on: the peer's static share is its own again


def freshness(now: int, reported_at_ns: int) -> float:
    """From 1 for a report that is fresh down to 0 for one of a peer that is unresponsive."""
    left = (UNRESPONSIVE_NS - now + reported_at_ns) / (UNRESPONSIVE_NS - FRESH_NS)
    return min(1.0, max(0.0, left))
