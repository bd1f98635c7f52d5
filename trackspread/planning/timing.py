"""Times of leases between forwarders and planners, ns on each process's own monotonic clock."""

from __future__ import annotations

from ..decide.time_units import MILLISECOND, SECOND

CLOCK_DRIFT = 0.02  # part by which a clock may run fast or slow: twice what the worst crystal does
LEASE_NS = 1_600 * MILLISECOND  # four heartbeats, so that three lost messages cost nothing
HEARTBEAT_NS = 400 * MILLISECOND  # between a forwarder's requests for a tenant: demand is followed within two
# That a soft limit's lease goes on without a planner: minutes of outage are rare.
SOFT_EXTENSION_NS = 60 * SECOND
