"""Durations of slot leases on both sides, whose clocks may differ by the drift."""

from __future__ import annotations

from .identifiers import CLOCK_DRIFT, SECOND

RENEWAL_SPAN_NS = 2 * SECOND  # in which a member renews its lease five times
# Without a seed's answer, after which a lease pauses.
CONTACT_TIMEOUT_NS = int(RENEWAL_SPAN_NS * (1.0 - CLOCK_DRIFT))


def grantor_duration_ns(duration_ns: int) -> int:
    """The time from granting a lease until it has surely expired at its holder."""
    return int(duration_ns * (1.0 + 2 * CLOCK_DRIFT))


def holder_duration_ns(duration_ns: int) -> int:
    """The time for which a lease holds at its holder, from when it was requested."""
    return int(duration_ns * (1.0 - CLOCK_DRIFT))
