"""Defines times, shares and bounds of the lease protocol on a shared counter (`docs/design/counter.md`)."""

from __future__ import annotations

from ..decide.time_units import MILLISECOND, SECOND

# Interval between heartbeats in a partition; one lost call does not make a gateway unresponsive.
HEARTBEAT_NS = 400 * MILLISECOND
CALL_TIMEOUT_NS = 250 * MILLISECOND  # a slower counter counts as lost
CLAIM_RENEWAL_NS = 800 * MILLISECOND  # interval between claims on a tenant; lost claims are back within it
CLOCK_DRIFT = 0.02  # largest relative difference in rate between two clocks
# Time for which a share may be used after the reply that it depends on; it covers two lost calls.
LEASE_NS = int(2 * SECOND * (1.0 - CLOCK_DRIFT))
# Time from the last heartbeat that anyone can have seen until every gateway that relied on it has released
# its share. A reader sees a heartbeat up to one interval and one call late, and the heartbeat's writer, which
# is a reader too, sees the others' equally late.
EXPIRY_NS = int((2 * SECOND + 2 * HEARTBEAT_NS + 2 * CALL_TIMEOUT_NS) * (1.0 + CLOCK_DRIFT))
# Time that a raise waits; by then every gateway whose claim the counter lost has written it anew.
PROOF_NS = CLAIM_RENEWAL_NS + 2 * CALL_TIMEOUT_NS
IDLE_NS = 5 * SECOND  # time without a request after which a lease is released
# Part of a hard limit that is not pooled; each gateway may use its static share of it in any state.
GUARANTEED_PART = 0.5
MINIMUM_PART = 0.25  # part of a quota's static share that is usable before the first reply
REPORT_AFTER_PART = 0.25  # part of a quota's burst that may be requested here before others are notified
HEADROOM = 2.0  # ratio of a claim to the demand, so that bursts pass without a call
FIRST_CLAIM_PART = 0.5  # part of the free share that a first claim takes, to leave some for the next gateway
TURN_MS = 2_000  # time on the counter's clock after which gateways that can't all hold a share take turns
KEY_LIFETIME_MS = 60_000  # from a key's last write; longer than any token bucket here takes to fill
MAX_TENANTS = 50_000  # tenants with a lease at the same time, at some 400 bytes of memory each
EPSILON = 1e-9  # tolerance for the rounding of shares
