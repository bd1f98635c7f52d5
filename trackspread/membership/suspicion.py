"""Computes how long a suspect may refute the suspicion, after Lifeguard (Dadgar and others 2018)."""

from __future__ import annotations

from math import log10

MIN_INTERVALS = 3  # probe intervals until a suspect is dead where enough members suspect it
MAX_INTERVALS = 9  # probe intervals until a suspect is dead where only one member suspects it
MAX_CONFIRMATIONS = 3  # further suspecting members at which the timeout reaches its minimum


def suspicion_timeout_ns(
    suspecting_members: int, member_count: int, probe_interval_ns: int, timeout_factor: int
) -> int:
    """Returns the time from the suspicion of a member until it is declared dead, in ns.

    The time shrinks with the number of members that suspect the same member. It grows with the fleet, and
    with `timeout_factor` while the suspecting member is itself unhealthy.
    """
    confirmations = min(MAX_CONFIRMATIONS, suspecting_members - 1)
    fraction = 1.0 if confirmations <= 0 else 1.0 - log10(confirmations + 1) / log10(MAX_CONFIRMATIONS + 1)
    scale = max(1.0, log10(max(1, member_count)))
    intervals = MIN_INTERVALS + (MAX_INTERVALS - MIN_INTERVALS) * fraction
    return int(intervals * scale * probe_interval_ns * timeout_factor)
