"""Defines how much a peer's report counts, by its age."""

from __future__ import annotations

from ..time_units import SECOND

FRESH_NS = 1 * SECOND  # Up to this age a report counts in full.
# From this age on a report does not count, and the peer's static share is reserved for it again.
UNRESPONSIVE_NS = 3 * SECOND


def freshness(now: int, reported_at_ns: int) -> float:
    """Returns the weight of a report: from 1 if it is fresh down to 0 if the peer is unresponsive."""
    left = (UNRESPONSIVE_NS - now + reported_at_ns) / (UNRESPONSIVE_NS - FRESH_NS)
    return min(1.0, max(0.0, left))
