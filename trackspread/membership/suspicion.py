"""How long a suspect has to refute the suspicion, after Lifeguard (Dadgar and others 2018)."""

from __future__ import annotations

from math import log10

MIN_INTERVALS = 3  # probe intervals until a suspect that enough members suspect is dead
MAX_INTERVALS = 9  # probe intervals where only one member suspects it
MAX_CONFIRMATIONS = 3  # further members that suspect it, from which the timeout is the shortest


def suspicion_timeout_ns(
    suspecting_members: int, member_count: int, probe_interval_ns: int, timeout_factor: int
) -> int:
    """The time from suspicion to death, in ns.

    It shrinks with the number of members that suspect the same, and grows with the fleet and with
    `timeout_factor`, while the suspecting member is itself unhealthy.
    """
    confirmations = min(MAX_CONFIRMATIONS, suspecting_members - 1)
    fraction = 1.0 if confirmations <= 0 else 1.0 - log10(confirmations + 1) / log10(MAX_CONFIRMATIONS + 1)
    scale = max(1.0, log10(max(1, member_count)))
    intervals = MIN_INTERVALS + (MAX_INTERVALS - MIN_INTERVALS) * fraction
    return int(intervals * scale * probe_interval_ns * timeout_factor)
