"""Computes the durations of slot leases at grantor and holder, whose clocks may differ by the drift."""

from __future__ import annotations

from .identifiers import CLOCK_DRIFT, SECOND

RENEWAL_SPAN_NS = 2 * SECOND  # time in which a member renews its lease five times
# A holder that has had no seed's answer for this time does not use its lease until a seed answers.
CONTACT_TIMEOUT_NS = int(RENEWAL_SPAN_NS * (1.0 - CLOCK_DRIFT))


def grantor_duration_ns(duration_ns: int) -> int:
    """Returns the time in ns from granting a lease until it has certainly expired at its holder."""
    return int(duration_ns * (1.0 + 2 * CLOCK_DRIFT))


def holder_duration_ns(duration_ns: int) -> int:
    """Returns the time in ns for which the holder may use a lease, counted from its request."""
    return int(duration_ns * (1.0 - CLOCK_DRIFT))
