"""Holds the times of leases in nanoseconds, each on the monotonic clock of its own process."""

from __future__ import annotations

from ..decide.time_units import MILLISECOND, SECOND

CLOCK_DRIFT = 0.02  # fraction by which a clock may run fast or slow: twice the drift of the worst crystal
LEASE_NS = 1_600 * MILLISECOND  # four heartbeats, so that three lost messages cost nothing
# Between a forwarder's requests for a tenant; leases follow the demand within two heartbeats.
HEARTBEAT_NS = 400 * MILLISECOND
# How long a soft limit's lease is extended without a planner: outages of minutes are rare.
SOFT_EXTENSION_NS = 60 * SECOND
